//! Use of the learned run times and worker speeds by the leader: what is expected of its tasks and runs.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::core::forecast::run_times::{RunGroup, RunTimeEstimate, RunTimeModel};
use crate::core::forecast::worker_speed::WorkerGroup;
use crate::core::live_run::LiveRun;
use crate::core::placement::speed_preference::{SpeedClass, SpeedPreference, StepTiming};
use crate::core::placement::waiting_steps::WaitingStep;
use crate::core::worker_state::WorkerState;
use crate::core::EntryCore;
use crate::decision::WorkerGroupView;
use crate::ids::{StepKey, TaskKey, WorkerId};
use crate::policy::PolicySwitch;

/// Minimum share of the workers that a speed class has for steps to prefer it. A few slow workers are degraded,
/// and no step should seek them.
const MIN_CLASS_SHARE: f64 = 0.05;

/// Interval at which the expected run times and speeds are logged.
pub(in crate::core) const FORECAST_LOG_INTERVAL: Duration = Duration::from_secs(30);
/// Maximum number of groups of workers, and of images and queues, in the log and the metrics.
const MAX_SHOWN_GROUPS: usize = 12;

impl WorkerState {
    /// Updates what is expected of the worker's speed.
    pub(in crate::core) fn refresh_speed(&mut self, model: &RunTimeModel) {
        let group = WorkerGroup::of(&self.entry);
        let expected = model.speeds().expected(&group, &self.speed);
        self.slowness = expected.slowness;
        self.speed_class = expected.class;
    }
}

impl EntryCore {
    /// Returns the group of a step's tasks and their estimated run time, or `None` if the step is unknown: a
    /// worker's run list may name a step that the job does not have.
    fn run_group(&self, step: StepKey) -> Option<(RunGroup<'_>, Duration)> {
        let job = self.book.job(step.job)?;
        let spec = job.spec.steps.get(usize::from(step.step))?;
        let group = RunGroup {
            image: &spec.image,
            queue: &job.spec.queue,
        };
        Some((group, Duration::from_millis(spec.estimate_ms)))
    }

    /// Returns the expected run time of a task of a step on a worker of some slowness, which is a logarithm
    /// and 0 for a usual worker.
    pub(in crate::core) fn run_time_at(&self, step: StepKey, slowness: f64) -> RunTimeEstimate {
        let Some((group, estimate)) = self.run_group(step) else {
            return RunTimeEstimate::default();
        };
        let Some(lead) = self.lead.as_deref() else {
            return RunTimeEstimate::exact(estimate);
        };
        if self.uses(PolicySwitch::RunTimeModel) {
            return lead.run_times.expected(&group, estimate, slowness);
        }
        let error = lead.estimate_error.get(group.queue);
        RunTimeEstimate::exact(estimate.mul_f64(error.copied().unwrap_or(0.0).exp()))
    }

    /// Returns the expected run time of a task on a usual worker.
    pub(in crate::core) fn expected_time(&self, task: TaskKey) -> Duration {
        self.run_time_at(task.step, 0.0).typical
    }

    /// Returns the remaining time of a run: by its pace if that is known, or else by the expected run time of
    /// its task on its worker.
    pub(in crate::core) fn remaining_time(&self, task: TaskKey, live: &LiveRun) -> RunTimeEstimate {
        let ran = self.age(live.began);
        let uses_model = self.uses(PolicySwitch::RunTimeModel);
        let progress = live.progress;
        let by_pace = if uses_model {
            progress.and_then(|progress| progress.time_left_at(live.began, self.now))
        } else {
            progress.and_then(|progress| progress.time_left(ran))
        };
        if let Some(left) = by_pace {
            return RunTimeEstimate::exact(left);
        }
        if !uses_model {
            return RunTimeEstimate::exact(self.expected_time(task).saturating_sub(ran));
        }
        match (self.run_group(task.step), self.lead.as_deref()) {
            (Some((group, estimate)), Some(lead)) => {
                let slowness = live.slowness;
                lead.run_times.remaining(&group, estimate, slowness, ran)
            }
            _ => RunTimeEstimate::default(),
        }
    }

