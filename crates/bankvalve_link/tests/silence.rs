//! Connections that go silent for good, without a reset, while new ones work.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::Duration;

use bankvalve_link::{ClientFailure, ClientLimits, HttpClient, HttpReply};
use hyper::Method;

/// Connections that the client keeps open to one address.
const KEPT: usize = 6;
/// Longest wait for an answer; one on the loopback takes under a millisecond.
const ANSWER_TIME: Duration = Duration::from_millis(400);
/// Answer to every request that is heard.
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// A server whose open connections can be made silent, all at once and for good.
struct SilentServer {
    address: SocketAddr,
    accepted: Arc<AtomicUsize>,
    silent_below: Arc<AtomicU64>,
}

impl SilentServer {
    /// Starts a server; its first requests are answered once so many have come, so that they need
    /// as many connections.
    fn start(together: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let accepted = Arc::new(AtomicUsize::new(0));
        let silent_below = Arc::new(AtomicU64::new(0));
        let barrier = Arc::new(Barrier::new(together));
        let (count, below) = (accepted.clone(), silent_below.clone());
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
            silent_below,
        }
    }

    /// Makes all connections silent that are open now.
    fn silence(&self) {
        let open = self.accepted.load(Ordering::Acquire) as u64;
        self.silent_below.store(open, Ordering::Release);
    }

    fn accepted(&self) -> usize {
        self.accepted.load(Ordering::Acquire)
    }
}

/// Answers the requests of a connection until it goes silent; then it stays open.
fn serve(mut stream: TcpStream, number: u64, first: Option<&Barrier>, silent_below: &AtomicU64) {
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
        if number < silent_below.load(Ordering::Acquire) {
            // Nothing more is read or answered; the test's end closes it.
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
        idle: KEPT,
        idle_time: Duration::from_secs(90),
        connect_time: ANSWER_TIME,
        ack_timeout,
        reply_bytes: 1_024,
    })
}

async fn call(client: &HttpClient, address: SocketAddr) -> Result<HttpReply, ClientFailure> {
    let url = format!("http://{address}/");
    let body = Vec::new();
    client
        .send(Method::GET, &url, &[], "text/plain", body, ANSWER_TIME)
        .await
}

/// Makes so many calls side by side; returns how many were answered.
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
        let server = SilentServer::start(KEPT);
        let client = client();
        assert_eq!(call_together(&client, server.address, KEPT).await, KEPT);
        server.silence();
        let mut lost = 0;
        while call(&client, server.address).await.is_err() {
            lost += 1;
            assert!(lost <= KEPT, "new connections do not work either");
        }
        assert!(lost <= 1, "{lost} calls in a row had no answer");
    });
}

#[test]
fn calls_side_by_side_after_a_time_out_are_all_answered() {
    run(async {
        let server = SilentServer::start(KEPT);
        let client = client();
        assert_eq!(call_together(&client, server.address, KEPT).await, KEPT);
        server.silence();
        assert_eq!(call_together(&client, server.address, 3).await, 0);
        assert_eq!(call_together(&client, server.address, 3).await, 3);
    });
}

#[test]
fn a_later_silence_costs_one_time_out_again() {
    run(async {
        let server = SilentServer::start(KEPT);
        let client = client();
        assert_eq!(call_together(&client, server.address, KEPT).await, KEPT);
        for _ in 0..3 {
            server.silence();
            assert!(call(&client, server.address).await.is_err());
            assert_eq!(call_together(&client, server.address, KEPT).await, KEPT);
        }
    });
}

#[test]
fn a_connection_that_the_system_gives_up_counts_as_a_time_out() {
    run(async {
        let server = SilentServer::start(KEPT);
        let client = client_with(Some(ANSWER_TIME / 2));
        assert_eq!(call_together(&client, server.address, KEPT).await, KEPT);
        server.silence();
        let url = format!("http://{}/", server.address);
        // More than the sockets hold, so that the system sees that nobody reads it.
        let body = vec![0; 32 << 20];
        let time = ANSWER_TIME * 100;
        let long = client.send(Method::POST, &url, &[], "text/plain", body, time);
        assert!(matches!(long.await, Err(ClientFailure::NoReply(_))));
        assert!(call(&client, server.address).await.is_ok());
    });
}

#[test]
fn a_calm_address_keeps_its_connection() {
    run(async {
        let (server, other) = (SilentServer::start(1), SilentServer::start(1));
        let client = client();
        for round in 0..100 {
            assert!(call(&client, server.address).await.is_ok());
            assert!(call(&client, other.address).await.is_ok());
            if round == 50 {
                // What happens to one address is nothing to the others.
                other.silence();
                assert!(call(&client, other.address).await.is_err());
            }
        }
        assert_eq!((server.accepted(), other.accepted()), (1, 2));
    });
}
