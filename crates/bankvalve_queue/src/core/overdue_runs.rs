//! Runs that stand still or are far slower than their like: started elsewhere while it helps.
//!
//! A worker's list tells how much of each run is done. A run of an urgent queue whose figure does
//! not move, or moves so slowly that a start elsewhere ends long before it, is stopped; its task
//! waits again once the stop is confirmed, and the worker rests.

use std::time::Duration;

use super::live_run::{LiveRun, RunPhase};
use super::EntryCore;
use crate::ids::{CoreTime, TaskKey, WorkerId};
use crate::ledger::TaskRecord;
use crate::policy::PolicySwitch;
use crate::worker::RunReport;

/// Least time without progress after which a run stands still; a slow worker moves a short lookup
/// by some percent in it.
const STALL_LEAST: Duration = Duration::from_millis(400);
/// Percents that a run of the usual length would have moved in the time after which it counts as
/// standing still.
const STALL_PERCENTS: u32 = 15;
/// Least time of a run before its pace is judged.
const PACE_LEAST: Duration = Duration::from_millis(300);
/// A run that takes this many times what its queue leads to expect is slow; guesses are off by up
/// to a factor of two.
const SLOW_FACTOR: u32 = 3;
/// Time that a stop takes, and the start elsewhere until its work begins.
const RESTART_TIME: Duration = Duration::from_millis(500);
/// What is left of a slow run must be this many times what a start elsewhere takes.
const WORTH_FACTOR: u32 = 2;
/// Rest of a worker on which a run stands still or is slow.
const OVERDUE_REST: Duration = Duration::from_millis(2_500);
/// Stops of one task for this reason, so that it is never moved in circles.
const MOST_MOVES: u32 = 2;

/// How far a run has come, as its worker's lists tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RunProgress {
    percent: u32,
    /// When the figure was first seen as it is.
    since: CoreTime,
    /// When the last list was asked for; what it tells is no older.
    asked_at: CoreTime,
}

/// Why a run is started elsewhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OverdueReason {
    StandsStill,
    Slow,
}

impl OverdueReason {
    fn as_str(self) -> &'static str {
        match self {
            OverdueReason::StandsStill => "stands_still",
            OverdueReason::Slow => "slow",
        }
    }
}

impl RunProgress {
    /// Takes what a list tells that was asked for at a time and has come now.
    pub(super) fn note(
        known: Option<Self>,
        percent: u32,
        asked_at: CoreTime,
        now: CoreTime,
    ) -> Self {
        let since = known
            .filter(|known| known.percent == percent)
            .map_or(now, |known| known.since);
        Self {
            percent,
            since,
            asked_at,
        }
    }

    /// Time that a run still takes at its pace, if that can be told.
    pub(super) fn time_left(&self, ran: Duration) -> Option<Duration> {
        let known = self.percent > 0 && ran >= PACE_LEAST;
        known.then(|| (ran * 100 / self.percent).saturating_sub(ran))
    }

    /// Judges a run that began at a time and is expected to take a time.
    fn judge(&self, began: CoreTime, expected: Duration) -> Option<OverdueReason> {
        let stall = STALL_LEAST.max(expected * STALL_PERCENTS / 100);
        if self.asked_at.saturating_sub(self.since) > stall {
            return Some(OverdueReason::StandsStill);
        }
        let ran = self.asked_at.saturating_sub(began);
        if ran < PACE_LEAST || ran < expected {
            return None;
        }
        let whole = ran * 100 / self.percent.max(1);
        let left = whole.saturating_sub(ran);
        let slow = whole > expected * SLOW_FACTOR;
        let helps = left > (expected + RESTART_TIME) * WORTH_FACTOR;
        (slow && helps).then_some(OverdueReason::Slow)
    }
}

impl EntryCore {
    /// Notes how far the runs of a worker have come, and moves those that are overdue.
    pub(super) fn judge_progress(
        &mut self,
        id: &WorkerId,
        asked_at: CoreTime,
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
            let moves = lead.moves.get(&report.task).copied().unwrap_or(0);
            let live = lead.live_run(id, &report.task);
            let Some(live) = live.filter(|live| live.run == report.run) else {
                continue;
            };
            let progress = RunProgress::note(live.progress, report.percent, asked_at, now);
            live.progress = Some(progress);
            // Each start of a suspect may end a worker, and it is granted few.
            if moves >= MOST_MOVES || is_suspect || !may_move(live) {
                continue;
            }
            if let Some(reason) = progress.judge(live.began, expected) {
                overdue.push((report.task, report.percent, reason));
            }
        }
        for (task, percent, reason) in overdue {
            self.move_run(id, task, percent, reason);
        }
    }

    /// The time that a task is expected to run: what its job says, and how far its queue's jobs
    /// were off lately.
    pub(super) fn expected_time(&self, task: TaskKey) -> Duration {
        let Some(job) = self.book.job(task.step.job) else {
            return Duration::ZERO;
        };
        // A worker's list may name what its job does not have.
        let Some(step) = job.spec.steps.get(usize::from(task.step.step)) else {
            return Duration::ZERO;
        };
        let lead = self.lead.as_deref();
        let error = lead.and_then(|lead| lead.estimate_error.get(&job.spec.queue));
        Duration::from_millis(step.estimate_ms).mul_f64(error.copied().unwrap_or(0.0).exp())
    }

    fn move_run(&mut self, id: &WorkerId, task: TaskKey, percent: u32, reason: OverdueReason) {
        let now = self.now;
        let detail = format!("{} at {percent} percent on {id}", reason.as_str());
        self.log("runs", "overdue", task.to_string(), detail);
        self.counters.count("overdue", reason.as_str());
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        *lead.moves.entry(task).or_default() += 1;
        if let Some(state) = lead.worker_states.get_mut(id) {
            state.backoff_until = state.backoff_until.max(now + OVERDUE_REST);
        }
        self.begin_stop_run(id, task);
    }
}

/// Tells whether a run may be stopped and started elsewhere to end sooner.
fn may_move(live: &LiveRun) -> bool {
    live.urgent && !live.must_not_move && matches!(live.phase, RunPhase::Running { .. })
}
