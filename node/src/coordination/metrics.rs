//! The metrics of the coordination with other balancers.

use juniperladder::Micros;
use juniperladder_cluster::failure_detector::FailureDetectorMetrics;
use juniperladder_cluster::rate_limit::RateLimitMetrics;
use juniperladder_cluster::retry_budget::RetryBudgetMetrics;
use juniperladder_cluster::ClusterMetrics;
use juniperladder_dispatch::metrics_text::{MetricKind, MetricsText};

/// The value of an unknown contact age.
const UNKNOWN_CONTACT_AGE: f64 = -1.0;
/// The metric label of the slow start limit.
const SLOW_START_LIMIT_LABEL: &str = "cold";

/// Formats the metrics in the Prometheus text format. `guaranteed_rate_ratio` is the bound that every rate limit
/// guarantees: the maximum number of requests in any second, as a multiple of the limit's rate.
pub fn metrics_text(metrics: &ClusterMetrics, guaranteed_rate_ratio: f64) -> String {
    let mut text = MetricsText::default();
    write_members(&mut text, metrics);
    write_packets(&mut text, metrics);
    for limit in &metrics.rate_limits {
        text.labelled_sample("limit_bound", ("limit", &limit.name), guaranteed_rate_ratio);
        write_rate_limit(&mut text, &limit.name, &limit.metrics);
    }
    if let Some(slow_start) = &metrics.slow_start {
        write_rate_limit(&mut text, SLOW_START_LIMIT_LABEL, &slow_start.rate_limits);
        text.sample("limit_cold_hosts", slow_start.servers);
    }
    if let Some(budget) = &metrics.retry_budget {
        write_retry_budget(&mut text, budget);
    }
    if let Some(failure_detector) = &metrics.failure_detector {
        write_failure_detector(&mut text, failure_detector);
    }
    text.into_string()
}

fn write_members(text: &mut MetricsText, metrics: &ClusterMetrics) {
    let members = &metrics.members;
    text.declare("members", MetricKind::Gauge);
    text.labelled_sample("members", ("state", "alive"), members.alive);
    text.labelled_sample("members", ("state", "suspect"), members.suspect);
    text.labelled_sample("members", ("state", "down"), members.down);
}

fn write_packets(text: &mut MetricsText, metrics: &ClusterMetrics) {
    text.declared_sample("peer_packets_sent", MetricKind::Counter, metrics.sent.packets);
    text.declared_sample("peer_packet_bytes_sent", MetricKind::Counter, metrics.sent.bytes);
    text.declared_sample("peer_packets_heard", MetricKind::Counter, metrics.received.packets);
    text.declared_sample("peer_packet_bytes_heard", MetricKind::Counter, metrics.received.bytes);
    text.declared_sample("peer_packets_dropped", MetricKind::Counter, metrics.dropped_packets);
    text.declared_sample("peer_packets_of_other_files", MetricKind::Counter, metrics.terms_mismatches);
}

fn write_rate_limit(text: &mut MetricsText, name: &str, limit: &RateLimitMetrics) {
    let label = ("limit", name);
    text.labelled_sample("limit_whole", label, limit.total_tokens);
    text.labelled_sample("limit_own", label, limit.owned_tokens);
    text.labelled_sample("limit_held", label, limit.usable_tokens);
    text.labelled_sample("limit_used", label, limit.used_tokens);
    text.labelled_sample("limit_lent", label, limit.leased_out_tokens);
    text.labelled_sample("limit_borrowed", label, limit.borrowed_tokens);
    text.labelled_sample("limit_wanted", label, limit.demanded_tokens);
    let contact_age = limit.since_contact.map_or(UNKNOWN_CONTACT_AGE, seconds);
    text.labelled_sample("limit_contact_age_seconds", label, contact_age);
    text.labelled_sample("limit_short_seconds", label, seconds(limit.shortage_time));
    text.labelled_sample("limit_denied", label, limit.rejected);
}

fn write_retry_budget(text: &mut MetricsText, budget: &RetryBudgetMetrics) {
    text.sample("second_tries_own", budget.own_credits);
    text.sample("second_tries_from_others", budget.received_credits);
    text.sample("second_tries_spent", budget.retries);
    text.sample("second_tries_first_tries", budget.first_attempts);
    text.sample("second_tries_given", budget.transferred_credits);
    text.sample("second_tries_denied", budget.rejected);
}

fn write_failure_detector(text: &mut MetricsText, metrics: &FailureDetectorMetrics) {
    text.labelled_sample("verdicts_held", ("kind", "silent"), metrics.silent_reports);
    text.labelled_sample("verdicts_held", ("kind", "answers"), metrics.answer_reports);
    text.sample("verdicts_hosts_passed_by", metrics.suspected_servers);
    text.sample("verdicts_hosts_beyond_the_most", metrics.servers_over_suspicion_limit);
    text.sample("verdicts_witnesses_refused", metrics.discredited_reporters);
    text.sample("verdicts_sends_spared", metrics.avoided_requests);
    text.sample("verdicts_tries", metrics.trials);
    text.sample("verdicts_told", metrics.own_reports);
    text.sample("verdicts_oldest_acted_seconds", seconds(metrics.max_used_report_age));
}

fn seconds(time: Micros) -> f64 {
    time.as_f64() / 1e6
}
