//! An endpoint without control code, to measure the overhead of the testbed. It sends packets at the rate and of the mean
//! length of the run to be calibrated, to random members, and ignores received packets.

use std::net::SocketAddr;
use std::rc::Rc;

use super::endpoint::{Datagram, Endpoint};
use super::Micros;

/// The first byte of a calibration packet. No other kind of packet starts with it.
pub const CALIBRATION_FIRST_BYTE: u8 = 0;

/// The traffic to reproduce.
#[derive(Clone, Copy, Debug, Default)]
pub struct CalibrationTraffic {
    /// Packets per second sent by a member.
    pub packets_per_s: f64,
    /// Length of a packet, in bytes.
    pub packet_length: usize,
}

/// A member without control code.
pub struct CalibrationEndpoint {
    traffic: CalibrationTraffic,
    peers: Rc<[SocketAddr]>,
    rng: fastrand::Rng,
    last_tick: Micros,
    /// Packets that are not sent yet.
    out: Vec<Datagram>,
}

impl CalibrationEndpoint {
    /// Creates a member that sends this traffic to these peers.
    pub fn new(traffic: CalibrationTraffic, peers: Rc<[SocketAddr]>, seed: u64, now: Micros) -> Self {
        let rng = fastrand::Rng::with_seed(seed);
        CalibrationEndpoint { traffic, peers, rng, last_tick: now, out: Vec::new() }
    }
}

impl Endpoint for CalibrationEndpoint {
    fn on_datagram(&mut self, _now: Micros, _from: SocketAddr, _bytes: &[u8]) {}

    fn on_tick(&mut self, now: Micros) {
        let expected_count = self.traffic.packets_per_s * (now - self.last_tick) as f64 / 1e6;
        self.last_tick = now;
        let count = expected_count as usize + usize::from(self.rng.f64() < expected_count.fract());
        for _ in 0..count {
            let to = self.peers[self.rng.usize(0..self.peers.len())];
            self.out.push((to, vec![CALIBRATION_FIRST_BYTE; self.traffic.packet_length.max(1)]));
        }
    }

    fn drain_datagrams(&mut self) -> Vec<Datagram> {
        std::mem::take(&mut self.out)
    }
}
