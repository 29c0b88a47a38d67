//! Talk between balancers, by UDP: carries `cluster/`'s packets and tells its figures. Switched on by the operators' file
//! alone.
//!
//! Bounded: so many packets are read in one turn, the rest waits in the socket's own buffer and is lost beyond that;
//! what goes out is bounded by the cluster, and a socket that takes no more loses it.

use std::cell::RefCell;
use std::fmt::Write;
use std::rc::Rc;
use std::time::Duration;

use juniperladder::{Micros, Part};
use juniperladder_cluster::{Cluster, Figures, LONGEST};
use slog::{info, Logger};
use tokio::net::UdpSocket;
use tokio::time::{sleep_until, Instant};

use crate::clock::Clock;
use crate::operator::{Operator, ORIGIN};

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
        balancers: u32,
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
        let plan = operator.plan(here, position, balancers, now.0, seed)?;
        info!(log, "talk between balancers"; "address" => plan.address.to_string(), "position" => plan.position);
        let cluster = Rc::new(RefCell::new(Cluster::new(plan, now.0)));
        Ok(Rc::new(Peers { cluster, socket, clock, bound: operator.bound(), log }))
    }

    /// This balancer's part of the origin's limit, where the file names one.
    pub fn origin(&self) -> Option<Box<dyn Part>> {
        self.cluster.borrow_mut().limit(ORIGIN)?;
        Some(Box::new(OriginPart(Rc::clone(&self.cluster))))
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
                self.cluster.borrow_mut().tick(self.clock.now().0);
                let alive = self.cluster.borrow().members().alive;
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
        let mut packet = [0; LONGEST + 1];
        for _ in 0..TURN {
            // Word that an earlier packet found nobody is no packet; an empty buffer ends the turn.
            let Ok((length, from)) = self.socket.try_recv_from(&mut packet) else { return };
            self.cluster.borrow_mut().heard(self.clock.now().0, from, &packet[..length]);
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
        self.cluster.borrow_mut().leave(self.clock.now().0);
        self.write();
    }

    /// The figures.
    pub fn figures(&self) -> Figures {
        self.cluster.borrow_mut().figures(self.clock.now().0)
    }

    /// The figures in the Prometheus text format.
    pub fn text(&self) -> String {
        let Figures { members, limits, sent, heard, dropped, differ } = self.figures();
        let mut text = String::from("# TYPE app_members gauge\n");
        for (state, count) in [("alive", members.alive), ("suspect", members.suspect), ("down", members.down)]
        {
            let _ = writeln!(text, "app_members{{state=\"{state}\"}} {count}");
        }
        let counts = [
            ("packets_sent", sent.0),
            ("packet_bytes_sent", sent.1),
            ("packets_heard", heard.0),
            ("packet_bytes_heard", heard.1),
            ("packets_dropped", dropped),
            ("packets_of_other_files", differ),
        ];
        for (name, count) in counts {
            let _ = writeln!(text, "# TYPE app_peer_{name} counter\napp_peer_{name} {count}");
        }
        for (name, limit) in &limits {
            let contact = limit.contact.map_or(-1.0, |age| age as f64 / 1e6);
            let gauges = [
                ("whole", f64::from(limit.whole)),
                ("bound", self.bound),
                ("own", f64::from(limit.own)),
                ("held", f64::from(limit.held)),
                ("used", f64::from(limit.used)),
                ("lent", f64::from(limit.lent)),
                ("borrowed", f64::from(limit.borrowed)),
                ("wanted", f64::from(limit.wanted)),
                ("contact_age_seconds", contact),
                ("short_seconds", limit.short as f64 / 1e6),
                ("denied", limit.denied as f64),
            ];
            for (figure, value) in gauges {
                let _ = writeln!(text, "app_limit_{figure}{{limit=\"{name}\"}} {value}");
            }
        }
        text
    }
}

/// The origin's limit as the decisions see it.
#[derive(Debug)]
struct OriginPart(Rc<RefCell<Cluster>>);

impl OriginPart {
    fn with<T: Default>(&self, act: impl FnOnce(&mut juniperladder_cluster::shares::Shares) -> T) -> T {
        self.0.borrow_mut().limit(ORIGIN).map(act).unwrap_or_default()
    }
}

impl Part for OriginPart {
    fn wait(&mut self, now: Micros) -> Micros {
        Micros(self.with(|shares| shares.wait(now.0)))
    }

    fn took(&mut self, now: Micros) {
        self.with(|shares| shares.took(now.0));
    }

    fn denied(&mut self, now: Micros) {
        self.with(|shares| shares.denied(now.0));
    }
}
