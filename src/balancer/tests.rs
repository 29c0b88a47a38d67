//! Direct tests of the module's parts; each names the failure it guards against.

use super::admission::RETRY_AFTER_SPREAD;
use super::concurrency_limit::ConcurrencyLimit;
use super::endpoint_set::*;
use super::gap_ladder::*;
use super::open_request::*;
use super::placement::*;
use super::slow_start::*;
use super::zone_health::*;
use super::*;
use proptest::prelude::*;

mod capacity;
mod fleet;
mod limits;
mod miniature;
mod together;

const SECOND: u64 = 1_000_000;

fn settings(idempotency: Idempotency, group: DeduplicationScope) -> Settings {
    let class = Class {
        latency_objective: Micros(250_000),
        latency_objective_per_work: 0.0,
        deadline: Micros(SECOND),
        idempotency,
        deduplication_scope: group,
        deduplication_window: Micros(400_000),
        priority_weight: 1.0,
        late_priority_weight: 0.0,
    };
    Settings {
        balancers: 100,
        zone: 0,
        classes: vec![class],
        tenants: vec![],
        mode: CacheMode::Aside(7),
        subscribe: false,
        weighted: false,
        tick: Micros(5_000),
        limits: Limits {
            max_attempts: 4,
            max_retry_after: Micros(2 * SECOND),
            retry_after: true,
            may_duplicate: false,
        },
        rules: Rules {
            discovery_poll_interval: Micros(10 * SECOND),
            slow_start_initial_share: 0.1,
            slow_start_duration: Micros(20 * SECOND),
        },
    }
}

fn entry(server: u64) -> Endpoint {
    let kind = if server == 900 { 7 } else { 0 };
    let (zone, cell) = ((server % 2) as u32, (server % 4) as u32);
    Endpoint {
        server: ServerId(server),
        zone,
        kind,
        cell,
        state: EndpointState::Serving,
        weight: 1.0,
        started: Micros(0),
    }
}

fn fleet(n: u64) -> Vec<Endpoint> {
    (0..n).chain([900]).map(entry).collect()
}

fn balancer(settings: Settings, list: &[Endpoint]) -> Balancer {
    let mut balancer = Balancer::new(settings, 3);
    step(&mut balancer, 1, Event::EndpointsChanged(EndpointUpdate::Restored, list));
    balancer
}

fn step(balancer: &mut Balancer, now: u64, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    balancer.handle(Micros(now), event, &mut actions);
    actions
}

fn id(n: u64) -> RequestId {
    let mut bytes = [b'-'; 36];
    bytes[..8].copy_from_slice(&n.to_be_bytes());
    RequestId(bytes)
}

fn request(n: u64, now: u64, key: u64) -> Request {
    Request {
        id: id(n),
        deadline: Micros(now + SECOND),
        expected_work: None,
        key: Some(Key(key)),
        is_write: false,
        class: 0,
        tenant: 0,
        is_client_retry: false,
    }
}

fn outcome(n: u64, attempt: u32, server: ServerId, status: AttemptResult) -> Event<'static> {
    let latency = Micros(1_000);
    Event::AttemptCompleted(CompletedAttempt {
        id: id(n),
        server,
        attempt,
        latency,
        result: status,
        request_closed: false,
        fetch_in_progress: false,
    })
}

fn sent(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|a| match a {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    })
}

fn home(balancer: &mut Balancer, key: u64) -> ServerId {
    let homes = balancer.placement.rank(
        Key(key),
        Micros(5),
        &balancer.endpoints.servers,
        &settings(Idempotency::Idempotent, DeduplicationScope::All),
    );
    assert_eq!(homes, 1);
    balancer.endpoints.servers[balancer.placement.candidates[0].server].endpoint.server
}

