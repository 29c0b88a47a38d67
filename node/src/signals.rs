//! The signals that the daemon obeys.

use tokio::signal::unix::{signal, Signal, SignalKind};

use crate::error::StartError;
use crate::transient_errors::retry_transient_blocking;

/// The caught signals.
pub(crate) struct Signals {
    /// SIGTERM and SIGINT: end.
    pub(crate) end: EndSignals,
    /// SIGUSR1: write the counters and the limits to the log.
    pub(crate) report: Signal,
    /// SIGHUP: read the configuration again.
    pub(crate) reload: Signal,
}

/// The signals that end the daemon.
pub(crate) struct EndSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl EndSignals {
    /// Waits for one of them.
    pub(crate) async fn recv(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

impl Signals {
    /// Catches all signals that the daemon obeys.
    ///
    /// # Errors
    /// The system does not let one be caught.
    pub(crate) fn catch() -> Result<Signals, StartError> {
        Ok(Signals {
            end: EndSignals {
                terminate: catch(SignalKind::terminate())?,
                interrupt: catch(SignalKind::interrupt())?,
            },
            report: catch(SignalKind::user_defined1())?,
            reload: catch(SignalKind::hangup())?,
        })
    }
}

fn catch(kind: SignalKind) -> Result<Signal, StartError> {
    retry_transient_blocking(|| signal(kind)).map_err(StartError::Signals)
}
