//! Listening sockets that two processes may share.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::TcpListener;

/// The pause after a failed accept, as the next would most likely fail as well.
pub const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Connections that the system holds until they are accepted.
const BACKLOG_CONNECTIONS: i32 = 1024;

/// A listener that shares its address with a balancer that replaces this one, or that this one replaces: the
/// kernel deals new connections out among all that listen there.
///
/// # Errors
/// The system does not let this address be bound.
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
