//! An HTTP client that keeps connections open.

mod held_connection;
mod kept_connections;

use std::io::ErrorKind;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderName, HeaderValue, CONTENT_TYPE};
use hyper::http::uri::Authority;
use hyper::{Method, Request, Response};

use self::held_connection::{with_path_alone, HeldConnection};
use self::kept_connections::{ConnectionPool, KeptConnections};

pub use self::held_connection::HeldNumber;

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
    pub ack_timeout: Option<Duration>,
    /// Largest reply in bytes.
    pub reply_bytes: usize,
}

/// Why a request has no reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientFailure {
    /// It was surely not sent: its port refused the connection, so nothing listens there.
    Refused(String),
    /// It was surely not sent: no connection could be made, in time or at all.
    NotSent(String),
    /// It may have been received.
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

/// How a call ended that has no reply, though its connection was made.
enum CallEnd {
    /// Nothing acknowledged what was sent.
    Silent,
    /// Anything else.
    Failed(ClientFailure),
}

impl CallEnd {
    fn of(error: &(dyn std::error::Error + 'static)) -> Self {
        match system_cause(error) {
            Some(ErrorKind::TimedOut) => CallEnd::Silent,
            _ => CallEnd::Failed(ClientFailure::NoReply(error.to_string())),
        }
    }
}

/// What the system said, if an error comes from it.
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
/// A call without an answer in time shows that the connections open to its address may be silent:
/// none of them is used for a later call.
///
/// **NOTE** Must be used inside a tokio runtime with I/O and time enabled.
#[derive(Clone, Debug)]
pub struct HttpClient {
    kept: KeptConnections,
    limits: ClientLimits,
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
            ack_timeout: None,
            reply_bytes,
        })
    }

    /// Makes a client that keeps its connections as the limits say.
    pub fn with_limits(limits: ClientLimits) -> Self {
        Self {
            kept: KeptConnections::new(limits),
            limits,
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
        let request = request_of(method, url, headers, content_type, body.into())?;
        let address = address_of(&request, url)?;
        let (pool, generation) = self.kept.pool(&address);
        let exchange = tokio::time::timeout(time, self.exchange(&pool, request));
        let end = exchange.await.unwrap_or(Err(CallEnd::Silent));
        self.note_end(&address, generation, end)
    }

    /// Sends a request on the connection that is held to its address and tells the number of that connection, or
    /// on a new one, which is held from then on. One call at a time goes on it.
    ///
    /// With `only` it is sent on the connection of that number alone. A connection ends with the process that it
    /// leads to, so the request reaches the process that answered on it, or none.
    ///
    /// # Errors
    ///
    /// Returns whether the request may have been received; `NotSent` if the only connection has ended.
    pub async fn send_held(
        &self,
        method: Method,
        url: &str,
        headers: &[(&'static str, String)],
        content_type: &'static str,
        body: impl Into<Bytes>,
        (only, time): (Option<HeldNumber>, Duration),
    ) -> Result<(HttpReply, HeldNumber), ClientFailure> {
        let request = request_of(method, url, headers, content_type, body.into())?;
        let address = address_of(&request, url)?;
        let request = with_path_alone(request, &address)?;
        let (held, generation) = self.kept.take_held(&address);
        let exchange = async {
            let mut held = self.ready_connection(&address, held, only).await?;
            let reply = self.exchange_on(&mut held, request).await?;
            let number = held.number;
            self.kept.hold(&address, generation, held);
            Ok((reply, number))
        };
        let exchange = tokio::time::timeout(time, exchange);
        let end = exchange.await.unwrap_or(Err(CallEnd::Silent));
        self.note_end(&address, generation, end)
    }

    /// The connection for a call: the one that was held, if it is open, or a new one.
    async fn ready_connection(
        &self,
        address: &Authority,
        held: Option<HeldConnection>,
        only: Option<HeldNumber>,
    ) -> Result<HeldConnection, CallEnd> {
        let fits = |held: &HeldConnection| only.is_none_or(|only| held.number == only);
        if let Some(mut held) = held.filter(fits) {
            if held.sender.ready().await.is_ok() {
                return Ok(held);
            }
        }
        if only.is_some() {
            let text = "the connection has ended".to_owned();
            return Err(CallEnd::Failed(ClientFailure::NotSent(text)));
        }
        HeldConnection::connect(address, self.kept.next_number(), &self.limits).await
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
        let address = address_of(&request, url)?;
        let (pool, generation) = self.kept.pool(&address);
        let exchange = self.exchange_long(&pool, request, (time, pause), begins);
        self.note_end(&address, generation, exchange.await)
    }

    /// Notes how a call ended on the connections among which it was.
    fn note_end<R>(
        &self,
        address: &Authority,
        generation: u64,
        end: Result<R, CallEnd>,
    ) -> Result<R, ClientFailure> {
        match end {
            Ok(reply) => {
                self.kept.note_answer(address, generation);
                Ok(reply)
            }
            Err(CallEnd::Failed(failure)) => Err(failure),
            Err(CallEnd::Silent) => {
                self.kept.give_up(address, generation);
                Err(ClientFailure::NoReply("out of time".into()))
            }
        }
    }

    async fn exchange_long(
        &self,
        pool: &ConnectionPool,
        request: Request<Full<Bytes>>,
        (time, pause): (Duration, Duration),
        begins: impl FnOnce(Option<u64>),
    ) -> Result<HttpReply, CallEnd> {
        let out_of_time = |_| CallEnd::Silent;
        let begun = tokio::time::timeout(time, begin(pool, request));
        let response = begun.await.map_err(out_of_time)??;
        let (status, retry_after_ms) = head_of(&response);
        begins(response.body().size_hint().exact());
        let mut body = Limited::new(response.into_body(), self.limits.reply_bytes);
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
                Some(Err(error)) => return Err(CallEnd::of(&*error)),
            }
        }
        Ok(HttpReply {
            status,
            body: whole.freeze(),
            retry_after_ms,
        })
    }

    async fn exchange(
        &self,
        pool: &ConnectionPool,
        request: Request<Full<Bytes>>,
    ) -> Result<HttpReply, CallEnd> {
        let response = begin(pool, request).await?;
        self.take_reply(response).await
    }

    /// Exchanges a request and its reply on a connection.
    async fn exchange_on(
        &self,
        held: &mut HeldConnection,
        request: Request<Full<Bytes>>,
    ) -> Result<HttpReply, CallEnd> {
        let response = held.sender.send_request(request).await;
        self.take_reply(response.map_err(|error| CallEnd::of(&error))?)
            .await
    }

    async fn take_reply(&self, response: Response<Incoming>) -> Result<HttpReply, CallEnd> {
        let (status, retry_after_ms) = head_of(&response);
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

fn request_of(
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
    address.ok_or_else(|| ClientFailure::NotSent(format!("{url}: expected an address")))
}

/// Sends a request and waits until its reply begins.
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

/// Status of a response, and the time after which to come back, in milliseconds.
fn head_of(response: &Response<Incoming>) -> (u16, Option<u64>) {
    let retry_after_ms = response
        .headers()
        .get(hyper::header::RETRY_AFTER)
        .and_then(|value| value.to_str().ok()?.parse::<u64>().ok())
        .map(|seconds| seconds * 1_000);
    (response.status().as_u16(), retry_after_ms)
}
