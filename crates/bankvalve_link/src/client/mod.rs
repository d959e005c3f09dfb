//! An HTTP client that keeps connections open between calls.

mod connection_pools;
mod held_connection;
mod open_connections;
mod process_calls;

use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderName, HeaderValue, CONTENT_TYPE};
use hyper::http::uri::Authority;
use hyper::{Method, Request, Response};

use self::connection_pools::{ConnectionPool, ConnectionPools};
use self::held_connection::{to_origin_form, HeldConnection, Sending};

pub use self::held_connection::HeldNumber;
pub use self::open_connections::ConnectionCounts;
pub use self::process_calls::{PostCall, ProcessCheck, ProcessTag};

/// Default time after which an idle connection is closed.
const IDLE_TIME: Duration = Duration::from_secs(20);
/// Default timeout of a connection attempt.
const CONNECT_TIME: Duration = Duration::from_secs(2);
/// Default maximum number of open connections.
const MAX_OPEN_CONNECTIONS: usize = 16_384;
/// Default maximum size of a reply's body in bytes.
const MAX_REPLY_BYTES: usize = 1 << 20;
/// Error of a call whose new connection ended before the call was sent.
const CLOSED_AT_ONCE: &str = "the new connection has ended";

/// Limits and timeouts of a client's connections.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// Maximum number of idle connections to each host.
    pub idle: usize,
    /// Time after which an idle connection is closed.
    pub idle_time: Duration,
    /// Time after which a held connection is closed that no call uses.
    pub held_time: Duration,
    /// Maximum number of open connections to all hosts together. Near it, the idle connections to the hosts
    /// that were not called for longest are closed.
    pub open: usize,
    /// Timeout of a connection attempt.
    pub connect_time: Duration,
    /// Time that sent bytes may stay unacknowledged before the system closes the connection
    /// (`TCP_USER_TIMEOUT`); `None` keeps the system's default.
    pub ack_timeout: Option<Duration>,
    /// Maximum size of a reply's body in bytes.
    pub reply_bytes: usize,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            idle: 1,
            idle_time: IDLE_TIME,
            held_time: IDLE_TIME,
            open: MAX_OPEN_CONNECTIONS,
            connect_time: CONNECT_TIME,
            ack_timeout: None,
            reply_bytes: MAX_REPLY_BYTES,
        }
    }
}

/// Why a request has no reply, and whether it may have been received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientFailure {
    /// Not sent: the connection was refused or reset, so nothing listens on the port.
    Refused(String),
    /// Not sent: the request is invalid, or no connection could be opened or reused.
    NotSent(String),
    /// No reply arrived; the request may have been received.
    NoReply(String),
}

impl std::fmt::Display for ClientFailure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ClientFailure::Refused(text) => write!(f, "refused: {text}"),
            ClientFailure::NotSent(text) => write!(f, "not sent: {text}"),
            ClientFailure::NoReply(text) => write!(f, "no reply: {text}"),
        }
    }
}

/// Why a call ended without a reply.
enum CallEnd {
    /// No answer came in time, or the peer's system did not acknowledge the sent bytes in time.
    Unanswered,
    /// Any other failure.
    Failed(ClientFailure),
}

