//! Keeping the ledger: events are gathered and written under the leader's row.

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

/// Most events in one batch, which is a row.
const BATCH_EVENTS: usize = 400;
/// Most rows in one write, of 64 KiB each in the table's encoding: well below the 1 MB that a
/// transaction takes. A slow table takes some half a second for a write, however long it is.
const WRITE_ROWS: usize = 10;
/// Share of the longest row that a batch may take, since values grow when they are encoded.
const ROW_SHARE: usize = 2;
/// Time between the starts of two commits: events that come meanwhile go together.
const COMMIT_PACE: Duration = Duration::from_millis(24);
/// Longest wait for the answer to a write. It only frees the connection: whether the write was done
/// is read back long before.
const COMMIT_TIME: Duration = Duration::from_millis(3_000);
/// Pause after a write that was refused.
const BUSY_PAUSE: Duration = Duration::from_millis(60);
/// Copies of one write that the table turned away, after which it counts as away.
const REFUSED_AWAY: u32 = 3;
/// A write without an answer for so long, while nothing else has one: the table counts as away.
const STORE_AWAY: Duration = Duration::from_millis(1_100);
/// A table that has answered anything so lately is there, if only slow.
const STORE_HEARD: Duration = Duration::from_millis(800);
/// A write without an answer for so long: the table counts as away whatever else it answers.
const STORE_STUCK: Duration = Duration::from_millis(3_000);

/// Who asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// A caller of this instance.
    Own(Ticket),
    /// A caller of a peer.
    Peer(PeerAddress, Ticket),
}

/// What follows once an event is kept.
#[derive(Clone, Debug)]
pub(super) enum Effect {
    None,
    Answer(Origin, CallerAnswer),
    Order(TaskKey, u64),
    AcknowledgeEnd(Incarnation, u64),
    /// A job is over.
    JobEnded(JobId),
    /// A worker's hold may be prolonged again.
    RenewLease(WorkerId),
}

/// An event that is to be kept; without one, the effect waits for those before it.
#[derive(Debug)]
pub(super) struct Proposal {
    pub(super) event: Option<LedgerEvent>,
    pub(super) effect: Effect,
}

/// Batches that are being written.
#[derive(Debug)]
pub(super) struct InFlightCommit {
    /// Number of the first batch.
    pub(super) sequence: u64,
    /// The batches, encoded.
    pub(super) rows: Vec<Vec<u8>>,
    pub(super) events: Vec<LedgerEvent>,
    /// What follows, and whether it came with an event.
    pub(super) effects: Vec<(bool, Effect)>,
    pub(super) since: CoreTime,
    /// Copies that have no answer yet.
    pub(super) copies: u32,
    pub(super) sent_at: CoreTime,
    pub(super) next_at: CoreTime,
    /// When it is read back whether it was done, unless that is asked already.
    pub(super) check_at: CoreTime,
    pub(super) checking: bool,
    /// Whether a copy had no answer, so that it may have been done or be done later.
    pub(super) uncertain: bool,
    /// Copies that the table surely did not carry out.
    pub(super) refused: u32,
}

impl EntryCore {
    /// Applies an event at once and has it kept; the effect follows when it is.
    pub(super) fn propose(&mut self, event: LedgerEvent, effect: Effect) {
        let job = event.job();
        let was_open = job.is_some_and(|job| self.is_open(job));
        self.apply_event(&event);
        let over = job.filter(|job| was_open && !self.is_open(*job));
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
        if let Some(job) = over {
            lead.ending.insert(job);
            self.follow_up(Effect::JobEnded(job));
        }
    }

    fn is_open(&self, job: JobId) -> bool {
        let record = self.book.job(job);
        record.is_some_and(|record| record.outcome == JobOutcome::Open)
    }

    /// Logs that the end of a job is kept.
    fn note_over(&mut self, job: JobId) {
        let now = self.now;
        if let Some(lead) = self.lead.as_deref_mut() {
            lead.ending.remove(&job);
            lead.shares.end_job(job, now);
        }
        let Some(record) = self.book.job(job) else {
            return;
        };
        let age = self.wall.saturating_sub(record.accepted_at);
        let detail = format!("{:?} kept {age} ms after its acceptance", record.outcome);
        let given_up = record.given_up_task().map(|(task, count)| {
            let ends: Vec<String> = count.ends().iter().map(CrashEnd::to_string).collect();
            let (ends, chance) = (ends.join("; "), count.chance_ppm());
            let detail =
                format!("workers ended under it, {chance:.3} in a million by chance: {ends}");
            (task.to_string(), detail)
        });
        self.counters.count("jobs", "over");
        self.log("ledger", "over", format!("{job:016x}"), detail);
        if let Some((task, detail)) = given_up {
            self.counters.count("jobs", "given_up_as_crashing");
            self.log("ledger", "given_up", task, detail);
        }
    }

