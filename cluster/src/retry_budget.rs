//! The retry budget of all balancers together, relative to first attempts: members earn, spend and transfer credits. A retry
//! here is any attempt after the first one, including hedged requests.
//!
//! # Guarantee
//!
//! **In any period all balancers together begin at most `retries_per_first_attempt` retries for each first attempt in that
//! period and the two seconds before it, plus `max_saved_credits`.** This holds if packets are lost, delayed, duplicated or
//! reordered, and if members are partitioned, killed, restarted or frozen.
//!
//! # Why the bound holds
//!
//! Credits are created only by first attempts, `retries_per_first_attempt` each, and a credit is held by one member or lost. A
//! member deducts credits from its own before it sends them. A member accepts credits only for a request that it sent within
//! the last second and that has not been answered, so that duplicated and late transfers do not count. Own credits are limited
//! to `max_saved_credits` divided by the number of holders; received credits are kept for a second. So a credit that is spent
//! at t was either among the own credits of some member at t - 2 s, which are at most `max_saved_credits` in total, or was
//! created since. A process starts without credits.
//!
//! Times are on the caller's clock, which never goes back. No operation fails: invalid messages are ignored.

mod message;
#[cfg(test)]
mod tests;

use std::collections::VecDeque;
use std::net::SocketAddr;

use juniperladder::Micros;

use crate::interval::Interval;
use crate::open_requests::OpenRequests;
pub use message::Message;

/// The time after which an answer to a request for credits is ignored. Together with [`RECEIVED_CREDIT_LIFETIME`] it is the two
/// seconds of the guarantee.
const REQUEST_TIMEOUT: Micros = Micros::SECOND;
/// How long received credits are kept.
const RECEIVED_CREDIT_LIFETIME: Micros = Micros::SECOND;
/// How long a member requests credits from others, and transfers none, after a retry has found no credit.
const SHORTAGE_DURATION: Micros = Micros::SECOND;
/// The time between two rounds of requests for credits.
const REQUEST_INTERVAL: Micros = Micros::from_millis(200);
/// The number of members to which a round sends requests.
const MEMBERS_PER_ROUND: usize = 2;
/// The maximum number of credits in one request or transfer.
const MAX_TRANSFERRED_CREDITS: u32 = 16;
/// The number of own credits that a member does not transfer.
const RESERVED_CREDITS: f64 = 1.0;
/// The maximum share of its other credits that a member transfers at once, so that some remain for the next request.
const MAX_TRANSFERRED_SHARE: f64 = 0.5;
/// The cost of a retry in credits.
const CREDITS_PER_RETRY: f64 = 1.0;

/// The terms of the retry budget. They have to be the same at every member; members whose terms differ do not transfer credits
/// to each other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetTerms {
    /// The number of retries allowed for each first attempt.
    pub retries_per_first_attempt: f64,
    /// The maximum number of saved credits of all holders together.
    pub max_saved_credits: f64,
    /// The number of positions among which the saved credits are divided.
    pub holders: u32,
}

/// Metrics of the retry budget. Own and received credits are current numbers; the rest accumulates since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetryBudgetMetrics {
    /// The number of credits that this member earned and still has.
    pub own_credits: f64,
    /// The number of credits received from others and not yet spent or expired.
    pub received_credits: f64,
    /// The number of retries that began.
    pub retries: u64,
    /// The number of first attempts.
    pub first_attempts: u64,
    /// The number of credits transferred to others.
    pub transferred_credits: u64,
    /// The number of calls of `on_rejected`. The balancer makes none today; an exhausted budget shows only in the balancer's
    /// own rejections.
    pub rejected: u64,
}

/// Credits received in one transfer.
#[derive(Clone, Copy, Debug)]
struct ReceivedCredits {
    at: Micros,
    credits: f64,
}

/// One member's part of the retry budget.
#[derive(Debug)]
pub struct RetryBudget {
    terms: RetryBudgetTerms,
    /// Distinguishes the processes at one position; part of requests and transfers.
    incarnation: u64,
    /// The own credits, at most `max_own_credits`.
    own_credits: f64,
    max_own_credits: f64,
    /// Credits from others, oldest first, each kept for [`RECEIVED_CREDIT_LIFETIME`].
    received: VecDeque<ReceivedCredits>,
    requests: OpenRequests,
    request_interval: Interval,
    /// When a retry last found no credit.
    last_shortage: Option<Micros>,
    outgoing: Vec<(SocketAddr, Message)>,
    metrics: RetryBudgetMetrics,
}

impl RetryBudget {
    /// Creates the part of the member at this position, whose process starts now, without credits. A position beyond the
    /// holders keeps no own credits: those that it earns are lost.
    pub fn new(terms: RetryBudgetTerms, position: u32, incarnation: u64) -> RetryBudget {
        let is_holder = position < terms.holders;
        let max_saved_per_holder = terms.max_saved_credits / f64::from(terms.holders.max(1));
        RetryBudget {
            terms,
            incarnation,
            own_credits: 0.0,
            max_own_credits: if is_holder { max_saved_per_holder } else { 0.0 },
            received: VecDeque::new(),
            requests: OpenRequests::new(REQUEST_TIMEOUT),
            request_interval: Interval::default(),
            last_shortage: None,
            outgoing: Vec::new(),
            metrics: RetryBudgetMetrics::default(),
        }
    }

