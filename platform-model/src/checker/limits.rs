//! Usage of the fleet-wide limits, counted at the receivers: fetches at the origin, attempts at servers in slow
//! start, and retries. The peak of a limit is taken over any interval of one second, not over seconds of
//! the clock.

#[cfg(test)]
mod tests;

use std::collections::{HashMap, HashSet};

use super::sliding_window::SlidingWindow;
use super::{outcome_of, CheckConfig, RequestOutcome, StatedRetryBudget};
use crate::event_log::{Attempt, AttemptResult, EventLog, ImpairedSpan, Impairment, Receiver, RequestResult};
use crate::summary::{LimitUsage, OriginFigures};
use crate::{Micros, MICROS_PER_SECOND};

/// Retries for each first attempt, if the operator file does not state it.
const DEFAULT_RETRIES_PER_FIRST_ATTEMPT: f64 = 0.4;
/// Retries that each balancer may save up, if the operator file does not state it.
const DEFAULT_SAVED_RETRIES_PER_BALANCER: f64 = 10.0;
/// Maximum age of a credit for a retry at the start of the second in which it is used: 2 s as the program states,
/// plus 250 ms, the longest time that a first request takes to its balancer.
const RETRY_CREDIT_MAX_AGE: Micros = 2 * MICROS_PER_SECOND + MICROS_PER_SECOND / 4;

/// Usage of the origin, as figures of the origin and of the limit `origin`.
pub struct OriginUsage {
    /// The figures of the origin.
    pub figures: OriginFigures,
    /// The figures of the limit, without a bound where balancers do not exchange messages.
    pub limit: LimitUsage,
}

/// Computes the usage of the limit `origin`: fetches in any second, relative to the limit that the program states, or
/// to the origin's capacity if the program states none.
pub fn origin_usage(event_log: &EventLog, config: &CheckConfig) -> OriginUsage {
    let is_fetch =
        |attempt: &&Attempt| attempt.receiver == Receiver::Origin && config.is_measured(attempt.received_at);
    let fetches: Vec<&Attempt> = event_log.attempts.iter().filter(is_fetch).collect();
    let limit = config.stated.map_or(config.origin_capacity, |stated| stated.origin_per_s);
    let mut window = SlidingWindow::new(MICROS_PER_SECOND);
    let peak_count = fetches.iter().map(|fetch| window.push(fetch.received_at)).max().unwrap_or(0);
    let peak = peak_count as f64 / limit;
    let under_excess_demand = usage_under_excess_demand(event_log, config, &fetches, limit);
    OriginUsage {
        figures: OriginFigures {
            peak,
            useful: under_excess_demand.share(under_excess_demand.useful),
            fetches: fetches.len() as u64,
        },
        limit: LimitUsage {
            limit,
            bound: config.stated.map(|stated| stated.bound()),
            peak,
            usage: under_excess_demand.share(under_excess_demand.used),
            seconds_over: under_excess_demand.seconds_over,
        },
    }
}

/// Usage of the origin in the seconds in which demand exceeded the limit.
#[derive(Default)]
struct UsageUnderExcessDemand {
    /// The limit, summed over these seconds.
    limit: f64,
    /// Fetches in these seconds.
    used: f64,
    /// Fetches that were answered and whose request was served in time.
    useful: f64,
    /// Seconds of the clock in which usage exceeded the limit, whatever the demand.
    seconds_over: u64,
}

impl UsageUnderExcessDemand {
    /// The ratio of an amount to the limit; `None` if demand never exceeded the limit.
    fn share(&self, amount: f64) -> Option<f64> {
        (self.limit > 0.0).then(|| amount / self.limit)
    }
}

fn usage_under_excess_demand(
    event_log: &EventLog,
    config: &CheckConfig,
    fetches: &[&Attempt],
    limit: f64,
) -> UsageUnderExcessDemand {
    let demand = origin_demand(event_log, config);
    let served = served_requests(event_log, config);
    let mut used = vec![0.0; demand.len()];
    let mut useful = vec![0.0; demand.len()];
    for fetch in fetches {
        let second = config.second_of(fetch.received_at);
        used[second] += 1.0;
        let is_useful = fetch.result == AttemptResult::Served && served.contains(&fetch.id);
        useful[second] += f64::from(is_useful);
    }
    let mut under_excess_demand = UsageUnderExcessDemand::default();
    for (second, demand) in demand.iter().enumerate() {
        under_excess_demand.seconds_over += u64::from(used[second] > limit);
        if *demand > limit {
            under_excess_demand.limit += limit;
            under_excess_demand.used += used[second];
            under_excess_demand.useful += useful[second];
        }
    }
    under_excess_demand
}

