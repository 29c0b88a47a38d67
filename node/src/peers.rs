//! Talk between balancers, by UDP: carries `cluster/`'s packets and tells its figures. Switched on by the operators' file
//! alone.
//!
//! Bounded: so many packets are read in one turn, the rest waits in the socket's own buffer and is lost beyond that;
//! what goes out is bounded by the cluster, and a socket that takes no more loses it.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use juniperladder::{Coordination, Settings};
use juniperladder_cluster::{Cluster, ClusterMetrics, MAX_PACKET_BYTES};
use slog::{info, Logger};
use tokio::net::UdpSocket;
use tokio::time::{sleep_until, Instant};

use crate::clock::Clock;
use crate::operator::Operator;
use crate::together::Together;

/// How often what is due is done.
const TICK: Duration = Duration::from_millis(50);
/// Packets that are read in one turn.
const TURN: usize = 64;

/// This balancer's side of the talk.
pub struct Peers {
    cluster: Rc<RefCell<Cluster>>,
    socket: UdpSocket,
    clock: Clock,
    bound: f64,
    log: Logger,
}

impl Peers {
    /// Binds the peers' address and begins to be a member.
    ///
    /// # Errors
    /// One line that says what is in the way.
    pub fn start(
        operator: &Operator,
        position: Option<u32>,
        settings: &Settings,
        seed: u64,
        clock: Clock,
        log: Logger,
    ) -> Result<Rc<Peers>, String> {
        let listen = operator.peers.listen;
        let wrong = |e: std::io::Error| {
            format!("cannot hear peers on {listen}: {e}; give peers.listen a free address")
        };
        let socket = std::net::UdpSocket::bind(listen).map_err(wrong)?;
        socket.set_nonblocking(true).map_err(wrong)?;
        let socket = UdpSocket::from_std(socket).map_err(wrong)?;
        let here = socket.local_addr().map_err(wrong)?;
        let now = clock.now();
        // The clock counts Unix time, so that a later life has a greater number.
        let plan = operator.plan(here, position, settings, now.0, seed)?;
        info!(log, "talk between balancers"; "address" => plan.address.to_string(), "position" => plan.position);
        let cluster = Rc::new(RefCell::new(Cluster::new(plan, now)));
        Ok(Rc::new(Peers { cluster, socket, clock, bound: operator.bound(), log }))
    }

    /// What the decisions see of it.
    pub fn fleet(&self) -> Box<dyn Coordination> {
        Box::new(Together::new(Rc::clone(&self.cluster)))
    }

    /// Carries packets for as long as it is polled.
    pub async fn run(&self) {
        let mut next = Instant::now();
        let mut members = 0;
        loop {
            let ready = tokio::select! {
                () = sleep_until(next) => false,
                ready = self.socket.readable() => ready.is_ok(),
            };
            if ready {
                self.read();
            }
            if Instant::now() >= next {
                // A turn that was missed is not made up for.
                next = Instant::now() + TICK;
                self.cluster.borrow_mut().tick(self.clock.now());
                let alive = self.cluster.borrow().member_counts().alive;
                if alive != members {
                    members = alive;
                    info!(self.log, "members"; "alive" => alive);
                }
            }
            self.write();
        }
    }

    /// Takes what has come, up to a turn's worth.
    fn read(&self) {
        let mut packet = [0; MAX_PACKET_BYTES + 1];
        for _ in 0..TURN {
            // Word that an earlier packet found nobody is no packet; an empty buffer ends the turn.
            let Ok((length, from)) = self.socket.try_recv_from(&mut packet) else { return };
            self.cluster.borrow_mut().on_packet(self.clock.now(), from, &packet[..length]);
        }
    }

    fn write(&self) {
        for (to, bytes) in self.cluster.borrow_mut().drain() {
            // What does not go now is lost, as any packet may be.
            let _ = self.socket.try_send_to(&bytes, to);
        }
    }

    /// Says that this balancer leaves.
    pub fn leave(&self) {
        self.cluster.borrow_mut().leave(self.clock.now());
        self.write();
    }

    /// The figures.
    pub fn figures(&self) -> ClusterMetrics {
        self.cluster.borrow_mut().metrics(self.clock.now())
    }

    /// The figures in the Prometheus text format.
    pub fn text(&self) -> String {
        crate::together::text(&self.figures(), self.bound)
    }
}