    /// Earns credits for a first attempt.
    pub fn on_first_attempt(&mut self) {
        self.metrics.first_attempts += 1;
        let earned = self.own_credits + self.terms.retries_per_first_attempt;
        self.own_credits = earned.min(self.max_own_credits);
    }

    /// The number of unexpired credits from others.
    fn received_credits(&mut self, now: Micros) -> f64 {
        while self.received.front().is_some_and(|received| now >= received.at + RECEIVED_CREDIT_LIFETIME) {
            self.received.pop_front();
        }
        self.received.iter().fold(0.0, |sum, received| sum + received.credits)
    }

    fn has_enough_credits(&mut self, now: Micros) -> bool {
        self.own_credits >= CREDITS_PER_RETRY || self.received_credits(now) >= CREDITS_PER_RETRY
    }

    /// Whether one more retry may begin. If not, this member requests credits from others for a second.
    pub fn has_credit(&mut self, now: Micros) -> bool {
        let has_credit = self.has_enough_credits(now);
        if !has_credit {
            self.last_shortage = Some(now);
        }
        has_credit
    }

    /// Takes a credit for a retry that begins, received credits first. [`RetryBudget::has_credit`] must have been true at the
    /// same time.
    pub fn acquire(&mut self, now: Micros) {
        self.metrics.retries += 1;
        if self.received_credits(now) < CREDITS_PER_RETRY {
            self.own_credits = (self.own_credits - CREDITS_PER_RETRY).max(0.0);
            return;
        }
        if let Some(oldest) = self.received.front_mut() {
            oldest.credits -= CREDITS_PER_RETRY;
        }
        self.received.retain(|received| received.credits >= CREDITS_PER_RETRY);
    }

    /// Records that a retry was rejected because there was no credit.
    pub fn on_rejected(&mut self, now: Micros) {
        self.metrics.rejected += 1;
        self.last_shortage = Some(now);
    }

    /// Whether a retry has found no credit within [`SHORTAGE_DURATION`].
    fn has_shortage(&self, now: Micros) -> bool {
        self.last_shortage.is_some_and(|at| now < at + SHORTAGE_DURATION)
    }

    /// Requests credits from others during a shortage; to be called about every 50 ms. `random_peer` returns a random other
    /// member.
    pub fn tick(&mut self, now: Micros, mut random_peer: impl FnMut() -> Option<SocketAddr>) {
        self.requests.expire(now);
        if !self.has_shortage(now)
            || self.has_enough_credits(now)
            || !self.request_interval.begin_if_due(now, REQUEST_INTERVAL)
        {
            return;
        }
        for _ in 0..MEMBERS_PER_ROUND {
            let Some(to) = random_peer() else { return };
            let sent = self.requests.open(now, to);
            let request =
                Message::Request { incarnation: self.incarnation, sent, credits: MAX_TRANSFERRED_CREDITS };
            self.outgoing.push((to, request));
        }
    }

    /// Handles a message from another member.
    pub fn on_message(&mut self, now: Micros, from: SocketAddr, message: Message) {
        match message {
            Message::Request { incarnation, sent, credits } => {
                let credits = self.take_transferable(now, credits);
                if credits > 0 {
                    self.outgoing.push((from, Message::Transfer { incarnation, sent, credits }));
                }
            }
            Message::Transfer { incarnation, sent, credits } => {
                let is_awaited = incarnation == self.incarnation && self.requests.close(now, from, sent);
                // A retry is charged to the oldest received credits. A transfer of no credits must not be stored, because a
                // retry charged to it would be free.
                if is_awaited && credits > 0 {
                    let credits = f64::from(credits.min(MAX_TRANSFERRED_CREDITS));
                    self.received.push_back(ReceivedCredits { at: now, credits });
                }
            }
        }
    }

    /// Deducts whole own credits for a transfer; none during an own shortage.
    fn take_transferable(&mut self, now: Micros, requested: u32) -> u32 {
        let transferable = (self.own_credits - RESERVED_CREDITS).max(0.0);
        let max_credits = f64::from(requested.min(MAX_TRANSFERRED_CREDITS));
        let credits = (transferable * MAX_TRANSFERRED_SHARE).floor().min(max_credits);
        if credits < 1.0 || self.has_shortage(now) {
            return 0;
        }
        self.own_credits -= credits;
        self.metrics.transferred_credits += credits as u64;
        credits as u32
    }

    /// Takes the outgoing messages with their receivers.
    pub fn drain(&mut self) -> std::vec::Drain<'_, (SocketAddr, Message)> {
        self.outgoing.drain(..)
    }

    /// Metrics of this member's part of the budget.
    pub fn metrics(&mut self, now: Micros) -> RetryBudgetMetrics {
        let received_credits = self.received_credits(now);
        RetryBudgetMetrics { own_credits: self.own_credits, received_credits, ..self.metrics }
    }
}
