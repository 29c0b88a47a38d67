//! An endpoint without control code, for the test bed's own share: it sends as many packets of the same length as the
//! members of the run that is calibrated, to members drawn at random, and ignores what comes.

use std::net::SocketAddr;
use std::rc::Rc;

use super::endpoint::{Datagram, Endpoint};
use super::Micros;

/// The first byte of a calibration packet, which begins no other packet.
pub const CALIBRATION_HEAD: u8 = 0;

/// The traffic to imitate.
#[derive(Clone, Copy, Debug, Default)]
pub struct CalibrationTraffic {
    /// Packets a second out of a member.
    pub packets_per_s: f64,
    /// Bytes of a packet.
    pub packet_length: usize,
}

/// A member without control code.
pub struct CalibrationEndpoint {
    traffic: CalibrationTraffic,
    peers: Rc<[SocketAddr]>,
    rng: fastrand::Rng,
    last: Micros,
    out: Vec<Datagram>,
}

impl CalibrationEndpoint {
    /// A member that sends this traffic to these peers.
    pub fn new(traffic: CalibrationTraffic, peers: Rc<[SocketAddr]>, seed: u64, now: Micros) -> Self {
        let rng = fastrand::Rng::with_seed(seed);
        CalibrationEndpoint { traffic, peers, rng, last: now, out: Vec::new() }
    }
}

impl Endpoint for CalibrationEndpoint {
    fn on_datagram(&mut self, _now: Micros, _from: SocketAddr, _bytes: &[u8]) {}

    fn on_tick(&mut self, now: Micros) {
        let due = self.traffic.packets_per_s * (now - self.last) as f64 / 1e6;
        self.last = now;
        let count = due as usize + usize::from(self.rng.f64() < due.fract());
        for _ in 0..count {
            let to = self.peers[self.rng.usize(0..self.peers.len())];
            self.out.push((to, vec![CALIBRATION_HEAD; self.traffic.packet_length.max(1)]));
        }
    }

    fn drain(&mut self) -> Vec<Datagram> {
        std::mem::take(&mut self.out)
    }
}
