//! Why the daemon cannot start.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;

/// Why the daemon cannot start. The text is one line that says what to change.
#[derive(Debug, Error)]
pub enum StartError {
    /// The configuration or the operators' file cannot be used.
    #[error("{0}")]
    Configuration(Box<dyn std::error::Error + Send + Sync>),
    /// The other balancers cannot be joined.
    #[error("{0}")]
    Peers(Box<dyn std::error::Error + Send + Sync>),
    /// The asynchronous runtime does not start.
    #[error("cannot create the asynchronous runtime: {0}")]
    Runtime(#[source] io::Error),
    /// A signal cannot be caught.
    #[error("cannot install signal handlers: {0}")]
    Signals(#[source] io::Error),
    /// The address for clients cannot be bound.
    #[error("cannot listen on {address}: {source}; is another program than a balancer there?")]
    ClientAddress {
        /// The configured address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The address for operators cannot be bound.
    #[error("cannot listen for operators on {address}: {source}; give mgmt a free address")]
    AdminAddress {
        /// The configured address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
}
