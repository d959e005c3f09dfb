//! Binding of the sockets that an instance listens on.

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use bankvalve_queue::DecisionLine;
use error_stack::{Report, ResultExt};

use super::decision_log::{DecisionLog, LineLevel};
use crate::serve::ServeFailure;
use crate::settings::{SiteListen, SiteSettings};

/// Pause between two attempts to listen. Attempts continue for the site's stop time, which is at least five
/// times as long.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The sockets that an instance listens on.
#[derive(Debug)]
pub(super) struct EntryListeners {
    pub(super) callers: TcpListener,
    pub(super) readiness: TcpListener,
    pub(super) peers: TcpListener,
    pub(super) metrics: TcpListener,
}

impl EntryListeners {
    /// Listens on the addresses of the settings. Retries an address in use for as long as the instance's
    /// previous process may take to stop, and logs each failed attempt.
    pub(super) fn bind(
        settings: &SiteSettings,
        log: &DecisionLog,
        stop_requested: &AtomicBool,
    ) -> Result<Self, Report<ServeFailure>> {
        let wait = AddressWait {
            begun: Instant::now(),
            limit: Duration::from_millis(settings.bounds_ms.stop),
            log,
            stop_requested,
        };
        let listen = &settings.listen;
        Ok(Self {
            callers: wait.listen("callers", listen.callers)?,
            readiness: wait.listen("readiness", listen.readiness)?,
            peers: wait.listen("peers", listen.peers)?,
            metrics: wait.listen("metrics", listen.metrics)?,
        })
    }

    /// Returns the addresses, with the ports that the system assigned in place of port 0.
    pub(super) fn addresses(&self) -> Result<SiteListen, Report<ServeFailure>> {
        let of =
            |listener: &TcpListener| listener.local_addr().change_context(ServeFailure::Listen);
        Ok(SiteListen {
            callers: of(&self.callers)?,
            readiness: of(&self.readiness)?,
            peers: of(&self.peers)?,
            metrics: of(&self.metrics)?,
        })
    }
}

/// Retries of one start for addresses in use. The time limit covers all addresses together.
struct AddressWait<'a> {
    begun: Instant,
    limit: Duration,
    log: &'a DecisionLog,
    stop_requested: &'a AtomicBool,
}

impl AddressWait<'_> {
    fn listen(
        &self,
        field: &str,
        address: SocketAddr,
    ) -> Result<TcpListener, Report<ServeFailure>> {
        loop {
            let error = match bankvalve_link::listen(address) {
                Ok(listener) => return Ok(listener),
                Err(error) => error,
            };
            let waited = self.begun.elapsed();
            let stopped = self.stop_requested.load(Ordering::Acquire);
            if stopped || error.kind() != ErrorKind::AddrInUse || waited >= self.limit {
                let failure = match stopped {
                    true => ServeFailure::Stopped,
                    false => ServeFailure::Listen,
                };
                let what = format!("listen.{field} {address} after {} ms", waited.as_millis());
                return Err(Report::new(error).change_context(failure).attach(what));
            }
            let (waited, limit) = (waited.as_millis(), self.limit.as_millis());
            let line = DecisionLine {
                part: "process",
                event: "address_held",
                id: address.to_string(),
                detail: format!("listen.{field}: {error}; waited {waited} of {limit} ms"),
            };
            self.log.note(LineLevel::Warn, line);
            thread::sleep(RETRY_PAUSE);
        }
    }
}
