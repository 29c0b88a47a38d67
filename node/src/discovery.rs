//! The client of discovery: schedules polls and follows the watch on endpoint list changes.
//!
//! [`follow`] owns the state of the discovery client. Each poll runs in its own task ([`poll`]), which sends events to
//! [`follow`]; [`watches`] tracks which polls are open and which are overdue, and [`timing`] holds all timeouts.
//!
//! Guarantee: a change is received before it counts as notified, [`timing::CHANGE_NOTIFIED_AFTER`] after discovery had
//! it. The guarantee does not hold while discovery is unreachable: the list in use then stays in use, and polls are
//! repeated after a backoff. The decision core sets the time between polls, except after an address change and where
//! discovery pushes its lists.

mod poll;
pub mod timing;
mod watches;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fastrand::Rng;
use juniperladder::EndpointUpdate;
use juniperladder_dispatch::identifiers::ServerLabel;
use juniperladder_dispatch::log_throttle::LogThrottle;
use slog::{debug, info, warn, Logger};
use tokio::sync::{mpsc, watch};
use tokio::task::yield_now;
use tokio::time::{sleep_until, Instant};

use crate::clock::to_ms;
use crate::counters::increment;
use crate::dispatcher::{Dispatcher, ListedServer};
use crate::endpoint_list::{watch_path, EndpointList, EndpointListReader};
use poll::{Poll, PollEvent, PollMessage};
use timing::new_address_backoff;
use watches::{Heartbeat, ListUse, PollId, Watches};

/// The number of poll events that may be queued.
const MAX_QUEUED_EVENTS: usize = 4;

/// The polls that are made without a request of the decision core.
#[derive(Clone, Copy, Debug, Default)]
pub struct PollPolicy {
    /// Whether discovery is polled at the start, before the decision core asks for a poll. A process that replaces
    /// another starts from a list that may be outdated, and must follow discovery's changes soon after its start.
    pub polls_at_start: bool,
    /// The backoff after a failed poll or watch where discovery pushes its lists; there it is also polled at the start.
    /// Changes then count as notified at once, whether a watch is open or not, and the decision core requests no watch.
    pub pushed_list_backoff: Option<Duration>,
    /// The random seed of the backoffs at a new address.
    pub seed: u64,
}

/// Why a poll is made.
#[derive(Clone, Copy, Debug)]
enum PollReason {
    /// The process has started, and its list may be outdated.
    Start,
    /// The decision core requested it.
    Requested,
    /// A reloaded configuration changed discovery's address.
    NewAddress,
    /// The last poll failed, and the decision core does not schedule the next one.
    Backoff,
}

/// Watches discovery when the decision core requests it, and passes on the lists received. After an address change the
/// new address is polled at once, and the watch on the old one is used until the new one has sent its list.
/// `known_version` is the version of the list in use. Runs until the sender of the address is dropped.
pub async fn follow(
    reader: EndpointListReader,
    known_version: Option<u64>,
    mut address: watch::Receiver<SocketAddr>,
    dispatcher: Rc<Dispatcher>,
    policy: PollPolicy,
    log: Logger,
) {
    let (event_sender, mut events) = mpsc::channel(MAX_QUEUED_EVENTS);
    let first_address = *address.borrow_and_update();
    let watches = Watches::new(known_version);
    let mut follower =
        Follower::new(reader, watches, first_address, Rc::clone(&dispatcher), &policy, event_sender, log);
    if policy.polls_at_start || policy.pushed_list_backoff.is_some() {
        follower.start_poll(PollReason::Start);
    }
    loop {
        let next_deadline = follower.deadline();
        tokio::select! {
            biased;
            changed = address.changed() => {
                if changed.is_err() {
                    return;
                }
                let address = *address.borrow_and_update();
                follower.on_new_address(address);
            }
            Some(message) = events.recv() => follower.on_poll_event(message),
            () = dispatcher.wait_for_watch_request() => follower.on_watch_requested(),
            () = sleep_until(next_deadline.unwrap_or_else(Instant::now)), if next_deadline.is_some() => {
                let woken_at = Instant::now();
                // If the event loop was delayed, events that arrived before the deadline are handled first.
                yield_now().await;
                while let Ok(message) = events.try_recv() {
                    follower.on_poll_event(message);
                }
                follower.on_deadline(woken_at);
            }
        }
    }
}

/// The state of [`follow`].
struct Follower {
    reader: EndpointListReader,
    watches: Watches<Poll>,
    address: SocketAddr,
    /// The time of the next poll that the decision core does not schedule.
    next_poll: Option<Instant>,
    /// The number of failed polls of a new address before its first list.
    new_address_failures: u32,
    pushed_list_backoff: Option<Duration>,
    rng: Rng,
    dispatcher: Rc<Dispatcher>,
    event_sender: mpsc::Sender<PollMessage>,
    log_throttle: LogThrottle,
    log: Logger,
}

impl Follower {
    fn new(
        reader: EndpointListReader,
        watches: Watches<Poll>,
        address: SocketAddr,
        dispatcher: Rc<Dispatcher>,
        policy: &PollPolicy,
        event_sender: mpsc::Sender<PollMessage>,
        log: Logger,
    ) -> Follower {
        Follower {
            reader,
            watches,
            address,
            next_poll: None,
            new_address_failures: 0,
            pushed_list_backoff: policy.pushed_list_backoff,
            rng: Rng::with_seed(policy.seed),
            dispatcher,
            event_sender,
            log_throttle: LogThrottle::default(),
            log,
        }
    }

