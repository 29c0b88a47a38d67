//! Counters of requests, attempts, connections and errors since process start.
//!
//! Each counter has two names: the field name in the code, and the outer name in the log and in the metrics, which
//! operators' tools read and which never changes.

use std::cell::Cell;
use std::fmt;

use juniperladder::RejectReason;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident => $metric:literal),* $(,)?) => {
        /// Counts of events since process start.
        #[derive(Debug, Default)]
        pub struct Counters { $($(#[$doc])* pub $name: Cell<u64>),* }

        impl Counters {
            /// All counters with their outer names, in a fixed order.
            pub fn metrics(&self) -> Vec<(&'static str, u64)> {
                vec![$(($metric, self.$name.get())),*]
            }
        }
    };
}

counters! {
    /// Connections accepted from clients.
    connections_accepted => "clients",
    /// Connections that could not be accepted.
    accepts_failed => "accepts_failed",
    /// Requests accepted.
    requests => "commands",
    /// Malformed request lines from clients.
    malformed_requests => "malformed",
    /// Client connections closed because they had no open request for too long.
    idle_connections_closed => "quiet",
    /// Client connections that ended in the middle of a request.
    connections_cut => "cut",
    /// Requests whose client disconnected before the answer.
    requests_abandoned => "left",
    /// Requests answered with a value or a receipt.
    served => "served",
    /// Requests answered with a rejection.
    rejected => "rejected",
    /// Rejections: a response would have come too late to be useful.
    rejected_objective_missed => "rejected_late",
    /// Rejections: all attempts were used up, or the retry budget that balancers share had no credit.
    rejected_attempts_exhausted => "rejected_spent",
    /// Rejections: no eligible server was left for the request.
    rejected_no_eligible_server => "rejected_nowhere",
    /// Rejections: the useful time left was less than a share of the origin's baseline latency.
    rejected_deadline_unreachable => "rejected_deadline_unreachable",
    /// Rejections: the request had waited for capacity at the origin for the longest time allowed.
    rejected_queue_timeout => "rejected_queue_timeout",
    /// Rejections: requests of higher priority filled the queue before the origin.
    rejected_preempted => "rejected_preempted",
    /// Rejections: all servers of the request were gapped.
    rejected_all_servers_gapped => "rejected_gapped",
    /// Requests answered as failed.
    /// Requests rejected before they were read whole, as there was no buffer for them or the origin took no more.
    rejected_unread => "rejected_unread",
    /// Requests answered as failed.
    failed => "failed",
    /// Requests that the decision core had not closed by their deadline.
    overdue => "overdue",
    /// Servers in endpoint lists that were ignored because too many were known.
    endpoints_left_out => "hosts_left_out",
    /// Attempts begun.
    attempts => "attempts",
    /// Attempts written in full to a server.
    attempts_written => "tries",
    /// Attempts that a server answered with a value or a receipt.
    attempts_served => "ok",
    /// Attempts that a cache server answered with a miss.
    attempts_missed => "misses",
    /// Attempts that ended with an error or a malformed response.
    attempts_failed => "errors",
    /// Attempts that an overloaded server rejected.
    attempts_rejected => "full",
    /// Attempts that timed out.
    attempts_timed_out => "timeouts",
    /// Attempts that were not fully written: the connection failed or broke, or the deadline passed first.
    attempts_not_connected => "connect_failed",
    /// Attempts whose connection broke after the last byte was written.
    attempts_reset => "resets",
    /// Attempts that were not fully written for a reason that is no fault of the server, such as a cancellation.
    attempts_not_sent => "moot",
    /// Responses received after their attempt had timed out.
    late_responses => "late_answers",
    /// Requests served by a response to an attempt that had timed out.
    served_late => "served_late",
    /// Streamed values forwarded in full to clients.
    downloads => "long",
    /// Streamed values to clients that broke off before their end.
    downloads_broken => "long_broken",
    /// Streamed values that broke off and were requested once more.
    downloads_resumed => "long_resumed",
    /// Streamed values from clients whose forwarding to the origin has begun.
    uploads => "uploads",
    /// Responses that were malformed or had another request's id.
    malformed_responses => "bad_answers",
    /// Connections to servers that closed because bytes followed a complete response.
    late_bytes => "late_bytes",
    /// Connections opened to servers.
    connections_opened => "opened",
    /// Endpoint lists and watch events received from discovery.
    endpoint_updates => "lists",
    /// Configurations reloaded on a signal.
    reloads => "reloads",
    /// Polls of discovery that failed, and watches that ended.
    discovery_failures => "discovery_failures",
}

impl Counters {
    /// The counter of rejections with this reason.
    pub fn rejections(&self, reason: RejectReason) -> &Cell<u64> {
        match reason {
            RejectReason::ObjectiveMissed => &self.rejected_objective_missed,
            RejectReason::AttemptsExhausted => &self.rejected_attempts_exhausted,
            RejectReason::NoEligibleServer => &self.rejected_no_eligible_server,
            RejectReason::DeadlineUnreachable => &self.rejected_deadline_unreachable,
            RejectReason::QueueTimeout => &self.rejected_queue_timeout,
            RejectReason::Preempted => &self.rejected_preempted,
            RejectReason::AllServersGapped => &self.rejected_all_servers_gapped,
        }
    }
}

/// Adds one to a counter.
pub fn increment(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

impl fmt::Display for Counters {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, (metric, value)) in self.metrics().into_iter().enumerate() {
            write!(out, "{}{metric}={value}", if position > 0 { " " } else { "" })?;
        }
        Ok(())
    }
}
