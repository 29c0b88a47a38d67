//! `replay`: reassigns a run's sends to servers under other placements, which shows how much of the load imbalance comes
//! from chance, from the popularity of keys and from the placement. Also prints the busiest servers and their keys.

mod placement;

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::path::Path;

use juniperladder_platform_model::experiment::Experiment;
use juniperladder_platform_model::rng::{seeded_rng, RngStream, SeededRng};
use rand::Rng;

use crate::exit::ExitStatus;
use placement::{BoundedLoad, RendezvousHashing};

type Error = Box<dyn std::error::Error>;

/// Length of a window in milliseconds, the same as in the checker's spread.
const WINDOW_MS: f64 = 5_000.0;
/// Share of a server's fair load above which the load of a key makes the key hot.
const HOT_KEY_LOAD_SHARE: f64 = 0.25;
/// Number of the busiest servers that are printed.
const MAX_PRINTED_SERVERS: usize = 5;
/// Number of keys that are printed of each server.
const MAX_PRINTED_KEYS: usize = 3;
/// Lower bound of the mean that a load is divided by, against division by zero.
const MIN_MEAN_LOAD: f64 = 1e-9;

/// An attempt that a cache server received.
#[derive(Clone, Copy)]
struct ServerSend {
    /// Milliseconds since the start of the measured time.
    at_ms: f64,
    server: usize,
    key: u64,
}

/// Prints the replay of a run. All servers count as of equal weight.
pub fn replay(folder: &Path) -> ExitStatus {
    match replay_folder(folder) {
        Ok(()) => ExitStatus::PASSED,
        Err(error) => {
            eprintln!(
                "cannot replay the run in {}: {error}; check that this is the folder of a run",
                folder.display()
            );
            ExitStatus::CANNOT_RUN
        }
    }
}

fn replay_folder(folder: &Path) -> Result<(), Error> {
    let experiment: Experiment = serde_json::from_reader(File::open(folder.join("experiment.json"))?)?;
    let servers = experiment.fleet.servers;
    let sends = read_sends(folder)?;
    let replay = Replay::new(&sends, servers, experiment.seconds);
    replay.print_hot_keys(sends.len());
    replay.print_placements(experiment.seed);
    print_busiest_servers(&sends, servers);
    Ok(())
}

/// Reads the sends to cache servers in the measured time, with their keys.
fn read_sends(folder: &Path) -> Result<Vec<ServerSend>, Error> {
    let mut keys: HashMap<String, u64> = HashMap::new();
    for row in csv::Reader::from_path(folder.join("commands.csv"))?.records() {
        let row = row?;
        keys.insert(row[0].to_owned(), row[3].parse()?);
    }
    let mut sends = Vec::new();
    for row in csv::Reader::from_path(folder.join("attempts.csv"))?.records() {
        let row = row?;
        // The receiver of an attempt at the origin is not a number; such an attempt is left out.
        let (Ok(server), at_ms) = (row[2].parse(), row[3].parse::<f64>()?) else { continue };
        let key =
            *keys.get(&row[0]).ok_or("attempts.csv has an attempt of a request that commands.csv lacks")?;
        if at_ms >= 0.0 {
            sends.push(ServerSend { at_ms, server, key });
        }
    }
    Ok(sends)
}

/// The sends of a run, prepared for reassignment.
struct Replay {
    /// Number of cache servers.
    servers: usize,
    /// The sends of each complete window.
    windows: Vec<Vec<ServerSend>>,
    /// The load of each key, as a share of a server's fair load.
    key_loads: HashMap<u64, f64>,
    rendezvous: RendezvousHashing,
}

impl Replay {
    fn new(sends: &[ServerSend], servers: usize, seconds: f64) -> Replay {
        let fair_load = sends.len() as f64 / servers as f64;
        let mut key_loads: HashMap<u64, f64> = HashMap::new();
        for send in sends {
            *key_loads.entry(send.key).or_default() += 1.0 / fair_load;
        }
        Replay {
            servers,
            windows: group_by_window(sends, seconds),
            key_loads,
            rendezvous: RendezvousHashing::new(servers),
        }
    }

    fn is_hot(&self, key: u64) -> bool {
        self.key_loads[&key] > HOT_KEY_LOAD_SHARE
    }

    fn print_hot_keys(&self, sends: usize) {
        let hot_loads = self.key_loads.values().filter(|load| **load > HOT_KEY_LOAD_SHARE);
        let count = hot_loads.clone().count();
        let percent = hot_loads.sum::<f64>() / self.servers as f64 * 100.0;
        println!("{sends} sends to {} hosts; {count} hot keys have {percent:.0}% of them", self.servers);
    }

