//! Checks of an experiment's file beyond its form: values out of range, faults on who does not exist, faults that
//! contradict each other. Each problem names the line, the field and what would be right.

mod faults;

#[cfg(test)]
mod tests;

use crate::experiment::{
    Burst, CacheServers, Clients, Discovery, Experiment, FileProblem, Fleet, Hot, Load, Net, Origin,
};

/// The most processes of a run: as many as a fleet's membership holds.
const MAX_BALANCERS: usize = 1_024;
/// The most cache servers.
const MAX_SERVERS: usize = 1_024;
/// The most zones.
const MAX_ZONES: usize = 16;
/// The longest warming up, in seconds.
const MAX_WARM_S: f64 = 600.0;

const IS_POSITIVE: &str = "is a number over 0";
const IS_NOT_NEGATIVE: &str = "is a number from 0 up";
const IS_SHARE: &str = "is a share from 0 to 1";
const IS_AT_LEAST_ONE: &str = "is at least 1";

/// Everything that is wrong with an experiment; `text` is the file's, for the lines.
pub fn find_problems(experiment: &Experiment, text: &str) -> Vec<FileProblem> {
    let mut problems = Problems { text, found: Vec::new() };
    problems.require("", [requirement("seconds", is_positive(experiment.seconds), IS_POSITIVE)]);
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

/// What has to hold of a field.
struct Requirement {
    field: &'static str,
    holds: bool,
    /// What would be right, after "it".
    description: &'static str,
}

fn requirement(field: &'static str, holds: bool, description: &'static str) -> Requirement {
    Requirement { field, holds, description }
}

fn is_positive(value: f64) -> bool {
    value > 0.0 && value.is_finite()
}

fn is_share(value: f64) -> bool {
    (0.0..=1.0).contains(&value)
}

fn fleet_requirements(fleet: &Fleet) -> [Requirement; 5] {
    let has_balancers = (1..=MAX_BALANCERS).contains(&fleet.balancers);
    let has_servers = (1..=MAX_SERVERS).contains(&fleet.servers);
    let has_zones = (1..=MAX_ZONES).contains(&fleet.zones);
    let has_weights = !fleet.weights.is_empty() && fleet.weights.iter().all(|weight| is_positive(*weight));
    [
        requirement("balancers", has_balancers, "lies from 1 to 1024"),
        requirement("hosts", has_servers, "lies from 1 to 1024"),
        requirement("zones", has_zones, "lies from 1 to 16"),
        requirement("told", fleet.stated_balancers != Some(0), IS_AT_LEAST_ONE),
        requirement("weights", has_weights, "are numbers over 0"),
    ]
}

fn load_requirements(load: &Load) -> [Requirement; 12] {
    let is_zipf = load.zipf >= 0.0 && load.zipf.is_finite();
    let is_warm = (0.0..=MAX_WARM_S).contains(&load.warm);
    let has_uneven_share = load.uneven.is_none_or(|uneven| is_share(uneven.share));
    let has_uneven_at = load.uneven.is_none_or(|uneven| uneven.at > 0.0 && uneven.at <= 1.0);
    let is_hot = |hot: &Hot| is_share(hot.share) && hot.at >= 0.0;
    let hot_share: f64 = load.hot.iter().map(|hot| hot.share).sum();
    let is_burst = |burst: &Burst| burst.at >= 0.0 && burst.lasts > 0.0 && burst.times >= 0.0;
    [
        requirement("rate", is_positive(load.rate), IS_POSITIVE),
        requirement("keys", load.keys > 0, IS_AT_LEAST_ONE),
        requirement("zipf", is_zipf, IS_NOT_NEGATIVE),
        requirement("writes", is_share(load.writes), IS_SHARE),
        requirement("drift", is_share(load.drift), IS_SHARE),
        requirement("ramp", is_positive(load.ramp), IS_POSITIVE),
        requirement("warm", is_warm, "lies from 0 to 600 s"),
        requirement("uneven", has_uneven_share, "has a share from 0 to 1"),
        requirement("uneven", has_uneven_at, "has an at over 0 and up to 1"),
        requirement("hot", load.hot.iter().all(is_hot), "has shares from 0 to 1"),
        requirement("hot", hot_share <= 1.0, "has shares that are 1 at most together"),
        requirement("burst", load.burst.iter().all(is_burst), "begins at 0 or later and lasts over 0 s"),
    ]
}

fn clients_requirements(clients: &Clients) -> [Requirement; 3] {
    [
        requirement("honour", is_share(clients.honour), IS_SHARE),
        requirement("impatient", is_share(clients.impatient), IS_SHARE),
        requirement("backoff_ms", is_positive(clients.backoff_ms), IS_POSITIVE),
    ]
}

fn server_requirements(servers: &CacheServers) -> [Requirement; 5] {
    let has_initial_share = servers.cold_from > 0.0 && is_share(servers.cold_from);
    [
        requirement("work_ms", is_positive(servers.work_ms), IS_POSITIVE),
        requirement("slots", servers.slots > 0, IS_AT_LEAST_ONE),
        requirement("keep", is_positive(servers.keep), IS_POSITIVE),
        requirement("cold_from", has_initial_share, "is a share over 0"),
        requirement("fall_times", is_positive(servers.fall_times), IS_POSITIVE),
    ]
}

fn origin_requirements(origin: &Origin) -> [Requirement; 3] {
    [
        requirement("capacity", is_positive(origin.capacity), IS_POSITIVE),
        requirement("work_ms", is_positive(origin.work_ms), IS_POSITIVE),
        requirement("fall_times", is_positive(origin.fall_times), IS_POSITIVE),
    ]
}

fn discovery_requirements(discovery: &Discovery) -> [Requirement; 1] {
    [requirement("calls_per_s", is_positive(discovery.calls_per_s), IS_POSITIVE)]
}

fn net_requirements(net: &Net) -> [Requirement; 1] {
    [requirement("cross_ms", net.same_ms >= 0.0 && net.cross_ms >= 0.0, IS_NOT_NEGATIVE)]
}

/// The problems found so far in a file's text.
struct Problems<'a> {
    text: &'a str,
    found: Vec<FileProblem>,
}