#[test]
fn a_list_change_moves_only_the_keys_of_the_server_that_left() {
    let list = fleet(20);
    let mut all = balancer(settings(Idempotency::Idempotent, DeduplicationScope::All), &list);
    let mut fewer = balancer(settings(Idempotency::Idempotent, DeduplicationScope::All), &list[1..]);
    let mut moved = 0;
    for key in 0..1_000 {
        let (before, after) = (home(&mut all, key), home(&mut fewer, key));
        if before == ServerId(0) {
            moved += 1;
        } else {
            assert_eq!(before, after);
        }
    }
    assert!((20..100).contains(&moved), "{moved} keys of 1000 lived on one server of 20");
}

#[test]
fn a_popular_key_gets_more_homes_and_a_cold_server_gets_none_of_it() {
    let mut list = fleet(20);
    let mut b = balancer(settings(Idempotency::Idempotent, DeduplicationScope::All), &list);
    for _ in 0..300 {
        b.placement.on_read(Key(1));
        b.placement.on_read(Key(2_000 + b.placement.total_reads as u64));
    }
    let share = b.placement.popularity(Key(1));
    assert!((0.4..0.6).contains(&share), "{share}");
    let rules = settings(Idempotency::Idempotent, DeduplicationScope::All);
    let homes = b.placement.rank(Key(1), Micros(5), &b.endpoints.servers, &rules);
    assert!(homes > 5, "{homes} homes for half of all requests on 20 servers");
    let first = b.endpoints.servers[b.placement.candidates[0].server].endpoint.server;
    list[first.0 as usize].started = Micros(100 * SECOND);
    step(&mut b, 101 * SECOND, Event::EndpointsChanged(EndpointUpdate::Snapshot, &list));
    b.placement.rank(Key(1), Micros(101 * SECOND), &b.endpoints.servers, &rules);
    assert!(b
        .placement
        .candidates
        .iter()
        .all(|candidate| b.endpoints.servers[candidate.server].endpoint.server != first));
}

#[test]
fn warmth_rises_from_the_cold_share_to_one() {
    let rules = settings(Idempotency::Idempotent, DeduplicationScope::All).rules;
    let cold = Endpoint { started: Micros(100 * SECOND), ..entry(1) };
    let at = |s: u64| slow_start_weight(&cold, Micros(s * SECOND), &rules);
    assert!((at(100) - 0.1).abs() < 1e-9 && (at(110) - 0.55).abs() < 1e-9 && at(120) == 1.0);
    assert!(
        (slow_start_weight(&cold, Micros(0), &rules) - 0.1).abs() < 1e-9,
        "started in the future is cold"
    );
}

#[test]
fn a_cold_server_gets_no_more_than_its_warmth_of_what_warm_ones_answer() {
    // Gapped servers once shed all their keys onto one that had just started.
    let rules = settings(Idempotency::Idempotent, DeduplicationScope::All).rules;
    let mut rng = fastrand::Rng::with_seed(5);
    let started = Endpoint { started: Micros(100 * SECOND), ..entry(1) };
    let mut server = Server::new(started, 1);
    let mut taken = 0;
    for ms in 0..2_000 {
        let now = Micros(100 * SECOND + ms * 1_000);
        if server.has_slow_start_credit(now, 50.0, &rules, &mut rng) {
            if let Some(credit) = &mut server.slow_start_credit {
                credit.spend();
            }
            taken += 1;
        }
    }
    // Two seconds at 50 a second and a warmth of 0.10 to 0.19, times CREDIT_FACTOR.
    assert!((14..=20).contains(&taken), "{taken}");
}

#[test]
fn drains_and_departures_stop_sends_at_once() {
    for state in [EndpointState::Draining, EndpointState::Deleted] {
        let mut b = balancer(settings(Idempotency::Idempotent, DeduplicationScope::All), &fleet(3));
        let target = sent(&step(&mut b, 10, Event::Request(request(1, 10, 5)))).expect("sent");
        let change = [Endpoint { state, ..entry(target.0) }];
        step(&mut b, 20, Event::EndpointsChanged(EndpointUpdate::Delta, &change));
        for n in 2..200 {
            b.endpoints.servers.iter_mut().for_each(|s| s.concurrency = ConcurrencyLimit::new(1));
            let to = sent(&step(&mut b, 30 + n, Event::Request(request(n, 30 + n, n))));
            assert!(to.is_some_and(|to| to != target), "{state:?}");
        }
    }
}

