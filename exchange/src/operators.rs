//! What an operator's call decides: readiness, the figures, and hosts out by hand. No I/O: the node's
//! listener reads the calls and writes the replies.

use std::fmt::Write;

use juniperladder::{ListKind, ServerId};
use rustc_hash::FxHashSet;

use crate::exchange::Exchange;
use crate::numbers::server;
use crate::tally::Ended;

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

    fn ban(&self, name: &str, must_be_known: bool) -> Result<(), &'static str> {
        let now = self.clock().now();
        let mut inner = self.inner.borrow_mut();
        let told = inner.bans.ban(server(name), name, now, must_be_known).map_err(|_| NEVER_LISTED)?;
        if let Some(host) = told {
            self.tell(&mut inner, ListKind::ByHand, &[host]);
        }
        Ok(())
    }

    /// Ends a ban: the host serves again as discovery has it, cold as one that has just started.
    pub fn online(&self, name: &str) -> Result<(), &'static str> {
        let now = self.clock().now();
        let mut inner = self.inner.borrow_mut();
        let told = inner.bans.unban(server(name), now).map_err(|_| NEVER_LISTED)?;
        if let Some(host) = told {
            self.tell(&mut inner, ListKind::ByHand, &[host]);
        }
        Ok(())
    }

    /// The names of the hosts out by hand.
    pub fn banned(&self) -> Vec<String> {
        self.inner.borrow().bans.names()
    }

    /// The figures in the Prometheus text format, one class a label, then `more` and the line `--`.
    pub fn figures(&self, classes: &[String], more: &str) -> String {
        let in_progress = self.in_progress() as u64;
        let inner = self.inner.borrow();
        let mut text = String::new();
        let endings =
            [("passed", Ended::Passed), ("dropped", Ended::Dropped), ("bad_gateway", Ended::Failed)];
        for (name, how) in endings {
            let _ = writeln!(text, "# TYPE app_{name} counter");
            for (class, count) in self.tally.ended(how).into_iter().enumerate() {
                let category = classes.get(class).map_or("unknown", String::as_str);
                let _ = writeln!(text, "app_{name}{{category=\"{}\"}} {count}", escape(category));
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
        text.push_str(more);
        text.push_str("--\n");
        text
    }
}

fn escape(label: &str) -> String {
    label.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}

#[cfg(test)]
mod tests {
    use std::rc::Rc;

    use bytes::Bytes;
    use juniperladder::{Effect, State};
    use tokio::task::spawn_local;
    use tokio::time::{timeout, Duration};

    use super::*;
    use crate::exchange::{Answer, End, Host, Reply};
    use crate::testing::{self, command, exchange, host, settings, Recorder, HOST};

    const NAME: &str = "s-00000009";

    fn balancer() -> (Rc<Exchange>, Rc<Recorder>) {
        assert_eq!(server(NAME), HOST);
        let recorder = Rc::new(Recorder::default());
        let exchange = exchange(settings(3, Effect::Safe), recorder.clone(), 4);
        let timers = Rc::clone(&exchange);
        spawn_local(async move { timers.run().await });
        (exchange, recorder)
    }

    /// So many commands for as many keys, each served by where it goes; how many go to the host.
    async fn sent_there(exchange: &Exchange, recorder: &Recorder, commands: u64) -> usize {
        let mut there = 0;
        for n in 0..commands {
            let mut asked = command("1", None);
            asked.key = Bytes::from(format!("{n:016x}"));
            let (_, answer) = exchange.take(asked).unwrap();
            for attempt in recorder.begun.take() {
                there += usize::from(attempt.server == HOST);
                exchange.ended(attempt.id, End::Reply(Reply::Served(Answer::Value("v".into()))));
            }
            assert!(matches!(answer.await, Ok(Answer::Value(_) | Answer::Rejected(_))));
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        there
    }

    fn told(state: State, started: u64) -> Host {
        let mut host = host(HOST, state);
        host.entry.started = juniperladder::Micros(started);
        host
    }

    /// A call is no news from discovery: the balancer goes on to ask for the list, the first time as well as
    /// after a watch was lost, or it would send by a list that nobody keeps up to date.
    #[test]
    fn an_operators_call_puts_off_no_watch() {
        testing::run(async {
            let (exchange, _) = balancer();
            let within = Duration::from_micros(settings(3, Effect::Safe).rules.ask_within.0);
            for _ in 0..3 {
                exchange.offline(NAME).unwrap();
                exchange.online(NAME).unwrap();
                exchange.restore_ban(NAME);
                exchange.online(NAME).unwrap();
                timeout(within, exchange.watch_wanted()).await.expect("the list has to be asked for in time");
                exchange.listed(ListKind::Update, &[]);
                exchange.listed(ListKind::Unavailable, &[]);
            }
        });
    }

    /// From the call out to the call back nothing goes to the host, whatever discovery says and whoever
    /// replaces the process; then it serves again.
    #[test]
    fn nothing_goes_to_a_host_out_by_hand_whatever_discovery_says() {
        testing::run(async {
            let mut fleet: Vec<_> = (0..3).map(|_| balancer()).collect();
            let others: Vec<Host> = (1..4).map(|n| host(ServerId(HOST.0 + n), State::Serving)).collect();
            let with = |here: Host| others.iter().cloned().chain([here]).collect::<Vec<_>>();
            let mut moved = told(State::Serving, 60_000_000);
            moved.address = Some(([127, 0, 0, 1], 2).into());
            let news = [
                (ListKind::Update, vec![told(State::Deleted, 0)]),
                (ListKind::Update, vec![told(State::Serving, 50_000_000)]),
                (ListKind::Update, vec![moved.clone()]),
                (ListKind::Replace, others.clone()),
                (ListKind::Replace, with(moved)),
                (ListKind::Unavailable, vec![]),
                (ListKind::Restored, with(told(State::Serving, 0))),
            ];
            for (exchange, recorder) in &fleet {
                assert!(sent_there(exchange, recorder, 40).await > 0, "it is in use");
                exchange.offline(NAME).unwrap();
            }
            for (kind, hosts) in news {
                for (exchange, recorder) in &fleet {
                    exchange.listed(kind, &hosts);
                    assert_eq!(sent_there(exchange, recorder, 40).await, 0, "{kind:?} {hosts:?}");
                    exchange.offline(NAME).expect("a second call is the same");
                    if exchange.inner.borrow().bans.listed().any(|host| host.entry.server == HOST) {
                        assert!(exchange.figures(&[], "").contains("skipped_cache_hosts 1\n"));
                    }
                }
                // One is replaced: what it knew by hand goes on in its successor.
                let names = fleet.remove(0).0.banned();
                let successor = balancer();
                names.iter().for_each(|name| successor.0.restore_ban(name));
                assert_eq!(sent_there(&successor.0, &successor.1, 40).await, 0);
                fleet.push(successor);
            }
            for (exchange, recorder) in &fleet {
                exchange.online(NAME).unwrap();
                assert!(sent_there(exchange, recorder, 400).await > 0, "it serves again within 4 s");
            }
            assert_eq!(fleet[0].0.offline("s-0000abcd"), Err(NEVER_LISTED));
        });
    }
}
