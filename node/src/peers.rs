//! The UDP transport between balancers: carries the packets of this balancer's cluster member. It runs only if the
//! balancer was given an operators' file ([`ClusterConfigFile`]).
//!
//! Guarantee: packets do not delay requests. At most [`PACKETS_PER_TURN`] packets are read in one turn of the event loop;
//! further ones wait in the socket's buffer, and are lost when it is full. [`Cluster`] bounds the number of packets to
//! send. A packet that the socket does not accept is lost; the cluster's protocol tolerates lost packets and repeats what
//! is needed.

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

/// The interval between ticks of the cluster member, which run its timers.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// The maximum number of packets read in one turn of the event loop.
const PACKETS_PER_TURN: usize = 64;

/// Why this balancer cannot join the cluster.
#[derive(Debug, Error)]
pub enum PeersError {
    /// The address for peers cannot be bound.
    #[error("cannot listen for peers on {address}: {source}; set peers.listen to a free address")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// This balancer's position is not configured.
    #[error(transparent)]
    Position(#[from] MissingPosition),
}

/// This balancer's cluster member and its socket.
pub struct Peers {
    cluster: Rc<RefCell<Cluster>>,
    socket: UdpSocket,
    clock: Clock,
    /// The maximum number of requests in any second that every rate limit guarantees, as a multiple of the limit's rate.
    guaranteed_rate_ratio: f64,
    log: Logger,
}

impl Peers {
    /// Binds the address for peers and creates this balancer's cluster member.
    ///
    /// # Errors
    /// The address cannot be bound, or this balancer's position is not configured.
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
        let bound_address = socket.local_addr().map_err(listen_error)?;
        let now = clock.now();
        // The start time is the incarnation number: the clock counts Unix time, so that a later start has a greater one.
        let member = config.member_config(bound_address, position, settings, now.0, seed)?;
        info!(log, "peer coordination started"; "address" => member.address.to_string(),
            "position" => member.position);
        let cluster = Rc::new(RefCell::new(Cluster::new(member, now)));
        Ok(Rc::new(Peers {
            cluster,
            socket,
            clock,
            guaranteed_rate_ratio: config.guaranteed_rate_ratio(),
            log,
        }))
    }

    /// The decision core's view of the cluster.
    pub fn coordination(&self) -> Box<dyn Coordination> {
        Box::new(ClusterCoordination::new(Rc::clone(&self.cluster)))
    }

    /// Receives and sends packets and ticks the cluster member; never returns.
    pub async fn run(&self) {
        let mut next_tick = Instant::now();
        let mut alive_members = 0;
        loop {
            tokio::select! {
                () = sleep_until(next_tick) => {}
                // An error is ignored here; the next read returns it.
                _ = self.socket.readable() => {}
            }
            // Packets are also read before a tick: after an event loop delay, a member whose answer has arrived must
            // not be suspected.
            self.receive();
            if Instant::now() >= next_tick {
                // Missed ticks are skipped.
                next_tick = Instant::now() + TICK_INTERVAL;
                self.cluster.borrow_mut().tick(self.clock.now());
                self.log_members(&mut alive_members);
            }
            self.send();
        }
    }

    /// Reads the packets that have arrived, up to [`PACKETS_PER_TURN`].
    fn receive(&self) {
        // The buffer is one byte longer than the longest valid packet, so that an oversized one is detected.
        let mut packet = [0; MAX_PACKET_BYTES + 1];
        for _ in 0..PACKETS_PER_TURN {
            // The error is either WouldBlock or an ICMP error for an earlier packet.
            let Ok((length, from)) = self.socket.try_recv_from(&mut packet) else { return };
            self.cluster.borrow_mut().on_packet(self.clock.now(), from, &packet[..length]);
        }
    }

    fn send(&self) {
        for (to, packet) in self.cluster.borrow_mut().drain() {
            let _ = self.socket.try_send_to(&packet, to);
        }
    }

    /// Logs the number of alive members if it differs from `last`.
    fn log_members(&self, last: &mut usize) {
        let alive = self.cluster.borrow().member_counts().alive;
        if alive != *last {
            *last = alive;
            info!(self.log, "number of alive members changed"; "alive" => alive);
        }
    }

    /// Notifies the other members that this balancer leaves the cluster.
    pub fn leave(&self) {
        self.cluster.borrow_mut().leave(self.clock.now());
        self.send();
    }

    /// The metrics in the Prometheus text format.
    pub fn metrics_text(&self) -> String {
        let metrics = self.cluster.borrow_mut().metrics(self.clock.now());
        metrics_text(&metrics, self.guaranteed_rate_ratio)
    }
}

fn bind(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}

#[cfg(test)]
mod tests;
