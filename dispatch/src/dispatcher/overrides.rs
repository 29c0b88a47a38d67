//! Operator overrides: take a server offline and bring it online again. No I/O: the daemon reads the calls and writes
//! the answers.
//!
//! An override is not an update from discovery: it neither answers a poll nor postpones one.

use juniperladder::EndpointUpdate;

use super::Dispatcher;
use crate::identifiers::server_id;
use crate::overrides::UnknownServer;
use crate::values::ListedServer;

impl Dispatcher {
    /// Takes a cache server offline: no new attempts are sent to it, whatever discovery reports, until
    /// [`Dispatcher::bring_online`].
    ///
    /// # Errors
    /// The server is not offline, and no listing of it is remembered.
    pub fn take_offline(&self, name: &str) -> Result<(), UnknownServer> {
        let now = self.clock().now();
        let overridden = self.state.borrow_mut().overrides.take_offline(server_id(name), name, now)?;
        self.apply_override(overridden);
        Ok(())
    }

    /// Restores the override of an earlier process that took this server offline.
    pub fn restore_override(&self, name: &str) {
        let now = self.clock().now();
        let overridden = self.state.borrow_mut().overrides.restore(server_id(name), name, now);
        self.apply_override(overridden);
    }

    /// Brings a server online again: its state is again the one that discovery reports, and it warms up like a server
    /// that has just started.
    ///
    /// # Errors
    /// The server is not offline, and no listing of it is remembered.
    pub fn bring_online(&self, name: &str) -> Result<(), UnknownServer> {
        let now = self.clock().now();
        let overridden = self.state.borrow_mut().overrides.bring_online(server_id(name), now)?;
        self.apply_override(overridden);
        Ok(())
    }

    /// The names of the servers that operators have taken offline, sorted.
    pub fn offline_servers(&self) -> Vec<String> {
        self.state.borrow().overrides.offline_servers()
    }

    fn apply_override(&self, overridden: Option<ListedServer>) {
        if let Some(server) = overridden {
            let mut state = self.state.borrow_mut();
            self.apply_endpoints(&mut state, EndpointUpdate::OperatorOverride, &[server]);
        }
    }
}

#[cfg(test)]
mod tests;
