//! An HTTP client that keeps connections open.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderName, HeaderValue, CONTENT_TYPE};
use hyper::{Method, Request, Response};
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

    /// Sends a request and waits a time for the reply to begin, and then for its whole body as long
    /// as that goes on: no pause in it may be longer than `pause`.
    ///
    /// `begins` is called when the reply has begun, with the size of its body if that is told.
    ///
    /// # Errors
    ///
    /// Returns whether the request may have been received.
    pub async fn send_long(
        &self,
        url: &str,
        content_type: &'static str,
        (time, pause): (Duration, Duration),
        begins: impl FnOnce(Option<u64>),
    ) -> Result<HttpReply, ClientFailure> {
        let request = Request::builder()
            .method(Method::GET)
            .uri(url)
            .header(CONTENT_TYPE, content_type)
            .body(Full::new(Bytes::new()))
            .map_err(|error| ClientFailure::NotSent(error.to_string()))?;
        let out_of_time = |_| ClientFailure::NoReply("out of time".into());
        let response = tokio::time::timeout(time, self.begin(request))
            .await
            .map_err(out_of_time)??;
        let (status, retry_after_ms) = head_of(&response);
        begins(response.body().size_hint().exact());
        let mut body = Limited::new(response.into_body(), self.reply_bytes);
        let mut whole = BytesMut::new();
        loop {
            let frame = tokio::time::timeout(pause, body.frame());
            match frame.await.map_err(out_of_time)? {
                None => break,
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        whole.extend_from_slice(data);
                    }
                }
                Some(Err(error)) => return Err(ClientFailure::NoReply(error.to_string())),
            }
        }
        Ok(HttpReply {
            status,
            body: whole.freeze(),
            retry_after_ms,
        })
    }

    async fn begin(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ClientFailure> {
        self.inner.request(request).await.map_err(|error| {
            let text = error.to_string();
            if error.is_connect() {
                ClientFailure::NotSent(text)
            } else {
                ClientFailure::NoReply(text)
            }
        })
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<HttpReply, ClientFailure> {
        let response = self.begin(request).await?;
        let (status, retry_after_ms) = head_of(&response);
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

/// Status of a response, and the time after which to come back, in milliseconds.
fn head_of(response: &Response<Incoming>) -> (u16, Option<u64>) {
    let retry_after_ms = response
        .headers()
        .get(hyper::header::RETRY_AFTER)
        .and_then(|value| value.to_str().ok()?.parse::<u64>().ok())
        .map(|seconds| seconds * 1_000);
    (response.status().as_u16(), retry_after_ms)
}
