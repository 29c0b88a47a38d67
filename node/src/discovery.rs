//! Discovery: when it is called, and the watch on its changes.
//!
//! [`follow`] owns all that is known of discovery here. Each call runs in a task of its own ([`call`]) and sends what comes;
//! which calls are open, and what is due of them, is kept by [`watches`], and all times stand in [`budget`].

pub mod budget;
mod call;
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
use tokio::time::{sleep_until, Instant};

use crate::clock::to_ms;
use crate::counters::increment;
use crate::dispatcher::Dispatcher;
use crate::name_table::{watch_path, Catalog, NameTable};
use budget::turn_again;
use call::{Call, Message, News};
use watches::{ListUse, NoChange, WatchId, Watches};

/// News of calls that may wait to be taken in.
const INBOX: usize = 4;

/// When discovery is called.
#[derive(Clone, Copy, Debug, Default)]
pub struct Calls {
    /// At the start, not when the decisions would: a process that replaces another starts from a list that may be old, and what
    /// discovery says binds it soon after its start.
    pub at_once: bool,
    /// Where lists are pushed: at once, and so long after each call or watch that failed. What discovery has counts as told from
    /// the first moment on there, whether a watch is open or not, and the decisions does not ask for one.
    pub pushed: Option<Duration>,
    /// For the waits of the calls at a new address.
    pub seed: u64,
}

/// Why a call is made.
#[derive(Clone, Copy, Debug)]
enum Reason {
    /// The process has started, and its list may be old.
    Start,
    /// The decision module asks for it.
    Due,
    /// A new configuration names another address.
    NewAddress,
    /// The last one failed, and the decisions does not space the calls out.
    Again,
}

/// Watches discovery whenever the decisions asks for it, and tells the decisions what comes. When the address changes the new one is
/// called at once, and what the old one's watch says is taken in until the new one has told its list. `known` is the version
/// of the list in hand.
pub async fn follow(
    table: NameTable,
    known: Option<u64>,
    mut address: watch::Receiver<SocketAddr>,
    dispatcher: Rc<Dispatcher>,
    calls: Calls,
    log: Logger,
) {
    let (inbox, mut news) = mpsc::channel(INBOX);
    let at = *address.borrow_and_update();
    let mut follower = Follower::new(table, known, at, Rc::clone(&dispatcher), calls, inbox, log);
    if calls.at_once || calls.pushed.is_some() {
        follower.call(Reason::Start);
    }
    loop {
        let due = follower.deadline();
        tokio::select! {
            turned = address.changed() => {
                if turned.is_err() {
                    return;
                }
                let address = *address.borrow_and_update();
                follower.turn(address);
            }
            Some(message) = news.recv() => follower.on_message(message),
            () = dispatcher.wait_for_watch_request() => follower.on_wanted(),
            () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => follower.on_deadline(),
        }
    }
}

/// What [`follow`] keeps.
struct Follower {
    table: NameTable,
    watches: Watches<Call>,
    address: SocketAddr,
    /// When the next call is made that the decisions does not ask for.
    again: Option<Instant>,
    /// Calls that failed at a new address that has told no list yet.
    turn_failures: u32,
    pushed: Option<Duration>,
    rng: Rng,
    dispatcher: Rc<Dispatcher>,
    inbox: mpsc::Sender<Message>,
    log_throttle: LogThrottle,
    log: Logger,
}

impl Follower {
    fn new(
        table: NameTable,
        known: Option<u64>,
        address: SocketAddr,
        dispatcher: Rc<Dispatcher>,
        calls: Calls,
        inbox: mpsc::Sender<Message>,
        log: Logger,
    ) -> Follower {
        Follower {
            table,
            watches: Watches::new(known),
            address,
            again: None,
            turn_failures: 0,
            pushed: calls.pushed,
            rng: Rng::with_seed(calls.seed),
            dispatcher,
            inbox,
            log_throttle: LogThrottle::default(),
            log,
        }
    }

    fn call(&mut self, reason: Reason) {
        self.again = None;
        let id = self.watches.next_id();
        let since = self.watches.generation();
        info!(self.log, "discovery call begins"; "call" => ?id, "reason" => ?reason,
            "address" => %self.address, "since" => since);
        let call = Call::begin(id, self.address, watch_path(since), self.inbox.clone());
        self.watches.begin(id, call, Instant::now());
    }

