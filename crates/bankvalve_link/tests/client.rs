//! Replies whose body arrives slowly or stops.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use bankvalve_link::{ClientFailure, HttpClient, HttpReply};

/// Maximum pause within a reply; never reached when the test passes.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// Timeout of a reply's head, which arrives at once in these tests.
const HEAD_TIMEOUT: Duration = Duration::from_millis(400);
/// Size of the reply's body in bytes; half of it arrives at once.
const BODY_BYTES: usize = 1_000;

/// Starts a server that sends the head and half of the body, and the rest after a message on the channel.
fn serve_in_halves(resume: mpsc::Receiver<()>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut request = [0; 1_024];
        let _ = stream.read(&mut request).expect("a request");
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {BODY_BYTES}\r\n\r\n");
        stream.write_all(head.as_bytes()).expect("a head");
        stream
            .write_all(&[b'a'; BODY_BYTES / 2])
            .expect("half a body");
        // Without a message the connection stays open until the test drops the sender.
        if resume.recv().is_ok() {
            stream.write_all(&[b'b'; BODY_BYTES / 2]).expect("the rest");
        }
    });
    address
}

/// Requests a body whose second half arrives after the head's timeout has passed, or never.
fn request_body(
    pause: Duration,
    body_completes: bool,
) -> (Result<HttpReply, ClientFailure>, Option<u64>) {
    let (resume_sender, resume) = mpsc::channel();
    let url = format!("http://{}/", serve_in_halves(resume));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let client = HttpClient::new(1, 10 * BODY_BYTES);
    let mut size = None;
    let reply = runtime.block_on(async {
        let (begun, begins) = tokio::sync::oneshot::channel();
        let rest = async {
            let at: Instant = begins.await.expect("it begins");
            tokio::time::sleep_until((at + HEAD_TIMEOUT * 2).into()).await;
            if body_completes {
                resume_sender.send(()).expect("the server waits");
            }
        };
        let sent = client.send_long(&url, "text/plain", (HEAD_TIMEOUT, pause), |bytes| {
            size = bytes;
            let _ = begun.send(Instant::now());
        });
        tokio::join!(sent, rest).0
    });
    (reply, size)
}

#[test]
fn a_slow_reply_without_long_pauses_is_read_completely() {
    let (reply, size) = request_body(MAX_WAIT, true);
    assert_eq!(size, Some(BODY_BYTES as u64));
    assert_eq!(reply.expect("a reply").body.len(), BODY_BYTES);
}

#[test]
fn a_reply_that_pauses_too_long_fails() {
    let (reply, _) = request_body(HEAD_TIMEOUT, false);
    assert!(matches!(reply, Err(ClientFailure::NoReply(_))), "{reply:?}");
}
