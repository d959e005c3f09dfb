//! Planned starts: when and where a step is expected to have capacity for all of its tasks.
//!
//! A step without enough free capacity gets a planned start, and reservations on the workers named in it. Steps
//! that come after it may use the reserved capacity for runs that end before the planned start. Run times are
//! only estimates, so a planned start is reviewed until the step starts: it is kept while its capacity comes
//! nearer, and planned again otherwise.

use std::time::Duration;

use crate::ids::{CoreTime, TaskKey, WorkerId};

/// Time between two reviews of a planned start.
const REVIEW_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which the capacity of a planned start that is due may come no nearer before it is planned again:
/// the longest stop, 900 ms, with the poll that reports it.
const STALL_TIME: Duration = Duration::from_millis(1_200);
/// Time for which capacity stays reserved after the planned start.
const START_SLACK: Duration = Duration::from_millis(700);
/// Time before a planned start at which the runs in its way are stopped.
const STOP_AHEAD: Duration = Duration::from_millis(350);

/// Time over which reserved capacity that stands idle is averaged.
const IDLE_AVERAGE_TIME: Duration = Duration::from_millis(1_500);
/// Maximum share of all capacity that may stand idle in reservations, on average, in percent.
const MAX_IDLE_PERCENT: f64 = 4.0;

/// What is to happen with a planned start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlanReview {
    /// It stays as it is.
    Keep,
    /// It is kept on the same workers, with capacity reserved until this time.
    Extend(CoreTime),
    /// It has to be planned again.
    Replan(ReplanReason),
}

/// Why a start is planned again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplanReason {
    /// One of its workers is lost, drains, or cannot run the step for another reason.
    WorkerUnusable,
    /// Its time has passed, and its capacity comes no nearer.
    Stalled,
    /// Its reservations have expired, for example while the table was unavailable.
    Expired,
}

impl ReplanReason {
    /// Returns the text for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            ReplanReason::WorkerUnusable => "a worker cannot be used",
            ReplanReason::Stalled => "its capacity comes no nearer",
            ReplanReason::Expired => "its reservations have expired",
        }
    }
}

/// A planned start of a step.
#[derive(Clone, Debug)]
pub struct PlannedStart {
    /// When it was planned.
    pub since: CoreTime,
    /// When the step is expected to start.
    pub from: CoreTime,
    /// Until when capacity is reserved.
    pub until: CoreTime,
    /// The workers, each with the number of tasks that it is to run.
    pub workers: Vec<(WorkerId, u64)>,
    /// Runs to stop shortly before the start.
    pub stops: Vec<(WorkerId, TaskKey)>,
    /// When the start was expected first, or permits for it.
    due: CoreTime,
    /// Shortest remaining time until the capacity is free, of all reviews, and when it was found.
    nearest: (Duration, CoreTime),
    reviewed_at: CoreTime,
}

impl PlannedStart {
    /// Creates a planned start that is expected after some time.
    pub fn new(
        now: CoreTime,
        after: Duration,
        workers: Vec<(WorkerId, u64)>,
        stops: Vec<(WorkerId, TaskKey)>,
    ) -> Self {
        Self {
            since: now,
            from: now + after,
            until: now + after + START_SLACK,
            workers,
            stops,
            due: now + after,
            nearest: (after, now),
            reviewed_at: now,
        }
    }

    /// Returns whether a review is due.
    pub fn review_is_due(&self, now: CoreTime) -> bool {
        now >= self.reviewed_at + REVIEW_INTERVAL
    }

    /// Reviews the planned start. `left` is the expected time until its capacity is free on all of its workers,
    /// `None` if one of them cannot be used.
    pub fn review(&mut self, now: CoreTime, left: Option<Duration>) -> PlanReview {
        self.reviewed_at = now;
        let Some(left) = left else {
            return PlanReview::Replan(ReplanReason::WorkerUnusable);
        };
        if now >= self.until {
            return PlanReview::Replan(ReplanReason::Expired);
        }
        if left < self.nearest.0 {
            self.nearest = (left, now);
        }
        let stalled = now.saturating_sub(self.nearest.1) > STALL_TIME;
        // Nothing is left of the expected time of a run that exceeds it, so this holds for no time left as well.
        if now >= self.due && stalled {
            return PlanReview::Replan(ReplanReason::Stalled);
        }
        let from = now + left;
        if from + START_SLACK <= self.until {
            return PlanReview::Keep;
        }
        self.from = self.from.max(from);
        self.until = from + START_SLACK;
        PlanReview::Extend(self.until)
    }

    /// Moves the start to when permits are expected, and reserves the capacity until then.
    pub fn await_permits(&mut self, expected_at: CoreTime) {
        self.from = self.from.max(expected_at);
        self.due = self.due.max(expected_at);
        self.until = self.until.max(expected_at + START_SLACK);
    }

    /// Removes and returns the runs that have to be stopped now.
    pub fn take_due_stops(&mut self, now: CoreTime) -> Vec<(WorkerId, TaskKey)> {
        if now + STOP_AHEAD >= self.from {
            std::mem::take(&mut self.stops)
        } else {
            Vec::new()
        }
    }

    /// Returns whether advice that takes `takes` has to be requested now to be there at the planned start.
    pub fn advice_is_due(&self, now: CoreTime, takes: Duration) -> bool {
        now + takes >= self.from
    }
}

/// Moving average of the reserved capacity that stands idle. It bounds reservations by what they cost.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use bankvalve_queue::IdleReserve;
///
/// let mut idle = IdleReserve::default();
/// idle.record(Duration::from_secs(1), 0);
/// assert!(idle.allows_more(100_000));
/// idle.record(Duration::from_secs(9), 20_000);
/// assert!(!idle.allows_more(100_000));
/// idle.record(Duration::from_secs(15), 0);
/// assert!(idle.allows_more(100_000));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct IdleReserve {
    recorded_at: CoreTime,
    /// Average, in millicores.
    average: f64,
}

impl IdleReserve {
    /// Records the reserved millicores that have stood idle since the last record.
    pub fn record(&mut self, now: CoreTime, idle_millicores: u64) {
        let passed = now.saturating_sub(self.recorded_at).as_secs_f64();
        let weight = 1.0 - (-passed / IDLE_AVERAGE_TIME.as_secs_f64()).exp();
        self.average += weight * (idle_millicores as f64 - self.average);
        self.recorded_at = now;
    }

    /// Returns the average, in millicores.
    pub fn average_millicores(&self) -> u64 {
        self.average as u64
    }

    /// Returns whether more may be reserved on workers with this capacity in all.
    pub fn allows_more(&self, total_millicores: u64) -> bool {
        self.average * 100.0 <= total_millicores as f64 * MAX_IDLE_PERCENT
    }
}