impl Problems<'_> {
    /// Notes the fields of a table that are not as they have to be.
    fn require(&mut self, table: &str, requirements: impl IntoIterator<Item = Requirement>) {
        for Requirement { field, description, .. } in requirements.into_iter().filter(|one| !one.holds) {
            let line = line_of(self.text, &format!("[{table}]"), 0, field);
            let field = if table.is_empty() { field.to_owned() } else { format!("{table}.{field}") };
            let description = format!("what is given cannot be: it {description}");
            self.found.push(FileProblem { line, field, description });
        }
    }

    /// Notes what is wrong with a field of the fault with this number, from 0.
    fn add_to_fault(&mut self, number: usize, field: &str, description: impl Into<String>) {
        let line = line_of(self.text, "[[fault]]", number, field);
        let field = format!("fault {}: {field}", number + 1);
        self.found.push(FileProblem { line, field, description: description.into() });
    }
}

/// The line of a field in the table with this head and number, from 0; the line of the head where the field is not there.
fn line_of(text: &str, head: &str, number: usize, field: &str) -> Option<usize> {
    let mut tables_seen = 0;
    let mut is_inside = head == "[]";
    let mut head_line = None;
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.starts_with('[') {
            is_inside = line.starts_with(head) && tables_seen == number;
            tables_seen += usize::from(line.starts_with(head));
            if is_inside {
                head_line = Some(index + 1);
            }
        } else if is_inside && line.split('=').next().is_some_and(|name| name.trim() == field) {
            return Some(index + 1);
        }
    }
    head_line
}
