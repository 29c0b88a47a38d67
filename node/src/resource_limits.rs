//! The limits on connections and buffers of each component, derived from the configured limits of the process.
//!
//! Guarantee: the connections of all components together stay below the configured number of descriptors (if that is at
//! least 40), and what the process holds in memory stays below the configured limit. This module is the whole memory budget.
//! Each buffer is of one of two kinds:
//!
//! - Paid for with its connection, whether it is used or not. Its size is a constant of this module, and the number of
//!   connections is bounded ([`CLIENT_CONNECTION_BYTES`], [`SERVER_CONNECTION_BYTES`]).
//! - Drawn from the [`BufferPool`](crate::buffer_pool::BufferPool), if its size depends on what peers send. Without a
//!   reservation it is not allocated: a written value then waits in the sockets and is rejected in time, a read one passes in small chunks, and a
//!   pipeline is read no further.
//!
//! An idle connection holds no pool memory, and no buffer but the [`READ_BYTES`] into which a client's next request is read.
//!
//! | part of the memory | bytes |
//! | --- | --- |
//! | program, decisions, lists, metrics | [`PROCESS_BYTES`] |
//! | freed memory that the allocator keeps | one in [`ALLOCATOR_DIVISOR`] |
//! | client connections | their number x [`CLIENT_CONNECTION_BYTES`] |
//! | connections to servers | their number x [`SERVER_CONNECTION_BYTES`] |
//! | buffer pool | the rest, at most one in [`POOL_DIVISOR`] |

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

/// Bytes that a client connection reads at once, and the size of its buffer while no request is incomplete.
pub const READ_BYTES: usize = 2 << 10;
/// Bytes that a connection to a server reads at once, unless a larger buffer is reserved.
pub const SERVER_READ_BYTES: usize = 4 << 10;
/// The maximum length of a value that is copied from buffer to buffer; a longer one has a buffer of its own, drawn from the
/// pool.
pub const MAX_COPIED_VALUE_BYTES: usize = 2 << 10;
/// The size of the chunks of a streamed value when the pool is used up.
const SMALL_CHUNK_BYTES: usize = 2 << 10;
/// The size of the chunks of a streamed value that are drawn from the pool.
pub const LARGE_CHUNK_BYTES: usize = 16 << 10;
/// The chunks of a streamed value that are held at once: being read, between server and client, and being written.
const CHUNKS_PER_STREAM: usize = 3;
/// The minimum of unread answers of a client above which no more are added.
const MIN_UNREAD_ANSWER_BYTES: usize = 4 << 10;
/// The maximum of unread answers of a client above which no more are added.
const MAX_UNREAD_ANSWER_BYTES: usize = 64 << 10;
/// The share (one in this many) of the memory beyond the least of all parts that is for more unread answers.
const UNREAD_ANSWERS_DIVISOR: usize = 8;

/// The state of an open request in all components: dispatcher, decisions, timers and its attempt, its line, and a value
/// that is short enough to be copied.
pub const OPEN_REQUEST_BYTES: usize = 6 << 10;
/// The state of a listed server in all components, drawn from the pool.
pub const LISTED_SERVER_BYTES: usize = 3 << 9;
/// The state of a connection besides its buffers: its task, its socket's registration, its slot or place in the pool of
/// connections.
const CONNECTION_STATE_BYTES: usize = 4 << 10;
/// A client connection with one open request and the least of unread answers.
const CLIENT_CONNECTION_BYTES: usize = CONNECTION_STATE_BYTES
    + READ_BYTES
    + OPEN_REQUEST_BYTES
    + MIN_UNREAD_ANSWER_BYTES
    + MAX_COPIED_VALUE_BYTES;
/// A connection to a server that forwards a streamed value in small chunks.
const SERVER_CONNECTION_BYTES: usize =
    CONNECTION_STATE_BYTES + SERVER_READ_BYTES + CHUNKS_PER_STREAM * SMALL_CHUNK_BYTES;

