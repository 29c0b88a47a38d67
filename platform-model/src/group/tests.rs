//! Groups and their members.

use super::*;
use crate::reader::{read, tests::VALID_EXPERIMENT};
use crate::rng::{seeded_rng, RngStream};

#[test]
fn groups_name_their_members() {
    let fleet = read(VALID_EXPERIMENT, &[]).unwrap().fleet;
    let of = |text: &str| resolve_group(text, &fleet, &mut seeded_rng(1, RngStream::Groups));
    assert_eq!(of("balancers:2-4").unwrap().balancers, [2, 3, 4]);
    assert_eq!(of("hosts:5").unwrap().servers, [5]);
    assert_eq!(of("hosts:50%").unwrap().servers.len(), 3);
    assert_eq!(of("hosts:1%").unwrap().servers.len(), 1, "a share names at least one");
    assert_eq!(of("zone:1").unwrap().balancers, [1, 4, 7]);
    assert!(of("origin").unwrap().origin && of("discovery").unwrap().discovery);
    assert_eq!(of("balancers:30%"), of("balancers:30%"), "the same seed draws the same members");
    for wrong in
        ["hosts:6", "hosts:4-2", "zone:3", "balancers:0%", "balancers:120%", "host:1", "hosts:x", "zone:"]
    {
        let problem = of(wrong).unwrap_err();
        assert!(problem.to_string().contains(wrong), "{problem}");
    }
}

/// Guards against a panic, and against the number of a missing member, if a file sets the number of balancers or
/// hosts to 0.
#[test]
fn group_of_a_fleet_without_members_is_an_error() {
    let mut fleet = read(VALID_EXPERIMENT, &[]).unwrap().fleet;
    (fleet.balancers, fleet.servers) = (0, 0);
    for text in ["balancers:0-4", "balancers:0", "balancers:50%", "hosts:3", "hosts:1%"] {
        let problem = resolve_group(text, &fleet, &mut seeded_rng(1, RngStream::Groups)).unwrap_err();
        assert_eq!(problem, GroupError::NoMembers(text.to_owned()));
    }
}
