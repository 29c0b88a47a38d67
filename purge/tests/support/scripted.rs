//! A control plane whose links a test opens, cuts and holds step by step.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};

use juniperladder_purge::injected_defect::{InjectedDefect, InjectedDefects};
use juniperladder_purge::{
    CatchUp, Member, MemberConfig, MemberId, MemberTiming, Micros, PurgeEvent, PurgeId, PurgeStatus, Replica,
    ReplicaConfig, ReplicaId, ReplicaSettings,
};

const STEP_MILLIS: u64 = 10;
const STEP: Micros = Micros::from_millis(STEP_MILLIS);
const FIRST_PORT: u16 = 1_000;
/// Maximum number of datagrams per link that can be delivered again.
const MAX_REMEMBERED_DATAGRAMS: usize = 64;

/// How a link treats its datagrams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkState {
    /// Delivers datagrams.
    Open,
    /// Drops datagrams.
    Cut,
    /// Keeps datagrams until the link is open again.
    Held,
}

#[derive(Debug)]
enum StateMachine {
    Replica(Replica),
    /// A member and the keys that it has purged.
    Member {
        member: Member,
        purged: Vec<Vec<u8>>,
    },
}

/// A control plane of replicas and members. Nodes are numbered: replicas first, then members.
pub struct ControlPlane {
    pub now: Micros,
    replicas: usize,
    injected_defect: Option<InjectedDefect>,
    state_machines: Vec<Option<StateMachine>>,
    incarnations: Vec<u64>,
    /// State of links, by sender and recipient; other links are open.
    links: HashMap<(usize, usize), LinkState>,
    /// Sender, recipient and bytes of each datagram in flight.
    in_flight: Vec<(usize, usize, Vec<u8>)>,
    /// The latest datagrams of each link, by sender and recipient.
    remembered: HashMap<(usize, usize), Vec<Vec<u8>>>,
}

fn address(node: usize) -> SocketAddr {
    (Ipv4Addr::LOCALHOST, FIRST_PORT + node as u16).into()
}

impl ControlPlane {
    /// Creates a control plane with bootstrapped replicas, and members that don't run yet.
    pub fn new(replicas: usize, members: usize, injected_defect: Option<InjectedDefect>) -> ControlPlane {
        let count = replicas + members;
        let mut control_plane = ControlPlane {
            now: Micros::ZERO,
            replicas,
            injected_defect,
            state_machines: (0..count).map(|_| None).collect(),
            incarnations: vec![0; count],
            links: HashMap::new(),
            in_flight: Vec::new(),
            remembered: HashMap::new(),
        };
        for replica in 0..replicas {
            control_plane.start_replica(replica, true);
        }
        control_plane.run(1_000);
        control_plane
    }

    fn start_replica(&mut self, replica: usize, bootstrap: bool) {
        self.incarnations[replica] += 1;
        let settings = ReplicaSettings {
            round_timeout: Micros::from_secs(3),
            injected_defects: InjectedDefects::with(self.injected_defect),
            ..ReplicaSettings::default()
        };
        let config = ReplicaConfig {
            replica: ReplicaId(replica as u8),
            incarnation: self.incarnations[replica],
            replicas: (0..self.replicas).map(address).collect(),
            bootstrap,
            seed: self.incarnations[replica],
            settings,
        };
        self.state_machines[replica] = Some(StateMachine::Replica(Replica::new(config, self.now)));
    }

    /// Replaces a replica's process by a new one without state.
    pub fn restart_replica(&mut self, replica: usize) {
        self.start_replica(replica, false);
    }

    /// Starts a member with these replicas in preference order.
    pub fn start_member(&mut self, node: usize, preferred: &[usize]) {
        self.incarnations[node] += 1;
        let config = MemberConfig {
            member: MemberId(node as u32),
            incarnation: self.incarnations[node],
            replicas: (0..self.replicas).map(address).collect(),
            preferred: preferred.iter().map(|replica| ReplicaId(*replica as u8)).collect(),
            catch_up: CatchUp::Replay,
            seed: 1,
            timing: MemberTiming {
                injected_defects: InjectedDefects::with(self.injected_defect),
                ..MemberTiming::default()
            },
        };
        let member = Member::new(config, self.now);
        self.state_machines[node] = Some(StateMachine::Member { member, purged: Vec::new() });
    }

    fn set_links(&mut self, sides: (&[usize], &[usize]), link_state: LinkState) {
        for from in sides.0 {
            for to in sides.1 {
                self.links.insert((*from, *to), link_state);
            }
        }
    }

    /// Cuts the links between two sets of nodes in both directions; datagrams in flight are lost.
    pub fn cut(&mut self, side: &[usize], other_side: &[usize]) {
        let crosses = |from, to| side.contains(&from) && other_side.contains(&to);
        self.in_flight.retain(|(from, to, _)| !crosses(*from, *to) && !crosses(*to, *from));
        self.set_links((side, other_side), LinkState::Cut);
        self.set_links((other_side, side), LinkState::Cut);
    }

    /// Opens the links between two sets of nodes in both directions; held datagrams are delivered.
    pub fn heal(&mut self, side: &[usize], other_side: &[usize]) {
        self.set_links((side, other_side), LinkState::Open);
        self.set_links((other_side, side), LinkState::Open);
    }

