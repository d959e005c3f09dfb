//! State of a team partition and how it is loaded.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::attempt_tracker::{AttemptTracker, TrackedAttempt};
use super::commit::{InFlightBatch, Proposal};
use crate::ids::{
    CellTime, Epoch, JobId, PartitionIndex, RowVersion, TaskIndex, TeamName, UnixMillis,
};
use crate::ledger::{
    read_batches, BatchWriter, ChainHash, LedgerBatch, LedgerEvent, LedgerSnapshot, TeamLedger,
};
use crate::link::{RowImage, TaskId};
use crate::machine::{ListedWorker, TaskSize};
use crate::owner::OwnerContext;
use crate::placement::{DigestCache, PlacePolicy};
use crate::refusal::{RefusalReason, RetryReason};

/// What a team partition's owner looks things up in.
pub struct TeamView<'a> {
    /// Room of the worker partitions.
    pub digest_cache: &'a mut DigestCache,
    /// Epochs and row versions of the worker partitions, as last read.
    pub worker_rows: &'a BTreeMap<PartitionIndex, (Epoch, RowVersion)>,
    /// The platform's instance list.
    pub listed: &'a [ListedWorker],
    /// Whether the store has answered lately.
    pub store_available: bool,
}

/// Why a task waits, and until when it is not looked at.
#[derive(Clone, Copy, Debug)]
pub(super) struct TaskWait {
    pub(super) until: CellTime,
    pub(super) why: RefusalReason,
    pub(super) times: u32,
}

/// A job that has tasks to assign, in the order in which jobs are looked at.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ReadyJob {
    pub(super) not_urgent: bool,
    pub(super) order: u64,
    pub(super) team: TeamName,
    pub(super) job: JobId,
}

/// A team partition that this instance owns.
#[derive(Debug)]
pub struct TeamPartition {
    pub(super) index: PartitionIndex,
    pub(super) writer: BatchWriter,
    pub(super) row_version: RowVersion,
    pub(super) policy: PlacePolicy,
    pub(super) rng: Pcg64Mcg,
    pub(super) loaded: bool,
    /// Whether the takeover is committed, which proves that the rows read were the latest.
    pub(super) confirmed: bool,
    pub(super) ledger: TeamLedger,
    pub(super) head_version: RowVersion,
    pub(super) sequence: u64,
    pub(super) chain: ChainHash,
    pub(super) snapshot_sequence: u64,
    pub(super) archived: u64,
    /// Committed batches that are not archived yet.
    pub(super) log: VecDeque<(u64, Vec<u8>)>,
    /// Sequences of the log rows that stand in the table.
    pub(super) rows: BTreeSet<u64>,
    pub(super) archiving: Option<u64>,
    pub(super) archive_due: CellTime,
    pub(super) pending: Vec<Proposal>,
    pub(super) batch_in_flight: Option<InFlightBatch>,
    pub(super) uncommitted_tasks: BTreeSet<TaskId>,
    pub(super) pending_usage: BTreeMap<TeamName, TaskSize>,
    pub(super) tracked_attempts: AttemptTracker,
    pub(super) waits: BTreeMap<TaskId, TaskWait>,
    pub(super) gang_since: BTreeMap<(TeamName, JobId), CellTime>,
    /// The first worker partition in which a gang does not hold all its room yet.
    pub(super) gang_reserving_in: BTreeMap<(TeamName, JobId), PartitionIndex>,
    pub(super) ready: BTreeMap<ReadyJob, BTreeSet<TaskIndex>>,
    pub(super) jobs_to_check: BTreeSet<(TeamName, JobId)>,
}

impl TeamPartition {
    /// Takes a partition over; its rows must be given next.
    pub fn new(
        index: PartitionIndex,
        writer: BatchWriter,
        row_version: RowVersion,
        policy: PlacePolicy,
        now: CellTime,
    ) -> Self {
        let seed = writer.epoch << 32 | u64::from(index);
        Self {
            index,
            writer,
            row_version,
            policy,
            rng: Pcg64Mcg::seed_from_u64(seed),
            loaded: false,
            confirmed: false,
            ledger: TeamLedger::default(),
            head_version: 0,
            sequence: 0,
            chain: ChainHash::default(),
            snapshot_sequence: 0,
            archived: 0,
            log: VecDeque::new(),
            rows: BTreeSet::new(),
            archiving: None,
            archive_due: now,
            pending: Vec::new(),
            batch_in_flight: None,
            uncommitted_tasks: BTreeSet::new(),
            pending_usage: BTreeMap::new(),
            tracked_attempts: AttemptTracker::default(),
            waits: BTreeMap::new(),
            gang_since: BTreeMap::new(),
            gang_reserving_in: BTreeMap::new(),
            ready: BTreeMap::new(),
            jobs_to_check: BTreeSet::new(),
        }
    }

    /// Prefix of the partition's rows.
    pub fn row_prefix(index: PartitionIndex) -> String {
        format!("team/{index:04}/")
    }

    /// The owner's epoch.
    pub fn epoch(&self) -> Epoch {
        self.writer.epoch
    }

