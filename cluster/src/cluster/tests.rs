//! Two balancers that exchange packets, and what is dropped.

use super::*;
use crate::virtual_network::times;

fn cluster(number: u16, whole: u32) -> Cluster {
    let address = |number: u16| SocketAddr::from(([127, 0, 0, 1], 1_000 + number));
    let terms = RateLimitTerms {
        requests_per_s: whole,
        arrival_spread: Micros::ZERO,
        owners: 2,
        lease: Micros::from_secs(2),
        clock_drift: 0.001,
    };
    let limits = vec![("origin".to_owned(), terms)];
    let (position, seed) = (u32::from(number), u64::from(number));
    let cold = Some(cold::Terms { rate_limit: terms, share: 0.25, warm_up: Micros::from_secs(10) });
    let second = Some(budget::Terms { share: 0.5, saved: 20.0, holders: 2 });
    let verdicts =
        verdicts::Terms { witnesses: 2, expiry: Micros::from_secs(6), most: 0.5, tries: 1.0, drift: 0.001 };
    let (address, seeds) = (address(number), vec![address(0)]);
    let verdicts = Some(verdicts);
    let zone = 0;
    let plan = Plan { address, life: 1, position, zone, seeds, limits, cold, second, verdicts, seed };
    Cluster::new(plan, Micros::ZERO)
}

/// A tick of one balancer, with what it says to the other.
fn carry(all: &mut [Cluster; 2], from: usize, now: Micros) {
    all[from].tick(now);
    for (_, bytes) in all[from].drain() {
        let address = SocketAddr::from(([127, 0, 0, 1], 1_000 + from as u16));
        all[1 - from].heard(now, address, &bytes);
    }
}

/// Carries packets between two balancers for so long; the first of them wants six requests a second.
fn run(all: &mut [Cluster; 2], seconds: u64) {
    for now in times(Micros::ZERO, Micros::from_secs(seconds), Micros::from_millis(20)) {
        (0..2).for_each(|from| carry(all, from, now));
        if now.0 % 160_000 == 0 {
            let limit = all[0].limit("origin").unwrap();
            match limit.wait_time(now) {
                Micros::ZERO => limit.acquire(now),
                _ => limit.on_rejected(now),
            }
        }
    }
}

#[test]
fn two_balancers_share_what_one_of_them_needs() {
    let mut all = [cluster(0, 8), cluster(1, 8)];
    run(&mut all, 8);
    let figures = all[0].figures(Micros::from_secs(8));
    assert_eq!(figures.members.alive, 2);
    let (name, limit) = &figures.limits[0];
    assert!(name == "origin" && limit.borrowed_tokens >= 2 && limit.usable_tokens >= 6, "{limit:?}");
    assert_eq!(all[1].figures(Micros::from_secs(8)).limits[0].1.leased_out_tokens, limit.borrowed_tokens);
    assert_eq!((figures.dropped, figures.differ), (0, 0));
}

#[test]
fn retry_budget_and_slow_start_tokens_reach_who_needs_them() {
    let mut all = [cluster(0, 8), cluster(1, 8)];
    run(&mut all, 8);
    let start = Start { server: 7, started: Micros::from_secs(4) };
    let mut took = 0;
    for now in times(Micros::from_secs(8), Micros::from_secs(12), Micros::from_millis(20)) {
        all[1].second().unwrap().first();
        let second = all[0].second().unwrap();
        match second.has(now) {
            true => second.spend(now),
            false => second.denied(now),
        }
        let (limit, shut) = all[0].cold(start, now);
        let limit = limit.unwrap();
        assert!(!shut);
        match limit.wait_time(now) {
            Micros::ZERO => {
                limit.acquire(now);
                took += 1;
            }
            _ => limit.on_rejected(now),
        }
        if now.0 % 60_000 == 0 {
            (0..2).for_each(|from| carry(&mut all, from, now));
        }
    }
    let second = all[0].figures(Micros::from_secs(12)).second.unwrap();
    assert!(second.spent > 10 && second.first == 0, "it has earned none itself: {second:?}");
    // From 4 to 7 units in these four seconds, of which it owns half.
    assert!((15..=24).contains(&took), "{took}");
}

#[test]
fn members_with_different_files_share_nothing() {
    let mut all = [cluster(0, 8), cluster(1, 9)];
    run(&mut all, 8);
    let figures = all[1].figures(Micros::from_secs(8));
    assert!(figures.differ > 0 && figures.limits[0].1.leased_out_tokens == 0, "{figures:?}");
    assert_eq!(figures.members.alive, 2);
}

#[test]
fn a_stranger_and_nonsense_are_dropped_and_counted() {
    let mut one = cluster(0, 8);
    let hold = rate_limit::LeaseRequest { incarnation: 1, sent: Micros(1), tokens: 4 };
    let about = About::Limit(0, rate_limit::Message::Request(hold));
    let item = Item { terms: one.limits[0].brief, about };
    let bytes = packet::talk([(SocketAddr::from(([127, 0, 0, 1], 9)), item)]).remove(0).1;
    one.heard(Micros::from_secs(10), SocketAddr::from(([127, 0, 0, 1], 9)), &bytes);
    one.heard(Micros::from_secs(10), SocketAddr::from(([127, 0, 0, 1], 9)), b"nonsense");
    let figures = one.figures(Micros::from_secs(10));
    assert_eq!((figures.dropped, figures.limits[0].1.leased_out_tokens), (2, 0));
}
