//! Workers whose holds are not prolonged, as the ledger tells: what a leader knows of a silent worker
//! outlives the leader.
//!
//! The pattern that it answers: a worker is lost, and its leader some seconds after it. The successor
//! would wait for the longest hold that may have been asked for, from the leader's end on, and the next
//! successor again. So a leader that has not heard a worker for a while keeps in the ledger that it
//! prolongs its hold no more, and when that is over at the latest. From then on no leader prolongs
//! it, whatever it hears, before the ledger has that it does again: the writes of a leader that has
//! lost its lead fail, so a successor that has read the ledger may rely on what stands there.
//!
//! Two small events for a worker that falls silent, some 50 bytes each; none for an answer that is lost
//! now and then.

use std::collections::BTreeMap;
use std::time::Duration;

use super::commit::Effect;
use super::lead_state::LeadState;
use super::lease_renewal::SLOW_CLOCK_FACTOR;
use super::worker_state::{LeaseStop, WorkerState};
use super::EntryCore;
use crate::guard::SiteGuard;
use crate::ids::{CoreTime, WorkerId};
use crate::ledger::LedgerEvent;

/// Silence of a worker with runs after which it is kept that its hold is not prolonged, where its port
/// refuses or its entry is gone: just more than the silence in which looks still prolong it.
const STOP_AFTER: Duration = Duration::from_millis(1_700);
/// The same where nothing else speaks against it: a look that waits, a silence of 1.5 s, and a look that
/// is given up in it. A worker that is silent for less, just before the table is slow or away, so that
/// nothing can be kept, would lose what it runs.
const STOP_AFTER_SILENCE: Duration = Duration::from_millis(3_400);
/// Added to the usual silence of a worker whose looks wait for longer.
const LOOK_PROLONGS: Duration = Duration::from_millis(100);
/// Age of the last certain moment up to which the table is taken to answer: a question of an idle leader,
/// and one that is slow.
const TABLE_ANSWERS: Duration = Duration::from_millis(1_500);
/// Looks at a worker that this leader never heard without an answer, for the same.
const STOP_UNANSWERED: u32 = 2;
/// A hold that is known to be over by so much sooner than was kept is kept anew, for the next leader: the
/// one before may have been heard again since.
const KEPT_ANEW: Duration = Duration::from_secs(1);
/// Workers with runs that are silent at once, as a divisor of all of them and at least, from which on
/// nothing is kept: it is the leader's own link or processor, and each of them would cost two events.
const COMMON_SHARE: usize = 2;
const COMMON_LEAST: usize = 4;

/// A hold that is not prolonged any more.
#[derive(Clone, Copy, Debug)]
struct StoppedHold {
    /// When it is surely over.
    over_at: CoreTime,
    /// When this instance heard of it; the worker has been silent since before.
    known_at: CoreTime,
}

/// Workers whose holds are not prolonged.
#[derive(Debug, Default)]
pub(super) struct StoppedLeases(BTreeMap<WorkerId, StoppedHold>);

impl StoppedLeases {
    /// When the hold of a worker is surely over, if it is not prolonged any more.
    pub(super) fn over_at(&self, worker: &WorkerId) -> Option<CoreTime> {
        self.0.get(worker).map(|hold| hold.over_at)
    }

    /// Since when a worker has been silent at the latest, if its hold is not prolonged any more.
    pub(super) fn unresponsive_since(&self, worker: &WorkerId) -> Option<CoreTime> {
        self.0.get(worker).map(|hold| hold.known_at)
    }

    /// How a worker's hold stands for one that has the ledger.
    pub(super) fn state_of(&self, worker: &WorkerId) -> LeaseStop {
        match self.0.contains_key(worker) {
            true => LeaseStop::Stopped,
            false => LeaseStop::None,
        }
    }

    /// Forgets all, for the ledger is read anew.
    pub(super) fn clear(&mut self) {
        self.0.clear();
    }
}

impl EntryCore {
    /// Applies an event of the ledger to what is made of it.
    pub(super) fn apply_event(&mut self, event: &LedgerEvent) {
        match event {
            // It was reckoned when the event was made, so counted from now it is no sooner.
            LedgerEvent::HoldStopped { worker, over_ms } => {
                let now = self.now;
                let over_at = now + Duration::from_millis(*over_ms);
                let hold = StoppedHold {
                    over_at,
                    known_at: now,
                };
                let kept = self.stopped_leases.0.entry(worker.clone()).or_insert(hold);
                kept.over_at = over_at;
            }
            LedgerEvent::HoldResumed { worker } => {
                self.stopped_leases.0.remove(worker);
            }
            event => self.book.apply(event),
        }
    }

    /// When no hold of a worker by leaders of before can last any more.
    pub(super) fn former_leases_expire_at(&self, worker: &WorkerId) -> CoreTime {
        let former = self.former_leaders.leases_expire_at();
        let began_at = self.lead.as_deref().map(|lead| lead.began_at);
        let own = |hold: &&StoppedHold| began_at.is_some_and(|began_at| hold.known_at >= began_at);
        // What this leader itself has kept is what it assumed then, and it may know better now.
        let told = self.stopped_leases.0.get(worker).filter(|hold| !own(hold));
        match told.map(|hold| hold.over_at) {
            Some(at) if self.former_leaders.may_lack_some(self.now) => at,
            Some(at) if self.enforces(SiteGuard::KnownHolds) => at.min(former),
            _ => former,
        }
    }