    /// Prints the load imbalance of each placement. All placements draw from one generator, so their order affects the draws.
    fn print_placements(&self, seed: u64) {
        println!("{:44} {:>6} {:>6}", "", "peak", "least");
        let mut rng = seeded_rng(seed, RngStream::FairDraws);
        self.print_imbalance("as played", |send| Some(send.server));
        self.print_imbalance("independent fair draws", |_| Some(rng.random_range(0..self.servers)));
        self.print_imbalance("rendezvous, one home a key", |send| self.rendezvous.first(send.key));
        self.print_imbalance("the same without the hot keys", |send| {
            self.rendezvous.first(send.key).filter(|_| !self.is_hot(send.key))
        });
        self.print_imbalance("the same, hot keys dealt by fair draws", |send| {
            if self.is_hot(send.key) {
                Some(rng.random_range(0..self.servers))
            } else {
                self.rendezvous.first(send.key)
            }
        });
        self.print_imbalance("rendezvous, a home for each quarter of a load", |send| {
            self.draw_home_server(send.key, &mut rng)
        });
        let mut bounded_load = BoundedLoad::new(self.servers);
        self.print_imbalance("bounded load 1.25, seeing the true state", |send| bounded_load.place(send));
    }

    /// Draws one of the key's home servers: a key has one, and another for each quarter of a server's fair load that it
    /// brings.
    fn draw_home_server(&self, key: u64, rng: &mut SeededRng) -> Option<usize> {
        let homes = (self.key_loads[&key] / HOT_KEY_LOAD_SHARE) as usize + 1;
        self.rendezvous.ranked(key).nth(rng.random_range(0..homes.min(self.servers)))
    }

    fn print_imbalance(&self, name: &str, placement: impl FnMut(&ServerSend) -> Option<usize>) {
        let LoadImbalance { peak, least } = load_imbalance(&self.windows, self.servers, placement);
        println!("{name:44} {peak:6.2} {least:6.2}");
    }
}

/// Groups the sends by window; leaves out those after the last complete window.
fn group_by_window(sends: &[ServerSend], seconds: f64) -> Vec<Vec<ServerSend>> {
    let mut windows = vec![Vec::new(); ((seconds * 1e3 / WINDOW_MS) as usize).max(1)];
    for send in sends {
        if let Some(window) = windows.get_mut((send.at_ms / WINDOW_MS) as usize) {
            window.push(*send);
        }
    }
    windows
}

/// The load imbalance of a placement.
#[derive(Debug, PartialEq)]
struct LoadImbalance {
    /// Ratio of the busiest server's load to the mean load in a window, averaged over the windows.
    peak: f64,
    /// Ratio of the least busy server's load to the mean load in a window, averaged over the windows.
    least: f64,
}

/// The load imbalance of the sends of all windows under a placement. Sends that the placement puts on no server do not count.
fn load_imbalance(
    windows: &[Vec<ServerSend>],
    servers: usize,
    mut placement: impl FnMut(&ServerSend) -> Option<usize>,
) -> LoadImbalance {
    let mut imbalance = LoadImbalance { peak: 0.0, least: 0.0 };
    for window in windows {
        let mut counts = vec![0.0; servers];
        for server in window.iter().filter_map(&mut placement) {
            counts[server] += 1.0;
        }
        let mean = (counts.iter().sum::<f64>() / servers as f64).max(MIN_MEAN_LOAD);
        let max_load = counts.iter().copied().fold(0.0, f64::max);
        let min_load = counts.iter().copied().fold(f64::INFINITY, f64::min);
        imbalance.peak += max_load / mean / windows.len() as f64;
        imbalance.least += min_load / mean / windows.len() as f64;
    }
    imbalance
}

/// The load of one server, in total and by key, as a share of a server's fair load.
struct ServerLoad {
    server: usize,
    total: f64,
    by_key: BTreeMap<u64, f64>,
}

/// Prints the busiest servers, and the keys that bring most of their load.
fn print_busiest_servers(sends: &[ServerSend], servers: usize) {
    let fair_load = sends.len() as f64 / servers as f64;
    let empty = |server| ServerLoad { server, total: 0.0, by_key: BTreeMap::new() };
    let mut loads: Vec<ServerLoad> = (0..servers).map(empty).collect();
    for send in sends {
        let load = &mut loads[send.server];
        load.total += 1.0 / fair_load;
        *load.by_key.entry(send.key).or_default() += 1.0 / fair_load;
    }
    loads.sort_by(|first, second| second.total.total_cmp(&first.total));
    for load in loads.iter().take(MAX_PRINTED_SERVERS) {
        let mut keys: Vec<(&u64, &f64)> = load.by_key.iter().collect();
        keys.sort_by(|first, second| second.1.total_cmp(first.1));
        let keys = keys.iter().take(MAX_PRINTED_KEYS).map(|(key, share)| format!("key {key} {share:.2}"));
        let keys = keys.collect::<Vec<_>>().join(", ");
        println!("host {}: {:.2} of its fair load, of that {keys}", load.server, load.total);
    }
}
