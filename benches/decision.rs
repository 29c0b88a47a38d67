//! Benchmark of the decision core: the time for a request, from its arrival to its answer, by number of cache servers.
//! Every tenth request is a write. An attempt at a cache server is a miss if it is sent together with every twentieth
//! request; as that is a write, which goes to the origin, no first attempt of a read is a miss. Run with
//! `cargo bench --bench decision`.

use std::collections::VecDeque;

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion, Throughput};
use juniperladder::*;

fn class(latency_objective: u64, deadline: u64, idempotency: Idempotency) -> Class {
    Class {
        latency_objective: Micros(latency_objective),
        latency_objective_per_work: 0.0,
        deadline: Micros(deadline),
        idempotency,
        deduplication_scope: DeduplicationScope::All,
        deduplication_window: Micros(6_000_000),
        priority_weight: 1.0,
        late_priority_weight: 0.0,
    }
}

fn balancer(cache_servers: u64) -> Balancer {
    let settings = Settings {
        balancers: 3,
        zone: 0,
        classes: vec![
            class(750_000, 1_500_000, Idempotency::Idempotent),
            class(1_200_000, 3_000_000, Idempotency::WithIdempotencyKey),
        ],
        tenants: vec![],
        mode: CacheMode::CacheAside(1),
        watches_discovery: false,
        has_comparable_weights: true,
        min_batch_interval: Micros(5_000),
        limits: Limits {
            max_attempts: 3,
            max_retry_after: Micros(2_000_000),
            sends_retry_after: true,
            may_duplicate: true,
        },
        rules: Rules {
            discovery_poll_interval: Micros(10_000_000),
            slow_start_initial_share: 0.32,
            slow_start_duration: Micros(9_000_000),
        },
    };
    let endpoint = |server: u64, kind: u32| Endpoint {
        server: ServerId(server),
        zone: (server % 3) as u32,
        kind,
        cell: 0,
        state: EndpointState::Serving,
        weight: 1.0 + (server % 2) as f64,
        started: Micros(0),
    };
    let list: Vec<Endpoint> =
        (0..cache_servers).map(|n| endpoint(n, 0)).chain([endpoint(cache_servers, 1)]).collect();
    let mut balancer = Balancer::new(settings, 7);
    balancer.handle(Micros(1), Event::EndpointsChanged(EndpointUpdate::Restored, &list), &mut vec![]);
    balancer
}

/// An attempt in flight.
struct Attempt {
    /// In microseconds.
    sent_at_us: u64,
    request: RequestId,
    server: ServerId,
    /// The attempt's number within its request, from zero.
    number: u32,
}

/// Sends requests to the balancer, and completes the oldest attempts once more than 30 are in flight.
struct LoadDriver {
    balancer: Balancer,
    actions: Vec<Action>,
    /// Attempts in flight, oldest first.
    in_flight: VecDeque<Attempt>,
    /// The number of cache servers, which is the id of the origin.
    cache_servers: u64,
    /// The current time in microseconds; each request advances it by 2 ms.
    now_us: u64,
    /// The number of requests sent.
    request_count: u64,
}

impl LoadDriver {
    fn send_request(&mut self) {
        self.request_count += 1;
        self.now_us += 2_000;
        let mut id = [b'0'; 36];
        id[..8].copy_from_slice(&self.request_count.to_be_bytes());
        let mixed = self.request_count.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
        let is_write = self.request_count.is_multiple_of(10);
        let request = Request {
            id: RequestId(id),
            deadline: Micros(self.now_us + 1_100_000),
            expected_work: None,
            key: Some(Key((mixed % 400) * (mixed % 7) % 400)),
            is_write,
            class: u32::from(is_write),
            tenant: 0,
            is_client_retry: false,
        };
        self.handle(Event::Request(request));
        while self.in_flight.len() > 30 {
            let Some(Attempt { sent_at_us, request, server, number }) = self.in_flight.pop_front() else {
                return;
            };
            let is_cache = server.0 != self.cache_servers;
            let is_miss = is_cache && (sent_at_us / 2_000).is_multiple_of(20);
            let completed = CompletedAttempt {
                id: request,
                server,
                attempt: number,
                latency: Micros(self.now_us - sent_at_us),
                result: if is_miss { AttemptResult::Miss } else { AttemptResult::Served },
                is_request_closed: !is_miss,
                fetch_in_progress: false,
            };
            self.handle(Event::AttemptCompleted(completed));
        }
    }

    fn handle(&mut self, event: Event) {
        let number = match &event {
            Event::AttemptCompleted(completed) => completed.attempt + 1,
            _ => 0,
        };
        self.balancer.handle(Micros(self.now_us), event, &mut self.actions);
        for action in self.actions.drain(..) {
            if let Action::Send { id, server, .. } = action {
                self.in_flight.push_back(Attempt { sent_at_us: self.now_us, request: id, server, number });
            }
        }
    }
}

fn decision(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("request");
    group.throughput(Throughput::Elements(1));
    for cache_servers in [10, 20, 50, 100, 200, 500, 1_024] {
        let mut driver = LoadDriver {
            balancer: balancer(cache_servers),
            actions: vec![],
            in_flight: VecDeque::new(),
            cache_servers,
            now_us: 10,
            request_count: 0,
        };
        for _ in 0..4_000 {
            driver.send_request();
        }
        let id = BenchmarkId::from_parameter(cache_servers);
        group.bench_function(id, |bench| bench.iter(|| driver.send_request()));
    }
    group.finish();
}

criterion_group!(benches, decision);
criterion_main!(benches);
