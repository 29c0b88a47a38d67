//! Operators' calls that take a server offline and bring it online again. No I/O: the daemon reads the calls and writes the
//! answers.
//!
//! A call is no change of discovery's: it neither answers a poll nor puts one off.

use juniperladder::EndpointUpdate;

use super::Dispatcher;
use crate::identifiers::server_id;
use crate::overrides::UnknownServer;
use crate::values::ListedServer;

impl Dispatcher {
    /// Takes a cache server offline: nothing new goes there from now on, whatever discovery says, until
    /// [`Dispatcher::bring_online`].
    ///
    /// # Errors
    /// The server has never been listed.
    pub fn take_offline(&self, name: &str) -> Result<(), UnknownServer> {
        let now = self.clock().now();
        let overridden = self.state.borrow_mut().overrides.take_offline(server_id(name), name, now)?;
        self.apply_override(overridden);
        Ok(())
    }

    /// Takes a server offline as an earlier process had it.
    pub fn restore_override(&self, name: &str) {
        let now = self.clock().now();
        let overridden = self.state.borrow_mut().overrides.restore(server_id(name), name, now);
        self.apply_override(overridden);
    }

    /// Brings a server online again: it serves as discovery has it, warming up as one that has just started.
    ///
    /// # Errors
    /// The server is not offline and has never been listed.
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
