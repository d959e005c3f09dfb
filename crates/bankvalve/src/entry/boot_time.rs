//! The clock that decisions read: steady, and it goes on while the machine is suspended.

use std::time::{Duration, Instant};

use nix::time::{clock_gettime, ClockId};

/// A moment by the clock that counts from the start of the machine, suspended or not.
///
/// The usual steady clock stands still while a machine is suspended: after ten seconds of it a leader
/// would take itself for confirmed a moment ago, and a caller's deadline for far. So each lease,
/// deadline and age that the core reckons with goes by this one. Waits of threads and sockets go by
/// the usual clock: they end late by the time of the suspension, and the core's own limits come first.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(super) struct BootTime(Duration);

impl BootTime {
    /// Now. A system that does not have the clock gives the usual steady one.
    pub(super) fn now() -> Self {
        let read = clock_gettime(ClockId::CLOCK_BOOTTIME).ok();
        Self(read.map_or_else(steady_time, Duration::from))
    }

    /// Time since then.
    pub(super) fn elapsed(self) -> Duration {
        Self::now().0.saturating_sub(self.0)
    }
}

/// Time by the usual steady clock since this process first asked for it.
fn steady_time() -> Duration {
    static BEGUN: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    BEGUN.get_or_init(Instant::now).elapsed()
}