/// The program's text and libraries, and what does not depend on connections: decisions, endpoint lists, metrics, log.
const PROCESS_BYTES: usize = 7 << 20;
/// The share of the memory (one in this many) for freed memory that the allocator keeps, as blocks in use lie between.
const ALLOCATOR_DIVISOR: usize = 7;
/// The maximum share of the memory (one in this many) for the pool, however few connections there are.
const POOL_DIVISOR: usize = 2;
/// The minimum share of the memory (one in this many) for the pool. Where more descriptors are configured than the memory
/// allows, there are fewer connections.
const MIN_POOL_DIVISOR: usize = 8;
/// The minimum size of the pool, which has room for a few values of the maximum length that is held whole.
const MIN_POOL_BYTES: usize = 512 << 10;

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
    /// The size of the pool of buffers that all connections share.
    pub pool_bytes: usize,
    /// The number of unread answer bytes on a client connection above which no more are added.
    pub unread_answer_bytes: usize,
    /// The size of the chunks of a streamed value when the pool is used up.
    pub chunk_bytes: usize,
}

impl ResourceLimits {
    /// Divides the configured limits among the components of each of this many processes, which may run at once as one
    /// balancer.
    pub fn from_configured(limits: ConfiguredLimits, processes: usize) -> ResourceLimits {
        let connections = connections(limits);
        let server_connections = (connections as f64 * SERVER_CONNECTION_SHARE) as usize;
        let client_connections = connections - server_connections;
        let max_idle_client_connections = (limits.descriptors as f64
            * CLIENT_REQUEST_CONNECTION_SHARE
            * IDLE_CLIENT_CONNECTION_SHARE) as usize;
        let connection_bytes =
            client_connections * CLIENT_CONNECTION_BYTES + server_connections * SERVER_CONNECTION_BYTES;
        let rest = divided_bytes(limits).saturating_sub(connection_bytes);
        let spare_bytes = rest.saturating_sub(min_pool_bytes(limits)) / UNREAD_ANSWERS_DIVISOR;
        let more_unread_bytes =
            (spare_bytes / client_connections).min(MAX_UNREAD_ANSWER_BYTES - MIN_UNREAD_ANSWER_BYTES);
        let pool_bytes =
            (rest - more_unread_bytes * client_connections).min(limits.memory_bytes / POOL_DIVISOR);
        ResourceLimits {
            client_connections,
            idle_client_connections: max_idle_client_connections.min(client_connections),
            server_connections,
            admin_connections: RESERVED_ADMIN_CONNECTIONS
                .max(client_connections / 2)
                .min(MAX_ADMIN_CONNECTIONS),
            // Processes of one balancer share its clients, so that all of their connections together need no more than those of
            // one.
            pool_bytes: (pool_bytes / processes).max(MIN_POOL_BYTES),
            unread_answer_bytes: MIN_UNREAD_ANSWER_BYTES + more_unread_bytes,
            chunk_bytes: SMALL_CHUNK_BYTES,
        }
    }
}

/// The memory that is divided between connections and pool.
fn divided_bytes(limits: ConfiguredLimits) -> usize {
    let kept_by_allocator = limits.memory_bytes / ALLOCATOR_DIVISOR;
    limits.memory_bytes.saturating_sub(PROCESS_BYTES + kept_by_allocator)
}

/// The number of connections to clients and servers that descriptors and memory allow.
fn connections(limits: ConfiguredLimits) -> usize {
    let mean_connection_bytes = CLIENT_CONNECTION_BYTES as f64 * (1.0 - SERVER_CONNECTION_SHARE)
        + SERVER_CONNECTION_BYTES as f64 * SERVER_CONNECTION_SHARE;
    // One connection less, as the division between clients and servers is rounded to whole ones.
    let other_bytes = min_pool_bytes(limits) + CLIENT_CONNECTION_BYTES;
    let connection_bytes = divided_bytes(limits).saturating_sub(other_bytes);
    let allowed_by_memory = (connection_bytes as f64 / mean_connection_bytes) as usize;
    let allowed_by_descriptors = limits.descriptors.saturating_sub(RESERVED_DESCRIPTORS);
    allowed_by_descriptors.min(allowed_by_memory).max(MIN_DIVIDED_DESCRIPTORS)
}

/// The part of the memory that the pool has at the least.
fn min_pool_bytes(limits: ConfiguredLimits) -> usize {
    limits.memory_bytes / MIN_POOL_DIVISOR
}

#[cfg(test)]
mod tests;