#[test]
fn a_new_start_forgets_the_old_history() {
    let mut b = balancer(settings(Idempotency::Idempotent, DeduplicationScope::All), &fleet(3));
    b.endpoints.servers[1].gap.rung = 9;
    let restarted = [Endpoint { started: Micros(50), ..entry(1) }];
    step(&mut b, 60, Event::EndpointsChanged(EndpointUpdate::Delta, &restarted));
    assert_eq!(b.endpoints.servers[1].gap.rung, 0);
}

/// Every cell of idempotency and group, outcome, and time: may it be sent again, may it be refused?
#[test]
fn every_class_and_outcome_has_its_right_to_repeat_and_to_refuse() {
    let never =
        [AttemptResult::Rejected, AttemptResult::ConnectFailed, AttemptResult::NotSent, AttemptResult::Miss];
    let maybe =
        [AttemptResult::Error, AttemptResult::Timeout, AttemptResult::Reset, AttemptResult::Cancelled];
    for (idempotency, group) in [
        (Idempotency::Idempotent, DeduplicationScope::All),
        (Idempotency::WithIdempotencyKey, DeduplicationScope::All),
        (Idempotency::WithIdempotencyKey, DeduplicationScope::Zone),
        (Idempotency::WithIdempotencyKey, DeduplicationScope::Cell),
        (Idempotency::NotIdempotent, DeduplicationScope::All),
    ] {
        for status in never.iter().chain(&maybe) {
            let settings = settings(idempotency, group);
            let mut b = balancer(settings.clone(), &fleet(4));
            let first = sent(&step(&mut b, 10, Event::Request(request(1, 10, 5)))).expect("sent");
            let mut pending = b.open_requests.take(&id(1)).expect("in hand");
            let (class, limits) = (&settings.classes[0], &settings.limits);
            let to = |server: u64| entry(server);
            assert!(!pending.may_send(Micros(20), &to(first.0), class, limits), "one is still out");
            let twice = Limits { may_duplicate: true, ..limits.clone() };
            let second = pending.may_send(Micros(20), &to(first.0), class, &twice);
            assert_eq!(
                second,
                idempotency == Idempotency::Idempotent,
                "a second copy only of what is safe to repeat"
            );
            let never_ran = never.contains(status);
            pending.attempts[0].state =
                if never_ran { AttemptState::NotExecuted } else { AttemptState::MayHaveExecuted };
            let (same, other) = (to(first.0), to((first.0 + 1) % 4));
            let allowed = |at: &Endpoint, now: u64| pending.may_send(Micros(now), at, class, limits);
            let keyed = idempotency == Idempotency::WithIdempotencyKey;
            let free = never_ran || idempotency == Idempotency::Idempotent;
            let name = format!("{idempotency:?} {group:?} {status:?}");
            assert_eq!(allowed(&same, 20), free || keyed, "{name}");
            assert_eq!(allowed(&other, 20), free || keyed && group == DeduplicationScope::All, "{name}");
            assert_eq!(allowed(&same, 400_010), free, "{name}: past its window");
            assert_eq!(
                pending.may_reject(class),
                free || keyed && group == DeduplicationScope::All,
                "{name}"
            );
            let draining = Endpoint { state: EndpointState::Draining, ..to(first.0) };
            assert!(!allowed(&draining, 20) && !allowed(&same, SECOND + 10), "{name}");
        }
    }
}

