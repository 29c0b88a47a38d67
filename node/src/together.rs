//! What the decisions see of the talk between balancers, and what operators do.

use std::cell::RefCell;
use std::fmt::Write;
use std::rc::Rc;

use juniperladder::{Coordination, Micros, ServerId, ServingServer, SharedLimit};
use juniperladder_cluster::rate_limit::{RateLimit, RateLimitMetrics};
use juniperladder_cluster::slow_start_limit::SlowStartAccess;
use juniperladder_cluster::{Cluster, ClusterMetrics, ServerIncarnation};

use crate::operator::ORIGIN;

/// How long a send waits where a server that warms up has no part here yet: something may be lent by then.
const MOMENT: Micros = Micros(50_000);

/// The decisions' view of a balancer's side of the talk.
#[derive(Debug)]
pub struct Together(Rc<RefCell<Cluster>>);

impl Together {
    /// The view of this side.
    pub fn new(cluster: Rc<RefCell<Cluster>>) -> Together {
        Together(cluster)
    }

    /// Does something with the part of a limit in units; none where there is no such limit, or the server is warm.
    fn units<T>(&self, of: SharedLimit, now: Micros, act: impl FnOnce(&mut RateLimit) -> T) -> Option<T> {
        let mut cluster = self.0.borrow_mut();
        match of {
            SharedLimit::OriginRate => cluster.rate_limit(ORIGIN).map(act),
            SharedLimit::SlowStart(listed_server, started) => {
                match cluster.slow_start(incarnation(listed_server, started), now) {
                    SlowStartAccess::Limited(limit) => Some(act(limit)),
                    SlowStartAccess::Unlimited | SlowStartAccess::Unavailable => None,
                }
            }
            SharedLimit::RetryBudget => None,
        }
    }
}

fn incarnation(server: ServerId, started: Micros) -> ServerIncarnation {
    ServerIncarnation { server, started }
}

impl Coordination for Together {
    fn wait_time(&mut self, of: SharedLimit, now: Micros) -> Option<Micros> {
        match of {
            SharedLimit::RetryBudget => {
                let has = self.0.borrow_mut().retry_budget()?.has_credit(now);
                Some(if has { Micros(0) } else { MOMENT })
            }
            SharedLimit::SlowStart(listed_server, started) => {
                match self.0.borrow_mut().slow_start(incarnation(listed_server, started), now) {
                    SlowStartAccess::Unlimited => None,
                    SlowStartAccess::Limited(limit) => Some(limit.wait_time(now)),
                    SlowStartAccess::Unavailable => Some(MOMENT),
                }
            }
            SharedLimit::OriginRate => self.units(of, now, |limit| limit.wait_time(now)),
        }
    }

    fn acquire(&mut self, of: SharedLimit, now: Micros) {
        match of {
            SharedLimit::RetryBudget => {
                if let Some(budget) = self.0.borrow_mut().retry_budget() {
                    budget.acquire(now);
                }
            }
            _ => drop(self.units(of, now, |limit| limit.acquire(now))),
        }
    }

    fn on_rejected(&mut self, of: SharedLimit, now: Micros) {
        match of {
            SharedLimit::RetryBudget => {
                if let Some(budget) = self.0.borrow_mut().retry_budget() {
                    budget.on_rejected(now);
                }
            }
            _ => drop(self.units(of, now, |limit| limit.on_rejected(now))),
        }
    }

    fn on_first_attempt(&mut self, _now: Micros) {
        if let Some(budget) = self.0.borrow_mut().retry_budget() {
            budget.on_first_attempt();
        }
    }

    fn on_endpoints_changed(&mut self, servers: &[ServingServer]) {
        if let Some(detector) = self.0.borrow_mut().failure_detector() {
            detector.on_endpoints_changed(servers);
        }
    }

    fn on_server_observed(&mut self, listed_server: ServerId, started: Micros, silent: bool, now: Micros) {
        let start = incarnation(listed_server, started);
        if let Some(detector) = self.0.borrow_mut().failure_detector() {
            detector.on_server_observed(start, silent, now);
        }
    }

