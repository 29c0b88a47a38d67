//! The discovery client against fake discoveries on loopback: silent watches, failed and unanswered polls, address
//! changes, pushed lists.

mod event_loop_delay;
mod fake_discovery;

use fake_discovery::{Behaviour, FakeDiscovery, QueueingDiscovery};

use super::timing::*;
use super::*;
use crate::testing::{self, log, yield_until_idle, RecordingTransport};
use bytes::BytesMut;
use juniperladder::{
    BackoffRange, Idempotency, DISCOVERY_BACKOFF, MAX_POLL_INTERVAL, MIN_DISCOVERY_PAUSE, START_SPREAD_SHARE,
};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Answers the first poll with this text and nothing more. Returns the number of lists applied, and the version from
/// which the next poll requests changes.
async fn lists_and_version_after(text: &'static [u8]) -> (u64, u64) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let balancer = balancer_at(listener.local_addr().unwrap(), POLL_AT_START, true);
    let (mut first, _) = listener.accept().await.unwrap();
    let mut request = BytesMut::new();
    while !request.ends_with(b"\r\n\r\n") {
        assert!(first.read_buf(&mut request).await.unwrap() > 0);
    }
    assert!(request.starts_with(b"GET /catalog/members?follow=1 "));
    first.write_all(text).await.unwrap();
    // The connection stays open, so only a timeout can detect the silence.
    let (mut next, _) = listener.accept().await.unwrap();
    let mut line = String::new();
    tokio::io::BufReader::new(&mut next).read_line(&mut line).await.unwrap();
    let since = line.split("since=").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok());
    (balancer.dispatcher.counters().endpoint_updates.get(), since.unwrap_or_default())
}

/// Guards against a broken watch that is kept: a silent, failed or malformed watch ends, and the lists received before
/// stay in use.
#[test]
fn a_silent_failed_or_malformed_watch_is_closed() {
    testing::run_paused(async {
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
        for (text, expected) in texts {
            assert_eq!(lists_and_version_after(text.into_bytes().leak()).await, expected);
        }
    });
}

/// The longest time that a poll takes when discovery answers at once.
const PROMPT_POLL: Duration = Duration::from_millis(250);

/// The timeouts, backoffs and polls of every foreseen sequence of failures add up to no more than the time after which a
/// change counts as notified.
#[test]
fn every_failure_sequence_ends_before_a_change_counts_as_notified() {
    let poll_interval = Duration::from_micros(MAX_POLL_INTERVAL.0);
    // All values are the upper bounds of random pauses.
    let max_duration = |range: BackoffRange| poll_interval.mul_f64(range.max_share);
    let after_watch = max_duration(DISCOVERY_BACKOFF.after_watch);
    let after_failure = max_duration(DISCOVERY_BACKOFF.after_first_failure);
    let after_later_failures = max_duration(DISCOVERY_BACKOFF.after_later_failures);
    let min_pause = max_duration(MIN_DISCOVERY_PAUSE);
    // The timeout includes the time to connect.
    let slow_poll = ANSWER_TIMEOUT;
    assert!(DISCOVERY_CONNECT_TIMEOUT < ANSWER_TIMEOUT);
    // A watch that became silent has lasted longer than the backoff, so the next poll needs only the minimum pause.
    assert!(WATCH_SILENCE_TIMEOUT > after_watch);
    let chains = [
        ("silent, polled, answered slowly", WATCH_SILENCE_TIMEOUT + min_pause + slow_poll),
        (
            "silent, refused, polled, answered slowly",
            WATCH_SILENCE_TIMEOUT + min_pause + after_failure.max(min_pause) + slow_poll,
        ),
        (
            "silent, poll timed out, polled",
            WATCH_SILENCE_TIMEOUT + min_pause + slow_poll + min_pause + PROMPT_POLL,
        ),
        ("ended at once, polled, answered slowly", after_watch.max(min_pause) + slow_poll),
        (
            "ended at once, refused, polled, answered slowly",
            after_watch.max(min_pause) + after_failure.max(min_pause) + slow_poll,
        ),
        ("available right after a poll was refused, answered slowly", after_later_failures + slow_poll),
        (
            "available right after a poll started that hangs, answered slowly",
            after_later_failures.max(slow_poll + min_pause) + slow_poll,
        ),
        ("available, refused once, polled", after_later_failures + after_later_failures + PROMPT_POLL),
        ("started, answered slowly", poll_interval.mul_f64(START_SPREAD_SHARE) + slow_poll),
    ];
    for (chain, time) in chains {
        assert!(time <= CHANGE_NOTIFIED_AFTER, "{chain}: {time:?}");
    }
    // At a new address: a poll that hangs, and one that is answered.
    assert!(
        slow_poll + NEW_ADDRESS_BACKOFF.longest + PROMPT_POLL <= NEW_ADDRESS_NOTIFIED_AFTER
            && NEW_ADDRESS_BACKOFF.shortest < NEW_ADDRESS_BACKOFF.longest
    );
    // Heartbeats are sent every two seconds; a slightly delayed one must not cause a poll.
    assert!(WATCH_SILENCE_TIMEOUT >= Duration::from_millis(2_400));
    for grace in [50, 400, 500, 600].map(Duration::from_millis) {
        assert!(pushed_list_backoff(grace) + LOCAL_POLL <= grace, "{grace:?}");
    }
}

