//! The connection to the other balancers, by UDP: carries the packets of this balancer's member of the cluster. Only the
//! operators' file switches it on.
//!
//! Guarantee: no packet holds a request up. At most [`PACKETS_PER_TURN`] packets are read in one turn; the rest waits in the
//! socket's buffer and is lost beyond that. What goes out is bounded by the cluster; what the socket does not take is lost, as
//! any packet may be, and the cluster's protocol repeats what matters.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use juniperladder::{Coordination, Settings};
use juniperladder_cluster::{Cluster, MAX_PACKET_BYTES};
use slog::{info, Logger};
use thiserror::Error;
use tokio::net::UdpSocket;
use tokio::time::{sleep_until, Instant};

use crate::clock::Clock;
use crate::cluster_config::{ClusterConfigFile, MissingPosition};
use crate::coordination::{metrics_text, ClusterCoordination};

/// How often the cluster does what is due.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// How many packets are read in one turn.
const PACKETS_PER_TURN: usize = 64;

/// Why the other balancers cannot be joined.
#[derive(Debug, Error)]
pub enum PeersError {
    /// The address for peers cannot be bound.
    #[error("cannot listen for peers on {address}: {source}; give peers.listen a free address")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The cluster cannot be configured.
    #[error(transparent)]
    Position(#[from] MissingPosition),
}

/// This balancer's member of the cluster, and its socket.
pub struct Peers {
    cluster: Rc<RefCell<Cluster>>,
    socket: UdpSocket,
    clock: Clock,
    /// What is stated of the origin's limit, as a multiple of the rate.
    stated_bound: f64,
    log: Logger,
}

impl Peers {
    /// Binds the address for peers and becomes a member.
    ///
    /// # Errors
    /// The address can't be bound, or nothing gives this balancer's position.
    pub fn start(
        config: &ClusterConfigFile,
        position: Option<u32>,
        settings: &Settings,
        seed: u64,
        clock: Clock,
        log: Logger,
    ) -> Result<Rc<Peers>, PeersError> {
        let address = config.peers.listen_address;
        let listen_error = |source| PeersError::Listen { address, source };
        let socket = bind(address).map_err(listen_error)?;
        let bound = socket.local_addr().map_err(listen_error)?;
        let now = clock.now();
        // The clock counts Unix time, so that a later incarnation has a greater number.
        let member = config.member_config(bound, position, settings, now.0, seed)?;
        info!(log, "peer coordination started"; "address" => member.address.to_string(),
            "position" => member.position);
        let cluster = Rc::new(RefCell::new(Cluster::new(member, now)));
        Ok(Rc::new(Peers { cluster, socket, clock, stated_bound: config.stated_bound(), log }))
    }

    /// What the decisions see of the cluster.
    pub fn coordination(&self) -> Box<dyn Coordination> {
        Box::new(ClusterCoordination::new(Rc::clone(&self.cluster)))
    }

    /// Carries packets for as long as it is polled.
    pub async fn run(&self) {
        let mut next_tick = Instant::now();
        let mut alive_members = 0;
        loop {
            tokio::select! {
                () = sleep_until(next_tick) => {}
                // An error shows at the read.
                _ = self.socket.readable() => {}
            }
            // Before each tick, too: a member whose answer has come must not be taken for silent where this process was late.
            self.receive();
            if Instant::now() >= next_tick {
                // A tick that was missed is not made up for.
                next_tick = Instant::now() + TICK_INTERVAL;
                self.cluster.borrow_mut().tick(self.clock.now());
                self.log_members(&mut alive_members);
            }
            self.send();
        }
    }

    /// Reads what has come, up to a turn's worth.
    fn receive(&self) {
        // One byte more than any packet has shows that it is too long.
        let mut packet = [0; MAX_PACKET_BYTES + 1];
        for _ in 0..PACKETS_PER_TURN {
            // An error is the system's word that an earlier packet reached nobody, or that no packet waits.
            let Ok((length, from)) = self.socket.try_recv_from(&mut packet) else { return };
            self.cluster.borrow_mut().on_packet(self.clock.now(), from, &packet[..length]);
        }
    }

    fn send(&self) {
        for (to, packet) in self.cluster.borrow_mut().drain() {
            let _ = self.socket.try_send_to(&packet, to);
        }
    }

    /// Logs how many members are alive where that differs from `last`.
    fn log_members(&self, last: &mut usize) {
        let alive = self.cluster.borrow().member_counts().alive;
        if alive != *last {
            *last = alive;
            info!(self.log, "number of alive members changed"; "alive" => alive);
        }
    }

    /// Tells the others that this balancer leaves.
    pub fn leave(&self) {
        self.cluster.borrow_mut().leave(self.clock.now());
        self.send();
    }

    /// The figures in the Prometheus text format.
    pub fn metrics_text(&self) -> String {
        let metrics = self.cluster.borrow_mut().metrics(self.clock.now());
        metrics_text(&metrics, self.stated_bound)
    }
}

fn bind(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}

#[cfg(test)]
mod tests;
