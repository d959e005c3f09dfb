//! Request handlers of the listening threads.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Instant;

use bankvalve_link::{decode_message, HttpAnswer, HttpRequest};
use bankvalve_queue::{
    CallerAnswer, CoreEvent, PeerBatch, PlatformPort, RequestFault, ResolvedRequest, WireAnswer,
    WireRequest,
};

use super::core_loop::EntryHandle;
use super::entry_metrics::EntryMetrics;
use super::link_loop::PEER_PATH;

/// Time after which a caller may retry while there is no configuration yet, in milliseconds.
const NO_TABLE_RETRY_MS: u64 = 1_000;

/// Maximum length of a request's host and path in the log, in characters.
const MAX_REQUEST_TEXT_CHARS: usize = 160;

/// State that all listeners share.
#[derive(Clone, Debug)]
pub(super) struct ListenerState {
    pub(super) core: EntryHandle,
    pub(super) port: PlatformPort,
    pub(super) metrics: Arc<EntryMetrics>,
    pub(super) stopping: Arc<AtomicBool>,
    pub(super) in_flight: Arc<AtomicU64>,
}

/// Guard that counts a caller's request as in flight until it is dropped: once the request is answered, or
/// when the caller disconnects.
struct InFlightGuard(Arc<AtomicU64>);

impl InFlightGuard {
    fn count(open: &Arc<AtomicU64>) -> Self {
        open.fetch_add(1, Ordering::AcqRel);
        Self(open.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl ListenerState {
    /// Answers a caller's request and records its latency.
    pub(super) async fn serve_caller(self, request: HttpRequest) -> HttpAnswer {
        let _counted = InFlightGuard::count(&self.in_flight);
        let begun = Instant::now();
        let answer = self.decide(&request).await;
        self.metrics
            .record_request(request.method.as_str(), answer.status, begun.elapsed());
        HttpAnswer {
            close: self.stopping.load(Ordering::Acquire),
            ..HttpAnswer {
                retry_after_ms: answer.retry_ms,
                ..HttpAnswer::new(answer.status, answer.content_type, answer.body)
            }
        }
    }

    async fn decide(&self, request: &HttpRequest) -> WireAnswer {
        let headers: Vec<(&str, &str)> = request
            .headers
            .iter()
            .filter_map(|(name, value)| Some((name.as_str(), value.to_str().ok()?)))
            .collect();
        let host = request.header("host").unwrap_or_default();
        let wire = WireRequest {
            method: request.method.as_str(),
            path: &request.path,
            host: host.split(':').next().unwrap_or_default(),
            headers: &headers,
            body: &request.body,
        };
        match self.resolve(&wire).await {
            Ok(resolved) => (self.port.write_answer)(&self.core.submit_request(resolved).await),
            Err(answer) => answer,
        }
    }

    /// Resolves a request by the configuration in force. A denial (unknown queue or key) is returned only
    /// once that configuration is known to be the newest, and a queue or key of a newer one is accepted only
    /// if that came into force soon after the request.
    async fn resolve(&self, wire: &WireRequest<'_>) -> Result<ResolvedRequest, WireAnswer> {
        let first = self.resolve_in_force(wire);
        let Err(RequestFault::Denied {
            reason,
            patience_ms,
            ..
        }) = first
        else {
            return first.map_err(RequestFault::into_answer);
        };
        let asked = request_text(wire);
        let newest = self.core.query_newest(asked, reason, patience_ms).await;
        match self.resolve_in_force(wire) {
            Err(RequestFault::Denied { .. }) if !newest.proves_denial() => {
                Err((self.port.write_answer)(&newest))
            }
            Ok(_) if newest != CallerAnswer::TableIsNewest => {
                Err((self.port.write_answer)(&newest))
            }
            read => read.map_err(RequestFault::into_answer),
        }
    }

    /// Resolves a request by the present configuration, or refuses it if there is none yet.
    fn resolve_in_force(&self, wire: &WireRequest<'_>) -> Result<ResolvedRequest, RequestFault> {
        let Some(table) = self.core.table() else {
            return Err(RequestFault::Refused(WireAnswer {
                status: 503,
                content_type: "text/plain",
                body: b"no configuration yet".to_vec(),
                retry_ms: Some(NO_TABLE_RETRY_MS),
            }));
        };
        (self.port.read_request)(wire, &table)
    }

    /// Passes a peer's messages to the core.
    pub(super) fn serve_peer(&self, request: &HttpRequest) -> HttpAnswer {
        if request.path != PEER_PATH {
            return HttpAnswer::empty(404);
        }
        let Some(batch) = decode_message::<PeerBatch>(&request.body) else {
            return HttpAnswer::empty(400);
        };
        let from = batch.from;
        for message in batch.messages {
            if !self.core.enqueue(CoreEvent::Peer { from, message }) {
                return HttpAnswer::empty(503);
            }
        }
        HttpAnswer::empty(200)
    }

    /// Answers the platform's readiness check: 200 if the instance may receive callers, else 503.
    pub(super) fn serve_readiness(&self, request: &HttpRequest) -> HttpAnswer {
        if request.path != self.port.ready_path {
            return HttpAnswer::empty(404);
        }
        let ready = self.core.view().ready && !self.stopping.load(Ordering::Acquire);
        HttpAnswer::empty(if ready { 200 } else { 503 })
    }

    /// Returns the metrics.
    pub(super) fn serve_metrics(&self) -> HttpAnswer {
        HttpAnswer::new(200, "text/plain; version=0.0.4", self.metrics.render())
    }
}

/// Returns the host and path of a request, shortened for the log.
fn request_text(wire: &WireRequest<'_>) -> String {
    let asked = wire.host.chars().chain(wire.path.chars());
    asked.take(MAX_REQUEST_TEXT_CHARS).collect()
}