impl CallEnd {
    /// Classifies an error of a call whose connection was open.
    fn of(error: &(dyn std::error::Error + 'static)) -> Self {
        match system_cause(error) {
            Some(ErrorKind::TimedOut) => CallEnd::Unanswered,
            _ => CallEnd::Failed(ClientFailure::NoReply(error.to_string())),
        }
    }

    /// Returns the failure of a call that was not sent.
    fn not_sent(text: impl Into<String>) -> Self {
        CallEnd::Failed(ClientFailure::NotSent(text.into()))
    }
}

/// How a request on a held connection ended without a failure.
enum Exchange {
    /// The complete reply.
    Replied(HttpReply),
    /// Not sent: the connection had ended before.
    Unsent(Request<Full<Bytes>>),
}

/// Returns the kind of the I/O error that caused an error, or `None` if there is none.
fn system_cause(error: &(dyn std::error::Error + 'static)) -> Option<ErrorKind> {
    let mut cause = Some(error);
    while let Some(error) = cause {
        if let Some(error) = error.downcast_ref::<std::io::Error>() {
            return Some(error.kind());
        }
        cause = error.source();
    }
    None
}

/// The reply to a request.
#[derive(Clone, Debug)]
pub struct HttpReply {
    /// Status code.
    pub status: u16,
    /// Complete body.
    pub body: Bytes,
    /// Value of the `Retry-After` header, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// An HTTP client; its clones share their connections.
///
/// After a call has timed out, the open connections to its address may all have stopped responding, so
/// later calls use none of them.
///
/// **NOTE** Must be used inside a tokio runtime with I/O and time enabled.
#[derive(Clone, Debug)]
pub struct HttpClient {
    pools: ConnectionPools,
    limits: ClientLimits,
}

impl HttpClient {
    /// Creates a client that keeps at most `idle` idle connections to each host and
    /// accepts replies of at most `reply_bytes`.
    ///
    /// # Examples
    ///
    /// ```
    /// let client = bankvalve_link::HttpClient::new(4, 1024 * 1024);
    /// ```
    pub fn new(idle: usize, reply_bytes: usize) -> Self {
        Self::with_limits(ClientLimits {
            idle,
            reply_bytes,
            ..ClientLimits::default()
        })
    }

    /// Creates a client with the given limits.
    pub fn with_limits(limits: ClientLimits) -> Self {
        Self {
            pools: ConnectionPools::new(limits),
            limits,
        }
    }

    /// Returns the numbers of this client's connections, which its clones share.
    pub fn connection_counts(&self) -> Arc<ConnectionCounts> {
        self.pools.counts().clone()
    }

    /// Sends a request and waits for the complete reply, for at most `time`.
    ///
    /// # Errors
    ///
    /// Returns why there is no reply, and whether the request may have been received.
    pub async fn send(
        &self,
        method: Method,
        url: &str,
        headers: &[(&'static str, String)],
        content_type: &'static str,
        body: impl Into<Bytes>,
        time: Duration,
    ) -> Result<HttpReply, ClientFailure> {
        let request = build_request(method, url, headers, content_type, body.into())?;
        let address = address_of(&request, url)?;
        let (pool, generation) = self.pools.pool(&address);
        let exchange = tokio::time::timeout(time, self.exchange(&pool, request));
        let end = exchange.await.unwrap_or(Err(CallEnd::Unanswered));
        self.record_end(&address, generation, end)
    }

    /// Sends a request on the held connection to its address; returns the reply and the connection's number.
    ///
    /// Opens a new connection if none is free, and holds the connection after the reply. Calls do not share a
    /// held connection at the same time.
    ///
    /// With `only`, the request goes on the connection of that number or is not sent. A connection ends with
    /// the process at its other end, so the request reaches the process that answered on it before, or none.
    ///
    /// # Errors
    ///
    /// Returns why there is no reply, and whether the request may have been received; `NotSent` if the
    /// connection `only` has ended or is not the one that is held.
    pub async fn send_held(
        &self,
        method: Method,
        url: &str,
        headers: &[(&'static str, String)],
        content_type: &'static str,
        body: impl Into<Bytes>,
        (only, time): (Option<HeldNumber>, Duration),
    ) -> Result<(HttpReply, HeldNumber), ClientFailure> {
        let request = build_request(method, url, headers, content_type, body.into())?;
        let address = address_of(&request, url)?;
        let request = to_origin_form(request, &address)?;
        let (held, generation) = self.pools.take_held(&address);
        let exchange = async {
            let (reply, held) = self.exchange_held(&address, held, only, request).await?;
            let number = held.number;
            self.pools.hold(&address, generation, held);
            Ok((reply, number))
        };
        let exchange = tokio::time::timeout(time, exchange);
        let end = exchange.await.unwrap_or(Err(CallEnd::Unanswered));
        self.record_end(&address, generation, end)
    }

    /// Sends a request on the held connection if it is open, otherwise on a new one.
    ///
    /// Fails if `only` is given and is not the number of the open held connection.
    async fn exchange_held(
        &self,
        address: &Authority,
        held: Option<HeldConnection>,
        only: Option<HeldNumber>,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(HttpReply, HeldConnection), CallEnd> {
        let fits = |held: &HeldConnection| only.is_none_or(|only| held.number == only);
        if let Some(mut held) = held.filter(fits) {
            match self.exchange_on(&mut held, request).await? {
                Exchange::Replied(reply) => return Ok((reply, held)),
                Exchange::Unsent(unsent) => request = unsent,
            }
        }
        if only.is_some() {
            return Err(CallEnd::not_sent("the requested connection has ended"));
        }
        let number = self.pools.next_number();
        let mut held =
            HeldConnection::connect(address, number, &self.limits, self.pools.counts()).await?;
        match self.exchange_on(&mut held, request).await? {
            Exchange::Replied(reply) => Ok((reply, held)),
            Exchange::Unsent(_) => Err(CallEnd::not_sent(CLOSED_AT_ONCE)),
        }
    }

    /// Sends a GET request whose reply may take long to arrive.
    ///
    /// The head of the reply must arrive within `time`. The body may then take any time, as long as each part
    /// of it arrives within `pause` of the part before.
    ///
    /// Calls `on_begin` when the head has arrived, with the size of the body if it is known.
    ///
    /// # Errors
    ///
    /// Returns why there is no reply, and whether the request may have been received.
    pub async fn send_long(
        &self,
        url: &str,
        content_type: &'static str,
        (time, pause): (Duration, Duration),
        on_begin: impl FnOnce(Option<u64>),
    ) -> Result<HttpReply, ClientFailure> {
        let request = Request::builder()
            .method(Method::GET)
            .uri(url)
            .header(CONTENT_TYPE, content_type)
            .body(Full::new(Bytes::new()))
            .map_err(|error| ClientFailure::NotSent(error.to_string()))?;
        let address = address_of(&request, url)?;
        let (pool, generation) = self.pools.pool(&address);
        let exchange = self.exchange_long(&pool, request, (time, pause), on_begin);
        self.record_end(&address, generation, exchange.await)
    }

    /// Records the end of a call: replaces the pool of its generation if the call was unanswered.
    fn record_end<R>(
        &self,
        address: &Authority,
        generation: u64,
        end: Result<R, CallEnd>,
    ) -> Result<R, ClientFailure> {
        match end {
            Ok(reply) => {
                self.pools.record_answer(address, generation);
                Ok(reply)
            }
            Err(CallEnd::Failed(failure)) => Err(failure),
            Err(CallEnd::Unanswered) => {
                self.pools.replace_pool(address, generation);
                Err(ClientFailure::NoReply("timed out".into()))
            }
        }
    }

    async fn exchange_long(
        &self,
        pool: &ConnectionPool,
        request: Request<Full<Bytes>>,
        (time, pause): (Duration, Duration),
        on_begin: impl FnOnce(Option<u64>),
    ) -> Result<HttpReply, CallEnd> {
        let timed_out = |_| CallEnd::Unanswered;
        let begun = tokio::time::timeout(time, begin(pool, request));
        let response = begun.await.map_err(timed_out)??;
        let (status, retry_after_ms) = status_and_retry_after(&response);
        on_begin(response.body().size_hint().exact());
        let mut body = Limited::new(response.into_body(), self.limits.reply_bytes);
        let mut received = BytesMut::new();
        loop {
            let frame = tokio::time::timeout(pause, body.frame());
            match frame.await.map_err(timed_out)? {
                None => break,
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        received.extend_from_slice(data);
                    }
                }
                Some(Err(error)) => return Err(CallEnd::of(&*error)),
            }
        }
        Ok(HttpReply {
            status,
            body: received.freeze(),
            retry_after_ms,
        })
    }

    async fn exchange(
        &self,
        pool: &ConnectionPool,
        request: Request<Full<Bytes>>,
    ) -> Result<HttpReply, CallEnd> {
        let response = begin(pool, request).await?;
        self.read_reply(response).await
    }

    /// Sends a request on a held connection and reads its reply, or returns the request if the connection had
    /// ended before.
    async fn exchange_on(
        &self,
        held: &mut HeldConnection,
        request: Request<Full<Bytes>>,
    ) -> Result<Exchange, CallEnd> {
        match held.send(request).await? {
            Sending::Answered(response) => Ok(Exchange::Replied(self.read_reply(response).await?)),
            Sending::Unsent(request) => Ok(Exchange::Unsent(request)),
        }
    }

    async fn read_reply(&self, response: Response<Incoming>) -> Result<HttpReply, CallEnd> {
        let (status, retry_after_ms) = status_and_retry_after(&response);
        let body = Limited::new(response.into_body(), self.limits.reply_bytes)
            .collect()
            .await
            .map_err(|error| CallEnd::of(&*error))?
            .to_bytes();
        Ok(HttpReply {
            status,
            body,
            retry_after_ms,
        })
    }
}

fn build_request(
    method: Method,
    url: &str,
    headers: &[(&'static str, String)],
    content_type: &'static str,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, ClientFailure> {
    let mut builder = Request::builder()
        .method(method)
        .uri(url)
        .header(CONTENT_TYPE, content_type);
    for (name, value) in headers {
        let value = HeaderValue::from_str(value)
            .map_err(|error| ClientFailure::NotSent(error.to_string()))?;
        builder = builder.header(HeaderName::from_static(name), value);
    }
    builder
        .body(Full::new(body))
        .map_err(|error| ClientFailure::NotSent(error.to_string()))
}

fn address_of(request: &Request<Full<Bytes>>, url: &str) -> Result<Authority, ClientFailure> {
    let address = request.uri().authority().cloned();
    address.ok_or_else(|| ClientFailure::NotSent(format!("{url}: expected a host in the URL")))
}

/// Sends a request and waits for the head of its reply.
async fn begin(
    pool: &ConnectionPool,
    request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, CallEnd> {
    pool.request(request).await.map_err(|error| {
        let text = error.to_string();
        match (error.is_connect(), system_cause(&error)) {
            (true, Some(ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset)) => {
                CallEnd::Failed(ClientFailure::Refused(text))
            }
            (true, _) => CallEnd::Failed(ClientFailure::NotSent(text)),
            (false, _) => CallEnd::of(&error),
        }
    })
}

/// Returns the status of a response and its `Retry-After` header in milliseconds.
fn status_and_retry_after(response: &Response<Incoming>) -> (u16, Option<u64>) {
    let retry_after_ms = response
        .headers()
        .get(hyper::header::RETRY_AFTER)
        .and_then(|value| value.to_str().ok()?.parse::<u64>().ok())
        .map(|seconds| seconds * 1_000);
    (response.status().as_u16(), retry_after_ms)
}
