//! Workers that run on although their entries are gone, and where they listen.
//!
//! A leader that has seen such a worker's entry still polls the worker and moves its long-running tasks before it
//! ends. A successor finds no address in the table, so it would have to wait until no lease of a former leader can
//! last any longer. So the leader tells its standbys the addresses.

use std::collections::BTreeMap;
use std::time::Duration;

use super::worker_state::WorkerState;
use super::EntryCore;
use crate::ids::{CoreTime, WorkerId};
use crate::peer::{PeerAddress, PeerMessage, UnlistedWorker};
use crate::worker::WorkerEntry;

/// Interval between two messages to a standby.
const TELL_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of workers in a message. If more entries are gone, they have lapsed and come back.
const MAX_TOLD_WORKERS: usize = 16;
/// Time for which a standby uses what it was told: a change of leader and reading the ledger.
const KEEP_TOLD: Duration = Duration::from_secs(10);

/// Workers without entries that the leader has told this instance, each with the time of arrival.
#[derive(Debug, Default)]
pub(super) struct ToldWorkers(BTreeMap<WorkerId, (CoreTime, UnlistedWorker)>);

impl ToldWorkers {
    /// Returns the initial state of a worker with runs that has no entry.
    pub(super) fn state_of(&self, id: &WorkerId, now: CoreTime) -> WorkerState {
        let told = self.0.get(id);
        let recent = told.filter(|(at, _)| now.saturating_sub(*at) < KEEP_TOLD);
        let Some((told_at, worker)) = recent else {
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
        state
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
        let workers = self.unlisted_workers();
        if workers.is_empty() {
            return;
        }
        for to in self.live_standbys() {
            let workers = workers.clone();
            self.send_message(to, PeerMessage::UnlistedWorkers { workers });
        }
    }

    /// Tells an instance where workers with runs listen whose entries are gone.
    pub(super) fn send_unlisted_workers(&mut self, to: PeerAddress) {
        let workers = self.unlisted_workers();
        if !workers.is_empty() {
            self.send_message(to, PeerMessage::UnlistedWorkers { workers });
        }
    }

    fn unlisted_workers(&self) -> Vec<UnlistedWorker> {
        let states = self.lead.iter().flat_map(|lead| lead.worker_states.iter());
        let unlisted = states.filter(|(_, state)| {
            !state.listed && !state.runs.is_empty() && !state.process_address().is_empty()
        });
        let told = unlisted.map(|(id, state)| UnlistedWorker {
            worker: id.clone(),
            address: state.process_address().to_owned(),
            service: state.entry.service.clone(),
            domain: state.entry.domain.clone(),
        });
        told.take(MAX_TOLD_WORKERS).collect()
    }

    /// Handles the leader's message about workers whose entries are gone.
    pub(super) fn handle_unlisted_workers(&mut self, workers: Vec<UnlistedWorker>) {
        let now = self.now;
        if self.lead.is_some() {
            return;
        }
        let told = &mut self.told_workers.0;
        told.retain(|_, (at, _)| now.saturating_sub(*at) < KEEP_TOLD);
        told.extend(workers.into_iter().map(|it| (it.worker.clone(), (now, it))));
    }
}
