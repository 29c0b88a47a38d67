//! Discovery played on loopback and in memory: silence, refusals, calls that hang, a new address, lists that are pushed.

mod fake_discovery;
mod late_turn;

use fake_discovery::{Behaviour, CrowdedDiscovery, Discovery};

use super::timing::*;
use super::*;
use crate::testing::{self, log, settle, Recorder};
use bytes::BytesMut;
use juniperladder::{
    BackoffRange, Idempotency, DISCOVERY_BACKOFF, MAX_POLL_INTERVAL, MIN_DISCOVERY_PAUSE, START_SPREAD_SHARE,
};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// What is known after discovery has said this and nothing more: how many lists were taken in, and the version that the next
/// call asks for the changes since.
async fn known_after(text: &'static [u8]) -> (u64, u64) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let balancer = balancer_at(listener.local_addr().unwrap(), NOW, true);
    let (mut first, _) = listener.accept().await.unwrap();
    let mut call = BytesMut::new();
    while !call.ends_with(b"\r\n\r\n") {
        assert!(first.read_buf(&mut call).await.unwrap() > 0);
    }
    assert!(call.starts_with(b"GET /catalog/members?follow=1 "));
    first.write_all(text).await.unwrap();
    // The connection stays up: what is silent is found by the clock alone.
    let (mut next, _) = listener.accept().await.unwrap();
    let mut line = String::new();
    tokio::io::BufReader::new(&mut next).read_line(&mut line).await.unwrap();
    let since = line.split("since=").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok());
    (balancer.dispatcher.counters().endpoint_updates.get(), since.unwrap_or_default())
}

/// A watch that says nothing, fails or makes no sense ends, and what came before it stays.
#[test]
fn a_watch_that_is_dead_or_malformed_ends() {
    testing::run(async {
        const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let list = "2a\r\n{\"generation\":3,\"reset\":true,\"instances\":[\r\n3\r\n]}\n\r\n1\r\n\n\r\n";
        let texts = [
            (format!("{HEAD}{list}"), (1, 3)),
            (format!("{HEAD}{list}4\r\n{{]}}\n\r\n"), (1, 3)),
            (HEAD.to_owned(), (0, 0)),
            (format!("{HEAD}{list}9\r\n{{\"generat\r\n"), (1, 3)),
            (format!("{HEAD}{list}22\r\n{{\"generation\":2,\"instances\":[]}} \n\r\n"), (1, 0)),
            (format!("{HEAD}{list}22\r\n{{\"generation\":3,\"instances\":[]}} \n\r\n"), (2, 3)),
            ("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n".to_owned(), (0, 0)),
            ("nonsense\r\n\r\n".to_owned(), (0, 0)),
        ];
        for (text, want) in texts {
            assert_eq!(known_after(text.into_bytes().leak()).await, want);
        }
    });
}

/// What is still there of the six seconds for a call that discovery answers at once.
const ROUND: Duration = Duration::from_millis(250);

