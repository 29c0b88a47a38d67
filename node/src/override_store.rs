//! The store of operator overrides: writes them to a file, and reads those of another process from it.
//!
//! While one process of a balancer replaces another, both run and share the file. Guarantee: while both run, an override
//! set at either takes effect at both within two [`FILE_CHECK_INTERVAL`]s, and a process started later restores all
//! overrides. An override takes effect in its own process whether it could be written or not.
//!
//! A disk may stall for a second. The file is read and written on the runtime's blocking threads, so that neither client
//! requests nor admin calls wait for it. A failed synchronization is retried at every interval; of consecutive failures
//! only the first is logged.

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

/// How often the file is checked for changes by another process. An override has to take effect at both processes within
/// a second.
const FILE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// The state of a server as set by an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverrideState {
    /// The server gets no new requests, whatever its state in discovery.
    Offline,
    /// No override: the server's state in discovery applies.
    Online,
}

impl OverrideState {
    /// The name in the log.
    pub fn label(self) -> &'static str {
        match self {
            OverrideState::Offline => "offline",
            OverrideState::Online => "online",
        }
    }
}

/// Identifies a change of an override; a later change has a greater id.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ChangeId(u64);

impl ChangeId {
    /// The id of the following change.
    pub fn next(self) -> ChangeId {
        ChangeId(self.0 + 1)
    }
}

/// Why the overrides in memory and in the file could not be synchronized.
#[derive(Debug, Error)]
enum SynchronizeError {
    #[error(transparent)]
    File(#[from] OverrideFileError),
    #[error("the file task panicked or was cancelled: {0}")]
    Task(#[from] JoinError),
}

/// Synchronizes the overrides of one process with the file, and holds the changes that are not in the file yet.
pub struct OverrideStore {
    dispatcher: Rc<Dispatcher>,
    path: PathBuf,
    /// Changes that are not in the file yet, by server name.
    pending: RefCell<BTreeMap<String, OverrideState>>,
    /// The version of the file whose overrides were last applied.
    last_seen: Cell<Option<FileVersion>>,
    last_change: Cell<ChangeId>,
    /// The last change that was written or whose write failed.
    last_attempted: watch::Sender<ChangeId>,
    change_recorded: Notify,
    /// Whether the last synchronization with the file failed.
    last_synchronization_failed: Cell<bool>,
    found_override_file: bool,
    log: Logger,
}

impl OverrideStore {
    /// The path of the override file of the balancer with this name.
    pub fn path_for(balancer: &str) -> PathBuf {
        std::env::temp_dir().join(format!("juniperladder-{}.bans", file::file_name_part(balancer)))
    }

    /// Opens the store and restores the overrides in the file, if an earlier process left one.
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
            last_synchronization_failed: Cell::new(false),
            found_override_file: stored.is_ok(),
            log,
        })
    }

    /// Whether an earlier process of the same balancer name left an override file. That process may have ended long ago.
    pub fn found_override_file(&self) -> bool {
        self.found_override_file
    }

    /// Records an operator's change and schedules its write. Returns the id for [`OverrideStore::wait_until_attempted`].
    pub fn record(&self, server: &str, state: OverrideState) -> ChangeId {
        self.pending.borrow_mut().insert(server.to_owned(), state);
        let change = self.last_change.get().next();
        self.last_change.set(change);
        self.change_recorded.notify_one();
        change
    }

    /// Waits until a change has been written or its write has failed; [`OverrideStore::is_pending`] distinguishes the two.
    pub async fn wait_until_attempted(&self, change: ChangeId) {
        // The channel cannot be closed while `self` is borrowed, because the store owns the sender.
        let _ = self.last_attempted.subscribe().wait_for(|attempted| *attempted >= change).await;
    }

    /// Whether the last change of this server is not in the file yet.
    pub fn is_pending(&self, server: &str) -> bool {
        self.pending.borrow().contains_key(server)
    }

    /// Keeps this process and the file synchronized; never returns.
    pub async fn run(&self) {
        loop {
            self.synchronize().await;
            let _ = timeout(FILE_CHECK_INTERVAL, self.change_recorded.notified()).await;
        }
    }

    /// Writes the pending changes to the file, and applies changes that another process made to it.
    async fn synchronize(&self) {
        let last_change = self.last_change.get();
        let changes = self.pending.borrow().clone();
        match self.update_file(changes.clone()).await {
            Ok(content) => {
                self.last_synchronization_failed.set(false);
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
        let own_offline = self.dispatcher.offline_servers();
        let last_seen = self.last_seen.get();
        let updated = spawn_blocking(move || file::update(&path, &own_offline, &changes, last_seen)).await?;
        Ok(updated?)
    }

    /// Removes the changes that were written. A change recorded during the write stays pending, so that the file's content
    /// does not revert it, and is written next.
    fn remove_pending(&self, written: &BTreeMap<String, OverrideState>) {
        self.pending.borrow_mut().retain(|server, state| written.get(server) != Some(state));
    }

    /// Logs the first of several consecutive failures.
    fn on_failure(&self, error: &SynchronizeError) {
        let failed_before = self.last_synchronization_failed.replace(true);
        if !failed_before {
            warn!(self.log, "failed to synchronize operator overrides with their file"; "reason" => %error);
        }
    }

    /// Adds the overrides that only the file has, and removes those that only this process has. Servers with a pending
    /// change are skipped. `stored` is sorted.
    fn apply_stored(&self, stored: &[String]) {
        let own_offline = self.dispatcher.offline_servers();
        for server in stored {
            if own_offline.binary_search(server).is_err() && !self.is_pending(server) {
                self.log_change_of_other_process(server, OverrideState::Offline);
                self.dispatcher.restore_override(server);
            }
        }
        for server in &own_offline {
            if stored.binary_search(server).is_err() && !self.is_pending(server) {
                self.log_change_of_other_process(server, OverrideState::Online);
                // This cannot fail with an unknown server: the server was offline here, so it is known.
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
