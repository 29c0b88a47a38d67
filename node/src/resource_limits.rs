//! How many connections and bytes each part of the process may take, derived from the configured limits.
//!
//! Guarantee: the connections of all parts together stay under the configured number of descriptors
//! (from 40 descriptors on), and what is buffered for clients leaves most of the configured memory.

/// What the configuration allows the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfiguredLimits {
    /// Memory in bytes.
    pub memory_bytes: usize,
    /// File descriptors.
    pub descriptors: usize,
}

/// Descriptors that are neither clients' nor servers': the standard three, the listener, discovery's connection
/// and the one it turns to, the runtime's and the signals' own, a file that is read; and some to spare.
const OWN_DESCRIPTORS: usize = 16 + RESERVED_ADMIN_CONNECTIONS;
/// Descriptors that are divided at least, however few the configuration leaves.
const MIN_DIVIDED_DESCRIPTORS: usize = 16;
/// Admin connections that have descriptors of their own. More of them take those of clients.
pub const RESERVED_ADMIN_CONNECTIONS: usize = 8;
/// The share of the other descriptors that connections to servers may take. Clients hold a third of all for their
/// requests; those that send nothing are evicted, and need no descriptors of their own.
const SERVER_CONNECTION_SHARE: f64 = 0.56;
/// The share of all descriptors that clients hold for requests at most.
const CLIENT_REQUEST_CONNECTION_SHARE: f64 = 1.0 / 3.0;
/// The share of those connections that may stay open while idle: the rest is for clients with a request.
const IDLE_CLIENT_CONNECTION_SHARE: f64 = 0.75;
/// The most admin connections at once, where there are descriptors for so many.
const MAX_ADMIN_CONNECTIONS: usize = 128;
/// The share of the memory that clients' incomplete and open requests and unread answers may take.
const CLIENT_BUFFER_SHARE: f64 = 0.25;

/// The limits of the parts of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceLimits {
    /// Connections from clients.
    pub client_connections: usize,
    /// Connections from clients that may stay open while idle.
    pub idle_client_connections: usize,
    /// Connections to servers.
    pub server_connections: usize,
    /// Connections of operators.
    pub admin_connections: usize,
    /// Bytes buffered for all clients together.
    pub client_buffer_bytes: usize,
    /// Unread answer bytes on one client's connection above which no more are added.
    pub unread_answer_bytes: usize,
    /// Bytes of a streamed value that are buffered in one place on its way: read from the server, waiting to go to the
    /// client's side, between the two sides, and unwritten to the client.
    pub chunk_bytes: usize,
}

impl ResourceLimits {
    /// Divides what the configuration allows.
    pub fn from_configured(limits: ConfiguredLimits) -> ResourceLimits {
        let descriptors = limits.descriptors.saturating_sub(OWN_DESCRIPTORS).max(MIN_DIVIDED_DESCRIPTORS);
        let server_connections = (descriptors as f64 * SERVER_CONNECTION_SHARE) as usize;
        let client_connections = descriptors - server_connections;
        let client_buffer_bytes = (limits.memory_bytes as f64 * CLIENT_BUFFER_SHARE) as usize;
        let idle_client_connections = (limits.descriptors as f64
            * CLIENT_REQUEST_CONNECTION_SHARE
            * IDLE_CLIENT_CONNECTION_SHARE) as usize;
        // In four places at most, for every client at once: half of the memory.
        let chunk_bytes = (limits.memory_bytes / 8 / client_connections).clamp(2 << 10, 16 << 10);
        let admin_connections =
            RESERVED_ADMIN_CONNECTIONS.max(client_connections / 2).min(MAX_ADMIN_CONNECTIONS);
        let unread_answer_bytes = (client_buffer_bytes / client_connections).clamp(4 << 10, 256 << 10);
        ResourceLimits {
            client_connections,
            idle_client_connections,
            server_connections,
            admin_connections,
            client_buffer_bytes,
            unread_answer_bytes,
            chunk_bytes,
        }
    }
}

#[cfg(test)]
mod tests;
