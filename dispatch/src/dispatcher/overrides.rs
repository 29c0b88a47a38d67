//! Operator overrides: take a server offline and bring it online again. This module does no I/O: the daemon reads the
//! operators' calls and writes the answers to them.
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
    /// The server is neither offline nor among the servers remembered from discovery's lists.
    pub fn take_offline(&self, name: &str) -> Result<(), UnknownServer> {
        let now = self.clock().now();
        let updated_server = self.state.borrow_mut().overrides.take_offline(server_id(name), name, now)?;
        self.apply_override(updated_server);
        Ok(())
    }

    /// Takes a server offline again after a restart, as the override that an earlier process stored says.
    pub fn restore_override(&self, name: &str) {
        let now = self.clock().now();
        let updated_server = self.state.borrow_mut().overrides.restore(server_id(name), name, now);
        self.apply_override(updated_server);
    }

    /// Brings a server online again: its state is again the one that discovery reports, and it goes through slow start
    /// like a server that has just started.
    ///
    /// # Errors
    /// The server is neither offline nor among the servers remembered from discovery's lists.
    pub fn bring_online(&self, name: &str) -> Result<(), UnknownServer> {
        let now = self.clock().now();
        let updated_server = self.state.borrow_mut().overrides.bring_online(server_id(name), now)?;
        self.apply_override(updated_server);
        Ok(())
    }

    /// The names of the servers that operators have taken offline, sorted.
    pub fn offline_servers(&self) -> Vec<String> {
        self.state.borrow().overrides.offline_servers()
    }

    fn apply_override(&self, updated_server: Option<ListedServer>) {
        if let Some(server) = updated_server {
            let mut state = self.state.borrow_mut();
            self.apply_endpoints(&mut state, EndpointUpdate::OperatorOverride, &[server]);
        }
    }
}

#[cfg(test)]
mod tests;
