//! Members that join, leave and come back, halves that were cut, and a flood of made-up names.

use std::net::Ipv4Addr;

use super::*;
use crate::virtual_network::times;

fn address(number: usize) -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 1_000 + number as u16).into()
}

fn member(number: usize, life: u64) -> Membership {
    let name = Name { address: address(number), life };
    Membership::new(name, vec![address(0), address(1)], number as u64 ^ life << 32, Micros::ZERO)
}

/// Runs them for so long, 5 ms a packet; `cut` tells which pairs do not hear each other.
fn run(all: &mut [Option<Membership>], from: Micros, to: Micros, cut: impl Fn(usize, usize) -> bool) -> u64 {
    type Packet = Reverse<(Micros, u64, usize, Vec<u8>)>;
    let mut packets: BinaryHeap<Packet> = BinaryHeap::new();
    let mut sent = 0;
    for now in times(from, to, Micros::from_millis(10)) {
        while packets.peek().is_some_and(|Reverse((at, ..))| *at <= now) {
            let Some(Reverse((_, _, whom, bytes))) = packets.pop() else { break };
            all[whom].iter_mut().for_each(|one| one.heard(now, &bytes));
        }
        for (number, one) in all.iter_mut().enumerate() {
            let Some(one) = one else { continue };
            one.tick(now);
            for (to, bytes) in one.drain().collect::<Vec<_>>() {
                let whom = usize::from(to.port()) - 1_000;
                sent += 1;
                assert!(bytes.len() + HEAD <= LONGEST);
                if whom < 64 && !cut(number, whom) {
                    packets.push(Reverse((now + Micros::from_millis(5), sent, whom, bytes)));
                }
            }
        }
    }
    sent
}

fn alive(all: &[Option<Membership>]) -> Vec<usize> {
    all.iter().flatten().map(|one| one.counts().alive).collect()
}

#[test]
fn members_join_by_seeds_are_forgotten_when_gone_and_come_back_in_a_new_life() {
    let mut all: Vec<_> = (0..20).map(|number| Some(member(number, 1))).collect();
    run(&mut all, Micros::ZERO, Micros::from_secs(3), |_, _| false);
    assert_eq!(alive(&all), [20; 20], "all know all within three seconds");
    all[5] = None;
    all[0] = None;
    run(&mut all, Micros::from_secs(3), Micros::from_secs(20), |_, _| false);
    assert_eq!(alive(&all), [18; 18]);
    all[5] = Some(member(5, 2));
    all[0] = Some(member(0, 2));
    let sent = run(&mut all, Micros::from_secs(20), Micros::from_secs(30), |_, _| false);
    assert_eq!(alive(&all), [20; 20]);
    assert!(sent < 20 * 10 * 7, "{} packets a second a member", sent as f64 / 200.0);
}

#[test]
fn halves_that_were_cut_find_each_other_again() {
    let mut all: Vec<_> = (0..16).map(|number| Some(member(number, 1))).collect();
    run(&mut all, Micros::ZERO, Micros::from_secs(4), |_, _| false);
    run(&mut all, Micros::from_secs(4), Micros::from_secs(30), |a, b| a < 8 && b >= 8 || a >= 8 && b < 8);
    assert_eq!(alive(&all), [8; 16]);
    run(&mut all, Micros::from_secs(30), Micros::from_secs(42), |_, _| false);
    assert_eq!(alive(&all), [16; 16]);
}

/// Members that do not exist, made up by the hundred, packet after packet.
#[test]
fn a_flood_of_names_and_of_nonsense_fills_nothing() {
    let mut one = member(0, 1);
    let mut chance = ChaCha8Rng::seed_from_u64(1);
    for number in 0..20_000u64 {
        let made_up = Name { address: address(64 + number as usize % 60_000), life: 1 };
        let mut liar = Membership::new(made_up, vec![address(0)], number, Micros::ZERO);
        let packets: Vec<_> = liar.drain().collect();
        packets.iter().for_each(|(_, bytes)| one.heard(Micros(number * 100), bytes));
        let nonsense: Vec<u8> = (0..chance.random_range(0..300)).map(|_| chance.random()).collect();
        one.heard(Micros(number * 100), &nonsense);
        assert!(one.swim.iter_membership_state().len() <= MOST_KNOWN + 100);
        assert!(one.timers.len() <= MOST_TIMERS);
        one.drain();
    }
    assert!(one.restarts > 0 && one.dropped > 10_000, "{} {}", one.restarts, one.dropped);
}
