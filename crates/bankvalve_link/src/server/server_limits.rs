//! Limits of a server, and counters of what met them.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// What a server grants its peers.
///
/// # Examples
///
/// ```
/// use bankvalve_link::ServerLimits;
///
/// let limits = ServerLimits { connections: 100, ..ServerLimits::default() };
/// assert!(limits.body_bytes > 0);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Connections open at once; more are closed when accepted.
    pub connections: usize,
    /// Time in which the next request's headers must arrive whole.
    pub header_time: Duration,
    /// Time in which a request's body must arrive whole.
    pub body_time: Duration,
    /// Largest body of a request in bytes.
    pub body_bytes: usize,
    /// Time in which a request must be answered.
    pub answer_time: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            connections: 4_096,
            header_time: Duration::from_secs(30),
            body_time: Duration::from_secs(10),
            body_bytes: 1024 * 1024,
            answer_time: Duration::from_secs(60),
        }
    }
}

/// What a server has counted.
#[derive(Debug, Default)]
pub struct ServerCounters {
    /// Connections open now.
    pub open: AtomicU64,
    /// Connections accepted.
    pub accepted: AtomicU64,
    /// Connections closed at once because too many were open.
    pub refused: AtomicU64,
    /// Connections that ended with a malformed or late request.
    pub malformed: AtomicU64,
    /// Requests whose body was too large.
    pub oversized: AtomicU64,
    /// Requests whose body came too slowly or not whole.
    pub cut_off: AtomicU64,
    /// Requests answered.
    pub answered: AtomicU64,
}

impl ServerCounters {
    pub(super) fn count(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// All counters with their names.
    pub fn all(&self) -> [(&'static str, u64); 7] {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        [
            ("open", read(&self.open)),
            ("accepted", read(&self.accepted)),
            ("refused", read(&self.refused)),
            ("malformed", read(&self.malformed)),
            ("oversized", read(&self.oversized)),
            ("cut_off", read(&self.cut_off)),
            ("answered", read(&self.answered)),
        ]
    }
}
