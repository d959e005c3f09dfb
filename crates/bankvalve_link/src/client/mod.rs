//! An HTTP client that keeps connections open.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{HeaderName, HeaderValue, CONTENT_TYPE};
use hyper::{Method, Request};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioTimer};

/// Time after which an idle connection is closed.
const IDLE_TIME: Duration = Duration::from_secs(20);
/// Time in which a connection must be made.
const CONNECT_TIME: Duration = Duration::from_secs(2);

/// How a client keeps its connections.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// Connections that stay open to each host while idle.
    pub idle: usize,
    /// Time after which an idle connection is closed.
    pub idle_time: Duration,
    /// Time in which a connection must be made.
    pub connect_time: Duration,
    /// Time for which sent bytes may stay unacknowledged.
    pub silence: Option<Duration>,
    /// Largest reply in bytes.
    pub reply_bytes: usize,
}

/// Why a request has no reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientFailure {
    /// It was surely not sent: no connection could be made.
    NotSent(String),
    /// It may have been received.
    NoReply(String),
}

impl std::fmt::Display for ClientFailure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ClientFailure::NotSent(text) => write!(f, "not sent: {text}"),
            ClientFailure::NoReply(text) => write!(f, "no reply: {text}"),
        }
    }
}

/// A reply.
#[derive(Clone, Debug)]
pub struct HttpReply {
    /// Status code.
    pub status: u16,
    /// Body, whole.
    pub body: Bytes,
    /// Time after which to come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// A client; clones share their connections.
///
/// Must be used inside a tokio runtime with I/O and time enabled.
#[derive(Clone, Debug)]
pub struct HttpClient {
    inner: Client<HttpConnector, Full<Bytes>>,
    reply_bytes: usize,
}

impl HttpClient {
    /// Makes a client that keeps at most `idle` connections to each host and
    /// takes replies of at most `reply_bytes`.
    ///
    /// # Examples
    ///
    /// ```
    /// let client = bankvalve_link::HttpClient::new(4, 1024 * 1024);
    /// ```
    pub fn new(idle: usize, reply_bytes: usize) -> Self {
        Self::with_limits(ClientLimits {
            idle,
            idle_time: IDLE_TIME,
            connect_time: CONNECT_TIME,
            silence: None,
            reply_bytes,
        })
    }

    /// Makes a client that keeps its connections as the limits say.
    pub fn with_limits(limits: ClientLimits) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(limits.connect_time));
        connector.set_tcp_user_timeout(limits.silence);
        let inner = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(limits.idle_time)
            .pool_max_idle_per_host(limits.idle)
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            inner,
            reply_bytes: limits.reply_bytes,
        }
    }

    /// Sends a request and waits for the whole reply.
    ///
    /// # Errors
    ///
    /// Returns whether the request may have been received.
    pub async fn send(
        &self,
        method: Method,
        url: &str,
        headers: &[(&'static str, String)],
        content_type: &'static str,
        body: impl Into<Bytes>,
        time: Duration,
    ) -> Result<HttpReply, ClientFailure> {
        let mut builder = Request::builder()
            .method(method)
            .uri(url)
            .header(CONTENT_TYPE, content_type);
        for (name, value) in headers {
            let value = HeaderValue::from_str(value)
                .map_err(|error| ClientFailure::NotSent(error.to_string()))?;
            builder = builder.header(HeaderName::from_static(name), value);
        }
        let request = builder
            .body(Full::new(body.into()))
            .map_err(|error| ClientFailure::NotSent(error.to_string()))?;
        match tokio::time::timeout(time, self.exchange(request)).await {
            Ok(reply) => reply,
            Err(_) => Err(ClientFailure::NoReply("out of time".into())),
        }
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<HttpReply, ClientFailure> {
        let response = self.inner.request(request).await.map_err(|error| {
            let text = error.to_string();
            if error.is_connect() {
                ClientFailure::NotSent(text)
            } else {
                ClientFailure::NoReply(text)
            }
        })?;
        let status = response.status().as_u16();
        let retry_after_ms = response
            .headers()
            .get(hyper::header::RETRY_AFTER)
            .and_then(|value| value.to_str().ok()?.parse::<u64>().ok())
            .map(|seconds| seconds * 1_000);
        let body = Limited::new(response.into_body(), self.reply_bytes)
            .collect()
            .await
            .map_err(|error| ClientFailure::NoReply(error.to_string()))?
            .to_bytes();
        Ok(HttpReply {
            status,
            body,
            retry_after_ms,
        })
    }
}
