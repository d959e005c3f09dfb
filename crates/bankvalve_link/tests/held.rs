//! Calls on a held connection.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread;
use std::time::Duration;

use bankvalve_link::{ClientFailure, HeldNumber, HttpClient, HttpReply};
use hyper::Method;
use tokio::runtime::{Builder, Runtime};

/// Timeout of a call; an answer on the loopback takes under a millisecond.
const ANSWER_TIME: Duration = Duration::from_millis(400);
/// Answer to each request.
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Accepts one connection, answers `requests` requests on it, and closes the connection and the port.
fn serve_once(listener: TcpListener, requests: usize, ended: Sender<()>) {
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        for _ in 0..requests {
            if read_request(&mut stream) {
                stream.write_all(ANSWER).expect("an answer");
            }
        }
        drop((stream, listener));
        ended.send(()).expect("the test waits");
    });
}

/// Reads the head of a request without a body; returns false if the connection ends first.
fn read_request(stream: &mut TcpStream) -> bool {
    let mut head = Vec::new();
    let mut byte = [0];
    while let Ok(1) = stream.read(&mut byte) {
        head.push(byte[0]);
        if head.ends_with(b"\r\n\r\n") {
            return true;
        }
    }
    false
}

/// Starts a server for one connection; returns its address and a receiver that gets a message at its end.
fn server(address: &str, requests: usize) -> (SocketAddr, Receiver<()>) {
    let listener = TcpListener::bind(address).expect("a port");
    let address = listener.local_addr().expect("an address");
    let (ended, has_ended) = mpsc::channel();
    serve_once(listener, requests, ended);
    (address, has_ended)
}

fn runtime() -> Runtime {
    let mut builder = Builder::new_current_thread();
    builder.enable_all().build().expect("a runtime")
}

async fn call(
    client: &HttpClient,
    address: SocketAddr,
    only: Option<HeldNumber>,
) -> Result<(HttpReply, HeldNumber), ClientFailure> {
    let url = format!("http://{address}/look");
    let times = (only, ANSWER_TIME);
    client
        .send_held(Method::POST, &url, &[], "text/plain", "", times)
        .await
}

#[test]
fn consecutive_calls_use_one_connection() {
    let (address, has_ended) = server("127.0.0.1:0", 3);
    let client = HttpClient::new(4, 1_000);
    runtime().block_on(async {
        let (reply, first) = call(&client, address, None).await.expect("a reply");
        assert_eq!(reply.status, 200);
        for only in [Some(first), None] {
            let (_, number) = call(&client, address, only).await.expect("a reply");
            assert_eq!(number, first);
        }
    });
    has_ended.recv().expect("three requests on one connection");
}

/// Guards against a call that reaches another process which later listens at the same address.
#[test]
fn a_call_for_one_connection_is_not_sent_on_another() {
    let (address, has_ended) = server("127.0.0.1:0", 1);
    let client = HttpClient::new(4, 1_000);
    runtime().block_on(async {
        let (_, first) = call(&client, address, None).await.expect("a reply");
        has_ended.recv().expect("the server ends");
        let (_, next_ended) = server(&address.to_string(), 1);
        let bound = call(&client, address, Some(first)).await;
        assert!(bound.is_err(), "{bound:?}");
        // The next server answers only one request, and it is this one.
        let (_, second) = call(&client, address, None).await.expect("a reply");
        assert_ne!(second, first);
        next_ended.recv().expect("one request");
    });
}

/// Guards against calls that wait on a connection which no longer responds.
#[test]
fn a_connection_with_a_timed_out_call_is_not_reused() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (ended, _has_ended) = mpsc::channel();
    let server = thread::spawn(move || {
        let (mut stalled, _) = listener.accept().expect("a connection");
        assert!(read_request(&mut stalled));
        serve_once(listener, 1, ended);
        stalled
    });
    let client = HttpClient::new(4, 1_000);
    runtime().block_on(async {
        let unanswered = call(&client, address, None).await;
        assert!(matches!(unanswered, Err(ClientFailure::NoReply(_))));
        call(&client, address, None).await.expect("a reply");
    });
    server
        .join()
        .expect("the server held the silent connection");
}
