//! The signals that the daemon handles.

use tokio::signal::unix::{signal, Signal, SignalKind};

use crate::error::StartError;
use crate::transient_errors::retry_transient_blocking;

/// The handled signals.
pub(crate) struct Signals {
    /// SIGTERM and SIGINT: shut down gracefully.
    pub(crate) termination: TerminationSignals,
    /// SIGUSR1: log the counters and the limits.
    pub(crate) report: Signal,
    /// SIGHUP: reload the configuration.
    pub(crate) reload: Signal,
}

/// The signals that end the daemon.
pub(crate) struct TerminationSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl TerminationSignals {
    /// Waits for either signal.
    pub(crate) async fn recv(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

impl Signals {
    /// Installs the handlers of all handled signals.
    ///
    /// # Errors
    /// A handler cannot be installed.
    pub(crate) fn install() -> Result<Signals, StartError> {
        Ok(Signals {
            termination: TerminationSignals {
                terminate: install(SignalKind::terminate())?,
                interrupt: install(SignalKind::interrupt())?,
            },
            report: install(SignalKind::user_defined1())?,
            reload: install(SignalKind::hangup())?,
        })
    }
}

fn install(kind: SignalKind) -> Result<Signal, StartError> {
    retry_transient_blocking(|| signal(kind)).map_err(StartError::Signals)
}
