//! Links that go wrong, as an experiment's faults name them.

use super::*;
use crate::reader::{read, tests::SOUND};
use crate::schedule::schedule;

#[test]
fn faults_hold_on_their_links_and_in_their_direction_alone() {
    let text = "[[fault]]\nat = 1\nfor = 2\nwhat = \"cut\"\nbetween = [\"balancers:0-4\", \"hosts:1\"]\n\
        direction = \"one-way\"\n[[fault]]\nat = 1\nwhat = \"lose\"\nbetween = [\"zone:0\", \"zone:1\"]\nshare = 0.5\n";
    let e = read(&format!("{SOUND}{text}"), &[]).unwrap();
    let mut links = schedule(&e).links;
    assert_eq!(
        links.state(End::Balancer(0), End::CacheServer(1)),
        LinkState::default(),
        "off until it is turned on"
    );
    links.turn(0, true);
    assert!(links.state(End::Balancer(4), End::CacheServer(1)).cut);
    assert!(!links.state(End::CacheServer(1), End::Balancer(4)).cut, "one way");
    assert!(
        !links.state(End::Balancer(5), End::CacheServer(1)).cut
            && !links.state(End::Balancer(4), End::CacheServer(2)).cut
    );
    links.turn(1, true);
    assert_eq!(links.state(End::CacheServer(1), End::Balancer(3)).lose, 0.5, "both ways, zone 1 to zone 0");
    assert_eq!(links.state(End::CacheServer(0), End::Balancer(3)).lose, 0.0);
    links.turn(0, false);
    assert!(!links.state(End::Balancer(4), End::CacheServer(1)).cut);
    // Zones 0, 1 and 2, each on both sides of the cut; the second fault tells nobody apart that the zones do not.
    assert!(links.between_balancers(), "zones have balancers");
    let sides = links.sides(&e);
    assert_eq!(sides.iter().max(), Some(&5));
    assert!(sides[0] == sides[3] && sides[0] != sides[6] && sides[0] != sides[1]);
}
