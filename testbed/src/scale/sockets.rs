//! Runs the members over real UDP sockets on loopback in real time. Each of a few threads polls the sockets of its members.
//!
//! The sender holds a packet until its time of arrival and sends it then. No relay between two members is needed, and the
//! receiver sees the sender's own address.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Barrier};
use std::time::{Duration, Instant};

use mio::net::UdpSocket;
use mio::{Events, Interest, Poll, Token};

use super::meter::{thread_cpu_ns, Lateness};
use super::run::{Run, TICK_INTERVAL};
use super::schedule::{Phase, CLOCK_START};
use super::shard::{InFlightPacket, Observations, Shard};
use super::virtual_time::{first_start_action, first_start_time};
use super::{resources, Micros};

/// Maximum length of a received packet, in bytes; longer ones are truncated.
const MAX_DATAGRAM_BYTES: usize = 2_048;
/// Maximum number of packets read from a socket before the timers run again.
const MAX_READS_PER_TURN: usize = 64;
/// Maximum number of socket events per poll.
const MAX_EVENTS_PER_POLL: usize = 1_024;
/// Time before the end of the run at which the memory is measured, while all members still run.
const MEMORY_MEASUREMENT_LEAD_TIME: Duration = Duration::from_millis(200);

/// The result of a run over sockets, or of one worker thread.
#[derive(Debug, Default)]
pub struct SocketRun {
    /// The observations of each shard.
    pub observations: Vec<Observations>,
    /// Lateness of the testbed's timers after the warm-up.
    pub lateness: Lateness,
    /// Processor time of all worker threads by phase, in nanoseconds, the testbed's own share included.
    pub cpu_ns: [u64; Phase::COUNT],
    /// Resident memory before the members started and shortly before the end, in bytes.
    pub memory: (u64, u64),
    /// Number of packets whose send failed, for example because the socket buffer was full.
    pub not_sent: u64,
}

/// Binds a socket on a free loopback port for each member.
///
/// # Errors
/// A socket cannot be bound or set up.
pub fn bind_sockets(members: usize) -> io::Result<(Vec<std::net::UdpSocket>, Vec<SocketAddr>)> {
    let mut sockets = Vec::with_capacity(members);
    let mut addresses = Vec::with_capacity(members);
    for _ in 0..members {
        let socket = std::net::UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
        socket.set_nonblocking(true)?;
        addresses.push(socket.local_addr()?);
        sockets.push(socket);
    }
    Ok((sockets, addresses))
}

/// Runs a scale test to its end.
///
/// # Errors
/// A poll failed or could not be set up, or a worker thread panicked.
pub fn run_on_sockets(run: &Arc<Run>, sockets: Vec<std::net::UdpSocket>) -> io::Result<SocketRun> {
    let worker_count = run.config.workers.max(1);
    let mut sockets_by_worker: Vec<Vec<std::net::UdpSocket>> =
        (0..worker_count).map(|_| Vec::new()).collect();
    for (member, socket) in sockets.into_iter().enumerate() {
        sockets_by_worker[member % worker_count].push(socket);
    }
    let memory_before = resources::resident_bytes();
    let barrier = Arc::new(Barrier::new(worker_count + 1));
    let mut threads = Vec::new();
    for (worker_index, sockets) in sockets_by_worker.into_iter().enumerate() {
        let (run, barrier) = (Arc::clone(run), Arc::clone(&barrier));
        threads.push(std::thread::spawn(move || {
            let worker = Worker::new(&run, worker_index, worker_count, sockets);
            barrier.wait();
            worker?.run()
        }));
    }
    barrier.wait();
    let run_duration = Duration::from_micros(run.schedule.end - CLOCK_START);
    std::thread::sleep(run_duration.saturating_sub(MEMORY_MEASUREMENT_LEAD_TIME));
    let mut total =
        SocketRun { memory: (memory_before, resources::resident_bytes()), ..SocketRun::default() };
    for thread in threads {
        let part = thread.join().map_err(|_| io::Error::other("a worker thread panicked"))??;
        total.merge(part);
    }
    Ok(total)
}

impl SocketRun {
    fn merge(&mut self, part: SocketRun) {
        self.observations.extend(part.observations);
        self.lateness.merge(&part.lateness);
        self.cpu_ns.iter_mut().zip(part.cpu_ns).for_each(|(sum, spent)| *sum += spent);
        self.not_sent += part.not_sent;
    }
}

/// A timer of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum TimerKind {
    /// The action with this index in the schedule.
    Action(usize),
    /// The tick of this member.
    Tick(usize),
}

/// A worker thread with the sockets, timers and packets of its members.
struct Worker {
    run: Arc<Run>,
    shard: Shard,
    worker_count: usize,
    /// The members' sockets; the index is the member's number divided by `worker_count`.
    sockets: Vec<UdpSocket>,
    poll: Poll,
    /// Timers by due time.
    timers: BinaryHeap<Reverse<(Micros, TimerKind)>>,
    /// Packets sent by the members of this thread, by time of arrival.
    in_flight: BinaryHeap<Reverse<InFlightPacket>>,
    /// Packets that the last call into the shard has added, to be moved to `in_flight`.
    outgoing: Vec<InFlightPacket>,
    started_at: Instant,
    result: SocketRun,
}

