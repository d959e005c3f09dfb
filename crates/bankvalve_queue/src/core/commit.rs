//! Commits events to the ledger: collects them into batches and writes the batches to the table on
//! condition that the leader's row is unchanged.

use std::collections::VecDeque;
use std::time::Duration;

use super::follower::batch_key;
use super::incarnation::Incarnation;
use super::store_link::{StorePurpose, CELL_TABLE, LEAD_PART, LEDGER_TABLE};
use super::EntryCore;
use crate::caller::CallerAnswer;
use crate::guard::SiteGuard;
use crate::ids::{CoreTime, JobId, TaskKey, Ticket, WorkerId};
use crate::ledger::{CrashEnd, JobOutcome, LedgerBatch, LedgerEvent};
use crate::peer::{PeerAddress, PeerMessage};
use crate::store::{RowCondition, RowKey, RowWrite, StoreOutcome, StoreRequest, StoredRow};

/// Maximum number of events in a batch. Each batch is one row.
const MAX_BATCH_EVENTS: usize = 400;
/// Maximum number of rows in one write. A row is up to 64 KiB in the table's encoding, so a write stays
/// well below the limit of 1 MB per transaction. A slow table takes about half a second for a write of
/// any size, so several rows are written together.
const MAX_WRITE_ROWS: usize = 10;
/// Divisor of the maximum row size that gives the maximum size of a batch: values grow when they are
/// encoded.
const ROW_BYTES_DIVISOR: usize = 2;
/// Minimum time between the starts of two commits. Events that arrive in between are committed together.
const COMMIT_INTERVAL: Duration = Duration::from_millis(24);
/// Timeout of a write. It only frees the connection: long before, the row is read back to find out
/// whether the write was applied.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Pause before a refused write is sent again.
const REFUSED_PAUSE: Duration = Duration::from_millis(60);
/// Number of refused copies of one write after which the table counts as unavailable.
const UNAVAILABLE_REFUSALS: u32 = 3;
/// Age of an unanswered write from which the table counts as unavailable, if it has not answered any
/// request within [`RECENT_ANSWER`] either.
const UNANSWERED_LIMIT: Duration = Duration::from_millis(1_100);
/// Time after any answer of the table during which it counts as available, even if slow.
const RECENT_ANSWER: Duration = Duration::from_millis(800);
/// Age of an unanswered write from which the table counts as unavailable even if it answers other
/// requests.
const STUCK_WRITE_LIMIT: Duration = Duration::from_millis(3_000);

/// Where a caller's request came from, and where its answer goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// A caller that is connected to this instance.
    Local(Ticket),
    /// A peer that forwards a caller's request.
    Peer(PeerAddress, Ticket),
}

/// Action that follows once an event, and all events before it, are committed.
#[derive(Clone, Debug)]
pub(super) enum Effect {
    None,
    Answer(Origin, CallerAnswer),
    Order(TaskKey, u64),
    /// Lets the next poll of a worker acknowledge its ended runs up to a number.
    AcknowledgeEnd(Incarnation, u64),
    /// Logs that a job has ended.
    JobEnded(JobId),
    /// Resumes the renewal of a worker's lease.
    RenewLease(WorkerId),
}

/// An event to commit, or only an effect that waits until the events before it are committed.
#[derive(Debug)]
pub(super) struct Proposal {
    pub(super) event: Option<LedgerEvent>,
    pub(super) effect: Effect,
}

/// A write of batches that is in flight.
#[derive(Debug)]
pub(super) struct InFlightCommit {
    /// Sequence number of the first batch.
    pub(super) sequence: u64,
    /// The encoded batches.
    pub(super) rows: Vec<Vec<u8>>,
    pub(super) events: Vec<LedgerEvent>,
    /// Effects in the order of their proposals, and whether each proposal has an event.
    pub(super) effects: Vec<(bool, Effect)>,
    /// When the first copy was sent.
    pub(super) since: CoreTime,
    /// Unanswered copies of the write.
    pub(super) copies: u32,
    /// When the last copy was sent.
    pub(super) sent_at: CoreTime,
    /// When another copy may be sent if none is unanswered.
    pub(super) next_at: CoreTime,
    /// When to read back whether the write was applied, unless such a read is pending.
    pub(super) check_at: CoreTime,
    pub(super) checking: bool,
    /// Whether a copy timed out, so that it may have been applied or may still be applied.
    pub(super) uncertain: bool,
    /// Copies that the table refused and therefore did not apply.
    pub(super) refused: u32,
}

