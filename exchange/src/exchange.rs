//! Where the client side and the server side meet. The exchange owns the module, the open commands, the
//! attempts and the timers; it knows no protocol, and neither side knows the other.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use juniperladder::{
    Action, Balancer, Class, Effect, Entry, Event, Fleet, ListKind, Micros, Outcome, Request, RequestId,
    ServerId, Settings, State, Status,
};
use rustc_hash::FxHashMap;
use slog::{info, warn, Logger};
use tokio::sync::{oneshot, Notify};
use tokio::time::sleep_until;

use crate::bans::Bans;
use crate::clock::{to_ms, Clock};
use crate::counters::{count, Counters};
use crate::long::{long, ticket, Feed, Going, Long, Ticket};
pub use crate::numbers::AttemptId;
use crate::tally::{Ended, Tally};
use crate::telling::Telling;
pub use crate::values::{Answer, Command, Host, Reply};

/// How long before its client gives up a command is over here: the way of the answer back, and of the
/// command here, which nothing tells.
const MARGIN: Micros = Micros(10_000);

/// Hosts that are known at once, several times what a fleet has: a list that goes on for ever must not fill the memory, nor
/// the time that each command takes. The origin is always among them.
const MOST_HOSTS: usize = 4_096;

/// A time that does not come.
const NEVER: Micros = Micros(u64::MAX);

/// How an attempt ended on the network.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// With a reply.
    Reply(Reply),
    /// Before its last byte was written: it never ran.
    NotSent,
    /// After its last byte was written: it may have run.
    Broken,
    /// With an answer that makes no sense or is another command's: it may have run.
    Spoilt,
    /// Before its first byte, since the host drains or is gone.
    CalledOff,
}

/// Names one command for as long as the program runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CommandId(u64);

impl CommandId {
    // The module's id is one of the exchange's own: a client that gives one id twice confuses nobody.
    fn request(self) -> RequestId {
        let mut bytes = [0; 36];
        bytes[..8].copy_from_slice(&self.0.to_le_bytes());
        RequestId(bytes)
    }

    fn of(request: &RequestId) -> CommandId {
        CommandId(request.0[..8].iter().rev().fold(0, |sum, byte| sum << 8 | u64::from(*byte)))
    }
}

/// One attempt at a command at one host.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Its name.
    pub id: AttemptId,
    /// What to send.
    pub command: Rc<Command>,
    /// Where to.
    pub server: ServerId,
    /// Until when its answer is waited for.
    pub until: Micros,
    /// Until when it may go out.
    by: Micros,
    over: Over,
}

/// Set once a command has its final answer, or its client is gone or sends no more: shared by all its attempts.
type Over = Rc<Cell<bool>>;

impl Attempt {
    /// Whether no byte of it may be written any more: nobody waits for it, so that a host would do work that is for nobody,
    /// after the command's final answer; or it is a repeat, and hosts may no longer know the command to drop it. Whoever
    /// carries it asks before each write.
    pub fn over(&self, now: Micros) -> bool {
        self.over.get() || now >= self.by
    }
}

/// A long value that a client writes, to be sent to the origin while it still comes: all but its last byte, which
/// waits for the attempt.
#[derive(Debug)]
pub struct Upload {
    /// What it is about: a write, whose value is the one below.
    pub command: Rc<Command>,
    /// Where to.
    pub server: ServerId,
    /// The value. Whoever lets go of it takes no more.
    pub value: Long,
    /// Brings the attempt that sends the last byte. If none comes the connection has to end as it is.
    pub going: Going,
}

/// Carries attempts to hosts. No method may call the exchange: what is to be told comes from a task.
pub trait Carrier {
    /// The name table has news.
    fn listed(&self, kind: ListKind, hosts: &[Host]);
    /// Start an attempt.
    fn begin(&self, attempt: Attempt);
    /// Begin to send a long value. The attempt that ends it comes by its ticket.
    fn upload(&self, upload: Upload);
    /// Its answer is not waited for any longer. Tells whether its last byte has been written.
    fn abandon(&self, id: AttemptId, server: ServerId) -> bool;
}

