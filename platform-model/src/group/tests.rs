//! Groups and their members.

use super::*;
use crate::reader::{read, tests::VALID_EXPERIMENT};
use crate::rng::{seeded_rng, RngStream};

#[test]
fn groups_resolve_to_their_members() {
    let fleet = read(VALID_EXPERIMENT, &[]).unwrap().fleet;
    let resolve = |text: &str| resolve_group(text, &fleet, &mut seeded_rng(1, RngStream::Groups));
    assert_eq!(resolve("balancers:2-4").unwrap().balancers, [2, 3, 4]);
    assert_eq!(resolve("hosts:5").unwrap().servers, [5]);
    assert_eq!(resolve("hosts:50%").unwrap().servers.len(), 3);
    assert_eq!(resolve("hosts:1%").unwrap().servers.len(), 1, "expected a small share to name one member");
    assert_eq!(resolve("zone:1").unwrap().balancers, [1, 4, 7]);
    assert!(resolve("origin").unwrap().origin && resolve("discovery").unwrap().discovery);
    assert_eq!(resolve("balancers:30%"), resolve("balancers:30%"), "the same seed drew different members");
    for invalid in
        ["hosts:6", "hosts:4-2", "zone:3", "balancers:0%", "balancers:120%", "host:1", "hosts:x", "zone:"]
    {
        let error = resolve(invalid).unwrap_err();
        assert!(error.to_string().contains(invalid), "{error}");
    }
}

/// Guards against a panic, and against the number of a missing member, if a file sets the number of balancers or
/// hosts to 0.
#[test]
fn group_of_a_fleet_without_members_is_an_error() {
    let mut fleet = read(VALID_EXPERIMENT, &[]).unwrap().fleet;
    (fleet.balancers, fleet.servers) = (0, 0);
    for text in ["balancers:0-4", "balancers:0", "balancers:50%", "hosts:3", "hosts:1%"] {
        let error = resolve_group(text, &fleet, &mut seeded_rng(1, RngStream::Groups)).unwrap_err();
        assert_eq!(error, GroupError::NoMembers(text.to_owned()));
    }
}
