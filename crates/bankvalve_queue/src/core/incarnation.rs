//! Incarnations: the successive processes of a worker under one id.
//!
//! A worker may restart under its id. The new process runs nothing, has seen no fencing token, numbers its
//! ends from one and has another clock. So everything that a leader knows about a worker, its
//! [`WorkerState`], belongs to one process and is replaced with it. References to a process from elsewhere
//! contain its [`Incarnation`] instead of the worker's id.
//!
//! The start time in a worker's run lists identifies the process that answers. Only one poll of a worker is
//! in flight at a time, so the lists that arrive later are newer. Start times are times of day, which may go
//! back, so they show only whether two processes differ. A worker's entry may be older or newer than its run
//! lists. While they come from different processes, no run starts based on that entry.
//!
//! Calls name only the worker's id, and a process takes a call that was meant for the one before. So calls that
//! mean something to one process only go on a connection on which that process has answered: lease renewals and
//! acknowledgements (see `lease_renewal`), and start orders, which name their process. A start order
//! that may still be carried out, because it had no answer, is stopped first in the next process, which makes the
//! worker refuse it.

use std::collections::BTreeSet;

use super::live_run::{LiveRun, RunPhase};
use super::worker_state::{ProcessEnd, WorkerState};
use super::EntryCore;
use crate::guard::SiteGuard;
use crate::ids::{CoreTime, RunId, TaskKey, WorkerId};
use crate::worker::HoldReport;

/// One process of a worker, numbered by this leader.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Incarnation {
    pub(super) worker: WorkerId,
    pub(super) number: u64,
}

impl EntryCore {
    /// Determines from run lists which process of a worker answers, and starts a new incarnation if it is
    /// another one.
    ///
    /// Returns whether the lists can be used. If they lack the start of the process although earlier ones had
    /// it, it is not known which process numbered their ends.
    pub(super) fn identify_process(
        &mut self,
        id: &WorkerId,
        sent_at: CoreTime,
        report: &HoldReport,
    ) -> bool {
        let Some(state) = self.worker_state_mut(id) else {
            return false;
        };
        let before = state.started;
        if !state.token_accepted {
            state.started = report.started;
        } else if before != report.started {
            if report.started.is_none() {
                self.counters.count("workers", "process_not_told");
                return false;
            }
            self.start_incarnation(id, sent_at, report);
            let started = report.started;
            self.counters.count("workers", "restarted");
            let detail = format!("{before:?} before, {started:?} now");
            self.log("workers", "restarted", id.to_string(), detail);
        }
        true
    }

    /// Starts a new incarnation of a worker. The runs of the previous process have ended, except those that
    /// the new one has started from an order in flight, or may still start.
    fn start_incarnation(&mut self, id: &WorkerId, sent_at: CoreTime, report: &HoldReport) {
        let now = self.now;
        let moved = self.take_moved_runs(id, sent_at, report);
        if self
            .worker_state_mut(id)
            .is_some_and(|state| !state.declared_lost)
        {
            self.declare_worker_lost(id, ProcessEnd::Restarted);
        }
        self.drop_permits_of(id);
        let own_numbers = self.enforces(SiteGuard::OwnNumbers);
        let own_clock = self.enforces(SiteGuard::OwnClock);
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let Some(before) = lead.worker_states.get(id) else {
            return;
        };
        let mut state = WorkerState::restarted(before, report.started, now);
        if !own_numbers {
            (state.last_end_seen, state.last_end_committed) =
                (before.last_end_seen, before.last_end_committed);
        }
        // No call with a deadline reaches a process before it has answered.
        if !own_clock {
            state.lease_until = before.lease_until;
        }
        for (task, mut live) in moved {
            live.unlisted_since = None;
            if live.phase == (RunPhase::Stopping { confirmed: None }) {
                lead.schedule_order(now, id, task);
            }
            state.add_run(task, live);
        }
        lead.worker_states.insert(id.clone(), state);
        lead.placement_due = true;
    }

    /// Removes and returns the runs of a worker that its next process has or may still start.
    fn take_moved_runs(
        &mut self,
        id: &WorkerId,
        sent_at: CoreTime,
        report: &HoldReport,
    ) -> Vec<(TaskKey, LiveRun)> {
        let now = self.now;
        let running = report.running.iter().map(|run| (run.task, run.run));
        let ended = report.ended.iter().map(|end| (end.task, end.run));
        let reported: BTreeSet<(TaskKey, RunId)> = running.chain(ended).collect();
        let may_lack_ends = self.enforces(SiteGuard::AllEnds) && !report.ended.is_empty();
        let loss = self.loss_of(id, ProcessEnd::Restarted);
        let state = self
            .lead
            .as_deref()
            .and_then(|lead| lead.worker_states.get(id));
        let (Some(loss), Some(state)) = (loss, state) else {
            return Vec::new();
        };
        let moved = state.runs.iter().filter_map(|(task, live)| {
            if reported.contains(&(*task, live.run)) {
                return Some((*task, live.clone()));
            }
            let how = || self.end_kind_with_worker(state, &loss, task, live);
            if live.may_arrive_late() {
                return Some((*task, live.clone().stopped_after(how(), now)));
            }
            // The list may be older than the run's start, or the run's end may follow the listed ones. The next
            // lists show which process has started it.
            let may_be_reported =
                live.is_running_since(sent_at) || (may_lack_ends && live.may_have_started());
            may_be_reported.then(|| (*task, live.clone().with_end_if_unlisted(how())))
        });
        let moved: Vec<(TaskKey, LiveRun)> = moved.collect();
        if let Some(state) = self.worker_state_mut(id) {
            for (task, _) in &moved {
                state.remove_run(task);
            }
        }
        moved
    }

    pub(super) fn worker_state_mut(&mut self, id: &WorkerId) -> Option<&mut WorkerState> {
        self.lead.as_deref_mut()?.worker_states.get_mut(id)
    }
}
