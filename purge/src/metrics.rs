//! Metrics of replicas and members.

use crate::wire::DecodeError;

/// Counts of datagrams and their bytes, without IP and UDP headers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Number of datagrams.
    pub datagrams: u64,
    /// Number of bytes in these datagrams.
    pub bytes: u64,
}

impl Traffic {
    /// Counts a datagram of this size.
    pub(crate) fn record(&mut self, bytes: usize) {
        self.datagrams += 1;
        self.bytes += bytes as u64;
    }
}

/// Counts of dropped datagrams and messages, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Dropped {
    /// Datagrams longer than the maximum size.
    pub too_long: u64,
    /// Datagrams of another program or protocol version.
    pub version: u64,
    /// Datagrams that were truncated or malformed, and registrations that name an invalid replica.
    pub malformed: u64,
    /// Datagrams from an address that may not send this kind of message.
    pub unknown_sender: u64,
    /// Messages for an earlier incarnation, epoch or round.
    pub stale: u64,
    /// Registrations rejected because the table was full.
    pub table_full: u64,
    /// Datagrams not sent because the outbox was full.
    pub outbox_full: u64,
    /// Messages with entries that arrived while the driver had left too many events undrained.
    pub undrained: u64,
}

impl Dropped {
    /// Counts a datagram that could not be decoded.
    pub(crate) fn record(&mut self, error: DecodeError) {
        match error {
            DecodeError::TooLong => self.too_long += 1,
            DecodeError::Version => self.version += 1,
            DecodeError::Malformed => self.malformed += 1,
        }
    }
}

/// Metrics of a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaMetrics {
    /// Whether the replica is still recovering its state from a majority of the others.
    pub recovering: bool,
    /// Purges published at this replica since its start.
    pub published: u64,
    /// Purges published at this replica since its start that are done.
    pub done: u64,
    /// Entries in the log, over all streams.
    pub log_entries: usize,
    /// Entries trimmed from the log since its start.
    pub log_trimmed: u64,
    /// Registrations in the replica's own table.
    pub registrations: usize,
    /// Registrations assigned to this replica, including those learned from other replicas.
    pub assigned_members: usize,
    /// Rounds started.
    pub rounds: u64,
    /// Replicas that did not answer in the previous round, if no majority answered.
    pub missing_replicas: usize,
    /// Datagrams sent.
    pub sent: Traffic,
    /// Datagrams received.
    pub received: Traffic,
    /// Datagrams and messages dropped.
    pub dropped: Dropped,
}

/// Metrics of a member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberMetrics {
    /// Index of the assigned replica.
    pub assigned_replica: u8,
    /// Registrations started.
    pub registrations: u64,
    /// Changes of assigned replica.
    pub reassignments: u64,
    /// Leases that expired while the member served.
    pub lapses: u64,
    /// Keys purged.
    pub purged: u64,
    /// Times that the member voided its cache.
    pub voided: u64,
    /// Datagrams sent.
    pub sent: Traffic,
    /// Datagrams received.
    pub received: Traffic,
    /// Datagrams and messages dropped.
    pub dropped: Dropped,
}
