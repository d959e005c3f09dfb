//! Limits of a server, and counters of its connections and requests.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Limits on the connections and requests of a server's clients.
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
    /// Maximum number of open connections; further ones are closed as soon as they are accepted.
    pub connections: usize,
    /// Time in which the headers of the next request must arrive completely.
    pub header_time: Duration,
    /// Time in which the body of a request must arrive completely.
    pub body_time: Duration,
    /// Maximum size of a request's body in bytes.
    pub body_bytes: usize,
    /// Time in which the handler must answer a request.
    pub answer_time: Duration,
    /// Whether a request is handled only if its caller has not closed the connection. Where the process stood
    /// still, a request may have waited in its sockets for longer than the caller did.
    pub skips_abandoned: bool,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            connections: 4_096,
            header_time: Duration::from_secs(30),
            body_time: Duration::from_secs(10),
            body_bytes: 1024 * 1024,
            answer_time: Duration::from_secs(60),
            skips_abandoned: false,
        }
    }
}

/// Counters of a server.
#[derive(Debug, Default)]
pub struct ServerCounters {
    /// Connections open now.
    pub open: AtomicU64,
    /// Connections accepted.
    pub accepted: AtomicU64,
    /// Connections closed when accepted, because too many were open.
    pub refused: AtomicU64,
    /// Connections that ended with an error, such as a malformed or late request or a failed TLS handshake.
    pub malformed: AtomicU64,
    /// Requests whose body was too large.
    pub oversized: AtomicU64,
    /// Requests whose body arrived too slowly or incompletely.
    pub cut_off: AtomicU64,
    /// Requests passed to the handler and answered, including those whose handler timed out.
    pub answered: AtomicU64,
}

impl ServerCounters {
    /// Adds one to a counter.
    pub(super) fn count(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns all counters with their names.
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