impl Worker {
    fn new(
        run: &Arc<Run>,
        worker_index: usize,
        worker_count: usize,
        sockets: Vec<std::net::UdpSocket>,
    ) -> io::Result<Worker> {
        let poll = Poll::new()?;
        let mut sockets: Vec<UdpSocket> = sockets.into_iter().map(UdpSocket::from_std).collect();
        for (socket_index, socket) in sockets.iter_mut().enumerate() {
            poll.registry().register(socket, Token(socket_index), Interest::READABLE)?;
        }
        Ok(Worker {
            shard: Shard::new(Arc::clone(run), worker_index, worker_count),
            run: Arc::clone(run),
            worker_count,
            sockets,
            poll,
            timers: BinaryHeap::new(),
            in_flight: BinaryHeap::new(),
            outgoing: Vec::new(),
            started_at: Instant::now(),
            result: SocketRun::default(),
        })
    }

    fn now(&self) -> Micros {
        CLOCK_START + self.started_at.elapsed().as_micros() as Micros
    }

    fn run(mut self) -> io::Result<SocketRun> {
        self.started_at = Instant::now();
        self.start_members();
        let mut events = Events::with_capacity(MAX_EVENTS_PER_POLL);
        let (mut cpu_ns, mut readable) = (thread_cpu_ns(), Vec::new());
        loop {
            let now = self.now();
            if now >= self.run.schedule.end {
                break;
            }
            let phase = self.run.schedule.phase(now) as usize;
            self.fire_timers();
            self.send_due();
            let timeout = if readable.is_empty() { self.time_to_next_event() } else { Duration::ZERO };
            match self.poll.poll(&mut events, Some(timeout)) {
                Err(error) if error.kind() != io::ErrorKind::Interrupted => return Err(error),
                _ => {}
            }
            let mut ready = std::mem::take(&mut readable);
            ready.extend(events.iter().map(|event| event.token().0));
            for socket_index in ready {
                if self.read_socket(socket_index) {
                    readable.push(socket_index);
                }
            }
            let cpu_now_ns = thread_cpu_ns();
            self.result.cpu_ns[phase] += cpu_now_ns.saturating_sub(cpu_ns);
            cpu_ns = cpu_now_ns;
        }
        self.result.observations.push(self.shard.into_observations());
        Ok(self.result)
    }

    /// Starts each member, and adds the timers of their ticks and scheduled actions.
    fn start_members(&mut self) {
        let members = self.run.addresses.len();
        for member in self.shard.members() {
            let at = first_start_time(member, members);
            self.shard.on_action(at, &first_start_action(member, at), &mut self.outgoing);
            self.timers.push(Reverse((at + TICK_INTERVAL, TimerKind::Tick(member))));
        }
        self.queue_outgoing();
        for (index, action) in self.run.schedule.actions.iter().enumerate() {
            if action.member % self.worker_count == self.shard.index() {
                self.timers.push(Reverse((action.at, TimerKind::Action(index))));
            }
        }
    }

    fn fire_timers(&mut self) {
        loop {
            let now = self.now();
            let Some(Reverse((due, kind))) = self.timers.peek().copied() else { return };
            if due > now {
                return;
            }
            self.timers.pop();
            if self.run.schedule.phase(now) != Phase::WarmUp {
                self.result.lateness.on_timer(due, now);
            }
            match kind {
                TimerKind::Action(index) => {
                    self.shard.on_action(now, &self.run.schedule.actions[index], &mut self.outgoing);
                }
                TimerKind::Tick(member) => {
                    self.shard.on_tick(now, member, &mut self.outgoing);
                    // Missed ticks are skipped.
                    let next =
                        if now < due + TICK_INTERVAL { due + TICK_INTERVAL } else { now + TICK_INTERVAL };
                    self.timers.push(Reverse((next, TimerKind::Tick(member))));
                }
            }
            self.queue_outgoing();
        }
    }

    fn queue_outgoing(&mut self) {
        self.in_flight.extend(self.outgoing.drain(..).map(Reverse));
    }

    fn send_due(&mut self) {
        let now = self.now();
        while self.in_flight.peek().is_some_and(|Reverse(packet)| packet.arrival <= now) {
            let Some(Reverse(packet)) = self.in_flight.pop() else { return };
            let socket = &self.sockets[packet.from / self.worker_count];
            if socket.send_to(&packet.bytes, self.run.addresses[packet.to]).is_err() {
                self.result.not_sent += 1;
            }
        }
    }

    fn time_to_next_event(&self) -> Duration {
        let timer = self.timers.peek().map(|Reverse((due, _))| *due);
        let packet = self.in_flight.peek().map(|Reverse(packet)| packet.arrival);
        let next = timer.into_iter().chain(packet).min().unwrap_or(self.run.schedule.end);
        Duration::from_micros(next.min(self.run.schedule.end).saturating_sub(self.now()))
    }

    /// Reads packets from a socket. Returns whether there may be more.
    fn read_socket(&mut self, socket_index: usize) -> bool {
        let member = socket_index * self.worker_count + self.shard.index();
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        for _ in 0..MAX_READS_PER_TURN {
            match self.sockets[socket_index].recv_from(&mut buffer) {
                Ok((length, from)) => {
                    let now = self.now();
                    self.shard.on_datagram(now, member, from, &buffer[..length], &mut self.outgoing);
                    self.queue_outgoing();
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return false,
                // The error of an earlier send to a closed port; the next read may succeed.
                Err(_) => {}
            }
        }
        true
    }
}
