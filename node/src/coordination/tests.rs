//! The decision core's view of a single member, and the exact text of its metrics.

use juniperladder::Idempotency;

use super::*;
use crate::cluster_config::ClusterConfigFile;
use crate::testing;

const FILE: &str = r#"
[peers]
listen = "127.0.0.1:7946"
seeds = ["127.0.0.1:7947"]
position = 3

[limits]
holders = 4

[limits.origin]
per_s = 400

[limits.cold]
per_s = 50

[limits.second]

[verdicts]
"#;
const NOW: Micros = Micros::from_secs(1_000);
/// When the member may use the tokens that it owns: a lease duration and a second after its start.
const AFTER_FIRST_LEASE: Micros = Micros::from_secs(1_004);
const SERVER: ServerId = ServerId(9);
const SERVER_STARTED: Micros = Micros::from_secs(999);

/// The metrics after the events of the test below, as every released version writes them.
const METRICS: &str = r#"# TYPE app_members gauge
app_members{state="alive"} 1
app_members{state="suspect"} 0
app_members{state="down"} 0
# TYPE app_peer_packets_sent counter
app_peer_packets_sent 0
# TYPE app_peer_packet_bytes_sent counter
app_peer_packet_bytes_sent 0
# TYPE app_peer_packets_heard counter
app_peer_packets_heard 0
# TYPE app_peer_packet_bytes_heard counter
app_peer_packet_bytes_heard 0
# TYPE app_peer_packets_dropped counter
app_peer_packets_dropped 0
# TYPE app_peer_packets_of_other_files counter
app_peer_packets_of_other_files 0
app_limit_bound{limit="origin"} 1.05
app_limit_whole{limit="origin"} 420
app_limit_own{limit="origin"} 105
app_limit_held{limit="origin"} 105
app_limit_used{limit="origin"} 1
app_limit_lent{limit="origin"} 0
app_limit_borrowed{limit="origin"} 0
app_limit_wanted{limit="origin"} 1
app_limit_contact_age_seconds{limit="origin"} -1
app_limit_short_seconds{limit="origin"} 4
app_limit_denied{limit="origin"} 1
app_limit_whole{limit="cold"} 52
app_limit_own{limit="cold"} 9
app_limit_held{limit="cold"} 9
app_limit_used{limit="cold"} 0
app_limit_lent{limit="cold"} 0
app_limit_borrowed{limit="cold"} 0
app_limit_wanted{limit="cold"} 0
app_limit_contact_age_seconds{limit="cold"} -1
app_limit_short_seconds{limit="cold"} 4
app_limit_denied{limit="cold"} 0
app_limit_cold_hosts 1
app_second_tries_own 1
app_second_tries_from_others 0
app_second_tries_spent 1
app_second_tries_first_tries 5
app_second_tries_given 0
app_second_tries_denied 1
app_verdicts_held{kind="silent"} 0
app_verdicts_held{kind="answers"} 0
app_verdicts_hosts_passed_by 0
app_verdicts_hosts_beyond_the_most 0
app_verdicts_witnesses_refused 0
app_verdicts_sends_spared 0
app_verdicts_tries 0
app_verdicts_told 0
app_verdicts_oldest_acted_seconds 0
"#;

#[test]
fn a_single_member_waits_for_its_own_tokens_and_writes_the_exact_metrics_text() {
    let config = ClusterConfigFile::parse(FILE).unwrap();
    let settings = testing::settings(1, Idempotency::Idempotent);
    let member = config.member_config("127.0.0.1:7946".parse().unwrap(), None, &settings, 1, 1).unwrap();
    let cluster = Rc::new(RefCell::new(Cluster::new(member, NOW)));
    let mut coordination = ClusterCoordination::new(Rc::clone(&cluster));
    let slow_start = SharedLimit::SlowStart(SERVER, SERVER_STARTED);
    coordination.on_endpoints_changed(&[ServingServer { server: SERVER, started: SERVER_STARTED, zone: 0 }]);
    for _ in 0..5 {
        coordination.on_new_request(NOW);
    }
    coordination.on_denied(SharedLimit::OriginRate, NOW);
    coordination.acquire(SharedLimit::RetryBudget, NOW);
    coordination.on_denied(SharedLimit::RetryBudget, NOW);
    assert_eq!(coordination.wait_time(SharedLimit::OriginRate, NOW), Some(WAIT_WITHOUT_TOKENS));
    assert_eq!(coordination.wait_time(SharedLimit::RetryBudget, NOW), Some(Micros::ZERO));
    assert_eq!(coordination.wait_time(slow_start, NOW), Some(WAIT_WITHOUT_TOKENS));
    coordination.on_server_observed(SERVER, SERVER_STARTED, true, NOW);
    cluster.borrow_mut().tick(AFTER_FIRST_LEASE);
    coordination.acquire(SharedLimit::OriginRate, AFTER_FIRST_LEASE);
    coordination.on_server_observed(SERVER, SERVER_STARTED, true, AFTER_FIRST_LEASE);
    assert!(!coordination.should_avoid(SERVER, SERVER_STARTED, Micros::ZERO, 1.0, AFTER_FIRST_LEASE));
    let metrics = cluster.borrow_mut().metrics(AFTER_FIRST_LEASE);
    assert_eq!(metrics_text(&metrics, config.guaranteed_rate_ratio()), METRICS);
}
