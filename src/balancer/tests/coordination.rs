//! Tests of shared limits and reports, with a fake in place of the other balancers.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;

use super::*;

/// Return values of the fake, and the calls that it received.
#[derive(Debug, Default)]
struct FakeState {
    /// Wait time of the origin's rate limit; in this and the next two fields, `None` means that the limit is
    /// not shared.
    origin_wait: Option<Micros>,
    slow_start_wait: Option<Micros>,
    retry_wait: Option<Micros>,
    suspected: HashSet<ServerId>,
    origin_queries: usize,
    acquired: Vec<SharedLimit>,
    rejected: Vec<SharedLimit>,
    /// Observed servers, and whether each failed to respond.
    observed: Vec<(ServerId, bool)>,
    first_attempts: usize,
    serving: Vec<ServingServer>,
}

#[derive(Debug, Default, Clone)]
struct FakeCoordination(Rc<RefCell<FakeState>>);

impl Coordination for FakeCoordination {
    fn wait_time(&mut self, limit: SharedLimit, _now: Micros) -> Option<Micros> {
        let mut state = self.0.borrow_mut();
        match limit {
            SharedLimit::OriginRate => {
                state.origin_queries += 1;
                state.origin_wait
            }
            SharedLimit::SlowStart(_, started) => state.slow_start_wait.filter(|_| started.0 > 0),
            SharedLimit::RetryBudget => state.retry_wait,
        }
    }

    fn acquire(&mut self, limit: SharedLimit, _now: Micros) {
        self.0.borrow_mut().acquired.push(limit);
    }

    fn on_denied(&mut self, limit: SharedLimit, _now: Micros) {
        self.0.borrow_mut().rejected.push(limit);
    }

    fn on_new_request(&mut self, _now: Micros) {
        self.0.borrow_mut().first_attempts += 1;
    }

    fn on_endpoints_changed(&mut self, servers: &[ServingServer]) {
        self.0.borrow_mut().serving = servers.to_vec();
    }

    fn on_server_observed(&mut self, server: ServerId, _started: Micros, is_silent: bool, _now: Micros) {
        self.0.borrow_mut().observed.push((server, is_silent));
    }

    fn should_avoid(&mut self, server: ServerId, _started: Micros, _: Micros, _: f64, _now: Micros) -> bool {
        self.0.borrow().suspected.contains(&server)
    }
}

fn balancer_with_coordination(list: &[Endpoint]) -> (Balancer, FakeCoordination) {
    let coordination = FakeCoordination::default();
    let mut balancer = Balancer::new(idempotent_settings(), 3);
    balancer.set_coordination(Box::new(coordination.clone()));
    handle(&mut balancer, 1, Event::EndpointsChanged(EndpointUpdate::Restored, list));
    (balancer, coordination)
}

/// The event for a first attempt that served and closed its request.
fn served(n: u64, server: ServerId) -> Event<'static> {
    completed_and_closed(n, 0, server, AttemptResult::Served)
}

#[test]
fn suspected_server_is_skipped_for_the_next_candidate() {
    let (mut balancer, fake) = balancer_with_coordination(&endpoints(12));
    assert_eq!(fake.0.borrow().serving.len(), 12, "the origin must not be listed as a cache server");
    for n in 0..50 {
        let now = SECOND * (1 + n);
        let first = sent_to(&handle(&mut balancer, now, Event::Request(request(n, now, n)))).unwrap();
        handle(&mut balancer, now + 9, served(n, first));
        fake.0.borrow_mut().suspected = HashSet::from([first]);
        let now = now + SECOND / 2;
        let next = sent_to(&handle(&mut balancer, now, Event::Request(request(1_000 + n, now, n)))).unwrap();
        assert!(next != first && next != ORIGIN, "the request must go to another cache server");
        handle(&mut balancer, now + 9, served(1_000 + n, next));
        fake.0.borrow_mut().suspected.clear();
    }
    assert_eq!(fake.0.borrow().first_attempts, 100);
    assert!(
        fake.0.borrow().observed.iter().all(|(_, is_silent)| !is_silent)
            && fake.0.borrow().observed.len() == 100
    );
}

