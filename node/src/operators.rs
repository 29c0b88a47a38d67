//! The operators' address: a second listener, one call a connection, answered from the exchange at once.
//!
//! The codec is `protocols::mgmt`; what a call decides is the exchange's. Each caller takes one of a bounded
//! number of slots and is closed by a read deadline, so that callers who say nothing cost little and never
//! delay the data path or each other.

use std::cell::Cell;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use juniperladder_protocols::mgmt::{ack, nak, read, Call, Read, MAX_LINE};
use slog::{info, warn, Logger};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::exchange::Exchange;
use crate::shutdown::Shutdown;

/// How long a caller may take to bring its whole line.
const DEADLINE: Duration = Duration::from_secs(2);
/// How long writing the reply may take.
const WRITE: Duration = Duration::from_millis(500);
/// The most callers at once; one more is closed at once.
const CALLERS: usize = 128;

/// The operators' side of one process.
pub struct Operators {
    exchange: Rc<Exchange>,
    classes: Vec<String>,
    shutdown: Rc<Shutdown>,
    file: PathBuf,
    callers: Cell<usize>,
    log: Logger,
}

impl Operators {
    /// The operators' side; the bans that an earlier process of this name left are taken up at once. Also
    /// whether there was such a process, which this one replaces.
    pub fn new(
        exchange: Rc<Exchange>,
        classes: Vec<String>,
        shutdown: Rc<Shutdown>,
        name: &str,
        log: Logger,
    ) -> (Rc<Operators>, bool) {
        let file = std::env::temp_dir().join(format!("juniperladder-{}.bans", crate::state::safe(name)));
        let successor = match crate::state::read(&file) {
            Ok(names) => {
                info!(log, "bans taken over"; "hosts" => names.len());
                names.iter().for_each(|name| exchange.restore_ban(name));
                true
            }
            Err(why) => {
                info!(log, "no bans taken over"; "why" => why);
                false
            }
        };
        let operators = Operators { exchange, classes, shutdown, file, callers: Cell::new(0), log };
        // The file is there from the start, so that a successor knows that it replaces a process.
        operators.keep();
        (Rc::new(operators), successor)
    }

    fn keep(&self) {
        if let Err(problem) = crate::state::write(&self.file, &self.exchange.banned()) {
            warn!(self.log, "bans not kept for a successor"; "problem" => problem);
        }
    }

    /// Answers callers for as long as it is polled.
    pub async fn accept(self: Rc<Operators>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            };
            if self.callers.get() >= CALLERS {
                // The newest is the one to go: those before it may be about to speak.
                drop(stream);
                continue;
            }
            self.callers.set(self.callers.get() + 1);
            let operators = Rc::clone(&self);
            spawn_local(async move {
                let _ = timeout(DEADLINE + WRITE, operators.serve(stream)).await;
                operators.callers.set(operators.callers.get() - 1);
            });
        }
    }

    async fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut input = Vec::with_capacity(64);
        let mut piece = [0; MAX_LINE];
        let call = loop {
            match read(&input) {
                Read::Call(call) => break call,
                Read::TooLong => break Err("the line is longer than 256 bytes"),
                Read::More => {}
            }
            let Ok(got) = timeout(DEADLINE, stream.read(&mut piece)).await else { return Ok(()) };
            let got = got?;
            if got == 0 {
                return Ok(());
            }
            input.extend_from_slice(&piece[..got]);
        };
        let reply = match call {
            Ok(call) => self.answer(call),
            Err(why) => nak(why),
        };
        timeout(WRITE, stream.write_all(reply.as_bytes())).await??;
        stream.shutdown().await
    }

    /// What a call is answered.
    pub fn answer(&self, call: Call) -> String {
        match call {
            Call::Health if self.shutdown.stopping() => nak("stopping: this process has been told to end"),
            Call::Health if self.exchange.ready() => ack("ready"),
            Call::Health => nak("not ready: no cache host is listed yet"),
            Call::Dump => format!("{}{}", ack("figures follow"), self.exchange.figures(&self.classes)),
            Call::Offline(name) => self.changed(self.exchange.offline(&name), "out by hand", &name),
            Call::Online(name) => self.changed(self.exchange.online(&name), "may serve again", &name),
        }
    }

    fn changed(&self, result: Result<(), &'static str>, what: &str, name: &str) -> String {
        match result {
            Ok(()) => {
                self.keep();
                info!(self.log, "operator"; "host" => name, "now" => what);
                ack(&format!("{name} {what}"))
            }
            Err(why) => nak(why),
        }
    }
}
