//! The retry budget of all balancers together, relative to first attempts: credits that are earned, spent and passed on. A
//! retry here is any attempt after the first one, hedged requests included.
//!
//! # Guarantee
//!
//! Whatever is lost, late, repeated or in disorder, whoever is cut off, killed, started again or frozen: **in any time, all
//! balancers together begin at most `retries_per_first_attempt` retries for each first attempt of that time and the two seconds
//! before it, and `max_saved_credits` more.**
//!
//! # Why
//!
//! A credit is made by first attempts alone, `retries_per_first_attempt` of one each, and is in one place or lost: whoever passes
//! one on has taken it off its own first; whoever receives one takes it for a request that it sent within the last second and
//! that has not been answered, so that no repeat and nothing late counts. Own credits are kept up to `max_saved_credits` over
//! the number of holders; received ones for a second. So a credit that is spent at t was among the own credits of some member at
//! t - 2 s, which are `max_saved_credits` at the most, or was made since. A process that starts has none.
//!
//! Times are on the caller's clock, which never goes back. Nothing here fails: a message that does not fit is ignored.

mod message;
#[cfg(test)]
mod tests;

use std::collections::VecDeque;
use std::net::SocketAddr;

use juniperladder::Micros;

use crate::interval::Interval;
use crate::open_requests::OpenRequests;
pub use message::Message;

/// How long a request for credits may wait for its answer. With [`RECEIVED_CREDIT_LIFETIME`] it makes the two seconds of the guarantee.
const REQUEST_TIMEOUT: Micros = Micros::SECOND;
/// How long received credits are kept.
const RECEIVED_CREDIT_LIFETIME: Micros = Micros::SECOND;
/// For how long after a retry found no credit a member asks others for some, and passes none on.
const SHORTAGE_MEMORY: Micros = Micros::SECOND;
/// Between two rounds of requests for credits.
const REQUEST_INTERVAL: Micros = Micros::from_millis(200);
/// Members asked in a round.
const MEMBERS_PER_ROUND: usize = 2;
/// The most credits in one request or transfer.
const MAX_TRANSFER: u32 = 16;
/// Credits that a member does not pass on.
const RESERVED_CREDITS: f64 = 1.0;
/// The share of its other credits that a member passes on at once: the next that asks finds some, too.
const TRANSFERRED_SHARE: f64 = 0.5;
/// What a retry costs.
const CREDITS_PER_RETRY: f64 = 1.0;

/// The terms. They have to be the same at every member; members whose terms differ pass no credits to each other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetTerms {
    /// Retries for each first attempt.
    pub retries_per_first_attempt: f64,
    /// Credits that all holders together may have saved.
    pub max_saved_credits: f64,
    /// Among how many positions the saved credits are divided.
    pub holders: u32,
}

/// What operators see of the retry budget. Credits are counted now, the rest since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetryBudgetMetrics {
    /// Credits that this member earned.
    pub own_credits: f64,
    /// Credits that it received from others.
    pub received_credits: f64,
    /// Retries that began.
    pub retries: u64,
    /// First attempts.
    pub first_attempts: u64,
    /// Credits that were passed on to others.
    pub transferred_credits: u64,
    /// Calls of `on_rejected`; the decisions make none today, so that an exhausted budget shows in the rejections alone.
    pub rejected: u64,
}

/// Credits that came in one transfer.
#[derive(Clone, Copy, Debug)]
struct ReceivedCredits {
    at: Micros,
    credits: f64,
}

/// One member's part of the retry budget.
#[derive(Debug)]
pub struct RetryBudget {
    terms: RetryBudgetTerms,
    /// Differs between the processes at one position; requests and transfers name it.
    incarnation: u64,
    /// At most `max_own_credits`.
    own_credits: f64,
    max_own_credits: f64,
    /// Credits from others, oldest first, each until [`RECEIVED_CREDIT_LIFETIME`] is over.
    received: VecDeque<ReceivedCredits>,
    requests: OpenRequests,
    rounds: Interval,
    /// When a retry last found no credit.
    last_shortage: Option<Micros>,
    outgoing: Vec<(SocketAddr, Message)>,
    metrics: RetryBudgetMetrics,
}

