//! Doors: the addresses at which balancers reach the rig's stand-ins. A door keeps its port while nobody listens there,
//! so that a server that is gone refuses connections and can come back at its old address.

#[cfg(test)]
mod tests;

use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::TcpListener;

/// How many connections may wait to be let in.
const BACKLOG: i32 = 1024;

/// An address on loopback that stays this rig's.
pub struct Door {
    address: SocketAddr,
    /// Bound and never listening: connections are refused while no listener shares the port.
    _kept: Socket,
}

impl Door {
    /// A door at a free port.
    pub fn new() -> io::Result<Door> {
        let kept = socket(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0).into())?;
        let address = kept.local_addr()?.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
        Ok(Door { address, _kept: kept })
    }

    /// Where it is.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Opens it: connections come in until the listener is dropped.
    pub fn open(&self) -> io::Result<TcpListener> {
        let socket = socket(self.address)?;
        socket.listen(BACKLOG)?;
        TcpListener::from_std(socket.into())
    }
}

fn socket(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

/// The next connection. Out of descriptors for a moment, what waits is let in later.
pub async fn next(listener: &TcpListener) -> tokio::net::TcpStream {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            return stream;
        }
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
}

/// Ends a connection with a reset, not with an orderly close.
pub fn reset(stream: &tokio::net::TcpStream) {
    // Without it the close is an orderly one; the connection ends all the same.
    let _ = socket2::SockRef::from(stream).set_linger(Some(std::time::Duration::ZERO));
}
