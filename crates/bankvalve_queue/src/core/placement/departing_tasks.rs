//! Long-running tasks on workers that leave: they move before their workers end.
//!
//! A worker that leaves as planned ends with all that it runs, and from then on its lease must expire before its
//! tasks may start elsewhere. So capacity and permits are prepared while such a task still runs
//! (`restart_preparation`), then its run is stopped, and the task starts elsewhere as soon as the worker has
//! reported the end. The downtime is that of a stop and a start.
//!
//! Some workers leave sooner than permits or capacity are there. A run is then stopped just in time for the worker to
//! report its end, so that the task waits for its permit but not for the lease.

use std::time::Duration;

use crate::core::lead_state::LeadState;
use crate::core::live_run::RunPhase;
use crate::core::placement::worker_selection::{assign_workers, eligible_workers, is_eligible};
use crate::core::placement::StepToPlace;
use crate::core::worker_state::WorkerState;
use crate::core::EntryCore;
use crate::ids::{CoreTime, TaskKey, WorkerId};
use crate::policy::PolicySwitch;
use crate::queue_table::AdviceRule;

/// Time from the decision to stop a run until its end is reported, for which a permit must be valid in addition
/// to the time for committing the start.
const STOP_TIME: Duration = Duration::from_millis(700);
/// Workers that may respond without an entry and count as leaving, and one in how many if that is more. If many
/// entries are gone at once, they have lapsed while the table was unavailable, and come back.
const MIN_UNLISTED_DEPARTURES: usize = 2;
const UNLISTED_DEPARTURES_DIVISOR: usize = 10;

/// A long-running task that still runs, on a worker that leaves.
#[derive(Clone, Debug)]
pub(in crate::core) struct DepartingTask {
    pub(in crate::core) task: TaskKey,
    pub(in crate::core) worker: WorkerId,
}

/// Returns whether workers that respond although their entries are gone are leaving.
pub(in crate::core) fn unlisted_workers_depart(lead: &LeadState, now: CoreTime) -> bool {
    let states = lead.worker_states.values();
    let unlisted = states.filter(|state| !state.listed && state.is_responsive(now));
    let most = MIN_UNLISTED_DEPARTURES.max(lead.worker_states.len() / UNLISTED_DEPARTURES_DIVISOR);
    unlisted.count() <= most
}

/// Returns for how long a permit must be valid beyond the time for committing the start if a run is stopped first.
pub(in crate::core) fn permit_time_for_stop(rule: AdviceRule) -> Duration {
    STOP_TIME.min(Duration::from_millis(rule.valid_ms) / 2)
}

impl WorkerState {
    /// Returns whether the worker is leaving: it has announced that, or it responds although its entry is gone,
    /// if that means the same at present.
    pub(in crate::core) fn is_departing(&self, unlisted_depart: bool) -> bool {
        self.has_announced_departure() || (unlisted_depart && self.has_outlived_entry())
    }
}

impl EntryCore {
    /// Stops runs of a step on workers that leave: as many as can start elsewhere right after, and all whose workers
    /// have no more time left than a stop takes.
    pub(in crate::core) fn stop_departing_runs(&mut self, step: &StepToPlace) {
        if self.placement_is_blocked() || !self.uses(PolicySwitch::EarlyMove) {
            return;
        }
        let now = self.now;
        let Some(lead) = self.lead.as_deref() else {
            return;
        };
        let Some(restarting) = lead.restarting.get(&step.key) else {
            return;
        };
        if restarting.departing().is_empty() {
            return;
        }
        let ready = self.count_ready(step);
        let mut movable = ready.saturating_sub(restarting.tasks_down());
        let mut to_stop = Vec::new();
        let mut due = Vec::new();
        for departing in restarting.departing() {
            let Some(state) = lead.worker_states.get(&departing.worker) else {
                continue;
            };
            // A stop on a draining worker is exempt from the limit on tasks that are away at once.
            let may_stop = state.has_announced_departure() || step.spec.away_limit.is_none();
            let phase = state.runs.get(&departing.task).map(|live| &live.phase);
            match phase {
                Some(RunPhase::Stopping { .. }) => movable = movable.saturating_sub(1),
                Some(RunPhase::Running { .. }) if may_stop => {
                    let is_due = state.time_left(now) <= STOP_TIME;
                    let stops = if is_due { &mut due } else { &mut to_stop };
                    stops.push(departing.clone());
                }
                _ => {}
            }
        }
        to_stop.truncate(movable.saturating_sub(due.len()));
        for departing in due.into_iter().chain(to_stop) {
            self.log_often("placer", "depart", || {
                let detail = format!("stopped on {}, which leaves", departing.worker);
                (departing.task.to_string(), detail)
            });
            self.counters.count("stops", "departing");
            self.stop_run(&departing.worker, departing.task);
        }
    }

    /// Returns how many tasks of a step could start now, with permits that are valid long enough for a stop and a
    /// start.
    fn count_ready(&self, step: &StepToPlace) -> usize {
        let now = self.now;
        let Some(lead) = self.lead.as_deref() else {
            return 0;
        };
        let Some(rule) = step.rule else {
            return assign_workers(step, &eligible_workers(lead, step, now), now).len();
        };
        let until = now + permit_time_for_stop(rule) + lead.time_to_commit();
        let Some(advice) = lead.advice.get(&step.key) else {
            return 0;
        };
        let permitted = advice.permitted(until).filter_map(|id| {
            let state = lead.worker_states.get(id)?;
            is_eligible((id, state), step, now).then_some((id, state))
        });
        assign_workers(step, &permitted.collect::<Vec<_>>(), now).len()
    }
}