#[test]
fn attempt_results_report_unresponsive_servers_but_not_load() {
    let cases = [
        (AttemptResult::Served, Some(false)),
        (AttemptResult::Miss, Some(false)),
        (AttemptResult::ConnectFailed, Some(true)),
        (AttemptResult::Rejected, None),
        (AttemptResult::Error, None),
        (AttemptResult::Cancelled, None),
    ];
    for (result, expected) in cases {
        let (mut balancer, fake) = balancer_with_coordination(&endpoints(12));
        let to = sent_to(&handle(&mut balancer, 10, Event::Request(request(1, 10, 5)))).unwrap();
        handle(&mut balancer, 20, completed(1, 0, to, result));
        let observed = fake.0.borrow().observed.first().copied();
        assert_eq!(observed, expected.map(|is_silent| (to, is_silent)), "{result:?}");
    }
}

#[test]
fn retry_needs_budget_and_fetch_after_a_miss_does_not() {
    for (retry_wait, result, is_retried) in [
        (None, AttemptResult::ConnectFailed, true),
        (Some(Micros(0)), AttemptResult::ConnectFailed, true),
        (Some(Micros(5)), AttemptResult::ConnectFailed, false),
        (Some(Micros(5)), AttemptResult::Miss, true),
    ] {
        let (mut balancer, fake) = balancer_with_coordination(&endpoints(12));
        fake.0.borrow_mut().retry_wait = retry_wait;
        let to = sent_to(&handle(&mut balancer, 10, Event::Request(request(1, 10, 5)))).unwrap();
        let actions = handle(&mut balancer, 20, completed(1, 0, to, result));
        assert_eq!(sent_to(&actions).is_some(), is_retried, "{retry_wait:?} {result:?}");
        if !is_retried {
            let is_exhausted = |action: &Action| {
                matches!(action, Action::Reject { reason: RejectReason::AttemptsExhausted, .. })
            };
            assert!(actions.iter().any(is_exhausted), "the request must be rejected at once: {actions:?}");
        }
        let is_charged = fake.0.borrow().acquired.contains(&SharedLimit::RetryBudget);
        assert_eq!(is_charged, is_retried && result != AttemptResult::Miss, "{retry_wait:?} {result:?}");
    }
}

#[test]
fn exhausted_slow_start_limit_diverts_requests_and_is_reported() {
    let mut list = endpoints(1);
    list[0].started = Micros(100 * SECOND);
    let (mut balancer, fake) = balancer_with_coordination(&list);
    for server in &mut balancer.endpoints.servers {
        server.slow_start_credit = Some(SlowStartCredit { attempts: 1.0, updated: Micros(119 * SECOND) });
    }
    fake.0.borrow_mut().slow_start_wait = Some(Micros(7));
    let now = 119 * SECOND;
    let to = sent_to(&handle(&mut balancer, now, Event::Request(request(1, now, 5))));
    assert_eq!(to, Some(ORIGIN));
    let slow_start = SharedLimit::SlowStart(ServerId(0), Micros(100 * SECOND));
    assert_eq!(fake.0.borrow().rejected, [slow_start]);
    fake.0.borrow_mut().slow_start_wait = Some(Micros(0));
    let to = sent_to(&handle(&mut balancer, now + 1, Event::Request(request(2, now + 1, 5))));
    assert_eq!((to, fake.0.borrow().acquired.last()), (Some(ServerId(0)), Some(&slow_start)));
}

/// Guards against a balancer that borrows capacity without need: a query that finds no free token counts as
/// demand, so it must not be made while no request waits.
#[test]
fn shared_origin_limit_is_not_queried_while_no_request_waits() {
    let (mut balancer, fake) = balancer_with_coordination(&endpoints(12));
    fake.0.borrow_mut().origin_wait = Some(Micros(10_000));
    for n in 0..20 {
        let now = SECOND * (1 + n);
        let to = sent_to(&handle(&mut balancer, now, Event::Request(request(n, now, n)))).unwrap();
        handle(&mut balancer, now + 9, served(n, to));
    }
    assert_eq!(fake.0.borrow().origin_queries, 0);
    let write = Request { is_write: true, ..request(50, 30 * SECOND, 5) };
    assert_eq!(sent_to(&handle(&mut balancer, 30 * SECOND, Event::Request(write))), None);
    assert!(fake.0.borrow().origin_queries > 0);
}
