//! Trial runs in progress, and how many of them may run at the same time.
//!
//! An end of a worker makes each of its new runs a suspect, but as a rule at most one of them has caused it. So
//! the limits count ended workers, not suspects:
//!
//! - At most one worker in four, and at least two, may be at risk. Trials of suspects of the same ended worker
//!   put one worker at risk together. Each worker that has ended during a trial counts until it is declared lost.
//! - At first, one worker in eight, and at least one, may run a trial. Each trial that its worker survives allows
//!   one more. An end during a trial withdraws all of these again. So several guilty tasks of the same ended
//!   worker end few workers at once, and their ends stay distinguishable from a mass loss.
//! - Of each step, one suspect runs at a time: its tasks run the same program. The suspects of a gang start
//!   together, as soon as one more worker may be at risk.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use super::incarnation::Incarnation;
use super::worker_map::WorkerMap;
use super::worker_state::WorkerState;
use crate::ids::{CoreTime, StepKey, TaskKey, WorkerId};

/// One worker in this many, and at least one, may run a trial at first.
const TRIAL_DIVISOR: usize = 8;
/// One worker in this many, and at least two, may be at risk.
const RISK_DIVISOR: usize = 4;
/// Time after the last survived trial from which survived trials allow no more trials.
const SURVIVAL_MEMORY: Duration = Duration::from_secs(5);

/// A trial run.
#[derive(Debug)]
struct TrialRun {
    /// Process that the suspect was sent to.
    worker: Incarnation,
    /// Worker whose end made the task a suspect.
    ended_worker: Option<WorkerId>,
    /// Whether its own worker is known to have ended.
    has_ended: bool,
}

/// Trial runs in progress, and what recent ones showed.
#[derive(Debug, Default)]
pub(super) struct TrialRuns {
    running: BTreeMap<TaskKey, TrialRun>,
    /// Trials that their workers have survived since the last end during a trial.
    survived: usize,
    survived_at: CoreTime,
}

/// Trials in progress and their limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TrialUse {
    running: usize,
    max_running: usize,
    at_risk: usize,
    max_at_risk: usize,
}

impl fmt::Display for TrialUse {
    fn fmt(&self, into: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (running, max_running) = (self.running, self.max_running);
        let (at_risk, max_at_risk) = (self.at_risk, self.max_at_risk);
        write!(
            into,
            "{running} of {max_running} trials running, {at_risk} of {max_at_risk} workers at risk"
        )
    }
}

impl TrialRuns {
    /// Returns whether there are none.
    pub(super) fn is_empty(&self) -> bool {
        self.running.is_empty()
    }

    /// Records that a suspect's trial starts.
    pub(super) fn add(
        &mut self,
        task: TaskKey,
        worker: Incarnation,
        ended_worker: Option<WorkerId>,
    ) {
        self.running.insert(
            task,
            TrialRun {
                worker,
                ended_worker,
                has_ended: false,
            },
        );
    }

    /// Records that a worker has survived a suspect's trial.
    pub(super) fn record_survived(&mut self, task: &TaskKey, now: CoreTime) {
        if self.running.remove(task).is_some() {
            self.survived += 1;
            self.survived_at = now;
        }
    }

    /// Forgets trials whose run is gone, and what earlier ones showed once a worker has ended during one.
    pub(super) fn update(&mut self, workers: &WorkerMap, now: CoreTime) {
        let mut worker_ended = false;
        self.running.retain(|task, trial| {
            let state = workers.get_incarnation(&trial.worker);
            let has_ended = !state.is_some_and(is_up);
            worker_ended |= has_ended && !trial.has_ended;
            trial.has_ended = has_ended;
            let live = state.and_then(|state| state.runs.get(task));
            live.is_some_and(|live| live.on_trial)
        });
        if worker_ended || now.saturating_sub(self.survived_at) > SURVIVAL_MEMORY {
            self.survived = 0;
        }
    }

    /// Returns whether the limits allow the trials of a step's suspects now. `ended_workers` are those whose
    /// ends made them suspects.
    pub(super) fn may_start(
        &self,
        step: StepKey,
        ended_workers: &BTreeSet<WorkerId>,
        workers: &WorkerMap,
    ) -> bool {
        let trials = self.usage(ended_workers, workers);
        // The suspects of a gang start together, however many ended workers they are of.
        let before = self.usage(&BTreeSet::new(), workers);
        let risk_allowed =
            trials.at_risk <= trials.max_at_risk || before.at_risk < before.max_at_risk;
        trials.running < trials.max_running
            && risk_allowed
            && !self.running.keys().any(|task| task.step == step)
    }

    /// Returns the trials in progress and their limits, with the risk of further trials of suspects of ended
    /// workers.
    pub(super) fn usage(
        &self,
        ended_workers: &BTreeSet<WorkerId>,
        workers: &WorkerMap,
    ) -> TrialUse {
        let runs_on = |trial: &&TrialRun| workers.get_incarnation(&trial.worker).is_some_and(is_up);
        let (up, ended): (Vec<&TrialRun>, Vec<&TrialRun>) =
            self.running.values().partition(runs_on);
        let unknown = up.iter().filter(|trial| trial.ended_worker.is_none());
        let known = up.iter().filter_map(|trial| trial.ended_worker.as_ref());
        let causes: BTreeSet<&WorkerId> = known.chain(ended_workers).collect();
        TrialUse {
            running: up.len(),
            max_running: self.max_running(workers),
            at_risk: causes.len() + unknown.count() + ended.len(),
            max_at_risk: (workers.len() / RISK_DIVISOR).max(2),
        }
    }

    fn max_running(&self, workers: &WorkerMap) -> usize {
        (workers.len() / TRIAL_DIVISOR).max(1) + self.survived
    }
}

/// Returns whether nothing shows that a worker has ended.
fn is_up(state: &WorkerState) -> bool {
    !state.refused && !state.declared_lost
}
