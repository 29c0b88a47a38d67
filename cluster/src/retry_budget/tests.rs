//! Simulated fleets in virtual time with the bound checked at each retry, and transfers that are not accepted.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::*;
use crate::virtual_network::{address, Arrival, Conditions, VirtualNetwork};

/// The event of this test in the network's schedule: members may begin attempts, and be killed or frozen.
#[derive(Debug)]
struct Step;

const STEP_INTERVAL: Micros = Micros::from_millis(5);
const END: Micros = Micros::from_secs(20);
/// The maximum duration of a freeze of a process.
const MAX_FREEZE_DURATION: Micros = Micros::from_secs(3);
/// The windows for which the bound is checked: a second, and the complete run.
const WINDOWS: [Micros; 2] = [Micros::SECOND, Micros::from_secs(30)];
/// The maximum age of credits: a first attempt pays for retries in a window that begins at most this much later.
const MAX_CREDIT_AGE: Micros = Micros::from_secs(2);
/// The maximum delay of a late packet.
const MAX_LATE_DELAYS: &[Micros] = &[Micros::from_secs(4)];

/// A fleet with lost, duplicated and late packets, restarts and freezes. Only the first member begins retries, and its demand
/// exceeds the credits that it earns.
struct Fleet {
    terms: RetryBudgetTerms,
    network: VirtualNetwork<Message, Step>,
    members: Vec<RetryBudget>,
    /// The times of the first attempts of all members, in order.
    first_attempts: Vec<Micros>,
    /// The times of the retries, in order.
    retries: Vec<Micros>,
    rejected: usize,
    is_bound_kept: bool,
}

/// The result of a run of a fleet.
struct RunResult {
    retries: usize,
    rejected: usize,
    /// Whether the bound held at each retry.
    is_bound_kept: bool,
}

fn run_fleet(seed: u64, retries_per_first_attempt: f64, duplicates_all: bool) -> RunResult {
    let members = ChaCha8Rng::seed_from_u64(seed).random_range(2..9);
    let conditions = Conditions {
        loss_ratio: 0.2,
        duplicate_ratio: if duplicates_all { 1.0 } else { 0.1 },
        min_delay: Micros::ZERO,
        max_jitter: Micros::from_millis(50),
        late_ratio: 0.05,
        max_late_delays: MAX_LATE_DELAYS,
        max_clock_drift: 0.0,
    };
    let max_saved_credits = 10.0 * members as f64;
    let terms = RetryBudgetTerms { retries_per_first_attempt, max_saved_credits, holders: members as u32 };
    let mut fleet = Fleet {
        terms,
        network: VirtualNetwork::new(seed, members, conditions),
        members: (0..members).map(|member| RetryBudget::new(terms, member as u32, 1)).collect(),
        first_attempts: Vec::new(),
        retries: Vec::new(),
        rejected: 0,
        is_bound_kept: true,
    };
    fleet.run();
    RunResult { retries: fleet.retries.len(), rejected: fleet.rejected, is_bound_kept: fleet.is_bound_kept }
}

impl Fleet {
    fn run(&mut self) {
        for member in 0..self.members.len() {
            self.network.start(member);
        }
        self.network.schedule(Micros::ZERO, Step);
        while let Some(arrival) = self.network.next(END) {
            self.on_arrival(arrival);
        }
    }

    fn on_arrival(&mut self, arrival: Arrival<Message, Step>) {
        match arrival {
            Arrival::Tick(member) => {
                let now = self.network.clock(member);
                self.members[member].tick(now, || self.network.random_peer(member));
                self.network.send(member, self.members[member].drain());
                self.network.tick_after(member, Micros::from_millis(50));
            }
            Arrival::Packet { from, to, message } => {
                let now = self.network.clock(to);
                self.members[to].on_message(now, address(from), message);
                self.network.send(to, self.members[to].drain());
            }
            Arrival::Killed(member) => {
                self.network.start(member);
                let incarnation = u64::from(self.network.incarnation(member));
                self.members[member] = RetryBudget::new(self.terms, member as u32, incarnation);
            }
            Arrival::Scheduled(Step) => self.step(),
        }
    }

    fn step(&mut self) {
        let member = self.network.random_member();
        match self.network.rng.random_range(0..1_000) {
            0 => self.network.schedule_kill(self.network.now(), member),
            1 => {
                let duration = self.network.random_time(MAX_FREEZE_DURATION);
                self.network.freeze(member, duration);
            }
            _ => {}
        }
        if !self.network.is_frozen(member) && self.network.rng.random::<f64>() < 0.5 {
            self.members[member].on_first_attempt();
            self.first_attempts.push(self.network.now());
        }
        if !self.network.is_frozen(0) && self.network.rng.random::<f64>() < 0.3 {
            self.retry();
        }
        self.network.schedule(self.network.now() + STEP_INTERVAL, Step);
    }

