//! Fleets in virtual time: drawn networks, kills, freezes and clocks, the bound asserted at each request that begins.

use std::collections::VecDeque;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::*;
use crate::virtual_network::{address, Arrival, Conditions, Partition, VirtualNetwork};

/// What is scheduled beside what the network does.
#[derive(Debug)]
enum Scheduled {
    /// A request of a member, which waits until then.
    Command(usize, Micros),
    /// A process that was killed starts anew.
    Start(usize),
}

/// How long a request waits for a unit, as a read does at the origin.
const WAITS: Micros = Micros::from_millis(200);

/// By how much at most a late packet is late: half by little more than a lease bears, half by far more.
const LATE_DELAYS: &[Micros] = &[Micros::from_secs(2), Micros::from_secs(8)];

/// How bad a fleet's world is.
#[derive(Clone, Copy, Debug)]
struct World {
    members: usize,
    holders: u32,
    whole: u32,
    /// By how much requests differ in the time that they take.
    spread: Micros,
    seconds: u64,
    /// Requests a second of all members, and the share of the first fifth of them.
    rate: f64,
    uneven: f64,
    loss: f64,
    repeat: f64,
    /// The longest usual delay, and the share of packets that come up to eight seconds late.
    delay: Micros,
    late: f64,
    drift: f64,
    kills: usize,
    freezes: usize,
    cuts: usize,
    flaw: Option<Flaw>,
    /// A process uses what is its own at once when it starts.
    hasty: bool,
    /// Units are for one second, whatever the time that requests take.
    one_second: bool,
}

/// What a fleet did.
#[derive(Debug, Default)]
struct Played {
    begun: Vec<(Micros, usize)>,
    denied: u64,
    packets: u64,
    /// The most that arrived in any second.
    most: usize,
}

struct Fleet {
    world: World,
    network: VirtualNetwork<Message, Scheduled>,
    /// Each member's part; none while its process is killed.
    members: Vec<Option<Shares>>,
    near: VecDeque<Micros>,
    played: Played,
}

fn terms(world: &World) -> Terms {
    let spread = if world.one_second { Micros::ZERO } else { world.spread };
    Terms { whole: world.whole, spread, holders: world.holders, lease: Micros::from_secs(2), drift: 0.001 }
}

fn play(seed: u64, world: World) -> Played {
    let conditions = Conditions {
        loss: world.loss,
        repeat: world.repeat,
        least_delay: Micros(500),
        delay: world.delay,
        late: world.late,
        latest: LATE_DELAYS,
        drift: world.drift,
    };
    let mut fleet = Fleet {
        world,
        network: VirtualNetwork::new(seed, world.members, conditions),
        members: (0..world.members).map(|_| None).collect(),
        near: VecDeque::new(),
        played: Played::default(),
    };
    fleet.run();
    fleet.played.packets = fleet.network.packets;
    fleet.played
}

impl Fleet {
    fn run(&mut self) {
        let world = self.world;
        let end = Micros::from_secs(world.seconds);
        for one in 0..world.members {
            self.start(one);
        }
        self.network.schedule_kills(world.kills, end);
        self.network.schedule_freezes(world.freezes, end, Micros::from_secs(6));
        for _ in 0..world.cuts {
            let at = self.network.draw(end);
            let (second_side, one_way) = (self.network.rng.random(), self.network.rng.random());
            let lasts = self.network.draw(Micros::from_secs(5));
            self.network.schedule_cut(at, at + lasts, Partition { second_side, one_way });
        }
        self.schedule_commands(end);
        while let Some(arrival) = self.network.next(end) {
            self.step(arrival);
        }
    }

    fn schedule_commands(&mut self, end: Micros) {
        let World { members, rate, uneven, .. } = self.world;
        let mut at = 0.0;
        while at < end.as_f64() {
            let rng = &mut self.network.rng;
            at += -(1.0 - rng.random::<f64>()).ln() / rate * 1e6;
            let first = (members / 5).max(1);
            let many = if rng.random::<f64>() < uneven { 0..first } else { 0..members };
            let who = rng.random_range(many);
            self.network.schedule_for(
                Micros(at as u64),
                who,
                Scheduled::Command(who, Micros(at as u64) + WAITS),
            );
        }
    }

    fn start(&mut self, who: usize) {
        let now = self.network.clock(who);
        self.network.start(who);
        let life = self.network.life(who);
        let mut shares = Shares::new(terms(&self.world), who as u32, u64::from(life), now);
        shares.flaw = InjectedDefect::given(self.world.flaw);
        if self.world.hasty || life == 1 {
            // The first of all lives has nothing before it.
            shares.from = now;
        }
        self.members[who] = Some(shares);
    }

