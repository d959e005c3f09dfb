//! Limits of a client's open connections.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use bankvalve_link::{ClientFailure, ClientLimits, HttpClient};
use hyper::Method;

/// Maximum number of connections that the client may open.
const OPEN: usize = 20;
/// Timeout of each call; reaching it fails the test.
const TIMEOUT: Duration = Duration::from_secs(30);
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Starts servers that answer each request, or never do.
fn start_servers(count: usize, answers: bool) -> Vec<SocketAddr> {
    let start = |_| {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.unwrap();
                thread::spawn(move || {
                    let mut bytes = [0; 1_024];
                    while stream.read(&mut bytes).is_ok_and(|count| count > 0) {
                        if answers && stream.write_all(ANSWER).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        address
    };
    (0..count).map(start).collect()
}

fn client(held_time: Duration) -> HttpClient {
    HttpClient::with_limits(ClientLimits {
        idle: 2,
        held_time,
        open: OPEN,
        ..ClientLimits::default()
    })
}

async fn call(client: &HttpClient, address: SocketAddr, held: bool) -> Result<(), ClientFailure> {
    let url = format!("http://{address}/");
    let (method, text, body) = (Method::POST, "text/plain", Vec::new());
    if held {
        let times = (None, TIMEOUT);
        let sent = client.send_held(method, &url, &[], text, body, times);
        return sent.await.map(|_| ());
    }
    let sent = client.send(method, &url, &[], text, body, TIMEOUT);
    sent.await.map(|_| ())
}

fn run(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.unwrap().block_on(test);
}

/// Guards against a client that opens a connection to each of many hosts until its process has no
/// descriptors left.
#[test]
fn calls_to_many_hosts_close_idle_connections_to_others() {
    for held in [true, false] {
        let addresses = start_servers(OPEN * 4, true);
        run(async {
            let client = client(TIMEOUT);
            let counts = client.connection_counts();
            for round in 0..2 {
                for address in &addresses {
                    let mut sent = call(&client, *address, held).await;
                    // Closing idle connections takes the runtime a moment.
                    while matches!(sent, Err(ClientFailure::NotSent(_))) {
                        tokio::time::sleep(Duration::from_millis(1)).await;
                        sent = call(&client, *address, held).await;
                    }
                    assert_eq!(sent, Ok(()), "round {round}");
                    assert!(counts.open() <= OPEN, "{} open", counts.open());
                }
            }
            assert!(counts.closed_idle() > 0);
        });
    }
}

/// Guards against a call that waits for a connection which the limit does not allow.
#[test]
fn a_call_beyond_the_limit_is_known_not_to_be_sent() {
    let addresses = start_servers(OPEN + 1, false);
    run(async {
        let client = client(TIMEOUT);
        let counts = client.connection_counts();
        let calls: Vec<_> = addresses[..OPEN]
            .iter()
            .map(|address| {
                let (client, address) = (client.clone(), *address);
                tokio::spawn(async move { call(&client, address, false).await })
            })
            .collect();
        while counts.open() < OPEN {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let sent = call(&client, addresses[OPEN], false).await;
        assert!(matches!(sent, Err(ClientFailure::NotSent(_))), "{sent:?}");
        assert!(counts.refused() > 0);
        calls.iter().for_each(tokio::task::JoinHandle::abort);
    });
}

/// Guards against connections to all workers that stay open after another instance has taken their polls
/// over.
#[test]
fn held_connections_that_no_call_uses_are_closed() {
    let addresses = start_servers(OPEN / 2, true);
    run(async {
        let client = client(Duration::from_millis(50));
        let counts = client.connection_counts();
        for address in &addresses {
            assert_eq!(call(&client, *address, true).await, Ok(()));
        }
        assert_eq!(counts.open(), addresses.len());
        while counts.open() > 1 {
            assert_eq!(call(&client, addresses[0], false).await, Ok(()));
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    });
}
