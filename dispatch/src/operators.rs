//! What an operator's call decides: readiness, the figures, and servers out by hand. No I/O: the node's
//! listener reads the calls and writes the replies.

#[cfg(test)]
mod tests;

use std::fmt::Write;

use juniperladder::{EndpointUpdate, ServerId};
use rustc_hash::FxHashSet;

use crate::dispatcher::Dispatcher;
use crate::identifiers::server_id;
use crate::request_metrics::RequestOutcome;

/// Why an operator is told no.
pub const NEVER_LISTED: &str = "no such cache host has been listed; give an instanceId of the list";

impl Dispatcher {
    /// Leaves a cache server out from now on, whatever discovery says, until [`Dispatcher::online`].
    pub fn offline(&self, name: &str) -> Result<(), &'static str> {
        self.ban(name, true)
    }

    /// Takes up a ban that an earlier process left.
    pub fn restore_ban(&self, name: &str) {
        let _ = self.ban(name, false);
    }

    fn ban(&self, name: &str, must_be_known: bool) -> Result<(), &'static str> {
        let now = self.clock().now();
        let mut state = self.state.borrow_mut();
        let told = state.bans.ban(server_id(name), name, now, must_be_known).map_err(|_| NEVER_LISTED)?;
        if let Some(listed_server) = told {
            self.apply_endpoints(&mut state, EndpointUpdate::OperatorOverride, &[listed_server]);
        }
        Ok(())
    }

    /// Ends a ban: the server serves again as discovery has it, cold as one that has just started.
    pub fn online(&self, name: &str) -> Result<(), &'static str> {
        let now = self.clock().now();
        let mut state = self.state.borrow_mut();
        let told = state.bans.unban(server_id(name), now).map_err(|_| NEVER_LISTED)?;
        if let Some(listed_server) = told {
            self.apply_endpoints(&mut state, EndpointUpdate::OperatorOverride, &[listed_server]);
        }
        Ok(())
    }

    /// The names of the servers out by hand.
    pub fn banned(&self) -> Vec<String> {
        self.state.borrow().bans.names()
    }

    /// The figures in the Prometheus text format, one class a label, then `more` and the line `--`.
    pub fn figures(&self, classes: &[String], more: &str) -> String {
        let in_progress = self.requests_in_progress() as u64;
        let state = self.state.borrow();
        let mut text = String::new();
        let endings = [
            ("passed", RequestOutcome::Served),
            ("dropped", RequestOutcome::Rejected),
            ("bad_gateway", RequestOutcome::Failed),
        ];
        for (name, how) in endings {
            let _ = writeln!(text, "# TYPE app_{name} counter");
            for (class, count) in self.request_metrics.count_by_class(how).into_iter().enumerate() {
                let category = classes.get(class).map_or("unknown", String::as_str);
                let _ = writeln!(text, "app_{name}{{category=\"{}\"}} {count}", escape(category));
            }
        }
        let limits = state.balancer.limits(self.clock().now());
        let gapped: FxHashSet<ServerId> =
            limits.servers.iter().filter(|limit| limit.gap.0 > 0).map(|limit| limit.server).collect();
        let known: Vec<ServerId> = state
            .bans
            .listed()
            .filter(|listed_server| self.origin != Some(listed_server.endpoint.kind))
            .map(|listed_server| listed_server.endpoint.server)
            .collect();
        let skipped =
            known.iter().filter(|server| state.bans.banned(**server) || gapped.contains(server)).count();
        let gauges = [
            ("upstream_tries", "counter", self.counters().attempts_written.get()),
            ("in_progress", "gauge", in_progress),
            ("known_cache_hosts", "gauge", known.len() as u64),
            ("skipped_cache_hosts", "gauge", skipped as u64),
        ];
        for (name, kind, value) in gauges {
            let _ = writeln!(text, "# TYPE app_{name} {kind}\napp_{name} {value}");
        }
        text.push_str(more);
        text.push_str("--\n");
        text
    }
}

fn escape(label: &str) -> String {
    label.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}
