//! Planned starts: when and where a step is expected to have capacity for all of its tasks.
//!
//! A step without enough free capacity gets a planned start, and reservations on the workers named in it. Steps
//! that come after it may use the reserved capacity for runs that end before the planned start. Run times are
//! only estimates, so a planned start is reviewed until the step starts: it is kept while its capacity comes
//! nearer, and planned again otherwise.

use std::time::Duration;

use crate::ids::{CoreTime, WorkerId};

/// Time between two reviews of a planned start.
const REVIEW_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which the capacity of a planned start that is due may come no nearer before it is planned again:
/// several stops, of up to 900 ms each with the poll that reports it. With 1.2 s, nearly every start with stops
/// was planned again, and what it had stopped was lost.
const STALL_TIME: Duration = Duration::from_millis(3_000);
/// Time for which capacity stays reserved after the planned start.
const START_SLACK: Duration = Duration::from_millis(700);
/// Time before a planned start from which the runs in its way are stopped. Starts that are near have them stopped
/// at once: a stop takes up to 900 ms until a worker's list shows its end.
pub(crate) const STOP_AHEAD: Duration = Duration::from_millis(1_500);

/// Maximum share of all CPU that may stand idle in reservations while other steps wait, in percent. A bound of 4%
/// on a moving average kept all gangs from planning for up to 8 s after some had planned.
const MAX_IDLE_PERCENT: u64 = 15;

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
    /// When the start was expected first, or permits for it.
    due: CoreTime,
    /// Shortest remaining time until the capacity is free, of all reviews, and when it was found.
    nearest: (Duration, CoreTime),
    reviewed_at: CoreTime,
}

impl PlannedStart {
    /// Creates a planned start that is expected after some time.
    pub fn new(now: CoreTime, after: Duration, workers: Vec<(WorkerId, u64)>) -> Self {
        Self {
            since: now,
            from: now + after,
            until: now + after + START_SLACK,
            workers,
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

    /// Returns whether the runs that are still in the way have to be stopped now.
    pub fn stops_are_due(&self, now: CoreTime) -> bool {
        now + STOP_AHEAD >= self.from
    }

    /// Returns whether advice that takes `takes` has to be requested now to be there at the planned start.
    pub fn advice_is_due(&self, now: CoreTime, takes: Duration) -> bool {
        now + takes >= self.from
    }
}

/// Reserved capacity that stands idle although other steps wait. It bounds reservations by what they cost.
///
/// # Examples
///
/// ```
/// use bankvalve_queue::IdleReserve;
///
/// let mut idle = IdleReserve::new(100_000);
/// assert!(idle.allows_more());
/// idle.add(20_000);
/// assert!(!idle.allows_more());
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct IdleReserve {
    total_millicores: u64,
    idle_millicores: u64,
}

impl IdleReserve {
    /// Creates a record for workers with this CPU in all, of which nothing stands idle.
    pub fn new(total_millicores: u64) -> Self {
        Self {
            total_millicores,
            idle_millicores: 0,
        }
    }

    /// Adds reserved CPU that stands idle.
    pub fn add(&mut self, millicores: u64) {
        self.idle_millicores += millicores;
    }

    /// Returns the reserved CPU that stands idle, in millicores.
    pub fn millicores(&self) -> u64 {
        self.idle_millicores
    }

    /// Returns whether more may be reserved.
    pub fn allows_more(&self) -> bool {
        self.idle_millicores * 100 <= self.total_millicores * MAX_IDLE_PERCENT
    }
}
