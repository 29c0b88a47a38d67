//! The client side: service clients' connections, the commands on them, and the answers in their order.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;

use bytes::{BufMut, Bytes, BytesMut};
use slog::{warn, Logger};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, Notify};
use tokio::task::{spawn_local, yield_now};
use tokio::time::{sleep, sleep_until, timeout, Duration, Instant};

use crate::bounds::Bounds;
use crate::counters::{count, worth_telling};
use crate::exchange::{Answer, Command, CommandId, Exchange};
use crate::memcache::{write_answer, Commands, Incoming};
use crate::shutdown::Shutdown;
use crate::writing::{self, Writing};
use juniperladder_exchange::long::Long;

/// Commands that one connection may have open: enough for any pipeline, a bound for one that runs away.
const MAX_OWED: usize = 128;
/// What is no command may come so often on one connection: more is noise, or someone who does not listen.
const MAX_MALFORMED: usize = 64;
/// Room made for each read.
const READ: usize = 2048;
/// What a connection may hold whatever the others do: a command as clients send it.
const SMALL: usize = 8 * 1024;

/// How long a connection that is about to close is read once more.
const LAST_LOOK: Duration = Duration::from_millis(2);
/// How long a connection may go without an open command: one that is silent, kept for good or in the middle
/// of a command holds a descriptor that others need. Unfinished commands do not set it back.
const QUIET: Duration = Duration::from_millis(2200);
/// How long a command may take from its first byte to its last, if that is longer.
const HALF: Duration = Duration::from_millis(2500);
/// How long a value may take to come to its end while pieces of it keep coming.
const VALUE: Duration = Duration::from_secs(15);
/// How long a connection that has said nothing yet is taken to be about to.
const FRESH: Duration = Duration::from_millis(500);
/// The part of the seats that is kept free for who comes next, by telling the longest silent to leave in time.
const SPARE_PART: usize = 16;
/// How long a full house waits for the one that was told to leave.
const ROOM: Duration = Duration::from_millis(10);
/// How long a client may take to read any part of the answers that wait for it.
const UNREAD: Duration = Duration::from_secs(5);
/// How long, and how far, what a client still sends is read off after its last answer, as a close over
/// unread bytes would reset the connection and might take that answer with it.
const LINGER: Duration = Duration::from_millis(500);
const LINGER_BYTES: u64 = 256 * 1024;

/// What a connection owes its client, in order.
#[derive(Debug)]
enum Owed {
    /// Words that need nobody else.
    Line(&'static str),
    /// A command's answer, and the bytes that the command holds until then.
    Command(CommandId, Bytes, oneshot::Receiver<Answer>, usize),
}

/// What all service clients share.
pub struct Service {
    exchange: Rc<Exchange>,
    classes: Vec<String>,
    shutdown: Rc<Shutdown>,
    bounds: Bounds,
    held: Cell<usize>,
    seats: RefCell<Vec<Rc<Seat>>>,
    left: Notify,
    log: Logger,
}

/// How a connection that is about to close is read once more.
enum Look {
    /// For a moment.
    Long,
    /// For what has come already: others wait for its seat, by the hundred where connections come in a flood.
    Short,
}

impl Look {
    async fn wait(self) {
        match self {
            Look::Long => sleep(LAST_LOOK).await,
            Look::Short => yield_now().await,
        }
    }
}

/// A connection's place among those that the limit allows.
#[derive(Debug)]
struct Seat {
    /// Since when it has had no command open.
    quiet: Cell<Instant>,
    busy: Cell<bool>,
    /// Whether a command has begun to come.
    half: Cell<bool>,
    /// Whether it has ever brought a command.
    spoke: Cell<bool>,
    /// Told to close once it owes nothing, and to end in the middle of a command.
    leave: Notify,
    cut: Notify,
}

/// Counts a connection for as long as it lives.
struct Seated {
    service: Rc<Service>,
    seat: Rc<Seat>,
}

impl Drop for Seated {
    fn drop(&mut self) {
        let mut seats = self.service.seats.borrow_mut();
        seats.retain(|seat| !Rc::ptr_eq(seat, &self.seat));
        self.service.shutdown.connections(seats.len());
        self.service.left.notify_one();
    }
}

impl Service {
    /// A service that keeps within these bounds.
    pub fn new(
        exchange: Rc<Exchange>,
        classes: Vec<String>,
        shutdown: Rc<Shutdown>,
        bounds: Bounds,
        log: Logger,
    ) -> Rc<Service> {
        let (held, seats, left) = Default::default();
        Rc::new(Service { exchange, classes, shutdown, bounds, held, seats, left, log })
    }

