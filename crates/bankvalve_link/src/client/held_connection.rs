//! A connection that its user tells from others.

use std::io::ErrorKind;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::header::{HeaderValue, HOST};
use hyper::http::uri::Authority;
use hyper::{Request, Uri};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;

use super::{CallEnd, ClientFailure, ClientLimits};

/// Number of a connection that a client holds; no other one of this process bears it.
pub type HeldNumber = u64;

/// An open connection with its number.
#[derive(Debug)]
pub(super) struct HeldConnection {
    pub(super) number: HeldNumber,
    pub(super) sender: SendRequest<Full<Bytes>>,
    pub(super) used_at: Instant,
}

impl HeldConnection {
    /// Connects to an address.
    pub(super) async fn connect(
        address: &Authority,
        number: HeldNumber,
        limits: &ClientLimits,
    ) -> Result<Self, CallEnd> {
        let not_sent = |text: String| CallEnd::Failed(ClientFailure::NotSent(text));
        let connecting = TcpStream::connect(address.as_str());
        let connected = tokio::time::timeout(limits.connect_time, connecting).await;
        let connected = connected.map_err(|_| not_sent("no connection in time".into()))?;
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
        let shaken = handshake(TokioIo::new(stream)).await;
        let (sender, connection) = shaken.map_err(|error| not_sent(error.to_string()))?;
        // How it ends shows in the call that is on it.
        tokio::spawn(async move { drop(connection.await) });
        Ok(Self {
            number,
            sender,
            used_at: Instant::now(),
        })
    }
}

/// The request as it is written to a connection: with a path alone, and the host beside it.
pub(super) fn with_path_alone(
    mut request: Request<Full<Bytes>>,
    address: &Authority,
) -> Result<Request<Full<Bytes>>, ClientFailure> {
    let not_sent = |error: String| ClientFailure::NotSent(error);
    let host = HeaderValue::from_str(address.as_str());
    let host = host.map_err(|error| not_sent(error.to_string()))?;
    request.headers_mut().insert(HOST, host);
    let path = request.uri().path_and_query().cloned();
    let path = path.ok_or_else(|| not_sent("expected a path".into()))?;
    *request.uri_mut() = Uri::from(path);
    Ok(request)
}
