//! Members that join, fail and return, network partitions, and floods of nonexistent members.

use std::net::Ipv4Addr;

use super::*;
use crate::virtual_network::times;

const FIRST_PORT: u16 = 1_000;
const PACKET_DELAY: Micros = Micros::from_millis(5);
/// Members of a test have numbers below this bound; nonexistent members have numbers from the bound on.
const MAX_TEST_MEMBERS: usize = 64;

fn address(number: usize) -> SocketAddr {
    (Ipv4Addr::LOCALHOST, FIRST_PORT + number as u16).into()
}

fn member(number: usize, incarnation: u64) -> Membership {
    let member = MemberId { address: address(number), incarnation };
    let seeds = vec![address(0), address(1)];
    Membership::new(member, seeds, number as u64 ^ incarnation << 32, Micros::ZERO)
}

/// A packet in flight; packets that arrive at the same time are delivered in the order in which they were sent.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct PacketInFlight {
    arrives: Micros,
    sequence: u64,
    to: usize,
    bytes: Vec<u8>,
}

/// Members, `None` for a process that has stopped, and the packets between them.
struct Fleet {
    members: Vec<Option<Membership>>,
    packets: BinaryHeap<Reverse<PacketInFlight>>,
    sent: u64,
}

impl Fleet {
    fn new(members: usize) -> Fleet {
        let members = (0..members).map(|number| Some(member(number, 1))).collect();
        Fleet { members, packets: BinaryHeap::new(), sent: 0 }
    }

    /// Runs the members from one second to another; packets between pairs for which `is_partitioned` is true are lost. Returns
    /// the number of packets sent.
    fn run(&mut self, from_s: u64, until_s: u64, is_partitioned: impl Fn(usize, usize) -> bool) -> u64 {
        self.packets.clear();
        self.sent = 0;
        for now in times(Micros::from_secs(from_s), Micros::from_secs(until_s), Micros::from_millis(10)) {
            self.deliver(now);
            for number in 0..self.members.len() {
                self.tick(now, number, &is_partitioned);
            }
        }
        self.sent
    }

    fn deliver(&mut self, now: Micros) {
        while self.packets.peek().is_some_and(|Reverse(packet)| packet.arrives <= now) {
            let Some(Reverse(packet)) = self.packets.pop() else { break };
            if let Some(member) = &mut self.members[packet.to] {
                member.on_packet(now, &packet.bytes);
            }
        }
    }

    fn tick(&mut self, now: Micros, number: usize, is_partitioned: impl Fn(usize, usize) -> bool) {
        let Some(member) = &mut self.members[number] else { return };
        member.tick(now);
        for (to, bytes) in member.drain() {
            let to = usize::from(to.port() - FIRST_PORT);
            self.sent += 1;
            assert!(bytes.len() + HEADER_BYTES <= MAX_PACKET_BYTES);
            if to < MAX_TEST_MEMBERS && !is_partitioned(number, to) {
                let packet = PacketInFlight { arrives: now + PACKET_DELAY, sequence: self.sent, to, bytes };
                self.packets.push(Reverse(packet));
            }
        }
    }

    /// The number of live members that each process knows.
    fn alive(&self) -> Vec<usize> {
        self.members.iter().flatten().map(|member| member.counts().alive).collect()
    }
}

#[test]
fn members_join_through_seeds_are_removed_when_down_and_rejoin_as_a_new_incarnation() {
    let mut fleet = Fleet::new(20);
    fleet.run(0, 3, |_, _| false);
    assert_eq!(fleet.alive(), [20; 20], "some member does not know all others after three seconds");
    fleet.members[5] = None;
    fleet.members[0] = None;
    fleet.run(3, 20, |_, _| false);
    assert_eq!(fleet.alive(), [18; 18]);
    fleet.members[5] = Some(member(5, 2));
    fleet.members[0] = Some(member(0, 2));
    let sent = fleet.run(20, 30, |_, _| false);
    assert_eq!(fleet.alive(), [20; 20]);
    assert!(sent < 20 * 10 * 7, "{} packets a second a member", sent as f64 / 200.0);
}

#[test]
fn halves_rejoin_after_a_network_partition() {
    let mut fleet = Fleet::new(16);
    fleet.run(0, 4, |_, _| false);
    fleet.run(4, 30, |from, to| (from < 8) != (to < 8));
    assert_eq!(fleet.alive(), [8; 16]);
    fleet.run(30, 42, |_, _| false);
    assert_eq!(fleet.alive(), [16; 16]);
}

/// Guards against unbounded memory: each packet announces another member that does not exist, and malformed packets follow.
#[test]
fn flood_of_nonexistent_members_and_malformed_packets_is_bounded_in_memory() {
    let mut flooded = member(0, 1);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for number in 0..20_000u64 {
        let now = Micros(number * 100);
        let nonexistent_address = address(MAX_TEST_MEMBERS + number as usize % 60_000);
        let nonexistent_id = MemberId { address: nonexistent_address, incarnation: 1 };
        let mut nonexistent_member = Membership::new(nonexistent_id, vec![address(0)], number, Micros::ZERO);
        for (_, bytes) in nonexistent_member.drain() {
            flooded.on_packet(now, &bytes);
        }
        let malformed: Vec<u8> = (0..rng.random_range(0..300)).map(|_| rng.random()).collect();
        flooded.on_packet(now, &malformed);
        assert!(flooded.swim.iter_membership_state().len() <= MAX_KNOWN_MEMBERS + 100);
        assert!(flooded.timers.len() <= MAX_TIMERS);
        flooded.drain();
    }
    let restarts = flooded.restarts();
    let dropped = flooded.dropped_packets();
    assert!(restarts > 0 && dropped > 10_000, "{restarts} restarts, {dropped} dropped packets");
}
