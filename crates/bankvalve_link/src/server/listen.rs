//! Listening with room for those who connect together.

use std::net::{SocketAddr, TcpListener};

use socket2::{Domain, Protocol, Socket, Type};

/// New connections that may wait to be accepted. When there are more, the system drops the opening
/// packet, which is sent again after a second or more: most of the time that a caller waits. The
/// standard library's 128 are used up by a burst on an instance that has spent its share of a core
/// and stands still for a tenth of a second.
const WAITING_CONNECTIONS: i32 = 1_024;

/// Listens on an address, with room for many new connections.
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
    // As the standard library does, so that a restart finds its port free.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(WAITING_CONNECTIONS)?;
    Ok(socket.into())
}
