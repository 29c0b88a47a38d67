//! One downstream connection: its requests, taken as they come, and their answers in the same order.

use std::collections::VecDeque;
use std::io;

use bytes::{BufMut, Bytes, BytesMut};
use juniperladder::Micros;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::sync::oneshot;
use tokio::time::{sleep_until, timeout, Duration, Instant};

use super::connection::{left, Connection, Reader};
use super::{Seat, Service};
use crate::clock;
use crate::counters::increment;
use crate::dispatcher::{Answer, ClientRequest, ClientRequestId};
use crate::memcache::{write_answer, Incoming, RequestReader};
use crate::writing::{self, Writing};
use juniperladder_dispatch::long::Long;

/// Requests that one connection may have open: enough for any pipeline, a bound for one that runs away.
pub(super) const MAX_OWED: usize = 128;
/// What is no request may come so often on one connection: more is noise, or someone who does not listen.
pub(super) const MAX_MALFORMED: usize = 64;
/// Room made for each read.
pub(super) const READ: usize = 2048;
/// What a connection may hold whatever the others do: a request as clients send it.
pub(super) const SMALL: usize = 8 * 1024;

/// How long a connection may go without an open request: one that is silent, kept for good or in the middle
/// of a request holds a descriptor that others need. Unfinished requests do not set it back.
const QUIET: Duration = Duration::from_millis(2200);
/// How long a request may take from its first byte to its last, if that is longer.
const HALF: Duration = Duration::from_millis(2500);
/// How long a value may take to come to its end while pieces of it keep coming.
const VALUE: Duration = Duration::from_secs(15);
/// For how long after the accept of a connection what it brings is taken to have come before that.
const RIGHT_BEHIND_ACCEPT: Duration = Duration::from_millis(20);
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
    /// A request's answer, and the bytes that the request holds until then.
    Request(ClientRequestId, Bytes, oneshot::Receiver<Answer>, usize),
}

/// One downstream connection.
pub(super) struct DownstreamConnection<'a> {
    service: &'a Service,
    seat: &'a Seat,
    requests: RequestReader,
    input: BytesMut,
    output: BytesMut,
    owed: VecDeque<Owed>,
    /// Bytes that its open requests hold, and all that it was last found to hold.
    open: usize,
    held: usize,
    /// How much it has brought that was no request.
    malformed: usize,
    /// Since when a request has been coming that is not whole, and when a piece of it came last.
    half: Option<Instant>,
    came: Instant,
    /// The long value that is on its way to the client, and how much of it has yet to come.
    long: Option<(Long, usize)>,
    /// When the client last read a part of what waits for it.
    read: Instant,
    /// The long value that it is writing.
    writing: Option<Writing>,
    /// When a part of an answer was last written to the client.
    wrote: Option<Instant>,
    /// The client sends no more, or nothing after this can be understood.
    ended: bool,
    /// The client has left, though not all that it sent has been read: none of that is sent on.
    left: bool,
    /// The process ends: what has been read is answered, and no more is.
    last: bool,
}

