//! The monotonic clock for decisions, which keeps running while the machine is suspended.

use std::time::{Duration, Instant};

use nix::time::{clock_gettime, ClockId};

/// Time since the machine's boot, including time in which it was suspended.
///
/// [`Instant`] does not advance while a machine is suspended. After a suspension of ten seconds, a leader
/// would still consider its leadership confirmed a moment ago, and a caller's deadline far away. The core
/// therefore uses this clock for all leases, deadlines and ages. Waits of threads and sockets use the
/// ordinary clock: they end late by the time of the suspension, so the core's own limits expire first.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(super) struct BootTime(Duration);

impl BootTime {
    /// Returns the present time. Uses [`Instant`] on systems without this clock.
    pub(super) fn now() -> Self {
        let read = clock_gettime(ClockId::CLOCK_BOOTTIME).ok();
        Self(read.map_or_else(steady_time, Duration::from))
    }

    /// Returns the time elapsed since this moment.
    pub(super) fn elapsed(self) -> Duration {
        Self::now().0.saturating_sub(self.0)
    }
}

/// Returns the time since the first call in this process, by [`Instant`].
fn steady_time() -> Duration {
    static FIRST_READ: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    FIRST_READ.get_or_init(Instant::now).elapsed()
}
