//! Workers whose leases no leader renews, as recorded in the ledger. The record lets a successor use what
//! its predecessor knew about an unresponsive worker.
//!
//! Problem: a worker is lost, and its leader some seconds later. Without a record, the successor waits for
//! the longest lease that may have been requested, counted from the leader's end, and so does the next
//! successor. So a leader that has been out of contact with a worker for a while records in the ledger that
//! it no longer renews the worker's lease, and when the lease has expired. From then on no leader renews the
//! lease, even if the worker answers, until the ledger records that renewal resumes. The writes of a leader
//! that has lost its leadership fail, so a successor that has read the ledger can rely on the record.
//!
//! This costs two events of about 50 bytes each for a worker that stops responding, and none for an
//! occasional lost answer.
//!
//! A record tells the time left when it was made. An instance that reads it later counts from its reading, so a
//! leader that has just started would wait longer. So the leader also tells its standbys the time left now.

use std::collections::BTreeMap;
use std::time::Duration;

use super::commit::Effect;
use super::lead_state::LeadState;
use super::lease_renewal::SLOW_CLOCK_FACTOR;
use super::worker_state::{LeaseStop, WorkerState};
use super::EntryCore;
use crate::guard::SiteGuard;
use crate::ids::{CoreTime, Ticket, WorkerId};
use crate::ledger::LedgerEvent;
use crate::peer::{PeerAddress, PeerMessage, StoppedLeaseBound};

/// Time without contact after which the ledger records that the lease of a worker with runs is no longer
/// renewed, if the worker's port refuses connections or its entry is gone. It is slightly longer than the
/// time in which polls still renew the lease.
const STOP_IF_LOST_AFTER: Duration = Duration::from_millis(1_700);
/// Time without contact after which the record is made if there is no other sign of a loss: a poll that
/// waits, 1.5 s without contact, and a poll that times out meanwhile. With a shorter time, a worker that does
/// not respond for a moment, just before the table becomes slow or unavailable, would lose its runs, because
/// resuming its lease could not be committed.
const STOP_IF_UNRESPONSIVE_AFTER: Duration = Duration::from_millis(3_400);
/// Added to the usual time between answers of a worker whose polls wait longer.
const RESPONSE_GAP_SLACK: Duration = Duration::from_millis(100);
/// Age of the last confirmation of leadership up to which the table is assumed to answer: one request of an
/// idle leader, and one slow request.
const TABLE_ANSWERS_WITHIN: Duration = Duration::from_millis(1_500);
/// Unanswered polls after which the record is made for a worker that never answered this leader.
const STOP_AFTER_UNANSWERED: u32 = 2;
/// Difference by which a lease must expire sooner than recorded to be recorded again, for the next leader. A
/// recorded time can be too late: if a former leader sends heartbeats again, its end becomes known.
const RERECORD_DIFFERENCE: Duration = Duration::from_secs(1);
/// Nothing is recorded if more than one in this many of the workers with runs is unresponsive: the cause is
/// the leader's own link or CPU, and each of them would cost two events.
const LEADER_FAULT_DIVISOR: usize = 2;
/// Interval between two messages with the time left of such leases.
const BOUNDS_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of leases in such a message.
const MAX_TOLD_BOUNDS: usize = 64;
/// Time for which the leader's word on an expired lease is kept for an instance that reads its record late.
const KEEP_BOUNDS: Duration = Duration::from_secs(60);
/// Smallest number of unresponsive workers with runs for which nothing is recorded.
const MIN_LEADER_FAULT: usize = 4;

/// A lease that is no longer renewed.
#[derive(Clone, Copy, Debug)]
struct StoppedLease {
    /// Time by which it has expired.
    expires_at: CoreTime,
    /// When this instance learned of it. The worker had been out of contact for some time before.
    known_at: CoreTime,
    /// Epoch in which this instance itself recorded it as the leader; `None` if it was read from the ledger.
    recorded_in: Option<u64>,
    /// Which record of the worker it is.
    record: Ticket,
}

/// The leader's word on a record: until when the lease lasts at most.
#[derive(Clone, Copy, Debug)]
struct ToldBound {
    record: Ticket,
    expires_at: CoreTime,
}

/// Workers whose leases are not renewed.
#[derive(Debug, Default)]
pub(super) struct StoppedLeases {
    leases: BTreeMap<WorkerId, StoppedLease>,
    /// What the leader has told, also of records that this instance has not read yet.
    told: BTreeMap<WorkerId, ToldBound>,
}

