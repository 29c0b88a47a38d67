//! The operators' file of each process: the experiment's, with the process's own peers' address and the seeds filled in,
//! and the origin's capacity as the whole of its limit where the file leaves that open.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;

use juniperladder_platform_model::checker::{StatedBounds, StatedFailureDetection, StatedRetryBudget};
use juniperladder_platform_model::experiment::Experiment;
use juniperladder_platform_model::micros_from_millis;
use toml::{Table, Value};

use crate::peers::Relay;
use crate::Problem;

/// What the file states where it says nothing: the daemon's own defaults.
const SPREAD_MS: f64 = 50.0;
const SHARE: f64 = 0.4;
const SAVED: f64 = 10.0;
const EXPIRY_MS: f64 = 6_000.0;
/// Within which time all connected members act on what enough have seen, as docs/design/verdicts.md states it.
const ACT_MS: f64 = 3_000.0;
/// Members that each process calls first.
const SEEDS: usize = 3;

/// The operators' file of an experiment.
pub struct Operator {
    table: Table,
    relay: Rc<Relay>,
}

impl Operator {
    /// Reads the file that the experiment names, if it names one.
    pub fn read(e: &Experiment) -> Result<Option<Table>, Problem> {
        let Some(path) = &e.fleet.operator else { return Ok(None) };
        let wrong = |what: String| Problem::NotAllowed(format!("fleet.operator: {path}: {what}"));
        let text = std::fs::read_to_string(path).map_err(|e| wrong(e.to_string()))?;
        toml::from_str(&text).map(Some).map_err(|e| wrong(e.message().to_owned()))
    }

    /// The file, with the relay that stands for the processes.
    pub fn new(table: Table, relay: Rc<Relay>) -> Operator {
        Operator { table, relay }
    }

    /// What the program states by such a file; what it leaves out has the daemon's own default.
    pub fn stated(table: &Table, e: &Experiment) -> StatedBounds {
        let part = |names: &[&str]| {
            let mut at = Some(table);
            for name in names {
                at = at.and_then(|table| table.get(*name)).and_then(Value::as_table);
            }
            at
        };
        let number = |table: &Table, name: &str| {
            let value = table.get(name)?;
            value.as_float().or(value.as_integer().map(|whole| whole as f64))
        };
        let limits = part(&["limits"]);
        let spread = limits.and_then(|limits| number(limits, "spread_ms")).unwrap_or(SPREAD_MS);
        let retry_budget = part(&["limits", "second"]).map(|second| {
            let saved = number(second, "saved").unwrap_or(SAVED);
            let holders = limits.and_then(|limits| number(limits, "holders"));
            let holders = holders.unwrap_or(e.fleet.told.unwrap_or(e.fleet.balancers) as f64);
            StatedRetryBudget { share: number(second, "share").unwrap_or(SHARE), saved: saved * holders }
        });
        let failure_detection = part(&["verdicts"]).map(|verdicts| {
            let expiry_ms = number(verdicts, "expiry_ms").unwrap_or(EXPIRY_MS);
            StatedFailureDetection {
                reaction_time: micros_from_millis(ACT_MS),
                report_expiry: micros_from_millis(expiry_ms),
            }
        });
        StatedBounds {
            origin_per_s: Operator::whole(table, e),
            send_time_spread: micros_from_millis(spread),
            slow_start_per_s: part(&["limits", "cold"]).and_then(|cold| number(cold, "per_s")),
            retry_budget,
            failure_detection,
        }
    }

    /// The whole of the origin's limit.
    pub fn whole(table: &Table, e: &Experiment) -> f64 {
        let given = table
            .get("limits")
            .and_then(|limits| limits.get("origin"))
            .and_then(|origin| origin.get("per_s"));
        given.and_then(Value::as_integer).map_or(e.origin.capacity.floor(), |per_s| per_s as f64)
    }

    /// The copy for one process.
    pub fn copy(&self, e: &Experiment, number: usize) -> std::io::Result<String> {
        let known = self.relay.address(number)?;
        // An address of its own on loopback, at the port that the relay holds for it: no other run has that port.
        let run = std::process::id() as u8 % 250 + 1;
        let own = Ipv4Addr::new(127, run, (number >> 8) as u8, number as u8);
        let listen = SocketAddr::new(IpAddr::V4(own), known.port());
        self.relay.is_at(number, listen);
        let count = e.fleet.balancers;
        let seeds: Vec<Value> = (0..SEEDS.min(count))
            .map(|seed| Ok(Value::String(self.relay.address(seed * count / SEEDS.min(count))?.to_string())))
            .collect::<std::io::Result<_>>()?;
        let table = within(self.table.clone(), "peers", |peers| {
            peers.insert("listen".into(), Value::String(listen.to_string()));
            peers.insert("address".into(), Value::String(known.to_string()));
            peers.insert("seeds".into(), Value::Array(seeds));
        });
        let whole = Value::Integer(Operator::whole(&self.table, e) as i64);
        let table = within(table, "limits", |limits| {
            *limits =
                within(std::mem::take(limits), "origin", |origin| drop(origin.insert("per_s".into(), whole)));
        });
        Ok(table.to_string())
    }
}

/// Changes a table within a table, which is made where it is not there.
fn within(mut table: Table, name: &str, change: impl FnOnce(&mut Table)) -> Table {
    let mut one = match table.remove(name) {
        Some(Value::Table(one)) => one,
        _ => Table::new(),
    };
    change(&mut one);
    table.insert(name.into(), Value::Table(one));
    table
}
