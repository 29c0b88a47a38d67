//! Reported members and avoided servers, compared with the event log.

use super::super::test_log::{stated, terms, EventLogBuilder};
use super::super::{StatedBounds, StatedFailureDetection};
use super::*;
use crate::event_log::ImpairedSpan;
use crate::micros_from_seconds;

fn report(second: f64, balancer: usize, members: f64, avoided_servers: f64) -> SelfReport {
    SelfReport {
        at: micros_from_seconds(second),
        balancer,
        members,
        avoided_servers,
        oldest_report_s: avoided_servers,
        ..SelfReport::default()
    }
}

#[test]
fn view_is_wrong_until_it_counts_the_processes_that_are_alive() {
    let mut builder = EventLogBuilder::default();
    builder.event_log.process_impairments = vec![ImpairedSpan {
        number: 3,
        impairment: Impairment::Dead,
        from: micros_from_seconds(10.0),
        to: Some(micros_from_seconds(20.0)),
    }];
    let mut all: Vec<SelfReport> = (6..30).map(|s| report(f64::from(s), 0, 4.0, 0.0)).collect();
    // The reporter counts the dead process for another 4 s, and counts it again as soon as it is back.
    all.iter_mut()
        .filter(|one| (micros_from_seconds(14.0)..micros_from_seconds(20.5)).contains(&one.at))
        .for_each(|one| one.members = 3.0);
    let seen = check_self_reports(&builder.event_log, &terms(), &all, false);
    assert_eq!(seen.members_wrong_s, Some(4.0));
    assert_eq!(check_self_reports(&builder.event_log, &terms(), &all, true).members_wrong_s, None);
    assert_eq!(check_self_reports(&builder.event_log, &terms(), &[], false).members_wrong_s, None);
}

#[test]
fn servers_avoided_beyond_those_that_were_impaired_are_wrong() {
    let mut builder = EventLogBuilder::default();
    builder.event_log.server_impairments = vec![ImpairedSpan {
        number: 1,
        impairment: Impairment::Silent,
        from: micros_from_seconds(10.0),
        to: Some(micros_from_seconds(15.0)),
    }];
    let failure_detection = Some(StatedFailureDetection {
        reaction_time: MICROS_PER_SECOND,
        report_expiry: 6 * MICROS_PER_SECOND,
    });
    let stated = StatedBounds { failure_detection, ..stated() };
    let terms = CheckTerms { stated: Some(stated), ..terms() };
    let all = [report(12.0, 0, 4.0, 1.0), report(20.0, 0, 4.0, 1.0)];
    let seen = check_self_reports(&builder.event_log, &terms, &all, false);
    assert_eq!((seen.wrongly_avoided, seen.oldest_report_ms), (0, Some(1000.0)));
    let late = [report(12.0, 0, 4.0, 2.0), report(22.0, 1, 4.0, 1.0)];
    assert_eq!(check_self_reports(&builder.event_log, &terms, &late, false).wrongly_avoided, 2);
}
