//! An HTTP server that runs on a separate thread.

use std::convert::Infallible;
use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::pin::Pin;
use std::sync::Arc;
use std::thread;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, RETRY_AFTER};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::sync::watch;

use super::{ServerCounters, ServerLimits, ServerTls};

/// Maximum size of a request's head in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Turns that a connection needs to notice that it has been closed: one to end reading the request, one to read on.
const CLOSE_CHECK_TURNS: usize = 2;
/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 64;

/// A request that has arrived completely.
#[derive(Debug)]
pub struct HttpRequest {
    /// Method, such as `GET`.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query without the question mark; empty if there is none.
    pub query: String,
    /// Headers.
    pub headers: hyper::HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl HttpRequest {
    /// Returns the value of a header, or `None` if the header is missing or not text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// Body of an answer and its content type.
#[derive(Clone, Debug, Default)]
pub struct AnswerBody {
    /// Content type.
    pub content_type: &'static str,
    /// Content.
    pub content: Bytes,
}

/// The answer to a request.
#[derive(Clone, Debug)]
pub struct HttpAnswer {
    /// Status code.
    pub status: u16,
    /// Body.
    pub body: AnswerBody,
    /// Time after which the client may retry, in milliseconds; sent as `Retry-After`, rounded up to seconds.
    pub retry_after_ms: Option<u64>,
    /// Whether the server closes the connection after the answer.
    pub close: bool,
}

impl HttpAnswer {
    /// Creates an answer with a body.
    pub fn new(status: u16, content_type: &'static str, content: impl Into<Bytes>) -> Self {
        let content = content.into();
        Self {
            status,
            body: AnswerBody {
                content_type,
                content,
            },
            retry_after_ms: None,
            close: false,
        }
    }

    /// Creates an answer without a body.
    pub fn empty(status: u16) -> Self {
        Self::new(status, "text/plain", Bytes::new())
    }
}

type AnswerFuture = Pin<Box<dyn Future<Output = HttpAnswer> + Send>>;
type RequestHandler = Arc<dyn Fn(HttpRequest) -> AnswerFuture + Send + Sync>;

/// A running server; dropping it stops accepting connections, closes the open ones and joins its thread.
///
/// # Examples
///
/// ```
/// use std::net::TcpListener;
/// use bankvalve_link::{HttpAnswer, HttpServer, ServerLimits};
///
/// let listener = TcpListener::bind("127.0.0.1:0").unwrap();
/// let server = HttpServer::start("demo", listener, ServerLimits::default(), |request| async move {
///     HttpAnswer::new(200, "text/plain", request.path)
/// }).unwrap();
/// assert_ne!(server.address().port(), 0);
/// ```
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    counters: Arc<ServerCounters>,
    stop: watch::Sender<bool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl HttpServer {
    /// Starts a server on a listener, in a thread with the given name.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener or the thread cannot be set up.
    pub fn start<F>(
        name: &str,
        listener: TcpListener,
        limits: ServerLimits,
        handler: impl Fn(HttpRequest) -> F + Send + Sync + 'static,
    ) -> std::io::Result<Self>
    where
        F: Future<Output = HttpAnswer> + Send + 'static,
    {
        Self::start_with(name, listener, limits, None, handler)
    }

    /// Starts a server that uses TLS if it has a key and certificate.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener or the thread cannot be set up.
    pub fn start_with<F>(
        name: &str,
        listener: TcpListener,
        limits: ServerLimits,
        tls: Option<ServerTls>,
        handler: impl Fn(HttpRequest) -> F + Send + Sync + 'static,
    ) -> std::io::Result<Self>
    where
        F: Future<Output = HttpAnswer> + Send + 'static,
    {
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let counters = Arc::new(ServerCounters::default());
        let (stop, stopped) = watch::channel(false);
        let handler: RequestHandler = Arc::new(move |request| Box::pin(handler(request)));
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let shared_counters = counters.clone();
        let thread = thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || {
                let accepting =
                    accept_all(listener, limits, tls, handler, shared_counters, stopped);
                if let Err(error) = runtime.block_on(accepting) {
                    log::error!("server: cannot accept connections on {address}: {error}");
                }
            })?;
        Ok(Self {
            address,
            counters,
            stop,
            thread: Some(thread),
        })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the server's counters.
    pub fn counters(&self) -> Arc<ServerCounters> {
        self.counters.clone()
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        let _ = self.stop.send(true);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Accepts and serves connections until the server is dropped.
async fn accept_all(
    listener: TcpListener,
    limits: ServerLimits,
    tls: Option<ServerTls>,
    handler: RequestHandler,
    counters: Arc<ServerCounters>,
    mut stopped: watch::Receiver<bool>,
) -> std::io::Result<()> {
    let listener = tokio::net::TcpListener::from_std(listener)?;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.changed() => return Ok(()),
        };
        let Ok((stream, _)) = accepted else {
            // The process may have no free file descriptors. A short wait lets other connections close.
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
            continue;
        };
        ServerCounters::count(&counters.accepted);
        let open = counters.open.load(std::sync::atomic::Ordering::Relaxed);
        if open >= limits.connections as u64 {
            ServerCounters::count(&counters.refused);
            continue;
        }
        ServerCounters::count(&counters.open);
        let _ = stream.set_nodelay(true);
        let connection = serve_stream(
            stream,
            limits,
            tls.clone(),
            handler.clone(),
            counters.clone(),
        );
        tokio::spawn(connection);
    }
}

/// Serves a connection, after a TLS handshake if the server uses TLS, and updates the counters at its end.
async fn serve_stream(
    stream: tokio::net::TcpStream,
    limits: ServerLimits,
    tls: Option<ServerTls>,
    handler: RequestHandler,
    counters: Arc<ServerCounters>,
) {
    let served = match tls {
        None => serve_connection(stream, limits, handler, &counters).await,
        Some(tls) => {
            let handshake = tls.acceptor.accept(stream);
            match tokio::time::timeout(limits.header_time, handshake).await {
                Ok(Ok(stream)) => serve_connection(stream, limits, handler, &counters).await,
                _ => false,
            }
        }
    };
    if !served {
        ServerCounters::count(&counters.malformed);
    }
    counters
        .open
        .fetch_sub(1, std::sync::atomic::Ordering::Relaxed);
}

/// Serves a connection until it ends; returns whether it ended without an error.
async fn serve_connection<S>(
    stream: S,
    limits: ServerLimits,
    handler: RequestHandler,
    counters: &Arc<ServerCounters>,
) -> bool
where
    S: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin,
{
    let shared_counters = counters.clone();
    let service = service_fn(move |request| {
        let handler = handler.clone();
        let counters = shared_counters.clone();
        async move { Ok::<_, Infallible>(serve_request(request, limits, handler, &counters).await) }
    });
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_time)
        .max_headers(MAX_HEADERS)
        .max_buf_size(MAX_HEAD_BYTES.max(8192));
    let served = builder
        .serve_connection(TokioIo::new(stream), service)
        .await;
    served.is_ok()
}

/// Reads a request's body, calls the handler and returns the response.
async fn serve_request(
    request: Request<Incoming>,
    limits: ServerLimits,
    handler: RequestHandler,
    counters: &ServerCounters,
) -> Response<Full<Bytes>> {
    let (head, body) = request.into_parts();
    let limited = Limited::new(body, limits.body_bytes);
    let collected = tokio::time::timeout(limits.body_time, limited.collect()).await;
    let body = match collected {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            ServerCounters::count(&counters.oversized);
            return closing_response(StatusCode::PAYLOAD_TOO_LARGE);
        }
        Ok(Err(_)) => {
            ServerCounters::count(&counters.cut_off);
            return closing_response(StatusCode::BAD_REQUEST);
        }
        Err(_) => {
            ServerCounters::count(&counters.cut_off);
            return closing_response(StatusCode::REQUEST_TIMEOUT);
        }
    };
    if limits.skips_abandoned {
        check_for_close().await;
    }
    let request = HttpRequest {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or_default().to_owned(),
        headers: head.headers,
        body,
    };
    let answer = tokio::time::timeout(limits.answer_time, handler(request)).await;
    ServerCounters::count(&counters.answered);
    match answer {
        Ok(answer) => respond(answer),
        Err(_) => closing_response(StatusCode::GATEWAY_TIMEOUT),
    }
}

/// Lets the connection notice that its caller has closed it, in which case this future is dropped.
async fn check_for_close() {
    for _ in 0..CLOSE_CHECK_TURNS {
        tokio::task::yield_now().await;
    }
}

fn respond(answer: HttpAnswer) -> Response<Full<Bytes>> {
    let mut builder = Response::builder()
        .status(answer.status)
        .header(CONTENT_TYPE, answer.body.content_type);
    if let Some(wait) = answer.retry_after_ms {
        builder = builder.header(RETRY_AFTER, wait.div_ceil(1_000));
    }
    if answer.close {
        builder = builder.header(hyper::header::CONNECTION, "close");
    }
    builder
        .body(Full::new(answer.body.content))
        .unwrap_or_else(|_| closing_response(StatusCode::INTERNAL_SERVER_ERROR))
}

/// Returns an empty response that closes the connection.
fn closing_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = status;
    let close = hyper::header::HeaderValue::from_static("close");
    response
        .headers_mut()
        .insert(hyper::header::CONNECTION, close);
    response
}