    fn is_suspected(
        &mut self,
        listed_server: ServerId,
        started: Micros,
        heard: Micros,
        per_s: f64,
        now: Micros,
    ) -> bool {
        let start = incarnation(listed_server, started);
        let mut cluster = self.0.borrow_mut();
        cluster.failure_detector().is_some_and(|detector| detector.is_suspected(start, heard, per_s, now))
    }
}

/// The figures in the Prometheus text format. `bound` is what is stated of the origin's limit.
pub fn text(metrics: &ClusterMetrics, bound: f64) -> String {
    let members = &metrics.members;
    let mut text = String::from("# TYPE app_members gauge\n");
    for (state, count) in [("alive", members.alive), ("suspect", members.suspect), ("down", members.down)] {
        let _ = writeln!(text, "app_members{{state=\"{state}\"}} {count}");
    }
    let counts = [
        ("packets_sent", metrics.sent.packets),
        ("packet_bytes_sent", metrics.sent.bytes),
        ("packets_heard", metrics.received.packets),
        ("packet_bytes_heard", metrics.received.bytes),
        ("packets_dropped", metrics.dropped_packets),
        ("packets_of_other_files", metrics.terms_mismatches),
    ];
    for (name, count) in counts {
        let _ = writeln!(text, "# TYPE app_peer_{name} counter\napp_peer_{name} {count}");
    }
    for limit in &metrics.rate_limits {
        let name = &limit.name;
        let _ = writeln!(text, "app_limit_bound{{limit=\"{name}\"}} {bound}");
        of_limit(&mut text, name, &limit.metrics);
    }
    if let Some(slow_start) = &metrics.slow_start {
        of_limit(&mut text, "cold", &slow_start.rate_limits);
        let _ = writeln!(text, "app_limit_cold_hosts {}", slow_start.servers);
    }
    if let Some(budget) = &metrics.retry_budget {
        let figures = [
            ("own", budget.own_credits),
            ("from_others", budget.received_credits),
            ("spent", budget.retries as f64),
            ("first_tries", budget.first_attempts as f64),
            ("given", budget.transferred_credits as f64),
            ("denied", budget.rejected as f64),
        ];
        for (figure, value) in figures {
            let _ = writeln!(text, "app_second_tries_{figure} {value}");
        }
    }
    if let Some(verdicts) = &metrics.failure_detector {
        let figures = [
            ("held{kind=\"silent\"}", verdicts.silent_reports as f64),
            ("held{kind=\"answers\"}", verdicts.answer_reports as f64),
            ("hosts_passed_by", verdicts.suspected_servers as f64),
            ("hosts_beyond_the_most", verdicts.servers_beyond_limit as f64),
            ("witnesses_refused", verdicts.discredited_reporters as f64),
            ("sends_spared", verdicts.avoided_requests as f64),
            ("tries", verdicts.trials as f64),
            ("told", verdicts.own_reports as f64),
            ("oldest_acted_seconds", verdicts.oldest_used_report.as_f64() / 1e6),
        ];
        for (figure, value) in figures {
            let _ = writeln!(text, "app_verdicts_{figure} {value}");
        }
    }
    text
}

fn of_limit(text: &mut String, name: &str, limit: &RateLimitMetrics) {
    let contact = limit.since_contact.map_or(-1.0, |age| age.as_f64() / 1e6);
    let gauges = [
        ("whole", f64::from(limit.total_tokens)),
        ("own", f64::from(limit.owned_tokens)),
        ("held", f64::from(limit.usable_tokens)),
        ("used", f64::from(limit.used_tokens)),
        ("lent", f64::from(limit.leased_out_tokens)),
        ("borrowed", f64::from(limit.borrowed_tokens)),
        ("wanted", f64::from(limit.demanded_tokens)),
        ("contact_age_seconds", contact),
        ("short_seconds", limit.short_time.as_f64() / 1e6),
        ("denied", limit.rejected as f64),
    ];
    for (figure, value) in gauges {
        let _ = writeln!(text, "app_limit_{figure}{{limit=\"{name}\"}} {value}");
    }
}