struct Open {
    command: Rc<Command>,
    answer: oneshot::Sender<Answer>,
    deadline: Micros,
    attempts: u32,
    out: u32,
    /// The client sends no more and may be gone; the module has let go of it.
    left: bool,
    /// Until when a repeat may go out, counted from the first attempt.
    by: Micros,
    over: Over,
}

struct Running {
    command: CommandId,
    server: ServerId,
    attempt: u32,
    sent: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Module(u64),
    Attempt(AttemptId),
    Command(CommandId),
}

pub(crate) struct Inner {
    pub(crate) balancer: Balancer,
    carrier: Rc<dyn Carrier>,
    commands: FxHashMap<CommandId, Open>,
    /// The clients' ids of the open commands; peers choose them, so that their hash is seeded.
    ids: HashSet<Bytes>,
    attempts: FxHashMap<AttemptId, Running>,
    /// Attempts that have timed out and whose answer may still come.
    late: FxHashMap<AttemptId, CommandId>,
    timers: BinaryHeap<Reverse<(Micros, Due)>>,
    actions: Vec<Action>,
    last: u64,
    serving: FxHashMap<ServerId, (State, Option<SocketAddr>)>,
    pub(crate) bans: Bans,
}

impl Inner {
    fn close(&mut self, id: CommandId) -> Option<Open> {
        let open = self.commands.remove(&id)?;
        self.ids.remove(&open.command.id);
        open.over.set(true);
        Some(open)
    }
}

/// The object through which all parts meet.
pub struct Exchange {
    pub(crate) inner: RefCell<Inner>,
    pub(crate) origin: Option<u32>,
    clock: Clock,
    longest: Vec<Micros>,
    /// For how long repeats are dropped, for each class whose repeats are.
    windows: Vec<Option<Micros>>,
    counters: Rc<Counters>,
    pub(crate) tally: Rc<Tally>,
    timer_set: Notify,
    watch: Notify,
    idle: Notify,
    next_timer: Cell<Micros>,
    /// When the last command has to be answered.
    last: Cell<Micros>,
    telling: Telling,
    log: Logger,
}

impl Exchange {
    /// An exchange that sends attempts by this carrier.
    pub fn new(
        settings: Settings,
        seed: u64,
        carrier: Rc<dyn Carrier>,
        clock: Clock,
        counters: Rc<Counters>,
        log: Logger,
    ) -> Rc<Exchange> {
        let longest = settings.classes.iter().map(|class| class.deadline).collect();
        let keyed = |class: &Class| (class.effect == Effect::Keyed).then_some(class.window);
        let windows = settings.classes.iter().map(keyed).collect();
        let origin = settings.mode.origin();
        let tally = Tally::new(settings.classes.len());
        let inner = Inner {
            balancer: Balancer::new(settings, seed),
            carrier,
            commands: FxHashMap::default(),
            ids: HashSet::new(),
            attempts: FxHashMap::default(),
            late: FxHashMap::default(),
            timers: BinaryHeap::new(),
            actions: Vec::new(),
            last: 0,
            serving: FxHashMap::default(),
            bans: Bans::default(),
        };
        Rc::new(Exchange {
            inner: RefCell::new(inner),
            origin,
            clock,
            longest,
            windows,
            counters,
            tally,
            timer_set: Notify::new(),
            watch: Notify::new(),
            idle: Notify::new(),
            next_timer: Cell::new(NEVER),
            last: Cell::new(NEVER),
            telling: Telling::default(),
            log,
        })
    }

    /// From now on this balancer keeps to the limits that it shares with others, and hears what they tell.
    pub fn join(&self, fleet: Box<dyn Fleet>) {
        self.inner.borrow_mut().balancer.join(fleet);
    }

    /// The program's counters.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Commands taken and not yet answered in full.
    pub fn in_progress(&self) -> usize {
        self.inner.borrow().commands.len() + self.tally.passing()
    }

    /// The program's clock.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// Whether commands can be served: some host is known.
    pub fn ready(&self) -> bool {
        self.inner.borrow().serving.values().any(|(state, _)| *state == State::Serving)
    }

