//! The ways to servers: connections by TCP, and for whoever plays servers in memory any others.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;

use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

use crate::socket::Socket;

/// A connection to a server.
pub trait Stream: AsyncRead + AsyncWrite + Unpin {}

impl<S: AsyncRead + AsyncWrite + Unpin> Stream for S {}

/// A connection that is coming up.
pub type Connecting = Pin<Box<dyn Future<Output = io::Result<Box<dyn Stream>>>>>;

/// Where connections to servers come from.
pub trait Connect {
    /// Begins to connect to this address. It may take for ever: whoever waits bounds it.
    fn connect(&self, address: SocketAddr) -> Connecting;
}

/// By TCP.
#[derive(Clone, Copy, Debug)]
pub struct Tcp;

impl Connect for Tcp {
    fn connect(&self, address: SocketAddr) -> Connecting {
        Box::pin(async move {
            let stream = TcpStream::connect(address).await?;
            // Without this the kernel would hold a short write back for the answer to the one before.
            let _ = stream.set_nodelay(true);
            Ok(Box::new(Socket(stream)) as Box<dyn Stream>)
        })
    }
}
