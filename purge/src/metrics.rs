//! What operators see of replicas and members.

use crate::wire::DecodeError;

/// Datagrams and their bytes, without the heads of IP and UDP.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Datagrams.
    pub datagrams: u64,
    /// Bytes in them.
    pub bytes: u64,
}

impl Traffic {
    /// Counts one more.
    pub(crate) fn add(&mut self, bytes: usize) {
        self.datagrams += 1;
        self.bytes += bytes as u64;
    }
}

/// What was dropped, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Dropped {
    /// Datagrams longer than any that is sent.
    pub too_long: u64,
    /// Datagrams of another program or version.
    pub version: u64,
    /// Datagrams that were truncated or make no sense.
    pub malformed: u64,
    /// Datagrams from an address that may not send this.
    pub unknown_sender: u64,
    /// Messages that were for an earlier start, epoch or round.
    pub stale: u64,
    /// Registrations for which the table had no room.
    pub table_full: u64,
    /// Datagrams that were not sent because too many waited.
    pub outbox_full: u64,
    /// Datagrams of entries that came while the driver had left too many events undrained.
    pub undrained: u64,
}

impl Dropped {
    /// Counts a datagram that could not be read.
    pub(crate) fn add(&mut self, error: DecodeError) {
        match error {
            DecodeError::TooLong => self.too_long += 1,
            DecodeError::Version => self.version += 1,
            DecodeError::Malformed => self.malformed += 1,
        }
    }
}

/// What operators see of a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaMetrics {
    /// It has not yet taken what it needs from a majority of the others.
    pub recovering: bool,
    /// Purges published here since its start.
    pub published: u64,
    /// Of these, those that are done.
    pub done: u64,
    /// Entries in the log, of all replicas.
    pub log_entries: usize,
    /// Entries trimmed from the log since its start.
    pub log_trimmed: u64,
    /// Registrations in its table.
    pub registrations: usize,
    /// Registrations whose assigned replica it is, those that it learned from others included.
    pub assigned_members: usize,
    /// Rounds begun.
    pub rounds: u64,
    /// Replicas that had not answered when a round without a majority ended.
    pub missing_replicas: usize,
    /// Datagrams out.
    pub sent: Traffic,
    /// Datagrams in.
    pub received: Traffic,
    /// What was dropped.
    pub dropped: Dropped,
}

/// What operators see of a member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberMetrics {
    /// Its assigned replica, by index.
    pub assigned_replica: u8,
    /// Registrations begun.
    pub registrations: u64,
    /// Changes of assigned replica.
    pub reassignments: u64,
    /// Leases that ran out while it served.
    pub lapses: u64,
    /// Keys purged.
    pub purged: u64,
    /// Times at which it voided all.
    pub voided: u64,
    /// Datagrams out.
    pub sent: Traffic,
    /// Datagrams in.
    pub received: Traffic,
    /// What was dropped.
    pub dropped: Dropped,
}