impl StoppedLeases {
    /// Returns the time by which a worker's lease has expired, if it is no longer renewed.
    pub(super) fn expires_at(&self, worker: &WorkerId) -> Option<CoreTime> {
        self.leases.get(worker).map(|lease| lease.expires_at)
    }

    /// Returns a time since which a worker has been out of contact, if its lease is no longer renewed.
    pub(super) fn unresponsive_since(&self, worker: &WorkerId) -> Option<CoreTime> {
        self.leases.get(worker).map(|lease| lease.known_at)
    }

    /// Returns whether renewing a worker's lease is stopped according to the ledger.
    pub(super) fn state_of(&self, worker: &WorkerId) -> LeaseStop {
        match self.leases.contains_key(worker) {
            true => LeaseStop::Stopped,
            false => LeaseStop::None,
        }
    }

    /// Removes all records, because the ledger is read again.
    pub(super) fn clear(&mut self) {
        self.leases.clear();
    }

    /// Applies a record. A lease that the leader has told to expire sooner does.
    fn apply(&mut self, worker: &WorkerId, over: Duration, record: Ticket, now: CoreTime) {
        let told = self.told.get(worker);
        let told = told.filter(|told| record > 0 && told.record == record);
        let expires_at = now + over;
        let lease = StoppedLease {
            expires_at: told.map_or(expires_at, |told| told.expires_at.min(expires_at)),
            known_at: now,
            recorded_in: None,
            record,
        };
        let known = self.leases.entry(worker.clone()).or_insert(lease);
        *known = StoppedLease {
            known_at: known.known_at,
            ..lease
        };
    }

    /// Takes the leader's word on a record. It is of no use for any other record of the worker, between which the
    /// lease was renewed.
    fn record_bound(&mut self, bound: StoppedLeaseBound, now: CoreTime) {
        // The local clock may run faster than the leader's.
        let left = Duration::from_millis(bound.remaining_ms).mul_f64(SLOW_CLOCK_FACTOR);
        let told = ToldBound {
            record: bound.record,
            expires_at: now + left,
        };
        if let Some(lease) = self.leases.get_mut(&bound.worker) {
            if told.record > 0 && lease.record == told.record {
                lease.expires_at = lease.expires_at.min(told.expires_at);
            }
        }
        self.told
            .retain(|_, told| now < told.expires_at + KEEP_BOUNDS);
        self.told.insert(bound.worker, told);
    }
}

impl EntryCore {
    /// Applies a ledger event to the state that is built from the ledger.
    pub(super) fn apply_event(&mut self, event: &LedgerEvent) {
        match event {
            // The time left was calculated when the event was proposed, so counted from now it is long
            // enough.
            LedgerEvent::HoldStopped {
                worker,
                over_ms,
                record,
            } => {
                let over = Duration::from_millis(*over_ms);
                self.stopped_leases.apply(worker, over, *record, self.now);
            }
            LedgerEvent::HoldResumed { worker } => {
                self.stopped_leases.leases.remove(worker);
            }
            event => {
                if let LedgerEvent::Started { worker, .. } = event {
                    self.told_workers.forget(worker);
                }
                self.book.apply(event);
            }
        }
    }

    /// Returns when no lease that former leaders requested from a worker can last any longer.
    pub(super) fn former_leases_expire_at(&self, worker: &WorkerId) -> CoreTime {
        let former = self.former_leaders.leases_expire_at();
        let epoch = self.lead.as_deref().map(|lead| lead.epoch);
        let is_local =
            |lease: &&StoppedLease| lease.recorded_in.is_some() && lease.recorded_in == epoch;
        // A record by this leader itself contains what it assumed then. It may know more now.
        let record = self
            .stopped_leases
            .leases
            .get(worker)
            .filter(|lease| !is_local(lease));
        match record.map(|lease| lease.expires_at) {
            Some(at) if self.former_leaders.may_miss_leaders(self.now) => at,
            Some(at) if self.enforces(SiteGuard::KnownHolds) => at.min(former),
            _ => former,
        }
    }

    /// Returns whether, according to the ledger, a worker's former leases expire sooner than this leader
    /// calculates.
    pub(super) fn is_bounded_by_ledger(&self, worker: &WorkerId) -> bool {
        self.former_leases_expire_at(worker) < self.former_leaders.leases_expire_at()
    }

