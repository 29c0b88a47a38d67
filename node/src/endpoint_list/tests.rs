//! Lists in discovery's format, and the numeric ids of names and keys.

use juniperladder::{Key, ServerId};
use juniperladder_dispatch::identifiers::{hash, key, server_id};

use super::*;
use crate::testing::log;
use std::collections::HashSet;

fn site_names() -> SiteNames {
    SiteNames { zones: vec!["east".into(), "west".into()], kinds: vec!["m1".into(), "origin".into()] }
}

fn list(text: &str) -> EndpointList {
    simd_json::from_slice(&mut text.as_bytes().to_vec()).unwrap()
}

#[test]
fn zones_and_kinds_become_their_indices_in_the_settings_and_entries_with_an_invalid_address_are_ignored() {
    let text = r#"{"generation":41,"reset":true,"more":1,"instances":[
        {"instanceId":"s-5be2a07c","hostPort":"127.0.0.1:5","zone":"west","machineType":"origin","cell":3,
         "lifecycle":"terminating","weight":1.5,"startedAtMs":7},
        {"instanceId":"s-00000001","hostPort":"nowhere","zone":"west"},
        {"instanceId":"s-00000002","hostPort":"127.0.0.1:6","zone":"north","lifecycle":"terminated"}]}"#;
    let reader = EndpointListReader::new(site_names());
    let servers = reader.read(list(text), &log());
    let [origin, deleted] = &servers[..] else {
        panic!("expected two entries, as the address of one is invalid: {servers:?}")
    };
    let endpoint = &origin.endpoint;
    assert_eq!(
        (endpoint.server, endpoint.zone, endpoint.kind, endpoint.cell),
        (ServerId(0x5be2_a07c), 1, 1, 3)
    );
    assert_eq!(
        (endpoint.state, endpoint.weight, endpoint.started),
        (EndpointState::Draining, 1.5, from_ms(7))
    );
    assert_eq!((deleted.endpoint.state, deleted.endpoint.zone), (EndpointState::Deleted, u32::MAX));
    assert_eq!(watch_path(Some(41)), "/catalog/members?follow=1&since=41");
    assert_eq!(watch_path(None), "/catalog/members?follow=1");
}

/// Guards against changed ids: placement hashes them, so a new version with other values would move every key.
#[test]
fn ids_of_names_and_keys_are_stable() {
    assert_eq!(server_id("s-5be2a07c"), ServerId(0x5be2_a07c));
    let others = ["origin", "t-5be2a07c", "s-5BE2A07C", "s-5be2a07c0", "s-05be2a07c", "5be2a07c", ""];
    let identifiers: HashSet<u64> = others.iter().map(|name| server_id(name).0).collect();
    assert_eq!(identifiers.len(), others.len(), "two names have the same id");
    assert!(identifiers.iter().all(|number| *number > u64::from(u32::MAX)));
    assert_eq!(
        server_id("origin"),
        ServerId(hash(b"origin") | 1 << 63),
        "a name of another form is not hashed, or the highest bit is not set"
    );
    assert_eq!(key(b"7f3a9c21e0b4d655"), Key(0x7f3a_9c21_e0b4_d655));
    assert_eq!(
        key(b"7F3A9C21E0B4D655"),
        Key(hash(b"7F3A9C21E0B4D655")),
        "the upper-case form is the same key"
    );
}
