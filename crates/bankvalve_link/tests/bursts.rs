//! Bursts of new connections while the server's thread is blocked.

use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::sync::Mutex;
use std::time::Duration;

use bankvalve_link::{HttpAnswer, HttpServer, ServerLimits};

/// Number of callers that connect while the server's thread is blocked: more than twice the standard
/// library's accept queue.
const CALLERS: usize = 300;
/// Timeout of a connection attempt. One on the loopback takes under a millisecond; a dropped SYN packet is
/// sent again only after a second.
const CONNECT_TIME: Duration = Duration::from_millis(500);

/// Connects callers while a request blocks the server's only thread; returns the number of
/// connections that were established.
fn connected_while_blocked(listener: TcpListener) -> usize {
    let address = listener.local_addr().unwrap();
    let (entered, has_entered) = channel();
    let (release, released) = channel::<()>();
    let released = Mutex::new(released);
    let limits = ServerLimits::default();
    let server = HttpServer::start("held", listener, limits, move |_| {
        entered.send(()).unwrap();
        // Blocks until the sender is dropped.
        let _ = released.lock().unwrap().recv();
        std::future::ready(HttpAnswer::empty(200))
    });
    let server = server.unwrap();
    let first = std::thread::spawn(move || attohttpc::get(format!("http://{address}/")).send());
    has_entered.recv().unwrap();
    let connect = |_| TcpStream::connect_timeout(&address, CONNECT_TIME);
    let callers: Vec<TcpStream> = (0..CALLERS)
        .map_while(|number| connect(number).ok())
        .collect();
    drop(release);
    assert!(first.join().unwrap().unwrap().is_success());
    let made = callers.len();
    drop(callers);
    drop(server);
    made
}

#[test]
fn callers_who_connect_together_all_find_room() {
    let address = "127.0.0.1:0".parse().unwrap();
    let listener = bankvalve_link::listen(address).unwrap();
    assert_eq!(connected_while_blocked(listener), CALLERS);
}