#[test]
fn a_dead_request_is_refused_where_harmless_and_failed_where_not() {
    for (idempotency, refused) in [(Idempotency::Idempotent, true), (Idempotency::NotIdempotent, false)] {
        let mut b = balancer(settings(idempotency, DeduplicationScope::All), &fleet(4));
        let to = sent(&step(&mut b, 10, Event::Request(request(1, 10, 5)))).expect("sent");
        let actions = step(&mut b, SECOND + 10, outcome(1, 0, to, AttemptResult::Timeout));
        let fine = match &actions[..] {
            [Action::Reject { retry_after, .. }] => refused && *retry_after <= RETRY_AFTER_SPREAD,
            [Action::Fail { .. }] => !refused,
            _ => false,
        };
        assert!(fine, "{actions:?}");
        assert!(b.open_requests.is_empty());
    }
}

#[test]
fn odd_settings_are_survived() {
    let mut odd = settings(Idempotency::Idempotent, DeduplicationScope::All);
    odd.classes.clear();
    odd.balancers = 0;
    odd.tick = Micros(0);
    odd.limits.max_attempts = 0;
    odd.rules = Rules {
        discovery_poll_interval: Micros(0),
        slow_start_initial_share: f64::NAN,
        slow_start_duration: Micros(0),
    };
    odd.weighted = true;
    let mut list = fleet(3);
    (list[0].weight, list[1].weight, list[2].weight) = (f64::NAN, 0.0, -1.0);
    let mut b = balancer(odd.clone(), &list);
    let wild = Request { class: 99, tenant: 99, key: None, ..request(1, 10, 1) };
    assert!(sent(&step(&mut b, 10, Event::Request(wild.clone()))).is_some());
    let mut empty = balancer(odd, &[]);
    assert_eq!(step(&mut empty, 10, Event::Request(wild)).len(), 1, "no server: answered at once");
    step(&mut empty, 10, outcome(77, 9, ServerId(5), AttemptResult::Rejected));
    step(&mut empty, 10, Event::Timer(u64::MAX));
}

#[test]
fn discovery_is_asked_apart_and_within_the_rule() {
    let mut asking = settings(Idempotency::Idempotent, DeduplicationScope::All);
    asking.subscribe = true;
    let mut times = Vec::new();
    for seed in 0..50 {
        let mut b = Balancer::new(asking.clone(), seed);
        let first = step(&mut b, 1, Event::EndpointsChanged(EndpointUpdate::Restored, &[]));
        let [Action::Timer { at, token }] = first[..] else { panic!("{first:?}") };
        assert_eq!(step(&mut b, at.0, Event::Timer(token)), [Action::WatchEndpoints]);
        let again = step(&mut b, at.0 + 1, Event::EndpointsChanged(EndpointUpdate::Unavailable, &[]));
        let [Action::Timer { at: retry, .. }] = again[..] else { panic!("{again:?}") };
        assert!(
            at < asking.rules.discovery_poll_interval
                && retry.saturating_sub(at) < asking.rules.discovery_poll_interval
        );
        times.push(at.0);
    }
    times.sort_unstable();
    times.dedup();
    assert!(times.len() > 45 && times[49.min(times.len() - 1)] - times[0] > 3 * SECOND);
}

/// All files of the decisions are named in the deploy file, and their lines are short.
#[test]
fn the_deploy_file_names_the_module_whole() {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR"));
    let deploy = include_str!("../../deploy/balancer.toml");
    let policy = deploy.lines().find(|l| l.starts_with("policy")).expect("the deploy file lists the policy");
    let names: Vec<&str> = policy.split('"').skip(1).step_by(2).collect();
    let files: Vec<String> = names.iter().map(|n| std::fs::read_to_string(root.join(n)).expect(n)).collect();
    let rules = std::fs::read_dir(root.join("src/balancer")).expect("a folder");
    let count = rules.filter(|f| f.as_ref().is_ok_and(|f| f.path().is_file())).count();
    assert_eq!(files.len(), count - 1, "balancer.rs, and all beside it but the tests and the view");
    let lines = || files.iter().flat_map(|text| text.lines());
    assert!(lines().all(|l| l.chars().count() <= 110));
    for types in ["src/event.rs", "src/action.rs"] {
        assert!(files[0].lines().take(3).any(|l| l.contains(types)));
    }
}