impl EntryCore {
    /// Applies an event to the book at once and queues it for commit. The effect follows the commit.
    pub(super) fn propose(&mut self, event: LedgerEvent, effect: Effect) {
        let job = event.job();
        let was_open = job.is_some_and(|job| self.is_open(job));
        self.apply_event(&event);
        let ended = job.filter(|job| was_open && !self.is_open(*job));
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        if let Some(job) = job {
            *lead.uncommitted.entry(job).or_default() += 1;
            lead.dirty_jobs.insert(job);
        }
        lead.pending.push_back(Proposal {
            event: Some(event),
            effect,
        });
        if let Some(job) = ended {
            lead.ending.insert(job);
            self.follow_up(Effect::JobEnded(job));
        }
    }

    fn is_open(&self, job: JobId) -> bool {
        let record = self.book.job(job);
        record.is_some_and(|record| record.outcome == JobOutcome::Open)
    }

    /// Logs the end of a job, which has been committed.
    fn log_job_end(&mut self, job: JobId) {
        let now = self.now;
        if let Some(lead) = self.lead.as_deref_mut() {
            lead.ending.remove(&job);
            lead.shares.end_job(job, now);
        }
        let Some(record) = self.book.job(job) else {
            return;
        };
        let age = self.wall.saturating_sub(record.accepted_at);
        let detail = format!(
            "{:?} committed {age} ms after its acceptance",
            record.outcome
        );
        let given_up = record.crashing_task().map(|(task, count)| {
            let ends: Vec<String> = count.ends().iter().map(CrashEnd::to_string).collect();
            let (ends, chance) = (ends.join("; "), count.chance_ppm());
            let detail = format!(
                "workers ended while running it, probability that all strong evidence is chance \
                 {chance:.3} in a million: {ends}"
            );
            (task.to_string(), detail)
        });
        self.counters.count("jobs", "over");
        self.log("ledger", "over", format!("{job:016x}"), detail);
        if let Some((task, detail)) = given_up {
            self.counters.count("jobs", "given_up_as_crashing");
            self.log("ledger", "given_up", task, detail);
        }
    }

    /// Queues an effect that follows once all events proposed so far are committed.
    pub(super) fn follow_up(&mut self, effect: Effect) {
        if let Some(lead) = self.lead.as_deref_mut() {
            lead.pending.push_back(Proposal {
                event: None,
                effect,
            });
        }
    }

    /// Starts the time for which the table has not answered, unless it is running already.
    pub(super) fn record_store_request(&mut self) {
        let now = self.now;
        if let Some(lead) = self.lead.as_deref_mut() {
            lead.unanswered_since.get_or_insert(now);
        }
    }

    /// Returns whether the table counts as unavailable: it refuses writes or leaves one unanswered.
    pub(super) fn store_is_unavailable(&self) -> bool {
        let Some(lead) = self.lead.as_deref() else {
            return false;
        };
        let commit = lead.in_flight_commit.as_ref();
        lead.unavailable_since.is_some()
            || commit.is_some_and(|commit| {
                let age = self.age(commit.since);
                let unresponsive = self
                    .store_last_contact
                    .is_none_or(|at| self.age(at) > RECENT_ANSWER);
                commit.refused >= UNAVAILABLE_REFUSALS
                    || (unresponsive && age > UNANSWERED_LIMIT)
                    || age > STUCK_WRITE_LIMIT
            })
    }

    pub(super) fn run_commit(&mut self) {
        let now = self.now;
        let row_bytes = self.settings.row_bytes / ROW_BYTES_DIVISOR;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        if !lead.loaded {
            return;
        }
        if lead.in_flight_commit.is_some() {
            self.pursue_commit();
            return;
        }
        if lead.pending.is_empty() || now < lead.next_commit_at {
            return;
        }
        let mut rows = Vec::new();
        let mut events = Vec::new();
        let mut effects = Vec::new();
        while rows.len() < MAX_WRITE_ROWS && !lead.pending.is_empty() {
            let batch = take_batch(&mut lead.pending, row_bytes, &mut effects);
            if batch.events.is_empty() {
                break;
            }
            rows.push(batch.encode());
            events.extend(batch.events);
        }
        if events.is_empty() {
            self.run_effects(effects);
            return;
        }
        lead.next_commit_at = now + COMMIT_INTERVAL;
        lead.in_flight_commit = Some(InFlightCommit {
            sequence: lead.sequence + 1,
            rows,
            events,
            effects,
            since: now,
            copies: 1,
            sent_at: now,
            next_at: now,
            check_at: now + lead.commit_check_delay(),
            checking: false,
            uncertain: false,
            refused: 0,
        });
        self.send_commit();
    }

