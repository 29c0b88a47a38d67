//! Reported members and avoided servers, compared with the event log.

use super::super::test_log::{check_config, stated, EventLogBuilder};
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
fn member_count_is_wrong_until_it_equals_the_live_processes() {
    let mut builder = EventLogBuilder::default();
    builder.event_log.process_impairments = vec![ImpairedSpan {
        number: 3,
        impairment: Impairment::NotRunning,
        from: micros_from_seconds(10.0),
        to: Some(micros_from_seconds(20.0)),
    }];
    let mut reports: Vec<SelfReport> = (6..30).map(|second| report(f64::from(second), 0, 4.0, 0.0)).collect();
    // The reporter counts the stopped process for another 4 s, and counts it again as soon as it has restarted.
    reports
        .iter_mut()
        .filter(|report| (micros_from_seconds(14.0)..micros_from_seconds(20.5)).contains(&report.at))
        .for_each(|report| report.members = 3.0);
    let findings = check_self_reports(&builder.event_log, &check_config(), &reports, false);
    assert_eq!(findings.members_wrong_s, Some(4.0));
    assert_eq!(check_self_reports(&builder.event_log, &check_config(), &reports, true).members_wrong_s, None);
    assert_eq!(check_self_reports(&builder.event_log, &check_config(), &[], false).members_wrong_s, None);
}

#[test]
fn avoided_servers_beyond_the_impaired_ones_are_wrongly_avoided() {
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
    let config = CheckConfig { stated: Some(stated), ..check_config() };
    let reports = [report(12.0, 0, 4.0, 1.0), report(20.0, 0, 4.0, 1.0)];
    let findings = check_self_reports(&builder.event_log, &config, &reports, false);
    assert_eq!((findings.wrongly_avoided, findings.oldest_report_ms), (0, Some(1000.0)));
    let late_reports = [report(12.0, 0, 4.0, 2.0), report(22.0, 1, 4.0, 1.0)];
    assert_eq!(check_self_reports(&builder.event_log, &config, &late_reports, false).wrongly_avoided, 2);
}
