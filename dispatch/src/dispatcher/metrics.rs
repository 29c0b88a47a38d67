//! The dispatcher's metrics for operators.

use juniperladder::ServerId;
use rustc_hash::FxHashSet;

use super::Dispatcher;
use crate::metrics_text::{MetricKind, MetricsText};
use crate::request_metrics::RequestOutcome;

/// The line after the last metric.
const END_OF_METRICS: &str = "--\n";
/// Metric name of each request outcome; the samples are labelled with the class.
const OUTCOME_METRICS: [(&str, RequestOutcome); 3] = [
    ("passed", RequestOutcome::Served),
    ("dropped", RequestOutcome::Rejected),
    ("bad_gateway", RequestOutcome::Failed),
];

/// Number of cache servers, and of those that are currently skipped.
struct ServerCounts {
    known: usize,
    /// Taken offline by an operator, or gapped; servers skipped for another reason are not counted.
    skipped: usize,
}

impl Dispatcher {
    /// The metrics in the Prometheus text format, followed by the `additional` ones and the line `--`. `class_names` are
    /// indexed by class number.
    pub fn metrics_text(&self, class_names: &[String], additional: &str) -> String {
        let mut text = MetricsText::default();
        self.write_outcomes(&mut text, class_names);
        let servers = self.count_servers();
        let attempts = self.counters().attempts_written.get();
        text.declared_sample("upstream_tries", MetricKind::Counter, attempts);
        text.declared_sample("in_progress", MetricKind::Gauge, self.requests_in_progress());
        text.declared_sample("known_cache_hosts", MetricKind::Gauge, servers.known);
        text.declared_sample("skipped_cache_hosts", MetricKind::Gauge, servers.skipped);
        text.into_string() + additional + END_OF_METRICS
    }

    fn write_outcomes(&self, text: &mut MetricsText, class_names: &[String]) {
        for (metric, outcome) in OUTCOME_METRICS {
            text.declare(metric, MetricKind::Counter);
            for (class, count) in self.request_metrics.counts_by_class(outcome).into_iter().enumerate() {
                let name = class_names.get(class).map_or("unknown", String::as_str);
                text.labelled_sample(metric, ("category", name), count);
            }
        }
    }

    fn count_servers(&self) -> ServerCounts {
        let state = self.state.borrow();
        let limits = state.balancer.limits(self.clock().now());
        let gapped: FxHashSet<ServerId> =
            limits.servers.iter().filter(|limit| limit.gap.0 > 0).map(|limit| limit.server).collect();
        let mut counts = ServerCounts { known: 0, skipped: 0 };
        for listed in state.overrides.discovered_servers() {
            let endpoint = &listed.endpoint;
            if self.origin_kind == Some(endpoint.kind) {
                continue;
            }
            counts.known += 1;
            if state.overrides.is_offline(endpoint.server) || gapped.contains(&endpoint.server) {
                counts.skipped += 1;
            }
        }
        counts
    }
}
