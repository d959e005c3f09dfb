//! Open connections that stop responding for good, without a reset, while new ones work.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::Duration;

use bankvalve_link::{ClientFailure, ClientLimits, HttpClient, HttpReply};
use hyper::Method;

/// Maximum number of idle connections that the client keeps open to one address.
const POOLED: usize = 6;
/// Timeout of a call; an answer on the loopback takes under a millisecond.
const ANSWER_TIME: Duration = Duration::from_millis(400);
/// Answer to each request on a connection that responds.
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// A server that can stop responding on all of its open connections at once, for good.
struct StallingServer {
    address: SocketAddr,
    accepted: Arc<AtomicUsize>,
    stalled_below: Arc<AtomicU64>,
}

impl StallingServer {
    /// Starts a server. It answers the first request of each of the first `together` connections only when
    /// all of them have one, so the client must open as many connections.
    fn start(together: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let accepted = Arc::new(AtomicUsize::new(0));
        let stalled_below = Arc::new(AtomicU64::new(0));
        let barrier = Arc::new(Barrier::new(together));
        let (count, below) = (accepted.clone(), stalled_below.clone());
        thread::spawn(move || {
            for stream in listener.incoming() {
                let number = count.fetch_add(1, Ordering::AcqRel);
                let (barrier, below) = (barrier.clone(), below.clone());
                let first = number < together;
                thread::spawn(move || {
                    serve(
                        stream.unwrap(),
                        number as u64,
                        first.then_some(&*barrier),
                        &below,
                    );
                });
            }
        });
        Self {
            address,
            accepted,
            stalled_below,
        }
    }

    /// Stops responding on all connections accepted so far.
    fn stall_open_connections(&self) {
        let open = self.accepted.load(Ordering::Acquire) as u64;
        self.stalled_below.store(open, Ordering::Release);
    }

    fn accepted(&self) -> usize {
        self.accepted.load(Ordering::Acquire)
    }
}

/// Answers the requests of a connection until it is stalled, and then keeps it open.
fn serve(mut stream: TcpStream, number: u64, first: Option<&Barrier>, stalled_below: &AtomicU64) {
    let mut first = first;
    let mut head = Vec::new();
    let mut byte = [0];
    while let Ok(1) = stream.read(&mut byte) {
        head.push(byte[0]);
        if !head.ends_with(b"\r\n\r\n") {
            continue;
        }
        head.clear();
        if let Some(barrier) = first.take() {
            barrier.wait();
        }
        if number < stalled_below.load(Ordering::Acquire) {
            // Reads and answers nothing more; the connection closes when the test process ends.
            thread::park();
        }
        let _ = stream.write_all(ANSWER);
    }
}

fn client() -> HttpClient {
    client_with(None)
}

fn client_with(ack_timeout: Option<Duration>) -> HttpClient {
    HttpClient::with_limits(ClientLimits {
        idle: POOLED,
        idle_time: Duration::from_secs(90),
        connect_time: ANSWER_TIME,
        ack_timeout,
        reply_bytes: 1_024,
        ..ClientLimits::default()
    })
}

async fn call(client: &HttpClient, address: SocketAddr) -> Result<HttpReply, ClientFailure> {
    let url = format!("http://{address}/");
    let body = Vec::new();
    client
        .send(Method::GET, &url, &[], "text/plain", body, ANSWER_TIME)
        .await
}

/// Makes `count` concurrent calls; returns how many were answered.
async fn call_together(client: &HttpClient, address: SocketAddr, count: usize) -> usize {
    let calls = (0..count).map(|_| {
        let client = client.clone();
        tokio::spawn(async move { call(&client, address).await.is_ok() })
    });
    let mut answered = 0;
    for call in calls.collect::<Vec<_>>() {
        answered += usize::from(call.await.unwrap());
    }
    answered
}

fn run(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.unwrap().block_on(test);
}

#[test]
fn one_time_out_shows_that_all_kept_connections_are_silent() {
    run(async {
        let server = StallingServer::start(POOLED);
        let client = client();
        assert_eq!(call_together(&client, server.address, POOLED).await, POOLED);
        server.stall_open_connections();
        let mut lost = 0;
        while call(&client, server.address).await.is_err() {
            lost += 1;
            assert!(lost <= POOLED, "new connections do not work either");
        }
        assert!(lost <= 1, "{lost} calls in a row had no answer");
    });
}

#[test]
fn concurrent_calls_after_a_timeout_are_all_answered() {
    run(async {
        let server = StallingServer::start(POOLED);
        let client = client();
        assert_eq!(call_together(&client, server.address, POOLED).await, POOLED);
        server.stall_open_connections();
        assert_eq!(call_together(&client, server.address, 3).await, 0);
        assert_eq!(call_together(&client, server.address, 3).await, 3);
    });
}

#[test]
fn connections_that_stall_later_cost_one_timeout_again() {
    run(async {
        let server = StallingServer::start(POOLED);
        let client = client();
        assert_eq!(call_together(&client, server.address, POOLED).await, POOLED);
        for _ in 0..3 {
            server.stall_open_connections();
            assert!(call(&client, server.address).await.is_err());
            assert_eq!(call_together(&client, server.address, POOLED).await, POOLED);
        }
    });
}

#[test]
fn a_connection_closed_by_the_system_counts_as_a_timeout() {
    run(async {
        let server = StallingServer::start(POOLED);
        let client = client_with(Some(ANSWER_TIME / 2));
        assert_eq!(call_together(&client, server.address, POOLED).await, POOLED);
        server.stall_open_connections();
        let url = format!("http://{}/", server.address);
        // More than the socket buffers hold: the server reads nothing, so the system closes the connection.
        let body = vec![0; 32 << 20];
        let time = ANSWER_TIME * 100;
        let long = client.send(Method::POST, &url, &[], "text/plain", body, time);
        assert!(matches!(long.await, Err(ClientFailure::NoReply(_))));
        assert!(call(&client, server.address).await.is_ok());
    });
}

#[test]
fn an_address_without_timeouts_keeps_its_connection() {
    run(async {
        let (server, other) = (StallingServer::start(1), StallingServer::start(1));
        let client = client();
        for round in 0..100 {
            assert!(call(&client, server.address).await.is_ok());
            assert!(call(&client, other.address).await.is_ok());
            if round == 50 {
                // A timeout at one address does not affect the connections to others.
                other.stall_open_connections();
                assert!(call(&client, other.address).await.is_err());
            }
        }
        assert_eq!((server.accepted(), other.accepted()), (1, 2));
    });
}
