//! A UDP relay for the packets between balancers, which applies the faults of their links.
//!
//! The relay has one socket for each balancer. Peers know the balancer by the address of this socket, so that packets to the
//! balancer arrive there. The relay forwards a packet from the sender's socket, so that the receiver sees the address by
//! which it knows the sender. The faults are cuts, losses, delays, repeats, reordering and corruption.

#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;

use juniperladder_platform_model::links::{LinkEnd, LinkState};
use juniperladder_platform_model::{micros_from_millis, Micros};
use tokio::net::UdpSocket;
use tokio::task::spawn_local;
use tokio::time::sleep_until;

use crate::testbed::Testbed;

/// Maximum packet length in bytes; a longer packet is truncated, as in the receive buffer of a socket.
const MAX_PACKET_LENGTH: usize = 2_048;
/// Additional delay of a reordered packet, in milliseconds.
const REORDER_DELAY_MS: f64 = 30.0;
/// Maximum number of packets in transit; further packets are dropped, as by a full queue.
const MAX_PACKETS_IN_TRANSIT: usize = 100_000;

/// Traffic that balancers sent to their peers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SentTraffic {
    /// Number of packets.
    pub packets: u64,
    /// Payload in bytes.
    pub bytes: u64,
}

/// A UDP relay between balancers.
pub struct PeerRelay {
    testbed: Rc<Testbed>,
    /// The relay's socket for each balancer.
    sockets: Vec<Rc<UdpSocket>>,
    /// The real address of each balancer, at which it listens for its peers; `None` until it is set.
    real_addresses: RefCell<Vec<Option<SocketAddr>>>,
    /// The balancer at each real address.
    balancers: RefCell<HashMap<SocketAddr, usize>>,
    /// Traffic sent by each balancer.
    sent: RefCell<Vec<SentTraffic>>,
    in_transit: Cell<usize>,
}

impl PeerRelay {
    /// Creates a relay for this number of balancers, at free ports; it runs until the local tasks end.
    pub async fn new(testbed: Rc<Testbed>, balancers: usize) -> io::Result<Rc<PeerRelay>> {
        let mut sockets = Vec::with_capacity(balancers);
        for _ in 0..balancers {
            sockets.push(Rc::new(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?));
        }
        let relay = Rc::new(PeerRelay {
            testbed,
            sockets,
            real_addresses: RefCell::new(vec![None; balancers]),
            balancers: RefCell::default(),
            sent: RefCell::new(vec![SentTraffic::default(); balancers]),
            in_transit: Cell::new(0),
        });
        for balancer in 0..balancers {
            spawn_local(Rc::clone(&relay).receive(balancer));
        }
        Ok(relay)
    }

    /// The address by which peers know this balancer.
    pub fn address(&self, balancer: usize) -> io::Result<SocketAddr> {
        self.sockets[balancer].local_addr()
    }

    /// Sets the real address at which a balancer listens for its peers.
    pub fn set_real_address(&self, balancer: usize, address: SocketAddr) {
        self.real_addresses.borrow_mut()[balancer] = Some(address);
        self.balancers.borrow_mut().insert(address, balancer);
    }

    /// Total traffic sent by all balancers so far.
    pub fn total_sent(&self) -> SentTraffic {
        self.sent.borrow().iter().fold(SentTraffic::default(), |total, sent| SentTraffic {
            packets: total.packets + sent.packets,
            bytes: total.bytes + sent.bytes,
        })
    }

    /// Receives and forwards the packets that are sent to a balancer.
    async fn receive(self: Rc<PeerRelay>, to: usize) {
        let mut packet = [0; MAX_PACKET_LENGTH];
        loop {
            // An error reports that an earlier packet reached no socket; later packets are not affected.
            let Ok((length, address)) = self.sockets[to].recv_from(&mut packet).await else { continue };
            let from = self.balancers.borrow().get(&address).copied();
            // A packet from an address of no balancer does not belong to this fleet.
            let Some(from) = from else { continue };
            self.count_sent(from, length);
            self.forward(from, to, &packet[..length]);
        }
    }

    fn count_sent(&self, from: usize, length: usize) {
        let sent = &mut self.sent.borrow_mut()[from];
        sent.packets += 1;
        sent.bytes += length as u64;
    }

    /// Forwards a packet with the faults of the link.
    fn forward(self: &Rc<PeerRelay>, from: usize, to: usize, packet: &[u8]) {
        let ends = (LinkEnd::Balancer(from), LinkEnd::Balancer(to));
        let state = self.testbed.link_state(ends.0, ends.1);
        if state.cut || state.reset || self.testbed.draw_fault(state.lost_share) {
            return;
        }
        let mut bytes = packet.to_vec();
        if self.testbed.draw_fault(state.corrupted_share) {
            self.testbed.corrupt(&mut bytes);
        }
        let copies = 1 + usize::from(self.testbed.draw_fault(state.repeated_share));
        // UDP does not retransmit lost packets, so losses add no delay.
        let lossless = LinkState { lost_share: 0.0, ..state };
        for _ in 0..copies {
            let mut transit_time = self.testbed.draw_transit_time(ends.0, ends.1, &lossless);
            if self.testbed.draw_fault(state.reordered_share) {
                transit_time += micros_from_millis(REORDER_DELAY_MS);
            }
            self.deliver_after(transit_time, from, to, bytes.clone());
        }
    }

    fn deliver_after(self: &Rc<PeerRelay>, transit_time: Micros, from: usize, to: usize, bytes: Vec<u8>) {
        if self.in_transit.get() >= MAX_PACKETS_IN_TRANSIT {
            return;
        }
        self.in_transit.set(self.in_transit.get() + 1);
        let relay = Rc::clone(self);
        let due = self.testbed.instant(self.testbed.now() + transit_time);
        spawn_local(async move {
            sleep_until(due).await;
            relay.in_transit.set(relay.in_transit.get() - 1);
            let address = relay.real_addresses.borrow()[to];
            if let Some(address) = address {
                // A failed send counts as a lost packet, as usual for UDP.
                let _ = relay.sockets[from].send_to(&bytes, address).await;
            }
        });
    }
}