    /// Tells the log which limits hold something back, and why.
    pub fn tell_limits(&self) {
        let inner = self.inner.borrow();
        let (limits, waiting) = inner.balancer.limits(self.clock.now());
        let mut held = 0;
        for limit in &limits {
            let Some(by) = limit.holds() else { continue };
            held += 1;
            let address = inner.serving.get(&limit.server).and_then(|(_, address)| *address);
            info!(self.log, "limit"; "held-by" => by,
                "host" => address.map_or_else(|| "unknown".into(), |a| a.to_string()),
                "out" => limit.out, "most" => limit.most, "gap-ms" => to_ms(limit.gap),
                "usual-ms" => to_ms(limit.usual), "lately-ms" => to_ms(limit.lately));
        }
        info!(self.log, "limits"; "hosts" => limits.len(), "held" => held, "waiting" => waiting);
    }

    /// Takes a command; its one answer comes on the receiver. None if a command with its id is open: hosts
    /// could not tell the two apart, and one would be answered for the other.
    pub fn take(&self, command: Command) -> Option<(CommandId, oneshot::Receiver<Answer>)> {
        self.take_after(command, Micros(0))
    }

    /// Takes a command that may have waited for so long, at most, before it could be read. That comes off its time, by half of
    /// it where the wait may have been longer: it is a bound and may be far over the truth.
    pub fn take_after(
        &self,
        command: Command,
        waited: Micros,
    ) -> Option<(CommandId, oneshot::Receiver<Answer>)> {
        if !self.inner.borrow_mut().ids.insert(command.id.clone()) {
            return None;
        }
        count(&self.counters.commands);
        let now = self.clock.now();
        let (answer, receiver) = oneshot::channel();
        let mut inner = self.inner.borrow_mut();
        inner.last += 1;
        let id = CommandId(inner.last);
        // A client that names no wait, or one longer than its class allows, waits as the class has it.
        let most = self.longest.get(command.class as usize).or(self.longest.last());
        let most = most.copied().unwrap_or(Micros(1_000_000));
        let wait = command.wait.map_or(most, |wait| wait.min(most));
        let left = wait.minus(waited.min(wait.times(0.5)));
        let deadline = now.plus(left.minus(MARGIN)).min(self.last.get());
        let request = Request {
            id: id.request(),
            deadline,
            hint: None,
            key: Some(crate::numbers::key(&command.key)),
            write: command.value.is_some(),
            class: command.class,
            tenant: command.tenant,
            retry: command.retry,
        };
        let (command, over) = (Rc::new(command), Over::default());
        inner.commands.insert(
            id,
            Open { command, answer, deadline, attempts: 0, out: 0, left: false, by: NEVER, over },
        );
        inner.timers.push(Reverse((deadline, Due::Command(id))));
        self.handle(&mut inner, now, Event::Request(request));
        Some((id, receiver))
    }

    /// From now on every command is answered by this time, those that are open already too: this process has no more.
    pub fn end_by(&self, last: Micros) {
        self.last.set(last);
        let mut inner = self.inner.borrow_mut();
        let open = inner.commands.iter().filter(|(_, open)| open.deadline > last);
        let ends: Vec<_> = open.map(|(id, _)| Reverse((last, Due::Command(*id)))).collect();
        inner.timers.extend(ends);
        self.timer_set.notify_one();
    }

    /// Whether a client may write long values: they go to the origin while they come.
    pub fn takes_long(&self) -> bool {
        self.origin.is_some()
    }

    /// Begins to send a long value that this command writes, though the command is not whole and not taken yet: a
    /// host begins a command with its last byte. None where there is nowhere to send it now.
    pub fn upload(&self, command: &Command, length: usize) -> Option<(Ticket, Feed)> {
        let inner = self.inner.borrow();
        let server = inner.balancer.origin()?;
        let (value, feed) = long(length);
        let (ticket, going) = ticket(server);
        count(&self.counters.uploads);
        inner.carrier.upload(Upload { command: Rc::new(command.clone()), server, value, going });
        Some((ticket, feed))
    }

    /// The client is gone: nothing is owed any more.
    pub fn gone(&self, id: CommandId) {
        let mut inner = self.inner.borrow_mut();
        if let Some(open) = inner.close(id) {
            count(&self.counters.left);
            if !open.left {
                self.handle(&mut inner, self.clock.now(), Event::Gone(id.request()));
            }
        }
        self.check_idle(&inner);
    }