/// Silence, waits, calls and their repeats stay within the time after which a change counts as notified, in whatever order they come.
#[test]
fn a_change_is_known_before_it_counts_as_notified() {
    let poll_interval = Duration::from_micros(MAX_POLL_INTERVAL.0);
    let longest = |range: BackoffRange| poll_interval.mul_f64(range.max_share);
    let after_watch = longest(DISCOVERY_BACKOFF.after_watch);
    let after_failure = longest(DISCOVERY_BACKOFF.after_first_failure);
    let after_more_failures = longest(DISCOVERY_BACKOFF.after_more_failures);
    let soon = longest(MIN_DISCOVERY_PAUSE);
    // The time for the connection is part of it.
    let call = ANSWER_TIMEOUT;
    assert!(DISCOVERY_CONNECT_TIMEOUT < ANSWER_TIMEOUT);
    // A watch that falls silent has lasted longer than calls are apart.
    assert!(WATCH_SILENCE_TIMEOUT > after_watch);
    let chains = [
        ("silent, called, answered slowly", WATCH_SILENCE_TIMEOUT + soon + call),
        (
            "silent, refused, called, answered slowly",
            WATCH_SILENCE_TIMEOUT + soon + after_failure.max(soon) + call,
        ),
        ("silent, given up, called", WATCH_SILENCE_TIMEOUT + soon + call + soon + ROUND),
        ("ended at once, called, answered slowly", after_watch.max(soon) + call),
        (
            "ended at once, refused, called, answered slowly",
            after_watch.max(soon) + after_failure.max(soon) + call,
        ),
        ("back right after a call was refused, answered slowly", after_more_failures + call),
        (
            "back right after a call began that hangs, answered slowly",
            after_more_failures.max(call + soon) + call,
        ),
        ("back, refused once, called", after_more_failures + after_more_failures + ROUND),
        ("started, answered slowly", poll_interval.mul_f64(START_SPREAD_SHARE) + call),
    ];
    for (chain, time) in chains {
        assert!(time <= CHANGE_NOTIFIED_AFTER, "{chain}: {time:?}");
    }
    // At a new address: a call that hangs, and one that is answered.
    assert!(
        call + NEW_ADDRESS_BACKOFF.longest + ROUND <= NEW_ADDRESS_NOTIFIED_AFTER
            && NEW_ADDRESS_BACKOFF.shortest < NEW_ADDRESS_BACKOFF.longest
    );
    // Heartbeats come every two seconds, and one a little late is no reason to call.
    assert!(WATCH_SILENCE_TIMEOUT >= Duration::from_millis(2_400));
    for grace in [50, 400, 500, 600].map(Duration::from_millis) {
        assert!(pushed_list_backoff(grace) + PUSHED_ROUND <= grace, "{grace:?}");
    }
}

/// A call to an agent beside the balancer.
const PUSHED_ROUND: Duration = Duration::from_millis(25);

struct Balancer {
    dispatcher: Rc<Dispatcher>,
    address: watch::Sender<SocketAddr>,
}

fn balancer(discovery: &Discovery, policy: PollPolicy, subscribe: bool) -> Balancer {
    balancer_at(discovery.address, policy, subscribe)
}

fn balancer_at(address: SocketAddr, policy: PollPolicy, subscribe: bool) -> Balancer {
    let mut settings = testing::settings(1, Idempotency::Idempotent);
    settings.subscribe = subscribe;
    let dispatcher = testing::seeded_dispatcher(settings, policy.seed, Rc::new(Recorder::default()), 1);
    let timers = Rc::clone(&dispatcher);
    spawn_local(async move { timers.run_timers().await });
    let (address, turns) = watch::channel(address);
    spawn_local(follow(EndpointListReader::default(), None, turns, Rc::clone(&dispatcher), policy, log()));
    Balancer { dispatcher, address }
}

impl Balancer {
    async fn lists(&self, lists: u64) -> Instant {
        while self.dispatcher.counters().endpoint_updates.get() < lists {
            sleep(Duration::from_millis(5)).await;
        }
        Instant::now()
    }
}

const NOW: PollPolicy = PollPolicy { polls_at_start: true, pushed_list_backoff: None, seed: 3 };

/// A watch that falls silent, in whatever way, is opened anew in time, also where the next call is refused, too many or hangs.
#[test]
fn a_silent_watch_is_opened_anew_within_six_seconds() {
    for silent in [Behaviour::FallsSilent(1), Behaviour::Trickles(1)] {
        for between in [None, Some(Behaviour::Refuses), Some(Behaviour::Busy), Some(Behaviour::Hangs)] {
            testing::run(async {
                let mut behaviours = vec![silent];
                behaviours.extend(between);
                behaviours.push(Behaviour::SendsList(2));
                let discovery = Discovery::new(behaviours).await;
                let balancer = balancer(&discovery, NOW, true);
                let fell = balancer.lists(1).await;
                let delay = balancer.lists(2).await - fell;
                assert!(
                    delay >= WATCH_SILENCE_TIMEOUT - ROUND && delay <= CHANGE_NOTIFIED_AFTER,
                    "{silent:?}, {between:?}: {delay:?}"
                );
                assert_eq!(discovery.calls(), 2 + usize::from(between.is_some()));
                // What is alive is left alone.
                sleep(Duration::from_secs(60)).await;
                assert_eq!(
                    (balancer.dispatcher.counters().endpoint_updates.get(), discovery.calls()),
                    (2, 2 + usize::from(between.is_some()))
                );
            });
        }
    }
}

