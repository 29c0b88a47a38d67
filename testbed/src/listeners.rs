//! Reserved addresses at which balancers reach the testbed's servers, origin and discovery. An address keeps its port while
//! no listener is open, so that a stopped server refuses connections and can restart at its old address.

#[cfg(test)]
mod tests;

use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

use socket2::{Domain, Protocol, SockRef, Socket, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: i32 = 1024;
/// Pause after a failed accept, as when file descriptors run out for a moment.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(10);

/// A loopback address that is reserved for this testbed.
pub struct ReservedAddress {
    address: SocketAddr,
    /// Socket that is bound and never listens; connections are refused while no listener shares its port.
    _reservation: Socket,
}

impl ReservedAddress {
    /// Reserves a free port.
    pub fn new() -> io::Result<ReservedAddress> {
        let reservation = bind(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0).into())?;
        let address = reservation.local_addr()?.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
        Ok(ReservedAddress { address, _reservation: reservation })
    }

    /// The reserved address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Opens a listener at the address; connections are accepted until it is dropped.
    pub fn listen(&self) -> io::Result<TcpListener> {
        let socket = bind(self.address)?;
        socket.listen(LISTEN_BACKLOG)?;
        TcpListener::from_std(socket.into())
    }
}

fn bind(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

/// Accepts the next connection; retries a failed accept.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            return stream;
        }
        sleep(ACCEPT_RETRY_PAUSE).await;
    }
}

/// Makes the close of a connection a reset instead of an orderly close.
pub fn reset_on_close(stream: &TcpStream) {
    // If this fails, the connection is closed in the orderly way.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
