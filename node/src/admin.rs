//! The operators' address: a second listener, one call a connection, answered from the dispatcher at once.
//!
//! The line protocol is that of `juniperladder_protocols::admin`; what a call decides is the dispatcher's. Guarantee: callers
//! never delay the requests of clients or each other. Each takes one of a bounded number of slots and is closed after
//! [`CALL_TIMEOUT`] at the latest, so that one that says nothing costs little; one more than there are slots is closed at once
//! without an answer.
//!
//! A change of an override holds from its answer on. Where it could not be written for a successor within
//! [`OVERRIDE_WRITE_TIMEOUT`] the answer says so, and the store goes on to try.

use std::cell::Cell;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use juniperladder_protocols::admin::{self, ack, nak, Call, CallError, Input, MAX_LINE_BYTES};
use slog::{info, warn, Logger};
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::dispatcher::Dispatcher;
use crate::graceful_shutdown::GracefulShutdown;
use crate::listener::ACCEPT_RETRY_DELAY;
use crate::override_store::{OverrideState, OverrideStore};
use crate::peers::Peers;
use crate::socket::Socket;

/// How long a caller may send nothing before its line is complete.
const READ_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long writing the answer may take.
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a whole call may take.
const CALL_TIMEOUT: Duration = READ_IDLE_TIMEOUT.saturating_add(WRITE_TIMEOUT);
/// How long a call waits for its change to be written for a successor; it holds here whether it is or not.
const OVERRIDE_WRITE_TIMEOUT: Duration = Duration::from_millis(400);
/// What the answer adds where the override could not be written yet: until it is, a kill of the process loses it.
const NOT_WRITTEN_YET: &str = "not kept for a successor yet";

/// Why a line is no call.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
enum LineError {
    #[error(transparent)]
    Malformed(CallError),
    #[error("the line is longer than {MAX_LINE_BYTES} bytes")]
    TooLong,
}

/// The slots of callers.
#[derive(Clone, Debug)]
pub struct AdminConnections {
    /// How many are open now: whoever shares the descriptors with them reads it.
    pub open: Rc<Cell<usize>>,
    /// The most that may be open; one more is closed at once.
    pub limit: usize,
}

impl AdminConnections {
    /// Takes a slot until the returned value is dropped; none where all are taken.
    fn acquire(&self) -> Option<AdminSlot> {
        if self.open.get() >= self.limit {
            return None;
        }
        self.open.set(self.open.get() + 1);
        Some(AdminSlot(Rc::clone(&self.open)))
    }
}

/// A slot that is taken.
struct AdminSlot(Rc<Cell<usize>>);

impl Drop for AdminSlot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The operators' side of one process.
pub struct Admin {
    dispatcher: Rc<Dispatcher>,
    class_names: Vec<String>,
    shutdown: Rc<GracefulShutdown>,
    overrides: Rc<OverrideStore>,
    peers: Option<Rc<Peers>>,
    connections: AdminConnections,
    log: Logger,
}

impl Admin {
    /// Restores the overrides that an earlier process has left in the file at this path, and keeps that file from now on.
    pub fn start(
        dispatcher: Rc<Dispatcher>,
        class_names: Vec<String>,
        shutdown: Rc<GracefulShutdown>,
        overrides_path: PathBuf,
        connections: AdminConnections,
        peers: Option<Rc<Peers>>,
        log: Logger,
    ) -> Rc<Admin> {
        let overrides = OverrideStore::open(Rc::clone(&dispatcher), overrides_path, log.clone());
        // The file is there from the start, so that a successor knows that it replaces a process.
        let running = Rc::clone(&overrides);
        spawn_local(async move { running.run().await });
        Rc::new(Admin { dispatcher, class_names, shutdown, overrides, peers, connections, log })
    }

    /// Whether an earlier process of this balancer's name left an override file; it may have ended long ago.
    pub fn found_override_file(&self) -> bool {
        self.overrides.found_override_file()
    }

    /// Answers callers for as long as it is polled.
    pub async fn accept(self: Rc<Admin>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.serve_in_task(Socket(stream)),
                Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    }

