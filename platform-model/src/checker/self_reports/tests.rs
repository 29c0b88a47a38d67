//! Tests of `told`.

use super::super::test_log::{terms, Hand};
use super::super::Stated;
use super::*;
use crate::event_log::ImpairedSpan;
use crate::micros_from_seconds;

fn said(second: f64, balancer: usize, members: f64, passed_by: f64) -> Holder {
    Holder {
        at: micros_from_seconds(second),
        balancer,
        members,
        passed_by,
        oldest: passed_by,
        ..Holder::default()
    }
}

#[test]
fn a_view_is_wrong_until_it_counts_those_that_are_there() {
    let mut hand = Hand::default();
    hand.event_log.process_impairments = vec![ImpairedSpan {
        number: 3,
        impairment: Impairment::Dead,
        from: micros_from_seconds(10.0),
        to: Some(micros_from_seconds(20.0)),
    }];
    let mut all: Vec<Holder> = (6..30).map(|s| said(f64::from(s), 0, 4.0, 0.0)).collect();
    // It still counts the dead one for 4 s, and counts it again at once.
    all.iter_mut()
        .filter(|one| (micros_from_seconds(14.0)..micros_from_seconds(20.5)).contains(&one.at))
        .for_each(|one| one.members = 3.0);
    let seen = told(&hand.event_log, &terms(), &all, false);
    assert_eq!(seen.members_wrong_s, Some(4.0));
    assert_eq!(told(&hand.event_log, &terms(), &all, true).members_wrong_s, None);
    assert_eq!(told(&hand.event_log, &terms(), &[], false).members_wrong_s, None);
}

#[test]
fn hosts_passed_by_beyond_those_that_were_unwell_are_wrong() {
    let mut hand = Hand::default();
    hand.event_log.server_impairments = vec![ImpairedSpan {
        number: 1,
        impairment: Impairment::Silent,
        from: micros_from_seconds(10.0),
        to: Some(micros_from_seconds(15.0)),
    }];
    let verdicts = Some((MICROS_PER_SECOND, 6 * MICROS_PER_SECOND));
    let stated = Stated { origin: 1.0, spread: 0, cold: None, second: None, verdicts };
    let terms = Terms { stated: Some(stated), ..terms() };
    let all = [said(12.0, 0, 4.0, 1.0), said(20.0, 0, 4.0, 1.0)];
    let seen = told(&hand.event_log, &terms, &all, false);
    assert_eq!((seen.wrong, seen.oldest_ms), (0, Some(1000.0)));
    let late = [said(12.0, 0, 4.0, 2.0), said(22.0, 1, 4.0, 1.0)];
    assert_eq!(told(&hand.event_log, &terms, &late, false).wrong, 2);
}