/// The longest time that a poll of an agent on the balancer's host takes.
const LOCAL_POLL: Duration = Duration::from_millis(25);

struct Balancer {
    dispatcher: Rc<Dispatcher>,
    address: watch::Sender<SocketAddr>,
}

fn balancer(discovery: &FakeDiscovery, policy: PollPolicy, watches_discovery: bool) -> Balancer {
    balancer_at(discovery.address, policy, watches_discovery)
}

fn balancer_at(address: SocketAddr, policy: PollPolicy, watches_discovery: bool) -> Balancer {
    let mut settings = testing::settings(1, Idempotency::Idempotent);
    settings.watches_discovery = watches_discovery;
    let dispatcher =
        testing::seeded_dispatcher(settings, policy.seed, Rc::new(RecordingTransport::default()), 1);
    let timer_dispatcher = Rc::clone(&dispatcher);
    spawn_local(async move { timer_dispatcher.run_timers().await });
    let (address, address_changes) = watch::channel(address);
    spawn_local(follow(
        EndpointListReader::default(),
        None,
        address_changes,
        Rc::clone(&dispatcher),
        policy,
        log(),
    ));
    Balancer { dispatcher, address }
}

impl Balancer {
    async fn wait_for_lists(&self, lists: u64) -> Instant {
        while self.dispatcher.counters().endpoint_updates.get() < lists {
            sleep(Duration::from_millis(5)).await;
        }
        Instant::now()
    }
}

const POLL_AT_START: PollPolicy = PollPolicy { polls_at_start: true, pushed_list_backoff: None, seed: 3 };

/// Guards against an outdated list after a silent failure: a watch that sends nothing, or never completes a line, is
/// replaced in time, even if the next poll is closed at once, rejected with status 503 or never answered.
#[test]
fn a_silent_watch_is_replaced_within_six_seconds() {
    for silent in [Behaviour::FallsSilent(1), Behaviour::Trickles(1)] {
        for next_behaviour in
            [None, Some(Behaviour::ClosesAtOnce), Some(Behaviour::Busy), Some(Behaviour::Hangs)]
        {
            testing::run_paused(async {
                let mut behaviours = vec![silent];
                behaviours.extend(next_behaviour);
                behaviours.push(Behaviour::SendsList(2));
                let discovery = FakeDiscovery::new(behaviours).await;
                let balancer = balancer(&discovery, POLL_AT_START, true);
                let silent_since = balancer.wait_for_lists(1).await;
                let delay = balancer.wait_for_lists(2).await - silent_since;
                assert!(
                    delay >= WATCH_SILENCE_TIMEOUT - PROMPT_POLL && delay <= CHANGE_NOTIFIED_AFTER,
                    "{silent:?}, {next_behaviour:?}: {delay:?}"
                );
                assert_eq!(discovery.poll_count(), 2 + usize::from(next_behaviour.is_some()));
                // A healthy watch is kept open.
                sleep(Duration::from_secs(60)).await;
                assert_eq!(
                    (balancer.dispatcher.counters().endpoint_updates.get(), discovery.poll_count()),
                    (2, 2 + usize::from(next_behaviour.is_some()))
                );
            });
        }
    }
}

