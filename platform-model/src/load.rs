//! The load, drawn ahead: when each request comes, at which balancer, for which key. It does not wait for answers.

#[cfg(test)]
mod tests;

use rand::Rng;
use rand_distr::{Distribution, Zipf};

use crate::experiment::{Experiment, Load};
use crate::rng::{seeded_rng, spread, RngStream, SeededRng};
use crate::{micros_from_seconds, Micros, MICROS_PER_SECOND};

/// A client's first try.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// When, from the beginning of the warming up.
    pub at: Micros,
    /// The balancer that it comes to.
    pub balancer: u32,
    /// The key's number.
    pub key: u64,
    /// Whether it writes.
    pub write: bool,
    /// The share of the time that a try may take which its client waits.
    pub patience: f64,
}

/// The name of a key on the wire.
pub fn key_name(key: u64) -> String {
    format!("{:016x}", spread(key))
}

/// Draws all first tries of a run, in order.
pub fn draw(e: &Experiment) -> Vec<Arrival> {
    let load = &e.load;
    let mut rng = seeded_rng(e.seed, RngStream::Load);
    let warming = micros_from_seconds(load.warm);
    let end = warming + micros_from_seconds(e.seconds);
    let most = load.rate * load.ramp.max(1.0) * load.burst.iter().map(|b| b.times).fold(1.0, f64::max);
    let zipf = Zipf::new(load.keys as f64, load.zipf).ok();
    let mut keys: Vec<u64> = (0..load.keys).collect();
    let (mut drifted, mut at, mut all) = (0, 0.0, Vec::new());
    loop {
        at += -(1.0 - rng.random::<f64>()).ln() / most;
        let now = micros_from_seconds(at);
        if now >= end {
            return all;
        }
        while drifted < now / MICROS_PER_SECOND {
            drift(&mut keys, load.drift, &mut rng);
            drifted += 1;
        }
        let since = at - load.warm;
        if rng.random::<f64>() * most >= rate(load, since, e.seconds) {
            continue;
        }
        let rank = zipf.as_ref().map_or(1.0, |zipf| zipf.sample(&mut rng));
        let mut key = keys[(rank as usize).clamp(1, keys.len()) - 1];
        let mut left: f64 = rng.random();
        for (place, _) in load.hot.iter().enumerate().filter(|(_, hot)| since >= hot.at) {
            left -= load.hot[place].share;
            if left < 0.0 {
                // Keys beyond the common ones: nobody asked for them before.
                key = load.keys + place as u64;
                break;
            }
        }
        let write = rng.random::<f64>() < load.writes;
        let patience = 0.5 + 0.3 * rng.random::<f64>();
        let impatient = rng.random::<f64>() < e.clients.impatient;
        all.push(Arrival {
            at: now,
            balancer: balancer(e, &mut rng),
            key,
            write,
            patience: if impatient { 0.1 } else { patience },
        });
    }
}

/// Requests a second at this time of the experiment.
fn rate(load: &Load, since: f64, seconds: f64) -> f64 {
    let ramp = 1.0 + (load.ramp - 1.0) * (since / seconds).clamp(0.0, 1.0);
    let within = load.burst.iter().filter(|b| (b.at..b.at + b.lasts).contains(&since));
    load.rate * ramp * within.map(|b| b.times).product::<f64>()
}

/// The balancer of a first try; the first ones are those with most of an uneven load.
fn balancer(e: &Experiment, rng: &mut SeededRng) -> u32 {
    let count = e.fleet.balancers;
    let Some(uneven) = e.load.uneven else { return rng.random_range(0..count) as u32 };
    let many = ((count as f64 * uneven.at).round() as usize).clamp(1, count);
    if rng.random::<f64>() < uneven.share || many == count {
        rng.random_range(0..many) as u32
    } else {
        rng.random_range(many..count) as u32
    }
}

/// So many keys change places with others.
fn drift(keys: &mut [u64], share: f64, rng: &mut SeededRng) {
    for _ in 0..(keys.len() as f64 * share) as usize {
        let (a, b) = (rng.random_range(0..keys.len()), rng.random_range(0..keys.len()));
        keys.swap(a, b);
    }
}