impl<'a> DownstreamConnection<'a> {
    pub(super) fn new(service: &'a Service, seat: &'a Seat) -> DownstreamConnection<'a> {
        DownstreamConnection {
            service,
            seat,
            requests: RequestReader::default(),
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
            wrote: None,
            ended: false,
            left: false,
            last: false,
        }
    }

    fn idle(&self) -> bool {
        self.owes_nothing() && self.input.is_empty() && !self.requests.unfinished()
    }

    fn owes_nothing(&self) -> bool {
        self.owed.is_empty() && self.output.is_empty() && self.long.is_none()
    }

    /// Until when this connection may go on as it is; none while its client waits for the dispatcher.
    fn patience(&self) -> Option<Instant> {
        if !self.output.is_empty() {
            return Some(self.read + UNREAD);
        }
        let quiet = self.seat.quiet.get() + QUIET;
        let end = match self.half {
            // A value may come slowly, but it has to come.
            Some(since) if self.requests.unfinished() => (self.came + QUIET).min(since + VALUE),
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
        self.held <= SMALL || self.service.held.get() < self.service.resource_limits.client_buffer_bytes
    }

    /// Keeps the times by which the connection is judged.
    fn keep_time(&mut self) {
        let now = Instant::now();
        let busy = !self.owes_nothing();
        if self.seat.busy.replace(busy) && !busy {
            self.seat.quiet.set(now);
        }
        let half = !self.input.is_empty() || self.requests.unfinished();
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

    /// Serves the connection until its end. What is returned may still bring something that crossed the close.
    pub(super) async fn serve<C: Connection>(&mut self, stream: C) -> io::Result<Option<C::Reader>> {
        let (mut reader, mut writer) = stream.halves();
        loop {
            self.take();
            self.keep_time();
            self.keep_account();
            if (self.ended || self.last) && self.owes_nothing() {
                writer.shutdown().await?;
                return Ok(Some(reader));
            }
            // With room here every whole request has been taken, so that the end of the client's side, which
            // is only read then, never comes before a request that it had sent.
            let blocked = self.blocked();
            let room =
                !self.ended && !self.last && !blocked && self.owed.len() < MAX_OWED && self.may_hold_more();
            // Answers to a client that does not read them wait in their small form.
            let drained = self.output.len() < self.service.resource_limits.unread_answer_bytes;
            let unread = !(room && drained || self.ended || self.left);
            if unread && reader.has_left() {
                self.has_left();
                continue;
            }
            let idle = self.idle();
            let patience = self.patience();
            let service = self.service;
            if room && drained {
                self.input.reserve(if self.writing.is_some() {
                    service.resource_limits.chunk_bytes
                } else {
                    READ
                });
            }
            tokio::select! {
                biased;
                // Before all that a client which never stops to send keeps ready.
                () = service.shutdown.wait_for_end_of_reading(), if !self.ended && !self.last => self.last = true,
                answered = next_answer(&mut self.owed), if drained && self.long.is_none() => {
                    self.write(answered)
                }
                written = writer.write_buf(&mut self.output), if !self.output.is_empty() => {
                    written?;
                    self.read = Instant::now();
                    self.wrote = Some(self.read);
                }
                piece = next_piece(&self.long), if self.output.len() < service.resource_limits.chunk_bytes => {
                    self.pass_on(piece)?;
                }
                () = writing::room(&self.writing), if blocked => {}
                read = read(&mut reader, &mut self.input, unread), if room && drained || unread => {
                    match read? {
                        Some(0) => self.leave(),
                        Some(_) => self.came = Instant::now(),
                        None => self.has_left(),
                    }
                }
                look = service.closing(self.seat, patience), if idle => {
                    // A request may have come that the runtime has not looked for yet: it is taken, and a
                    // close over unread bytes would reset the connection.
                    tokio::select! {
                        biased;
                        read = reader.read_buf(&mut self.input) => if read? == 0 {
                            self.leave();
                        },
                        () = look.wait() => {
                            writer.shutdown().await?;
                            // An answer that is still on its way must not be lost to what crosses the close.
                            let answered = self.wrote.is_some_and(|wrote| wrote.elapsed() < LINGER);
                            return Ok(answered.then_some(reader));
                        }
                    }
                }
                () = until(patience), if !idle => {
                    if !self.output.is_empty() {
                        return Err(io::ErrorKind::TimedOut.into());
                    }
                    self.cut();
                }
                // Half a request gives its seat up too, but only when nothing else can.
                () = self.seat.cut.notified(), if !idle && !self.seat.busy.get() => self.cut(),
            }
        }
    }

    /// Ends a connection whose client is owed nothing and has sent half a request.
    fn cut(&mut self) {
        increment(&self.service.dispatcher.counters().connections_cut);
        self.owed.push_back(Owed::Line("CLIENT_ERROR command not finished in time"));
        self.ended = true;
    }

    fn blocked(&self) -> bool {
        self.writing.as_ref().is_some_and(Writing::blocked)
    }

    /// Takes every whole request in hand.
    fn take(&mut self) {
        while !self.ended
            && !self.blocked()
            && self.owed.len() < MAX_OWED
            && self.output.len() < self.service.resource_limits.unread_answer_bytes
        {
            match self.requests.next(&mut self.input) {
                None => return,
                Some(Incoming::Ready) if self.service.dispatcher.ready() => {
                    self.owed.push_back(Owed::Line("MN"))
                }
                Some(Incoming::Ready) => self.owed.push_back(Owed::Line("SERVER_ERROR not ready")),
                Some(Incoming::Request(request, class)) => {
                    if let Some(request) = self.of_class(request, &class) {
                        self.take_whole(*request);
                    }
                }
                Some(Incoming::Long(..)) if !self.service.dispatcher.takes_long() => {
                    self.turn_away("SERVER_ERROR object too large for cache");
                }
                Some(Incoming::Long(request, class, length)) => {
                    let request = self.of_class(request, &class);
                    self.writing = request.map(|request| Writing::new(request, length));
                    self.writing.iter_mut().filter(|_| self.left).for_each(Writing::let_go);
                }
                Some(Incoming::Piece(piece, end)) => {
                    // Of a request that was turned away at its line the value is read past.
                    if let Some(writing) = &mut self.writing {
                        writing.add(&self.service.dispatcher, piece, end);
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

    /// The request with its class and tenant; none if there is no such class in the settings, which the client is told: such
    /// a one has no deadline and no effect, and servers turn it away too. One that names no tenant of the settings, or none
    /// at all, is served like all others and counts for nobody's share.
    fn of_class(&mut self, mut request: Box<ClientRequest>, class: &[u8]) -> Option<Box<ClientRequest>> {
        let labels = &self.service.labels;
        let place = labels.classes.iter().position(|name| name.as_bytes() == class);
        if place.is_none() {
            self.turn_away("CLIENT_ERROR unknown class");
        }
        request.class = place? as u32;
        let named = request.properties.iter().find(|(name, _)| name.as_ref() == b"t");
        let tenant =
            named.and_then(|(_, named)| labels.tenants.iter().position(|name| name.as_bytes() == named));
        request.tenant = tenant.unwrap_or(labels.tenants.len()) as u32;
        Some(request)
    }

    /// Takes a request that is whole.
    fn take_whole(&mut self, request: ClientRequest) {
        self.half = None;
        let text = request.id.clone();
        let size = request.value.as_ref().map_or(0, Bytes::len);
        if self.left {
            return self.turn_back();
        }
        match self.service.dispatcher.take_after(request, self.unread_wait()) {
            Some((id, answer)) => {
                self.open += size;
                self.owed.push_back(Owed::Request(id, text, answer, size));
                self.seat.busy.set(true);
                if !self.seat.spoke.replace(true) {
                    self.service.thin_out();
                }
            }
            None => self.turn_away("CLIENT_ERROR id in use"),
        }
    }

    /// The longest that a request which is read now may have waited before: what comes right behind the accept of its
    /// connection may have come long before that.
    fn unread_wait(&self) -> Micros {
        if self.seat.accepted.elapsed() < RIGHT_BEHIND_ACCEPT {
            clock::micros(self.seat.waited)
        } else {
            Micros(0)
        }
    }

    /// Owes this line for what was no request. Whoever goes on sending such things loses the connection.
    fn turn_away(&mut self, line: &'static str) {
        increment(&self.service.dispatcher.counters().malformed_requests);
        self.owed.push_back(Owed::Line(line));
        self.malformed += 1;
        self.ended |= self.malformed >= MAX_MALFORMED;
    }

    /// Owes a client that has left the answer to what it had sent before: it is not sent on.
    fn turn_back(&mut self) {
        increment(&self.service.dispatcher.counters().requests_abandoned);
        self.owed.push_back(Owed::Line("SERVER_ERROR busy"));
    }

    /// The client has closed its side, and that has been read: it is gone, or waits for the answers that it is owed.
    fn leave(&mut self) {
        self.ended = true;
        self.let_go();
    }

    /// The client has closed its side behind what stands unread. That is still read and answered, as it was taken.
    fn has_left(&mut self) {
        self.left = true;
        self.writing.iter_mut().for_each(Writing::let_go);
        self.let_go();
    }

    /// Nothing new begins for the requests that are open.
    fn let_go(&mut self) {
        for owed in &self.owed {
            if let Owed::Request(id, ..) = owed {
                self.service.dispatcher.left(*id);
            }
        }
    }

    fn write(&mut self, (owed, answer): (Owed, Answer)) {
        match owed {
            Owed::Line(line) => {
                self.output.put_slice(line.as_bytes());
                self.output.put_slice(b"\r\n");
            }
            Owed::Request(_, id, _, size) => {
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

impl Drop for DownstreamConnection<'_> {
    /// The connection has ended: whoever is still owed an answer is gone.
    fn drop(&mut self) {
        self.service.held.set(self.service.held.get() - self.held);
        for owed in &self.owed {
            if let Owed::Request(id, ..) = owed {
                self.service.dispatcher.gone(*id);
            }
        }
    }
}

/// Waits until this time, or for ever.
pub(super) async fn until(time: Option<Instant>) {
    match time {
        Some(time) => sleep_until(time).await,
        None => std::future::pending().await,
    }
}

/// Reads more, and tells how much. Where it must stay unread: waits until the client has left, which is no number.
async fn read(reader: &mut impl Reader, input: &mut BytesMut, unread: bool) -> io::Result<Option<usize>> {
    if unread {
        left(reader).await;
        return Ok(None);
    }
    reader.read_buf(input).await.map(Some)
}

/// Reads off for a moment what a client still sends that has been told its last answer.
pub(super) async fn linger(reader: impl AsyncRead + Unpin) {
    let (mut rest, mut nowhere) = (reader.take(LINGER_BYTES), tokio::io::sink());
    let _ = timeout(LINGER, tokio::io::copy(&mut rest, &mut nowhere)).await;
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
        // The dispatcher answers everything it took; should it ever drop one, that request has failed.
        Some(Owed::Request(_, _, answer, _)) => answer.await.unwrap_or(Answer::Failed),
    };
    match owed.pop_front() {
        Some(first) => (first, answer),
        None => std::future::pending().await,
    }
}
