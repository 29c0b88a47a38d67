//! What the balancer took in, sent and answered, counted since its start.
//!
//! Each counter has two names: the field's name in the code, and the figure's name in the log and in the operators'
//! figures, which operators' own tools read and which never changes.

use std::cell::Cell;
use std::fmt;

use juniperladder::RejectReason;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident => $figure:literal),* $(,)?) => {
        /// One number for each kind of thing that happens.
        #[derive(Debug, Default)]
        pub struct Counters { $($(#[$doc])* pub $name: Cell<u64>),* }

        impl Counters {
            /// Every counter with its figure's name, in a fixed order.
            pub fn figures(&self) -> Vec<(&'static str, u64)> {
                vec![$(($figure, self.$name.get())),*]
            }
        }
    };
}

counters! {
    /// Connections accepted from clients.
    connections_accepted => "clients",
    /// Connections that could not be accepted.
    accepts_failed => "accepts_failed",
    /// Requests taken.
    requests => "commands",
    /// Lines from clients that were no request.
    malformed_requests => "malformed",
    /// Clients' connections closed as they had no request open for too long.
    idle_connections_closed => "quiet",
    /// Clients' connections that ended in the middle of a request.
    connections_cut => "cut",
    /// Requests whose client left before the answer.
    requests_abandoned => "left",
    /// Requests answered with a value or a receipt.
    served => "served",
    /// Requests answered with a rejection.
    rejected => "rejected",
    /// Rejections: an answer would have come too late to be worth anything.
    rejected_objective_missed => "rejected_late",
    /// Rejections: all attempts were used up, or the retry budget that balancers share had no credit.
    rejected_attempts_exhausted => "rejected_spent",
    /// Rejections: no server was left that the request might be sent to.
    rejected_no_eligible_server => "rejected_nowhere",
    /// Rejections: the useful time left was less than a share of the origin's baseline latency.
    rejected_deadline_unreachable => "rejected_deadline_unreachable",
    /// Rejections: the request had waited for capacity at the origin for as long as it may.
    rejected_queue_timeout => "rejected_queue_timeout",
    /// Rejections: requests of higher priority filled the queue before the origin.
    rejected_preempted => "rejected_preempted",
    /// Rejections: all servers of the request were gapped.
    rejected_all_servers_gapped => "rejected_gapped",
    /// Requests answered as failed.
    failed => "failed",
    /// Requests that the decisions had not ended at their deadline.
    overdue => "overdue",
    /// Listed servers that were more than may be known.
    endpoints_left_out => "hosts_left_out",
    /// Attempts begun.
    attempts => "attempts",
    /// Attempts written in full to a server.
    attempts_written => "tries",
    /// Attempts that a server answered with a value or a receipt.
    attempts_served => "ok",
    /// Attempts that a cache server answered with a miss.
    attempts_missed => "misses",
    /// Attempts that ended in an error.
    attempts_failed => "errors",
    /// Attempts that an overloaded server rejected.
    attempts_rejected => "full",
    /// Attempts that timed out.
    attempts_timed_out => "timeouts",
    /// Attempts that were not fully written: no connection, a connection that broke, or the deadline came first.
    attempts_not_connected => "connect_failed",
    /// Attempts whose connection broke.
    attempts_reset => "resets",
    /// Attempts cancelled before their first byte, as the server drains or is gone.
    attempts_not_sent => "moot",
    /// Responses that came after their attempt had timed out.
    late_responses => "late_answers",
    /// Requests served by such a response.
    served_late => "served_late",
    /// Streamed values passed on in full while they came.
    downloads => "long",
    /// Streamed values that broke off before their end.
    downloads_broken => "long_broken",
    /// Streamed values of clients that began to go to the origin while they came.
    uploads => "uploads",
    /// Responses that were malformed or for another id.
    malformed_responses => "bad_answers",
    /// Connections opened to servers.
    connections_opened => "opened",
    /// Endpoint lists and changes that discovery has sent.
    endpoint_updates => "lists",
    /// Configurations taken over on a signal.
    reloads => "reloads",
    /// Calls to discovery that failed, and watches that ended.
    discovery_failures => "discovery_failures",
}

impl Counters {
    /// The counter of rejections for this reason.
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

/// Adds one.
pub fn increment(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

impl fmt::Display for Counters {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (place, (figure, value)) in self.figures().into_iter().enumerate() {
            write!(out, "{}{figure}={value}", if place > 0 { " " } else { "" })?;
        }
        Ok(())
    }
}
