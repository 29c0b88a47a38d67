//! Checks an experiment after parsing: values out of range, faults on missing targets, and faults that contradict
//! each other. Each problem names the line, the field and the valid values.

mod faults;

#[cfg(test)]
mod tests;

use crate::experiment::{
    Burst, CacheServers, Clients, Discovery, Experiment, FileProblem, Fleet, Hot, Load, Net, Origin,
};

/// Maximum number of balancer processes, equal to the maximum size of a fleet's membership.
const MAX_BALANCERS: usize = 1_024;
/// Maximum number of cache servers.
const MAX_SERVERS: usize = 1_024;
/// Maximum number of zones.
const MAX_ZONES: usize = 16;
/// Maximum duration of the warm-up in seconds.
const MAX_WARM_UP_S: f64 = 600.0;

const MUST_BE_POSITIVE: &str = "must be a number over 0";
const MUST_NOT_BE_NEGATIVE: &str = "must be a number of at least 0";
const MUST_BE_SHARE: &str = "must be a share from 0 to 1";
const MUST_BE_AT_LEAST_ONE: &str = "must be at least 1";

/// Finds all problems of an experiment; `text` is the file's text, used to find line numbers.
pub fn find_problems(experiment: &Experiment, text: &str) -> Vec<FileProblem> {
    let mut problems = Problems { text, found: Vec::new() };
    problems.require("", [requirement("seconds", is_positive(experiment.seconds), MUST_BE_POSITIVE)]);
    problems.require("fleet", fleet_requirements(&experiment.fleet));
    problems.require("load", load_requirements(&experiment.load));
    problems.require("clients", clients_requirements(&experiment.clients));
    problems.require("hosts", server_requirements(&experiment.servers));
    problems.require("origin", origin_requirements(&experiment.origin));
    problems.require("discovery", discovery_requirements(&experiment.discovery));
    problems.require("net", net_requirements(&experiment.net));
    faults::check_faults(&mut problems, experiment);
    problems.found
}

/// A requirement on a field.
struct Requirement {
    field: &'static str,
    is_met: bool,
    /// The requirement in words, without the subject.
    description: &'static str,
}

fn requirement(field: &'static str, is_met: bool, description: &'static str) -> Requirement {
    Requirement { field, is_met, description }
}

fn is_positive(value: f64) -> bool {
    value > 0.0 && value.is_finite()
}

fn is_share(value: f64) -> bool {
    (0.0..=1.0).contains(&value)
}

fn fleet_requirements(fleet: &Fleet) -> [Requirement; 5] {
    let has_valid_balancers = (1..=MAX_BALANCERS).contains(&fleet.balancers);
    let has_valid_servers = (1..=MAX_SERVERS).contains(&fleet.servers);
    let has_valid_zones = (1..=MAX_ZONES).contains(&fleet.zones);
    let has_valid_weights =
        !fleet.weights.is_empty() && fleet.weights.iter().all(|weight| is_positive(*weight));
    [
        requirement("balancers", has_valid_balancers, "must be from 1 to 1024"),
        requirement("hosts", has_valid_servers, "must be from 1 to 1024"),
        requirement("zones", has_valid_zones, "must be from 1 to 16"),
        requirement("told", fleet.stated_balancers != Some(0), MUST_BE_AT_LEAST_ONE),
        requirement("weights", has_valid_weights, "must be numbers over 0"),
    ]
}

fn load_requirements(load: &Load) -> [Requirement; 12] {
    let has_valid_zipf = load.zipf >= 0.0 && load.zipf.is_finite();
    let has_valid_warm_up = (0.0..=MAX_WARM_UP_S).contains(&load.warm_up_s);
    let has_valid_uneven_share = load.uneven.is_none_or(|uneven| is_share(uneven.share));
    let has_valid_uneven_at = load.uneven.is_none_or(|uneven| uneven.at > 0.0 && uneven.at <= 1.0);
    let is_valid_hot_key = |hot: &Hot| is_share(hot.share) && hot.at >= 0.0;
    let hot_share: f64 = load.hot.iter().map(|hot| hot.share).sum();
    let is_valid_burst =
        |burst: &Burst| burst.at >= 0.0 && burst.duration_s > 0.0 && burst.rate_factor >= 0.0;
    [
        requirement("rate", is_positive(load.rate), MUST_BE_POSITIVE),
        requirement("keys", load.keys > 0, MUST_BE_AT_LEAST_ONE),
        requirement("zipf", has_valid_zipf, MUST_NOT_BE_NEGATIVE),
        requirement("writes", is_share(load.writes), MUST_BE_SHARE),
        requirement("drift", is_share(load.drift), MUST_BE_SHARE),
        requirement("ramp", is_positive(load.ramp), MUST_BE_POSITIVE),
        requirement("warm", has_valid_warm_up, "must be from 0 to 600 s"),
        requirement("uneven", has_valid_uneven_share, "must have a share from 0 to 1"),
        requirement("uneven", has_valid_uneven_at, "must have a field `at` over 0 and up to 1"),
        requirement(
            "hot",
            load.hot.iter().all(is_valid_hot_key),
            "must have shares from 0 to 1, and times from 0 s",
        ),
        requirement("hot", hot_share <= 1.0, "must have shares that add up to at most 1"),
        requirement(
            "burst",
            load.burst.iter().all(is_valid_burst),
            "must begin at 0 s or later and last longer than 0 s",
        ),
    ]
}

