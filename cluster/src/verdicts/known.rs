//! What is known of one server's start, and what follows from it: a join, a digest, who counts, and how many speak against it.

use std::collections::{BTreeMap, BTreeSet};

use super::message::Entry;
use crate::cold::{mix, Start};
use juniperladder::Micros;

/// Entries of silence that are kept of one server and zone: the newest. Of either kind of answer it is one.
const SILENT_KEPT: usize = 4;
/// Zones of which entries are kept of one server.
const ZONES_KEPT: usize = 4;
/// Of so few servers one that speaks against most of them may be right.
const FEW: usize = 2;

/// What is known of servers, by their starts.
pub(super) type Servers = BTreeMap<Start, Vec<Known>>;

/// One witness's entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Known {
    pub(super) witness: u32,
    pub(super) zone: u32,
    pub(super) stamp: Micros,
    /// The earliest that it can have been seen, by the own clock.
    pub(super) born: Micros,
    pub(super) silent: bool,
    /// An answer where its own zone had found the server silent: news of the server, not of a path.
    pub(super) back: bool,
}

impl Known {
    /// What a later state of the same witness is compared by.
    fn rank(&self) -> (Micros, Micros) {
        (self.stamp, self.born)
    }

    /// It as it is told to another member now.
    pub(super) fn entry(&self, start: Start, now: Micros) -> Entry {
        let Known { witness, zone, stamp, born, silent, back } = *self;
        Entry { start, witness, zone, stamp, age: now.saturating_sub(born), silent, back }
    }
}

/// Takes an entry in; whether it says something that was not known. The newest stamp of a witness wins; of one stamp the tighter
/// proof of its age. What a later answer in the same zone has cleared is dropped, and what is not among the newest: neither can
/// act again, so that the order in which entries come makes no difference.
pub(super) fn join(all: &mut Vec<Known>, one: Known) -> bool {
    let mut news = true;
    match all.iter_mut().find(|known| known.witness == one.witness) {
        Some(known) if known.rank() >= one.rank() => return false,
        Some(known) => {
            news = known.stamp < one.stamp;
            *known = one;
        }
        None => all.push(one),
    }
    // By the stamps' order where times are the same, so that the order of arrival does not matter.
    all.sort_unstable_by_key(|one| (std::cmp::Reverse(one.born), one.witness));
    let mut kept: BTreeMap<(u32, bool, bool), usize> = BTreeMap::new();
    let mut zones: BTreeSet<u32> = BTreeSet::new();
    all.retain(|one| {
        let room = zones.contains(&one.zone) || zones.len() < ZONES_KEPT;
        if room {
            zones.insert(one.zone);
        }
        let cleared =
            one.silent && [false, true].iter().any(|back| kept.contains_key(&(one.zone, false, *back)));
        let count = kept.entry((one.zone, one.silent, one.back)).or_default();
        *count += 1;
        room && !cleared && *count <= if one.silent { SILENT_KEPT } else { 1 }
    });
    news && all.contains(&one)
}

/// All that is held, in brief: the same for the same entries, whatever their ages were proven to be.
pub(super) fn digest(servers: &Servers) -> u64 {
    let mut sum: u64 = 0;
    for (start, all) in servers {
        let server = mix(start.server ^ mix(start.started.0));
        for one in all {
            sum ^= mix(server ^ mix(one.stamp.0 ^ (u64::from(one.witness) << 40)));
        }
    }
    sum
}

/// Whether a server's words are worth haste: at least so many of them, or news that it is back.
pub(super) fn is_hot(all: &[Known], hasty: usize) -> bool {
    uncleared(all, &BTreeSet::new()).count() >= hasty || all.iter().any(|one| one.back)
}

/// Whether enough speak against a server that is worth haste, or none does any more: who holds it so needs no more words.
pub(super) fn is_decided(all: &[Known], witnesses: usize) -> bool {
    let words = uncleared(all, &BTreeSet::new()).count();
    words == 0 || words >= witnesses
}

/// What is worth haste, in brief: a server that enough speak against is one thing, however many do and whenever they last said so.
pub(super) fn hot_digest(servers: &Servers, hasty: usize, witnesses: usize) -> u64 {
    let none = BTreeSet::new();
    let mut sum: u64 = 0;
    for (start, all) in servers.iter().filter(|(_, all)| is_hot(all, hasty)) {
        let server = mix(start.server ^ mix(start.started.0));
        let words: Vec<&Known> = uncleared(all, &none).collect();
        if words.len() >= witnesses {
            sum ^= server;
        } else {
            words.iter().for_each(|one| sum ^= mix(server ^ mix(one.stamp.0 ^ u64::from(one.witness))));
        }
        if words.is_empty() {
            sum ^= mix(!server);
        }
    }
    sum
}

/// Witnesses that speak against more than half of the servers: they have lost their own link.
pub(super) fn refused(servers: &Servers, listed: usize) -> BTreeSet<u32> {
    let mut against: BTreeMap<u32, usize> = BTreeMap::new();
    for one in servers.values().flatten().filter(|one| one.silent) {
        *against.entry(one.witness).or_default() += 1;
    }
    let most = (listed / 2).max(FEW);
    against.into_iter().filter(|(_, count)| *count > most).map(|(witness, _)| witness).collect()
}

/// Words against a server that no answer has cleared: an answer clears what is older of its own zone, and of other zones where it
/// is news of the server; else it tells of its own path alone.
fn uncleared<'a>(all: &'a [Known], refused: &'a BTreeSet<u32>) -> impl Iterator<Item = &'a Known> {
    let clears = |sound: &Known, one: &Known| {
        !sound.silent && sound.born > one.born && (sound.zone == one.zone || sound.back)
    };
    all.iter().filter(move |one| {
        one.silent && !refused.contains(&one.witness) && !all.iter().any(|sound| clears(sound, one))
    })
}

/// Whether there is a word against a server that no answer has cleared.
pub(super) fn spoken_against(all: &[Known]) -> bool {
    uncleared(all, &BTreeSet::new()).next().is_some()
}

/// How many speak against a server as far as it concerns a member of this zone; zero where it is not to be passed by. Once it is
/// passed by (`latched`), one uncleared word keeps it so.
pub(super) fn against(
    all: &[Known],
    refused: &BTreeSet<u32>,
    zone: u32,
    witnesses: usize,
    latched: bool,
) -> usize {
    let words: Vec<&Known> = uncleared(all, refused).collect();
    let own = words.iter().filter(|one| one.zone == zone).count();
    let zones: BTreeSet<u32> = words.iter().map(|one| one.zone).collect();
    // Who has heard it answer in the own zone knows better than other zones.
    let answers = all.iter().any(|one| !one.silent && one.zone == zone);
    let elsewhere = if answers && own == 0 { 0 } else { words.len() };
    let needed = if latched { 1 } else { witnesses };
    let raised = own >= needed || (elsewhere >= needed && (latched || zones.len() >= 2));
    if raised {
        own.max(elsewhere)
    } else {
        0
    }
}
