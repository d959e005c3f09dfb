//! HTTP interface for monitoring: metrics, liveness and readiness.

use std::sync::Arc;

use bankvalve_link::{HttpAnswer, HttpRequest};
use hyper::Method;

use crate::metrics::InstanceMetrics;
use crate::serve::CoreHandle;

/// Content type of the metrics in Prometheus text format.
const METRICS_CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// HTTP interface for monitoring.
#[derive(Clone, Debug)]
pub struct AdminApi {
    core: CoreHandle,
    metrics: Arc<InstanceMetrics>,
}

impl AdminApi {
    pub(crate) fn new(core: CoreHandle, metrics: Arc<InstanceMetrics>) -> Self {
        Self { core, metrics }
    }

    /// Handles a request.
    ///
    /// `/healthz` returns 200 while the process runs. `/readyz` returns 200 while the instance is ready to
    /// serve callers, otherwise 503.
    pub async fn handle(self, request: HttpRequest) -> HttpAnswer {
        match (&request.method, request.path.as_str()) {
            (&Method::GET, "/healthz") => HttpAnswer::new(200, "text/plain", "lives\n"),
            (&Method::GET, "/readyz") if self.core.is_ready() => {
                HttpAnswer::new(200, "text/plain", "ready\n")
            }
            (&Method::GET, "/readyz") => HttpAnswer::new(503, "text/plain", "not ready\n"),
            (&Method::GET, "/metrics") => {
                HttpAnswer::new(200, METRICS_CONTENT_TYPE, self.metrics.render())
            }
            _ => HttpAnswer::empty(404),
        }
    }
}
