//! The operators' address: a second listener, one call a connection, answered from the dispatcher at once.
//!
//! The codec is `protocols::admin`; what a call decides is the dispatcher's. Each caller takes one of a bounded
//! number of slots and is closed by a read deadline, so that callers who say nothing cost little and never
//! delay the data path or each other.

use std::cell::Cell;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use juniperladder_protocols::admin::{ack, nak, read_call, Call, Input, MAX_LINE_BYTES};
use slog::{info, warn, Logger};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::dispatcher::Dispatcher;
use crate::graceful_shutdown::GracefulShutdown;
use crate::override_store::{OverrideState, OverrideStore};
use crate::peers::Peers;
use crate::socket::Socket;

/// How long a caller may take to bring its whole line.
const DEADLINE: Duration = Duration::from_secs(2);
/// How long writing the reply may take.
const WRITE: Duration = Duration::from_millis(500);
/// What the answer adds where the file could not be written yet: it is tried again, and until then a kill loses the call.
const NOT_KEPT: &str = "not kept for a successor yet";
/// How long a call waits for what it changed to be kept for a successor; the change holds here whether it is or not.
const KEPT: Duration = Duration::from_millis(400);

/// Those who call.
#[derive(Clone, Debug)]
pub struct Callers {
    /// How many there are now: whoever shares the descriptors with them asks.
    pub now: Rc<Cell<usize>>,
    /// The most that may be; one more is closed at once.
    pub most: usize,
}

/// The operators' side of one process.
pub struct Operators {
    dispatcher: Rc<Dispatcher>,
    classes: Vec<String>,
    shutdown: Rc<GracefulShutdown>,
    overrides: Rc<OverrideStore>,
    peers: Option<Rc<Peers>>,
    callers: Callers,
    log: Logger,
}

impl Operators {
    /// The operators' side; the bans that an earlier process of this name left are taken up at once. Also
    /// whether there was such a process, which this one replaces.
    pub fn new(
        dispatcher: Rc<Dispatcher>,
        classes: Vec<String>,
        shutdown: Rc<GracefulShutdown>,
        name: &str,
        callers: Callers,
        peers: Option<Rc<Peers>>,
        log: Logger,
    ) -> (Rc<Operators>, bool) {
        Operators::over(dispatcher, classes, shutdown, OverrideStore::path_for(name), callers, peers, log)
    }

    fn over(
        dispatcher: Rc<Dispatcher>,
        classes: Vec<String>,
        shutdown: Rc<GracefulShutdown>,
        file: PathBuf,
        callers: Callers,
        peers: Option<Rc<Peers>>,
        log: Logger,
    ) -> (Rc<Operators>, bool) {
        let overrides = OverrideStore::open(Rc::clone(&dispatcher), file, log.clone());
        // The file is there from the start, so that a successor knows that it replaces a process.
        let store = Rc::clone(&overrides);
        spawn_local(async move { store.run().await });
        let successor = overrides.follows_another_process();
        (Rc::new(Operators { dispatcher, classes, shutdown, overrides, peers, callers, log }), successor)
    }

