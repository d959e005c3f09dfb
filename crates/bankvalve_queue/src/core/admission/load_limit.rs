//! Load limit: the share of new jobs that a leader accepts. It falls quickly when the leader gets
//! behind, and rises slowly.
//!
//! Problem: jobs arrive faster than the leader's CPU can start them. Without a limit, the events of
//! accepted jobs wait behind those of new ones, orders are sent too late to count, and twice the load
//! completes half as much. The only measure is how long an event waits before it is handled or, if the
//! link is the bottleneck, how long a heartbeat and its echo take. Heartbeats contain the refused
//! share, so the instances that callers reach refuse those jobs at once and the leader never sees them.

use std::time::Duration;

use crate::ids::CoreTime;

/// Wait of events above which the share is lowered. At this wait, orders are still sent in time.
const LOWER_ABOVE: Duration = Duration::from_millis(150);
/// Wait of events below which the share is raised.
const RAISE_BELOW: Duration = Duration::from_millis(60);
/// Time between two changes of the share: a few heartbeats, so the effect of a change is visible.
const ADJUST_INTERVAL: Duration = Duration::from_millis(250);
/// Part of the share that remains when it is lowered, in percent.
const LOWERED_PERCENT: u32 = 70;
/// Percentage points by which the share is raised.
const RAISE_POINTS: u32 = 3;
/// Time for which a leader keeps saving link capacity after it last refused a share of jobs. Otherwise
/// the link would be full again at once, and the leader would have to refuse jobs again.
const LIMITED_RECENTLY: Duration = Duration::from_secs(10);
/// Minimum share, in percent. It lets a leader notice that it can accept more again.
const MIN_PERCENT: u32 = 3;

/// The share of new jobs that the leader accepts.
#[derive(Debug)]
pub(in crate::core) struct LoadLimit {
    percent: u32,
    longest_wait: Duration,
    next_at: CoreTime,
    /// When the share was last below 100 percent.
    limited_at: Option<CoreTime>,
}

impl LoadLimit {
    pub(in crate::core) fn new(now: CoreTime) -> Self {
        Self {
            percent: 100,
            longest_wait: Duration::ZERO,
            next_at: now + ADJUST_INTERVAL,
            limited_at: None,
        }
    }

    /// Records how long an event has waited, and changes the share when that is due.
    pub(in crate::core) fn record_wait(&mut self, now: CoreTime, wait: Duration) {
        self.longest_wait = self.longest_wait.max(wait);
        if now < self.next_at {
            return;
        }
        if self.longest_wait > LOWER_ABOVE {
            self.percent = (self.percent * LOWERED_PERCENT / 100).max(MIN_PERCENT);
        } else if self.longest_wait < RAISE_BELOW {
            self.percent = (self.percent + RAISE_POINTS).min(100);
        }
        if self.percent < 100 {
            self.limited_at = Some(now);
        }
        self.longest_wait = Duration::ZERO;
        self.next_at = now + ADJUST_INTERVAL;
    }

    /// Returns whether jobs were refused recently, so that the leader should save link capacity.
    pub(in crate::core) fn was_limited_recently(&self, now: CoreTime) -> bool {
        let is_recent = |at: CoreTime| now.saturating_sub(at) < LIMITED_RECENTLY;
        self.limited_at.is_some_and(is_recent)
    }

    /// Returns the share of new jobs that the leader accepts, in percent.
    pub(in crate::core) fn percent(&self) -> u32 {
        self.percent
    }
}

/// Admits a share of jobs, evenly distributed.
#[derive(Clone, Debug, Default)]
pub(in crate::core) struct ShareGate {
    credit: u32,
}

impl ShareGate {
    /// Returns whether the next job is admitted, if `percent` of all jobs are.
    pub(in crate::core) fn passes(&mut self, percent: u32) -> bool {
        self.credit = (self.credit + percent).min(200);
        let passes = self.credit >= 100;
        if passes {
            self.credit -= 100;
        }
        passes
    }
}
