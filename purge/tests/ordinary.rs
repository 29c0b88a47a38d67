//! Cost per member and delay of purges without faults, in byte counts and virtual time; no wall clock.

mod support;

use support::schedule::{Schedule, MILLISECOND};
use support::simulation::{Report, Simulation, Verdict};

/// Maximum control traffic of a member, in bytes per second.
const MEMBER_BYTES_PER_SECOND: u64 = 2_000;
/// Maximum time from the publication of a purge to its application at any member, in microseconds.
const TIME_TO_ACT: u64 = 2_800 * MILLISECOND;
/// Purges published per second in the whole fleet.
const PURGES_PER_SECOND: u64 = 11;
const REPLICAS: usize = 11;

fn print(report: &Report) {
    let mut act = report.times_to_act.clone();
    let mut done = report.times_to_done.clone();
    act.sort_unstable();
    done.sort_unstable();
    let at = |times: &[u64], share: f64| times[((times.len() - 1) as f64 * share) as usize] / MILLISECOND;
    println!(
        "per member: at most {} bytes/s; sent per replica: at most {} bytes/s; delay until applied, ms: median {}, \
         p99 {}, max {}; until done: median {}, p99 {}, max {}",
        report.member_bytes_per_second.iter().max().unwrap_or(&0),
        report.replica_bytes_per_second.iter().max().unwrap_or(&0),
        at(&act, 0.5),
        at(&act, 0.99),
        at(&act, 1.0),
        at(&done, 0.5),
        at(&done, 0.99),
        at(&done, 1.0),
    );
}

#[test]
fn members_stay_under_their_bytes_and_purges_act_in_time() {
    for (loss, seed) in [(0.0, 1), (0.01, 2)] {
        let schedule = Schedule::ordinary(seed, REPLICAS, 200, loss, PURGES_PER_SECOND, 30);
        let report = Simulation::new(schedule, None).run();
        print(&report);
        assert_eq!(report.verdict, Verdict::Held);
        assert_eq!(report.done, report.published);
        assert_eq!(
            report.times_to_act.len(),
            200 * report.published,
            "every member applies every purge by key"
        );
        assert!(report.times_to_act.iter().all(|time| *time < TIME_TO_ACT));
        let most = report.member_bytes_per_second.iter().max().copied();
        assert!(most < Some(MEMBER_BYTES_PER_SECOND), "{most:?} bytes per second");
    }
}
