//! Discovery: when it is polled, and the watch on its changes.
//!
//! [`follow`] owns all that is known of discovery here. Each poll runs in a task of its own ([`poll`]) and sends its events;
//! [`watches`] keeps which polls are open and what is overdue, and [`timing`] has all times.
//!
//! Guarantee: a change is known here before it counts as notified, [`timing::CHANGE_NOTIFIED_AFTER`] after discovery had
//! it. It fails where discovery cannot be reached; the list in use stays in use then, and polls go on after each backoff. The waits between polls come from the
//! decisions, except at a new address and where discovery pushes its lists.

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

/// How many events of polls may wait to be handled.
const INBOX_EVENTS: usize = 4;

/// When discovery is polled.
#[derive(Clone, Copy, Debug, Default)]
pub struct PollPolicy {
    /// At the start, not when the decisions would: a process that replaces another starts from a list that may be old, and
    /// what discovery says binds it soon after its start.
    pub polls_at_start: bool,
    /// Where lists are pushed: at the start, and so long after each poll or watch that failed. What discovery has counts as
    /// notified at once there, whether a watch is open or not, and the decisions do not ask for one.
    pub pushed_list_backoff: Option<Duration>,
    /// For the backoffs at a new address.
    pub seed: u64,
}

/// Why a poll is made.
#[derive(Clone, Copy, Debug)]
enum PollReason {
    /// The process has started, and its list may be old.
    Start,
    /// The decisions ask for it.
    Requested,
    /// A new configuration names another address.
    NewAddress,
    /// The last one failed, and the decisions do not space the polls out.
    Backoff,
}

/// Watches discovery whenever the decisions ask for it, and reports what comes to them. When the address changes the new one
/// is polled at once, and what the old one's watch sends is used until the new one has sent its list. `known_version` is that
/// of the list in use. Runs for as long as the address has a sender.
pub async fn follow(
    reader: EndpointListReader,
    known_version: Option<u64>,
    mut address: watch::Receiver<SocketAddr>,
    dispatcher: Rc<Dispatcher>,
    policy: PollPolicy,
    log: Logger,
) {
    let (inbox, mut events) = mpsc::channel(INBOX_EVENTS);
    let first_address = *address.borrow_and_update();
    let watches = Watches::new(known_version);
    let mut follower =
        Follower::new(reader, watches, first_address, Rc::clone(&dispatcher), &policy, inbox, log);
    if policy.polls_at_start || policy.pushed_list_backoff.is_some() {
        follower.start_poll(PollReason::Start);
    }
    loop {
        let due = follower.deadline();
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
            () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {
                let due_by = Instant::now();
                // What arrived in time is read in this turn, however late it is.
                yield_now().await;
                while let Ok(message) = events.try_recv() {
                    follower.on_poll_event(message);
                }
                follower.on_deadline(due_by);
            }
        }
    }
}

/// The state of [`follow`].
struct Follower {
    reader: EndpointListReader,
    watches: Watches<Poll>,
    address: SocketAddr,
    /// When the next poll is made that the decisions do not ask for.
    next_poll: Option<Instant>,
    /// Polls that failed at a new address that has sent no list yet.
    new_address_failures: u32,
    pushed_list_backoff: Option<Duration>,
    rng: Rng,
    dispatcher: Rc<Dispatcher>,
    inbox: mpsc::Sender<PollMessage>,
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
        inbox: mpsc::Sender<PollMessage>,
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
            inbox,
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
        let poll = Poll::start(id, self.address, watch_path(since), self.inbox.clone());
        self.watches.on_poll_started(id, poll, Instant::now());
    }

    fn on_new_address(&mut self, address: SocketAddr) {
        self.address = address;
        self.watches.on_new_address();
        self.new_address_failures = 0;
        self.start_poll(PollReason::NewAddress);
    }

    /// The decisions ask for a watch. At a new address the polls are spaced out here until it has sent its list.
    fn on_watch_requested(&mut self) {
        if !self.watches.awaits_new_address() && self.watches.needs_poll() {
            self.start_poll(PollReason::Requested);
        }
    }

    fn deadline(&self) -> Option<Instant> {
        self.watches.deadline().into_iter().chain(self.next_poll).min()
    }

    /// Acts on all that was due by this time.
    fn on_deadline(&mut self, due_by: Instant) {
        for overdue in self.watches.take_overdue(due_by) {
            self.on_failure(overdue.kind.label(), overdue.age);
        }
        if self.next_poll.is_some_and(|due| due <= due_by) {
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
            // Discovery has answered, though without a change: the decisions need not ask again.
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
            ListUse::UnknownPoll => {
                info!(self.log, "endpoint list of a closed poll ignored"; "poll" => ?poll_id,
                    "endpoint_list_version" => version);
                return;
            }
            ListUse::Contradictory { known } => {
                // The list in use stays in use, and the complete one is asked for when the decisions ask again.
                let reason = format!("endpoint list version {version} after {known} without a reset");
                return self.on_failure(&reason, Duration::ZERO);
            }
        };
        if !self.watches.awaits_new_address() {
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

    /// A poll or a watch has failed, `age` after the poll started: another poll is due after a backoff.
    fn on_failure(&mut self, reason: &str, age: Duration) {
        let failures = &self.dispatcher.counters().discovery_failures;
        increment(failures);
        if self.log_throttle.allows() {
            warn!(self.log, "discovery poll failed"; "reason" => reason, "age_ms" => age.as_millis(),
                "discovery_failures" => failures.get());
        }
        let now = Instant::now();
        if self.watches.awaits_new_address() {
            self.next_poll = Some(now + new_address_backoff(self.new_address_failures, &mut self.rng));
            self.new_address_failures += 1;
            return;
        }
        self.next_poll = self.pushed_list_backoff.map(|backoff| now + backoff);
        // From here on the decisions space the polls out: they ask again after a backoff of their own.
        self.dispatcher.on_endpoints_changed(EndpointUpdate::Unavailable, &[]);
    }
}

#[cfg(test)]
mod tests;