impl RetryBudget {
    /// The part of the member at this position, whose process starts now: it has no credit. Beyond the holders none are kept,
    /// so that what is earned there is lost.
    pub fn new(terms: RetryBudgetTerms, position: u32, incarnation: u64) -> RetryBudget {
        let is_holder = position < terms.holders;
        let part = terms.max_saved_credits / f64::from(terms.holders.max(1));
        RetryBudget {
            terms,
            incarnation,
            own_credits: 0.0,
            max_own_credits: if is_holder { part } else { 0.0 },
            received: VecDeque::new(),
            requests: OpenRequests::new(REQUEST_TIMEOUT),
            rounds: Interval::default(),
            last_shortage: None,
            outgoing: Vec::new(),
            metrics: RetryBudgetMetrics::default(),
        }
    }

    /// A first attempt has come in.
    pub fn on_first_attempt(&mut self) {
        self.metrics.first_attempts += 1;
        let earned = self.own_credits + self.terms.retries_per_first_attempt;
        self.own_credits = earned.min(self.max_own_credits);
    }

    /// Credits that have come from others and are not too old.
    fn received_credits(&mut self, now: Micros) -> f64 {
        while self.received.front().is_some_and(|received| now >= received.at + RECEIVED_CREDIT_LIFETIME) {
            self.received.pop_front();
        }
        self.received.iter().fold(0.0, |sum, received| sum + received.credits)
    }

    fn can_pay(&mut self, now: Micros) -> bool {
        self.own_credits >= CREDITS_PER_RETRY || self.received_credits(now) >= CREDITS_PER_RETRY
    }

    /// Whether one more retry may begin. Asking counts as need: where it has to wait, this member asks others for credits.
    pub fn has_credit(&mut self, now: Micros) -> bool {
        let has_credit = self.can_pay(now);
        if !has_credit {
            self.last_shortage = Some(now);
        }
        has_credit
    }

    /// A retry begins and takes a credit; what came from others goes first. [`RetryBudget::has_credit`] was true at the same
    /// time.
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

    /// A retry was rejected for want of a credit.
    pub fn on_rejected(&mut self, now: Micros) {
        self.metrics.rejected += 1;
        self.last_shortage = Some(now);
    }

    /// Whether a retry found no credit a short while ago.
    fn is_short(&self, now: Micros) -> bool {
        self.last_shortage.is_some_and(|at| now < at + SHORTAGE_MEMORY)
    }

    /// Asks others for credits while there was lately none; to be called about every 50 ms. `draw_peer` draws a member.
    pub fn tick(&mut self, now: Micros, mut draw_peer: impl FnMut() -> Option<SocketAddr>) {
        self.requests.expire(now);
        if !self.is_short(now) || self.can_pay(now) || !self.rounds.is_due(now, REQUEST_INTERVAL) {
            return;
        }
        for _ in 0..MEMBERS_PER_ROUND {
            let Some(to) = draw_peer() else { return };
            let sent = self.requests.open(now, to);
            let request = Message::Request { incarnation: self.incarnation, sent, credits: MAX_TRANSFER };
            self.outgoing.push((to, request));
        }
    }

    /// A message has come from another member.
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
                // The oldest received credits pay first, so that none may stand there that pay nothing.
                if is_awaited && credits > 0 {
                    let credits = f64::from(credits.min(MAX_TRANSFER));
                    self.received.push_back(ReceivedCredits { at: now, credits });
                }
            }
        }
    }

    /// Takes whole credits off the own ones to pass them on, none while this member is short itself.
    fn take_transferable(&mut self, now: Micros, requested: u32) -> u32 {
        let beyond_kept = (self.own_credits - RESERVED_CREDITS).max(0.0);
        let most = f64::from(requested.min(MAX_TRANSFER));
        let credits = (beyond_kept * TRANSFERRED_SHARE).floor().min(most);
        if credits < 1.0 || self.is_short(now) {
            return 0;
        }
        self.own_credits -= credits;
        self.metrics.transferred_credits += credits as u64;
        credits as u32
    }

    /// The messages that go out, with their receivers.
    pub fn drain(&mut self) -> std::vec::Drain<'_, (SocketAddr, Message)> {
        self.outgoing.drain(..)
    }

    /// What operators see.
    pub fn metrics(&mut self, now: Micros) -> RetryBudgetMetrics {
        let received_credits = self.received_credits(now);
        RetryBudgetMetrics { own_credits: self.own_credits, received_credits, ..self.metrics }
    }
}
