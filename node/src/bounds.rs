//! The bounds that follow from the configured limits, all in one place.

/// What the configuration allows the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of memory.
    pub memory: usize,
    /// Descriptors.
    pub sockets: usize,
}

/// Descriptors that are neither clients' nor servers': the standard three, the listener, discovery's connection
/// and the one it turns to, the runtime's and the signals' own, a file that is read; and some to spare.
const OWN_SOCKETS: usize = 16 + OPERATORS;
/// Operators' callers that have descriptors of their own. More of them take those of clients.
pub const OPERATORS: usize = 8;
/// The part of the other descriptors that connections to servers may take. Clients hold a third of all for their
/// requests; those that say nothing are told to leave, and need not be made room for.
const HOSTS_PART: f64 = 0.56;
/// The part of all descriptors that clients hold for requests at most, and the part of those connections that
/// may stay open for nothing: the rest is room for whoever has something to say.
const CLIENTS_PART: f64 = 1.0 / 3.0;
const KEPT_PART: f64 = 0.75;
/// The most callers of operators at once, where there are descriptors for so many.
const CALLERS: usize = 128;
/// The part of the memory that clients' unfinished and open requests and unread answers may take.
const HELD_PART: f64 = 0.25;

/// How far the program goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Connections from clients.
    pub clients: usize,
    /// Those of them that may stay though they have nothing to ask.
    pub kept: usize,
    /// Connections to servers.
    pub servers: usize,
    /// Operators' callers.
    pub callers: usize,
    /// Bytes that stand in hand for clients, all of them together.
    pub held: usize,
    /// Answer bytes that may stand unread on one client's connection before no more are added.
    pub unread: usize,
    /// Bytes of a long value that stand in one place on their way: read from the server, waiting to go to the client's
    /// side, between the two sides, and unwritten to the client.
    pub piece: usize,
}

impl Bounds {
    /// What these limits allow.
    pub fn of(limits: Limits) -> Bounds {
        let sockets = limits.sockets.saturating_sub(OWN_SOCKETS).max(16);
        let servers = (sockets as f64 * HOSTS_PART) as usize;
        let clients = sockets - servers;
        let held = (limits.memory as f64 * HELD_PART) as usize;
        let kept = (limits.sockets as f64 * CLIENTS_PART * KEPT_PART) as usize;
        // In four places at most, for every client at once: half of the memory.
        let piece = (limits.memory / 8 / clients).clamp(2 << 10, 16 << 10);
        let callers = OPERATORS.max(clients / 2).min(CALLERS);
        Bounds {
            clients,
            kept,
            servers,
            callers,
            held,
            unread: (held / clients).clamp(4 << 10, 256 << 10),
            piece,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Whatever the limits: the descriptors are not overdrawn, clients have more than the third that they
    /// hold for requests, and what stands in hand for them leaves most of the memory.
    #[test]
    fn bounds_keep_within_the_limits() {
        for (mb, sockets) in [(32, 256), (48, 384), (192, 1024), (32, 1024)] {
            let bounds = Bounds::of(Limits { memory: mb << 20, sockets });
            assert!(bounds.clients + bounds.servers + OWN_SOCKETS <= sockets);
            assert!(bounds.clients > sockets / 3 && bounds.servers > sockets / 2);
            assert!(bounds.piece * 4 * bounds.clients <= (mb << 20) / 2);
            assert!(bounds.kept > 0 && bounds.kept < sockets / 3);
            assert!(
                bounds.held <= (mb << 20) / 4 && bounds.unread * bounds.clients <= bounds.held.max(4 << 20)
            );
        }
    }
}
