//! The store of operator overrides: when they are written to their file, and when those of another process are read.
//!
//! Two processes of one balancer run side by side while one replaces the other, and share the file. Guarantee: for as
//! long as both run, a call of an operator at either holds at both within two [`FILE_CHECK_INTERVAL`]s, and a process
//! that starts later takes all of them over. An override holds in its own process whether it could be written or not.
//!
//! A disk may stand still for a second. The file is read and written by the runtime's threads for blocking work, so that
//! neither requests nor operators' calls wait for it. A failed write is logged once and tried again at every interval.

mod file;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn, Logger};
use thiserror::Error;
use tokio::sync::{watch, Notify};
use tokio::task::{spawn_blocking, JoinError};
use tokio::time::timeout;

use crate::dispatcher::Dispatcher;
use file::{FileContent, FileVersion, OverrideFileError};

/// How often the file is checked for what another process has written: a call has to hold at both within a second.
const FILE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// What an operator has decided about a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverrideState {
    /// It gets nothing new, whatever discovery says.
    Offline,
    /// It serves as discovery has it.
    Online,
}

impl OverrideState {
    /// What the log calls it.
    pub fn label(self) -> &'static str {
        match self {
            OverrideState::Offline => "offline",
            OverrideState::Online => "online",
        }
    }
}

/// Names one change of an override; later ones are greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ChangeId(u64);

impl ChangeId {
    /// The change after this one.
    pub fn next(self) -> ChangeId {
        ChangeId(self.0 + 1)
    }
}

/// Why the overrides in memory and in the file could not be brought together.
#[derive(Debug, Error)]
enum SynchronizeError {
    #[error(transparent)]
    File(#[from] OverrideFileError),
    #[error("the file task panicked or was cancelled: {0}")]
    Task(#[from] JoinError),
}

/// The overrides of one balancer's process, and the changes that are not in the file yet.
pub struct OverrideStore {
    dispatcher: Rc<Dispatcher>,
    path: PathBuf,
    /// Changes that are not in the file yet, by the server's name.
    pending: RefCell<BTreeMap<String, OverrideState>>,
    last_seen: Cell<Option<FileVersion>>,
    last_change: Cell<ChangeId>,
    /// The last change that was written, or whose write failed.
    last_attempted: watch::Sender<ChangeId>,
    change_recorded: Notify,
    write_failed: Cell<bool>,
    found_override_file: bool,
    log: Logger,
}

impl OverrideStore {
    /// The file of the balancer with this name.
    pub fn path_for(balancer: &str) -> PathBuf {
        std::env::temp_dir().join(format!("juniperladder-{}.bans", file::file_name_part(balancer)))
    }

    /// Opens the store and restores what an earlier process has left in the file, if there is one.
    pub fn open(dispatcher: Rc<Dispatcher>, path: PathBuf, log: Logger) -> Rc<OverrideStore> {
        let stored = file::read(&path);
        match &stored {
            Ok(names) => {
                info!(log, "operator overrides restored"; "servers" => names.len());
                for name in names {
                    dispatcher.restore_override(name);
                }
            }
            Err(error) => info!(log, "no operator overrides restored"; "reason" => %error),
        }
        Rc::new(OverrideStore {
            dispatcher,
            path,
            pending: RefCell::default(),
            last_seen: Cell::new(None),
            last_change: Cell::default(),
            last_attempted: watch::Sender::new(ChangeId::default()),
            change_recorded: Notify::new(),
            write_failed: Cell::new(false),
            found_override_file: stored.is_ok(),
            log,
        })
    }

    /// Whether an earlier process of this balancer's name left an override file; it may have ended long ago.
    pub fn found_override_file(&self) -> bool {
        self.found_override_file
    }

    /// Records an operator's change, to be written soon. The number is for [`OverrideStore::wait_until_attempted`].
    pub fn record(&self, server: &str, state: OverrideState) -> ChangeId {
        self.pending.borrow_mut().insert(server.to_owned(), state);
        let change = self.last_change.get().next();
        self.last_change.set(change);
        self.change_recorded.notify_one();
        change
    }

    /// Waits until a change is in the file, or could not be written; [`OverrideStore::is_pending`] tells which.
    pub async fn wait_until_attempted(&self, change: ChangeId) {
        // The store owns the sender, so that the channel is open for as long as anyone waits.
        let _ = self.last_attempted.subscribe().wait_for(|attempted| *attempted >= change).await;
    }

    /// Whether the last change of this server is not in the file yet.
    pub fn is_pending(&self, server: &str) -> bool {
        self.pending.borrow().contains_key(server)
    }

    /// Keeps the file and this process the same, for as long as it is polled.
    pub async fn run(&self) {
        loop {
            self.synchronize().await;
            let _ = timeout(FILE_CHECK_INTERVAL, self.change_recorded.notified()).await;
        }
    }

    /// Writes the pending changes and applies what is new in the file.
    async fn synchronize(&self) {
        let last_change = self.last_change.get();
        let changes = self.pending.borrow().clone();
        match self.update_file(changes.clone()).await {
            Ok(content) => {
                self.write_failed.set(false);
                self.remove_pending(&changes);
                if let Some(content) = content {
                    self.last_seen.set(Some(content.version));
                    self.apply_stored(&content.offline);
                }
            }
            Err(error) => self.on_failure(&error),
        }
        self.last_attempted.send_replace(last_change);
    }

    async fn update_file(
        &self,
        changes: BTreeMap<String, OverrideState>,
    ) -> Result<Option<FileContent>, SynchronizeError> {
        let path = self.path.clone();
        let own = self.dispatcher.offline_servers();
        let last_seen = self.last_seen.get();
        let updated = spawn_blocking(move || file::update(&path, &own, &changes, last_seen)).await?;
        Ok(updated?)
    }

    /// Forgets the changes that were written. One that was recorded meanwhile is written next, and what the file says now
    /// does not undo it.
    fn remove_pending(&self, written: &BTreeMap<String, OverrideState>) {
        self.pending.borrow_mut().retain(|server, state| written.get(server) != Some(state));
    }

    /// Logs the first of several failures that follow each other.
    fn on_failure(&self, error: &SynchronizeError) {
        let failed_before = self.write_failed.replace(true);
        if !failed_before {
            warn!(self.log, "operator overrides not written"; "reason" => %error);
        }
    }

    /// Applies the overrides that the file has and this process lacks, and ends those that the file lacks; `stored` is
    /// sorted. Servers with a pending change are left as they are.
    fn apply_stored(&self, stored: &[String]) {
        let own = self.dispatcher.offline_servers();
        for server in stored {
            if own.binary_search(server).is_err() && !self.is_pending(server) {
                self.log_change_of_other_process(server, OverrideState::Offline);
                self.dispatcher.restore_override(server);
            }
        }
        for server in &own {
            if stored.binary_search(server).is_err() && !self.is_pending(server) {
                self.log_change_of_other_process(server, OverrideState::Online);
                // The server was offline here, so that it is known.
                let _ = self.dispatcher.bring_online(server);
            }
        }
    }

    fn log_change_of_other_process(&self, server: &str, state: OverrideState) {
        info!(self.log, "operator override written by the other process"; "server" => server,
            "state" => state.label());
    }
}

#[cfg(test)]
mod tests;
