//! What an operator's call decides: readiness, the figures, and hosts out by hand. No I/O: the node's
//! listener reads the calls and writes the replies.

use std::fmt::Write;

use juniperladder::{ListKind, ServerId};
use rustc_hash::FxHashSet;

use crate::exchange::Exchange;
use crate::numbers::server;

/// Why an operator is told no.
pub const NEVER_LISTED: &str = "no such cache host has been listed; give an instanceId of the list";

impl Exchange {
    /// Leaves a cache host out from now on, whatever discovery says, until [`Exchange::online`].
    pub fn offline(&self, name: &str) -> Result<(), &'static str> {
        self.ban(name, true)
    }

    /// Takes up a ban that an earlier process left.
    pub fn restore_ban(&self, name: &str) {
        let _ = self.ban(name, false);
    }

    fn ban(&self, name: &str, must_be_listed: bool) -> Result<(), &'static str> {
        let mut inner = self.inner.borrow_mut();
        let told = inner.bans.ban(server(name), name, must_be_listed).map_err(|_| NEVER_LISTED)?;
        if let Some(host) = told {
            self.tell(&mut inner, ListKind::Update, &[host]);
        }
        Ok(())
    }

    /// Ends a ban: the host serves again as discovery has it.
    pub fn online(&self, name: &str) -> Result<(), &'static str> {
        let mut inner = self.inner.borrow_mut();
        let told = inner.bans.unban(server(name)).map_err(|_| NEVER_LISTED)?;
        if let Some(host) = told {
            self.tell(&mut inner, ListKind::Update, &[host]);
        }
        Ok(())
    }

    /// The names of the hosts out by hand.
    pub fn banned(&self) -> Vec<String> {
        self.inner.borrow().bans.names()
    }

    /// The figures in the Prometheus text format, one class a label, then the line `--`.
    pub fn figures(&self, classes: &[String]) -> String {
        let in_progress = self.in_progress() as u64;
        let inner = self.inner.borrow();
        let mut text = String::new();
        for (place, name) in ["passed", "dropped", "bad_gateway"].into_iter().enumerate() {
            let _ = writeln!(text, "# TYPE app_{name} counter");
            for (class, counts) in inner.by_class.iter().enumerate() {
                let category = classes.get(class).map_or("unknown", String::as_str);
                let _ = writeln!(text, "app_{name}{{category=\"{}\"}} {}", escape(category), counts[place]);
            }
        }
        let (limits, _) = inner.balancer.limits(self.clock().now());
        let gapped: FxHashSet<ServerId> =
            limits.iter().filter(|limit| limit.gap.0 > 0).map(|limit| limit.server).collect();
        let known: Vec<ServerId> = inner
            .bans
            .listed()
            .filter(|host| self.origin != Some(host.entry.kind))
            .map(|host| host.entry.server)
            .collect();
        let skipped =
            known.iter().filter(|server| inner.bans.banned(**server) || gapped.contains(server)).count();
        let gauges = [
            ("upstream_tries", "counter", self.counters().tries.get()),
            ("in_progress", "gauge", in_progress),
            ("known_cache_hosts", "gauge", known.len() as u64),
            ("skipped_cache_hosts", "gauge", skipped as u64),
        ];
        for (name, kind, value) in gauges {
            let _ = writeln!(text, "# TYPE app_{name} {kind}\napp_{name} {value}");
        }
        text.push_str("--\n");
        text
    }
}

fn escape(label: &str) -> String {
    label.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}
