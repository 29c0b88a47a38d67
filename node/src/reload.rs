//! The reload of the configuration on a signal: the file is read again, and discovery is called at the address that it
//! names from then on. What else it says takes effect at the next start.
//!
//! Guarantee: a file that cannot be read or used changes nothing; the log says why.

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

/// Why a configuration is not taken.
#[derive(Debug, Error)]
enum ReloadError {
    /// The configuration came from no file.
    #[error("the configuration was not read from a file")]
    NoFile,
    /// The file cannot be used.
    #[error("{0}")]
    Configuration(Box<dyn std::error::Error + Send + Sync>),
}

/// Reads the configuration's file again.
pub(crate) struct Reloader {
    path: Option<OsString>,
    discovery: watch::Sender<SocketAddr>,
    dispatcher: Rc<Dispatcher>,
    log: Logger,
}

impl Reloader {
    /// A reloader of the file at this path that sends discovery's address on.
    pub(crate) fn new(
        path: Option<OsString>,
        discovery: watch::Sender<SocketAddr>,
        dispatcher: Rc<Dispatcher>,
        log: Logger,
    ) -> Reloader {
        Reloader { path, discovery, dispatcher, log }
    }

    /// Reads the file and puts discovery's address in force.
    pub(crate) async fn run(self: Rc<Self>) {
        match self.read().await {
            Ok(config) => {
                self.set_discovery(config.discovery_address);
                increment(&self.dispatcher.counters().reloads);
                info!(self.log, "configuration read"; "discovery" => self.discovery.borrow().to_string());
            }
            // What is in force stays so: a file half-written or mistyped must not stop the service.
            Err(problem) => {
                error!(self.log, "configuration not taken"; "problem" => problem.to_string());
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
