//! Overdue runs: runs without progress or far slower than expected, which are started on another worker if
//! that is faster.
//!
//! A worker's run list reports the progress of each run. A run of an urgent queue is stopped if it makes no
//! progress, or so little that a start elsewhere would finish much earlier. Its task waits again once the
//! stop is confirmed, and the worker backs off.

use std::time::Duration;

use crate::core::live_run::{LiveRun, RunPhase};
use crate::core::EntryCore;
use crate::ids::{CoreTime, TaskKey, WorkerId};
use crate::ledger::TaskRecord;
use crate::policy::PolicySwitch;
use crate::worker::RunReport;

/// Minimum time without progress after which a run counts as stalled. Even a slow worker advances a short
/// urgent task by some percent in it.
const MIN_STALL_TIME: Duration = Duration::from_millis(400);
/// Time without progress after which a run counts as stalled, in percent of its expected run time.
const STALL_PERCENT: u32 = 15;
/// Minimum run time from which the pace of a run is known.
const MIN_PACE_TIME: Duration = Duration::from_millis(300);
/// Factor over its expected run time above which a run is slow. Estimates are off by up to a factor of two.
const SLOW_FACTOR: u32 = 3;
/// Time from the order to stop a run until its task works again elsewhere.
const RESTART_TIME: Duration = Duration::from_millis(500);
/// Factor by which the remaining time of a slow run must exceed the time of a start elsewhere.
const MIN_GAIN_FACTOR: u32 = 2;
/// Back-off of a worker on which a run is stalled or slow.
const OVERDUE_BACKOFF: Duration = Duration::from_millis(2_500);
/// Maximum number of times that a task is stopped as overdue, so that it does not move between workers
/// forever.
const MAX_OVERDUE_STOPS: u32 = 2;

/// Progress of a run, as its worker's run lists report it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::core) struct RunProgress {
    percent: u32,
    /// When the current percentage was first reported.
    since: CoreTime,
    /// When the last list was requested. The progress in it is no older.
    requested_at: CoreTime,
    /// When that list arrived. A worker may answer long after the request, so the progress in it is about as
    /// old as this.
    reported_at: CoreTime,
}

/// Why a run is started elsewhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OverdueReason {
    Stalled,
    Slow,
}

impl OverdueReason {
    fn as_str(self) -> &'static str {
        match self {
            OverdueReason::Stalled => "stands_still",
            OverdueReason::Slow => "slow",
        }
    }
}

impl RunProgress {
    /// Returns the progress after a run list that was requested at `requested_at` and has arrived now.
    pub(in crate::core) fn updated(
        known: Option<Self>,
        percent: u32,
        requested_at: CoreTime,
        now: CoreTime,
    ) -> Self {
        let since = known
            .filter(|known| known.percent == percent)
            .map_or(now, |known| known.since);
        Self {
            percent,
            since,
            requested_at,
            reported_at: now,
        }
    }

    /// Returns the part of an estimated run time that is done.
    pub(in crate::core) fn done_of(&self, estimate: Duration) -> Duration {
        estimate * self.percent.min(100) / 100
    }

    /// Returns the remaining time of a run at its pace, or `None` if the pace is not known.
    pub(in crate::core) fn time_left(&self, ran: Duration) -> Option<Duration> {
        let known = self.percent > 0 && ran >= MIN_PACE_TIME;
        known.then(|| (ran * 100 / self.percent).saturating_sub(ran))
    }

    /// Returns the remaining time of a run at the pace that it had until its progress was last reported, or
    /// `None` if the pace is not known. Unlike by [`time_left`](Self::time_left), a run whose last report is
    /// old does not count as slow.
    pub(in crate::core) fn time_left_at(&self, began: CoreTime, now: CoreTime) -> Option<Duration> {
        let worked = self.reported_at.saturating_sub(began);
        if self.percent == 0 || worked < MIN_PACE_TIME {
            return None;
        }
        // Workers report whole percents, rounded down.
        let total = worked * 200 / (2 * self.percent + 1);
        Some((total.max(worked)).saturating_sub(now.saturating_sub(began)))
    }

    /// Returns why a run is overdue, or `None` if it is not.
    fn overdue_reason(&self, began: CoreTime, expected: Duration) -> Option<OverdueReason> {
        let stall = MIN_STALL_TIME.max(expected * STALL_PERCENT / 100);
        if self.requested_at.saturating_sub(self.since) > stall {
            return Some(OverdueReason::Stalled);
        }
        let ran = self.requested_at.saturating_sub(began);
        if ran < MIN_PACE_TIME || ran < expected {
            return None;
        }
        let total_estimate = ran * 100 / self.percent.max(1);
        let left = total_estimate.saturating_sub(ran);
        let slow = total_estimate > expected * SLOW_FACTOR;
        let is_worth_it = left > (expected + RESTART_TIME) * MIN_GAIN_FACTOR;
        (slow && is_worth_it).then_some(OverdueReason::Slow)
    }
}

impl EntryCore {
    /// Records the progress of a worker's runs, and stops the overdue ones to start them elsewhere.
    pub(in crate::core) fn check_progress(
        &mut self,
        id: &WorkerId,
        requested_at: CoreTime,
        running: &[RunReport],
    ) {
        if !self.uses(PolicySwitch::OverdueRuns) {
            return;
        }
        let now = self.now;
        let mut overdue = Vec::new();
        for report in running {
            let expected = self.expected_time(report.task);
            let job = self.book.job(report.task.step.job);
            let record = job.and_then(|job| job.task(report.task));
            let is_suspect = record.is_some_and(TaskRecord::is_suspect);
            let Some(lead) = self.lead.as_deref_mut() else {
                return;
            };
            let overdue_stops = lead.overdue_stops.get(&report.task).copied().unwrap_or(0);
            let live = lead.live_run(id, &report.task);
            let Some(live) = live.filter(|live| live.run == report.run) else {
                continue;
            };
            let progress = RunProgress::updated(live.progress, report.percent, requested_at, now);
            live.progress = Some(progress);
            // Each start of a suspect may end another worker, and a suspect gets few starts.
            if overdue_stops >= MAX_OVERDUE_STOPS || is_suspect || !may_move(live) {
                continue;
            }
            if let Some(reason) = progress.overdue_reason(live.began, expected) {
                overdue.push((report.task, report.percent, reason));
            }
        }
        for (task, percent, reason) in overdue {
            self.move_run(id, task, percent, reason);
        }
    }

    fn move_run(&mut self, id: &WorkerId, task: TaskKey, percent: u32, reason: OverdueReason) {
        let now = self.now;
        let detail = format!("{} at {percent} percent on {id}", reason.as_str());
        self.log("runs", "overdue", task.to_string(), detail);
        self.counters.count("overdue", reason.as_str());
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        *lead.overdue_stops.entry(task).or_default() += 1;
        if let Some(state) = lead.worker_states.get_mut(id) {
            state.backoff_until = state.backoff_until.max(now + OVERDUE_BACKOFF);
        }
        self.stop_run(id, task);
    }
}

/// Returns whether a run may be stopped and started elsewhere to finish earlier.
fn may_move(live: &LiveRun) -> bool {
    live.urgent && !live.must_not_move && matches!(live.phase, RunPhase::Running { .. })
}
