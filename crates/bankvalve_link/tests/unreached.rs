//! What a client tells of an address that it does not reach.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use bankvalve_link::{ClientFailure, ClientLimits, HttpClient};
use hyper::Method;
use socket2::{Domain, Socket, Type};

/// Time in which a connection must be made.
const CONNECT_TIME: Duration = Duration::from_millis(200);

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
    });
    let url = format!("http://{address}/");
    let body = Vec::new();
    let time = CONNECT_TIME * 50;
    let sent = client.send(Method::GET, &url, &[], "text/plain", body, time);
    runtime.unwrap().block_on(sent).unwrap_err()
}

#[test]
fn a_port_where_nothing_listens_refuses() {
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
    // Its queue of new connections is full once one does not get in.
    let connect = || TcpStream::connect_timeout(&address, CONNECT_TIME);
    let waiting: Vec<TcpStream> = std::iter::from_fn(|| connect().ok()).collect();
    let failure = failure_at(address);
    assert!(matches!(failure, ClientFailure::NotSent(_)), "{failure}");
    drop(waiting);
}
