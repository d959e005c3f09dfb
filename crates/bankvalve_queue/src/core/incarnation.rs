//! The processes of a worker, one after the other under one id.
//!
//! A worker may start again under its id. The next process holds nothing, has seen no fencing token,
//! numbers its ends from one and reads another clock. So all that a leader knows of a worker, its
//! [`WorkerState`], belongs to one process and is replaced with it, and what refers to a process from
//! elsewhere bears its [`Incarnation`] in place of the worker's id.
//!
//! Which process answers is told by the start that its lists bear. Looks at a worker are sent one at a
//! time, so that of two lists the one that came later is newer. Starts are times of day, which step back, so
//! they tell only whether two processes differ. An entry may be older or newer than a list: while they
//! are of different processes, nothing starts by that entry.
//!
//! Calls name the worker's id alone, so one that was meant for a process may reach the next. What it
//! may have begun there is found in the new lists; what it may still begin is stopped first, which
//! makes the worker turn the order away.

use std::collections::BTreeSet;

use super::live_run::{LiveRun, RunPhase};
use super::worker_state::{ProcessEnd, WorkerState};
use super::EntryCore;
use crate::guard::SiteGuard;
use crate::ids::{CoreTime, RunId, TaskKey, WorkerId};
use crate::worker::HoldReport;

/// One process of a worker, as this leader counts them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Incarnation {
    pub(super) worker: WorkerId,
    pub(super) number: u64,
}

impl EntryCore {
    /// Takes from a list which process of a worker answers, and begins anew if that is another one.
    ///
    /// Returns whether the list can be used: of one that does not tell its process, though that was told
    /// before, it is not known whose numbers it bears.
    pub(super) fn identify_process(
        &mut self,
        id: &WorkerId,
        sent_at: CoreTime,
        report: &HoldReport,
        clock_ms: Option<u64>,
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
            self.begin_incarnation(id, sent_at, report, clock_ms);
            let started = report.started;
            self.counters.count("workers", "restarted");
            let detail = format!("{before:?} before, {started:?} now");
            self.log("workers", "restarted", id.to_string(), detail);
        }
        true
    }

    /// Another process of a worker answers: the runs of the one before have ended, but for those that an
    /// order on its way may have begun, or begins yet, in the new one.
    fn begin_incarnation(
        &mut self,
        id: &WorkerId,
        sent_at: CoreTime,
        report: &HoldReport,
        clock_ms: Option<u64>,
    ) {
        let now = self.now;
        let hold_limit = self.settings.hold_limit;
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
        // A deadline by the old clock may be any time ahead on the new one: the worker cuts it to this.
        let held = clock_ms.map(|clock| clock + hold_limit.as_millis() as u64);
        state.lease_until = match own_clock {
            true => held.unwrap_or(0),
            false => before.lease_until,
        };
        for (task, live) in moved {
            if live.phase == (RunPhase::Stopping { confirmed: None }) {
                lead.have_order_due(now, id, task);
            }
            state.add_run(task, live);
        }
        lead.worker_states.insert(id.clone(), state);
        lead.placement_due = true;
    }

    /// Takes the runs of a worker off that its next process has or may yet begin.
    fn take_moved_runs(
        &mut self,
        id: &WorkerId,
        sent_at: CoreTime,
        report: &HoldReport,
    ) -> Vec<(TaskKey, LiveRun)> {
        let now = self.now;
        let running = report.running.iter().map(|run| (run.task, run.run));
        let ended = report.ended.iter().map(|end| (end.task, end.run));
        let told: BTreeSet<(TaskKey, RunId)> = running.chain(ended).collect();
        let loss = self.loss_of(id, ProcessEnd::Restarted);
        let state = self
            .lead
            .as_deref()
            .and_then(|lead| lead.worker_states.get(id));
        let (Some(loss), Some(state)) = (loss, state) else {
            return Vec::new();
        };
        let moved = state.runs.iter().filter_map(|(task, live)| {
            if told.contains(&(*task, live.run)) {
                return Some((*task, live.clone()));
            }
            let how = || self.end_with_worker(state, &loss, task, live);
            if live.may_arrive_late() {
                return Some((*task, live.clone().stopped_after(how(), now)));
            }
            // The list may be older than its start: the next one tells which process has begun it.
            let since_asked = live.is_running_since(sent_at);
            since_asked.then(|| (*task, live.clone().with_end_if_unlisted(how())))
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
