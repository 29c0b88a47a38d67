//! Establishes connections to servers: over TCP, or in memory in simulations.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;

use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

use crate::socket::Socket;

/// A connection to a server.
pub trait ServerStream: AsyncRead + AsyncWrite + Unpin {}

impl<S: AsyncRead + AsyncWrite + Unpin> ServerStream for S {}

/// A connection that is being established.
pub type ConnectFuture = Pin<Box<dyn Future<Output = io::Result<Box<dyn ServerStream>>>>>;

/// Establishes connections to servers.
pub trait Connector {
    /// Connects to this address. The future may never complete; the caller applies a timeout.
    fn connect(&self, address: SocketAddr) -> ConnectFuture;
}

/// Connects over TCP.
#[derive(Clone, Copy, Debug)]
pub struct TcpConnector;

impl Connector for TcpConnector {
    fn connect(&self, address: SocketAddr) -> ConnectFuture {
        Box::pin(async move {
            let stream = TcpStream::connect(address).await?;
            // Disables Nagle's algorithm, which delays a short write until the previous one is acknowledged.
            let _ = stream.set_nodelay(true);
            Ok(Box::new(Socket(stream)) as Box<dyn ServerStream>)
        })
    }
}
