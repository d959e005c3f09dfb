//! HTTP interface between entry instances.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bankvalve_cell::instance::{CoreEvent, PeerBatch};
use bankvalve_link::{decode_message, HttpAnswer, HttpRequest, KeyRing};
use hyper::Method;

use super::caller_api::header_ms;
use crate::serve::{CoreHandle, RequestOutcome, RequestRouter, ServiceRequest};

/// Time limit of a service request without the header `bankvalve-deadline-ms`.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(5);
/// Content type of a service's answer.
const CONTENT_TYPE: &str = "application/octet-stream";

/// HTTP interface between entry instances.
#[derive(Clone, Debug)]
pub struct PeerApi {
    core: CoreHandle,
    router: RequestRouter,
    keys: Arc<KeyRing>,
}

impl PeerApi {
    pub(crate) fn new(core: CoreHandle, router: RequestRouter, keys: Arc<KeyRing>) -> Self {
        Self { core, router, keys }
    }

    /// Handles a request from a peer: a message batch, or a service request for a worker that this instance
    /// owns.
    pub async fn handle(self, request: HttpRequest) -> HttpAnswer {
        let (_, _, peer) = KeyRing::headers();
        let header = request.header(peer);
        if let Err(failure) = self.keys.check_peer(header, &request.path, &request.body) {
            log::warn!("peers: refused a request: {failure}");
            return HttpAnswer::new(403, "text/plain", failure.to_string());
        }
        let path = request.path.clone();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (&request.method, parts.as_slice()) {
            (&Method::POST, ["peer", "batch"]) => self.handle_batch(&request),
            (&Method::POST, ["peer", "requests", team, service, worker]) => {
                self.forward(&request, team, service, worker).await
            }
            _ => HttpAnswer::empty(404),
        }
    }

    fn handle_batch(&self, request: &HttpRequest) -> HttpAnswer {
        let Some(batch) = decode_message::<PeerBatch>(&request.body) else {
            return HttpAnswer::new(400, "text/plain", "expected an encoded batch");
        };
        if self.core.send_event(CoreEvent::Peer(batch)) {
            HttpAnswer::empty(204)
        } else {
            HttpAnswer::empty(503)
        }
    }

    async fn forward(
        &self,
        request: &HttpRequest,
        team: &str,
        service: &str,
        worker: &str,
    ) -> HttpAnswer {
        let timeout = header_ms(request, "bankvalve-deadline-ms").unwrap_or(DEFAULT_TIMEOUT);
        let id = request.header("bankvalve-request").unwrap_or_default();
        let forwarded = ServiceRequest {
            team: team.to_owned(),
            service: service.to_owned(),
            id: id.to_owned(),
            deadline: Instant::now() + timeout,
            repeatable: false,
            body: request.body.clone(),
        };
        match self
            .router
            .forward_to_owned_worker(worker, &forwarded)
            .await
        {
            RequestOutcome::Answered(status, body) => HttpAnswer::new(status, CONTENT_TYPE, body),
            RequestOutcome::NotRun(reason) => HttpAnswer::new(
                crate::serve::PEER_NOT_RUN,
                "text/plain",
                reason.as_str().as_bytes(),
            ),
            RequestOutcome::Unknown => HttpAnswer::empty(crate::serve::PEER_UNKNOWN),
        }
    }
}