    /// Accepts service clients for as long as it is polled.
    pub async fn accept(self: Rc<Service>, listener: TcpListener) {
        loop {
            if self.seats.borrow().len() >= self.bounds.clients {
                // Connections that say nothing must not shut out those that do. Where all are at work the
                // backlog holds who comes now until one leaves.
                self.make_room();
                // The one that was told may have brought a command meanwhile: then another is.
                let _ = timeout(ROOM, self.left.notified()).await;
                continue;
            }
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.shutdown.closing() => {
                    self.last_ones(&listener);
                    // Closed, the listener leaves new connections to a balancer that shares its address.
                    return;
                }
            };
            match accepted {
                Ok((stream, _)) => {
                    self.shutdown.accepted();
                    self.take_in(stream);
                    if self.seats.borrow().len() + self.bounds.clients / SPARE_PART > self.bounds.clients {
                        self.make_room();
                    }
                }
                Err(problem) => {
                    // Out of descriptors, or a client that left at once: neither may end the program.
                    let failed = &self.exchange.counters().accepts_failed;
                    count(failed);
                    if worth_telling(failed) {
                        warn!(self.log, "accept"; "problem" => problem.to_string(), "so far" => failed.get());
                    }
                    sleep(Duration::from_millis(10)).await;
                }
            }
        }
    }

    /// Takes in the connections that wait in the backlog already: those would be reset when it closes.
    fn last_ones(self: &Rc<Service>, listener: &TcpListener) {
        let mut cx = std::task::Context::from_waker(std::task::Waker::noop());
        while let std::task::Poll::Ready(Ok((stream, _))) = listener.poll_accept(&mut cx) {
            self.take_in(stream);
        }
    }

    /// Seats a client that has just connected and serves it.
    fn take_in(self: &Rc<Service>, stream: TcpStream) {
        count(&self.exchange.counters().clients);
        let _ = stream.set_nodelay(true);
        let seated = self.seat();
        spawn_local(async move {
            let mut client = ServiceClient::new(&seated.service, &seated.seat);
            // A connection that breaks has no one to be told.
            let _ = client.serve(stream).await;
        });
    }

    fn seat(self: &Rc<Service>) -> Seated {
        let (busy, half, spoke, leave, cut) = Default::default();
        let seat = Rc::new(Seat { quiet: Cell::new(Instant::now()), busy, half, spoke, leave, cut });
        self.seats.borrow_mut().push(Rc::clone(&seat));
        self.shutdown.connections(self.seats.borrow().len());
        Seated { service: Rc::clone(self), seat }
    }

    /// Waits until this connection, which owes nothing, should close.
    async fn closing(&self, seat: &Seat, patience: Option<Instant>) -> Look {
        tokio::select! {
            () = self.shutdown.closing() => Look::Long,
            () = seat.leave.notified() => Look::Short,
            () = until(patience) => {
                count(&self.exchange.counters().quiet);
                Look::Long
            }
        }
    }

    /// Closes the connections that are quiet longest when more than may be kept have brought commands. Clients
    /// hold only so many, and some keep theirs for good: a client with something to say would find none left.
    fn thin_out(&self) {
        let seats = self.seats.borrow();
        let spoken = seats.iter().filter(|seat| seat.spoke.get());
        let more = spoken.clone().count().saturating_sub(self.bounds.kept);
        if more > 0 {
            let mut quiet: Vec<_> = spoken.filter(|seat| !seat.busy.get() && !seat.half.get()).collect();
            quiet.sort_by_key(|seat| seat.quiet.get());
            quiet.iter().take(more).for_each(|seat| seat.leave.notify_one());
        }
    }

    /// Tells one connection to leave that has no command open: the longest quiet of those that never brought
    /// one, or else of the others, then one that has only just come, and one in the middle of a command only when
    /// there is no other.
    fn make_room(&self) {
        let seats = self.seats.borrow();
        let quiet = seats.iter().filter(|seat| !seat.busy.get());
        let now = Instant::now();
        // Who has just come may be about to speak, and to close on it loses what it says; who has been answered and
        // is idle has nothing to lose.
        let fresh = |seat: &Seat| !seat.spoke.get() && now.duration_since(seat.quiet.get()) < FRESH;
        let last = |seat: &&Rc<Seat>| (seat.half.get(), fresh(seat), seat.spoke.get(), seat.quiet.get());
        if let Some(seat) = quiet.min_by_key(last) {
            // Who is told to close while idle and then begins a command may finish it.
            if seat.half.get() { &seat.cut } else { &seat.leave }.notify_one();
        }
    }
}

/// One client's connection.
struct ServiceClient<'a> {
    service: &'a Service,
    seat: &'a Seat,
    commands: Commands,
    input: BytesMut,
    output: BytesMut,
    owed: VecDeque<Owed>,
    /// Bytes that its open commands hold, and all that it was last found to hold.
    open: usize,
    held: usize,
    /// How much it has brought that was no command.
    malformed: usize,
    /// Since when a command has been coming that is not whole, and when a piece of it came last.
    half: Option<Instant>,
    came: Instant,
    /// The long value that is on its way to the client, and how much of it has yet to come.
    long: Option<(Long, usize)>,
    /// When the client last read a part of what waits for it.
    read: Instant,
    /// The long value that it is writing.
    writing: Option<Writing>,
    /// The client sends no more, or nothing after this can be understood.
    ended: bool,
}

