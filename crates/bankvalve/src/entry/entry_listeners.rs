//! The sockets that an instance listens on.

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

/// Pause between two tries to listen: a fifth of the shortest time that a site can set for a stop,
/// which is also how long is tried.
const TRY_AGAIN: Duration = Duration::from_millis(100);

/// The sockets that an instance listens on.
#[derive(Debug)]
pub(super) struct EntryListeners {
    pub(super) callers: TcpListener,
    pub(super) readiness: TcpListener,
    pub(super) peers: TcpListener,
    pub(super) metrics: TcpListener,
}

impl EntryListeners {
    /// Listens on the addresses of the settings. One that is still held is tried again for as
    /// long as the instance's process of before may take to stop; each try is logged.
    pub(super) fn bind(
        settings: &SiteSettings,
        log: &DecisionLog,
        told_to_stop: &AtomicBool,
    ) -> Result<Self, Report<ServeFailure>> {
        let wait = AddressWait {
            begun: Instant::now(),
            limit: Duration::from_millis(settings.bounds_ms.stop),
            log,
            told_to_stop,
        };
        let listen = &settings.listen;
        Ok(Self {
            callers: wait.listen("callers", listen.callers)?,
            readiness: wait.listen("readiness", listen.readiness)?,
            peers: wait.listen("peers", listen.peers)?,
            metrics: wait.listen("metrics", listen.metrics)?,
        })
    }

    /// The addresses, with the ports that the system chose where 0 was asked for.
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

/// A start that waits for addresses.
struct AddressWait<'a> {
    begun: Instant,
    limit: Duration,
    log: &'a DecisionLog,
    told_to_stop: &'a AtomicBool,
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
            let stopped = self.told_to_stop.load(Ordering::Acquire);
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
            thread::sleep(TRY_AGAIN);
        }
    }
}
