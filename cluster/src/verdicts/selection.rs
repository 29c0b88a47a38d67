//! Which servers are passed by: those that enough speak against, within what may be passed by at all, and those that are cleared
//! until each member's own wait for them is over.

use std::collections::BTreeMap;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::known::{self, Servers};
use super::message::Terms;
use crate::cold::Start;
use juniperladder::Micros;

/// The part of a zone's servers that is passed by at the most.
const OF_ZONE: f64 = 0.5;
/// The longest that a member waits until it uses a server again.
const APART: Micros = Micros::from_millis(400);

/// The servers that serve, by their numbers: when they started, and their zones.
pub(super) type Listed = BTreeMap<u64, (Micros, u32)>;

/// Servers that are passed by, and until when they stay so though others say that they answer.
pub(super) type PassedBy = BTreeMap<Start, Option<Micros>>;

/// What was decided.
#[derive(Debug)]
pub(super) struct Selection {
    pub(super) passed_by: PassedBy,
    /// Servers that would be, were it not for the most that may.
    pub(super) beyond: usize,
    /// Witnesses that count for nothing now.
    pub(super) refused: usize,
}

/// Decides anew, after what was passed by before.
pub(super) fn select(
    terms: &Terms,
    zone: u32,
    servers: &Servers,
    listed: &Listed,
    before: &PassedBy,
    now: Micros,
    rng: &mut ChaCha8Rng,
) -> Selection {
    let refused = known::refused(servers, listed.len());
    let mut ranked: Vec<(usize, Start)> = Vec::new();
    for (start, all) in servers {
        let latched = before.contains_key(start);
        let count = known::against(all, &refused, zone, terms.witnesses, latched);
        if count > 0 {
            ranked.push((count, *start));
        }
    }
    // Those that are passed by already stay before others that are as much spoken against.
    ranked.sort_by_key(|(count, start)| (!before.contains_key(start), usize::MAX - count, *start));
    let ranked = ranked.into_iter().map(|(_, start)| start);
    let (mut passed_by, beyond) = within_bounds(terms, ranked, listed);
    // What is cleared is used again after a wait that each draws for itself; what has run out, at once.
    for (start, until) in before {
        let held = servers.get(start).is_some_and(|all| !all.is_empty());
        let until = until.unwrap_or_else(|| now + Micros(rng.random_range(0..APART.0)));
        if held && !passed_by.contains_key(start) && now < until {
            passed_by.insert(*start, Some(until));
        }
    }
    Selection { passed_by, beyond, refused: refused.len() }
}

/// Of servers in the order in which they are to be passed by, those that may be, and how many may not.
fn within_bounds(terms: &Terms, ranked: impl Iterator<Item = Start>, listed: &Listed) -> (PassedBy, usize) {
    #[derive(Default)]
    struct Zone {
        servers: usize,
        passed_by: usize,
    }
    let most = (terms.most * listed.len() as f64) as usize;
    let mut zones: BTreeMap<u32, Zone> = BTreeMap::new();
    listed.values().for_each(|(_, zone)| zones.entry(*zone).or_default().servers += 1);
    let (mut passed_by, mut beyond) = (PassedBy::new(), 0);
    for start in ranked {
        // What is said of an earlier start, or of a server that is gone, concerns nobody any more.
        let Some((_, zone)) = listed.get(&start.server).filter(|(at, _)| *at == start.started) else {
            continue;
        };
        let zone = zones.entry(*zone).or_default();
        let fits_zone = (zone.passed_by + 1) as f64 <= OF_ZONE * zone.servers as f64;
        if passed_by.len() < most && fits_zone {
            zone.passed_by += 1;
            passed_by.insert(start, None);
        } else {
            beyond += 1;
        }
    }
    (passed_by, beyond)
}