    /// The client sends no more. It may be gone or wait for its answer, which cannot be told apart: no
    /// new attempt begins for it, and what is out already may still answer it.
    pub fn left(&self, id: CommandId) {
        let mut inner = self.inner.borrow_mut();
        let Some(open) = inner.commands.get_mut(&id) else { return };
        if open.left {
            return;
        }
        open.left = true;
        // What no byte has gone out of does not begin any more.
        open.over.set(true);
        let out = open.out;
        self.handle(&mut inner, self.clock.now(), Event::Gone(id.request()));
        if out == 0 {
            self.finish(&mut inner, id, Answer::Failed);
        }
    }

    /// An attempt has ended.
    pub fn ended(&self, id: AttemptId, end: End) {
        let mut inner = self.inner.borrow_mut();
        let Some(running) = inner.attempts.remove(&id) else { return self.ended_late(&mut inner, id, end) };
        let fetching = matches!(end, End::Reply(Reply::Miss { fetching: true }));
        let (status, answer) = match end {
            End::Reply(Reply::Served(answer)) => (Status::Ok, Some(answer)),
            End::Reply(Reply::Miss { .. }) => (Status::Miss, None),
            // The host is at work, so that its connections and its load are not in question.
            End::Reply(Reply::Error) | End::Spoilt => (Status::Error, None),
            End::Reply(Reply::Full) => (Status::Full, None),
            End::NotSent => (Status::ConnectFailed, None),
            End::Broken => (Status::Reset, None),
            End::CalledOff => (Status::Moot, None),
        };
        self.conclude(&mut inner, running, status, fetching, answer);
    }

    /// An attempt has ended that had timed out before. Its answer was made for the command all the same:
    /// where that is open, while it is tried elsewhere, a client that waits is better served than not.
    fn ended_late(&self, inner: &mut Inner, id: AttemptId, end: End) {
        let Some(command) = inner.late.remove(&id) else { return };
        let End::Reply(Reply::Served(answer)) = end else { return };
        count(&self.counters.late_answers);
        let Some(open) = inner.commands.get(&command) else { return };
        let left = open.left;
        count(&self.counters.served_late);
        self.finish(inner, command, answer);
        if !left {
            self.handle(inner, self.clock.now(), Event::Gone(command.request()));
        }
    }

    /// The name table has news.
    pub fn listed(&self, kind: ListKind, hosts: &[Host]) {
        let mut inner = self.inner.borrow_mut();
        let hosts = match kind {
            ListKind::Unavailable => Vec::new(),
            _ => {
                let known = self.within_bounds(&inner, kind, hosts);
                inner.bans.over(kind.whole(), &known)
            }
        };
        self.tell(&mut inner, kind, &hosts);
    }

    /// The news without the hosts that are more than may be known; they are counted, and told in one line.
    fn within_bounds(&self, inner: &Inner, kind: ListKind, hosts: &[Host]) -> Vec<Host> {
        let known = |server| !kind.whole() && inner.serving.contains_key(&server);
        let mut room = MOST_HOSTS.saturating_sub(if kind.whole() { 0 } else { inner.serving.len() });
        let mut left_out = 0;
        let fits = |host: &&Host| {
            let Entry { server, state, kind, .. } = host.entry;
            if state == State::Deleted || known(server) || Some(kind) == self.origin {
                return true;
            }
            left_out += u64::from(room == 0);
            let fits = room > 0;
            room = room.saturating_sub(1);
            fits
        };
        let kept = hosts.iter().filter(fits).cloned().collect();
        if left_out > 0 {
            self.counters.hosts_left_out.set(self.counters.hosts_left_out.get() + left_out);
            if self.telling.due() {
                warn!(self.log, "more hosts than can be known; the rest is left out"; "most" => MOST_HOSTS,
                    "left out" => left_out);
            }
        }
        kept
    }

