//! Random histories of one balancer, checked against its guarantees after each event: every request gets
//! exactly one final answer, no request is executed twice unless that is safe, and no new attempt goes to a
//! server that is draining or gone.

use std::collections::BTreeMap;

use super::*;

const CACHE_SERVERS: u64 = 6;

/// An attempt as recorded by the history.
struct RecordedAttempt {
    server: ServerId,
    /// Time of the send in microseconds.
    sent: u64,
    /// `None` while the attempt is in flight.
    result: Option<AttemptResult>,
}

impl RecordedAttempt {
    fn is_possibly_executed(&self) -> bool {
        let is_never_executed = matches!(
            self.result,
            Some(
                AttemptResult::Rejected
                    | AttemptResult::ConnectFailed
                    | AttemptResult::NotSent
                    | AttemptResult::Miss
            )
        );
        !is_never_executed
    }
}

/// A request as recorded by the history, to check the balancer's actions.
#[derive(Default)]
struct RecordedRequest {
    deadline: u64,
    attempts: Vec<RecordedAttempt>,
}

/// An input to the balancer.
enum Input {
    EndpointChanged(Endpoint),
    Other(Event<'static>),
}

/// A balancer, its recorded requests, and the settings that the checks need.
struct History {
    rng: fastrand::Rng,
    now: u64,
    balancer: Balancer,
    class: Class,
    may_duplicate: bool,
    /// State of each cache server, by id.
    server_states: Vec<EndpointState>,
    /// Requests without a final answer.
    open: BTreeMap<RequestId, RecordedRequest>,
    /// Time and token of each pending timer.
    timers: Vec<(u64, u64)>,
    /// All actions of the balancer so far.
    actions: Vec<Action>,
}

impl History {
    fn new(seed: u64, idempotency: Idempotency, scope: DeduplicationScope) -> History {
        let mut settings = settings(idempotency, scope);
        settings.limits.may_duplicate = seed.is_multiple_of(2);
        History {
            rng: fastrand::Rng::with_seed(seed),
            now: 10,
            class: settings.classes[0].clone(),
            may_duplicate: settings.limits.may_duplicate,
            balancer: new_balancer(settings, &endpoints(CACHE_SERVERS)),
            server_states: vec![EndpointState::Serving; CACHE_SERVERS as usize],
            open: BTreeMap::new(),
            timers: vec![],
            actions: vec![],
        }
    }

    /// Draws the inputs of one step, applies them and checks the resulting actions.
    fn step(&mut self, n: u64) -> Result<(), TestCaseError> {
        self.now += self.rng.u64(1..20_000);
        let mut inputs = self.due_timers();
        match self.rng.u32(0..10) {
            // The history records the change immediately, so the balancer must receive it first.
            0 => {
                let change = self.draw_endpoint_change();
                inputs.insert(0, change);
            }
            1..=4 => inputs.push(self.draw_request(n)),
            5 => inputs.push(Input::Other(Event::Timer(self.rng.u64(1_000_000..)))),
            _ => {}
        }
        inputs.extend(self.draw_attempt_result());
        for input in inputs {
            self.apply(input)?;
        }
        self.check_state()
    }

    fn due_timers(&mut self) -> Vec<Input> {
        let mut due = vec![];
        self.timers.sort_unstable();
        while self.timers.first().is_some_and(|(at, _)| *at <= self.now) {
            let (_, token) = self.timers.remove(0);
            due.push(Input::Other(Event::Timer(token)));
        }
        due
    }

    fn draw_endpoint_change(&mut self) -> Input {
        let server = self.rng.u32(0..CACHE_SERVERS as u32);
        let states = [EndpointState::Serving, EndpointState::Draining, EndpointState::Deleted];
        let state = states[self.rng.usize(..3)];
        self.server_states[server as usize] = state;
        let started = Micros(self.now / 2);
        Input::EndpointChanged(Endpoint { state, started, ..endpoint(server.into()) })
    }

    fn draw_request(&mut self, n: u64) -> Input {
        let is_write = self.rng.u32(0..5) == 0;
        let is_client_retry = self.rng.u32(0..5) == 0;
        let read = request(n, self.now, self.rng.u64(0..40));
        let recorded = RecordedRequest { deadline: self.now + SECOND, attempts: vec![] };
        self.open.insert(request_id(n), recorded);
        Input::Other(Event::Request(Request { is_write, is_client_retry, ..read }))
    }

    /// Completes an attempt of the first open request that is late or is drawn, if there is one.
    fn draw_attempt_result(&mut self) -> Option<Input> {
        let Self { open, rng, now, .. } = self;
        let (id, attempt, is_late) = open.iter().find_map(|(id, recorded)| {
            let in_flight = recorded.attempts.iter().position(|attempt| attempt.result.is_none())?;
            let is_late = *now >= recorded.deadline;
            (is_late || rng.u32(0..4) == 0).then_some((*id, in_flight, is_late))
        })?;
        let results = [
            AttemptResult::Rejected,
            AttemptResult::Timeout,
            AttemptResult::Miss,
            AttemptResult::ConnectFailed,
            AttemptResult::Reset,
            AttemptResult::Error,
            AttemptResult::Served,
        ];
        let result = if is_late { AttemptResult::Timeout } else { results[rng.usize(..results.len())] };
        let recorded = &mut open.get_mut(&id).expect("open").attempts[attempt];
        recorded.result = Some(result);
        let completed = CompletedAttempt {
            id,
            server: recorded.server,
            attempt: attempt as u32,
            latency: Micros(*now - recorded.sent),
            result,
            is_request_closed: result == AttemptResult::Served,
            fetch_in_progress: rng.bool(),
        };
        if completed.is_request_closed {
            open.remove(&id);
        }
        Some(Input::Other(Event::AttemptCompleted(completed)))
    }