/// The ids of the requests that were served before their deadline.
fn served_requests(event_log: &EventLog, config: &CheckConfig) -> HashSet<u64> {
    let served = event_log.requests.iter().filter(|request| {
        request.result == RequestResult::Served && outcome_of(request, config) == RequestOutcome::Served
    });
    served.map(|request| request.id).collect()
}

/// Computes the usage of the limit `cold`: attempts in any second at a server in slow start, relative to the server's
/// capacity at the end of that second. If no operator file states the rate of a warm server, its service capacity is
/// used.
pub fn slow_start_usage(event_log: &EventLog, config: &CheckConfig) -> LimitUsage {
    let stated = config.stated.filter(|stated| stated.slow_start_per_s.is_some());
    let mut usage = LimitUsage { bound: stated.map(|stated| stated.bound()), ..LimitUsage::default() };
    let impairments = event_log.server_impairments.iter();
    for span in impairments.filter(|span| span.impairment == Impairment::SlowStart) {
        add_slow_start_usage(&mut usage, event_log, config, span);
    }
    usage
}

/// Adds the attempts at one server during one slow start.
fn add_slow_start_usage(
    usage: &mut LimitUsage,
    event_log: &EventLog,
    config: &CheckConfig,
    span: &ImpairedSpan,
) {
    let model = &config.server_model;
    let duration = model.slow_start_s * 1e6;
    let cores = config.server_weights.get(span.number as usize).copied().unwrap_or(1.0);
    let stated_per_s = config.stated.and_then(|stated| stated.slow_start_per_s);
    let warm_per_s = stated_per_s.unwrap_or(cores * 1e3 / model.work_ms);
    usage.limit = usage.limit.max(warm_per_s);
    let receiver = Receiver::CacheServer(span.number);
    let slow_start = span.from..span.from + duration as Micros;
    let attempts = event_log.attempts.iter().filter(|attempt| {
        attempt.receiver == receiver
            && slow_start.contains(&attempt.received_at)
            && config.is_measured(attempt.received_at)
    });
    let mut window = SlidingWindow::new(MICROS_PER_SECOND);
    let mut seconds_over = HashSet::new();
    for attempt in attempts {
        let count = window.push(attempt.received_at);
        let since_start = (attempt.received_at - span.from) as f64;
        let capacity_share = model.slow_start_initial_share
            + (1.0 - model.slow_start_initial_share) * since_start / duration.max(1.0);
        let peak = count as f64 / (warm_per_s * capacity_share);
        usage.peak = usage.peak.max(peak);
        if peak > usage.bound.unwrap_or(1.0) {
            seconds_over.insert(attempt.received_at / MICROS_PER_SECOND);
        }
    }
    usage.seconds_over += seconds_over.len() as u64;
}

/// Computes the usage of the limit `second`: retries in any second, relative to the retry budget. Attempts after a
/// miss are not retries. The budget is a share of the first requests of that second and of the time before it in
/// which credits may have been earned, plus the saved credits. The reported limit is that share of the mean rate of
/// first requests.
pub fn retry_usage(event_log: &EventLog, config: &CheckConfig) -> LimitUsage {
    let stated = config.stated.and_then(|stated| stated.retry_budget);
    let budget = stated.unwrap_or(StatedRetryBudget {
        share: DEFAULT_RETRIES_PER_FIRST_ATTEMPT,
        saved: DEFAULT_SAVED_RETRIES_PER_BALANCER * config.balancers as f64,
    });
    let first_request_times = first_request_times(event_log);
    let measured_first_requests =
        first_request_times.iter().filter(|at| config.is_measured(**at)).count() as f64;
    let length_s = (config.measured_until - config.measured_from) as f64 / MICROS_PER_SECOND as f64;
    let send_time_spread = config.stated.map_or(0, |stated| stated.send_time_spread);
    let mut usage = LimitUsage {
        limit: budget.share * measured_first_requests / length_s,
        bound: stated.map(|_| 1.0),
        ..LimitUsage::default()
    };
    let mut window = SlidingWindow::new(MICROS_PER_SECOND);
    let mut seconds_over = HashSet::new();
    for at in retry_times(event_log, config) {
        let count = window.push(at);
        let earliest_credit = at.saturating_sub(MICROS_PER_SECOND + RETRY_CREDIT_MAX_AGE + send_time_spread);
        let earned = first_request_times.partition_point(|first| *first <= at)
            - first_request_times.partition_point(|first| *first < earliest_credit);
        let peak = count as f64 / (budget.share * earned as f64 + budget.saved);
        usage.peak = usage.peak.max(peak);
        if peak > 1.0 {
            seconds_over.insert(at / MICROS_PER_SECOND);
        }
    }
    usage.seconds_over = seconds_over.len() as u64;
    usage
}

