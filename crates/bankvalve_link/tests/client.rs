//! Replies that take long to arrive.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use bankvalve_link::{ClientFailure, HttpClient, HttpReply};

/// Longest that anything is waited for; never reached when all goes well.
const LONGEST: Duration = Duration::from_secs(30);
/// Time in which a reply must begin: it does at once here.
const TIME: Duration = Duration::from_millis(400);
/// Size of the body, of which half comes at first.
const BODY: usize = 1_000;

/// A server that sends the head and half of the body, and the rest when it is told to.
fn serve_in_halves(go_on: mpsc::Receiver<()>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut request = [0; 1_024];
        let _ = stream.read(&mut request).expect("a request");
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {BODY}\r\n\r\n");
        stream.write_all(head.as_bytes()).expect("a head");
        stream.write_all(&[b'a'; BODY / 2]).expect("half a body");
        // Without a word to go on the connection stays open until the test is over.
        if go_on.recv().is_ok() {
            stream.write_all(&[b'b'; BODY / 2]).expect("the rest");
        }
    });
    address
}

/// Asks a server for a body whose second half comes, or never does, after the time is over.
fn ask(pause: Duration, comes: bool) -> (Result<HttpReply, ClientFailure>, Option<u64>) {
    let (goes_on, go_on) = mpsc::channel();
    let url = format!("http://{}/", serve_in_halves(go_on));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let client = HttpClient::new(1, 10 * BODY);
    let mut size = None;
    let reply = runtime.block_on(async {
        let (begun, begins) = tokio::sync::oneshot::channel();
        let rest = async {
            let at: Instant = begins.await.expect("it begins");
            tokio::time::sleep_until((at + TIME * 2).into()).await;
            if comes {
                goes_on.send(()).expect("the server waits");
            }
        };
        let sent = client.send_long(&url, "text/plain", (TIME, pause), |bytes| {
            size = bytes;
            let _ = begun.send(Instant::now());
        });
        tokio::join!(sent, rest).0
    });
    (reply, size)
}

#[test]
fn a_reply_that_goes_on_is_taken_whole_however_long_it_takes() {
    let (reply, size) = ask(LONGEST, true);
    assert_eq!(size, Some(BODY as u64));
    assert_eq!(reply.expect("a reply").body.len(), BODY);
}

#[test]
fn a_reply_that_stops_is_given_up() {
    let (reply, _) = ask(TIME, false);
    assert!(matches!(reply, Err(ClientFailure::NoReply(_))), "{reply:?}");
}