/// Discovery that has been away for long, refusing or silent, is found soon after its return, and not called without end meanwhile.
#[test]
fn discovery_is_found_soon_after_its_return() {
    for away in [Behaviour::Refuses, Behaviour::Busy, Behaviour::Hangs] {
        testing::run(async {
            let discovery = Discovery::new(vec![
                Behaviour::FallsSilent(1),
                away,
                away,
                away,
                away,
                away,
                away,
                Behaviour::SendsList(2),
            ])
            .await;
            let balancer = balancer(&discovery, NOW, true);
            let received = balancer.lists(2).await;
            let asked = discovery.asked.borrow();
            for calls in asked[3..].windows(2) {
                let apart = calls[1].0 - calls[0].0;
                assert!(
                    apart >= Duration::from_secs(2) && apart < CHANGE_NOTIFIED_AFTER - ANSWER_TIMEOUT,
                    "{away:?}: {apart:?}"
                );
            }
            assert!(received - asked.last().unwrap().0 < ROUND);
        });
    }
}

/// Discovery that ends each watch right behind its list is not called without end for that.
#[test]
fn a_watch_that_ends_at_once_is_not_opened_without_end() {
    testing::run(async {
        let discovery = Discovery::new(vec![Behaviour::Ends(1)]).await;
        let _balancer = balancer(&discovery, PollPolicy { polls_at_start: false, ..NOW }, true);
        sleep(Duration::from_secs(60)).await;
        let asked = discovery.asked.borrow();
        let apart = |calls: &[(Instant, String)]| calls[1].0 - calls[0].0;
        assert!(asked.windows(2).all(|calls| apart(calls) >= Duration::from_millis(1_100)), "{asked:?}");
        assert!(asked.windows(2).all(|calls| apart(calls) <= CHANGE_NOTIFIED_AFTER - ANSWER_TIMEOUT));
    });
}

/// A new address is called at once and asked for its whole list, also where its first calls fail, and what the old one had to
/// do with it is over.
#[test]
fn a_new_address_is_followed_within_four_seconds() {
    for first in [Behaviour::Refuses, Behaviour::Busy, Behaviour::Hangs, Behaviour::SendsList(1)] {
        testing::run(async {
            // The old one has failed for so long that the decisions waits long.
            let old = Discovery::new(vec![Behaviour::Refuses]).await;
            let new = Discovery::new(vec![first, Behaviour::SendsList(1)]).await;
            let balancer = balancer(&old, NOW, true);
            sleep(Duration::from_secs(30)).await;
            let changed_at = Instant::now();
            balancer.address.send_replace(new.address);
            let delay = balancer.lists(1).await - changed_at;
            assert!(delay <= NEW_ADDRESS_NOTIFIED_AFTER, "{first:?}: {delay:?}");
            let before = old.calls();
            sleep(Duration::from_secs(30)).await;
            assert_eq!(old.calls(), before);
            assert!(
                new.asked.borrow().iter().all(|(_, line)| !line.contains("since")),
                "{:?}",
                new.asked.borrow()
            );
        });
    }
}

/// Where lists are pushed, what discovery has counts as notified at once: a watch is opened with the process, without being asked
/// for, and again as soon as discovery can be reached.
#[test]
fn where_lists_are_pushed_a_watch_is_always_open() {
    testing::run(async {
        let grace = Duration::from_millis(400);
        let discovery = Discovery::new(vec![
            Behaviour::Refuses,
            Behaviour::Busy,
            Behaviour::Refuses,
            Behaviour::FallsSilent(1),
            Behaviour::SendsList(2),
        ])
        .await;
        let start = Instant::now();
        let policy = PollPolicy {
            polls_at_start: false,
            pushed_list_backoff: Some(pushed_list_backoff(grace)),
            seed: 3,
        };
        let balancer = balancer(&discovery, policy, false);
        let received = balancer.lists(1).await;
        assert!(received - start <= grace * 4, "{:?}", received - start);
        assert!(discovery.asked.borrow()[0].0 - start < ROUND, "at the start");
        let asked: Vec<Instant> = discovery.asked.borrow().iter().map(|(at, _)| *at).collect();
        assert!(asked.windows(2).all(|calls| calls[1] - calls[0] <= grace / 2), "{asked:?}");
        assert!(balancer.lists(2).await - received <= WATCH_SILENCE_TIMEOUT + grace);
        settle().await;
    });
}

