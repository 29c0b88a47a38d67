//! The figures of the coordination with other balancers, for operators.

use juniperladder::Micros;
use juniperladder_cluster::rate_limit::RateLimitMetrics;
use juniperladder_cluster::{budget, verdicts, Figures};
use juniperladder_dispatch::metrics_text::{MetricKind, MetricsText};

/// The value of an age that is not known.
const NO_CONTACT: f64 = -1.0;
/// What the figures call the limit on servers that warm up.
const SLOW_START_LIMIT: &str = "cold";

/// The figures in the Prometheus text format. `stated_bound` is what is stated of the origin's limit: the most in any second,
/// as a multiple of the rate.
pub fn metrics_text(figures: &Figures, stated_bound: f64) -> String {
    let mut text = MetricsText::default();
    write_members(&mut text, figures);
    write_packets(&mut text, figures);
    for (name, limit) in &figures.limits {
        text.labelled_sample("limit_bound", ("limit", name), stated_bound);
        write_rate_limit(&mut text, name, limit);
    }
    if let Some((limit, servers)) = &figures.cold {
        write_rate_limit(&mut text, SLOW_START_LIMIT, limit);
        text.sample("limit_cold_hosts", servers);
    }
    if let Some(budget) = &figures.second {
        write_retry_budget(&mut text, budget);
    }
    if let Some(failure_detector) = &figures.verdicts {
        write_failure_detector(&mut text, failure_detector);
    }
    text.into_string()
}

fn write_members(text: &mut MetricsText, figures: &Figures) {
    let members = &figures.members;
    text.declare("members", MetricKind::Gauge);
    text.labelled_sample("members", ("state", "alive"), members.alive);
    text.labelled_sample("members", ("state", "suspect"), members.suspect);
    text.labelled_sample("members", ("state", "down"), members.down);
}

fn write_packets(text: &mut MetricsText, figures: &Figures) {
    let (packets_sent, bytes_sent) = figures.sent;
    let (packets_received, bytes_received) = figures.heard;
    text.declared_sample("peer_packets_sent", MetricKind::Counter, packets_sent);
    text.declared_sample("peer_packet_bytes_sent", MetricKind::Counter, bytes_sent);
    text.declared_sample("peer_packets_heard", MetricKind::Counter, packets_received);
    text.declared_sample("peer_packet_bytes_heard", MetricKind::Counter, bytes_received);
    text.declared_sample("peer_packets_dropped", MetricKind::Counter, figures.dropped);
    text.declared_sample("peer_packets_of_other_files", MetricKind::Counter, figures.differ);
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
    let contact_age = limit.since_contact.map_or(NO_CONTACT, seconds);
    text.labelled_sample("limit_contact_age_seconds", label, contact_age);
    text.labelled_sample("limit_short_seconds", label, seconds(limit.short_time));
    text.labelled_sample("limit_denied", label, limit.rejected);
}

fn write_retry_budget(text: &mut MetricsText, budget: &budget::Figures) {
    text.sample("second_tries_own", budget.own);
    text.sample("second_tries_from_others", budget.got);
    text.sample("second_tries_spent", budget.spent);
    text.sample("second_tries_first_tries", budget.first);
    text.sample("second_tries_given", budget.given);
    text.sample("second_tries_denied", budget.denied);
}

fn write_failure_detector(text: &mut MetricsText, figures: &verdicts::Figures) {
    text.labelled_sample("verdicts_held", ("kind", "silent"), figures.silent);
    text.labelled_sample("verdicts_held", ("kind", "answers"), figures.sound);
    text.sample("verdicts_hosts_passed_by", figures.against);
    text.sample("verdicts_hosts_beyond_the_most", figures.beyond);
    text.sample("verdicts_witnesses_refused", figures.refused);
    text.sample("verdicts_sends_spared", figures.passed);
    text.sample("verdicts_tries", figures.tried);
    text.sample("verdicts_told", figures.told);
    text.sample("verdicts_oldest_acted_seconds", seconds(figures.oldest));
}

fn seconds(time: Micros) -> f64 {
    time.as_f64() / 1e6
}