    fn start_poll(&mut self, reason: PollReason) {
        self.next_poll = None;
        let id = self.watches.next_id();
        let since = self.watches.version();
        info!(self.log, "discovery poll started"; "poll" => ?id, "reason" => ?reason,
            "address" => %self.address, "since" => since);
        let poll = Poll::start(id, self.address, watch_path(since), self.event_sender.clone());
        self.watches.on_poll_started(id, poll, Instant::now());
    }

    fn on_new_address(&mut self, address: SocketAddr) {
        self.address = address;
        self.watches.on_new_address();
        self.new_address_failures = 0;
        self.start_poll(PollReason::NewAddress);
    }

    /// Handles a watch request of the decision core. While a new address has not sent its list, [`Self::next_poll`]
    /// schedules the polls instead.
    fn on_watch_requested(&mut self) {
        if !self.watches.awaits_list_of_new_address() && self.watches.needs_poll() {
            self.start_poll(PollReason::Requested);
        }
    }

    fn deadline(&self) -> Option<Instant> {
        self.watches.deadline().into_iter().chain(self.next_poll).min()
    }

    /// Reports overdue polls and watches, and starts a scheduled poll that is due at this time.
    fn on_deadline(&mut self, now: Instant) {
        for overdue in self.watches.take_overdue(now) {
            self.on_failure(overdue.kind.label(), overdue.age);
        }
        if self.next_poll.is_some_and(|due| due <= now) {
            self.start_poll(PollReason::Backoff);
        }
    }

    fn on_poll_event(&mut self, PollMessage { poll_id, event }: PollMessage) {
        match event {
            PollEvent::Connected => debug!(self.log, "discovery connected"; "poll" => ?poll_id),
            PollEvent::List(list) => self.on_list(poll_id, list),
            PollEvent::Heartbeat => self.on_heartbeat(poll_id),
            PollEvent::Ended(error) => {
                debug!(self.log, "discovery poll ended"; "poll" => ?poll_id, "reason" => %error);
                if let Some(age) = self.watches.on_ended(poll_id, Instant::now()) {
                    self.on_failure(&error.to_string(), age);
                }
            }
        }
    }

    fn on_heartbeat(&mut self, poll_id: PollId) {
        match self.watches.on_heartbeat(poll_id, Instant::now()) {
            // An answer without changes still ends the decision core's wait for this poll.
            Heartbeat::Answered => self.dispatcher.on_endpoints_changed(EndpointUpdate::Delta, &[]),
            Heartbeat::Confirmed => self.dispatcher.on_endpoints_confirmed(),
            Heartbeat::Ignored => {}
        }
    }

    fn on_list(&mut self, poll_id: PollId, list: EndpointList) {
        let version = list.version;
        let update = match self.watches.on_list(poll_id, version, list.is_complete, Instant::now()) {
            ListUse::Snapshot => EndpointUpdate::Snapshot,
            ListUse::Delta => EndpointUpdate::Delta,
            ListUse::Outdated => {
                info!(self.log, "outdated endpoint list ignored"; "poll" => ?poll_id,
                    "endpoint_list_version" => version);
                return;
            }
            ListUse::PollClosed => {
                info!(self.log, "endpoint list from a closed poll ignored"; "poll" => ?poll_id,
                    "endpoint_list_version" => version);
                return;
            }
            ListUse::Contradictory { known } => {
                // The list in use stays in use, and the next poll that the decision core requests fetches a complete
                // one.
                let reason =
                    format!("endpoint list version went back from {known} to {version} without a reset");
                return self.on_failure(&reason, Duration::ZERO);
            }
        };
        if !self.watches.awaits_list_of_new_address() {
            self.next_poll = None;
        }
        let servers = self.reader.read(list, &self.log);
        self.log_list(poll_id, version, update, &servers);
        increment(&self.dispatcher.counters().endpoint_updates);
        self.dispatcher.on_endpoints_changed(update, &servers);
    }

    fn log_list(&self, poll_id: PollId, version: u64, update: EndpointUpdate, servers: &[ListedServer]) {
        for server in servers {
            let endpoint = &server.endpoint;
            debug!(self.log, "endpoint list entry"; "server" => %ServerLabel(endpoint.server),
                "state" => ?endpoint.state, "started_ms" => to_ms(endpoint.started));
        }
        info!(self.log, "endpoint list received"; "poll" => ?poll_id, "endpoint_list_version" => version,
            "is_complete" => update == EndpointUpdate::Snapshot, "entries" => servers.len());
    }

    /// Handles the failure of a poll or watch, `age` after the poll started. Another poll follows after a backoff.
    fn on_failure(&mut self, reason: &str, age: Duration) {
        let failures = &self.dispatcher.counters().discovery_failures;
        increment(failures);
        if self.log_throttle.try_acquire() {
            warn!(self.log, "discovery poll failed"; "reason" => reason, "age_ms" => age.as_millis(),
                "discovery_failures" => failures.get());
        }
        let now = Instant::now();
        if self.watches.awaits_list_of_new_address() {
            self.next_poll = Some(now + new_address_backoff(self.new_address_failures, &mut self.rng));
            self.new_address_failures += 1;
            return;
        }
        self.next_poll = self.pushed_list_backoff.map(|backoff| now + backoff);
        // The decision core requests the next poll, after its own backoff.
        self.dispatcher.on_endpoints_changed(EndpointUpdate::Unavailable, &[]);
    }
}

#[cfg(test)]
mod tests;