/// A whole fleet calls a discovery that can take far fewer calls a second. Each call that it has taken on is waited for, so that
/// it is at work for one caller after the other, and all have the list as soon as its pace allows.
#[test]
fn a_fleet_does_not_bury_a_discovery_that_takes_its_calls_in_turn() {
    const FLEET: u64 = 44;
    const CALLS_PER_SECOND: u32 = 6;
    let pace = Duration::from_secs(FLEET) / CALLS_PER_SECOND;
    for new_address in [false, true] {
        testing::run(async {
            let crowded = CrowdedDiscovery::new(CALLS_PER_SECOND).await;
            let before = Discovery::new(vec![Behaviour::SendsList(7)]).await;
            let first = if new_address { before.address } else { crowded.address };
            let start = Instant::now();
            let fleet: Vec<Balancer> = (0..FLEET)
                .map(|seed| {
                    balancer_at(
                        first,
                        PollPolicy { polls_at_start: new_address, pushed_list_backoff: None, seed },
                        true,
                    )
                })
                .collect();
            let mut lists = 1;
            if new_address {
                for balancer in &fleet {
                    balancer.lists(1).await;
                }
                lists = 2;
                for balancer in &fleet {
                    balancer.address.send_replace(crowded.address);
                }
            }
            let start = if new_address { Instant::now() } else { start };
            for balancer in &fleet {
                balancer.lists(lists).await;
            }
            let elapsed = start.elapsed();
            let (refused, wasted) = (crowded.refused.get(), crowded.wasted.get());
            assert_eq!(wasted, 0, "new_address {new_address}: {elapsed:?}, {refused} refused");
            assert!(
                elapsed <= pace + Duration::from_secs(5),
                "new_address {new_address}: {elapsed:?}, {refused} refused"
            );
            // A refusal costs discovery something too.
            assert!(
                refused <= 6 * FLEET as usize,
                "new_address {new_address}: {elapsed:?}, {refused} refused"
            );
        });
    }
}

/// Until the new address has sent its list, what the old one sends is still taken in: the new one may be crowded or away.
#[test]
fn the_old_address_is_used_until_the_new_one_has_sent_its_list() {
    testing::run(async {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let old_address = listener.local_addr().unwrap();
        let (changes, mut versions) = tokio::sync::mpsc::channel::<u64>(1);
        spawn_local(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await.unwrap();
            while let Some(generation) = versions.recv().await {
                let text = format!("{{\"generation\":{generation},\"reset\":false,\"instances\":[]}}\n");
                let chunk = format!("{:x}\r\n{text}\r\n", text.len());
                if stream.write_all(chunk.as_bytes()).await.is_err() {
                    return;
                }
            }
        });
        let new = Discovery::new(vec![Behaviour::Refuses, Behaviour::Busy, Behaviour::SendsList(1)]).await;
        let balancer = balancer_at(old_address, NOW, true);
        changes.send(5).await.unwrap();
        balancer.lists(1).await;
        balancer.address.send_replace(new.address);
        settle().await;
        assert!(new.calls() >= 1);
        changes.send(6).await.unwrap();
        balancer.lists(2).await;
        assert!(new.calls() < 3, "the change came from the old address");
        balancer.lists(3).await;
        for generation in 7.. {
            assert!(generation < 100, "the old one is let go of");
            settle().await;
            if changes.send(generation).await.is_err() {
                break;
            }
        }
        assert_eq!(balancer.dispatcher.counters().endpoint_updates.get(), 3);
    });
}