impl<'a> ServiceClient<'a> {
    fn new(service: &'a Service, seat: &'a Seat) -> ServiceClient<'a> {
        ServiceClient {
            service,
            seat,
            commands: Commands::default(),
            input: BytesMut::new(),
            output: BytesMut::new(),
            owed: VecDeque::new(),
            open: 0,
            held: 0,
            malformed: 0,
            writing: None,
            half: None,
            came: Instant::now(),
            long: None,
            read: Instant::now(),
            ended: false,
        }
    }

    fn idle(&self) -> bool {
        self.owes_nothing() && self.input.is_empty() && !self.commands.unfinished()
    }

    fn owes_nothing(&self) -> bool {
        self.owed.is_empty() && self.output.is_empty() && self.long.is_none()
    }

    /// Until when this connection may go on as it is; none while its client waits for the exchange.
    fn patience(&self) -> Option<Instant> {
        if !self.output.is_empty() {
            return Some(self.read + UNREAD);
        }
        let quiet = self.seat.quiet.get() + QUIET;
        let end = match self.half {
            // A value may come slowly, but it has to come.
            Some(since) if self.commands.unfinished() => (self.came + QUIET).min(since + VALUE),
            Some(since) => since + HALF,
            None => quiet,
        };
        (self.owed.is_empty() && self.long.is_none()).then_some(end.max(quiet))
    }

    /// Keeps account of what this connection holds of the memory.
    fn keep_account(&mut self) {
        let ahead = self.writing.as_ref().map_or(0, Writing::ahead);
        let held = self.input.len() + self.output.len() + self.open + ahead;
        self.service.held.set(self.service.held.get() + held - self.held);
        self.held = held;
    }

    /// Whether more may be read. Where clients hold too much together, those that hold much themselves wait
    /// until the others are done or run out of time.
    fn may_hold_more(&self) -> bool {
        self.held <= SMALL || self.service.held.get() < self.service.bounds.held
    }

    /// Keeps the times by which the connection is judged.
    fn keep_time(&mut self) {
        let now = Instant::now();
        let busy = !self.owes_nothing();
        if self.seat.busy.replace(busy) && !busy {
            self.seat.quiet.set(now);
        }
        let half = !self.input.is_empty() || self.commands.unfinished();
        self.seat.half.set(half);
        self.half = if half { self.half.or(Some(now)) } else { None };
        if self.blocked() {
            // It is not the client who is waited for.
            self.came = now;
        }
        if self.output.is_empty() {
            self.read = now;
        }
    }

    async fn serve<S: AsyncRead + AsyncWrite>(&mut self, stream: S) -> io::Result<()> {
        let (mut reader, mut writer) = tokio::io::split(stream);
        loop {
            self.take();
            self.keep_time();
            self.keep_account();
            if self.ended && self.owes_nothing() {
                writer.shutdown().await?;
                return linger(&mut reader).await;
            }
            // With room here every whole command has been taken, so that the end of the client's side, which
            // is only read then, never comes before a command that it had sent.
            let blocked = self.blocked();
            let room = !self.ended && !blocked && self.owed.len() < MAX_OWED && self.may_hold_more();
            // Answers to a client that does not read them wait in their small form.
            let drained = self.output.len() < self.service.bounds.unread;
            let idle = self.idle();
            let patience = self.patience();
            let service = self.service;
            if room && drained {
                self.input.reserve(if self.writing.is_some() { service.bounds.piece } else { READ });
            }
            tokio::select! {
                biased;
                answered = next_answer(&mut self.owed), if drained && self.long.is_none() => {
                    self.write(answered)
                }
                written = writer.write_buf(&mut self.output), if !self.output.is_empty() => {
                    written?;
                    self.read = Instant::now();
                }
                piece = next_piece(&self.long), if self.output.len() < service.bounds.piece => {
                    self.pass_on(piece)?;
                }
                () = writing::room(&self.writing), if blocked => {}
                read = reader.read_buf(&mut self.input), if room && drained => {
                    self.came = Instant::now();
                    if read? == 0 {
                        self.leave();
                    }
                }
                look = service.closing(self.seat, patience), if idle => {
                    // A command may have come that the runtime has not looked for yet: it is taken, and a
                    // close over unread bytes would reset the connection.
                    tokio::select! {
                        biased;
                        read = reader.read_buf(&mut self.input) => if read? == 0 {
                            self.leave();
                        },
                        () = look.wait() => return writer.shutdown().await,
                    }
                }
                () = until(patience), if !idle => {
                    if !self.output.is_empty() {
                        return Err(io::ErrorKind::TimedOut.into());
                    }
                    self.cut();
                }
                // Half a command gives its seat up too, but only when nothing else can.
                () = self.seat.cut.notified(), if !idle && !self.seat.busy.get() => self.cut(),
            }
        }
    }

    /// Ends a connection whose client is owed nothing and has sent half a command.
    fn cut(&mut self) {
        count(&self.service.exchange.counters().cut);
        self.owed.push_back(Owed::Line("CLIENT_ERROR command not finished in time"));
        self.ended = true;
    }

    fn blocked(&self) -> bool {
        self.writing.as_ref().is_some_and(Writing::blocked)
    }

    /// Takes every whole command in hand.
    fn take(&mut self) {
        while !self.ended
            && !self.blocked()
            && self.owed.len() < MAX_OWED
            && self.output.len() < self.service.bounds.unread
        {
            match self.commands.next(&mut self.input) {
                None => return,
                Some(Incoming::Ready) if self.service.exchange.ready() => {
                    self.owed.push_back(Owed::Line("MN"))
                }
                Some(Incoming::Ready) => self.owed.push_back(Owed::Line("SERVER_ERROR not ready")),
                Some(Incoming::Command(command, class)) => {
                    if let Some(command) = self.of_class(command, &class) {
                        self.take_whole(*command);
                    }
                }
                Some(Incoming::Long(..)) if !self.service.exchange.takes_long() => {
                    self.turn_away("SERVER_ERROR object too large for cache");
                }
                Some(Incoming::Long(command, class, length)) => {
                    let command = self.of_class(command, &class);
                    self.writing = command.map(|command| Writing::new(command, length));
                }
                Some(Incoming::Piece(piece, end)) => {
                    // Of a command that was turned away at its line the value is read past.
                    if let Some(writing) = &mut self.writing {
                        writing.add(&self.service.exchange, piece, end);
                    }
                    if let Some(writing) = self.writing.take_if(|_| end) {
                        self.take_whole(writing.whole());
                    }
                }
                Some(Incoming::Malformed(line)) => self.turn_away(line),
                Some(Incoming::Lost(line)) => {
                    self.turn_away(line);
                    self.ended = true;
                }
                Some(Incoming::Quit) => self.ended = true,
            }
        }
    }

    /// The command with its class; none if that is no class of the settings, which the client is told: such a one
    /// has no deadline and no effect, and hosts turn it away too.
    fn of_class(&mut self, mut command: Box<Command>, class: &[u8]) -> Option<Box<Command>> {
        let place = self.service.classes.iter().position(|name| name.as_bytes() == class);
        if place.is_none() {
            self.turn_away("CLIENT_ERROR unknown class");
        }
        command.class = place? as u32;
        Some(command)
    }

    /// Takes a command that is whole.
    fn take_whole(&mut self, command: Command) {
        self.half = None;
        let text = command.id.clone();
        let size = command.value.as_ref().map_or(0, Bytes::len);
        match self.service.exchange.take(command) {
            Some((id, answer)) => {
                self.open += size;
                self.owed.push_back(Owed::Command(id, text, answer, size));
                self.seat.busy.set(true);
                if !self.seat.spoke.replace(true) {
                    self.service.thin_out();
                }
            }
            None => self.turn_away("CLIENT_ERROR id in use"),
        }
    }

    /// Owes this line for what was no command. Whoever goes on sending such things loses the connection.
    fn turn_away(&mut self, line: &'static str) {
        count(&self.service.exchange.counters().malformed);
        self.owed.push_back(Owed::Line(line));
        self.malformed += 1;
        self.ended |= self.malformed >= MAX_MALFORMED;
    }

    /// The client has closed its side: it is gone, or waits for the answers that it is owed.
    fn leave(&mut self) {
        self.ended = true;
        for owed in &self.owed {
            if let Owed::Command(id, ..) = owed {
                self.service.exchange.left(*id);
            }
        }
    }

    fn write(&mut self, (owed, answer): (Owed, Answer)) {
        match owed {
            Owed::Line(line) => {
                self.output.put_slice(line.as_bytes());
                self.output.put_slice(b"\r\n");
            }
            Owed::Command(_, id, _, size) => {
                self.open -= size;
                write_answer(&mut self.output, &id, &answer);
                if let Answer::Long(long) = answer {
                    let length = long.length();
                    self.long = Some((long, length));
                }
            }
        }
    }

    /// Takes a piece of the long value that is on its way. One that broke off cannot be mended, and only the end of
    /// the connection tells the client that it is not whole.
    fn pass_on(&mut self, piece: Option<Bytes>) -> io::Result<()> {
        let Some((long, left)) = &mut self.long else { return Ok(()) };
        let piece = piece.ok_or(io::ErrorKind::UnexpectedEof)?;
        *left = left.saturating_sub(piece.len());
        self.output.put_slice(&piece);
        if *left == 0 {
            long.whole();
            self.long = None;
            self.output.put_slice(b"\r\n");
        }
        Ok(())
    }
}

