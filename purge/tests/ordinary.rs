//! Cost per member and delay of purges without faults, in byte counts and virtual time; no wall clock.

mod support;

use support::schedule::{Schedule, MILLISECOND};
use support::simulation::{Report, Simulation, Verdict};

/// Maximum control traffic of a member, in bytes per second.
const MAX_MEMBER_BYTES_PER_SECOND: u64 = 2_000;
/// Maximum time from the publication of a purge to its application at any member, in microseconds.
const MAX_APPLY_DELAY: u64 = 2_800 * MILLISECOND;
/// Purges published per second in the whole fleet.
const PURGES_PER_SECOND: u64 = 11;
const REPLICAS: usize = 11;

fn print_report(report: &Report) {
    let mut apply_delays = report.apply_delays.clone();
    let mut done_delays = report.done_delays.clone();
    apply_delays.sort_unstable();
    done_delays.sort_unstable();
    let quantile_ms =
        |times: &[u64], share: f64| times[((times.len() - 1) as f64 * share) as usize] / MILLISECOND;
    println!(
        "per member: at most {} bytes/s; sent per replica: at most {} bytes/s; delay until applied, ms: median {}, \
         p99 {}, max {}; until done: median {}, p99 {}, max {}",
        report.member_bytes_per_second.iter().max().unwrap_or(&0),
        report.replica_bytes_per_second.iter().max().unwrap_or(&0),
        quantile_ms(&apply_delays, 0.5),
        quantile_ms(&apply_delays, 0.99),
        quantile_ms(&apply_delays, 1.0),
        quantile_ms(&done_delays, 0.5),
        quantile_ms(&done_delays, 0.99),
        quantile_ms(&done_delays, 1.0),
    );
}

#[test]
fn members_stay_within_their_traffic_limit_and_apply_purges_in_time() {
    for (loss, seed) in [(0.0, 1), (0.01, 2)] {
        let schedule = Schedule::ordinary(seed, REPLICAS, 200, loss, PURGES_PER_SECOND, 30);
        let report = Simulation::new(schedule, None).run();
        print_report(&report);
        assert_eq!(report.verdict, Verdict::Held);
        assert_eq!(report.done, report.published);
        assert_eq!(
            report.apply_delays.len(),
            200 * report.published,
            "expected every member to apply every purge by key"
        );
        assert!(report.apply_delays.iter().all(|time| *time < MAX_APPLY_DELAY));
        let max_bytes = report.member_bytes_per_second.iter().max().copied();
        assert!(max_bytes < Some(MAX_MEMBER_BYTES_PER_SECOND), "{max_bytes:?} bytes per second");
    }
}
