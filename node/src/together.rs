//! What the decisions see of the talk between balancers, and what operators do.

use std::cell::RefCell;
use std::fmt::Write;
use std::rc::Rc;

use juniperladder::{Coordination, Micros, ServerId, ServingServer, SharedLimit};
use juniperladder_cluster::cold::Start;
use juniperladder_cluster::rate_limit::RateLimit;
use juniperladder_cluster::{rate_limit, Cluster, Figures};

use crate::cluster_config::ORIGIN_LIMIT;

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
            SharedLimit::OriginRate => cluster.limit(ORIGIN_LIMIT).map(act),
            SharedLimit::SlowStart(listed_server, started) => {
                cluster.cold(start(listed_server, started), now).0.map(act)
            }
            SharedLimit::RetryBudget => None,
        }
    }
}

fn start(server: ServerId, started: Micros) -> Start {
    Start { server: server.0, started }
}

impl Coordination for Together {
    fn wait_time(&mut self, of: SharedLimit, now: Micros) -> Option<Micros> {
        match of {
            SharedLimit::RetryBudget => {
                let has = self.0.borrow_mut().second()?.has(now);
                Some(if has { Micros(0) } else { MOMENT })
            }
            SharedLimit::SlowStart(listed_server, started) => {
                match self.0.borrow_mut().cold(start(listed_server, started), now) {
                    (Some(limit), _) => Some(limit.wait_time(now)),
                    (None, shut) => shut.then_some(MOMENT),
                }
            }
            SharedLimit::OriginRate => self.units(of, now, |limit| limit.wait_time(now)),
        }
    }

    fn acquire(&mut self, of: SharedLimit, now: Micros) {
        match of {
            SharedLimit::RetryBudget => {
                self.0.borrow_mut().second().into_iter().for_each(|budget| budget.spend(now))
            }
            _ => drop(self.units(of, now, |limit| limit.acquire(now))),
        }
    }

    fn on_rejected(&mut self, of: SharedLimit, now: Micros) {
        match of {
            SharedLimit::RetryBudget => {
                self.0.borrow_mut().second().into_iter().for_each(|budget| budget.denied(now))
            }
            _ => drop(self.units(of, now, |limit| limit.on_rejected(now))),
        }
    }

    fn on_first_attempt(&mut self, _now: Micros) {
        self.0.borrow_mut().second().into_iter().for_each(|budget| budget.first());
    }

    fn on_endpoints_changed(&mut self, servers: &[ServingServer]) {
        let servers = servers.iter().map(|serving| (start(serving.server, serving.started), serving.zone));
        self.0.borrow_mut().verdicts().into_iter().for_each(|verdicts| verdicts.listed(servers.clone()));
    }

    fn on_server_observed(&mut self, listed_server: ServerId, started: Micros, silent: bool, now: Micros) {
        let start = start(listed_server, started);
        self.0.borrow_mut().verdicts().into_iter().for_each(|verdicts| verdicts.saw(start, silent, now));
    }

    fn is_suspected(
        &mut self,
        listed_server: ServerId,
        started: Micros,
        heard: Micros,
        per_s: f64,
        now: Micros,
    ) -> bool {
        let start = start(listed_server, started);
        let mut cluster = self.0.borrow_mut();
        cluster.verdicts().is_some_and(|verdicts| verdicts.warned(start, heard, per_s, now))
    }
}

/// The figures in the Prometheus text format. `bound` is what is stated of the origin's limit.
pub fn text(figures: &Figures, bound: f64) -> String {
    let Figures { members, limits, cold, second, verdicts, sent, heard, dropped, differ } = figures;
    let mut text = String::from("# TYPE app_members gauge\n");
    for (state, count) in [("alive", members.alive), ("suspect", members.suspect), ("down", members.down)] {
        let _ = writeln!(text, "app_members{{state=\"{state}\"}} {count}");
    }
    let counts = [
        ("packets_sent", sent.0),
        ("packet_bytes_sent", sent.1),
        ("packets_heard", heard.0),
        ("packet_bytes_heard", heard.1),
        ("packets_dropped", *dropped),
        ("packets_of_other_files", *differ),
    ];
    for (name, count) in counts {
        let _ = writeln!(text, "# TYPE app_peer_{name} counter\napp_peer_{name} {count}");
    }
    for (name, limit) in limits {
        let _ = writeln!(text, "app_limit_bound{{limit=\"{name}\"}} {bound}");
        of_limit(&mut text, name, limit);
    }
    if let Some((limit, servers)) = cold {
        of_limit(&mut text, "cold", limit);
        let _ = writeln!(text, "app_limit_cold_hosts {servers}");
    }
    if let Some(budget) = second {
        let figures = [
            ("own", budget.own),
            ("from_others", budget.got),
            ("spent", budget.spent as f64),
            ("first_tries", budget.first as f64),
            ("given", budget.given as f64),
            ("denied", budget.denied as f64),
        ];
        for (figure, value) in figures {
            let _ = writeln!(text, "app_second_tries_{figure} {value}");
        }
    }
    if let Some(verdicts) = verdicts {
        let figures = [
            ("held{kind=\"silent\"}", verdicts.silent as f64),
            ("held{kind=\"answers\"}", verdicts.sound as f64),
            ("hosts_passed_by", verdicts.against as f64),
            ("hosts_beyond_the_most", verdicts.beyond as f64),
            ("witnesses_refused", verdicts.refused as f64),
            ("sends_spared", verdicts.passed as f64),
            ("tries", verdicts.tried as f64),
            ("told", verdicts.told as f64),
            ("oldest_acted_seconds", verdicts.oldest.as_f64() / 1e6),
        ];
        for (figure, value) in figures {
            let _ = writeln!(text, "app_verdicts_{figure} {value}");
        }
    }
    text
}

fn of_limit(text: &mut String, name: &str, limit: &rate_limit::RateLimitMetrics) {
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