    /// Tells the module and the carrier a list as it is to be seen, bans laid over.
    pub(crate) fn tell(&self, inner: &mut Inner, kind: ListKind, hosts: &[Host]) {
        if kind != ListKind::Unavailable {
            if kind.whole() {
                inner.serving.clear();
            }
            for Host { entry, address } in hosts {
                inner.serving.insert(entry.server, (entry.state, *address));
            }
            inner.serving.retain(|_, (state, _)| *state != State::Deleted);
            inner.carrier.listed(kind, hosts);
        }
        let entries: Vec<Entry> = hosts.iter().map(|host| host.entry.clone()).collect();
        self.handle(inner, self.clock.now(), Event::Endpoints(kind, &entries));
    }

    /// Waits until the module wants discovery's changes.
    pub async fn watch_wanted(&self) {
        self.watch.notified().await;
    }

    /// Waits until no command is open.
    pub async fn idle(&self) {
        while !self.inner.borrow().commands.is_empty() {
            self.idle.notified().await;
        }
    }

    /// Fires the timers, for as long as it is polled.
    pub async fn run(&self) {
        loop {
            let next = self.fire();
            self.next_timer.set(next);
            tokio::select! {
                () = sleep_until(self.clock.instant(next.min(self.clock.now().plus(Micros(3_600_000_000))))) => {}
                () = self.timer_set.notified() => {}
            }
        }
    }

    /// Fires what is due and tells when the next timer is.
    fn fire(&self) -> Micros {
        loop {
            let mut inner = self.inner.borrow_mut();
            let now = self.clock.now();
            match inner.timers.peek() {
                Some(Reverse((at, _))) if *at <= now => {}
                Some(Reverse((at, _))) => return *at,
                None => return NEVER,
            }
            let Some(Reverse((_, due))) = inner.timers.pop() else { continue };
            match due {
                Due::Module(token) => self.handle(&mut inner, now, Event::Timer(token)),
                Due::Attempt(id) => self.expire(&mut inner, id),
                // Most are over by now.
                Due::Command(id) if !inner.commands.contains_key(&id) => {}
                Due::Command(id) => {
                    // The attempts' time-outs come first and let the module end it; this guards against
                    // a command that it has forgotten.
                    let out: Vec<_> =
                        inner.attempts.iter().filter(|(_, r)| r.command == id).map(|(id, _)| *id).collect();
                    out.into_iter().for_each(|id| self.expire(&mut inner, id));
                    if inner.commands.contains_key(&id) {
                        count(&self.counters.overdue);
                        self.finish(&mut inner, id, Answer::Failed);
                        self.handle(&mut inner, now, Event::Gone(id.request()));
                    }
                }
            }
        }
    }

    fn expire(&self, inner: &mut Inner, id: AttemptId) {
        let Some(running) = inner.attempts.remove(&id) else { return };
        // What was never written whole cannot have run.
        let written = inner.carrier.abandon(id, running.server);
        let status = if written { Status::Timeout } else { Status::ConnectFailed };
        if written {
            inner.late.insert(id, running.command);
        }
        self.conclude(inner, running, status, false, None);
    }

    fn conclude(
        &self,
        inner: &mut Inner,
        running: Running,
        status: Status,
        fetching: bool,
        answer: Option<Answer>,
    ) {
        count(match status {
            Status::Ok => &self.counters.ok,
            Status::Miss => &self.counters.misses,
            Status::Full => &self.counters.full,
            Status::Timeout => &self.counters.timeouts,
            Status::ConnectFailed => &self.counters.connect_failed,
            Status::Reset => &self.counters.resets,
            Status::Moot | Status::Cancelled => &self.counters.moot,
            Status::Error => &self.counters.errors,
        });
        let now = self.clock.now();
        let mut closed = true;
        if let Some(open) = inner.commands.get_mut(&running.command) {
            open.out -= 1;
            closed = open.left;
            let last = open.left && open.out == 0;
            if let Some(answer) = answer {
                closed = true;
                self.finish(inner, running.command, answer);
            } else if last {
                self.finish(inner, running.command, Answer::Failed);
            }
        }
        let outcome = Outcome {
            id: running.command.request(),
            server: running.server,
            attempt: running.attempt,
            latency: now.minus(running.sent),
            status,
            closed,
            fetching,
        };
        self.handle(inner, now, Event::Outcome(outcome));
    }