    /// Has an effect follow once all events before it are kept.
    pub(super) fn follow_up(&mut self, effect: Effect) {
        if let Some(lead) = self.lead.as_deref_mut() {
            lead.pending.push_back(Proposal {
                event: None,
                effect,
            });
        }
    }

    pub(super) fn note_store_request(&mut self) {
        let now = self.now;
        if let Some(lead) = self.lead.as_deref_mut() {
            lead.unanswered_since.get_or_insert(now);
        }
    }

    /// Tells whether the table has left a write unanswered for long.
    pub(super) fn store_is_unavailable(&self) -> bool {
        let Some(lead) = self.lead.as_deref() else {
            return false;
        };
        let flight = lead.flight.as_ref();
        lead.unavailable_since.is_some()
            || flight.is_some_and(|flight| {
                let age = self.age(flight.since);
                let silent = self
                    .store_last_contact
                    .is_none_or(|at| self.age(at) > STORE_HEARD);
                flight.refused >= REFUSED_AWAY || (silent && age > STORE_AWAY) || age > STORE_STUCK
            })
    }

    pub(super) fn run_commit(&mut self) {
        let now = self.now;
        let row_bytes = self.settings.row_bytes / ROW_SHARE;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        if !lead.loaded {
            return;
        }
        if lead.flight.is_some() {
            self.pursue_commit();
            return;
        }
        if lead.pending.is_empty() || now < lead.next_commit_at {
            return;
        }
        let mut rows = Vec::new();
        let mut events = Vec::new();
        let mut effects = Vec::new();
        while rows.len() < WRITE_ROWS && !lead.pending.is_empty() {
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
        lead.next_commit_at = now + COMMIT_PACE;
        lead.flight = Some(InFlightCommit {
            sequence: lead.sequence + 1,
            rows,
            events,
            effects,
            since: now,
            copies: 1,
            sent_at: now,
            next_at: now,
            check_at: now + lead.check_pause(),
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
        let Some(flight) = lead.flight.as_ref() else {
            return;
        };
        let leader = RowKey::new(CELL_TABLE, LEAD_PART, "leader");
        let fenced = self.enforces(SiteGuard::OwnRow);
        let numbered = flight.sequence..;
        let writes = numbered.zip(&flight.rows).map(|(sequence, row)| RowWrite {
            key: batch_row(sequence),
            value: row.clone(),
        });
        let conditions = [
            RowCondition {
                key: leader,
                version: lead.row_version,
            },
            // The others follow it in the same write, so it stands for all of them.
            RowCondition {
                key: batch_row(flight.sequence),
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
            sequence: flight.sequence,
            sent_at: self.now,
        };
        self.note_store_request();
        self.send_store_request_within(purpose, request, COMMIT_TIME);
    }

    pub(super) fn end_commit(&mut self, sequence: u64, sent_at: CoreTime, outcome: StoreOutcome) {
        let now = self.now;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let own = |flight: &InFlightCommit| flight.sequence == sequence;
        if !lead.flight.as_ref().is_some_and(own) {
            return;
        }
        if matches!(
            outcome,
            StoreOutcome::Applied { .. } | StoreOutcome::Conflict { .. }
        ) {
            lead.note_commit(now.saturating_sub(sent_at), now);
        }
        let Some(flight) = lead.flight.as_mut() else {
            return;
        };
        match outcome {
            StoreOutcome::Applied { .. } => self.finish_commit(sent_at),
            StoreOutcome::Conflict { rows } => {
                let own = own_batch_stands(&rows, flight, lead.row_version);
                if own {
                    let begun_at = flight.since;
                    self.finish_commit(begun_at);
                } else {
                    self.step_down("a write under the own row was refused");
                    self.read_leader_row();
                }
            }
            StoreOutcome::Lost => {
                flight.copies = flight.copies.saturating_sub(1);
                flight.next_at = now;
                flight.uncertain = true;
                self.withdraw_uncommitted();
            }
            _ => {
                flight.copies = flight.copies.saturating_sub(1);
                flight.next_at = now + BUSY_PAUSE;
                flight.refused += 1;
                self.withdraw_uncommitted();
            }
        }
    }

    /// The write on its way is kept, and the own row stood at a time or later. It goes by when that was
    /// asked: an answer may have waited while this instance stood still, and others lead meanwhile.
    pub(super) fn finish_commit(&mut self, confirmed_at: CoreTime) {
        let now = self.now;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let Some(flight) = lead.flight.take() else {
            return;
        };
        lead.sequence = flight.sequence + flight.rows.len() as u64 - 1;
        lead.confirmed_at = lead.confirmed_at.max(confirmed_at);
        lead.note_store_answer();
        lead.unavailable_since = None;
        self.applied = lead.sequence;
        for job in flight.events.iter().filter_map(LedgerEvent::job) {
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
        for (sequence, row) in (flight.sequence..).zip(flight.rows) {
            self.tell_standbys(&standbys, limited, epoch, sequence, row);
        }
        self.run_effects(flight.effects);
    }

    /// Sends a batch that is kept to the standbys: by itself to each, or, where the leader is short of
    /// means, to the first of them, which passes it on.
    ///
    /// By value to five standbys the ledger is half of all that the leader sends, 330 of some 620
    /// bytes a start. Passed on it reaches the last one four ways later; while one of them is cut off
    /// those behind it read it from the table.
    fn tell_standbys(
        &mut self,
        standbys: &[PeerAddress],
        passed_on: bool,
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
            Some((first, others)) if passed_on => self.send_message(*first, committed(row, others)),
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
                Effect::Order(task, run) => self.begin_order(task, run),
                Effect::JobEnded(job) => self.note_over(job),
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
            Origin::Own(ticket) => self.finish_request(ticket, answer),
            Origin::Peer(peer, ticket) => {
                let answer = Some(answer);
                self.send_via_hub(peer, PeerMessage::Reply { ticket, answer });
            }
        }
    }

    /// Has a leader's reading of the ledger go on: at the time set, or if nothing else sees to it.
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
        self.note_store_request();
        self.read_ledger();
    }

    /// The book holds the whole ledger.
    pub(super) fn end_loading(&mut self) {
        let applied = self.applied;
        if let Some(lead) = self.lead.as_deref_mut() {
            lead.sequence = applied;
            lead.loaded = true;
        }
        self.catching_up = false;
        self.adopt_runs();
    }
}

pub(super) fn batch_row(sequence: u64) -> RowKey {
    RowKey::new(LEDGER_TABLE, LEAD_PART, batch_key(sequence))
}

/// Takes as many events as one row holds, with what follows when they are kept.
fn take_batch(
    pending: &mut VecDeque<Proposal>,
    row_bytes: usize,
    effects: &mut Vec<(bool, Effect)>,
) -> LedgerBatch {
    let mut batch = LedgerBatch::default();
    let mut bytes = 0;
    while let Some(proposal) = pending.front() {
        bytes += proposal.event.as_ref().map_or(0, rough_bytes);
        let full = bytes > row_bytes && !batch.events.is_empty();
        if batch.events.len() >= BATCH_EVENTS || full || is_of_another_kind(&batch, proposal) {
            break;
        }
        let proposal = pending.pop_front().expect("it was just seen");
        effects.push((proposal.event.is_some(), proposal.effect));
        batch.events.extend(proposal.event);
    }
    batch
}

/// Tells whether an event is about a worker and those of the batch about jobs, or the other way round:
/// a batch that an instance cannot read, since it is of an older version, must not hold events of
/// jobs that it can.
fn is_of_another_kind(batch: &LedgerBatch, next: &Proposal) -> bool {
    let first = batch.events.first().zip(next.event.as_ref());
    first.is_some_and(|(first, next)| first.job().is_some() != next.job().is_some())
}

/// Tells whether the rows of a conflict show that an earlier copy of the write was done.
fn own_batch_stands(rows: &[StoredRow], flight: &InFlightCommit, row_version: u64) -> bool {
    let key = batch_row(flight.sequence);
    let leader_stands = rows
        .iter()
        .any(|row| row.key.table == CELL_TABLE && row.version == row_version);
    let batch_stands = rows
        .iter()
        .any(|row| row.key == key && row.value == flight.rows[0]);
    leader_stands && batch_stands
}

/// Bytes that an event takes, roughly.
fn rough_bytes(event: &LedgerEvent) -> usize {
    /// An event without texts, encoded.
    const SMALL: usize = 64;
    /// A step of a job, encoded.
    const STEP: usize = 96;
    match event {
        LedgerEvent::Accepted { spec, .. } => SMALL + spec.payload.len() + STEP * spec.steps.len(),
        LedgerEvent::Ended { saved, .. } => SMALL + saved.len(),
        _ => SMALL,
    }
}
