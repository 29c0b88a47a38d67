//! Reserved addresses at which balancers reach the testbed's servers, origin and discovery. An address keeps its port while
//! nobody listens there, so that a server that is gone refuses connections and can come back at its old address.

#[cfg(test)]
mod tests;

use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

use socket2::{Domain, Protocol, SockRef, Socket, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// How many connections may wait to be accepted.
const LISTEN_BACKLOG: i32 = 1024;
/// The pause after a failed accept, as when descriptors run out for a moment.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(10);

/// An address on loopback that stays this testbed's.
pub struct ReservedAddress {
    address: SocketAddr,
    /// Bound and never listening: connections are refused while no listener shares the port.
    _reservation: Socket,
}

impl ReservedAddress {
    /// Reserves a free port.
    pub fn new() -> io::Result<ReservedAddress> {
        let reservation = bind(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0).into())?;
        let address = reservation.local_addr()?.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
        Ok(ReservedAddress { address, _reservation: reservation })
    }

    /// The address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Listens: connections are accepted until the listener is dropped.
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

/// The next connection; a failed accept is tried again.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            return stream;
        }
        sleep(ACCEPT_RETRY_PAUSE).await;
    }
}

/// Makes a connection end with a reset, not with an orderly close.
pub fn reset_on_close(stream: &TcpStream) {
    // Where this fails the close is an orderly one; the connection ends all the same.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
