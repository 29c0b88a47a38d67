//! Link faults compiled from an experiment.

use super::*;
use crate::reader::{read, tests::VALID_EXPERIMENT};
use crate::schedule::compile_schedule;

#[test]
fn faults_affect_only_their_links_in_their_direction() {
    let text = "[[fault]]\nat = 1\nfor = 2\nwhat = \"cut\"\nbetween = [\"balancers:0-4\", \"hosts:1\"]\n\
        direction = \"one-way\"\n[[fault]]\nat = 1\nwhat = \"lose\"\nbetween = [\"zone:0\", \"zone:1\"]\nshare = 0.5\n";
    let experiment = read(&format!("{VALID_EXPERIMENT}{text}"), &[]).unwrap();
    let mut links = compile_schedule(&experiment).links;
    assert_eq!(
        links.state(LinkEnd::Balancer(0), LinkEnd::CacheServer(1)),
        LinkState::default(),
        "a fault applies before it is activated"
    );
    links.set_active(0, true);
    assert!(links.state(LinkEnd::Balancer(4), LinkEnd::CacheServer(1)).cut);
    assert!(
        !links.state(LinkEnd::CacheServer(1), LinkEnd::Balancer(4)).cut,
        "a one-way fault applies in the other direction"
    );
    assert!(
        !links.state(LinkEnd::Balancer(5), LinkEnd::CacheServer(1)).cut
            && !links.state(LinkEnd::Balancer(4), LinkEnd::CacheServer(2)).cut
    );
    links.set_active(1, true);
    assert_eq!(
        links.state(LinkEnd::CacheServer(1), LinkEnd::Balancer(3)).lost_share,
        0.5,
        "expected the fault to apply in both directions, here from zone 1 to zone 0"
    );
    assert_eq!(links.state(LinkEnd::CacheServer(0), LinkEnd::Balancer(3)).lost_share, 0.0);
    links.set_active(0, false);
    assert!(!links.state(LinkEnd::Balancer(4), LinkEnd::CacheServer(1)).cut);
    // Three zones, each split by the groups of the cut. The second fault's groups are zones and add no listener groups.
    assert!(
        links.has_faults_between_balancers(),
        "no fault between balancers although the zones of the second fault contain some"
    );
    let groups = links.listener_groups(&experiment);
    assert_eq!(groups.iter().max(), Some(&5));
    assert!(groups[0] == groups[3] && groups[0] != groups[6] && groups[0] != groups[1]);
}