    /// Records in the ledger which unresponsive workers have leases that are no longer renewed.
    pub(super) fn stop_lease_renewals(&mut self) {
        let event_time = self.now.saturating_sub(self.lag);
        let Some(lead) = self.lead.as_deref() else {
            return;
        };
        let hands_over = self.is_handing_over();
        let unresponsive = |(_, state): &(&WorkerId, &WorkerState)| {
            must_stop_renewal(state, event_time, hands_over)
        };
        let workers: Vec<WorkerId> = lead
            .worker_states
            .iter()
            .filter(unresponsive)
            .map(|(id, _)| id.clone())
            .collect();
        let due: Vec<(WorkerId, u64)> = workers
            .iter()
            .filter_map(|id| self.lease_to_stop(lead, id))
            .collect();
        // If this cannot be committed now, neither could resuming the lease once the worker answers.
        let answers =
            self.age(lead.confirmed_at) < TABLE_ANSWERS_WITHIN && !self.store_is_unavailable();
        if due.is_empty() || !answers || is_leader_fault(lead, workers.len()) {
            return;
        }
        for (worker, over_ms) in due {
            if let Some(state) = self.worker_state_mut(&worker) {
                state.lease_stop = LeaseStop::Stopped;
            }
            let detail = format!("expires in at most {over_ms} ms");
            self.log("workers", "hold_stopped", worker.to_string(), detail);
            let event = LedgerEvent::HoldStopped {
                worker: worker.clone(),
                over_ms,
                record: self.take_ticket(),
            };
            self.propose(event, Effect::None);
            let epoch = self.lead.as_deref().map(|lead| lead.epoch);
            if let Some(lease) = self.stopped_leases.leases.get_mut(&worker) {
                lease.recorded_in = epoch;
            }
        }
    }

    /// Returns an unresponsive worker and the milliseconds until its lease has expired, if that is to be
    /// recorded.
    fn lease_to_stop(&self, lead: &LeadState, id: &WorkerId) -> Option<(WorkerId, u64)> {
        let state = lead.worker_states.get(id)?;
        let left = self.any_lease_left(id, state);
        let recorded = self.stopped_leases.expires_at(id);
        let sooner = recorded.is_some_and(|at| self.now + left + RERECORD_DIFFERENCE < at);
        let due = match state.lease_stop {
            LeaseStop::None => true,
            LeaseStop::Stopped => sooner && !state.token_accepted,
            LeaseStop::Resuming => false,
        };
        due.then(|| (id.clone(), left.as_millis() as u64 + 1))
    }

    /// Returns whether a record of a lease that is no longer renewed is not committed yet.
    pub(super) fn has_uncommitted_lease_stop(&self) -> bool {
        let is_stop = |event: &LedgerEvent| matches!(event, LedgerEvent::HoldStopped { .. });
        self.lead.as_deref().is_some_and(|lead| {
            let pending = lead.pending.iter().filter_map(|it| it.event.as_ref());
            let in_flight = lead.in_flight_commit.iter().flat_map(|it| &it.events);
            pending.chain(in_flight).any(is_stop)
        })
    }

    /// Returns the time until no lease of this leader or a former one can last any longer on a worker.
    fn any_lease_left(&self, id: &WorkerId, state: &WorkerState) -> Duration {
        let local = state.lease_left(self.now).mul_f64(SLOW_CLOCK_FACTOR);
        let former = self.former_leases_expire_at(id).saturating_sub(self.now);
        local.max(former)
    }

    /// Tells the standbys for how long the leases of unresponsive workers last at most, at intervals.
    pub(super) fn share_lease_bounds(&mut self) {
        let now = self.now;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        if self.stopped_leases.leases.is_empty() || now < lead.next_lease_bounds {
            return;
        }
        lead.next_lease_bounds = now + BOUNDS_INTERVAL;
        for standby in self.live_standbys() {
            self.send_lease_bounds(standby);
        }
    }