    /// Holds the datagrams from one node to another.
    pub fn hold_link(&mut self, from: usize, to: usize) {
        self.set_links((&[from], &[to]), LinkState::Held);
    }

    /// Opens the link from one node to another; held datagrams are delivered.
    pub fn open_link(&mut self, from: usize, to: usize) {
        self.set_links((&[from], &[to]), LinkState::Open);
    }

    /// Delivers the latest datagrams from one node to another again.
    pub fn redeliver(&mut self, from: usize, to: usize) {
        for bytes in self.remembered.get(&(from, to)).cloned().unwrap_or_default() {
            self.in_flight.push((from, to, bytes));
        }
    }

    /// Runs one step, in which the datagrams of the previous step arrive.
    pub fn step(&mut self) {
        self.run(STEP_MILLIS);
    }

    /// Runs for some milliseconds of virtual time.
    pub fn run(&mut self, milliseconds: u64) {
        let end = self.now + Micros::from_millis(milliseconds);
        while self.now < end {
            self.now += STEP;
            self.deliver();
            for node in 0..self.state_machines.len() {
                match &mut self.state_machines[node] {
                    Some(StateMachine::Replica(replica)) => replica.on_tick(self.now),
                    Some(StateMachine::Member { member, .. }) => member.on_tick(self.now),
                    None => {}
                }
                self.collect_output(node);
            }
        }
    }

    fn link_state(&self, from: usize, to: usize) -> LinkState {
        self.links.get(&(from, to)).copied().unwrap_or(LinkState::Open)
    }

    fn deliver(&mut self) {
        for (from, to, bytes) in std::mem::take(&mut self.in_flight) {
            if self.link_state(from, to) == LinkState::Held {
                self.in_flight.push((from, to, bytes));
                continue;
            }
            match &mut self.state_machines[to] {
                Some(StateMachine::Replica(replica)) => replica.on_datagram(self.now, address(from), &bytes),
                Some(StateMachine::Member { member, .. }) => {
                    member.on_datagram(self.now, address(from), &bytes);
                }
                None => {}
            }
            self.collect_output(to);
        }
    }

    fn collect_output(&mut self, node: usize) {
        let datagrams = match &mut self.state_machines[node] {
            Some(StateMachine::Replica(replica)) => replica.drain(),
            Some(StateMachine::Member { member, purged }) => {
                for event in member.drain_events() {
                    if let PurgeEvent::Key(key) = event {
                        purged.push(key);
                    }
                }
                member.drain()
            }
            None => Vec::new(),
        };
        for (to, bytes) in datagrams {
            let to = usize::from(to.port() - FIRST_PORT);
            let remembered = self.remembered.entry((node, to)).or_default();
            remembered.push(bytes.clone());
            if remembered.len() > MAX_REMEMBERED_DATAGRAMS {
                remembered.remove(0);
            }
            if self.link_state(node, to) != LinkState::Cut {
                self.in_flight.push((node, to, bytes));
            }
        }
    }

    pub fn publish(&mut self, replica: usize, key: &[u8]) -> PurgeId {
        let Some(StateMachine::Replica(state_machine)) = &mut self.state_machines[replica] else {
            panic!("the node runs no replica")
        };
        let id = state_machine.publish(self.now, key).expect("the replica accepts the purge");
        self.collect_output(replica);
        id
    }

    pub fn status(&self, replica: usize, id: PurgeId) -> PurgeStatus {
        let Some(StateMachine::Replica(state_machine)) = &self.state_machines[replica] else {
            panic!("the node runs no replica")
        };
        state_machine.status(id)
    }

    pub fn has_recovered(&self, replica: usize) -> bool {
        matches!(&self.state_machines[replica], Some(StateMachine::Replica(state_machine)) if !state_machine.metrics().recovering)
    }

    pub fn replica(&mut self, node: usize) -> &mut Replica {
        match &mut self.state_machines[node] {
            Some(StateMachine::Replica(replica)) => replica,
            _ => panic!("the node runs no replica"),
        }
    }

    pub fn member(&mut self, node: usize) -> &mut Member {
        match &mut self.state_machines[node] {
            Some(StateMachine::Member { member, .. }) => member,
            _ => panic!("the node runs no member"),
        }
    }

    /// Ends a node's process abruptly.
    pub fn kill(&mut self, node: usize) {
        self.state_machines[node] = None;
    }

    pub fn may_serve(&self, node: usize) -> bool {
        matches!(&self.state_machines[node], Some(StateMachine::Member { member, .. }) if member.may_serve(self.now))
    }

    pub fn has_purged(&self, node: usize, key: &[u8]) -> bool {
        matches!(&self.state_machines[node], Some(StateMachine::Member { purged, .. })
            if purged.iter().any(|purged| purged == key))
    }

    /// Whether the guarantee is breached: the purge is reported as done, and a member serves without it.
    pub fn is_breached(&self, replica: usize, id: PurgeId, key: &[u8], member: usize) -> bool {
        let is_done = self.status(replica, id) == PurgeStatus::Done;
        is_done && self.may_serve(member) && !self.has_purged(member, key)
    }
}