    fn turn(&mut self, address: SocketAddr) {
        self.address = address;
        self.watches.turn();
        self.turn_failures = 0;
        self.call(Reason::NewAddress);
    }

    /// The module wants a watch. At a new address the calls are spaced out here until it has told its list.
    fn on_wanted(&mut self) {
        if !self.watches.turning() && self.watches.need_call() {
            self.call(Reason::Due);
        }
    }

    fn deadline(&self) -> Option<Instant> {
        self.watches.deadline().into_iter().chain(self.again).min()
    }

    fn on_deadline(&mut self) {
        let now = Instant::now();
        for (overdue, lasted) in self.watches.take_overdue(now) {
            self.failed(overdue.label(), lasted);
        }
        if self.again.is_some_and(|again| again <= now) {
            self.call(Reason::Again);
        }
    }

    fn on_message(&mut self, Message { watch, news }: Message) {
        match news {
            News::Connected => debug!(self.log, "discovery connected"; "call" => ?watch),
            News::List(catalog) => self.on_list(watch, catalog),
            News::NoChange => match self.watches.on_no_change(watch, Instant::now()) {
                // It has answered, though with nothing: the decisions need not ask again.
                NoChange::Answered => self.dispatcher.on_endpoints_changed(EndpointUpdate::Delta, &[]),
                NoChange::Confirmed => self.dispatcher.on_endpoints_confirmed(),
                NoChange::Nothing => {}
            },
            News::Ended(problem) => {
                debug!(self.log, "discovery call ended"; "call" => ?watch, "problem" => &problem);
                if let Some(lasted) = self.watches.on_end(watch, Instant::now()) {
                    self.failed(&problem, lasted);
                }
            }
        }
    }

    fn on_list(&mut self, watch: WatchId, catalog: Catalog) {
        let generation = catalog.generation;
        let kind = match self.watches.on_list(watch, generation, catalog.reset, Instant::now()) {
            ListUse::Whole => EndpointUpdate::Snapshot,
            ListUse::Changes => EndpointUpdate::Delta,
            ListUse::Outdated | ListUse::Unknown => {
                info!(self.log, "list passed over"; "call" => ?watch, "generation" => generation);
                return;
            }
            ListUse::Contradicts(known) => {
                // The list stands, and the whole one is asked for when the decisions asks again.
                let problem = format!("generation {generation} after {known} without a reset");
                return self.failed(&problem, Duration::ZERO);
            }
        };
        if !self.watches.turning() {
            self.again = None;
        }
        let servers = self.table.read(catalog, &self.log);
        for listed_server in &servers {
            debug!(self.log, "list entry"; "server" => %ServerLabel(listed_server.endpoint.server),
                "state" => ?listed_server.endpoint.state, "started-ms" => to_ms(listed_server.endpoint.started));
        }
        increment(&self.dispatcher.counters().endpoint_updates);
        info!(self.log, "list"; "call" => ?watch, "generation" => generation,
            "whole" => kind == EndpointUpdate::Snapshot, "entries" => servers.len());
        self.dispatcher.on_endpoints_changed(kind, &servers);
    }

    /// A call or a watch has failed: another call is due after a wait.
    fn failed(&mut self, problem: &str, lasted: Duration) {
        let failures = &self.dispatcher.counters().discovery_failures;
        increment(failures);
        if self.log_throttle.allows() {
            warn!(self.log, "discovery"; "problem" => problem, "after-ms" => lasted.as_millis(),
                "so far" => failures.get());
        }
        let now = Instant::now();
        if self.watches.turning() {
            self.again = Some(now + turn_again(self.turn_failures, &mut self.rng));
            self.turn_failures += 1;
            return;
        }
        self.again = self.pushed.map(|wait| now + wait);
        // From here on the decisions spaces the calls out: it asks again after a wait of its own.
        self.dispatcher.on_endpoints_changed(EndpointUpdate::Unavailable, &[]);
    }
}

#[cfg(test)]
mod tests;
