//! What the decisions make of what balancers share: a fleet made by hand stands for it.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;

use super::*;

/// What the fleet says, and what it was asked and told.
#[derive(Debug, Default)]
struct Said {
    /// How long the next one of each has to wait; none, there is no such limit.
    origin: Option<Micros>,
    cold: Option<Micros>,
    second: Option<Micros>,
    against: HashSet<ServerId>,
    asked_origin: usize,
    took: Vec<SharedLimit>,
    denied: Vec<SharedLimit>,
    saw: Vec<(ServerId, bool)>,
    first: usize,
    listed: Vec<ServingServer>,
}

#[derive(Debug, Default, Clone)]
struct ByHand(Rc<RefCell<Said>>);

impl Coordination for ByHand {
    fn wait_time(&mut self, of: SharedLimit, _now: Micros) -> Option<Micros> {
        let mut said = self.0.borrow_mut();
        match of {
            SharedLimit::OriginRate => {
                said.asked_origin += 1;
                said.origin
            }
            SharedLimit::SlowStart(_, started) => said.cold.filter(|_| started.0 > 0),
            SharedLimit::RetryBudget => said.second,
        }
    }

    fn acquire(&mut self, of: SharedLimit, _now: Micros) {
        self.0.borrow_mut().took.push(of);
    }

    fn on_rejected(&mut self, of: SharedLimit, _now: Micros) {
        self.0.borrow_mut().denied.push(of);
    }

    fn on_first_attempt(&mut self, _now: Micros) {
        self.0.borrow_mut().first += 1;
    }

    fn on_endpoints_changed(&mut self, servers: &[ServingServer]) {
        self.0.borrow_mut().listed = servers.to_vec();
    }

    fn on_server_observed(&mut self, host: ServerId, _started: Micros, silent: bool, _now: Micros) {
        self.0.borrow_mut().saw.push((host, silent));
    }

    fn is_suspected(&mut self, host: ServerId, _started: Micros, _: Micros, _: f64, _now: Micros) -> bool {
        self.0.borrow().against.contains(&host)
    }
}

fn shared(list: &[Endpoint]) -> (Balancer, ByHand) {
    let fleet = ByHand::default();
    let mut b = Balancer::new(settings(Idempotency::Idempotent, DeduplicationScope::All), 3);
    b.join(Box::new(fleet.clone()));
    step(&mut b, 1, Event::EndpointsChanged(EndpointUpdate::Restored, list));
    (b, fleet)
}

/// The first attempt has served its request, which is over.
fn served(n: u64, server: ServerId) -> Event<'static> {
    let Event::AttemptCompleted(end) = outcome(n, 0, server, AttemptResult::Served) else { unreachable!() };
    Event::AttemptCompleted(CompletedAttempt { request_closed: true, ..end })
}

#[test]
fn a_host_that_others_speak_against_is_passed_by_and_the_key_goes_on_to_its_next_home() {
    let (mut b, said) = shared(&fleet(12));
    assert_eq!(said.0.borrow().listed.len(), 12, "the origin is no host");
    for n in 0..50 {
        let now = SECOND * (1 + n);
        let first = sent(&step(&mut b, now, Event::Request(request(n, now, n)))).unwrap();
        step(&mut b, now + 9, served(n, first));
        said.0.borrow_mut().against = HashSet::from([first]);
        let now = now + SECOND / 2;
        let next = sent(&step(&mut b, now, Event::Request(request(1_000 + n, now, n)))).unwrap();
        assert!(next != first && next != ServerId(900), "to another host, not to the origin");
        step(&mut b, now + 9, served(1_000 + n, next));
        said.0.borrow_mut().against.clear();
    }
    assert_eq!(said.0.borrow().first, 100);
    assert!(said.0.borrow().saw.iter().all(|(_, silent)| !silent) && said.0.borrow().saw.len() == 100);
}

