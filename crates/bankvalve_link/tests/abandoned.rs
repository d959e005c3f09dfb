//! Requests whose callers closed the connection while the server stood still.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{mpsc, Arc, Mutex};
use std::time::Duration;

use bankvalve_link::{HttpAnswer, HttpServer, ServerLimits};

/// Path of the request during which the server stands still.
const STALL: &str = "/stall";

/// Sends a request and returns its connection.
fn send(address: SocketAddr, path: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("a connection");
    let request = format!("POST {path} HTTP/1.1\r\nhost: test\r\ncontent-length: 3\r\n\r\njob");
    stream.write_all(request.as_bytes()).expect("a request");
    stream
}

fn await_answer(mut stream: TcpStream) {
    let mut start = [0; 12];
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .expect("a timeout");
    stream.read_exact(&mut start).expect("an answer");
    assert_eq!(&start, b"HTTP/1.1 200");
}

/// Guards against handling requests that waited in the sockets of a stalled process until after their callers
/// had left.
#[test]
fn a_request_whose_caller_left_while_the_server_stood_still_is_not_handled() {
    let (entered, has_entered) = mpsc::channel();
    let (release, released) = mpsc::channel::<()>();
    let released = Mutex::new(released);
    let handled = Arc::new(Mutex::new(Vec::new()));
    let paths = handled.clone();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let limits = ServerLimits {
        skips_abandoned: true,
        ..ServerLimits::default()
    };
    let server = HttpServer::start("stalled", listener, limits, move |request| {
        if request.path == STALL {
            entered.send(()).expect("the test waits");
            let _ = released.lock().expect("no panic").recv();
        }
        paths.lock().expect("no panic").push(request.path);
        std::future::ready(HttpAnswer::empty(200))
    })
    .expect("a server");
    let open = send(server.address(), "/opened-before");
    await_answer(open);
    let stalled = send(server.address(), STALL);
    has_entered.recv().expect("the server stands still");
    for number in 0..5 {
        drop(send(server.address(), &format!("/left-{number}")));
    }
    let stays = send(server.address(), "/stays");
    release.send(()).expect("the server waits");
    await_answer(stalled);
    await_answer(stays);
    let handled = handled.lock().expect("no panic");
    assert_eq!(*handled, ["/opened-before", STALL, "/stays"]);
}