    /// Begins or rejects a retry at the first member.
    fn retry(&mut self) {
        let now = self.network.clock(0);
        if !self.members[0].has_credit(now) {
            self.members[0].on_rejected(now);
            self.rejected += 1;
            return;
        }
        self.members[0].acquire(now);
        self.retries.push(self.network.now());
        self.check_bound();
    }

    fn check_bound(&mut self) {
        let now = self.network.now();
        for window in WINDOWS {
            let from = now.0.checked_sub(window.0).map(Micros);
            let is_within = |at: Micros| from.is_none_or(|from| at > from);
            let retries = self.retries.iter().rev().take_while(|at| is_within(**at)).count() as f64;
            let may_be_spent = |at: &&Micros| is_within(**at + MAX_CREDIT_AGE);
            let first_attempts = self.first_attempts.iter().rev().take_while(may_be_spent).count() as f64;
            let bound = self.terms.retries_per_first_attempt * first_attempts + self.terms.max_saved_credits;
            self.is_bound_kept &= retries <= bound + 1e-6;
        }
    }
}

#[test]
fn retries_do_not_exceed_the_budget_in_random_fleets() {
    let mut retries = 0;
    let mut rejected = 0;
    for seed in 0..1_000 {
        let result = run_fleet(seed, 0.1, seed % 2 == 0);
        assert!(result.is_bound_kept, "seed {seed}: more retries than the budget allows");
        retries += result.retries;
        rejected += result.rejected;
    }
    assert!(rejected > 50_000, "the demand did not exceed the budget: only {rejected} rejections");
    // Of about 200 credits in a run the first member earns about 40 itself and receives most of the others.
    assert!(retries > 100_000, "only {retries} retries");
}

#[test]
fn duplicated_or_late_transfer_or_one_from_another_member_is_not_accepted() {
    let now = Micros::SECOND;
    let terms = RetryBudgetTerms { retries_per_first_attempt: 0.5, max_saved_credits: 40.0, holders: 2 };
    let mut budget = RetryBudget::new(terms, 0, 1);
    assert!(!budget.has_credit(Micros::ZERO));
    budget.tick(Micros::from_millis(500), || Some(address(1)));
    let requests: Vec<_> = budget.drain().collect();
    let Message::Request { incarnation, sent, .. } = requests[0].1 else { panic!("{requests:?}") };
    let transfer = Message::Transfer { incarnation, sent, credits: 3 };
    budget.on_message(now, address(2), transfer);
    assert_eq!(
        budget.metrics(now).received_credits,
        0.0,
        "a transfer was accepted from a member that was not asked"
    );
    budget.on_message(now, address(1), transfer);
    budget.on_message(now, address(1), transfer);
    assert_eq!(budget.metrics(now).received_credits, 3.0);
    budget.acquire(now);
    assert_eq!(budget.metrics(now).received_credits, 2.0);
    assert_eq!(
        budget.metrics(Micros::from_secs(2)).received_credits,
        0.0,
        "received credits have not expired after a second"
    );
    let Message::Request { incarnation, sent, .. } = requests[1].1 else { panic!("{requests:?}") };
    let late = Micros::from_secs(3);
    budget.on_message(late, address(1), Message::Transfer { incarnation, sent, credits: 3 });
    assert_eq!(
        budget.metrics(late).received_credits,
        0.0,
        "a transfer was accepted after its request had timed out"
    );
}

/// Guards against a free retry: a transfer of no credits was stored before a transfer of one credit, and the retry was charged
/// to the empty one.
#[test]
fn transfer_without_credits_pays_no_retry() {
    let terms = RetryBudgetTerms { retries_per_first_attempt: 0.1, max_saved_credits: 10.0, holders: 1 };
    let mut budget = RetryBudget::new(terms, 0, 1);
    let now = Micros::from_secs(10);
    let receive = |budget: &mut RetryBudget, credits| {
        let sent = budget.requests.open(now, address(1));
        budget.on_message(now, address(1), Message::Transfer { incarnation: 1, sent, credits });
    };
    receive(&mut budget, 0);
    receive(&mut budget, 1);
    assert!(budget.has_credit(now));
    budget.acquire(now);
    assert!(!budget.has_credit(now), "one credit paid for more than one retry");
}
