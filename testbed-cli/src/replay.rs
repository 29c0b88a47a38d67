//! `replay`: deals a run's sends to servers out anew, by other placements, and tells what of its unevenness comes from where:
//! chance, keys' popularity, placement. Then the fullest servers and the keys that fill them.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fs::File;
use std::path::Path;

use juniperladder_platform_model::experiment::Experiment;
use juniperladder_platform_model::rng::{mix_bits, seeded_rng, RngStream, SeededRng};
use rand::Rng;

use crate::exit::{KEPT, NOT_ALLOWED};

type Error = Box<dyn std::error::Error>;

/// The windows' length, as of the judge's spread.
const WINDOW_MS: f64 = 5_000.0;
/// A key is hot that brings more than this part of a server's fair load.
const HOT: f64 = 0.25;
/// What bounded load lets a server have of the mean.
const BOUND: f64 = 1.25;

/// One send that a server received.
#[derive(Clone, Copy)]
struct Begin {
    ms: f64,
    server: usize,
    key: u64,
}

/// Prints the replay of a run; servers of unlike weight are not told apart here.
pub fn replay(folder: &Path) -> u8 {
    match print(folder) {
        Ok(()) => KEPT,
        Err(e) => {
            eprintln!("{}: {e}; is it the folder of a run?", folder.display());
            NOT_ALLOWED
        }
    }
}

fn print(folder: &Path) -> Result<(), Error> {
    let experiment: Experiment = serde_json::from_reader(File::open(folder.join("experiment.json"))?)?;
    let servers = experiment.fleet.servers;
    let begins = begins(folder)?;
    let windows = windows(&begins, experiment.seconds);
    let fair = begins.len() as f64 / servers as f64;
    let mut shares: HashMap<u64, f64> = HashMap::new();
    begins.iter().for_each(|begin| *shares.entry(begin.key).or_default() += 1.0 / fair);
    let hot = |key: u64| shares[&key] > HOT;
    let carried: f64 = shares.values().filter(|share| **share > HOT).sum::<f64>() / servers as f64;
    let count = shares.values().filter(|share| **share > HOT).count();
    println!(
        "{} sends to {servers} hosts; {count} hot keys have {:.0}% of them",
        begins.len(),
        carried * 100.0
    );
    println!("{:44} {:>6} {:>6}", "", "peak", "least");
    let mut draw = seeded_rng(experiment.seed, RngStream::Fair);
    let homes = Homes::new(servers);
    let mut show = |name: &str, deal: &mut dyn FnMut(&Begin, &mut SeededRng) -> Option<usize>| {
        let (peak, least) = unevenness(&windows, servers, |begin| deal(begin, &mut draw));
        println!("{name:44} {peak:6.2} {least:6.2}");
    };
    show("as played", &mut |begin, _| Some(begin.server));
    show("independent fair draws", &mut |_, draw| Some(draw.random_range(0..servers)));
    show("rendezvous, one home a key", &mut |begin, _| homes.ranked(begin.key).next());
    show("the same without the hot keys", &mut |begin, _| {
        homes.ranked(begin.key).next().filter(|_| !hot(begin.key))
    });
    show("the same, hot keys dealt by fair draws", &mut |begin, draw| {
        if hot(begin.key) {
            Some(draw.random_range(0..servers))
        } else {
            homes.ranked(begin.key).next()
        }
    });
    show("rendezvous, a home for each quarter of a load", &mut |begin, draw| {
        let many = (shares[&begin.key] / HOT) as usize + 1;
        homes.ranked(begin.key).nth(draw.random_range(0..many.min(servers)))
    });
    let mut bounded = Bounded::default();
    show("bounded load 1.25, seeing the true state", &mut |begin, _| bounded.deal(begin, servers, &homes));
    fullest(&begins, servers, fair);
    Ok(())
}