    pub(super) fn send_commit(&mut self) {
        let Some(lead) = self.lead.as_deref() else {
            return;
        };
        let Some(commit) = lead.in_flight_commit.as_ref() else {
            return;
        };
        let leader = RowKey::new(CELL_TABLE, LEAD_PART, "leader");
        let fenced = self.enforces(SiteGuard::OwnRow);
        let numbered = commit.sequence..;
        let writes = numbered.zip(&commit.rows).map(|(sequence, row)| RowWrite {
            key: batch_row(sequence),
            value: row.clone(),
        });
        let conditions = [
            RowCondition {
                key: leader,
                version: lead.row_version,
            },
            // The other batches are written in the same transaction, so checking the first one is enough.
            RowCondition {
                key: batch_row(commit.sequence),
                version: 0,
            },
        ];
        let request = StoreRequest::Transact {
            conditions: conditions.into_iter().filter(|_| fenced).collect(),
            writes: writes.collect(),
            removals: Vec::new(),
        };
        self.counters.count("commits", "sent");
        let purpose = StorePurpose::Commit {
            sequence: commit.sequence,
            sent_at: self.now,
        };
        self.record_store_request();
        self.send_store_request_within(purpose, request, COMMIT_TIMEOUT);
    }

    pub(super) fn end_commit(&mut self, sequence: u64, sent_at: CoreTime, outcome: StoreOutcome) {
        let now = self.now;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let is_current = |commit: &InFlightCommit| commit.sequence == sequence;
        if !lead.in_flight_commit.as_ref().is_some_and(is_current) {
            return;
        }
        if matches!(
            outcome,
            StoreOutcome::Applied { .. } | StoreOutcome::Conflict { .. }
        ) {
            lead.record_commit(now.saturating_sub(sent_at), now);
        }
        let Some(commit) = lead.in_flight_commit.as_mut() else {
            return;
        };
        match outcome {
            StoreOutcome::Applied { .. } => self.finish_commit(sent_at),
            StoreOutcome::Conflict { rows } => {
                let applied = own_batch_is_stored(&rows, commit, lead.row_version);
                if applied {
                    let begun_at = commit.since;
                    self.finish_commit(begun_at);
                } else {
                    self.step_down("a write was refused because this leader's row has changed");
                    self.read_leader_row();
                }
            }
            StoreOutcome::Lost => {
                commit.copies = commit.copies.saturating_sub(1);
                commit.next_at = now;
                commit.uncertain = true;
                self.withdraw_uncommitted();
            }
            _ => {
                commit.copies = commit.copies.saturating_sub(1);
                commit.next_at = now + REFUSED_PAUSE;
                commit.refused += 1;
                self.withdraw_uncommitted();
            }
        }
    }

    /// Completes the in-flight write, which has been applied.
    ///
    /// `confirmed_at` is when the request was sent that showed this leader's row to be unchanged. The
    /// time of the answer would be wrong: while an answer waits in a frozen instance, another instance
    /// may become the leader.
    pub(super) fn finish_commit(&mut self, confirmed_at: CoreTime) {
        let now = self.now;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let Some(commit) = lead.in_flight_commit.take() else {
            return;
        };
        lead.sequence = commit.sequence + commit.rows.len() as u64 - 1;
        lead.confirmed_at = lead.confirmed_at.max(confirmed_at);
        lead.record_store_answer();
        lead.unavailable_since = None;
        self.applied = lead.sequence;
        for job in commit.events.iter().filter_map(LedgerEvent::job) {
            if let Some(count) = lead.uncommitted.get_mut(&job) {
                *count -= 1;
                if *count == 0 {
                    lead.uncommitted.remove(&job);
                }
            }
        }
        let epoch = lead.epoch;
        let limited = lead.load.was_limited_recently(now);
        self.counters.count("commits", "kept");
        let standbys = self.live_standbys();
        for (sequence, row) in (commit.sequence..).zip(commit.rows) {
            self.send_to_standbys(&standbys, limited, epoch, sequence, row);
        }
        self.run_effects(commit.effects);
    }

    /// Sends a committed batch to the standbys: to each of them, or, if the leader was recently
    /// overloaded, only to the first one, which passes it on to the next.
    ///
    /// Copies for five standbys are half of what the leader sends: 330 of about 620 bytes per started
    /// task. A batch that is passed on takes four more hops to the last standby. While one standby is
    /// unreachable, those behind it read the batch from the table.
    fn send_to_standbys(
        &mut self,
        standbys: &[PeerAddress],
        chained: bool,
        epoch: u64,
        sequence: u64,
        row: Vec<u8>,
    ) {
        let committed = |batch: Vec<u8>, onward: &[PeerAddress]| PeerMessage::Committed {
            epoch,
            sequence,
            batch,
            onward: onward.to_vec(),
        };
        match standbys.split_first() {
            Some((first, others)) if chained => self.send_message(*first, committed(row, others)),
            _ => {
                for peer in standbys {
                    self.send_message(*peer, committed(row.clone(), &[]));
                }
            }
        }
    }

