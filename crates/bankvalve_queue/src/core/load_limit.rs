//! How much new work a leader takes on: it falls quickly as it gets behind, and rises slowly.
//!
//! The pattern that it answers: jobs that come faster than the leader's processor can start them.
//! Without a limit the events of accepted jobs wait behind those of new ones, orders go out too late
//! to count, and twice the load serves half. The one measure is for how long an event waits for its
//! turn, or a heartbeat and its echo take where the link is what is short. The share that it leaves is told in heartbeats, so that the instances that callers reach
//! refuse the rest at once and the leader never sees it.

use std::time::Duration;

use crate::ids::CoreTime;

/// Wait of events beyond which less is taken on: orders still go out in time.
const BEHIND: Duration = Duration::from_millis(150);
/// Wait of events below which more is taken on.
const LEVEL: Duration = Duration::from_millis(60);
/// Time between two changes: a few heartbeats, so that what was changed shows.
const PACE: Duration = Duration::from_millis(250);
/// Share that is left of what was taken on, in percent, and what is added to it.
const FALL_PERCENT: u32 = 70;
const RISE: u32 = 3;
/// Time for which a leader that took on less than all does with less: what is saved would otherwise
/// be spent again at once, and the limit come back.
const LIMITED_LATELY: Duration = Duration::from_secs(10);
/// Least share, in percent: by it a leader notices that it can do more again.
const LEAST: u32 = 3;

/// The share of new jobs that is taken on, in percent.
#[derive(Debug)]
pub(super) struct LoadLimit {
    percent: u32,
    longest: Duration,
    next_at: CoreTime,
    /// When it last took on less than all.
    limited_at: Option<CoreTime>,
}

impl LoadLimit {
    pub(super) fn new(now: CoreTime) -> Self {
        Self {
            percent: 100,
            longest: Duration::ZERO,
            next_at: now + PACE,
            limited_at: None,
        }
    }

    /// Notes for how long an event has waited, and changes the share when that is due.
    pub(super) fn note(&mut self, now: CoreTime, wait: Duration) {
        self.longest = self.longest.max(wait);
        if now < self.next_at {
            return;
        }
        if self.longest > BEHIND {
            self.percent = (self.percent * FALL_PERCENT / 100).max(LEAST);
        } else if self.longest < LEVEL {
            self.percent = (self.percent + RISE).min(100);
        }
        if self.percent < 100 {
            self.limited_at = Some(now);
        }
        self.longest = Duration::ZERO;
        self.next_at = now + PACE;
    }

    /// Tells whether less than all was taken on lately, so that it is best to do with less.
    pub(super) fn was_limited_recently(&self, now: CoreTime) -> bool {
        let lately = |at: CoreTime| now.saturating_sub(at) < LIMITED_LATELY;
        self.limited_at.is_some_and(lately)
    }

    /// Share of new jobs that is taken on, in percent.
    pub(super) fn percent(&self) -> u32 {
        self.percent
    }
}

/// Lets a share of jobs pass, evenly.
#[derive(Debug, Default)]
pub(super) struct ShareGate {
    credit: u32,
}

impl ShareGate {
    /// Tells whether the next one passes, if so many percent do.
    pub(super) fn passes(&mut self, percent: u32) -> bool {
        self.credit = (self.credit + percent).min(200);
        let passes = self.credit >= 100;
        if passes {
            self.credit -= 100;
        }
        passes
    }
}
