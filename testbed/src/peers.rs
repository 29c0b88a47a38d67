//! The way of packets between balancers: a UDP relay that each process is told as its peers' address.
//!
//! Each balancer has a socket here that stands for it. What another sends to it arrives at that socket and goes on to
//! the balancer from the sender's own stand-in, so that it sees the address that it knows the sender by. On the way
//! the link's faults apply: cuts, losses, delays, repeats, disorder, wrong bytes.

#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;

use juniperladder_platform_model::links::LinkEnd;
use juniperladder_platform_model::micros_from_millis;
use tokio::net::UdpSocket;
use tokio::task::spawn_local;
use tokio::time::sleep_until;

use crate::rig::Rig;

/// The longest packet that is taken; a longer one is cut off, as it would be by the socket of whoever reads it.
const LONGEST: usize = 2_048;
/// How much later a packet comes that is to come after others.
const LATER_MS: f64 = 30.0;
/// Packets on their way at once; beyond, what comes is lost, as in a full queue.
const ON_THE_WAY: usize = 100_000;

/// What went through the relay from one balancer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sent {
    /// Packets.
    pub packets: u64,
    /// Bytes.
    pub bytes: u64,
}

/// The relay.
pub struct Relay {
    rig: Rc<Rig>,
    stands: Vec<Rc<UdpSocket>>,
    /// Where each balancer really is.
    real: RefCell<Vec<Option<SocketAddr>>>,
    /// Who is at each address.
    who: RefCell<HashMap<SocketAddr, usize>>,
    sent: RefCell<Vec<Sent>>,
    on_the_way: Cell<usize>,
}

impl Relay {
    /// A relay for so many balancers, at free ports.
    pub async fn new(rig: Rc<Rig>, balancers: usize) -> io::Result<Rc<Relay>> {
        let mut stands = Vec::with_capacity(balancers);
        for _ in 0..balancers {
            stands.push(Rc::new(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?));
        }
        let relay = Rc::new(Relay {
            rig,
            stands,
            real: RefCell::new(vec![None; balancers]),
            who: RefCell::default(),
            sent: RefCell::new(vec![Sent::default(); balancers]),
            on_the_way: Cell::new(0),
        });
        for number in 0..balancers {
            spawn_local(Rc::clone(&relay).take(number));
        }
        Ok(relay)
    }

    /// The address that others know this balancer by.
    pub fn address(&self, balancer: usize) -> io::Result<SocketAddr> {
        self.stands[balancer].local_addr()
    }

    /// Where a balancer really listens for its peers.
    pub fn is_at(&self, balancer: usize, address: SocketAddr) {
        self.real.borrow_mut()[balancer] = Some(address);
        self.who.borrow_mut().insert(address, balancer);
    }

    /// What each balancer has sent so far.
    pub fn sent(&self) -> Vec<Sent> {
        self.sent.borrow().clone()
    }

    /// Takes what comes for a balancer, and sends it on its way.
    async fn take(self: Rc<Relay>, to: usize) {
        let mut packet = [0; LONGEST];
        loop {
            let Ok((length, address)) = self.stands[to].recv_from(&mut packet).await else {
                // Word that an earlier packet found nobody; the next one may.
                continue;
            };
            let from = self.who.borrow().get(&address).copied();
            // What is no balancer's own address is not of this fleet.
            let Some(from) = from else { continue };
            {
                let sent = &mut self.sent.borrow_mut()[from];
                sent.packets += 1;
                sent.bytes += length as u64;
            }
            let ends = (LinkEnd::Balancer(from), LinkEnd::Balancer(to));
            let state = self.rig.link(ends.0, ends.1);
            if state.cut || state.reset || self.rig.happens(state.lost_share) {
                continue;
            }
            let mut bytes = packet[..length].to_vec();
            if self.rig.happens(state.corrupted_share) {
                self.rig.spoil(&mut bytes);
            }
            let copies = 1 + usize::from(self.rig.happens(state.repeated_share));
            for _ in 0..copies {
                let lossless = juniperladder_platform_model::links::LinkState { lost_share: 0.0, ..state };
                let mut way = self.rig.way(ends.0, ends.1, &lossless);
                if self.rig.happens(state.reordered_share) {
                    way += micros_from_millis(LATER_MS);
                }
                self.carry(from, to, bytes.clone(), way);
            }
        }
    }

    fn carry(self: &Rc<Relay>, from: usize, to: usize, bytes: Vec<u8>, way: u64) {
        if self.on_the_way.get() >= ON_THE_WAY {
            return;
        }
        self.on_the_way.set(self.on_the_way.get() + 1);
        let relay = Rc::clone(self);
        let due = self.rig.instant(self.rig.now() + way);
        spawn_local(async move {
            sleep_until(due).await;
            relay.on_the_way.set(relay.on_the_way.get() - 1);
            let address = relay.real.borrow()[to];
            if let Some(address) = address {
                // Whom it does not reach it does not reach: that is UDP.
                let _ = relay.stands[from].send_to(&bytes, address).await;
            }
        });
    }
}
