//! The configuration of one process of the program, as the platform provides it: a JSON object with the site's settings.

use std::net::SocketAddr;

use juniperladder_platform_model::checker::{CheckConfig, Idempotency, RequestClass};
use juniperladder_platform_model::experiment::Experiment;
use juniperladder_platform_model::group::zone_of;
use juniperladder_platform_model::rng::mix_bits;
use serde_json::{json, Value};

use crate::discovery::{kind_name, list_json, zone_name, ServerAddresses};
use crate::testbed::Testbed;

/// The deduplication window of reads, in microseconds; reads are idempotent, so its value has no effect.
const READ_DEDUPLICATION_WINDOW: u64 = 5_000_000;

/// Addresses in the configuration of a process.
pub struct ProcessAddresses<'a> {
    /// Listen address for clients.
    pub listen: SocketAddr,
    /// Listen address for operators, if the process has one.
    pub admin: Option<SocketAddr>,
    /// Address at which this process reaches discovery.
    pub discovery: SocketAddr,
    /// Addresses at which this process reaches the servers and the origin.
    pub servers: &'a ServerAddresses,
}

/// Builds the configuration of the process with this number.
pub fn process_config(testbed: &Testbed, number: usize, addresses: &ProcessAddresses<'_>) -> Value {
    let experiment = &testbed.experiment;
    let initial_generation = (testbed.servers.len() + 1) as u64;
    let known = testbed.endpoints.borrow().list.snapshot(initial_generation);
    json!({
        "name": format!("b{number}"),
        "listen": addresses.listen.to_string(),
        "discovery": addresses.discovery.to_string(),
        "mgmt": addresses.admin.map(|address| address.to_string()),
        "seed": format!("{:016x}", mix_bits(mix_bits(experiment.seed) ^ number as u64)),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": list_json(testbed, initial_generation, true, &known, addresses.servers),
        "settings": settings(experiment, number),
    })
}

/// Builds the settings object of a process.
fn settings(experiment: &Experiment, number: usize) -> Value {
    let fleet = &experiment.fleet;
    let check_config = CheckConfig::for_experiment(experiment);
    let kind_count = fleet.weights.len();
    let mut kinds: Vec<String> = (0..kind_count).map(kind_name).collect();
    kinds.push("origin".into());
    json!({
        "az": zone_of(number, fleet),
        "balancers": fleet.stated_balancers.unwrap_or(fleet.balancers),
        "categories": check_config.classes.iter().map(category).collect::<Vec<_>>(),
        "clients": {"marks-retry": true},
        "domain-type": "cache",
        "extra": {"mode": "aside", "origin-kind": kind_count, "origin-fall": 3_000_000,
            "origin-fall-multiple": experiment.origin.stop_load_factor},
        "feedback": {"how": "answers", "names": ["served_ps", "pending"]},
        "kinds": kinds,
        "limits": {"cancel": true, "conn-idle": 5_000_000, "connect-timeout": 250_000,
            "max-attempts": check_config.max_attempts, "max-retry-after": 2_000_000, "may-duplicate": true,
            "may-tell": false, "probes": false, "retry-after": true},
        "membership-mode": "subscribe",
        "orgs": [],
        "position": number,
        "rules": {"answer-slack": 20_000, "ask-within": 10_000_000, "cold-share": experiment.servers.slow_start_initial_share,
            "drain-grace": check_config.drain_grace, "fall": 1_000_000, "fall-multiple": experiment.servers.collapse_load_factor,
            "warm-up": (experiment.servers.slow_start_s * 1e6) as u64},
        "tick": 5_000,
        "weights": "rough",
        "zones": (0..fleet.zones).map(zone_name).collect::<Vec<_>>(),
    })
}

/// Converts a class of requests to its form in the settings.
fn category(class: &RequestClass) -> Value {
    let (effect, window) = match class.idempotency {
        Idempotency::Idempotent => ("pure", READ_DEDUPLICATION_WINDOW),
        Idempotency::WithIdempotencyKey(window) => ("token", window),
        Idempotency::NotIdempotent => ("side_effect", 0),
    };
    json!({"name": class.name, "aim": class.latency_objective, "give-up": class.deadline,
        "worth": class.priority_weight, "late-worth": 0.0, "effect": effect, "window": window, "group": "all",
        "stream": false})
}