/// Polls of an unavailable discovery are spaced out, and it is reached soon after its recovery.
#[test]
fn an_unavailable_discovery_is_reached_soon_after_its_recovery() {
    for unavailable in [Behaviour::ClosesAtOnce, Behaviour::Busy, Behaviour::Hangs] {
        testing::run_paused(async {
            let discovery = FakeDiscovery::new(vec![
                Behaviour::FallsSilent(1),
                unavailable,
                unavailable,
                unavailable,
                unavailable,
                unavailable,
                unavailable,
                Behaviour::SendsList(2),
            ])
            .await;
            let balancer = balancer(&discovery, POLL_AT_START, true);
            let received = balancer.wait_for_lists(2).await;
            let polls = discovery.polls.borrow();
            for pair in polls[3..].windows(2) {
                let interval = pair[1].0 - pair[0].0;
                assert!(
                    interval >= Duration::from_secs(2) && interval < CHANGE_NOTIFIED_AFTER - ANSWER_TIMEOUT,
                    "{unavailable:?}: {interval:?}"
                );
            }
            assert!(received - polls.last().unwrap().0 < PROMPT_POLL);
        });
    }
}

/// Guards against a poll storm: a discovery that ends each watch after its list is polled at bounded intervals.
#[test]
fn a_watch_that_ends_at_once_is_reopened_at_bounded_intervals() {
    testing::run_paused(async {
        let discovery = FakeDiscovery::new(vec![Behaviour::Ends(1)]).await;
        let _balancer = balancer(&discovery, PollPolicy { polls_at_start: false, ..POLL_AT_START }, true);
        sleep(Duration::from_secs(60)).await;
        let polls = discovery.polls.borrow();
        let interval = |pair: &[(Instant, String)]| pair[1].0 - pair[0].0;
        assert!(polls.windows(2).all(|pair| interval(pair) >= Duration::from_millis(1_100)), "{polls:?}");
        assert!(polls.windows(2).all(|pair| interval(pair) <= CHANGE_NOTIFIED_AFTER - ANSWER_TIMEOUT));
    });
}

/// After an address change the new address is polled at once for its complete list, also if the first poll fails, and
/// the old address is not polled any more.
#[test]
fn a_new_address_is_followed_within_four_seconds() {
    for first in [Behaviour::ClosesAtOnce, Behaviour::Busy, Behaviour::Hangs, Behaviour::SendsList(1)] {
        testing::run_paused(async {
            // The old address has failed for so long that the decision core uses its longest backoff.
            let old = FakeDiscovery::new(vec![Behaviour::ClosesAtOnce]).await;
            let new = FakeDiscovery::new(vec![first, Behaviour::SendsList(1)]).await;
            let balancer = balancer(&old, POLL_AT_START, true);
            sleep(Duration::from_secs(30)).await;
            let changed_at = Instant::now();
            balancer.address.send_replace(new.address);
            let delay = balancer.wait_for_lists(1).await - changed_at;
            assert!(delay <= NEW_ADDRESS_NOTIFIED_AFTER, "{first:?}: {delay:?}");
            let before = old.poll_count();
            sleep(Duration::from_secs(30)).await;
            assert_eq!(old.poll_count(), before);
            assert!(
                new.polls.borrow().iter().all(|(_, line)| !line.contains("since")),
                "{:?}",
                new.polls.borrow()
            );
        });
    }
}

