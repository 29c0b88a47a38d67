//! Counts what members send and what their control code costs, outside of the control code itself.

use nix::time::{clock_gettime, ClockId};
use serde::Serialize;

use super::calibration::CALIBRATION_HEAD;
use super::cluster_endpoint::packet_parts;
use super::endpoint::PacketKind;
use super::purge_endpoint::PURGE_MAGIC;
use super::schedule::Phase;
use super::Micros;

/// Lateness is counted in so many buckets of this width; the last one holds all that is later.
const LAG_BUCKETS: usize = 4_096;
const LAG_BUCKET: Micros = 100;

/// Packets and bytes of a kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Traffic {
    /// Packets; one that holds parts of several kinds counts for the first.
    pub packets: u64,
    /// Bytes, by part.
    pub bytes: u64,
}

/// Calls of control code and their processor time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Calls {
    /// How many.
    pub count: u64,
    /// The thread's processor time in them, in nanoseconds.
    pub cpu_ns: u64,
}

/// What one member sent, received and cost in one phase.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberCounts {
    /// Sent, by kind.
    pub sent: [Traffic; PacketKind::COUNT],
    /// Received, of all kinds.
    pub received: Traffic,
    /// Calls with a packet.
    pub datagrams: Calls,
    /// Calls by the clock.
    pub ticks: Calls,
}

impl MemberCounts {
    /// Sent, of all kinds.
    pub fn sent_total(&self) -> Traffic {
        self.sent.iter().fold(Traffic::default(), |sum, one| Traffic {
            packets: sum.packets + one.packets,
            bytes: sum.bytes + one.bytes,
        })
    }

    /// Processor time of the control code in nanoseconds.
    pub fn cpu_ns(&self) -> u64 {
        self.datagrams.cpu_ns + self.ticks.cpu_ns
    }

    /// Counts a packet out.
    pub fn on_sent(&mut self, bytes: &[u8]) {
        let mut first = true;
        let mut add = |kind: PacketKind, length: usize| {
            let sent = &mut self.sent[kind as usize];
            sent.packets += u64::from(std::mem::take(&mut first));
            sent.bytes += length as u64;
        };
        if bytes.first() == Some(&CALIBRATION_HEAD) {
            add(PacketKind::Calibration, bytes.len());
        } else if bytes.starts_with(PURGE_MAGIC) {
            add(PacketKind::Purge, bytes.len());
        } else {
            packet_parts(bytes, add);
        }
    }
}

/// The counts of one member over all phases.
pub type MemberPhases = [MemberCounts; Phase::COUNT];

/// How late the test bed's own timers were.
#[derive(Clone, Debug)]
pub struct Lateness {
    buckets: Vec<u64>,
    count: u64,
}

impl Default for Lateness {
    fn default() -> Lateness {
        Lateness { buckets: vec![0; LAG_BUCKETS], count: 0 }
    }
}

impl Lateness {
    /// A timer that was due then fired now.
    pub fn on_timer(&mut self, due: Micros, now: Micros) {
        let bucket = (now.saturating_sub(due) / LAG_BUCKET) as usize;
        self.buckets[bucket.min(LAG_BUCKETS - 1)] += 1;
        self.count += 1;
    }

    /// Adds another thread's.
    pub fn add(&mut self, other: &Lateness) {
        self.buckets.iter_mut().zip(&other.buckets).for_each(|(sum, one)| *sum += one);
        self.count += other.count;
    }

    /// The lateness that this share of all timers did not exceed, in milliseconds.
    pub fn quantile_ms(&self, share: f64) -> f64 {
        let rank = (self.count as f64 * share).ceil() as u64;
        let mut sum = 0;
        for (bucket, count) in self.buckets.iter().enumerate() {
            sum += count;
            if sum >= rank && sum > 0 {
                return (bucket as Micros * LAG_BUCKET) as f64 / 1e3;
            }
        }
        0.0
    }
}

/// This thread's processor time in nanoseconds; 0 where the system does not tell.
pub fn thread_cpu_ns() -> u64 {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID)
        .map_or(0, |time| time.tv_sec() as u64 * 1_000_000_000 + time.tv_nsec() as u64)
}