    fn finish(&self, inner: &mut Inner, id: CommandId, answer: Answer) {
        if let Some(open) = inner.close(id) {
            let class = open.command.class;
            let (counter, how) = match answer {
                Answer::Value(_) | Answer::Receipt(_) => (&self.counters.served, Some(Ended::Passed)),
                // It has passed, or failed, once its client has it or it broke off.
                Answer::Long(_) => (&self.counters.served, None),
                Answer::Rejected(_) => (&self.counters.rejected, Some(Ended::Dropped)),
                Answer::Failed => (&self.counters.failed, Some(Ended::Failed)),
            };
            count(counter);
            how.into_iter().for_each(|how| self.tally.count(class, how));
            let answer = match answer {
                Answer::Long(long) => Answer::Long(long.counted(&self.tally, class)),
                other => other,
            };
            // The connection may have ended in this very moment; then nobody waits for it.
            let _ = open.answer.send(answer);
        }
        self.check_idle(inner);
    }

    fn check_idle(&self, inner: &Inner) {
        if inner.commands.is_empty() {
            self.idle.notify_waiters();
        }
    }

    fn handle(&self, inner: &mut Inner, now: Micros, event: Event) {
        let mut actions = std::mem::take(&mut inner.actions);
        inner.balancer.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.act(inner, now, action);
        }
        inner.actions = actions;
        if let Some(Reverse((at, _))) = inner.timers.peek() {
            if *at < self.next_timer.get() {
                self.timer_set.notify_one();
            }
        }
    }

    fn act(&self, inner: &mut Inner, now: Micros, action: Action) {
        match action {
            Action::Send { id, server, timeout } => {
                let command_id = CommandId::of(&id);
                let Some(open) = inner.commands.get_mut(&command_id) else { return };
                let until = if timeout.0 == 0 { open.deadline } else { now.plus(timeout).min(open.deadline) };
                let running = Running { command: command_id, server, attempt: open.attempts, sent: now };
                let by = open.by;
                if open.attempts == 0 {
                    let window = self.windows.get(open.command.class as usize).copied().flatten();
                    open.by = window.map_or(NEVER, |window| now.plus(window));
                }
                open.attempts += 1;
                open.out += 1;
                let (command, over) = (Rc::clone(&open.command), Rc::clone(&open.over));
                inner.last += 1;
                let id = AttemptId(inner.last);
                count(&self.counters.attempts);
                inner.attempts.insert(id, running);
                inner.timers.push(Reverse((until, Due::Attempt(id))));
                inner.carrier.begin(Attempt { id, command, server, until, by, over });
            }
            Action::Refuse { id, retry_after, why } => {
                count(self.counters.refusals(why));
                self.finish(inner, CommandId::of(&id), Answer::Rejected(retry_after));
            }
            Action::Fail { id } => self.finish(inner, CommandId::of(&id), Answer::Failed),
            Action::Timer { at, token } => inner.timers.push(Reverse((at, Due::Module(token)))),
            Action::Watch => self.watch.notify_one(),
            Action::Log(line) => info!(self.log, "module"; "line" => line),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::testing::{self, command, exchange, settings, settle, Recorder};
    use tokio::task::spawn_local;
    use tokio::time::{Duration, Instant};

    fn with_timers(attempts: u32, effect: Effect, hosts: u32) -> (Rc<Exchange>, Rc<Recorder>) {
        let recorder = Rc::new(Recorder::default());
        let exchange = exchange(settings(attempts, effect), recorder.clone(), hosts);
        let timers = Rc::clone(&exchange);
        spawn_local(async move { timers.run().await });
        (exchange, recorder)
    }

    /// Rule 1: silent hosts or not, the one answer comes before the client gives up.
    #[test]
    fn every_command_is_answered_before_its_deadline() {
        testing::run(async {
            for (attempts, effect) in [(1, Effect::Unsafe), (3, Effect::Safe), (3, Effect::Keyed)] {
                let (exchange, recorder) = with_timers(attempts, effect, 3);
                let start = Instant::now();
                let (_, answer) = exchange.take(command("1", None)).unwrap();
                assert!(matches!(answer.await, Ok(Answer::Failed | Answer::Rejected(_))));
                assert!(start.elapsed() < Duration::from_millis(480), "{:?}", start.elapsed());
                assert!(!recorder.begun.borrow().is_empty());
                assert!(exchange.inner.borrow().attempts.is_empty() || exchange.counters.timeouts.get() > 0);
                assert_eq!(exchange.counters.overdue.get(), 0, "the module ends it, not the net below it");
            }
        });
    }

    /// What the module gives up is answered at once, not at its deadline.
    #[test]
    fn a_command_that_is_given_up_is_answered_at_once() {
        testing::run(async {
            let (exchange, recorder) = with_timers(1, Effect::Safe, 1);
            let start = Instant::now();
            let (_, answer) = exchange.take(command("1", None)).unwrap();
            let attempt = recorder.begun.borrow_mut().pop().unwrap();
            exchange.ended(attempt.id, End::NotSent);
            assert!(matches!(answer.await, Ok(Answer::Rejected(_))));
            assert_eq!(start.elapsed(), Duration::ZERO);
        });
    }

    /// A client that half-closes may be gone: nothing begins for it, what is out still answers it.
    #[test]
    fn a_half_closed_client_is_answered_by_what_is_out() {
        testing::run(async {
            for served in [true, false] {
                let (exchange, recorder) = with_timers(3, Effect::Safe, 3);
                let (id, answer) = exchange.take(command("1", None)).unwrap();
                let attempt = recorder.begun.borrow_mut().pop().unwrap();
                exchange.left(id);
                let value = Answer::Value(Bytes::from_static(b"v"));
                let reply = if served { Reply::Served(value.clone()) } else { Reply::Error };
                exchange.ended(attempt.id, End::Reply(reply));
                assert_eq!(answer.await, Ok(if served { value } else { Answer::Failed }));
                settle().await;
                assert!(recorder.begun.borrow().is_empty());
            }
        });
    }

    /// What comes after its time-out, while the command is tried elsewhere, is an answer all the same.
    #[test]
    fn a_late_answer_serves_a_command_that_is_still_open() {
        testing::run(async {
            let recorder = Rc::new(Recorder::default());
            let mut settings = settings(3, Effect::Safe);
            settings.limits.may_duplicate = false;
            let exchange = exchange(settings, recorder.clone(), 3);
            let timers = Rc::clone(&exchange);
            spawn_local(async move { timers.run().await });
            let (_, answer) = exchange.take(command("1", None)).unwrap();
            while exchange.counters.timeouts.get() == 0 {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            let [first, second] = &recorder.begun.take()[..] else { panic!("it is tried elsewhere") };
            let value = Answer::Value(Bytes::from_static(b"v"));
            exchange.ended(first.id, End::Reply(Reply::Served(value.clone())));
            assert_eq!(answer.await, Ok(value.clone()));
            exchange.ended(second.id, End::Reply(Reply::Served(value)));
            assert_eq!((exchange.counters.served.get(), exchange.counters.served_late.get()), (1, 1));
            assert!(exchange.inner.borrow().late.is_empty());
        });
    }

    /// With a command's final answer, or its client's end, all its attempts are over: those that no byte has gone out of
    /// must never begin.
    #[test]
    fn what_is_out_is_over_with_its_command() {
        testing::run(async {
            for gone in [false, true] {
                let (exchange, recorder) = with_timers(3, Effect::Safe, 3);
                let (id, answer) = exchange.take(command("1", None)).unwrap();
                while recorder.begun.borrow().len() < 2 {
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
                let [first, second] = &recorder.begun.take()[..] else { panic!("a second copy is out") };
                let now = exchange.clock.now();
                assert!(!first.over(now) && !second.over(now));
                if gone {
                    exchange.gone(id);
                } else {
                    let value = Answer::Value(Bytes::from_static(b"v"));
                    exchange.ended(first.id, End::Reply(Reply::Served(value)));
                    assert!(answer.await.is_ok());
                }
                assert!(first.over(now) && second.over(now));
            }
        });
    }

    /// Hosts drop a repeat for a while after the first attempt: one that still waits for a connection then must not go out.
    #[test]
    fn a_repeat_goes_out_while_hosts_drop_it() {
        testing::run(async {
            let recorder = Rc::new(Recorder::default());
            let mut settings = settings(3, Effect::Keyed);
            let window = Micros(200_000);
            settings.classes[0].window = window;
            let exchange = exchange(settings, recorder.clone(), 3);
            let first = exchange.clock.now();
            let _answer = exchange.take(command("1", Some(vec![]))).unwrap();
            tokio::time::sleep(Duration::from_millis(100)).await;
            let attempt = recorder.begun.borrow_mut().pop().unwrap();
            exchange.ended(attempt.id, End::Broken);
            let repeat = recorder.begun.borrow_mut().pop().unwrap();
            let end = first.plus(window);
            assert!(!attempt.over(end) && !repeat.over(end.minus(Micros(1))) && repeat.over(end));
        });
    }

    /// A list as long as a fleet's is known whole; of one that is far too long a bounded part is, with the origin at its end,
    /// and hosts that go make room.
    #[test]
    fn a_list_is_bounded_far_over_a_fleets() {
        let recorder = Rc::new(Recorder::default());
        let mode = juniperladder::Mode::Aside(testing::ORIGIN);
        let exchange = exchange(Settings { mode, ..settings(3, Effect::Safe) }, recorder, 0);
        let up = |n| testing::host(ServerId(n), State::Serving);
        let mut origin = up(u64::MAX);
        origin.entry.kind = testing::ORIGIN;
        let known = || exchange.inner.borrow().serving.len();
        exchange.listed(ListKind::Replace, &(0..1_024).map(up).collect::<Vec<_>>());
        assert_eq!((known(), exchange.counters.hosts_left_out.get()), (1_024, 0));
        let most = MOST_HOSTS as u64;
        exchange
            .listed(ListKind::Replace, &(0..most + 10).map(up).chain([origin.clone()]).collect::<Vec<_>>());
        assert!(exchange.inner.borrow().balancer.origin() == Some(origin.entry.server));
        exchange.listed(ListKind::Update, &[up(most * 2)]);
        assert_eq!((known(), exchange.counters.hosts_left_out.get()), (MOST_HOSTS + 1, 11));
        let gone: Vec<Host> = (0..5).map(|n| testing::host(ServerId(n), State::Deleted)).collect();
        exchange.listed(ListKind::Update, &gone);
        exchange.listed(ListKind::Update, &(most * 2..most * 2 + 9).map(up).collect::<Vec<_>>());
        assert_eq!((known(), exchange.counters.hosts_left_out.get()), (MOST_HOSTS, 16));
    }

    /// A process that is told to end has an answer for all that it took before its time is up: what was open then, what
    /// connections that are not closed yet still bring, and at once for what comes after.
    #[test]
    fn a_process_that_ends_answers_all_that_it_took() {
        testing::run(async {
            let (exchange, recorder) = with_timers(3, Effect::Unsafe, 3);
            let start = Instant::now();
            let (_, first) = exchange.take(command("1", None)).unwrap();
            settle().await;
            let last = Duration::from_millis(200);
            exchange.end_by(exchange.clock.now().plus(crate::clock::micros(last)));
            tokio::time::sleep(last / 2).await;
            let (_, second) = exchange.take(command("2", None)).unwrap();
            assert!(first.await.is_ok() && second.await.is_ok());
            assert_eq!((start.elapsed(), recorder.begun.borrow().len()), (last, 2));
            let (_, third) = exchange.take(command("3", None)).unwrap();
            assert!(third.await.is_ok());
            assert_eq!((start.elapsed(), recorder.begun.borrow().len()), (last, 2));
        });
    }

    /// An id names one open command; once that is over it may come again.
    #[test]
    fn an_id_in_use_is_not_taken() {
        testing::run(async {
            let (exchange, recorder) = with_timers(1, Effect::Safe, 1);
            for _ in 0..2 {
                let (_, answer) = exchange.take(command("1", None)).unwrap();
                assert!(exchange.take(command("1", None)).is_none());
                let attempt = recorder.begun.borrow_mut().pop().unwrap();
                exchange.ended(attempt.id, End::Spoilt);
                assert!(matches!(answer.await, Ok(Answer::Rejected(_) | Answer::Failed)));
            }
            assert!(exchange.inner.borrow().ids.is_empty());
        });
    }
}