/// Where discovery pushes its lists, changes count as notified at once: a watch is opened at the start without a request
/// of the decision core, and reopened as soon as discovery is reachable.
#[test]
fn where_lists_are_pushed_a_watch_is_always_open() {
    testing::run_paused(async {
        let grace = Duration::from_millis(400);
        let discovery = FakeDiscovery::new(vec![
            Behaviour::ClosesAtOnce,
            Behaviour::Busy,
            Behaviour::ClosesAtOnce,
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
        let received = balancer.wait_for_lists(1).await;
        assert!(received - start <= grace * 4, "{:?}", received - start);
        assert!(
            discovery.polls.borrow()[0].0 - start < PROMPT_POLL,
            "the first poll was not made at the start"
        );
        let polls: Vec<Instant> = discovery.polls.borrow().iter().map(|(at, _)| *at).collect();
        assert!(polls.windows(2).all(|pair| pair[1] - pair[0] <= grace / 2), "{polls:?}");
        assert!(balancer.wait_for_lists(2).await - received <= WATCH_SILENCE_TIMEOUT + grace);
        yield_until_idle().await;
    });
}

/// Guards against wasted work in an overloaded discovery: a fleet polls a discovery that handles far fewer polls a
/// second. No balancer abandons an accepted poll, so discovery answers no closed connection, and all balancers have the
/// list as soon as its rate allows.
#[test]
fn a_fleet_abandons_no_poll_of_an_overloaded_discovery() {
    const FLEET: u64 = 44;
    const POLLS_PER_SECOND: u32 = 6;
    let fleet_poll_time = Duration::from_secs(FLEET) / POLLS_PER_SECOND;
    for new_address in [false, true] {
        testing::run_paused(async {
            let queueing = QueueingDiscovery::new(POLLS_PER_SECOND).await;
            let before = FakeDiscovery::new(vec![Behaviour::SendsList(7)]).await;
            let first = if new_address { before.address } else { queueing.address };
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
                    balancer.wait_for_lists(1).await;
                }
                lists = 2;
                for balancer in &fleet {
                    balancer.address.send_replace(queueing.address);
                }
            }
            let start = if new_address { Instant::now() } else { start };
            for balancer in &fleet {
                balancer.wait_for_lists(lists).await;
            }
            let elapsed = start.elapsed();
            let (refused, wasted) = (queueing.refused.get(), queueing.wasted.get());
            assert_eq!(wasted, 0, "new_address {new_address}: {elapsed:?}, {refused} refused");
            assert!(
                elapsed <= fleet_poll_time + Duration::from_secs(5),
                "new_address {new_address}: {elapsed:?}, {refused} refused"
            );
            // Each refused poll also costs discovery work.
            assert!(
                refused <= 6 * FLEET as usize,
                "new_address {new_address}: {elapsed:?}, {refused} refused"
            );
        });
    }
}

/// Changes from the old address are applied until the new address has sent its list, since the new one may be overloaded
/// or unreachable.
#[test]
fn the_old_address_is_used_until_the_new_one_has_sent_its_list() {
    testing::run_paused(async {
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
        let new =
            FakeDiscovery::new(vec![Behaviour::ClosesAtOnce, Behaviour::Busy, Behaviour::SendsList(1)]).await;
        let balancer = balancer_at(old_address, POLL_AT_START, true);
        changes.send(5).await.unwrap();
        balancer.wait_for_lists(1).await;
        balancer.address.send_replace(new.address);
        yield_until_idle().await;
        assert!(new.poll_count() >= 1);
        changes.send(6).await.unwrap();
        balancer.wait_for_lists(2).await;
        assert!(
            new.poll_count() < 3,
            "the new address sent its list before the change of the old one was applied"
        );
        balancer.wait_for_lists(3).await;
        for generation in 7.. {
            assert!(generation < 100, "the watch on the old address was not closed");
            yield_until_idle().await;
            if changes.send(generation).await.is_err() {
                break;
            }
        }
        assert_eq!(balancer.dispatcher.counters().endpoint_updates.get(), 3);
    });
}
