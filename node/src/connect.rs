//! How connections to servers come up: by TCP, or in memory where servers are simulated.

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

/// A connection that is coming up.
pub type Connecting = Pin<Box<dyn Future<Output = io::Result<Box<dyn ServerStream>>>>>;

/// Where connections to servers come from.
pub trait Connector {
    /// Begins to connect to this address. It may take for ever: the caller bounds it.
    fn connect(&self, address: SocketAddr) -> Connecting;
}

/// Connects by TCP.
#[derive(Clone, Copy, Debug)]
pub struct TcpConnector;

impl Connector for TcpConnector {
    fn connect(&self, address: SocketAddr) -> Connecting {
        Box::pin(async move {
            let stream = TcpStream::connect(address).await?;
            // Without this the kernel would hold a short write back for the answer to the one before.
            let _ = stream.set_nodelay(true);
            Ok(Box::new(Socket(stream)) as Box<dyn ServerStream>)
        })
    }
}