impl Drop for ServiceClient<'_> {
    /// The connection has ended: whoever is still owed an answer is gone.
    fn drop(&mut self) {
        self.service.held.set(self.service.held.get() - self.held);
        for owed in &self.owed {
            if let Owed::Command(id, ..) = owed {
                self.service.exchange.gone(*id);
            }
        }
    }
}

/// Waits until this time, or for ever.
async fn until(time: Option<Instant>) {
    match time {
        Some(time) => sleep_until(time).await,
        None => std::future::pending().await,
    }
}

/// Reads off for a moment what a client still sends that has been told its last answer.
async fn linger<R: AsyncRead + Unpin>(reader: &mut R) -> io::Result<()> {
    let (mut rest, mut nowhere) = (reader.take(LINGER_BYTES), tokio::io::sink());
    let _ = timeout(LINGER, tokio::io::copy(&mut rest, &mut nowhere)).await;
    Ok(())
}

/// Waits for the next piece of a long value; for ever where none is on its way.
async fn next_piece(long: &Option<(Long, usize)>) -> Option<Bytes> {
    match long {
        Some((long, _)) => long.next().await,
        None => std::future::pending().await,
    }
}

/// Waits for the first answer owed; the others wait behind it.
async fn next_answer(owed: &mut VecDeque<Owed>) -> (Owed, Answer) {
    let answer = match owed.front_mut() {
        None => std::future::pending().await,
        Some(Owed::Line(_)) => Answer::Failed,
        // The exchange answers everything it took; should it ever drop one, that command has failed.
        Some(Owed::Command(_, _, answer, _)) => answer.await.unwrap_or(Answer::Failed),
    };
    match owed.pop_front() {
        Some(first) => (first, answer),
        None => std::future::pending().await,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::exchange::{End, Reply};
    use crate::testing::{self, settle, Recorder};
    use juniperladder::Effect;
    use proptest::prelude::*;
    use tokio::io::duplex;

    /// A step on a client's connection.
    #[derive(Clone, Debug)]
    enum Step {
        /// The client sends this; the answer is known at once where there is one.
        Line(&'static str, Option<&'static str>),
        /// The oldest execution that is out, or the newest, ends.
        End { newest: bool, served: bool },
    }

    fn step() -> impl Strategy<Value = Step> {
        let lines = prop_oneof![
            Just(Step::Line("mn\r\n", Some("MN\r\n"))),
            Just(Step::Line("nonsense\r\n", Some("ERROR\r\n"))),
            Just(Step::Line("mg\r\n", Some("CLIENT_ERROR bad command line format\r\n"))),
            Just(Step::Line("mg k v Oid Pc=read,d=480\r\n", None)),
            Just(Step::Line("ms k 5 Oid Pc=read,d=480,k=1\r\na\r\nmg\r\n", None)),
        ];
        prop_oneof![3 => lines, 2 => any::<(bool, bool)>().prop_map(|(newest, served)| Step::End { newest, served })]
    }

    fn service(recorder: &Rc<Recorder>) -> Rc<Service> {
        let exchange = testing::exchange(testing::settings(1, Effect::Unsafe), recorder.clone(), 1);
        let bounds = Bounds { clients: 8, kept: 4, hosts: 8, held: 1 << 17, unread: 1 << 16, piece: 1 << 10 };
        Service::new(exchange, vec!["read".into()], Rc::default(), bounds, testing::log())
    }

    async fn serve(service: Rc<Service>, stream: impl AsyncRead + AsyncWrite) -> io::Result<()> {
        let seated = service.seat();
        let mut client = ServiceClient::new(&seated.service, &seated.seat);
        client.serve(stream).await
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None,
            rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..ProptestConfig::default() })]

        /// Whatever comes in whatever pieces, each command gets its one answer, in the order of the
        /// commands, and a client that closes its side still gets all of them.
        #[test]
        fn answers_keep_the_order_of_commands(steps in prop::collection::vec(step(), 1..24), cut in 1..40usize) {
            let (got, want) = testing::run(async {
                let recorder = Rc::new(Recorder::default());
                let service = service(&recorder);
                let (near, mut far) = duplex(1 << 16);
                let task = spawn_local(serve(Rc::clone(&service), near));
                // The model: the answers owed, and which executions they wait for.
                let mut owed: Vec<Option<String>> = Vec::new();
                let mut out: Vec<usize> = Vec::new();
                for step in steps {
                    match step {
                        Step::Line(text, answer) => {
                            // Ids in use are turned away: each command has its own, of one length.
                            let text = text.replace("Oid", &format!("O{:02}", owed.len()));
                            for piece in text.as_bytes().chunks(cut) {
                                far.write_all(piece).await.unwrap();
                                settle().await;
                            }
                            if answer.is_none() {
                                out.push(owed.len());
                            }
                            owed.push(answer.map(str::to_owned));
                        }
                        Step::End { newest, served } if !out.is_empty() => {
                            let at = if newest { out.len() - 1 } else { 0 };
                            let execution = recorder.begun.borrow_mut().remove(at);
                            let value = Bytes::from_static(b"x\r\ny");
                            let place = out.remove(at);
                            let (reply, answer) = if served {
                                let answer = format!("VA 4 O{place:02}\r\nx\r\ny\r\n");
                                (Reply::Served(Answer::Value(value)), answer)
                            } else {
                                (Reply::Error, "SERVER_ERROR failed\r\n".into())
                            };
                            service.exchange.ended(execution.id, End::Reply(reply));
                            owed[place] = Some(answer);
                        }
                        Step::End { .. } => {}
                    }
                    settle().await;
                }
                far.shutdown().await.unwrap();
                settle().await;
                for execution in recorder.begun.take() {
                    service.exchange.ended(execution.id, End::Broken);
                }
                let mut got = String::new();
                far.read_to_string(&mut got).await.unwrap();
                task.await.unwrap().unwrap();
                (got, owed.into_iter().map(|a| a.unwrap_or("SERVER_ERROR failed\r\n".into())).collect::<String>())
            });
            prop_assert_eq!(got, want);
        }
    }

    /// Whoever says nothing, keeps a connection for good or stops half-way through a command gives it up, and
    /// one that is half-way is told why.
    #[test]
    fn a_connection_without_a_command_closes_in_time() {
        testing::run(async {
            let recorder = Rc::new(Recorder::default());
            for (sent, told) in [
                ("", ""),
                ("mn\r\n", "MN\r\n"),
                ("mg a v O1 Pc=re", "CLIENT_ERROR command not finished in time\r\n"),
                ("ms k 5 Oid Pc=read,d=480\r\nab", "CLIENT_ERROR command not finished in time\r\n"),
            ] {
                let (near, mut far) = duplex(1 << 16);
                spawn_local(serve(service(&recorder), near));
                let start = Instant::now();
                for piece in sent.as_bytes().chunks(4) {
                    far.write_all(piece).await.unwrap();
                    sleep(Duration::from_millis(1)).await;
                }
                let mut got = String::new();
                far.read_to_string(&mut got).await.unwrap();
                assert_eq!(got, told);
                assert!(start.elapsed() < Duration::from_secs(3), "{:?}", start.elapsed());
            }
        });
    }

    /// Connections that asked once and stay close, the longest quiet first, before clients run out of them.
    #[test]
    fn connections_kept_for_nothing_are_thinned_out() {
        testing::run(async {
            let recorder = Rc::new(Recorder::default());
            let service = service(&recorder);
            let mut clients = Vec::new();
            for id in 0..6 {
                let (near, mut far) = duplex(1 << 10);
                spawn_local(serve(Rc::clone(&service), near));
                far.write_all(format!("mg k v O{id} Pc=read,d=480\r\n").as_bytes()).await.unwrap();
                settle().await;
                let execution = recorder.begun.borrow_mut().pop().unwrap();
                service.exchange.ended(execution.id, End::Reply(Reply::Error));
                clients.push(far);
                sleep(Duration::from_millis(5)).await;
            }
            let open = service.seats.borrow().len();
            assert_eq!(open, service.bounds.kept);
            let start = Instant::now();
            for mut far in clients.drain(..2) {
                let mut got = String::new();
                far.read_to_string(&mut got).await.unwrap();
                assert_eq!(got, "SERVER_ERROR failed\r\n");
            }
            assert_eq!(start.elapsed(), Duration::ZERO);
        });
    }

    /// One told to close while idle that begins a command at that moment may finish it.
    #[test]
    fn a_command_that_crosses_the_close_is_finished() {
        testing::run(async {
            let service = service(&Rc::new(Recorder::default()));
            let (near, mut far) = duplex(1 << 10);
            spawn_local(serve(Rc::clone(&service), near));
            settle().await;
            service.make_room();
            far.write_all(b"m").await.unwrap();
            settle().await;
            far.write_all(b"n\r\n").await.unwrap();
            let mut got = String::new();
            far.read_to_string(&mut got).await.unwrap();
            assert_eq!(got, "MN\r\n");
        });
    }

    /// Giving up a seat takes no time: in a flood of connections a command must not wait behind each of them.
    #[test]
    fn a_seat_is_given_up_at_once() {
        testing::run(async {
            let service = service(&Rc::new(Recorder::default()));
            let (near, mut far) = duplex(1 << 10);
            spawn_local(serve(Rc::clone(&service), near));
            settle().await;
            let start = Instant::now();
            service.make_room();
            assert_eq!(far.read(&mut [0; 8]).await.unwrap(), 0);
            service.left.notified().await;
            assert_eq!(start.elapsed(), Duration::ZERO);
        });
    }

    /// Values that never come to their end hold a bounded part of the memory, and small commands go on.
    #[test]
    fn values_half_sent_do_not_fill_the_memory() {
        testing::run(async {
            let recorder = Rc::new(Recorder::default());
            let service = service(&recorder);
            let mut clients = Vec::new();
            for _ in 0..8 {
                let (near, mut far) = duplex(1 << 20);
                spawn_local(serve(Rc::clone(&service), near));
                far.write_all(b"ms k 65536 Oid Pc=read,d=480\r\n").await.unwrap();
                far.write_all(&[b'x'; 60_000]).await.unwrap();
                clients.push(far);
            }
            settle().await;
            let held = service.held.get();
            assert!(held <= service.bounds.held + 8 * (SMALL + 2 * READ) + 60_000, "{held}");
            let (near, mut far) = duplex(1 << 10);
            spawn_local(serve(Rc::clone(&service), near));
            far.write_all(b"mn\r\n").await.unwrap();
            let mut got = [0; 4];
            far.read_exact(&mut got).await.unwrap();
            drop(far);
            for mut far in clients {
                let mut got = String::new();
                far.read_to_string(&mut got).await.unwrap();
                assert_eq!(got, "CLIENT_ERROR command not finished in time\r\n");
            }
            settle().await;
            assert_eq!(service.held.get(), 0);
        });
    }

    /// Where seats run out, who has just come and not spoken yet stays, who is idle after an answer goes first, and
    /// who has been silent for long before that.
    #[test]
    fn who_is_about_to_speak_keeps_the_seat() {
        testing::run(async {
            let service = service(&Rc::new(Recorder::default()));
            let mut clients = Vec::new();
            for (spoke, wait) in [(false, 900), (true, 100), (true, 100), (false, 0)] {
                let (near, mut far) = duplex(1 << 10);
                let seated = service.seat();
                seated.seat.spoke.set(spoke);
                spawn_local(async move {
                    let _ = ServiceClient::new(&seated.service, &seated.seat).serve(near).await;
                });
                far.write_all(b"").await.unwrap();
                clients.push(far);
                sleep(Duration::from_millis(wait)).await;
            }
            let mut fresh = clients.pop().unwrap();
            for (gone, mut client) in clients.into_iter().enumerate() {
                service.make_room();
                settle().await;
                assert_eq!(client.read(&mut [0; 8]).await.unwrap(), 0);
                assert_eq!(service.seats.borrow().len(), 3 - gone);
            }
            fresh.write_all(b"mn\r\n").await.unwrap();
            let mut got = [0; 4];
            fresh.read_exact(&mut got).await.unwrap();
            assert_eq!(&got, b"MN\r\n");
        });
    }

    /// Silent connections by the hundred must not shut out a client that has something to say.
    #[test]
    fn a_silent_connection_gives_way() {
        testing::run_on_sockets(async {
            let recorder = Rc::new(Recorder::default());
            let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
            let address = listener.local_addr().unwrap();
            spawn_local(service(&recorder).accept(listener));
            let mut silent = Vec::new();
            for _ in 0..40 {
                silent.push(tokio::net::TcpStream::connect(address).await.unwrap());
            }
            let mut far = tokio::net::TcpStream::connect(address).await.unwrap();
            far.write_all(b"mn\r\n").await.unwrap();
            let mut got = [0; 4];
            far.read_exact(&mut got).await.unwrap();
            assert_eq!(&got, b"MN\r\n");
            assert_eq!(silent[0].read(&mut got).await.unwrap(), 0, "the first was told to leave");
        });
    }

    /// What is no command is told so and never taken: an unknown class, an id that another command has, no
    /// deadline, and noise without end, whose connection ends.
    #[test]
    fn what_is_no_command_is_turned_away() {
        testing::run(async {
            let recorder = Rc::new(Recorder::default());
            let service = service(&recorder);
            let (near, mut far) = duplex(1 << 16);
            spawn_local(serve(Rc::clone(&service), near));
            let (other, mut honest) = duplex(1 << 16);
            spawn_local(serve(Rc::clone(&service), other));
            honest.write_all(b"mg k v O1 Pc=read,d=480\r\n").await.unwrap();
            settle().await;
            for (line, told) in [
                ("mg k v O2 Pc=reads,d=480", "CLIENT_ERROR unknown class\r\n"),
                ("mg k v O2 Pd=480", "CLIENT_ERROR unknown class\r\n"),
                ("mg k v O1 Pc=read,d=480", "CLIENT_ERROR id in use\r\n"),
                ("mg k v O2 Pc=read", "CLIENT_ERROR no deadline\r\n"),
                ("mg k v O2 Pc=read,d=-1", "CLIENT_ERROR bad properties\r\n"),
            ] {
                far.write_all(format!("{line}\r\n").as_bytes()).await.unwrap();
                let mut got = vec![0; told.len()];
                far.read_exact(&mut got).await.unwrap();
                assert_eq!(String::from_utf8(got).unwrap(), told);
            }
            assert_eq!(recorder.begun.borrow().len(), 1, "only the honest client's has begun");
            far.write_all(&b"\n".repeat(MAX_MALFORMED * 2)).await.unwrap();
            let mut got = String::new();
            far.read_to_string(&mut got).await.unwrap();
            assert_eq!(got, "ERROR\r\n".repeat(MAX_MALFORMED - 5));
            let execution = recorder.begun.borrow_mut().pop().unwrap();
            service.exchange.ended(execution.id, End::Reply(Reply::Served(Answer::Value("v".into()))));
            let mut got = [0; 12];
            honest.read_exact(&mut got).await.unwrap();
            assert_eq!(&got, b"VA 1 O1\r\nv\r\n");
        });
    }

    /// A client whose connection breaks has gone away: nothing is sent for it any more.
    #[test]
    fn a_broken_connection_ends_its_commands() {
        testing::run(async {
            let recorder = Rc::new(Recorder::default());
            let service = service(&recorder);
            let (near, mut far) = duplex(1 << 16);
            far.write_all(b"mg a v O1 Pc=read,d=480\r\nmg b v O2 Pc=read,d=480\r\n").await.unwrap();
            let seated = service.seat();
            let mut client = ServiceClient::new(&seated.service, &seated.seat);
            tokio::select! {
                biased;
                _ = client.serve(near) => panic!("it still owes answers"),
                () = settle() => {}
            }
            assert_eq!(recorder.begun.borrow().len(), 2);
            drop(client);
            service.exchange.idle().await;
            assert_eq!(service.exchange.counters().left.get(), 2);
        });
    }

    /// Commands that a bound kept from being taken at once are answered too, though the client has closed
    /// its side meanwhile.
    #[test]
    fn a_long_pipeline_is_answered_after_a_half_close() {
        testing::run(async {
            let recorder = Rc::new(Recorder::default());
            let service = service(&recorder);
            let (near, mut far) = duplex(1 << 20);
            let commands = MAX_OWED * 2 + 7;
            let text: String = (0..commands).map(|id| format!("mg a v O{id} Pc=read,d=480\r\n")).collect();
            far.write_all(text.as_bytes()).await.unwrap();
            far.shutdown().await.unwrap();
            let task = spawn_local(serve(Rc::clone(&service), near));
            while !task.is_finished() {
                settle().await;
                for execution in recorder.begun.take() {
                    service.exchange.ended(execution.id, End::Reply(Reply::Error));
                }
            }
            let mut got = String::new();
            far.read_to_string(&mut got).await.unwrap();
            // What no host has a place for is turned away, and told so in its place as well.
            let told = |line: &&str| *line == "SERVER_ERROR failed" || line.starts_with("SERVER_ERROR busy");
            assert_eq!(got.lines().filter(told).count(), commands);
            assert!(got.contains("failed") && got.lines().count() == commands);
        });
    }

    /// On a planned end a connection closes between commands, never with one owed or half read.
    #[test]
    fn a_closing_service_answers_first() {
        testing::run(async {
            let recorder = Rc::new(Recorder::default());
            let service = service(&recorder);
            let (near, mut far) = duplex(1 << 16);
            spawn_local(serve(Rc::clone(&service), near));
            far.write_all(b"mg a v O1 Pc=read,d=480\r\n").await.unwrap();
            settle().await;
            service.shutdown.run(Instant::now(), Duration::from_secs(3)).await;
            settle().await;
            let execution = recorder.begun.borrow_mut().pop().unwrap();
            let value = Answer::Value(Bytes::from_static(b"v"));
            service.exchange.ended(execution.id, End::Reply(Reply::Served(value)));
            let mut got = String::new();
            far.read_to_string(&mut got).await.unwrap();
            assert_eq!(got, "VA 1 O1\r\nv\r\n");
        });
    }
    /// A command that stands unread in the kernel when the closing begins was taken, and is answered.
    #[test]
    fn a_closing_connection_is_read_once_more() {
        testing::run_on_sockets(async {
            let recorder = Rc::new(Recorder::default());
            let service = service(&recorder);
            let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
            let mut far = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
            let (near, _) = listener.accept().await.unwrap();
            let task = spawn_local(serve(Rc::clone(&service), near));
            settle().await;
            io::Write::write_all(&mut far, b"mn\r\n").unwrap();
            service.shutdown.close();
            task.await.unwrap().unwrap();
            assert_eq!(io::read_to_string(far).unwrap(), "MN\r\n");
        });
    }
}
