//! Tests of the decision core: shared fixtures, and one module for each subject.

use super::admission::RETRY_AFTER_SPREAD;
use super::concurrency_limit::ConcurrencyLimit;
use super::endpoint_set::*;
use super::gap_ladder::*;
use super::open_request::*;
use super::placement::*;
use super::slow_start::*;
use super::zone_health::*;
use super::*;
use crate::*;
use proptest::prelude::*;

mod admission;
mod capacity;
mod concurrency_limit;
mod coordination;
mod discovery_schedule;
mod endpoint_set;
mod fleet;
mod gap_ladder;
mod hedging;
mod history;
mod limit_view;
mod open_request;
mod origin;
mod placement;
mod settings;
mod simulation;
mod slow_start;
mod zone_health;

/// One second, in microseconds.
const SECOND: u64 = 1_000_000;
/// Id of the origin.
const ORIGIN: ServerId = ServerId(900);
/// Endpoint kind of the origin.
const ORIGIN_KIND: u32 = 7;

/// Settings with one class of this idempotency, for one of 100 balancers.
fn settings(idempotency: Idempotency, scope: DeduplicationScope) -> Settings {
    let class = Class {
        latency_objective: Micros(250_000),
        latency_objective_per_work: 0.0,
        deadline: Micros(SECOND),
        idempotency,
        deduplication_scope: scope,
        deduplication_window: Micros(400_000),
        priority_weight: 1.0,
        late_priority_weight: 0.0,
    };
    Settings {
        balancers: 100,
        zone: 0,
        classes: vec![class],
        tenants: vec![],
        mode: CacheMode::CacheAside(ORIGIN_KIND),
        watches_discovery: false,
        has_comparable_weights: false,
        min_batch_interval: Micros(5_000),
        limits: Limits {
            max_attempts: 4,
            max_retry_after: Micros(2 * SECOND),
            sends_retry_after: true,
            may_duplicate: false,
        },
        rules: Rules {
            discovery_poll_interval: Micros(10 * SECOND),
            slow_start_initial_share: 0.1,
            slow_start_duration: Micros(20 * SECOND),
        },
    }
}

fn idempotent_settings() -> Settings {
    settings(Idempotency::Idempotent, DeduplicationScope::All)
}

/// A serving endpoint whose zone and cell are derived from its id.
fn endpoint(server: u64) -> Endpoint {
    let kind = if ServerId(server) == ORIGIN { ORIGIN_KIND } else { 0 };
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

/// This number of cache servers with ids from zero, and the origin.
fn endpoints(cache_servers: u64) -> Vec<Endpoint> {
    (0..cache_servers).chain([ORIGIN.0]).map(endpoint).collect()
}

fn new_balancer(settings: Settings, list: &[Endpoint]) -> Balancer {
    let mut balancer = Balancer::new(settings, 3);
    handle(&mut balancer, 1, Event::EndpointsChanged(EndpointUpdate::Restored, list));
    balancer
}

/// Passes an event to the balancer and returns the resulting actions.
fn handle(balancer: &mut Balancer, now: u64, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    balancer.handle(Micros(now), event, &mut actions);
    actions
}

fn request_id(number: u64) -> RequestId {
    let mut bytes = [b'-'; 36];
    bytes[..8].copy_from_slice(&number.to_be_bytes());
    RequestId(bytes)
}

/// A read that arrives now with a deadline in one second.
fn request(number: u64, now: u64, key: u64) -> Request {
    Request {
        id: request_id(number),
        deadline: Micros(now + SECOND),
        expected_work: None,
        key: Some(Key(key)),
        is_write: false,
        class: 0,
        tenant: 0,
        is_client_retry: false,
    }
}

/// An attempt that completed after one millisecond.
fn completed_attempt(number: u64, attempt: u32, server: ServerId, result: AttemptResult) -> CompletedAttempt {
    CompletedAttempt {
        id: request_id(number),
        server,
        attempt,
        latency: Micros(1_000),
        result,
        is_request_closed: false,
        fetch_in_progress: false,
    }
}

/// The event for a completed attempt whose request stays open.
fn completed(number: u64, attempt: u32, server: ServerId, result: AttemptResult) -> Event<'static> {
    Event::AttemptCompleted(completed_attempt(number, attempt, server, result))
}

/// The event for a completed attempt that closes its request.
fn completed_and_closed(
    number: u64,
    attempt: u32,
    server: ServerId,
    result: AttemptResult,
) -> Event<'static> {
    let ended = completed_attempt(number, attempt, server, result);
    Event::AttemptCompleted(CompletedAttempt { is_request_closed: true, ..ended })
}

/// Server of the first send among these actions.
fn sent_to(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|action| match action {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    })
}

/// The owner of a key that has only one.
fn owner_of(balancer: &mut Balancer, key: u64) -> ServerId {
    let servers = &balancer.endpoints.servers;
    let owners = balancer.placement.rank(Key(key), Micros(5), servers, &idempotent_settings());
    assert_eq!(owners, 1);
    balancer.endpoints.servers[balancer.placement.candidates[0].server].endpoint.server
}

/// A gap on this rung that does not expire during a test.
fn active_gap(rung: u32) -> Gap {
    let mut gap = Gap::default();
    gap.rung = rung;
    gap.ends_at = Micros(900 * SECOND);
    gap.on_send(Micros(SECOND), 0);
    gap
}

/// Reserves the whole capacity for reads at the origin.
fn fill_origin(balancer: &mut Balancer) {
    let origin = &mut balancer.endpoints.server_mut(ORIGIN).expect("listed").concurrency;
    while origin.has_capacity(Micros(SECOND), false) {
        origin.reserve(false);
    }
}
