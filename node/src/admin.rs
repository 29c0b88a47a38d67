//! The admin interface for operators: a separate listener that takes one call per connection.
//!
//! The line protocol is `juniperladder_protocols::admin`; the dispatcher applies the calls. Guarantee: admin connections
//! never delay client requests or each other. Each takes one of a bounded number of slots and is closed after
//! [`CALL_TIMEOUT`] at the latest, so that a silent one costs little. A connection beyond the slots is closed at once
//! without an answer.
//!
//! An override is in effect when its call is answered. If it could not be written for a successor process within
//! [`OVERRIDE_WRITE_TIMEOUT`], the answer says so, and the store keeps retrying.

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

/// How long a connection may be silent before its line is complete.
const READ_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// The timeout for writing the answer.
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);
/// The timeout for an admin connection as a whole.
const CALL_TIMEOUT: Duration = READ_IDLE_TIMEOUT.saturating_add(WRITE_TIMEOUT);
/// How long a call waits for its override to be written for a successor. The override is in effect in this process
/// whether it has been written or not.
const OVERRIDE_WRITE_TIMEOUT: Duration = Duration::from_millis(400);
/// Added to the answer if the override has not been written yet; until then it is lost if the process is killed.
const NOT_WRITTEN_YET: &str = "not kept for a successor yet";

/// Why a line is not a valid call.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
enum LineError {
    #[error(transparent)]
    Malformed(CallError),
    #[error("the line is longer than {MAX_LINE_BYTES} bytes")]
    TooLong,
}

/// The slots for admin connections.
#[derive(Clone, Debug)]
pub struct AdminConnections {
    /// The number of open connections, shared with the client side, which shares the file descriptors.
    pub open: Rc<Cell<usize>>,
    /// The maximum number of open connections; a further one is closed at once.
    pub limit: usize,
}

impl AdminConnections {
    /// Takes a slot until the returned value is dropped. Returns none if all slots are taken.
    fn acquire(&self) -> Option<AdminSlot> {
        if self.open.get() >= self.limit {
            return None;
        }
        self.open.set(self.open.get() + 1);
        Some(AdminSlot(Rc::clone(&self.open)))
    }
}

/// A slot in use; dropping it frees the slot.
struct AdminSlot(Rc<Cell<usize>>);

impl Drop for AdminSlot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The admin interface of one process.
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
    /// Restores the overrides that an earlier process left in the file at this path, and starts to keep the file up to
    /// date.
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
        // Creates the file at the start, so that a successor can detect that it replaces a process.
        let task_overrides = Rc::clone(&overrides);
        spawn_local(async move { task_overrides.run().await });
        Rc::new(Admin { dispatcher, class_names, shutdown, overrides, peers, connections, log })
    }

    /// Whether an earlier process of the same balancer name left an override file. That process may have ended long ago.
    pub fn found_override_file(&self) -> bool {
        self.overrides.found_override_file()
    }

    /// Accepts and serves admin connections; never returns.
    pub async fn accept(self: Rc<Admin>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.serve_in_task(Socket(stream)),
                Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    }

    /// Serves a connection in its own task if a slot is free. Otherwise closes this connection rather than an older one,
    /// which may be about to send its call.
    fn serve_in_task<S: AsyncRead + AsyncWrite + Unpin + 'static>(self: &Rc<Admin>, stream: S) {
        let Some(slot) = self.connections.acquire() else { return };
        let admin = Rc::clone(self);
        spawn_local(async move {
            // A connection that breaks or times out gets no answer.
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

    /// Executes a call and returns the complete answer.
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

    /// The metrics, including those of the coordination with other balancers if it is enabled.
    fn metrics(&self) -> String {
        let coordination = self.peers.as_ref().map(|peers| peers.metrics_text());
        self.dispatcher.metrics_text(&self.class_names, &coordination.unwrap_or_default())
    }

    /// Takes a server offline or brings it online. The override takes effect in this process before the answer waits for
    /// it to be written.
    async fn set_override(&self, server: &str, state: OverrideState) -> String {
        let result = match state {
            OverrideState::Offline => self.dispatcher.take_offline(server),
            OverrideState::Online => self.dispatcher.bring_online(server),
        };
        if let Err(unknown) = result {
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

/// The answer to an override call.
fn confirmation(server: &str, state: OverrideState) -> String {
    match state {
        OverrideState::Offline => format!("{server} out by hand"),
        OverrideState::Online => format!("{server} may serve again"),
    }
}

/// Reads one call, or the error of a malformed line. Returns none if the connection is closed or silent for
/// [`READ_IDLE_TIMEOUT`].
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
