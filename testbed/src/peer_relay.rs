//! The way of packets between balancers: a UDP relay that each process knows as its peers' address.
//!
//! Each balancer has a socket here that stands for it. What another sends to it arrives at that socket and goes on to
//! the balancer from the sender's own socket here, so that it sees the address that it knows the sender by. On the way
//! the link's faults apply: cuts, losses, delays, repeats, reordering, corruption.

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

/// The longest packet that is taken, in bytes; a longer one is cut off, as by the socket of whoever reads it.
const MAX_PACKET_LENGTH: usize = 2_048;
/// How much later a packet comes that is to come after others, in milliseconds.
const REORDER_DELAY_MS: f64 = 30.0;
/// Packets on their way at once; beyond, what comes is lost, as in a full queue.
const MAX_PACKETS_IN_TRANSIT: usize = 100_000;

/// What balancers sent to others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SentTraffic {
    /// Packets.
    pub packets: u64,
    /// Bytes of their payload.
    pub bytes: u64,
}

/// The relay.
pub struct PeerRelay {
    testbed: Rc<Testbed>,
    /// The socket that stands for each balancer.
    sockets: Vec<Rc<UdpSocket>>,
    /// Where each balancer really is.
    real_addresses: RefCell<Vec<Option<SocketAddr>>>,
    /// Which balancer is at each address.
    balancers: RefCell<HashMap<SocketAddr, usize>>,
    /// What each balancer has sent.
    sent: RefCell<Vec<SentTraffic>>,
    in_transit: Cell<usize>,
}

impl PeerRelay {
    /// A relay for so many balancers, at free ports; it runs until the local tasks end.
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

    /// The address that others know this balancer by.
    pub fn address(&self, balancer: usize) -> io::Result<SocketAddr> {
        self.sockets[balancer].local_addr()
    }

    /// Sets where a balancer really listens for its peers.
    pub fn set_real_address(&self, balancer: usize, address: SocketAddr) {
        self.real_addresses.borrow_mut()[balancer] = Some(address);
        self.balancers.borrow_mut().insert(address, balancer);
    }

    /// What all balancers together have sent so far.
    pub fn total_sent(&self) -> SentTraffic {
        self.sent.borrow().iter().fold(SentTraffic::default(), |total, sent| SentTraffic {
            packets: total.packets + sent.packets,
            bytes: total.bytes + sent.bytes,
        })
    }

    /// Receives what others send to a balancer.
    async fn receive(self: Rc<PeerRelay>, to: usize) {
        let mut packet = [0; MAX_PACKET_LENGTH];
        loop {
            // An error says that an earlier packet found nobody; the next one may.
            let Ok((length, address)) = self.sockets[to].recv_from(&mut packet).await else { continue };
            let from = self.balancers.borrow().get(&address).copied();
            // What comes from no balancer's own address is not of this fleet.
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

    /// Sends a packet on its way, with the link's faults.
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
        // A lost packet stays lost: no resend delays it.
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
                // A packet that does not reach its receiver is lost: that is UDP.
                let _ = relay.sockets[from].send_to(&bytes, address).await;
            }
        });
    }
}