/// What the model knows of one request, to judge the module's actions by.
#[derive(Default)]
struct Watched {
    deadline: u64,
    attempts: Vec<(ServerId, u64, Option<AttemptResult>)>,
}

/// Drives one balancer through a random history and judges rules 1 to 3 after each step.
fn drive(
    seed: u64,
    idempotency: Idempotency,
    group: DeduplicationScope,
    steps: u64,
) -> Result<(Vec<Action>, usize), TestCaseError> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut settings = settings(idempotency, group);
    settings.limits.may_duplicate = seed.is_multiple_of(2);
    let class = settings.classes[0].clone();
    let twice = idempotency == Idempotency::Idempotent && settings.limits.may_duplicate;
    let mut b = balancer(settings.clone(), &fleet(6));
    let mut state: Vec<EndpointState> = vec![EndpointState::Serving; 6];
    let mut open: std::collections::BTreeMap<RequestId, Watched> = Default::default();
    let mut timers: Vec<(u64, u64)> = vec![];
    let (mut now, mut log) = (10u64, vec![]);
    let never = |s: AttemptResult| {
        matches!(
            s,
            AttemptResult::Rejected
                | AttemptResult::ConnectFailed
                | AttemptResult::NotSent
                | AttemptResult::Miss
        )
    };
    for n in 0..steps {
        now += rng.u64(1..20_000);
        let mut events: Vec<(u64, Event)> = vec![];
        timers.sort_unstable();
        while timers.first().is_some_and(|t| t.0 <= now) {
            events.push((now, Event::Timer(timers.remove(0).1)));
        }
        let change;
        match rng.u32(0..10) {
            0 => {
                let at = rng.u32(0..6);
                let next =
                    [EndpointState::Serving, EndpointState::Draining, EndpointState::Deleted][rng.usize(..3)];
                state[at as usize] = next;
                change = [Endpoint { state: next, started: Micros(now / 2), ..entry(at.into()) }];
                // The model knows of the change at once, so the balancer must hear of it first.
                events.insert(0, (now, Event::EndpointsChanged(EndpointUpdate::Delta, &change)));
            }
            1..=4 => {
                let write = rng.u32(0..5) == 0;
                let retry = rng.u32(0..5) == 0;
                events.push((
                    now,
                    Event::Request(Request {
                        is_write: write,
                        is_client_retry: retry,
                        ..request(n, now, rng.u64(0..40))
                    }),
                ));
                open.insert(id(n), Watched { deadline: now + SECOND, attempts: vec![] });
            }
            5 => events.push((now, Event::Timer(rng.u64(1_000_000..)))),
            _ => {}
        }
        let out = open.iter().find_map(|(id, w)| {
            let at = w.attempts.iter().position(|a| a.2.is_none())?;
            let late = now >= w.deadline;
            (late || rng.u32(0..4) == 0).then_some((*id, at, late))
        });
        if let Some((id, at, late)) = out {
            let kinds = [
                AttemptResult::Rejected,
                AttemptResult::Timeout,
                AttemptResult::Miss,
                AttemptResult::ConnectFailed,
                AttemptResult::Reset,
                AttemptResult::Error,
                AttemptResult::Served,
            ];
            let result = if late { AttemptResult::Timeout } else { kinds[rng.usize(..kinds.len())] };
            let watched = open.get_mut(&id).expect("open");
            let (server, sent, end) = &mut watched.attempts[at];
            *end = Some(result);
            let (server, latency) = (*server, Micros(now - *sent));
            let request_closed = result == AttemptResult::Served;
            if request_closed {
                open.remove(&id);
            }
            let fetch_in_progress = rng.bool();
            let attempt = at as u32;
            let outcome =
                CompletedAttempt { id, server, attempt, latency, result, request_closed, fetch_in_progress };
            events.push((now, Event::AttemptCompleted(outcome)));
        }
        for (now, event) in events {
            let actions = step(&mut b, now, event);
            for action in &actions {
                match action {
                    Action::Send { id, server, .. } => {
                        let watched = open.get_mut(id).expect("rule 1: sent for a request that is over");
                        let before = &watched.attempts;
                        let out = before.iter().filter(|a| a.2.is_none()).count();
                        prop_assert!(out == 0 || twice && out == 1, "too many attempts out at once");
                        prop_assert!(now < watched.deadline && before.len() < 4);
                        let ran = before.iter().filter(|a| a.2.is_none_or(|s| !never(s)));
                        for (at, sent, _) in ran {
                            let near = match group {
                                DeduplicationScope::All => true,
                                DeduplicationScope::Zone => at.0 % 2 == server.0 % 2,
                                DeduplicationScope::Cell => at.0 % 4 == server.0 % 4,
                            };
                            let keyed = idempotency == Idempotency::WithIdempotencyKey
                                && near
                                && now - sent < class.deduplication_window.0;
                            prop_assert!(
                                idempotency == Idempotency::Idempotent || keyed,
                                "rule 2: sent twice"
                            );
                        }
                        let fine = server.0 == 900 || state[server.0 as usize] == EndpointState::Serving;
                        prop_assert!(fine, "rule 3: sent to a draining server");
                        watched.attempts.push((*server, now, None));
                    }
                    Action::Reject { id, .. } => {
                        let watched = open.remove(id).expect("rule 1: answered twice");
                        let mut ran = watched.attempts.iter().filter(|a| a.2.is_none_or(|s| !never(s)));
                        let harmless = ran.next().is_none()
                            || idempotency == Idempotency::Idempotent
                            || idempotency == Idempotency::WithIdempotencyKey
                                && group == DeduplicationScope::All;
                        prop_assert!(harmless, "rule 2: refused what may have run");
                    }
                    Action::Fail { id } => {
                        prop_assert!(open.remove(id).is_some(), "rule 1: answered twice");
                    }
                    Action::Timer { at, token } => {
                        prop_assert!(at.0 > now);
                        timers.push((at.0, *token));
                    }
                    Action::WatchEndpoints | Action::Log(_) => {}
                }
            }
            log.extend(actions);
        }
        for watched in open.values() {
            let out = watched.attempts.iter().any(|a| a.2.is_none());
            prop_assert!(out || now <= watched.deadline + 20_000, "rule 1: a request was lost");
        }
        prop_assert_eq!(b.open_requests.len(), open.len(), "finished requests are forgotten");
        prop_assert!(b.open_requests.parked_len() <= open.len() && b.endpoints.servers.len() <= 7);
        prop_assert!(b.origin_queue.len() <= open.len(), "only open requests wait");
        prop_assert!((b.placement.read_counts.len() as f64) < MAX_COUNTED_REQUESTS);
    }
    Ok((log, open.len()))
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        failure_persistence: None,
        rng_algorithm: prop::test_runner::RngAlgorithm::ChaCha,
        rng_seed: prop::test_runner::RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]
    #[test]
    fn any_history_keeps_the_rules_and_repeats_exactly(seed: u64, kind in 0usize..5) {
        let (idempotency, group) = [
            (Idempotency::Idempotent, DeduplicationScope::All),
            (Idempotency::WithIdempotencyKey, DeduplicationScope::All),
            (Idempotency::WithIdempotencyKey, DeduplicationScope::Zone),
            (Idempotency::WithIdempotencyKey, DeduplicationScope::Cell),
            (Idempotency::NotIdempotent, DeduplicationScope::All),
        ][kind];
        let first = drive(seed, idempotency, group, 1_500)?;
        prop_assert!(first.0.len() > 500);
        prop_assert_eq!(first, drive(seed, idempotency, group, 1_500)?, "same events, same actions");
    }
}