#[test]
fn what_an_end_tells_of_a_host_is_told_and_what_it_tells_of_load_is_not() {
    let cases = [
        (AttemptResult::Served, Some(false)),
        (AttemptResult::Miss, Some(false)),
        (AttemptResult::ConnectFailed, Some(true)),
        (AttemptResult::Rejected, None),
        (AttemptResult::Error, None),
        (AttemptResult::Cancelled, None),
    ];
    for (status, tells) in cases {
        let (mut b, said) = shared(&fleet(12));
        let to = sent(&step(&mut b, 10, Event::Request(request(1, 10, 5)))).unwrap();
        step(&mut b, 20, outcome(1, 0, to, status));
        let saw = said.0.borrow().saw.first().copied();
        assert_eq!(saw, tells.map(|silent| (to, silent)), "{status:?}");
    }
}

#[test]
fn a_second_try_needs_a_right_and_a_fetch_after_a_miss_does_not() {
    for (second, status, again) in [
        (None, AttemptResult::ConnectFailed, true),
        (Some(Micros(0)), AttemptResult::ConnectFailed, true),
        (Some(Micros(5)), AttemptResult::ConnectFailed, false),
        (Some(Micros(5)), AttemptResult::Miss, true),
    ] {
        let (mut b, said) = shared(&fleet(12));
        said.0.borrow_mut().second = second;
        let to = sent(&step(&mut b, 10, Event::Request(request(1, 10, 5)))).unwrap();
        let actions = step(&mut b, 20, outcome(1, 0, to, status));
        assert_eq!(sent(&actions).is_some(), again, "{second:?} {status:?}");
        if !again {
            let refused =
                |a: &Action| matches!(a, Action::Reject { reason: RejectReason::AttemptsExhausted, .. });
            assert!(actions.iter().any(refused), "given up at once: {actions:?}");
        }
        let spent = said.0.borrow().took.contains(&SharedLimit::RetryBudget);
        assert_eq!(spent, again && status != AttemptResult::Miss, "{second:?} {status:?}");
    }
}

#[test]
fn a_cold_host_whose_units_are_out_gets_nothing_and_its_need_is_told() {
    let mut list = fleet(1);
    list[0].started = Micros(100 * SECOND);
    let (mut b, said) = shared(&list);
    b.endpoints.servers.iter_mut().for_each(|s| {
        s.slow_start_credit = Some(SlowStartCredit { attempts: 1.0, updated: Micros(119 * SECOND) });
    });
    said.0.borrow_mut().cold = Some(Micros(7));
    let now = 119 * SECOND;
    let to = sent(&step(&mut b, now, Event::Request(request(1, now, 5))));
    assert_eq!(to, Some(ServerId(900)));
    let cold = SharedLimit::SlowStart(ServerId(0), Micros(100 * SECOND));
    assert_eq!(said.0.borrow().denied, [cold]);
    said.0.borrow_mut().cold = Some(Micros(0));
    let to = sent(&step(&mut b, now + 1, Event::Request(request(2, now + 1, 5))));
    assert_eq!((to, said.0.borrow().took.last()), (Some(ServerId(0)), Some(&cold)));
}

/// What has no unit free counts as need: asked about with nobody waiting, a balancer borrowed what it did not need.
#[test]
fn the_fleet_is_not_asked_for_the_origin_where_nobody_waits() {
    let (mut b, said) = shared(&fleet(12));
    said.0.borrow_mut().origin = Some(Micros(10_000));
    for n in 0..20 {
        let now = SECOND * (1 + n);
        let to = sent(&step(&mut b, now, Event::Request(request(n, now, n)))).unwrap();
        step(&mut b, now + 9, served(n, to));
    }
    assert_eq!(said.0.borrow().asked_origin, 0);
    let write = Request { is_write: true, ..request(50, 30 * SECOND, 5) };
    assert_eq!(sent(&step(&mut b, 30 * SECOND, Event::Request(write))), None);
    assert!(said.0.borrow().asked_origin > 0);
}
