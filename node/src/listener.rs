//! Listening sockets whose address two processes can share.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::TcpListener;

/// The delay after a failed accept, because an immediate retry would most likely fail as well.
pub const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// The number of connections that the kernel queues until they are accepted.
const BACKLOG_CONNECTIONS: i32 = 1024;

/// Listens on an address that a successor or predecessor process can share: the kernel distributes new connections among
/// all listeners on the address.
///
/// # Errors
/// The address cannot be bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG_CONNECTIONS)?;
    TcpListener::from_std(socket.into())
}

#[cfg(test)]
mod tests;