fn clients_requirements(clients: &Clients) -> [Requirement; 3] {
    [
        requirement("honour", is_share(clients.retry_after_share), MUST_BE_SHARE),
        requirement("impatient", is_share(clients.impatient_share), MUST_BE_SHARE),
        requirement("backoff_ms", is_positive(clients.backoff_ms), MUST_BE_POSITIVE),
    ]
}

fn server_requirements(servers: &CacheServers) -> [Requirement; 5] {
    let has_valid_initial_share =
        servers.slow_start_initial_share > 0.0 && is_share(servers.slow_start_initial_share);
    [
        requirement("work_ms", is_positive(servers.work_ms), MUST_BE_POSITIVE),
        requirement("slots", servers.slots_per_core > 0, MUST_BE_AT_LEAST_ONE),
        requirement("keep", is_positive(servers.cached_keys_ratio), MUST_BE_POSITIVE),
        requirement("cold_from", has_valid_initial_share, "must be a share over 0 and up to 1"),
        requirement("fall_times", is_positive(servers.collapse_load_factor), MUST_BE_POSITIVE),
    ]
}

fn origin_requirements(origin: &Origin) -> [Requirement; 3] {
    [
        requirement("capacity", is_positive(origin.capacity), MUST_BE_POSITIVE),
        requirement("work_ms", is_positive(origin.work_ms), MUST_BE_POSITIVE),
        requirement("fall_times", is_positive(origin.stop_load_factor), MUST_BE_POSITIVE),
    ]
}

fn discovery_requirements(discovery: &Discovery) -> [Requirement; 1] {
    [requirement("calls_per_s", is_positive(discovery.calls_per_s), MUST_BE_POSITIVE)]
}

fn net_requirements(net: &Net) -> [Requirement; 1] {
    [requirement("cross_ms", net.same_ms >= 0.0 && net.cross_ms >= 0.0, MUST_NOT_BE_NEGATIVE)]
}

/// The problems found so far in a file's text.
struct Problems<'a> {
    text: &'a str,
    found: Vec<FileProblem>,
}

impl Problems<'_> {
    /// Adds a problem for each requirement of a table that does not hold.
    fn require(&mut self, table: &str, requirements: impl IntoIterator<Item = Requirement>) {
        for Requirement { field, description, .. } in
            requirements.into_iter().filter(|requirement| !requirement.is_met)
        {
            let line = find_line(self.text, &format!("[{table}]"), 0, field);
            let field = if table.is_empty() { field.to_owned() } else { format!("{table}.{field}") };
            let description = format!("invalid value: it {description}");
            self.found.push(FileProblem { line, field, description });
        }
    }

    /// Adds a problem of a field of the fault with this number, from 0.
    fn add_to_fault(&mut self, number: usize, field: &str, description: impl Into<String>) {
        let line = find_line(self.text, "[[fault]]", number, field);
        let field = format!("fault {}: {field}", number + 1);
        self.found.push(FileProblem { line, field, description: description.into() });
    }
}

/// The line of a field in the table with this header and this number, from 0; the line of the header if the field is
/// missing.
fn find_line(text: &str, header: &str, number: usize, field: &str) -> Option<usize> {
    let mut tables_seen = 0;
    let mut is_inside = header == "[]";
    let mut header_line = None;
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.starts_with('[') {
            is_inside = line.starts_with(header) && tables_seen == number;
            tables_seen += usize::from(line.starts_with(header));
            if is_inside {
                header_line = Some(index + 1);
            }
        } else if is_inside && line.split('=').next().is_some_and(|name| name.trim() == field) {
            return Some(index + 1);
        }
    }
    header_line
}
