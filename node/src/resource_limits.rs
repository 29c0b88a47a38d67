//! The limits on connections and buffers of each component, derived from the configured limits of the process.
//!
//! Guarantee: the connections of all components together stay below the configured number of descriptors (if that is at
//! least 40), and the buffers for clients leave most of the configured memory free.

/// The configured limits of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfiguredLimits {
    /// The maximum memory in bytes.
    pub memory_bytes: usize,
    /// The maximum number of file descriptors.
    pub descriptors: usize,
}

/// The descriptors used neither for clients nor for servers: the three standard streams, the listener, the current and the
/// next connection to discovery, the runtime, the signal handlers, a file being read, and a margin.
const RESERVED_DESCRIPTORS: usize = 16 + RESERVED_ADMIN_CONNECTIONS;
/// The minimum number of descriptors that are divided between clients and servers, however few are configured.
const MIN_DIVIDED_DESCRIPTORS: usize = 16;
/// The number of admin connections with reserved descriptors. Further ones use the descriptors for clients.
pub const RESERVED_ADMIN_CONNECTIONS: usize = 8;
/// The share of the descriptors beyond [`RESERVED_DESCRIPTORS`] for connections to servers. Clients may use a third of
/// all descriptors for requests; idle client connections are evicted when needed, and have no descriptors reserved.
const SERVER_CONNECTION_SHARE: f64 = 0.56;
/// The maximum share of all descriptors for client connections with requests.
const CLIENT_REQUEST_CONNECTION_SHARE: f64 = 1.0 / 3.0;
/// The share of [`CLIENT_REQUEST_CONNECTION_SHARE`] for connections that stay open while idle; the rest is for clients
/// with a request.
const IDLE_CLIENT_CONNECTION_SHARE: f64 = 0.75;
/// The maximum number of admin connections, if there are enough descriptors.
const MAX_ADMIN_CONNECTIONS: usize = 128;
/// The share of the memory for clients' incomplete and open requests and unread answers.
const CLIENT_BUFFER_SHARE: f64 = 0.25;

/// The limits of the components of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceLimits {
    /// The maximum number of client connections.
    pub client_connections: usize,
    /// The maximum number of client connections that stay open while idle.
    pub idle_client_connections: usize,
    /// The maximum number of connections to servers.
    pub server_connections: usize,
    /// The maximum number of admin connections.
    pub admin_connections: usize,
    /// The maximum number of bytes buffered for all clients together.
    pub client_buffer_bytes: usize,
    /// The number of unread answer bytes on a client connection above which no more are added.
    pub unread_answer_bytes: usize,
    /// The maximum number of bytes of a streamed value in each of its buffers: read from the server, waiting for the client
    /// side, between the two sides, and not yet written to the client.
    pub chunk_bytes: usize,
}

impl ResourceLimits {
    /// Divides the configured limits among the components.
    pub fn from_configured(limits: ConfiguredLimits) -> ResourceLimits {
        let descriptors =
            limits.descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(MIN_DIVIDED_DESCRIPTORS);
        let server_connections = (descriptors as f64 * SERVER_CONNECTION_SHARE) as usize;
        let client_connections = descriptors - server_connections;
        let client_buffer_bytes = (limits.memory_bytes as f64 * CLIENT_BUFFER_SHARE) as usize;
        let idle_client_connections = (limits.descriptors as f64
            * CLIENT_REQUEST_CONNECTION_SHARE
            * IDLE_CLIENT_CONNECTION_SHARE) as usize;
        // Each client has at most four such buffers: together they take at most half of the memory.
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