    /// Answers callers for as long as it is polled.
    pub async fn accept(self: Rc<Operators>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            };
            self.take_in(Socket(stream));
        }
    }

    /// Gives a caller its slot, or none.
    fn take_in<S: AsyncRead + AsyncWrite + Unpin + 'static>(self: &Rc<Operators>, stream: S) {
        if self.callers.now.get() >= self.callers.most {
            // The newest is the one to go: those before it may be about to speak.
            return;
        }
        self.callers.now.set(self.callers.now.get() + 1);
        let operators = Rc::clone(self);
        spawn_local(async move {
            let _ = timeout(DEADLINE + WRITE, operators.serve(stream)).await;
            operators.callers.now.set(operators.callers.now.get() - 1);
        });
    }

    async fn serve<S: AsyncRead + AsyncWrite + Unpin>(&self, mut stream: S) -> std::io::Result<()> {
        let mut input = Vec::with_capacity(64);
        let mut piece = [0; MAX_LINE_BYTES];
        let call = loop {
            match read_call(&input) {
                Input::Line(call) => break call.map_err(|error| error.to_string()),
                Input::TooLong => break Err("the line is longer than 256 bytes".to_owned()),
                Input::Incomplete => {}
            }
            let Ok(got) = timeout(DEADLINE, stream.read(&mut piece)).await else { return Ok(()) };
            let got = got?;
            if got == 0 {
                return Ok(());
            }
            input.extend_from_slice(&piece[..got]);
        };
        let reply = match call {
            Ok(call) => self.answer(call).await,
            Err(why) => nak(&why),
        };
        timeout(WRITE, stream.write_all(reply.as_bytes())).await??;
        stream.shutdown().await
    }

    /// What a call is answered.
    pub async fn answer(&self, call: Call) -> String {
        match call {
            Call::Health if self.shutdown.is_stopping() => nak("stopping: this process has been told to end"),
            Call::Health if self.dispatcher.is_ready() => ack("ready"),
            Call::Health => nak("not ready: no cache host is listed yet"),
            Call::Dump => format!("{}{}", ack("figures follow"), self.figures()),
            Call::Offline(name) => {
                self.changed(self.dispatcher.offline(&name), &name, OverrideState::Offline).await
            }
            Call::Online(name) => {
                self.changed(self.dispatcher.online(&name), &name, OverrideState::Online).await
            }
        }
    }

    /// The figures, those of the talk between balancers with them where there is any.
    fn figures(&self) -> String {
        let peers = self.peers.as_ref().map(|peers| peers.text());
        self.dispatcher.figures(&self.classes, &peers.unwrap_or_default())
    }

    /// The change holds here already; the answer waits a moment for it to be kept, too.
    async fn changed(&self, result: Result<(), &'static str>, name: &str, state: OverrideState) -> String {
        if let Err(why) = result {
            return nak(why);
        }
        let now = match state {
            OverrideState::Offline => "out by hand",
            OverrideState::Online => "may serve again",
        };
        info!(self.log, "operator"; "host" => name, "now" => now);
        let change = self.overrides.record(name, state);
        let _ = timeout(KEPT, self.overrides.wait_until_attempted(change)).await;
        if self.overrides.is_pending(name) {
            warn!(self.log, "bans not kept yet"; "host" => name);
            return ack(&format!("{name} {now}; {NOT_KEPT}"));
        }
        ack(&format!("{name} {now}"))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::dispatcher::{Answer, AttemptEnd, Reply};
    use crate::override_store::ChangeId;
    use crate::testing::{self, log, request, Recorder};
    use juniperladder::Idempotency;
    use tokio::io::{duplex, DuplexStream};
    use tokio::time::Instant;

    const CALLERS: usize = 128;
    const SERVER: &str = "s-00000009";

    fn process(dir: &std::path::Path) -> (Rc<Operators>, Rc<Recorder>) {
        let recorder = Rc::new(Recorder::default());
        let dispatcher =
            testing::dispatcher(testing::settings(1, Idempotency::Idempotent), recorder.clone(), 2);
        let classes = vec!["read".into()];
        let callers = Callers { now: Rc::default(), most: CALLERS };
        let (operators, _) =
            Operators::over(dispatcher, classes, Rc::default(), dir.join("n0.bans"), callers, None, log());
        (operators, recorder)
    }

    async fn call(operators: &Rc<Operators>, pieces: &[&[u8]]) -> DuplexStream {
        let (near, mut far) = duplex(4096);
        operators.take_in(near);
        for piece in pieces {
            // One caller too many is closed at once.
            let _ = far.write_all(piece).await;
            testing::settle().await;
        }
        far
    }

    async fn reply(mut far: DuplexStream) -> String {
        let mut got = String::new();
        far.read_to_string(&mut got).await.unwrap();
        got
    }

    /// Callers that say nothing, or half a call, are closed at their deadline without an answer, take a bounded
    /// number of slots, and keep nobody waiting meanwhile.
    #[test]
    fn callers_that_say_half_a_call_hold_nobody_up() {
        let dir = tempfile::tempdir().unwrap();
        testing::run(async {
            let (operators, _) = process(dir.path());
            let start = Instant::now();
            let mut slow = Vec::new();
            for n in 0..CALLERS + 5 {
                slow.push(call(&operators, &[&b"HEALTH"[..n % 7]]).await);
                if n + 1 < CALLERS {
                    assert_eq!(reply(call(&operators, &[b"HEAL", b"TH\r\n"]).await).await, "ACK ready\n");
                }
            }
            assert_eq!((start.elapsed(), operators.callers.now.get()), (Duration::ZERO, CALLERS));
            for far in slow {
                assert_eq!(reply(far).await, "");
            }
            assert_eq!((start.elapsed(), operators.callers.now.get()), (DEADLINE, 0));
            assert_eq!(reply(call(&operators, &[b"HEALTH\n"]).await).await, "ACK ready\n");
        });
    }

    #[test]
    fn what_is_no_call_is_told_so() {
        let dir = tempfile::tempdir().unwrap();
        testing::run(async {
            let (operators, _) = process(dir.path());
            let long = [b'x'; 300];
            for line in [
                &b"\n"[..],
                b"OFFLINE s-0000abcd\n",
                b"ONLINE a b\n",
                b"\xff\xfe\n",
                b"GET / HTTP/1.1\r\n",
                &long,
            ] {
                let told = reply(call(&operators, &[line]).await).await;
                assert!(
                    told.starts_with("NAK ") && told.ends_with('\n') && told.lines().count() == 1,
                    "{told}"
                );
            }
        });
    }

    /// The figures against requests whose endings are known: each is counted once, in its class.
    #[test]
    fn the_figures_tell_what_happened() {
        let dir = tempfile::tempdir().unwrap();
        testing::run(async {
            let (operators, recorder) = process(dir.path());
            let dispatcher = &operators.dispatcher;
            let value = Reply::Served(Answer::Value("v".into()));
            let mut answers = Vec::new();
            for (n, end) in [AttemptEnd::Reply(value.clone()), AttemptEnd::NotSent, AttemptEnd::Reply(value)]
                .into_iter()
                .enumerate()
            {
                answers.push(dispatcher.take(request(&n.to_string(), None)).unwrap());
                let attempt = recorder.begun.borrow_mut().pop().unwrap();
                dispatcher.on_attempt_ended(attempt.id, end);
            }
            let _open = dispatcher.take(request("9", None)).unwrap();
            assert!(operators.answer(Call::Offline(SERVER.into())).await.starts_with("ACK"));
            let told = operators.answer(Call::Dump).await;
            for line in [
                "app_passed{category=\"read\"} 2",
                "app_dropped{category=\"read\"} 1",
                "app_bad_gateway{category=\"read\"} 0",
                "app_in_progress 1",
                "app_known_cache_hosts 2",
                "app_skipped_cache_hosts 1",
            ] {
                assert!(told.lines().any(|told| told == line), "{line} is not in {told}");
            }
            assert!(told.starts_with("ACK ") && told.ends_with("\n--\n"));
        });
    }

    /// A disk that stands still: calls are answered, what they ask for holds, and it is kept once the disk goes on.
    #[test]
    fn a_disk_that_stands_still_holds_nobody_up() {
        let dir = tempfile::tempdir().unwrap();
        testing::run_on_sockets(async {
            let lock = std::fs::File::create(dir.path().join("n0.lock")).unwrap();
            lock.lock().unwrap();
            let (operators, _) = process(dir.path());
            let promised = operators.answer(Call::Offline(SERVER.into())).await;
            assert_eq!(promised, format!("ACK {SERVER} out by hand; not kept for a successor yet\n"));
            assert_eq!(operators.answer(Call::Health).await, "ACK ready\n");
            assert_eq!(operators.dispatcher.banned(), [SERVER]);
            lock.unlock().unwrap();
            operators.overrides.wait_until_attempted(ChangeId::default().next()).await;
            let stored = std::fs::read_to_string(dir.path().join("n0.bans")).unwrap();
            assert_eq!(stored, format!("juniperladder bans 1\n{SERVER}\nend\n"));
            let promised = operators.answer(Call::Offline(SERVER.into())).await;
            assert_eq!(promised, format!("ACK {SERVER} out by hand\n"), "now it is in the file");
        });
    }
}
