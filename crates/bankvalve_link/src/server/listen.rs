//! Listening sockets with a long accept queue, for bursts of new connections.

use std::net::{SocketAddr, TcpListener};

use socket2::{Domain, Protocol, Socket, Type};

/// Maximum number of new connections that wait to be accepted. The system drops the SYN packet of any
/// further connection, and the caller sends it again only after a second or more, which is most of its
/// timeout. The standard library's backlog of 128 is too short for a burst of connections to an instance
/// that has used up its share of a core and is suspended for a tenth of a second.
const ACCEPT_BACKLOG: i32 = 1_024;

/// Listens on an address, with a long accept queue.
///
/// # Errors
///
/// Returns an error if the address cannot be listened on.
///
/// # Examples
///
/// ```
/// let listener = bankvalve_link::listen("127.0.0.1:0".parse().unwrap()).unwrap();
/// assert_ne!(listener.local_addr().unwrap().port(), 0);
/// ```
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    // As in the standard library: a restarted process can bind its port again at once.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    Ok(socket.into())
}
