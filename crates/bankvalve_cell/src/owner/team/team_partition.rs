//! State of a team partition, and loading it from the table.

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

/// Data from outside a team partition that its owner uses.
pub struct TeamView<'a> {
    /// Latest digests of the worker partitions, less what this instance has assigned since.
    pub digest_cache: &'a mut DigestCache,
    /// Epochs and row versions of the worker partitions, as last read.
    pub worker_rows: &'a BTreeMap<PartitionIndex, (Epoch, RowVersion)>,
    /// The platform's instance list.
    pub listed: &'a [ListedWorker],
    /// Whether the table service has answered recently.
    pub store_available: bool,
}

/// Why a task waits, and until when it is not considered for assignment.
#[derive(Clone, Copy, Debug)]
pub(super) struct TaskWait {
    pub(super) until: CellTime,
    pub(super) why: RefusalReason,
    /// Number of refusals or returns that determines the length of the next wait.
    pub(super) times: u32,
}

/// A job that has tasks to assign; urgent jobs sort first, then jobs that were accepted earlier.
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
    /// Sequence numbers of the log rows in the table.
    pub(super) rows: BTreeSet<u64>,
    pub(super) archiving: Option<u64>,
    pub(super) archive_due: CellTime,
    pub(super) pending: Vec<Proposal>,
    pub(super) batch_in_flight: Option<InFlightBatch>,
    pub(super) uncommitted_tasks: BTreeSet<TaskId>,
    pub(super) pending_usage: BTreeMap<TeamName, TaskSize>,
    pub(super) tracked_attempts: AttemptTracker,
    pub(super) waits: BTreeMap<TaskId, TaskWait>,
    /// When this owner first tried to assign each gang.
    pub(super) gang_since: BTreeMap<(TeamName, JobId), CellTime>,
    /// First worker partition, by index, in which a gang has not reserved all its capacity yet.
    ///
    /// `PartitionIndex::MAX` once it has reserved all of it.
    pub(super) gang_reserving_in: BTreeMap<(TeamName, JobId), PartitionIndex>,
    pub(super) ready: BTreeMap<ReadyJob, BTreeSet<TaskIndex>>,
    pub(super) jobs_to_check: BTreeSet<(TeamName, JobId)>,
}

impl TeamPartition {
    /// Makes the state of a partition that was just claimed; its rows must be loaded next.
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

    /// Returns the prefix of the keys of a partition's rows.
    pub fn row_prefix(index: PartitionIndex) -> String {
        format!("team/{index:04}/")
    }

    /// Returns the owner's epoch.
    pub fn epoch(&self) -> Epoch {
        self.writer.epoch
    }

    /// Returns whether the rows have been loaded and the takeover is committed.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed
    }

    /// Returns the committed state.
    pub fn ledger(&self) -> &TeamLedger {
        &self.ledger
    }

    /// Returns whether no event waits to be committed and no batch is in flight.
    pub fn is_flushed(&self) -> bool {
        self.pending.is_empty() && self.batch_in_flight.is_none()
    }

    /// Returns the number of tasks that wait to be assigned.
    pub fn waiting_tasks(&self) -> usize {
        self.ready.values().map(BTreeSet::len).sum()
    }

    /// Returns the number of committed batches that are not archived yet.
    pub fn unarchived(&self) -> usize {
        self.log.len()
    }

    /// Returns the state of a task as text, for diagnosis.
    pub fn describe(&self, id: &TaskId) -> Option<String> {
        let job = self.ledger.job(&id.team, &id.job)?;
        let state = &job.tasks[id.task as usize];
        Some(format!(
            "team partition {} epoch {}: {:?}, attempt {}, cancelled {}, uncommitted event {}, {:?}, {:?}",
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

    /// Loads the rows of the partition, which were read after it was claimed, and proposes the takeover.
    ///
    /// Returns false if the head row does not name the last batch of the
    /// log, because some of the rows are out of date; the rows must then be
    /// read again.
    pub fn load(&mut self, rows: &[RowImage], ctx: &mut OwnerContext<'_>) -> bool {
        let prefix = Self::row_prefix(self.index);
        let find_row = |name: &str| {
            let key = format!("{prefix}{name}");
            rows.iter().find(move |row| row.key == key)
        };
        if let Some(row) = find_row("head") {
            self.head_version = row.version;
        }
        if let Some(snapshot) = find_row("snap").and_then(|row| LedgerSnapshot::decode(&row.value))
        {
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
        if !self.matches_head(find_row("head")) {
            self.reset_rows();
            ctx.tally.retry(RetryReason::StoreConflict);
            return false;
        }
        self.loaded = true;
        self.index_all(ctx.now);
        let takeover = LedgerEvent::OwnerTook {
            owner: self.writer.instance.clone(),
            epoch: self.writer.epoch,
            at: ctx.wall,
        };
        self.propose(Proposal::of(takeover));
        true
    }

    /// Updates the indexes of ready tasks, tracked attempts and jobs to check for one task.
    ///
    /// Called after an event about the task was committed, and when the partition is loaded.
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

    /// Updates the indexes for all tasks of a job.
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

    fn reset_rows(&mut self) {
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

/// Returns the length of a wall-clock time span in milliseconds, zero if the clock was set back.
pub(super) fn span_ms(from: UnixMillis, to: UnixMillis) -> u64 {
    to.saturating_sub(from)
}
