//! Measures the members' traffic and the processor time of their control code, from outside the control code.

use nix::time::{clock_gettime, ClockId};
use serde::Serialize;

use super::calibration::CALIBRATION_FIRST_BYTE;
use super::cluster_endpoint::for_each_packet_part;
use super::endpoint::PacketKind;
use super::purge_endpoint::PURGE_PACKET_PREFIX;
use super::schedule::Phase;
use super::Micros;

/// Number of buckets of the lateness histogram. The last bucket also counts all higher values.
const LATENESS_BUCKET_COUNT: usize = 4_096;
/// Width of a bucket of the lateness histogram.
const LATENESS_BUCKET_WIDTH: Micros = 100;

/// Number of packets and bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Traffic {
    /// Packets. By kind, a packet with parts of several kinds counts only for the kind of its first part.
    pub packets: u64,
    /// Bytes. By kind, the bytes of each part count for the part's kind.
    pub bytes: u64,
}

/// Number and processor time of calls into the control code.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Calls {
    /// Number of calls.
    pub count: u64,
    /// Processor time of the thread during the calls, in nanoseconds.
    pub cpu_ns: u64,
}

/// Traffic and processor time of one member in one phase.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberCounts {
    /// Sent traffic by kind.
    pub sent: [Traffic; PacketKind::COUNT],
    /// Received traffic of all kinds.
    pub received: Traffic,
    /// Calls for received packets.
    pub datagrams: Calls,
    /// Periodic calls.
    pub ticks: Calls,
}

impl MemberCounts {
    /// Sent traffic of all kinds.
    pub fn sent_total(&self) -> Traffic {
        self.sent.iter().fold(Traffic::default(), |sum, kind| Traffic {
            packets: sum.packets + kind.packets,
            bytes: sum.bytes + kind.bytes,
        })
    }

    /// Processor time of the control code, in nanoseconds.
    pub fn cpu_ns(&self) -> u64 {
        self.datagrams.cpu_ns + self.ticks.cpu_ns
    }

    /// Counts a sent packet.
    pub fn on_sent(&mut self, bytes: &[u8]) {
        let mut first = true;
        let mut add = |kind: PacketKind, length: usize| {
            let sent = &mut self.sent[kind as usize];
            sent.packets += u64::from(std::mem::take(&mut first));
            sent.bytes += length as u64;
        };
        if bytes.first() == Some(&CALIBRATION_FIRST_BYTE) {
            add(PacketKind::Calibration, bytes.len());
        } else if bytes.starts_with(PURGE_PACKET_PREFIX) {
            add(PacketKind::Purge, bytes.len());
        } else {
            for_each_packet_part(bytes, add);
        }
    }
}

/// The counts of one member by phase.
pub type MemberPhases = [MemberCounts; Phase::COUNT];

/// Histogram of the lateness of the testbed's timers.
#[derive(Clone, Debug)]
pub struct Lateness {
    buckets: Vec<u64>,
    count: u64,
}

impl Default for Lateness {
    fn default() -> Lateness {
        Lateness { buckets: vec![0; LATENESS_BUCKET_COUNT], count: 0 }
    }
}

impl Lateness {
    /// Records that a timer due at `due` fired at `now`.
    pub fn on_timer(&mut self, due: Micros, now: Micros) {
        let bucket = (now.saturating_sub(due) / LATENESS_BUCKET_WIDTH) as usize;
        self.buckets[bucket.min(LATENESS_BUCKET_COUNT - 1)] += 1;
        self.count += 1;
    }

    /// Adds the histogram of another thread.
    pub fn merge(&mut self, other: &Lateness) {
        self.buckets.iter_mut().zip(&other.buckets).for_each(|(sum, count)| *sum += count);
        self.count += other.count;
    }

    /// The lateness at this quantile, from 0 to 1, in milliseconds; 0 without any timers.
    pub fn quantile_ms(&self, share: f64) -> f64 {
        let rank = (self.count as f64 * share).ceil() as u64;
        let mut sum = 0;
        for (bucket, count) in self.buckets.iter().enumerate() {
            sum += count;
            if sum >= rank && sum > 0 {
                return (bucket as Micros * LATENESS_BUCKET_WIDTH) as f64 / 1e3;
            }
        }
        0.0
    }
}

/// Processor time of the current thread in nanoseconds; 0 if the system does not provide it.
pub fn thread_cpu_ns() -> u64 {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID)
        .map_or(0, |time| time.tv_sec() as u64 * 1_000_000_000 + time.tv_nsec() as u64)
}
