//! Tests of `limits`.

use super::super::test_log::{attempt, served, terms, Hand};
use super::super::Stated;
use super::*;
use crate::event_log::{ClientRequest, ImpairedSpan};
use crate::micros_from_seconds;

/// In the second from 10 s on, so many fetches, evenly.
fn hand(fetches: usize, served_of_them: usize) -> Hand {
    let mut hand = Hand::default();
    for n in 0..fetches {
        let at = 10.0 + n as f64 / fetches as f64;
        let end = if n < served_of_them { RequestResult::Served } else { RequestResult::Failed };
        let id = hand.request(ClientRequest { result: end, ..served(at) });
        hand.event_log.attempts.push(attempt(id, Receiver::Origin, at));
    }
    hand
}

#[test]
fn the_peak_is_the_most_in_any_second() {
    let mut hand = hand(10, 10);
    let at_it = origin(&hand.event_log, &terms());
    assert_eq!((at_it.limit.peak, at_it.limit.seconds_over, at_it.limit.r#use), (1.0, 0, None));
    // One more, half a second into the next: no second of the clock has more, a second in between has.
    hand.event_log.attempts.push(attempt(99, Receiver::Origin, 10.95));
    let over = origin(&hand.event_log, &terms());
    assert_eq!((over.limit.peak, over.limit.seconds_over), (1.1, 1));
    hand.event_log.attempts.last_mut().unwrap().received_at = 11_000_000;
    assert_eq!(origin(&hand.event_log, &terms()).limit.peak, 1.0);
}

#[test]
fn sends_to_a_cold_host_count_against_what_its_warmth_bears() {
    let mut hand = Hand::default();
    let span = |impairment| ImpairedSpan {
        number: 1,
        impairment,
        from: micros_from_seconds(10.0),
        to: Some(micros_from_seconds(20.0)),
    };
    hand.event_log.server_impairments = vec![span(Impairment::SlowStart)];
    // A warm one does 50 a second; from 35% on it has all after 6 s: after 3 s it has 67.5%.
    for n in 0..27 {
        hand.event_log.attempts.push(attempt(n, Receiver::CacheServer(1), 12.5 + n as f64 / 52.0));
        hand.event_log.attempts.push(attempt(n, Receiver::CacheServer(2), 12.5 + n as f64 / 52.0));
    }
    let seen = cold(&hand.event_log, &terms());
    assert!((seen.peak - 0.8).abs() < 0.01 && seen.bound.is_none() && seen.whole == 50.0, "{seen:?}");
    let spread = 50_000;
    let stated = Stated { origin: 10.0, spread, cold: Some(30.0), second: None, verdicts: None };
    let limited = Terms { stated: Some(stated), ..terms() };
    let seen = cold(&hand.event_log, &limited);
    assert!((seen.peak - 4.0 / 3.0).abs() < 0.02 && seen.seconds_over == 2, "{seen:?}");
    assert_eq!(seen.bound, Some(1.05));
    hand.event_log.server_impairments = vec![span(Impairment::Slow)];
    assert_eq!(cold(&hand.event_log, &limited).peak, 0.0, "it is warm");
}

#[test]
fn second_tries_count_against_first_tries_unless_a_miss_led_to_them() {
    let mut hand = Hand::default();
    for n in 0..20 {
        let id = hand.request(served(10.0 + f64::from(n) / 20.0));
        hand.event_log.attempts.push(attempt(id, Receiver::CacheServer(0), 10.0 + f64::from(n) / 20.0));
        hand.event_log.attempts.push(attempt(id, Receiver::CacheServer(1), 10.1 + f64::from(n) / 20.0));
    }
    let stated = Stated { origin: 10.0, spread: 0, cold: None, second: Some((0.5, 10.0)), verdicts: None };
    let limited = Terms { stated: Some(stated), ..terms() };
    // Twenty in a second, and the last of them finds twenty first tries: 20 of 0.5 * 20 + 10.
    let seen = second(&hand.event_log, &limited);
    assert_eq!((seen.bound, seen.seconds_over), (Some(1.0), 0));
    assert!(seen.peak > 0.9 && seen.peak <= 1.0, "{seen:?}");
    let once = Stated { second: Some((0.1, 4.0)), ..stated };
    let seen = second(&hand.event_log, &Terms { stated: Some(once), ..terms() });
    assert!(seen.peak > 3.0 && seen.seconds_over > 0, "{seen:?}");
    hand.event_log.attempts.iter_mut().for_each(|a| a.result = AttemptResult::Miss);
    assert_eq!(second(&hand.event_log, &limited).peak, 0.0, "misses lead to fetches");
}

#[test]
fn use_counts_while_more_was_wanted_than_can_be() {
    let seen = origin(&hand(12, 6).event_log, &terms());
    assert_eq!((seen.limit.r#use, seen.figures.useful), (Some(1.2), Some(0.6)));
    let mut refused = hand(8, 8);
    for _ in 0..4 {
        refused.request(ClientRequest { result: RequestResult::Rejected, ..served(10.5) });
    }
    let seen = origin(&refused.event_log, &terms());
    assert_eq!(seen.limit.r#use, Some(0.8), "all reads go to the origin here, those refused would have too");
    assert_eq!(origin(&hand(10, 10).event_log, &terms()).limit.r#use, None, "no more was wanted");
}