    fn step(&mut self, arrival: Arrival<Message, Scheduled>) {
        match arrival {
            Arrival::Tick(who) => {
                let now = self.network.clock(who);
                if let Some(shares) = &mut self.members[who] {
                    shares.tick(now, || self.network.draw_peer(who));
                }
                self.send(who);
                let rest = Micros::from_millis(45) + self.network.draw(Micros::from_millis(10));
                self.network.tick_after(who, rest);
            }
            Arrival::Packet { from, to, message } => {
                let now = self.network.clock(to);
                if let Some(shares) = &mut self.members[to] {
                    shares.heard(now, address(from), message);
                }
                self.send(to);
            }
            Arrival::Killed(who) => {
                self.members[who] = None;
                let back = self.network.now() + self.network.draw(Micros::from_secs(2));
                self.network.schedule(back, Scheduled::Start(who));
            }
            Arrival::Scheduled(Scheduled::Command(who, until)) => self.command(who, until),
            Arrival::Scheduled(Scheduled::Start(who)) => self.start(who),
        }
    }

    /// A request wants to begin: the bound is asserted here, at each of them, by the fleet's own time.
    fn command(&mut self, who: usize, until: Micros) {
        let (now, true_now) = (self.network.clock(who), self.network.now());
        let Some(shares) = &mut self.members[who] else { return };
        let wait = shares.wait(now).min(Micros::from_millis(20));
        if !wait.is_zero() && true_now + wait < until {
            self.network.schedule_for(true_now + wait, who, Scheduled::Command(who, until));
            return;
        }
        if !wait.is_zero() {
            shares.denied(now);
            self.played.denied += 1;
            return;
        }
        shares.took(now);
        // What arrives up to the spread later is counted by the windows that begin at it, once all of them are known.
        let arrives = true_now + self.network.draw(self.world.spread + Micros(1));
        let at = self.near.partition_point(|at| *at <= arrives);
        self.near.insert(at, arrives);
        for (place, begin) in self.near.iter().enumerate() {
            let end = self.near.partition_point(|at| *at < *begin + Micros::SECOND);
            self.played.most = self.played.most.max(end - place);
        }
        let over = true_now.saturating_sub(Micros::SECOND + self.world.spread);
        while self.near.front().is_some_and(|at| *at < over) {
            self.near.pop_front();
        }
        self.played.begun.push((true_now, who));
    }

    fn send(&mut self, who: usize) {
        if let Some(shares) = &mut self.members[who] {
            self.network.send(who, shares.drain());
        }
    }
}

const CALM: World = World {
    members: 10,
    holders: 10,
    whole: 40,
    spread: Micros::ZERO,
    seconds: 20,
    rate: 80.0,
    uneven: 0.0,
    loss: 0.0,
    repeat: 0.0,
    delay: Micros::from_millis(5),
    late: 0.0,
    drift: 0.0,
    kills: 0,
    freezes: 0,
    cuts: 0,
    flaw: None,
    hasty: false,
    one_second: false,
};

/// A world as bad as the terms allow for, drawn.
fn drawn(seed: u64) -> World {
    let mut chance = ChaCha8Rng::seed_from_u64(seed);
    let members = chance.random_range(2..9);
    let mut up_to = |most: f64| most * chance.random::<f64>();
    let (rate, uneven) = (up_to(150.0) + 10.0, up_to(1.0));
    let (loss, repeat, late) = (up_to(0.5), up_to(0.2), up_to(0.4));
    let (delay, drift) = (Micros(up_to(300_000.0) as u64 + 1), up_to(0.001));
    World {
        members,
        holders: chance.random_range(1..2 * members as u32),
        whole: chance.random_range(1..60),
        spread: if chance.random() { Micros::ZERO } else { Micros(chance.random_range(0..200_000)) },
        seconds: 14,
        rate,
        uneven,
        loss,
        repeat,
        late,
        delay,
        drift,
        kills: chance.random_range(0..8),
        freezes: chance.random_range(0..5),
        cuts: chance.random_range(0..4),
        ..CALM
    }
}

/// Seeds of the schedules that are drawn in each run of the tests.
const SCHEDULES: u64 = 2_000;

#[test]
fn the_whole_is_never_exceeded_whatever_fails() {
    let mut used = 0;
    for seed in 0..SCHEDULES {
        let world = drawn(seed);
        let played = play(seed, world);
        assert!(
            played.most <= terms(&world).units() as usize,
            "seed {seed}: {} of {}: {world:?}",
            played.most,
            world.whole
        );
        used += played.begun.len();
    }
    assert!(used > 100_000, "the limits have to have been used: {used}");
}

/// Each machine that is broken on purpose is caught by the same schedules.
#[test]
fn machines_that_are_broken_on_purpose_are_caught() {
    let flaws = [Flaw::LeaseFromReceipt, Flaw::OrderNotKept, Flaw::OldLifeObeyed].map(Some);
    for (flaw, hasty) in flaws.into_iter().map(|flaw| (flaw, false)).chain([(None, true)]) {
        let caught = (0..10 * SCHEDULES).find(|seed| {
            let world = World { flaw, hasty, ..drawn(*seed) };
            play(*seed, world).most > terms(&world).units() as usize
        });
        println!("{flaw:?}, hasty {hasty}: caught by {caught:?}");
        assert!(caught.is_some(), "{flaw:?}, hasty {hasty}: not caught");
    }
}

