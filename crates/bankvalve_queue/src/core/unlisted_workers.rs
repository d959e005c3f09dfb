//! Workers whose entries are gone or may go, and where they listen.
//!
//! A leader that has seen such a worker's entry still polls the worker and moves its long-running tasks before it
//! ends. A successor finds no address in the table, so it would have to wait until no lease of a former leader can
//! last any longer. So the leader tells its standbys the addresses of workers without entries. An entry may also go
//! while leadership is handed over, when neither leader sees it go. So the leader tells its successor then the
//! addresses of workers that do not respond, whose entries go next, and of all workers with long-running tasks.

use std::collections::BTreeMap;
use std::time::Duration;

use super::worker_state::{WorkerState, UNRESPONSIVE_AFTER};
use super::EntryCore;
use crate::ids::{CoreTime, WorkerId};
use crate::peer::{PeerAddress, PeerMessage, UnlistedWorker};
use crate::worker::WorkerEntry;

/// Interval between two messages to a standby.
const TELL_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of workers in a message, and in the last one before leadership is handed over. If more entries are
/// gone, they have lapsed and come back.
const MAX_TOLD_WORKERS: usize = 16;
const MAX_HANDED_OVER_WORKERS: usize = 128;
/// Time for which a standby uses what it was told: a change of leader and reading the ledger.
const KEEP_TOLD: Duration = Duration::from_secs(10);

/// Workers that the leader has told this instance, each with the time of arrival.
#[derive(Debug, Default)]
pub(super) struct ToldWorkers(BTreeMap<WorkerId, (CoreTime, UnlistedWorker)>);

/// Why others are told where a worker listens; the most important reason comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum TellReason {
    Unlisted,
    Unresponsive,
    LongRunning,
}

impl ToldWorkers {
    fn recent(&self, id: &WorkerId, now: CoreTime) -> Option<&(CoreTime, UnlistedWorker)> {
        let told = self.0.get(id);
        told.filter(|(at, _)| now.saturating_sub(*at) < KEEP_TOLD)
    }

    /// Forgets where a worker listens, because a run has been placed there since: then it has had an entry again, maybe
    /// that of another process.
    pub(super) fn forget(&mut self, id: &WorkerId) {
        self.0.remove(id);
    }

    /// Returns the initial state of a worker with runs that has no entry.
    pub(super) fn state_of(&self, id: &WorkerId, now: CoreTime) -> WorkerState {
        let Some((told_at, worker)) = self.recent(id, now) else {
            return WorkerState::new(WorkerEntry::default(), false, now);
        };
        let entry = WorkerEntry {
            service: worker.service.clone(),
            address: worker.address.clone(),
            domain: worker.domain.clone(),
            ..WorkerEntry::default()
        };
        let mut state = WorkerState::new(entry, false, now);
        state.unlisted_at = Some(*told_at);
        state.is_told = true;
        state.told_address = Some(worker.address.clone());
        state
    }

    /// Returns where a worker listens according to the leader before.
    pub(super) fn address_of(&self, id: &WorkerId, now: CoreTime) -> Option<String> {
        self.recent(id, now)
            .map(|(_, worker)| worker.address.clone())
    }
}

impl EntryCore {
    /// Tells the standbys at intervals where workers with runs listen whose entries are gone.
    pub(super) fn tell_unlisted_workers(&mut self) {
        let now = self.now;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        if now < lead.next_unlisted_tell {
            return;
        }
        lead.next_unlisted_tell = now + TELL_INTERVAL;
        let workers =
            self.workers_to_tell(MAX_TOLD_WORKERS, |reason| reason == TellReason::Unlisted);
        if workers.is_empty() {
            return;
        }
        for to in self.live_standbys() {
            let workers = workers.clone();
            self.send_message(to, PeerMessage::UnlistedWorkers { workers });
        }
    }

    /// Tells a successor where workers listen whose entries it may not find.
    pub(super) fn send_unlisted_workers(&mut self, to: PeerAddress) {
        let workers = self.workers_to_tell(MAX_HANDED_OVER_WORKERS, |_| true);
        if !workers.is_empty() {
            self.send_message(to, PeerMessage::UnlistedWorkers { workers });
        }
    }

    fn workers_to_tell(
        &self,
        most: usize,
        applies: impl Fn(TellReason) -> bool,
    ) -> Vec<UnlistedWorker> {
        let states = self.lead.iter().flat_map(|lead| lead.worker_states.iter());
        let mut to_tell: Vec<(TellReason, &WorkerId, &WorkerState)> = states
            .filter_map(|(id, state)| Some((self.tell_reason(id, state)?, id, state)))
            .filter(|(reason, ..)| applies(*reason))
            .collect();
        to_tell.sort_by_key(|(reason, id, _)| (*reason, *id));
        to_tell.truncate(most);
        let told = to_tell.into_iter().filter_map(|(_, id, state)| {
            Some(UnlistedWorker {
                worker: id.clone(),
                address: self.address_to_tell(id, state)?.to_owned(),
                service: state.entry.service.clone(),
                domain: state.entry.domain.clone(),
            })
        });
        told.collect()
    }

    /// Returns where a worker listens: where it has answered this leader or a former one. What its entry says is
    /// told only once the entry is gone, since another program may have written it.
    fn address_to_tell<'a>(&'a self, id: &WorkerId, state: &'a WorkerState) -> Option<&'a str> {
        let told = self.told_workers.recent(id, self.now);
        let told = told.map(|(_, worker)| worker.address.as_str());
        let of_entry = Some(state.entry.address.as_str());
        let of_entry = of_entry.filter(|address| !state.listed && !address.is_empty());
        state.answered_at.as_deref().or(told).or(of_entry)
    }

    fn tell_reason(&self, id: &WorkerId, state: &WorkerState) -> Option<TellReason> {
        if state.runs.is_empty() || self.address_to_tell(id, state).is_none() {
            return None;
        }
        let without_contact = self.age(state.last_contact.unwrap_or(state.known_at));
        // A leader of some milliseconds has not tried the worker that the leader before found unresponsive.
        let told = state.last_contact.is_none() && self.told_workers.recent(id, self.now).is_some();
        if !state.listed {
            Some(TellReason::Unlisted)
        } else if state.refused || told || without_contact >= UNRESPONSIVE_AFTER {
            Some(TellReason::Unresponsive)
        } else {
            let mut runs = state.runs.values();
            runs.any(|run| run.lasting)
                .then_some(TellReason::LongRunning)
        }
    }

    /// Handles the leader's message about workers whose entries are gone or may go.
    pub(super) fn handle_unlisted_workers(
        &mut self,
        from: PeerAddress,
        workers: Vec<UnlistedWorker>,
    ) {
        let now = self.now;
        if !self.follows(from) {
            return;
        }
        let told = &mut self.told_workers.0;
        told.retain(|_, (at, _)| now.saturating_sub(*at) < KEEP_TOLD);
        told.extend(workers.into_iter().map(|it| (it.worker.clone(), (now, it))));
    }
}
