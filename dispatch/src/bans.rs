//! Cache servers out by hand: what operators have banned, laid over every list that discovery tells.
//!
//! A ban is kept by the server's id, outside the list's entries: no list, change or reset touches it. No I/O and
//! no clock: the dispatcher asks, this answers.

use std::collections::VecDeque;

use juniperladder::{EndpointState, Micros, ServerId};
use rustc_hash::{FxHashMap, FxHashSet};

use crate::values::ListedServer;

/// How many ids are remembered of servers that have been listed; beyond it the oldest are forgotten.
const REMEMBERED: usize = 16_384;

/// The id of a server that has not been listed, and is not banned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NeverListed;

/// One ban.
#[derive(Debug)]
struct Ban {
    name: String,
    since: Micros,
}

/// The bans and the last word of discovery on each listed server.
#[derive(Debug, Default)]
pub struct Bans {
    banned: FxHashMap<ServerId, Ban>,
    /// Servers whose ban has ended: since when it had held, and when it ended. Until discovery tells of a start
    /// since the ban began, the server is taken to have started when it ended.
    back: FxHashMap<ServerId, (Micros, Micros)>,
    listed: FxHashMap<ServerId, ListedServer>,
    /// The ids that have ever been listed, and the same in the order in which they were first.
    known: FxHashSet<ServerId>,
    order: VecDeque<ServerId>,
}

impl Bans {
    /// Takes discovery's news in and returns them as the decisions is to see them: a banned server drains.
    pub fn over(&mut self, replace: bool, servers: &[ListedServer]) -> Vec<ListedServer> {
        if replace {
            self.listed.clear();
        }
        for listed_server in servers {
            let server = listed_server.endpoint.server;
            self.remember(server);
            if self.back.get(&server).is_some_and(|(since, _)| listed_server.endpoint.started >= *since) {
                self.back.remove(&server);
            }
            if listed_server.endpoint.state == EndpointState::Deleted {
                self.listed.remove(&server);
            } else {
                self.listed.insert(server, listed_server.clone());
            }
        }
        servers.iter().map(|listed_server| self.seen(listed_server)).collect()
    }

    fn remember(&mut self, server: ServerId) {
        if self.known.insert(server) {
            self.order.push_back(server);
            if self.order.len() > REMEMBERED {
                if let Some(oldest) = self.order.pop_front() {
                    self.known.remove(&oldest);
                    self.back.remove(&oldest);
                }
            }
        }
    }

    fn seen(&self, listed_server: &ListedServer) -> ListedServer {
        let mut listed_server = listed_server.clone();
        let server = listed_server.endpoint.server;
        if self.banned(server) && listed_server.endpoint.state == EndpointState::Serving {
            listed_server.endpoint.state = EndpointState::Draining;
        }
        if let Some((_, ended)) = self.back.get(&server) {
            listed_server.endpoint.started = listed_server.endpoint.started.max(*ended);
        }
        listed_server
    }

    /// Bans a server; the change for the decisions if it is listed now. An id never listed is refused, unless it
    /// comes from an earlier process (`must_be_known` false), whose word is taken.
    pub fn ban(
        &mut self,
        server: ServerId,
        name: &str,
        now: Micros,
        must_be_known: bool,
    ) -> Result<Option<ListedServer>, NeverListed> {
        if must_be_known && !self.known.contains(&server) && !self.banned(server) {
            return Err(NeverListed);
        }
        self.banned.entry(server).or_insert_with(|| Ban { name: name.to_owned(), since: now });
        Ok(self.listed.get(&server).map(|listed_server| self.seen(listed_server)))
    }

    /// Ends a ban; the change for the decisions if the server is listed. Whatever an operator did to the server
    /// meanwhile, it comes back as one that has just started unless discovery has told when it did. An id that
    /// is neither banned nor was ever listed is refused.
    pub fn unban(&mut self, server: ServerId, now: Micros) -> Result<Option<ListedServer>, NeverListed> {
        let Some(ban) = self.banned.remove(&server) else {
            return if self.known.contains(&server) { Ok(None) } else { Err(NeverListed) };
        };
        let told =
            self.listed.get(&server).is_some_and(|listed_server| listed_server.endpoint.started >= ban.since);
        if !told {
            self.back.insert(server, (ban.since, now));
        }
        Ok(self.listed.get(&server).map(|listed_server| self.seen(listed_server)))
    }

    /// Whether this server is banned.
    pub fn banned(&self, server: ServerId) -> bool {
        self.banned.contains_key(&server)
    }

    /// The names of the banned servers, sorted.
    pub fn names(&self) -> Vec<String> {
        let mut names: Vec<String> = self.banned.values().map(|ban| ban.name.clone()).collect();
        names.sort();
        names
    }