    /// Tells whether a leader before has kept more of a worker's hold than this one knows by itself.
    pub(super) fn is_bounded_by_ledger(&self, worker: &WorkerId) -> bool {
        self.former_leases_expire_at(worker) < self.former_leaders.leases_expire_at()
    }

    /// Keeps in the ledger of which silent workers the hold is not prolonged any more.
    pub(super) fn stop_silent_leases(&mut self) {
        let seen = self.now.saturating_sub(self.lag);
        let Some(lead) = self.lead.as_deref() else {
            return;
        };
        let silent = |(_, state): &(&WorkerId, &WorkerState)| is_unresponsive(state, seen);
        let workers: Vec<WorkerId> = lead
            .worker_states
            .iter()
            .filter(silent)
            .map(|(id, _)| id.clone())
            .collect();
        let due: Vec<(WorkerId, u64)> = workers
            .iter()
            .filter_map(|id| self.hold_to_stop(lead, id))
            .collect();
        // What cannot be kept now cannot be resumed either, once the worker is heard.
        let answers = self.age(lead.confirmed_at) < TABLE_ANSWERS && !self.store_is_unavailable();
        if due.is_empty() || !answers || is_common(lead, workers.len()) {
            return;
        }
        for (worker, over_ms) in due {
            if let Some(state) = self.worker_state_mut(&worker) {
                state.lease_stop = LeaseStop::Stopped;
            }
            let detail = format!("over in {over_ms} ms at most");
            self.log("workers", "hold_stopped", worker.to_string(), detail);
            let event = LedgerEvent::HoldStopped { worker, over_ms };
            self.propose(event, Effect::None);
        }
    }

    /// Time after which the hold of a silent worker is over, if it is not kept yet.
    fn hold_to_stop(&self, lead: &LeadState, id: &WorkerId) -> Option<(WorkerId, u64)> {
        let state = lead.worker_states.get(id)?;
        let own = state.lease_left(self.now).mul_f64(SLOW_CLOCK_FACTOR);
        let former = self.former_leases_expire_at(id).saturating_sub(self.now);
        let left = own.max(former);
        let kept = self.stopped_leases.over_at(id);
        let sooner = kept.is_some_and(|at| self.now + left + KEPT_ANEW < at);
        let due = match state.lease_stop {
            LeaseStop::None => true,
            LeaseStop::Stopped => sooner && !state.token_accepted,
            LeaseStop::Resuming => false,
        };
        due.then(|| (id.clone(), left.as_millis() as u64 + 1))
    }

    /// A worker was heard: its hold may be prolonged again once that is kept.
    pub(super) fn request_lease_renewal(&mut self, id: &WorkerId) {
        let kept_first = self.enforces(SiteGuard::ResumeKept);
        let state = self.worker_state_mut(id);
        let Some(state) = state.filter(|state| state.lease_stop == LeaseStop::Stopped) else {
            return;
        };
        state.lease_stop = match kept_first {
            true => LeaseStop::Resuming,
            false => LeaseStop::None,
        };
        let worker = id.clone();
        let event = LedgerEvent::HoldResumed { worker };
        self.propose(event, Effect::RenewLease(id.clone()));
    }

    /// It is kept that the hold of a worker is prolonged again.
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

    /// Drops what is kept of workers that are forgotten.
    pub(super) fn forget_stopped_leases(&mut self) {
        let Some(lead) = self.lead.as_deref().filter(|lead| lead.loaded) else {
            return;
        };
        let gone = |id: &&WorkerId| lead.workers_known && lead.worker_states.get(id).is_none();
        let gone: Vec<WorkerId> = self.stopped_leases.0.keys().filter(gone).cloned().collect();
        for worker in gone {
            self.propose(LedgerEvent::HoldResumed { worker }, Effect::None);
        }
    }
}

/// Tells whether a worker with runs has not been heard for so long that its hold is not prolonged.
fn is_unresponsive(state: &WorkerState, seen: CoreTime) -> bool {
    let since = state.last_contact.unwrap_or(state.known_at);
    let asked = state.token_accepted
        || state.entry.address.is_empty()
        || state.unanswered >= STOP_UNANSWERED;
    let lost = state.refused || !state.listed;
    let least = if lost { STOP_AFTER } else { STOP_AFTER_SILENCE };
    let usual = least.max(state.usual_response_gap() + LOOK_PROLONGS);
    !state.runs.is_empty() && asked && seen.saturating_sub(since) >= usual
}

/// Tells whether so many workers are silent that it is the leader's own doing.
fn is_common(lead: &LeadState, silent: usize) -> bool {
    let busy = lead
        .worker_states
        .values()
        .filter(|state| !state.runs.is_empty());
    silent >= COMMON_LEAST && silent * COMMON_SHARE > busy.count()
}
