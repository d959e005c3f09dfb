//! Failures that a client reports for an address that it cannot connect to.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use bankvalve_link::{ClientFailure, ClientLimits, HttpClient};
use hyper::Method;
use socket2::{Domain, Socket, Type};

/// Timeout of a connection attempt.
const CONNECT_TIME: Duration = Duration::from_millis(200);

/// Sends a request to an address that cannot be reached; returns the failure.
fn failure_at(address: SocketAddr) -> ClientFailure {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let client = HttpClient::with_limits(ClientLimits {
        idle: 1,
        idle_time: Duration::from_secs(1),
        connect_time: CONNECT_TIME,
        ack_timeout: None,
        reply_bytes: 1_024,
        ..ClientLimits::default()
    });
    let url = format!("http://{address}/");
    let body = Vec::new();
    let time = CONNECT_TIME * 50;
    let sent = client.send(Method::GET, &url, &[], "text/plain", body, time);
    runtime.unwrap().block_on(sent).unwrap_err()
}

#[test]
fn a_port_without_a_listener_refuses() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let failure = failure_at(address);
    assert!(matches!(failure, ClientFailure::Refused(_)), "{failure}");
}

#[test]
fn an_address_that_does_not_answer_a_new_connection_does_not_refuse() {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    socket.bind(&any.into()).unwrap();
    socket.listen(0).unwrap();
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().unwrap();
    // Connects until an attempt times out, which shows that the accept queue is full.
    let connect = || TcpStream::connect_timeout(&address, CONNECT_TIME);
    let waiting: Vec<TcpStream> = std::iter::from_fn(|| connect().ok()).collect();
    let failure = failure_at(address);
    assert!(matches!(failure, ClientFailure::NotSent(_)), "{failure}");
    drop(waiting);
}
