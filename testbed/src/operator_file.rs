//! The operators' file of each process: a copy of the experiment's file with the process's own address for peers and the
//! seeds filled in. If the file sets no limit for the origin, the copy has the origin's capacity as the limit.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;

use juniperladder_platform_model::checker::{StatedBounds, StatedFailureDetection, StatedRetryBudget};
use juniperladder_platform_model::experiment::Experiment;
use juniperladder_platform_model::micros_from_millis;
use toml::{Table, Value};

use crate::peer_relay::PeerRelay;
use crate::SetupError;

/// Default for the maximum difference in the duration of sends, in milliseconds. This default and those below are the
/// program's own.
const DEFAULT_SPREAD_MS: f64 = 50.0;
/// Default for the number of retries per first attempt.
const DEFAULT_RETRY_SHARE: f64 = 0.4;
/// Default for the number of unused retries that a balancer may save.
const DEFAULT_SAVED_RETRIES: f64 = 10.0;
/// Default for the time for which a fault report is effective, in milliseconds.
const DEFAULT_EXPIRY_MS: f64 = 6_000.0;
/// Time within which all connected members act on a fault that enough members have reported, in milliseconds, as stated in
/// docs/design/verdicts.md.
const REACTION_TIME_MS: f64 = 3_000.0;
/// Number of seed members that each process contacts first.
const SEED_COUNT: usize = 3;

/// The operators' file of an experiment.
pub struct OperatorFile {
    table: Table,
}

impl OperatorFile {
    /// Reads the operators' file of the experiment, if it names one.
    pub fn read(experiment: &Experiment) -> Result<Option<OperatorFile>, SetupError> {
        let Some(path) = &experiment.fleet.operator else { return Ok(None) };
        let text = std::fs::read_to_string(path)
            .map_err(|source| SetupError::OperatorFile { path: path.clone(), source })?;
        let table = toml::from_str(&text).map_err(|source| SetupError::OperatorFileSyntax {
            path: path.clone(),
            source: Box::new(source),
        })?;
        Ok(Some(OperatorFile { table }))
    }

    /// The bounds that the program states for this file; a missing value has the program's default.
    pub fn stated_bounds(&self, experiment: &Experiment) -> StatedBounds {
        let spread_ms = self.number(&["limits", "spread_ms"]).unwrap_or(DEFAULT_SPREAD_MS);
        StatedBounds {
            origin_per_s: self.origin_limit(experiment),
            send_time_spread: micros_from_millis(spread_ms),
            slow_start_per_s: self.number(&["limits", "cold", "per_s"]),
            retry_budget: self.stated_retry_budget(experiment),
            failure_detection: self.stated_failure_detection(),
        }
    }

    fn stated_retry_budget(&self, experiment: &Experiment) -> Option<StatedRetryBudget> {
        self.table_at(&["limits", "second"])?;
        let fleet = &experiment.fleet;
        let stated_balancers = fleet.stated_balancers.unwrap_or(fleet.balancers) as f64;
        let holders = self.number(&["limits", "holders"]).unwrap_or(stated_balancers);
        let saved = self.number(&["limits", "second", "saved"]).unwrap_or(DEFAULT_SAVED_RETRIES);
        Some(StatedRetryBudget {
            share: self.number(&["limits", "second", "share"]).unwrap_or(DEFAULT_RETRY_SHARE),
            saved: saved * holders,
        })
    }

    fn stated_failure_detection(&self) -> Option<StatedFailureDetection> {
        self.table_at(&["verdicts"])?;
        let expiry_ms = self.number(&["verdicts", "expiry_ms"]).unwrap_or(DEFAULT_EXPIRY_MS);
        Some(StatedFailureDetection {
            reaction_time: micros_from_millis(REACTION_TIME_MS),
            report_expiry: micros_from_millis(expiry_ms),
        })
    }

    fn value_at(&self, path: &[&str]) -> Option<&Value> {
        let (name, parents) = path.split_last()?;
        let mut table = &self.table;
        for parent in parents {
            table = table.get(*parent)?.as_table()?;
        }
        table.get(*name)
    }

    fn table_at(&self, path: &[&str]) -> Option<&Table> {
        self.value_at(path)?.as_table()
    }

    fn number(&self, path: &[&str]) -> Option<f64> {
        let value = self.value_at(path)?;
        value.as_float().or(value.as_integer().map(|integer| integer as f64))
    }

    /// The rate limit `origin`, in fetches and writes per second: the file's value, or the origin's capacity if the file sets
    /// none.
    fn origin_limit(&self, experiment: &Experiment) -> f64 {
        let given = self.value_at(&["limits", "origin", "per_s"]).and_then(Value::as_integer);
        given.map_or(experiment.origin.capacity.floor(), |per_s| per_s as f64)
    }

    /// Builds the copy for the process with this number, and sets the process's real address in the relay.
    pub fn copy_for(
        &self,
        experiment: &Experiment,
        relay: &Rc<PeerRelay>,
        number: usize,
    ) -> io::Result<String> {
        let known_address = relay.address(number)?;
        let listen_address = listen_address(number, known_address.port());
        relay.set_real_address(number, listen_address);
        let seeds = seed_addresses(relay, experiment.fleet.balancers)?;
        let origin_limit = Value::Integer(self.origin_limit(experiment) as i64);
        let mut table = self.table.clone();
        change_subtable(&mut table, "peers", |peers| {
            peers.insert("listen".into(), Value::String(listen_address.to_string()));
            peers.insert("address".into(), Value::String(known_address.to_string()));
            peers.insert("seeds".into(), Value::Array(seeds));
        });
        change_subtable(&mut table, "limits", |limits| {
            change_subtable(limits, "origin", |origin| {
                origin.insert("per_s".into(), origin_limit);
            });
        });
        Ok(table.to_string())
    }
}

/// The address at which a process listens for its peers: a loopback IP address that only this process uses, and the port of
/// the process's relay socket, which no other run uses.
fn listen_address(number: usize, port: u16) -> SocketAddr {
    let run = std::process::id() as u8 % 250 + 1;
    let ip = Ipv4Addr::new(127, run, (number >> 8) as u8, number as u8);
    SocketAddr::new(IpAddr::V4(ip), port)
}

/// The relay's addresses of the seeds, which are evenly spaced over all members.
fn seed_addresses(relay: &PeerRelay, balancers: usize) -> io::Result<Vec<Value>> {
    let count = SEED_COUNT.min(balancers);
    let address = |seed| Ok(Value::String(relay.address(seed * balancers / count)?.to_string()));
    (0..count).map(address).collect()
}

/// Changes a subtable; creates it if it does not exist.
fn change_subtable(table: &mut Table, name: &str, change: impl FnOnce(&mut Table)) {
    let mut inner = match table.remove(name) {
        Some(Value::Table(inner)) => inner,
        _ => Table::new(),
    };
    change(&mut inner);
    table.insert(name.to_owned(), Value::Table(inner));
}
