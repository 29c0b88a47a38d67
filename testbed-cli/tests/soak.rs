//! The soak test with a few seeds on real balancer processes: graceful shutdowns under repeated signals, connection floods,
//! event loop delays and changes of the endpoint list. `juniperladder-testbed soak` runs more seeds by hand.

use juniperladder_platform_model::experiment::DeadlineProfile;
use juniperladder_testbed::soak::check::{check_soak, SoakFinding, SoakResult};
use juniperladder_testbed::soak::plan::SoakPlan;
use juniperladder_testbed::soak::run::run_soak;

/// Seeds of each deadline profile; they include a connection flood, event loop delays, changes of the endpoint list and an
/// overloaded discovery.
const SEEDS: std::ops::Range<u64> = 1..9;

/// Path of the balancer program in the target folder of this test.
fn program() -> String {
    let own = std::env::current_exe().unwrap();
    let program = own.parent().and_then(|deps| deps.parent()).unwrap().join("juniperladder");
    assert!(program.is_file(), "build the program first: cargo build -p juniperladder-cli");
    program.to_str().unwrap().into()
}

fn run_seed(seed: u64, deadlines: DeadlineProfile, program: &str) -> (SoakPlan, SoakResult) {
    let folder = tempfile::tempdir().unwrap();
    let plan = SoakPlan::draw(seed, deadlines, program);
    let record = run_soak(&plan, folder.path(), None).unwrap();
    let result = check_soak(&plan, &record);
    (plan, result)
}

fn assert_seed_passes(seed: u64, deadlines: DeadlineProfile) {
    let (plan, result) = run_seed(seed, deadlines, &program());
    let findings: Vec<String> = result.findings.iter().map(SoakFinding::to_string).collect();
    assert!(findings.is_empty(), "{deadlines:?}, {plan}{}", findings.join("\n"));
    assert!(result.requests.served > 0 && result.requests.after_sigterm > 0, "{plan}{}", result.requests);
}

/// Guards against requests lost in a graceful shutdown with deadlines of up to 3 s and SIGKILL after 3.7 s.
#[test]
fn graceful_shutdowns_lose_no_request_with_long_deadlines() {
    SEEDS.for_each(|seed| assert_seed_passes(seed, DeadlineProfile::Long));
}

/// Guards against requests lost in a graceful shutdown with deadlines of up to 1.2 s and SIGKILL after 1.9 s.
#[test]
fn graceful_shutdowns_lose_no_request_with_short_deadlines() {
    SEEDS.for_each(|seed| assert_seed_passes(seed, DeadlineProfile::Short));
}
