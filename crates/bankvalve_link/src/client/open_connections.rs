//! Count of a client's open connections, and a connector that keeps it.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper::Uri;
use hyper_util::client::legacy::connect::{Connected, Connection, HttpConnector};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tower_service::Service;

/// Error of a connector.
type ConnectError = Box<dyn std::error::Error + Send + Sync>;

/// Numbers of a client's connections.
///
/// # Examples
///
/// ```
/// let client = bankvalve_link::HttpClient::new(4, 1024);
/// let counts = client.connection_counts();
/// assert_eq!((counts.open(), counts.closed_idle(), counts.refused()), (0, 0, 0));
/// ```
#[derive(Debug, Default)]
pub struct ConnectionCounts {
    open: AtomicUsize,
    closed_idle: AtomicU64,
    refused: AtomicU64,
}

impl ConnectionCounts {
    /// Returns the number of open connections, including those that are being opened.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Returns how many idle connections were closed because the client was near its limit.
    pub fn closed_idle(&self) -> u64 {
        self.closed_idle.load(Ordering::Relaxed)
    }

    /// Returns how many connections were not opened because the client was at its limit.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    pub(super) fn count_closed_idle(&self, count: u64) {
        self.closed_idle.fetch_add(count, Ordering::Relaxed);
    }
}

/// Counts a connection for as long as it exists.
#[derive(Debug)]
pub(super) struct OpenConnection(Arc<ConnectionCounts>);

impl OpenConnection {
    /// Counts a connection that is about to be opened; `None` if `limit` connections are open.
    pub(super) fn count(counts: &Arc<ConnectionCounts>, limit: usize) -> Option<Self> {
        let before = counts.open.fetch_add(1, Ordering::Relaxed);
        let counted = Self(counts.clone());
        if before >= limit {
            counts.refused.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        Some(counted)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A connector that opens no more connections than a limit allows.
#[derive(Clone, Debug)]
pub(super) struct LimitedConnector {
    connector: HttpConnector,
    counts: Arc<ConnectionCounts>,
    limit: usize,
}

impl LimitedConnector {
    pub(super) fn new(
        connector: HttpConnector,
        counts: Arc<ConnectionCounts>,
        limit: usize,
    ) -> Self {
        Self {
            connector,
            counts,
            limit,
        }
    }
}

impl Service<Uri> for LimitedConnector {
    type Response = CountedStream;
    type Error = ConnectError;
    type Future = Pin<Box<dyn Future<Output = Result<CountedStream, ConnectError>> + Send>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), ConnectError>> {
        self.connector.poll_ready(context).map_err(Into::into)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let counted = OpenConnection::count(&self.counts, self.limit);
        let limit = self.limit;
        let connecting = counted.map(|counted| (counted, self.connector.call(uri)));
        Box::pin(async move {
            let (counted, connecting) = connecting.ok_or_else(|| limit_error(limit))?;
            let stream = connecting.await?;
            Ok(CountedStream {
                stream,
                _counted: counted,
            })
        })
    }
}

/// Returns the error of a connection that a limit does not allow.
pub(super) fn limit_error(limit: usize) -> io::Error {
    io::Error::other(format!("all {limit} connections of this client are in use"))
}

/// A connection that is counted while it is open.
#[derive(Debug)]
pub(super) struct CountedStream {
    stream: TokioIo<TcpStream>,
    _counted: OpenConnection,
}

impl Connection for CountedStream {
    fn connected(&self) -> Connected {
        self.stream.connected()
    }
}

impl Read for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl Write for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }
}
