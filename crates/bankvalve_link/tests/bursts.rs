//! Callers that connect together while a server stands still.

use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::sync::Mutex;
use std::time::Duration;

use bankvalve_link::{HttpAnswer, HttpServer, ServerLimits};

/// Callers that connect while the server's thread is held up: more than twice as many as the
/// standard library lets wait.
const CALLERS: usize = 300;
/// A connection to the loopback takes under a millisecond; an opening packet that was dropped is
/// sent again after a second.
const CONNECT_TIME: Duration = Duration::from_millis(500);

/// Connects callers while the server's only thread is held up in a request; returns how many
/// connections were made.
fn connected_meanwhile(listener: TcpListener) -> usize {
    let address = listener.local_addr().unwrap();
    let (held, is_held) = channel();
    let (release, released) = channel::<()>();
    let released = Mutex::new(released);
    let limits = ServerLimits::default();
    let server = HttpServer::start("held", listener, limits, move |_| {
        held.send(()).unwrap();
        // It ends when the sender is dropped.
        let _ = released.lock().unwrap().recv();
        std::future::ready(HttpAnswer::empty(200))
    });
    let server = server.unwrap();
    let first = std::thread::spawn(move || attohttpc::get(format!("http://{address}/")).send());
    is_held.recv().unwrap();
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
    assert_eq!(connected_meanwhile(listener), CALLERS);
}
