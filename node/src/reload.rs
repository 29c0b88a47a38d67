//! Reloads the configuration file on a signal and applies discovery's address. Other changed values take effect only at the
//! next start.
//!
//! Guarantee: a file that cannot be read or is invalid changes nothing; the reason is logged.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::rc::Rc;

use slog::{error, info, Logger};
use thiserror::Error;
use tokio::sync::watch;

use crate::config::Config;
use crate::counters::increment;
use crate::dispatcher::Dispatcher;
use crate::transient_errors::retry_transient;

/// Why a reload failed.
#[derive(Debug, Error)]
enum ReloadError {
    /// The configuration was not read from a file.
    #[error("the configuration was not read from a file")]
    NoFile,
    /// The file cannot be read or is invalid.
    #[error("{0}")]
    Configuration(Box<dyn std::error::Error + Send + Sync>),
}

/// Reloads the configuration file.
pub(crate) struct Reloader {
    path: Option<OsString>,
    discovery: watch::Sender<SocketAddr>,
    dispatcher: Rc<Dispatcher>,
    log: Logger,
}

impl Reloader {
    /// A reloader of the file at this path, which sends a changed address to `discovery`.
    pub(crate) fn new(
        path: Option<OsString>,
        discovery: watch::Sender<SocketAddr>,
        dispatcher: Rc<Dispatcher>,
        log: Logger,
    ) -> Reloader {
        Reloader { path, discovery, dispatcher, log }
    }

    /// Reads the file and applies discovery's address.
    pub(crate) async fn run(self: Rc<Self>) {
        match self.read().await {
            Ok(config) => {
                self.set_discovery(config.discovery_address);
                increment(&self.dispatcher.counters().reloads);
                info!(self.log, "configuration reloaded"; "discovery" => self.discovery.borrow().to_string());
            }
            // The previous configuration stays in use: a partly written or mistyped file must not stop the service.
            Err(problem) => {
                error!(self.log, "configuration reload failed"; "problem" => problem.to_string());
            }
        }
    }

    async fn read(&self) -> Result<Config, ReloadError> {
        let path = self.path.clone().ok_or(ReloadError::NoFile)?;
        let text = retry_transient(|| std::fs::read(&path)).await;
        Config::from_file_content(path, text).map_err(|error| ReloadError::Configuration(error.into()))
    }

    fn set_discovery(&self, address: SocketAddr) {
        self.discovery.send_if_modified(|current| {
            let is_changed = *current != address;
            *current = address;
            is_changed
        });
    }
}