/// Times at which the clients' first requests were sent, in order.
fn first_request_times(event_log: &EventLog) -> Vec<Micros> {
    let first_requests = event_log.requests.iter().filter(|request| request.is_first());
    let mut sent_at: Vec<Micros> = first_requests.map(|request| request.sent_at).collect();
    sent_at.sort_unstable();
    sent_at
}

/// Times at which measured retries arrived, in order: attempts after their request's first that do not follow a miss.
fn retry_times(event_log: &EventLog, config: &CheckConfig) -> Vec<Micros> {
    let mut attempts: Vec<&Attempt> = event_log.attempts.iter().chain(&event_log.undelivered).collect();
    attempts.sort_by_key(|attempt| attempt.received_at);
    // Whether any attempt of a request so far was a miss, by the request's id.
    let mut missed_so_far: HashMap<u64, bool> = HashMap::new();
    let mut retry_times = Vec::new();
    for attempt in attempts {
        let is_miss = attempt.result == AttemptResult::Miss;
        if let Some(missed) = missed_so_far.get_mut(&attempt.id) {
            if !*missed && config.is_measured(attempt.received_at) {
                retry_times.push(attempt.received_at);
            }
            *missed |= is_miss;
        } else {
            missed_so_far.insert(attempt.id, is_miss);
        }
    }
    retry_times
}

/// Demand for the origin in each second: requested writes, reads that missed at a server or went to the origin, and
/// the usual share of misses of the reads that were rejected before any attempt.
pub fn origin_demand(event_log: &EventLog, config: &CheckConfig) -> Vec<f64> {
    let seconds = (config.measured_until - config.measured_from).div_ceil(MICROS_PER_SECOND);
    let mut by_second = vec![0.0; seconds as usize];
    let needs_origin = origin_demand_by_request(event_log);
    let usual_share = usual_origin_share(event_log, &needs_origin);
    for request in event_log.requests.iter().filter(|request| config.is_measured(request.planned_at)) {
        let request_demand = match needs_origin.get(&request.id) {
            _ if request.write => 1.0,
            Some(needs_origin) => f64::from(*needs_origin),
            None if request.result == RequestResult::Rejected => usual_share,
            None => 0.0,
        };
        by_second[config.second_of(request.planned_at)] += request_demand;
    }
    by_second
}

/// For each request with an attempt, whether one of its attempts missed or went to the origin.
fn origin_demand_by_request(event_log: &EventLog) -> HashMap<u64, bool> {
    let mut needs_origin: HashMap<u64, bool> = HashMap::new();
    for attempt in &event_log.attempts {
        let needs = attempt.result == AttemptResult::Miss || attempt.receiver == Receiver::Origin;
        *needs_origin.entry(attempt.id).or_default() |= needs;
    }
    needs_origin
}

/// The share of reads that needed the origin, among reads with an attempt.
fn usual_origin_share(event_log: &EventLog, needs_origin: &HashMap<u64, bool>) -> f64 {
    let reads = event_log.requests.iter().filter(|request| !request.write);
    let needs_origin_by_read: Vec<bool> =
        reads.filter_map(|read| needs_origin.get(&read.id)).copied().collect();
    let reads_needing_origin = needs_origin_by_read.iter().filter(|needs| **needs).count();
    reads_needing_origin as f64 / needs_origin_by_read.len().max(1) as f64
}