fn share_used(played: &Played, world: &World, from: u64, to: u64) -> f64 {
    let within = played
        .begun
        .iter()
        .filter(|(at, _)| (Micros::from_secs(from)..Micros::from_secs(to)).contains(at))
        .count();
    within as f64 / (f64::from(world.whole) * (to - from) as f64)
}

/// Where requests differ in the time that they take, units for one second let more arrive in one than a bound by rates says.
#[test]
fn units_for_one_second_would_not_hold_where_commands_arrive() {
    let world = World { spread: Micros::from_millis(100), whole: 20, rate: 60.0, ..CALM };
    let over = |world: World| {
        let allowed = |most: usize| most as f64 > 1.1 * f64::from(world.whole);
        (0..20).filter(|seed| allowed(play(*seed, world).most)).count()
    };
    assert_eq!(over(world), 0);
    assert!(over(World { one_second: true, ..world }) > 0);
}

/// Four fifths of the demand at a fifth of the members, twice the whole in all.
#[test]
fn shares_follow_an_uneven_demand() {
    let world = World { members: 50, holders: 50, whole: 200, rate: 400.0, uneven: 0.75, ..CALM };
    let played = play(1, world);
    let used = share_used(&played, &world, 4, 20);
    println!("{used} {}", played.packets as f64 / 20.0 / 50.0);
    assert!(used > 0.85, "{used}");
    let lossy = World { loss: 0.3, repeat: 0.05, delay: Micros::from_millis(50), ..world };
    let used = share_used(&play(1, lossy), &lossy, 4, 20);
    assert!(used > 0.8, "with loss: {used}");
}

#[test]
fn a_member_that_hears_nobody_has_its_own_part() {
    let world = World { loss: 1.0, whole: 40, rate: 200.0, ..CALM };
    let played = play(1, world);
    for who in 0..10 {
        let own = played.begun.iter().filter(|(_, by)| *by == who).count() as f64 / 20.0;
        assert!((3.5..=4.0).contains(&own), "{who}: {own} a second of 4");
    }
}

#[test]
fn positions_divide_the_whole_and_none_beyond_the_holders_owns_any() {
    for (whole, holders) in [(400, 300), (7, 3), (3, 7), (1, 1), (600, 100)] {
        let terms = Terms { whole, spread: Micros::ZERO, holders, lease: Micros::SECOND, drift: 0.0 };
        let owned: Vec<u32> = (0..2 * holders).map(|position| terms.own(position)).collect();
        assert_eq!(owned.iter().sum::<u32>(), whole);
        let (least, most) = (owned[..holders as usize].iter().min(), owned.iter().max());
        assert!(
            most.unwrap() - least.unwrap() <= 1 && owned[holders as usize..].iter().all(|units| *units == 0)
        );
    }
}

/// Prints the use of a whole that is half of the demand, four fifths of which come to a fifth of the members, and what
/// that costs; by hand: `cargo test --release -p juniperladder-cluster curves -- --ignored --nocapture`.
#[test]
#[ignore = "a table, by hand"]
fn curves() {
    println!(
        "{:>8} {:>6} {:>5}  {:>22}  packets a second a member",
        "members", "whole", "loss", "use, three seeds"
    );
    for (members, whole) in [(10, 40), (50, 200), (100, 300), (100, 600), (300, 600), (500, 1_000)] {
        for loss in [0.0, 0.3] {
            let rate = 2.0 * f64::from(whole);
            let holders = members as u32;
            let world = World {
                members,
                holders,
                whole,
                rate,
                uneven: 0.75,
                loss,
                delay: Micros::from_millis(25),
                ..CALM
            };
            let played: Vec<Played> = (1..4).map(|seed| play(seed, world)).collect();
            let used: Vec<String> =
                played.iter().map(|p| format!("{:.3}", share_used(p, &world, 4, 20))).collect();
            assert!(played.iter().all(|p| p.most <= terms(&world).units() as usize));
            let packets = played[0].packets as f64 / world.seconds as f64 / members as f64;
            println!("{members:>8} {whole:>6} {loss:>5}  {:>22}  {packets:.1}", used.join(" "));
        }
    }
    // Where less is wanted than there is, what is given up is lost to the units' small numbers.
    for (share, uneven) in [(0.5, 0.0), (0.7, 0.0), (0.9, 0.0), (0.5, 0.5), (0.7, 0.5)] {
        let world = World { members: 100, holders: 100, whole: 500, delay: Micros::from_millis(25), ..CALM };
        let world = World { rate: share * 500.0, uneven, ..world };
        let played: Vec<Played> = (1..=3).map(|seed| play(seed, world)).collect();
        let given_up = |p: &Played| p.denied as f64 / (p.denied + p.begun.len() as u64) as f64;
        let lost: Vec<String> = played.iter().map(|p| format!("{:.4}", given_up(p))).collect();
        let packets = played.iter().map(|p| p.packets).sum::<u64>() as f64 / 3.0 / 20.0 / 100.0;
        println!(
            "wanted {share} of the whole, uneven {uneven}: given up {}  packets {packets:.1}",
            lost.join(" ")
        );
    }
}