    fn apply(&mut self, input: Input) -> Result<(), TestCaseError> {
        let actions = match input {
            Input::EndpointChanged(change) => {
                let event = Event::EndpointsChanged(EndpointUpdate::Delta, std::slice::from_ref(&change));
                handle(&mut self.balancer, self.now, event)
            }
            Input::Other(event) => handle(&mut self.balancer, self.now, event),
        };
        for action in &actions {
            self.check_action(action)?;
        }
        self.actions.extend(actions);
        Ok(())
    }

    fn check_action(&mut self, action: &Action) -> Result<(), TestCaseError> {
        match action {
            Action::Send { id, server, .. } => self.check_send(id, *server)?,
            Action::Reject { id, .. } => {
                let recorded = self.open.remove(id).expect("second final answer to a request");
                let is_deduplicated_everywhere = self.class.idempotency == Idempotency::WithIdempotencyKey
                    && self.class.deduplication_scope == DeduplicationScope::All;
                let is_harmless = !recorded.attempts.iter().any(RecordedAttempt::is_possibly_executed)
                    || self.class.idempotency == Idempotency::Idempotent
                    || is_deduplicated_everywhere;
                prop_assert!(is_harmless, "rejected a request that may have been executed");
            }
            Action::Fail { id } => {
                prop_assert!(self.open.remove(id).is_some(), "second final answer to a request")
            }
            Action::Timer { at, token } => {
                prop_assert!(at.0 > self.now);
                self.timers.push((at.0, *token));
            }
            Action::WatchEndpoints | Action::Log(_) => {}
        }
        Ok(())
    }

    fn check_send(&mut self, id: &RequestId, server: ServerId) -> Result<(), TestCaseError> {
        let Self { now, class, .. } = self;
        let may_overlap = class.idempotency == Idempotency::Idempotent && self.may_duplicate;
        let recorded = self.open.get_mut(id).expect("attempt of a closed request");
        let in_flight = recorded.attempts.iter().filter(|attempt| attempt.result.is_none()).count();
        prop_assert!(in_flight == 0 || may_overlap && in_flight == 1, "too many attempts in flight");
        prop_assert!(*now < recorded.deadline && recorded.attempts.len() < 4);
        for earlier in recorded.attempts.iter().filter(|attempt| attempt.is_possibly_executed()) {
            let is_in_scope = match class.deduplication_scope {
                DeduplicationScope::All => true,
                DeduplicationScope::Zone => earlier.server.0 % 2 == server.0 % 2,
                DeduplicationScope::Cell => earlier.server.0 % 4 == server.0 % 4,
            };
            let is_deduplicated = class.idempotency == Idempotency::WithIdempotencyKey
                && is_in_scope
                && *now - earlier.sent < class.deduplication_window.0;
            prop_assert!(
                class.idempotency == Idempotency::Idempotent || is_deduplicated,
                "attempt may execute a request twice"
            );
        }
        let is_serving = server == ORIGIN || self.server_states[server.0 as usize] == EndpointState::Serving;
        prop_assert!(is_serving, "attempt at a server that is draining or gone");
        recorded.attempts.push(RecordedAttempt { server, sent: *now, result: None });
        Ok(())
    }

    fn check_state(&self) -> Result<(), TestCaseError> {
        for recorded in self.open.values() {
            let is_in_flight = recorded.attempts.iter().any(|attempt| attempt.result.is_none());
            prop_assert!(
                is_in_flight || self.now <= recorded.deadline + 20_000,
                "no final answer to a request after its deadline"
            );
        }
        let Self { balancer, open, .. } = self;
        prop_assert_eq!(balancer.open_requests.len(), open.len(), "closed requests must be removed");
        prop_assert!(balancer.open_requests.parked_len() <= open.len());
        prop_assert!(balancer.endpoints.servers.len() as u64 <= CACHE_SERVERS + 1);
        prop_assert!(balancer.origin_queue.len() <= open.len(), "only open requests may be queued");
        prop_assert!((balancer.placement.read_counts.len() as f64) < MAX_COUNTED_READS);
        Ok(())
    }
}

/// Runs a history; returns all actions and the number of requests that are still open.
fn run_history(
    seed: u64,
    idempotency: Idempotency,
    scope: DeduplicationScope,
    steps: u64,
) -> Result<(Vec<Action>, usize), TestCaseError> {
    let mut history = History::new(seed, idempotency, scope);
    for n in 0..steps {
        history.step(n)?;
    }
    Ok((history.actions, history.open.len()))
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
    fn any_history_keeps_the_guarantees_and_is_deterministic(seed: u64, kind in 0usize..5) {
        let (idempotency, scope) = [
            (Idempotency::Idempotent, DeduplicationScope::All),
            (Idempotency::WithIdempotencyKey, DeduplicationScope::All),
            (Idempotency::WithIdempotencyKey, DeduplicationScope::Zone),
            (Idempotency::WithIdempotencyKey, DeduplicationScope::Cell),
            (Idempotency::NotIdempotent, DeduplicationScope::All),
        ][kind];
        let first = run_history(seed, idempotency, scope, 1_500)?;
        prop_assert!(first.0.len() > 500);
        prop_assert_eq!(
            first,
            run_history(seed, idempotency, scope, 1_500)?,
            "the same events must give the same actions"
        );
    }
}