    /// Serves a caller if there is a slot. The newest is the one to be closed: those before it may be about to speak.
    fn serve_in_task<S: AsyncRead + AsyncWrite + Unpin + 'static>(self: &Rc<Admin>, stream: S) {
        let Some(slot) = self.connections.acquire() else { return };
        let admin = Rc::clone(self);
        spawn_local(async move {
            // A caller that breaks off or is too slow gets no answer.
            let _ = timeout(CALL_TIMEOUT, admin.serve(stream)).await;
            drop(slot);
        });
    }

    async fn serve<S: AsyncRead + AsyncWrite + Unpin>(&self, mut stream: S) -> std::io::Result<()> {
        let Some(call) = read_call(&mut stream).await? else { return Ok(()) };
        let answer = match call {
            Ok(call) => self.answer(call).await,
            Err(error) => nak(&error.to_string()),
        };
        timeout(WRITE_TIMEOUT, stream.write_all(answer.as_bytes())).await??;
        stream.shutdown().await
    }

    /// The answer to a call, all its lines.
    pub async fn answer(&self, call: Call) -> String {
        match call {
            Call::Health => self.health(),
            Call::Dump => format!("{}{}", ack("figures follow"), self.metrics()),
            Call::Offline(server) => self.set_override(&server, OverrideState::Offline).await,
            Call::Online(server) => self.set_override(&server, OverrideState::Online).await,
        }
    }

    fn health(&self) -> String {
        if self.shutdown.is_stopping() {
            nak("stopping: this process has been told to end")
        } else if self.dispatcher.is_ready() {
            ack("ready")
        } else {
            nak("not ready: no cache host is listed yet")
        }
    }

    /// The figures, those of the coordination with other balancers with them where there is any.
    fn metrics(&self) -> String {
        let coordination = self.peers.as_ref().map(|peers| peers.metrics_text());
        self.dispatcher.metrics_text(&self.class_names, &coordination.unwrap_or_default())
    }

    /// Puts a server offline or online; it holds in this process before the answer waits for it to be written.
    async fn set_override(&self, server: &str, state: OverrideState) -> String {
        let applied = match state {
            OverrideState::Offline => self.dispatcher.take_offline(server),
            OverrideState::Online => self.dispatcher.bring_online(server),
        };
        if let Err(unknown) = applied {
            return nak(&unknown.to_string());
        }
        info!(self.log, "operator override set"; "server" => server, "state" => state.label());
        let change = self.overrides.record(server, state);
        let _ = timeout(OVERRIDE_WRITE_TIMEOUT, self.overrides.wait_until_attempted(change)).await;
        let confirmation = confirmation(server, state);
        if self.overrides.is_pending(server) {
            warn!(self.log, "operator override not written yet"; "server" => server);
            return ack(&format!("{confirmation}; {NOT_WRITTEN_YET}"));
        }
        ack(&confirmation)
    }
}

/// What the answer says of a server.
fn confirmation(server: &str, state: OverrideState) -> String {
    match state {
        OverrideState::Offline => format!("{server} out by hand"),
        OverrideState::Online => format!("{server} may serve again"),
    }
}

/// Reads one call, or why the line is none; nothing where the caller leaves or is silent for [`READ_IDLE_TIMEOUT`].
async fn read_call<S: AsyncRead + Unpin>(stream: &mut S) -> std::io::Result<Option<Result<Call, LineError>>> {
    let mut input = Vec::with_capacity(64);
    let mut chunk = [0; MAX_LINE_BYTES];
    loop {
        match admin::read_call(&input) {
            Input::Line(call) => return Ok(Some(call.map_err(LineError::Malformed))),
            Input::TooLong => return Ok(Some(Err(LineError::TooLong))),
            Input::Incomplete => {}
        }
        let Ok(received) = timeout(READ_IDLE_TIMEOUT, stream.read(&mut chunk)).await else { return Ok(None) };
        let length = received?;
        if length == 0 {
            return Ok(None);
        }
        input.extend_from_slice(&chunk[..length]);
    }
}

#[cfg(test)]
mod tests;
