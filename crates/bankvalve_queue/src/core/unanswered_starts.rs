//! Start orders that a worker leaves unanswered while it answers polls.
//!
//! Such an order may arrive at any time, so its task cannot start elsewhere as it is. Once orders have been
//! unanswered for too long, the run is stopped: a worker rejects a run that it was told to stop, and the next list
//! without the run proves that it never started. The worker then is in back-off, so that the task is not placed
//! there again.

use std::time::Duration;

use super::live_run::RunPhase;
use super::worker_state::{WorkerState, FIRST_BACKOFF};
use super::EntryCore;
use crate::ids::{CoreTime, TaskKey, WorkerId};

/// Time for which a worker may leave start orders unanswered while it answers polls. An urgent task then still starts
/// elsewhere in time.
const MAX_UNANSWERED_STARTS: Duration = Duration::from_millis(2_500);

/// How many runs' start orders a worker has left unanswered for too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Unanswered {
    None,
    /// Those of one run. It has answered others since.
    OneRun,
    AllRuns,
}

impl EntryCore {
    /// Handles a start order without an answer. Stops the run, and all others whose orders the worker has not
    /// answered, if that has lasted for too long.
    pub(super) fn give_up_unanswered_starts(&mut self, id: &WorkerId, task: TaskKey) {
        let now = self.now;
        let lead = self.lead.as_deref_mut();
        let Some(state) = lead.and_then(|lead| lead.worker_states.get_mut(id)) else {
            return;
        };
        let affected = match state.record_start_unanswered(&task, now) {
            Unanswered::None => return,
            Unanswered::OneRun => vec![task],
            Unanswered::AllRuns => {
                let ordered = state
                    .runs
                    .iter()
                    .filter(|(_, live)| live.phase == RunPhase::Ordered);
                ordered.map(|(task, _)| *task).collect()
            }
        };
        state.back_off_without_answer(now);
        for task in affected {
            let why = "its worker answers polls but no start orders";
            self.log_often("runs", "refused", || {
                (task.to_string(), format!("on {id}: {why}"))
            });
            self.cancel_start(id, task, "unanswered", why);
        }
    }
}

impl WorkerState {
    /// Records that a start order for a run has arrived.
    pub(super) fn record_start_arrived(&mut self, task: &TaskKey, now: CoreTime) {
        self.start_arrived_at = Some(now);
        if let Some(live) = self.runs.get_mut(task) {
            live.unanswered_since = None;
        }
    }

    /// Records a start order without an answer. Returns which runs' orders have had none for too long.
    fn record_start_unanswered(&mut self, task: &TaskKey, now: CoreTime) -> Unanswered {
        if !self.is_responsive(now) {
            // A worker that answers nothing is handled by its lease.
            for live in self.runs.values_mut() {
                live.unanswered_since = None;
            }
            return Unanswered::None;
        }
        let is_too_long = |since: &CoreTime| now.saturating_sub(*since) >= MAX_UNANSWERED_STARTS;
        let first = self
            .runs
            .values()
            .filter_map(|live| live.unanswered_since)
            .min();
        let own = self.runs.get(task).and_then(|live| live.unanswered_since);
        if first
            .filter(is_too_long)
            .is_some_and(|since| self.start_arrived_at < Some(since))
        {
            Unanswered::AllRuns
        } else if own.filter(is_too_long).is_some() {
            Unanswered::OneRun
        } else {
            Unanswered::None
        }
    }

    /// Starts the back-off of a worker that leaves start orders unanswered though it answers polls, so that tasks whose
    /// runs are stopped are not placed there again. Several such runs have one cause, so they double the back-off
    /// once.
    pub(super) fn back_off_without_answer(&mut self, now: CoreTime) {
        if !self.is_responsive(now) {
            return;
        }
        if now >= self.backoff_until {
            self.start_backoff(now);
        } else {
            self.backoff_until = self.backoff_until.max(now + FIRST_BACKOFF);
        }
    }
}
