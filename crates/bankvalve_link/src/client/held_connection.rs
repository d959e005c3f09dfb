//! A numbered connection, which callers can request again by its number.

use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::header::{HeaderValue, HOST};
use hyper::http::uri::Authority;
use hyper::{Request, Response, Uri};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;

use super::open_connections::{limit_error, ConnectionCounts, OpenConnection};
use super::{CallEnd, ClientFailure, ClientLimits};

/// Number of a connection that a client holds open; unique among the connections of that client.
pub type HeldNumber = u64;

/// An open connection, its number and the time of its last use.
#[derive(Debug)]
pub(super) struct HeldConnection {
    pub(super) number: HeldNumber,
    pub(super) sender: SendRequest<Full<Bytes>>,
    pub(super) used_at: Instant,
}

/// How a request on a held connection went without a failure.
pub(super) enum Sending {
    /// The head of the reply.
    Answered(Response<Incoming>),
    /// Not sent: the connection had ended before.
    Unsent(Request<Full<Bytes>>),
}

impl HeldConnection {
    /// Connects to an address and sets up HTTP/1 on the connection.
    pub(super) async fn connect(
        address: &Authority,
        number: HeldNumber,
        limits: &ClientLimits,
        counts: &Arc<ConnectionCounts>,
    ) -> Result<Self, CallEnd> {
        let not_sent = |text: String| CallEnd::not_sent(text);
        let counted = OpenConnection::count(counts, limits.open);
        let counted = counted.ok_or_else(|| not_sent(limit_error(limits.open).to_string()))?;
        let connecting = TcpStream::connect(address.as_str());
        let connected = tokio::time::timeout(limits.connect_time, connecting).await;
        let connected = connected.map_err(|_| not_sent("connection attempt timed out".into()))?;
        let stream = connected.map_err(|error| match error.kind() {
            ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset => {
                CallEnd::Failed(ClientFailure::Refused(error.to_string()))
            }
            _ => not_sent(error.to_string()),
        })?;
        let failed = |error: std::io::Error| not_sent(error.to_string());
        stream.set_nodelay(true).map_err(failed)?;
        let socket = SockRef::from(&stream);
        socket
            .set_tcp_user_timeout(limits.ack_timeout)
            .map_err(failed)?;
        let handshaken = handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshaken.map_err(|error| not_sent(error.to_string()))?;
        // Drives the connection. Its errors are ignored here: the call in flight on it fails with them.
        tokio::spawn(async move {
            drop(connection.await);
            drop(counted);
        });
        Ok(Self {
            number,
            sender,
            used_at: Instant::now(),
        })
    }

    /// Sends a request and waits for the head of the reply.
    ///
    /// A request counts as unsent only if nothing of it was written.
    pub(super) async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Sending, CallEnd> {
        // Lets the runtime read the end of a connection that its peer has closed meanwhile.
        tokio::task::yield_now().await;
        if self.sender.ready().await.is_err() {
            return Ok(Sending::Unsent(request));
        }
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(Sending::Answered(response)),
            Err(mut error) => match error.take_message() {
                Some(request) => Ok(Sending::Unsent(request)),
                None => Err(CallEnd::of(error.error())),
            },
        }
    }
}

/// Puts a request into origin form: the URI holds only the path and query, and the `Host` header the address.
pub(super) fn to_origin_form(
    mut request: Request<Full<Bytes>>,
    address: &Authority,
) -> Result<Request<Full<Bytes>>, ClientFailure> {
    let not_sent = |error: String| ClientFailure::NotSent(error);
    let host = HeaderValue::from_str(address.as_str());
    let host = host.map_err(|error| not_sent(error.to_string()))?;
    request.headers_mut().insert(HOST, host);
    let path = request.uri().path_and_query().cloned();
    let path = path.ok_or_else(|| not_sent("expected a path in the URL".into()))?;
    *request.uri_mut() = Uri::from(path);
    Ok(request)
}