    /// Tells an instance for how long the leases of unresponsive workers last at most.
    pub(super) fn send_lease_bounds(&mut self, to: PeerAddress) {
        let Some(lead) = self.lead.as_deref() else {
            return;
        };
        let bound_of = |(worker, lease): (&WorkerId, &StoppedLease)| {
            let state = lead.worker_states.get(worker)?;
            let waits = !state.runs.is_empty() && state.lease_stop == LeaseStop::Stopped;
            let left = self.any_lease_left(worker, state);
            waits.then(|| StoppedLeaseBound {
                worker: worker.clone(),
                record: lease.record,
                remaining_ms: left.as_millis() as u64 + 1,
            })
        };
        let leases = self.stopped_leases.leases.iter();
        let bounds: Vec<StoppedLeaseBound> =
            leases.filter_map(bound_of).take(MAX_TOLD_BOUNDS).collect();
        if !bounds.is_empty() {
            self.send_message(to, PeerMessage::LeaseBounds { bounds });
        }
    }

    /// Handles the leader's word on leases that are no longer renewed.
    pub(super) fn handle_lease_bounds(
        &mut self,
        from: PeerAddress,
        bounds: Vec<StoppedLeaseBound>,
    ) {
        if !self.follows(from) || !self.enforces(SiteGuard::KnownHolds) {
            return;
        }
        for bound in bounds {
            self.stopped_leases.record_bound(bound, self.now);
        }
    }

    /// Proposes that the lease of a worker that has answered is renewed again, if it was stopped. It may be
    /// renewed once that is committed.
    pub(super) fn request_lease_renewal(&mut self, id: &WorkerId) {
        let commit_first = self.enforces(SiteGuard::ResumeKept);
        let state = self.worker_state_mut(id);
        let Some(state) = state.filter(|state| state.lease_stop == LeaseStop::Stopped) else {
            return;
        };
        state.lease_stop = match commit_first {
            true => LeaseStop::Resuming,
            false => LeaseStop::None,
        };
        let worker = id.clone();
        let event = LedgerEvent::HoldResumed { worker };
        self.propose(event, Effect::RenewLease(id.clone()));
    }

    /// Resumes renewing a worker's lease, now that this is committed.
    pub(super) fn resume_lease_renewal(&mut self, id: &WorkerId) {
        let now = self.now;
        let Some(state) = self.worker_state_mut(id) else {
            return;
        };
        state.lease_stop = LeaseStop::None;
        state.next_poll = now;
        self.log("workers", "hold_resumed", id.to_string(), String::new());
        self.poll_if_due(id);
    }

    /// Drops the records of workers that were forgotten.
    pub(super) fn forget_stopped_leases(&mut self) {
        let Some(lead) = self.lead.as_deref().filter(|lead| lead.loaded) else {
            return;
        };
        let gone = |id: &&WorkerId| lead.workers_known && lead.worker_states.get(id).is_none();
        let leases = self.stopped_leases.leases.keys();
        let gone: Vec<WorkerId> = leases.filter(gone).cloned().collect();
        for worker in gone {
            self.propose(LedgerEvent::HoldResumed { worker }, Effect::None);
        }
    }
}

/// Returns whether a worker with runs has been out of contact for so long that renewing its lease must stop. A
/// leader that hands over does not wait if the worker's port refuses, or if it does not know the worker's address
/// and so has never renewed its lease: its successor would count from the end of its leadership.
fn must_stop_renewal(state: &WorkerState, event_time: CoreTime, hands_over: bool) -> bool {
    let since = state.last_contact.unwrap_or(state.known_at);
    let polled = state.token_accepted
        || state.entry.address.is_empty()
        || state.unanswered >= STOP_AFTER_UNANSWERED;
    let lost = state.refused || !state.listed;
    if hands_over && (state.refused || state.entry.address.is_empty()) {
        return !state.runs.is_empty() && polled;
    }
    let min_stop_after = if lost {
        STOP_IF_LOST_AFTER
    } else {
        STOP_IF_UNRESPONSIVE_AFTER
    };
    let stop_after = min_stop_after.max(state.usual_response_gap() + RESPONSE_GAP_SLACK);
    !state.runs.is_empty() && polled && event_time.saturating_sub(since) >= stop_after
}

/// Returns whether so many workers are unresponsive that the cause is the leader itself.
fn is_leader_fault(lead: &LeadState, unresponsive: usize) -> bool {
    let busy = lead
        .worker_states
        .values()
        .filter(|state| !state.runs.is_empty());
    unresponsive >= MIN_LEADER_FAULT && unresponsive * LEADER_FAULT_DIVISOR > busy.count()
}