    /// Returns which workers a step prefers by their speed.
    pub(in crate::core) fn speed_preference(
        &self,
        step: StepKey,
        tasks: usize,
        waiting: Option<&WaitingStep>,
    ) -> SpeedPreference {
        let lead = self.lead.as_deref();
        let (Some(lead), Some(waiting)) = (lead, waiting) else {
            return SpeedPreference::Any;
        };
        if lead.speed_classes.len() < 2 || waiting.is_lasting() {
            return SpeedPreference::Any;
        }
        if waiting.is_urgent() {
            return if self.uses(PolicySwitch::FastWorkers) {
                SpeedPreference::fastest(&lead.speed_classes)
            } else {
                SpeedPreference::Any
            };
        }
        let Some((group, estimate)) = self.run_group(step) else {
            return SpeedPreference::Any;
        };
        let latest_end_ms = waiting.latest_end_ms(self.wall, estimate.as_millis() as u64);
        let time_ms = latest_end_ms.saturating_sub_unsigned(self.wall).max(0);
        let timing = StepTiming {
            group,
            estimate,
            tasks,
            time: Duration::from_millis(time_ms as u64),
        };
        SpeedPreference::of(&lead.run_times, &lead.speed_classes, &timing)
    }

    /// Updates the usual speed of workers, and what is expected of each of them.
    pub(in crate::core) fn refresh_speeds(&mut self) {
        if !self.uses(PolicySwitch::RunTimeModel) {
            return;
        }
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let listed = lead.worker_states.values().filter(|state| state.listed);
        let groups = listed.map(|state| WorkerGroup::of(&state.entry));
        lead.run_times.speeds_mut().set_usual(groups);
        let mut classes: BTreeMap<i64, (f64, f64)> = BTreeMap::new();
        for state in lead.worker_states.values_mut() {
            state.refresh_speed(&lead.run_times);
            if state.listed {
                let (sum, count) = classes.entry(state.speed_class).or_default();
                *sum += state.slowness;
                *count += 1.0;
            }
        }
        let listed: f64 = classes.values().map(|(_, count)| count).sum();
        let classes = classes.into_iter();
        lead.speed_classes = classes
            .filter(|(_, (_, count))| *count >= listed * MIN_CLASS_SHARE)
            .map(|(class, (sum, count))| SpeedClass {
                class,
                slowness: sum / count,
            })
            .collect();
    }

    /// Returns the groups of workers with the most measurements.
    pub(in crate::core) fn worker_group_views(&self) -> Vec<WorkerGroupView> {
        let Some(lead) = self.lead.as_deref() else {
            return Vec::new();
        };
        let mut groups = lead.run_times.speeds().measured();
        groups.sort_by(|one, other| other.weight.total_cmp(&one.weight));
        let shown = groups.into_iter().take(MAX_SHOWN_GROUPS);
        shown
            .map(|group| WorkerGroupView {
                domain: group.domain,
                kind: group.kind,
                time_factor: group.slowness.exp(),
                measurements: group.weight,
            })
            .collect()
    }

    /// Logs what is expected of groups of workers, images and queues, if that is due.
    pub(in crate::core) fn log_forecast(&mut self) {
        let now = self.now;
        if !self.uses(PolicySwitch::RunTimeModel) {
            return;
        }
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        if now < lead.next_forecast_log {
            return;
        }
        lead.next_forecast_log = now + FORECAST_LOG_INTERVAL;
        let classes: Vec<i64> = lead.speed_classes.iter().map(|class| class.class).collect();
        let mut runs = lead.run_times.measured(usize::MAX).runs;
        runs.truncate(MAX_SHOWN_GROUPS);
        for group in self.worker_group_views() {
            let detail = format!(
                "kind {:?}: tasks take {:.2} times as long as on a usual worker, {:.0} measurements, speed classes {classes:?}",
                group.kind, group.time_factor, group.measurements
            );
            self.log("forecast", "worker_group", group.domain, detail);
        }
        for group in runs {
            let kind = if group.is_image { "image" } else { "queue" };
            let (typical, upper) = group.factors();
            let detail = format!(
                "{kind}: tasks usually take {typical:.2} times as long as estimated, nine of ten at most {upper:.2} times, {:.0} measurements",
                group.weight
            );
            self.log("forecast", "run_group", group.name, detail);
        }
    }

    /// Updates what is expected of a worker whose entry is new or has changed.
    pub(in crate::core) fn refresh_speed_of(&mut self, id: &WorkerId) {
        if !self.uses(PolicySwitch::RunTimeModel) {
            return;
        }
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        if let Some(state) = lead.worker_states.get_mut(id) {
            state.refresh_speed(&lead.run_times);
        }
    }
}
