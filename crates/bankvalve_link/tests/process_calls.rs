//! Calls that only one process at an address may receive.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{self, Sender};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use bankvalve_link::{ClientFailure, HttpClient, HttpReply, PostCall, ProcessCheck, ProcessTag};
use tokio::runtime::{Builder, Runtime};

/// Timeout of a call; an answer on the loopback takes under a millisecond.
const ANSWER_TIME: Duration = Duration::from_millis(400);
const IDENTIFY_PATH: &str = "/who";
const ORDER_PATH: &str = "/order";

/// Reads the head of a request without a body and returns its path; `None` if the connection ends first.
fn read_path(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while let Ok(1) = stream.read(&mut byte) {
        head.push(byte[0]);
        if head.ends_with(b"\r\n\r\n") {
            let head = String::from_utf8(head).expect("text");
            return head.split(' ').nth(1).map(str::to_owned);
        }
    }
    None
}

/// A process that accepts one connection and reads a number of requests. It ends when it is asked for their paths.
struct TestProcess {
    address: SocketAddr,
    paths: JoinHandle<Vec<String>>,
    end: Sender<()>,
}

/// Starts a process that identifies itself by a text; it does not answer requests with an empty text.
fn process(address: &str, tag: &'static str, requests: usize) -> TestProcess {
    let listener = TcpListener::bind(address).expect("a port");
    let address = listener.local_addr().expect("an address");
    let (end, has_ended) = mpsc::channel();
    let paths = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut paths = Vec::new();
        while paths.len() < requests {
            let Some(path) = read_path(&mut stream) else {
                break;
            };
            paths.push(path);
            if tag.is_empty() {
                continue;
            }
            let length = tag.len();
            let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{tag}");
            stream.write_all(answer.as_bytes()).expect("an answer");
        }
        has_ended.recv().expect_err("the test drops the sender");
        paths
    });
    TestProcess {
        address,
        paths,
        end,
    }
}

impl TestProcess {
    /// Ends the process, and returns once its connection is closed.
    fn paths(self) -> Vec<String> {
        drop(self.end);
        self.paths.join().expect("the paths")
    }
}

fn runtime() -> Runtime {
    let mut builder = Builder::new_current_thread();
    builder.enable_all().build().expect("a runtime")
}

fn read_tag(reply: &HttpReply) -> Option<ProcessTag> {
    let text = std::str::from_utf8(&reply.body).ok()?;
    Some(Some(text.parse().ok()?))
}

async fn order(
    client: &HttpClient,
    address: SocketAddr,
    expected: u64,
) -> Result<HttpReply, ClientFailure> {
    let post = |url| PostCall {
        url,
        headers: &[],
        content_type: "text/plain",
        body: b"",
    };
    let order_url = format!("http://{address}{ORDER_PATH}");
    let identify_url = format!("http://{address}{IDENTIFY_PATH}");
    let check = ProcessCheck {
        expected: Some(expected),
        call: post(&identify_url),
        read: &read_tag,
        time: ANSWER_TIME,
    };
    client
        .send_to_process(post(&order_url), check, ANSWER_TIME)
        .await
}

#[test]
fn a_process_is_asked_who_it_is_once_for_each_connection() {
    let process = process("127.0.0.1:0", "7", 3);
    let address = process.address;
    let client = HttpClient::new(4, 1_000);
    runtime().block_on(async {
        for _ in 0..2 {
            order(&client, address, 7).await.expect("a reply");
        }
    });
    assert_eq!(process.paths(), [IDENTIFY_PATH, ORDER_PATH, ORDER_PATH]);
}

/// Guards against an order that the next process at the address takes for its own.
#[test]
fn an_order_is_not_sent_to_the_process_that_followed() {
    let client = HttpClient::new(4, 1_000);
    let first = process("127.0.0.1:0", "7", 2);
    let address = first.address;
    runtime().block_on(async {
        order(&client, address, 7).await.expect("a reply");
        assert_eq!(first.paths(), [IDENTIFY_PATH, ORDER_PATH]);
        let next = process(&address.to_string(), "8", 1);
        let sent = order(&client, address, 7).await;
        assert!(matches!(sent, Err(ClientFailure::NotSent(_))), "{sent:?}");
        assert_eq!(next.paths(), [IDENTIFY_PATH]);
    });
}

/// Guards against an order that counts as possibly carried out although its process never identified itself.
#[test]
fn an_order_to_a_process_that_does_not_identify_itself_is_not_sent() {
    let silent = process("127.0.0.1:0", "", 1);
    let address = silent.address;
    let client = HttpClient::new(4, 1_000);
    runtime().block_on(async {
        let sent = order(&client, address, 7).await;
        assert!(matches!(sent, Err(ClientFailure::NotSent(_))), "{sent:?}");
    });
    assert_eq!(silent.paths(), [IDENTIFY_PATH]);
}

#[test]
fn a_reply_that_shows_no_process_takes_the_place_of_the_reply_to_the_order() {
    let unreadable = process("127.0.0.1:0", "busy", 1);
    let address = unreadable.address;
    let client = HttpClient::new(4, 1_000);
    runtime().block_on(async {
        let reply = order(&client, address, 7).await.expect("a reply");
        assert_eq!(&reply.body[..], b"busy");
    });
    assert_eq!(unreadable.paths(), [IDENTIFY_PATH]);
}