/// The sends to servers since the experiment's beginning, with their keys.
fn begins(folder: &Path) -> Result<Vec<Begin>, Error> {
    let mut keys: HashMap<String, u64> = HashMap::new();
    for row in csv::Reader::from_path(folder.join("commands.csv"))?.records() {
        let row = row?;
        keys.insert(row[0].to_owned(), row[3].parse()?);
    }
    let mut begins = Vec::new();
    for row in csv::Reader::from_path(folder.join("attempts.csv"))?.records() {
        let row = row?;
        let (Ok(server), ms) = (row[2].parse(), row[3].parse::<f64>()?) else { continue };
        let key = *keys.get(&row[0]).ok_or("an attempt of no command")?;
        if ms >= 0.0 {
            begins.push(Begin { ms, server, key });
        }
    }
    Ok(begins)
}

/// The sends by whole windows.
fn windows(begins: &[Begin], seconds: f64) -> Vec<Vec<Begin>> {
    let mut windows = vec![Vec::new(); ((seconds * 1e3 / WINDOW_MS) as usize).max(1)];
    for begin in begins {
        if let Some(window) = windows.get_mut((begin.ms / WINDOW_MS) as usize) {
            window.push(*begin);
        }
    }
    windows
}

/// The greatest load of any window's fullest server and the smallest of its emptiest, means over the windows.
fn unevenness(
    windows: &[Vec<Begin>],
    servers: usize,
    mut deal: impl FnMut(&Begin) -> Option<usize>,
) -> (f64, f64) {
    let (mut peak, mut least) = (0.0, 0.0);
    for window in windows {
        let mut counts = vec![0.0; servers];
        window.iter().filter_map(&mut deal).for_each(|server| counts[server] += 1.0);
        let mean = (counts.iter().sum::<f64>() / servers as f64).max(1e-9);
        peak += counts.iter().copied().fold(0.0, f64::max) / mean / windows.len() as f64;
        least += counts.iter().copied().fold(f64::INFINITY, f64::min) / mean / windows.len() as f64;
    }
    (peak, least)
}

/// Rendezvous hashing of keys on servers.
struct Homes {
    servers: usize,
}

impl Homes {
    fn new(servers: usize) -> Homes {
        Homes { servers }
    }

    /// A key's servers, best first.
    fn ranked(&self, key: u64) -> impl Iterator<Item = usize> {
        let mut order: Vec<usize> = (0..self.servers).collect();
        order.sort_unstable_by_key(|server| mix_bits(mix_bits(key) ^ *server as u64));
        order.into_iter()
    }
}

/// Hashing with bounded load by one that sees all that began within the last second.
#[derive(Default)]
struct Bounded {
    counts: HashMap<usize, f64>,
    last: VecDeque<(f64, usize)>,
}

impl Bounded {
    fn deal(&mut self, begin: &Begin, servers: usize, homes: &Homes) -> Option<usize> {
        while self.last.front().is_some_and(|(ms, _)| ms + 1_000.0 <= begin.ms) {
            if let Some((_, server)) = self.last.pop_front() {
                *self.counts.entry(server).or_default() -= 1.0;
            }
        }
        let most = BOUND * (self.last.len() + 1) as f64 / servers as f64 + 1.0;
        let server = homes
            .ranked(begin.key)
            .find(|server| self.counts.get(server).copied().unwrap_or(0.0) + 1.0 <= most)?;
        *self.counts.entry(server).or_default() += 1.0;
        self.last.push_back((begin.ms, server));
        Some(server)
    }
}

/// Prints the fullest servers, and the keys that fill them, in parts of a server's fair load.
fn fullest(begins: &[Begin], servers: usize, fair: f64) {
    let mut loads: Vec<(f64, usize, BTreeMap<u64, f64>)> =
        (0..servers).map(|server| (0.0, server, BTreeMap::new())).collect();
    for begin in begins {
        let one = &mut loads[begin.server];
        one.0 += 1.0 / fair;
        *one.2.entry(begin.key).or_default() += 1.0 / fair;
    }
    loads.sort_by(|a, b| b.0.total_cmp(&a.0));
    for (load, server, keys) in loads.iter().take(5) {
        let mut keys: Vec<(&u64, &f64)> = keys.iter().collect();
        keys.sort_by(|a, b| b.1.total_cmp(a.1));
        let most: Vec<String> =
            keys.iter().take(3).map(|(key, part)| format!("key {key} {part:.2}")).collect();
        println!("host {server}: {load:.2} of its fair load, of that {}", most.join(", "));
    }
}