    /// The servers listed now, as discovery tells them.
    pub fn listed(&self) -> impl Iterator<Item = &ListedServer> {
        self.listed.values()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use juniperladder::Endpoint;

    const NOW: Micros = Micros(50_000_000);

    fn listed_server(server: u64, state: EndpointState, started: u64) -> ListedServer {
        let endpoint = Endpoint {
            server: ServerId(server),
            zone: 0,
            kind: 0,
            cell: 0,
            state,
            weight: 1.0,
            started: Micros(started),
        };
        ListedServer { endpoint, address: None }
    }

    fn serving(server: u64) -> ListedServer {
        listed_server(server, EndpointState::Serving, 0)
    }

    #[test]
    fn a_ban_outlives_what_discovery_says_until_it_is_called_back() {
        let mut bans = Bans::default();
        assert!(bans.ban(ServerId(7), "s-7", NOW, true).is_err(), "never listed");
        bans.over(true, &[serving(7), serving(8)]);
        let told = bans.ban(ServerId(7), "s-7", NOW, true).unwrap().unwrap();
        assert_eq!(told.endpoint.state, EndpointState::Draining);
        assert!(bans.ban(ServerId(7), "s-7", NOW, true).is_ok(), "a second call is the same");
        // Discovery says the server serves, in whole lists and in changes alike, that it is gone, that it has
        // started anew, and has it in no list at all: it still drains whenever it is named.
        for replace in [true, false] {
            let seen = bans.over(replace, &[serving(7), serving(8)]);
            assert_eq!(
                (seen[0].endpoint.state, seen[1].endpoint.state),
                (EndpointState::Draining, EndpointState::Serving)
            );
            bans.over(false, &[listed_server(7, EndpointState::Deleted, 0)]);
            let anew = listed_server(7, EndpointState::Serving, NOW.0 + 1);
            assert_eq!(bans.over(false, &[anew])[0].endpoint.state, EndpointState::Draining);
            bans.over(true, &[serving(8)]);
            assert!(bans.banned(ServerId(7)) && bans.listed().count() == 1);
        }
        assert_eq!(bans.over(false, &[serving(7)])[0].endpoint.state, EndpointState::Draining);
        assert_eq!(bans.names(), ["s-7"]);
        let back = bans.unban(ServerId(7), NOW).unwrap().unwrap();
        assert_eq!(back.endpoint.state, EndpointState::Serving);
        assert_eq!(bans.over(false, &[serving(7)])[0].endpoint.state, EndpointState::Serving);
        assert!(bans.unban(ServerId(9), NOW).is_err());
    }

    /// An id that was listed once is a server that operators know, though the list lacks it at this moment.
    #[test]
    fn a_host_that_is_gone_from_the_list_can_be_banned() {
        let mut bans = Bans::default();
        bans.over(true, &[serving(7)]);
        bans.over(false, &[listed_server(7, EndpointState::Deleted, 0)]);
        assert!(bans.unban(ServerId(7), NOW).unwrap().is_none(), "nothing to end, and no harm");
        assert!(bans.ban(ServerId(7), "s-7", NOW, true).unwrap().is_none());
        assert_eq!(bans.over(false, &[serving(7)])[0].endpoint.state, EndpointState::Draining);
        // What is remembered for this is bounded.
        (0..2 * REMEMBERED as u64).for_each(|n| drop(bans.over(true, &[serving(100 + n)])));
        assert_eq!((bans.known.len(), bans.order.len()), (REMEMBERED, REMEMBERED));
        assert!(bans.banned(ServerId(7)), "a ban is not forgotten with that");
    }

    /// While a server is out it is restarted: it comes back cold, whether discovery has told that or not yet.
    #[test]
    fn a_host_comes_back_as_one_that_has_just_started() {
        let later = Micros(NOW.0 + 6_000_000);
        for (told, want) in [(0, later.0), (NOW.0 + 2, NOW.0 + 2)] {
            let mut bans = Bans::default();
            bans.over(true, &[serving(7)]);
            bans.ban(ServerId(7), "s-7", NOW, true).unwrap();
            bans.over(false, &[listed_server(7, EndpointState::Serving, told)]);
            let back = bans.unban(ServerId(7), later).unwrap().unwrap();
            assert_eq!(back.endpoint.started, Micros(want));
            // A whole list that knows nothing new does not make it warm.
            assert_eq!(
                bans.over(true, &[listed_server(7, EndpointState::Serving, told)])[0].endpoint.started,
                Micros(want)
            );
            // Discovery's word on the start, once it comes, is better than the guess.
            let truth = listed_server(7, EndpointState::Serving, NOW.0 + 1_000_000);
            assert_eq!(bans.over(false, &[truth])[0].endpoint.started, Micros(NOW.0 + 1_000_000));
            assert!(bans.back.is_empty());
        }
    }

    #[test]
    fn a_ban_from_an_earlier_process_holds_before_the_host_is_listed() {
        let mut bans = Bans::default();
        assert!(bans.ban(ServerId(7), "s-7", NOW, false).unwrap().is_none());
        assert_eq!(bans.over(true, &[serving(7)])[0].endpoint.state, EndpointState::Draining);
    }
}
