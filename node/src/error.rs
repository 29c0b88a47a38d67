//! The errors of the daemon's start.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;

/// Why the daemon cannot start. The text is one line, which names the remedy where the cause has one.
#[derive(Debug, Error)]
pub enum StartError {
    /// The configuration or the operators' file cannot be loaded.
    #[error("{0}")]
    Configuration(Box<dyn std::error::Error + Send + Sync>),
    /// The cluster of balancers cannot be joined.
    #[error("{0}")]
    Peers(Box<dyn std::error::Error + Send + Sync>),
    /// The asynchronous runtime cannot be created.
    #[error("cannot create the asynchronous runtime: {0}")]
    Runtime(#[source] io::Error),
    /// A signal handler cannot be installed.
    #[error("cannot install signal handlers: {0}")]
    Signals(#[source] io::Error),
    /// The address for clients cannot be bound.
    #[error(
        "cannot listen for clients on {address}: {source}; check whether another program uses the address"
    )]
    ClientAddress {
        /// The configured address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The address for operators cannot be bound.
    #[error("cannot listen for operators on {address}: {source}; set mgmt to a free address")]
    AdminAddress {
        /// The configured address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
}