    fn run_effects(&mut self, effects: Vec<(bool, Effect)>) {
        for (_, effect) in effects {
            match effect {
                Effect::None => {}
                Effect::Answer(origin, answer) => self.answer(origin, answer),
                Effect::Order(task, run) => self.order_start(task, run),
                Effect::JobEnded(job) => self.log_job_end(job),
                Effect::RenewLease(worker) => self.resume_lease_renewal(&worker),
                Effect::AcknowledgeEnd(incarnation, number) => {
                    if let Some(lead) = self.lead.as_deref_mut() {
                        if let Some(state) = lead.worker_states.get_incarnation_mut(&incarnation) {
                            state.last_end_committed = state.last_end_committed.max(number);
                            if state.last_end_committed == state.last_end_seen {
                                state.next_poll = self.now;
                            }
                        }
                    }
                    self.poll_if_due(&incarnation.worker);
                }
            }
        }
    }

    pub(super) fn answer(&mut self, origin: Origin, answer: CallerAnswer) {
        match origin {
            Origin::Local(ticket) => self.finish_request(ticket, answer),
            Origin::Peer(peer, ticket) => {
                let answer = Some(answer);
                self.send_via_hub(peer, PeerMessage::Reply { ticket, answer });
            }
        }
    }

    /// Requests the next page of the ledger for a new leader, if it is due and none is pending.
    pub(super) fn run_loading(&mut self) {
        let Some(lead) = self.lead.as_deref().filter(|lead| !lead.loaded) else {
            return;
        };
        let due = lead.load_at.is_none_or(|at| self.now >= at);
        if due && !self.is_reading_ledger() {
            self.load_ledger();
        }
    }

    pub(super) fn load_ledger(&mut self) {
        if let Some(lead) = self.lead.as_deref_mut() {
            lead.load_at = None;
        }
        self.record_store_request();
        self.read_ledger();
    }

    /// Ends a new leader's loading: its book contains the entire ledger.
    pub(super) fn end_loading(&mut self) {
        let applied = self.applied;
        let former_table_version = self.book.newest_table_version();
        if let Some(lead) = self.lead.as_deref_mut() {
            lead.sequence = applied;
            lead.loaded = true;
            lead.former_table_version = former_table_version;
        }
        self.record_announced_version("the ledger", former_table_version);
        self.catching_up = false;
        self.adopt_runs();
    }
}

pub(super) fn batch_row(sequence: u64) -> RowKey {
    RowKey::new(LEDGER_TABLE, LEAD_PART, batch_key(sequence))
}

/// Moves as many pending events as fit into one row to a batch, and their effects to `effects`.
fn take_batch(
    pending: &mut VecDeque<Proposal>,
    row_bytes: usize,
    effects: &mut Vec<(bool, Effect)>,
) -> LedgerBatch {
    let mut batch = LedgerBatch::default();
    let mut bytes = 0;
    while let Some(proposal) = pending.front() {
        bytes += proposal.event.as_ref().map_or(0, estimate_bytes);
        let full = bytes > row_bytes && !batch.events.is_empty();
        if batch.events.len() >= MAX_BATCH_EVENTS || full || mixes_kinds(&batch, proposal) {
            break;
        }
        let proposal = pending.pop_front().expect("the queue is not empty");
        effects.push((proposal.event.is_some(), proposal.effect));
        batch.events.extend(proposal.event);
    }
    batch
}

/// Returns whether the next event may be skipped and those of the batch may not, or the reverse.
///
/// They are not mixed: an instance of an older version skips a batch with events that it cannot decode, and
/// must not miss job events that it could decode.
fn mixes_kinds(batch: &LedgerBatch, next: &Proposal) -> bool {
    let first = batch.events.first().zip(next.event.as_ref());
    first.is_some_and(|(first, next)| first.may_be_skipped() != next.may_be_skipped())
}

/// Returns whether the rows of a conflict show that an earlier copy of the write was applied.
fn own_batch_is_stored(rows: &[StoredRow], commit: &InFlightCommit, row_version: u64) -> bool {
    let key = batch_row(commit.sequence);
    let leader_row_unchanged = rows
        .iter()
        .any(|row| row.key.table == CELL_TABLE && row.version == row_version);
    let batch_is_stored = rows
        .iter()
        .any(|row| row.key == key && row.value == commit.rows[0]);
    leader_row_unchanged && batch_is_stored
}

/// Estimates the encoded size of an event, in bytes.
fn estimate_bytes(event: &LedgerEvent) -> usize {
    /// Encoded size of an event without its texts, in bytes.
    const EVENT: usize = 64;
    /// Encoded size of a step of a job, in bytes.
    const STEP: usize = 96;
    match event {
        LedgerEvent::Accepted { spec, .. } | LedgerEvent::AcceptedCancelled { spec, .. } => {
            EVENT + spec.payload.len() + STEP * spec.steps.len()
        }
        LedgerEvent::Ended { saved, .. } => EVENT + saved.len(),
        _ => EVENT,
    }
}
