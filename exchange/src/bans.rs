//! Cache hosts out by hand: what operators have banned, laid over every list that discovery tells.
//!
//! No I/O and no clock: the exchange asks, this answers.

use juniperladder::{ServerId, State};
use rustc_hash::{FxHashMap, FxHashSet};

use crate::values::Host;

/// The id of a host that has not been listed, and is not banned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NeverListed;

/// The bans and the last word of discovery on each listed host.
#[derive(Debug, Default)]
pub struct Bans {
    banned: FxHashSet<ServerId>,
    names: FxHashMap<ServerId, String>,
    listed: FxHashMap<ServerId, Host>,
}

impl Bans {
    /// Takes discovery's news in and returns them as the module is to see them: a banned host drains.
    pub fn over(&mut self, replace: bool, hosts: &[Host]) -> Vec<Host> {
        if replace {
            self.listed.clear();
        }
        for host in hosts {
            if host.entry.state == State::Deleted {
                self.listed.remove(&host.entry.server);
            } else {
                self.listed.insert(host.entry.server, host.clone());
            }
        }
        hosts.iter().map(|host| self.seen(host)).collect()
    }

    fn seen(&self, host: &Host) -> Host {
        let mut host = host.clone();
        if self.banned.contains(&host.entry.server) && host.entry.state == State::Serving {
            host.entry.state = State::Draining;
        }
        host
    }

    /// Bans a host; the change for the module if it is listed now. An id never listed is refused, unless it
    /// comes from a file that an earlier process left (`known` false), which is taken as it is.
    pub fn ban(
        &mut self,
        server: ServerId,
        name: &str,
        must_be_listed: bool,
    ) -> Result<Option<Host>, NeverListed> {
        let listed = self.listed.get(&server);
        if must_be_listed && listed.is_none() && !self.banned.contains(&server) {
            return Err(NeverListed);
        }
        self.banned.insert(server);
        self.names.insert(server, name.to_owned());
        Ok(listed.map(|host| self.seen(host)))
    }

    /// Ends a ban; the change for the module if the host is listed. A host neither banned nor listed is
    /// refused.
    pub fn unban(&mut self, server: ServerId) -> Result<Option<Host>, NeverListed> {
        let was = self.banned.remove(&server);
        self.names.remove(&server);
        match self.listed.get(&server) {
            Some(host) => Ok(Some(host.clone())),
            None if was => Ok(None),
            None => Err(NeverListed),
        }
    }

    /// Whether this host is banned.
    pub fn banned(&self, server: ServerId) -> bool {
        self.banned.contains(&server)
    }

    /// The names of the banned hosts, sorted.
    pub fn names(&self) -> Vec<String> {
        let mut names: Vec<String> = self.names.values().cloned().collect();
        names.sort();
        names
    }

    /// The hosts listed now, as discovery tells them.
    pub fn listed(&self) -> impl Iterator<Item = &Host> {
        self.listed.values()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use juniperladder::{Entry, Micros};

    fn host(server: u64, state: State) -> Host {
        let entry = Entry {
            server: ServerId(server),
            zone: 0,
            kind: 0,
            cell: 0,
            state,
            weight: 1.0,
            started: Micros(0),
        };
        Host { entry, address: None }
    }

    #[test]
    fn a_ban_outlives_what_discovery_says_until_it_is_called_back() {
        let mut bans = Bans::default();
        assert!(bans.ban(ServerId(7), "s-7", true).is_err(), "never listed");
        bans.over(true, &[host(7, State::Serving), host(8, State::Serving)]);
        let told = bans.ban(ServerId(7), "s-7", true).unwrap().unwrap();
        assert_eq!(told.entry.state, State::Draining);
        assert!(bans.ban(ServerId(7), "s-7", true).is_ok(), "a second call is the same");
        // Discovery says the host serves, in whole lists and in changes alike: it still drains.
        for replace in [true, false] {
            let seen = bans.over(replace, &[host(7, State::Serving), host(8, State::Serving)]);
            assert_eq!(seen[0].entry.state, State::Draining);
            assert_eq!(seen[1].entry.state, State::Serving);
        }
        assert_eq!(bans.names(), ["s-7"]);
        let back = bans.unban(ServerId(7)).unwrap().unwrap();
        assert_eq!(back.entry.state, State::Serving);
        assert_eq!(bans.over(false, &[host(7, State::Serving)])[0].entry.state, State::Serving);
        assert!(bans.unban(ServerId(9)).is_err());
    }

    #[test]
    fn a_ban_from_an_earlier_process_holds_before_the_host_is_listed() {
        let mut bans = Bans::default();
        assert!(bans.ban(ServerId(7), "s-7", false).unwrap().is_none());
        assert_eq!(bans.over(true, &[host(7, State::Serving)])[0].entry.state, State::Draining);
    }
}
