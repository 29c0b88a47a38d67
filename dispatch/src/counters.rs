//! What the balancer took in, sent and answered, counted since its start.

use std::cell::Cell;
use std::fmt;

use juniperladder::RejectReason;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        /// One number for each kind of thing that happens.
        #[derive(Debug, Default)]
        pub struct Counters { $($(#[$doc])* pub $name: Cell<u64>),* }

        impl Counters {
            /// Every counter with its name, in a fixed order.
            pub fn all(&self) -> Vec<(&'static str, u64)> {
                vec![$((stringify!($name), self.$name.get())),*]
            }
        }
    };
}

counters! {
    /// Connections accepted from clients.
    clients,
    /// Connections that could not be accepted.
    accepts_failed,
    /// Commands taken.
    commands,
    /// Lines from clients that were no command.
    malformed,
    /// Clients' connections closed as they had no command open for too long.
    quiet,
    /// Clients' connections ended in the middle of a command.
    cut,
    /// Commands whose client left before the answer.
    left,
    /// Commands answered with a value or a receipt.
    served,
    /// Commands answered with a rejection.
    rejected,
    /// Rejections: an answer would have come too late to be worth anything.
    rejected_late,
    /// Rejections: all attempts were used up.
    rejected_spent,
    /// Rejections: no host was left that the command might be sent to.
    rejected_nowhere,
    /// Rejections: too little time was left for the origin's usual pace.
    rejected_deadline_unreachable,
    /// Rejections: the command had waited for a place at the origin for as long as it may.
    rejected_queue_timeout,
    /// Rejections: too many commands that are worth more waited for a place at the origin.
    rejected_preempted,
    /// Rejections: all hosts of the command were gapped.
    rejected_gapped,
    /// Commands answered as failed.
    failed,
    /// Commands that the module had not ended at their deadline.
    overdue,
    /// Listed hosts that were more than may be known.
    hosts_left_out,
    /// Attempts begun.
    attempts,
    /// Attempts written in full to a host.
    tries,
    /// Attempts that a host answered with a value or a receipt.
    ok,
    /// Attempts that a cache host answered with a miss.
    misses,
    /// Attempts that ended in an error.
    errors,
    /// Attempts turned away.
    full,
    /// Attempts that timed out.
    timeouts,
    /// Attempts that found no connection.
    connect_failed,
    /// Attempts whose connection broke.
    resets,
    /// Attempts called off before their first byte, as the host drains or is gone.
    moot,
    /// Answers that came after their attempt had timed out.
    late_answers,
    /// Commands served by such an answer.
    served_late,
    /// Long values passed on in full while they came.
    long,
    /// Long values that broke off before their end.
    long_broken,
    /// Long values of clients that were begun to be sent to the origin while they came.
    uploads,
    /// Answers that could not be understood or were for another id.
    bad_answers,
    /// Connections opened to hosts.
    opened,
    /// Lists and changes that discovery has told.
    lists,
    /// Configurations taken over on a signal.
    reloads,
    /// Calls to discovery that failed, and watches that ended.
    discovery_failures,
}

impl Counters {
    /// The counter of rejections for this reason.
    pub fn refusals(&self, reason: RejectReason) -> &Cell<u64> {
        match reason {
            RejectReason::ObjectiveMissed => &self.rejected_late,
            RejectReason::AttemptsExhausted => &self.rejected_spent,
            RejectReason::NoEligibleServer => &self.rejected_nowhere,
            RejectReason::DeadlineUnreachable => &self.rejected_deadline_unreachable,
            RejectReason::QueueTimeout => &self.rejected_queue_timeout,
            RejectReason::Preempted => &self.rejected_preempted,
            RejectReason::AllServersGapped => &self.rejected_gapped,
        }
    }
}

/// Adds one.
pub fn count(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

impl fmt::Display for Counters {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (place, (name, value)) in self.all().into_iter().enumerate() {
            write!(out, "{}{name}={value}", if place > 0 { " " } else { "" })?;
        }
        Ok(())
    }
}