    /// Tells whether the rows have been read and the takeover is committed.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed
    }

    /// The state, as committed.
    pub fn ledger(&self) -> &TeamLedger {
        &self.ledger
    }

    /// Tells whether nothing waits to be committed.
    pub fn is_flushed(&self) -> bool {
        self.pending.is_empty() && self.batch_in_flight.is_none()
    }

    /// Tasks that wait to be assigned.
    pub fn waiting_tasks(&self) -> usize {
        self.ready.values().map(BTreeSet::len).sum()
    }

    /// Committed batches that are not archived yet.
    pub fn unarchived(&self) -> usize {
        self.log.len()
    }

    /// What is known of a task, for diagnosis.
    pub fn describe(&self, id: &TaskId) -> Option<String> {
        let job = self.ledger.job(&id.team, &id.job)?;
        let state = &job.tasks[id.task as usize];
        Some(format!(
            "team partition {} epoch {}: {:?}, attempt {}, cancelled {}, busy {}, {:?}, {:?}",
            self.index,
            self.writer.epoch,
            state.phase,
            state.attempt,
            job.cancelled,
            self.uncommitted_tasks.contains(id),
            self.tracked_attempts.get(id),
            self.waits.get(id)
        ))
    }

    /// Takes in all rows of the partition, read after it was claimed.
    ///
    /// Returns false if the rows do not belong together, because some were
    /// read from before; they must then be read again.
    pub fn load(&mut self, rows: &[RowImage], ctx: &mut OwnerContext<'_>) -> bool {
        let prefix = Self::row_prefix(self.index);
        let named = |name: &str| {
            let key = format!("{prefix}{name}");
            rows.iter().find(move |row| row.key == key)
        };
        if let Some(row) = named("head") {
            self.head_version = row.version;
        }
        if let Some(snapshot) = named("snap").and_then(|row| LedgerSnapshot::decode(&row.value)) {
            self.sequence = snapshot.sequence;
            self.snapshot_sequence = snapshot.sequence;
            self.chain = snapshot.chain;
            self.archived = snapshot.archived;
            self.ledger = snapshot.ledger;
        }
        let log_prefix = format!("{prefix}log/");
        let logs = rows.iter().filter(|row| row.key.starts_with(&log_prefix));
        for (batch, bytes) in read_batches(logs) {
            self.load_batch(&batch, bytes);
        }
        if !self.matches_head(named("head")) {
            self.forget_rows();
            ctx.tally.retry(RetryReason::StoreConflict);
            return false;
        }
        self.loaded = true;
        self.index_all(ctx.now);
        let took = LedgerEvent::OwnerTook {
            owner: self.writer.instance.clone(),
            epoch: self.writer.epoch,
            at: ctx.wall,
        };
        self.propose(Proposal::of(took));
        true
    }

    /// Looks anew at a task after an event about it was committed.
    pub(super) fn index_task(&mut self, id: &TaskId, now: CellTime) {
        let Some(job) = self.ledger.job(&id.team, &id.job) else {
            return;
        };
        let ready = ReadyJob {
            not_urgent: !job.spec.urgent,
            order: job.order,
            team: id.team.clone(),
            job: id.job.clone(),
        };
        let state = &job.tasks[id.task as usize];
        let waits = state.phase == crate::ledger::TaskPhase::Waiting && !job.cancelled;
        let placed = state.placed_in();
        let attempt = state.attempt;
        let needs_check = job.cancelled || job.spec.is_gang() || job.spec.service().is_some();
        let tasks = self.ready.entry(ready.clone()).or_default();
        if waits {
            tasks.insert(id.task);
        } else {
            tasks.remove(&id.task);
        }
        if tasks.is_empty() {
            self.ready.remove(&ready);
        }
        match placed {
            Some((partition, _)) => self.track(id, attempt, partition, now),
            None => self.tracked_attempts.remove(id),
        }
        if needs_check {
            self.jobs_to_check.insert((id.team.clone(), id.job.clone()));
        }
    }

    /// Looks anew at all tasks of a job.
    pub(super) fn index_job(&mut self, team: &str, job: &str, now: CellTime) {
        for id in self.ledger.task_ids(team, job) {
            self.index_task(&id, now);
        }
    }

    fn track(&mut self, id: &TaskId, attempt: u32, partition: PartitionIndex, now: CellTime) {
        let known = self.tracked_attempts.get(id).map(|tracked| tracked.attempt);
        if known != Some(attempt) {
            let tracked = TrackedAttempt::new(attempt, partition, now);
            self.tracked_attempts.insert(id, tracked);
        }
    }

    fn forget_rows(&mut self) {
        self.ledger = TeamLedger::default();
        self.sequence = 0;
        self.snapshot_sequence = 0;
        self.archived = 0;
        self.chain = ChainHash::default();
        self.log.clear();
        self.rows.clear();
    }

    fn load_batch(&mut self, batch: &LedgerBatch, bytes: Vec<u8>) {
        self.rows.insert(batch.sequence);
        let follows = batch.previous == self.chain && batch.sequence == self.sequence + 1;
        if follows {
            for event in &batch.events {
                self.ledger.apply(event);
            }
            self.sequence = batch.sequence;
            self.chain = LedgerBatch::hash_of(&bytes);
        }
        if batch.sequence > self.archived {
            self.log.push_back((batch.sequence, bytes));
        }
    }

    fn index_all(&mut self, now: CellTime) {
        let jobs: Vec<(TeamName, JobId)> = self
            .ledger
            .jobs()
            .filter(|job| job.phase() == crate::ledger::JobPhase::Active)
            .map(|job| (job.spec.team.clone(), job.spec.id.clone()))
            .collect();
        for (team, job) in jobs {
            self.index_job(&team, &job, now);
        }
    }
}

/// Milliseconds of a wall-clock time span, zero if it ran backwards.
pub(super) fn span_ms(from: UnixMillis, to: UnixMillis) -> u64 {
    to.saturating_sub(from)
}
