//! What a command costs the decision module, from its arrival to its answer, as the fleet grows: one in
//! ten a write, one read in twenty missing and fetched. `cargo bench --bench decision`.

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

fn balancer(hosts: u64) -> Balancer {
    let settings = Settings {
        balancers: 3,
        zone: 0,
        classes: vec![
            class(750_000, 1_500_000, Idempotency::Idempotent),
            class(1_200_000, 3_000_000, Idempotency::WithIdempotencyKey),
        ],
        tenants: vec![],
        mode: CacheMode::Aside(1),
        subscribe: false,
        weighted: true,
        tick: Micros(5_000),
        limits: Limits {
            max_attempts: 3,
            max_retry_after: Micros(2_000_000),
            retry_after: true,
            may_duplicate: true,
        },
        rules: Rules {
            discovery_poll_interval: Micros(10_000_000),
            slow_start_initial_share: 0.32,
            slow_start_duration: Micros(9_000_000),
        },
    };
    let entry = |server: u64, kind: u32| Endpoint {
        server: ServerId(server),
        zone: (server % 3) as u32,
        kind,
        cell: 0,
        state: EndpointState::Serving,
        weight: 1.0 + (server % 2) as f64,
        started: Micros(0),
    };
    let list: Vec<Endpoint> = (0..hosts).map(|n| entry(n, 0)).chain([entry(hosts, 1)]).collect();
    let mut balancer = Balancer::new(settings, 7);
    balancer.handle(Micros(1), Event::EndpointsChanged(EndpointUpdate::Restored, &list), &mut vec![]);
    balancer
}

/// Drives commands through the module, each to its end, with 30 open at a time.
struct Drive {
    balancer: Balancer,
    actions: Vec<Action>,
    open: std::collections::VecDeque<(u64, RequestId, ServerId, u32)>,
    hosts: u64,
    now: u64,
    count: u64,
}

impl Drive {
    fn command(&mut self) {
        self.count += 1;
        self.now += 2_000;
        let mut id = [b'0'; 36];
        id[..8].copy_from_slice(&self.count.to_be_bytes());
        let mixed = self.count.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
        let write = self.count.is_multiple_of(10);
        let request = Request {
            id: RequestId(id),
            deadline: Micros(self.now + 1_100_000),
            expected_work: None,
            key: Some(Key((mixed % 400) * (mixed % 7) % 400)),
            is_write: write,
            class: u32::from(write),
            tenant: 0,
            is_client_retry: false,
        };
        self.tell(Event::Request(request));
        while self.open.len() > 30 {
            let Some((sent, id, server, attempt)) = self.open.pop_front() else { return };
            let cache = server.0 != self.hosts;
            let miss = cache && (sent / 2_000).is_multiple_of(20);
            let outcome = CompletedAttempt {
                id,
                server,
                attempt,
                latency: Micros(self.now - sent),
                result: if miss { AttemptResult::Miss } else { AttemptResult::Served },
                request_closed: !miss,
                fetch_in_progress: false,
            };
            self.tell(Event::AttemptCompleted(outcome));
        }
    }

    fn tell(&mut self, event: Event) {
        let attempt = match &event {
            Event::AttemptCompleted(outcome) => outcome.attempt + 1,
            _ => 0,
        };
        self.balancer.handle(Micros(self.now), event, &mut self.actions);
        for action in self.actions.drain(..) {
            if let Action::Send { id, server, .. } = action {
                self.open.push_back((self.now, id, server, attempt));
            }
        }
    }
}

fn decision(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("command");
    group.throughput(Throughput::Elements(1));
    for hosts in [10, 20, 50, 100, 200, 500, 1_024] {
        let (actions, open) = (vec![], Default::default());
        let mut drive = Drive { balancer: balancer(hosts), actions, open, hosts, now: 10, count: 0 };
        (0..4_000).for_each(|_| drive.command());
        group.bench_function(BenchmarkId::from_parameter(hosts), |bench| bench.iter(|| drive.command()));
    }
    group.finish();
}

criterion_group!(benches, decision);
criterion_main!(benches);
