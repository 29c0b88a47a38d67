//! Which server a key belongs to: weighted rendezvous hashing, alike at every router, with popularity.

use rustc_hash::FxHashMap;

use super::endpoint_set::Server;
use super::slow_start::slow_start_weight;
use crate::*;

/// Requests counted before all popularity counts are halved: bounds the table, ages old favourites.
pub(super) const POPULARITY_SPAN: f64 = 2048.0;
/// Share of one average server's requests that one key may bring before it gets one more home.
pub(super) const HOT_SHARE: f64 = 0.25;
/// Homes tried in the order that all routers share before the origin is asked outright.
pub(super) const MAX_HOMES: usize = 3;

#[derive(Debug, Default)]
pub(super) struct Placement {
    pub(super) counts: FxHashMap<Key, f64>,
    pub(super) total: f64,
    pub(super) order: Vec<(f64, usize)>,
}

pub(super) fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

impl Placement {
    pub(super) fn count(&mut self, key: Key) {
        *self.counts.entry(key).or_insert(0.0) += 1.0;
        self.total += 1.0;
        if self.total >= POPULARITY_SPAN {
            self.counts.values_mut().for_each(|asked| *asked /= 2.0);
            self.counts.retain(|_, asked| *asked >= 1.0);
            self.total /= 2.0;
        }
    }

    /// The key's share of this balancer's requests, less what chance alone would show.
    pub(super) fn share(&self, key: Key) -> f64 {
        let asked = self.counts.get(&key).copied().unwrap_or(0.0);
        (asked - 1.0).max(0.0) / (self.total + 8.0)
    }

    /// Fills `order` with the key's servers, best first; returns how many are its homes: hot keys have more.
    pub(super) fn rank(&mut self, key: Key, now: Micros, servers: &[Server], settings: &Settings) -> usize {
        self.order.clear();
        let share = self.share(key) * servers.len() as f64;
        let homes = (share / HOT_SHARE) as usize + 1;
        let keep = homes + MAX_HOMES;
        for (at, server) in servers.iter().enumerate() {
            let (entry, warm) = (&server.endpoint, slow_start_weight(&server.endpoint, now, &settings.rules));
            // A hot key would push a cold server over by itself (rule 4).
            if entry.state != EndpointState::Serving
                || settings.is_origin(entry)
                || warm < 1.0 && share > warm
            {
                continue;
            }
            let ok = settings.weighted && entry.weight.is_finite() && entry.weight > 0.0;
            let weight = if ok { entry.weight } else { 1.0 } * warm;
            let spot = mix(mix(key.0).wrapping_add(entry.server.0));
            let uniform = ((spot >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
            // The logarithm, which costs most, is taken of those alone that may come in: -ln u > 1 - u.
            if self.order.get(keep - 1).is_none_or(|last| (1.0 - uniform) / weight < last.0) {
                let score = -uniform.ln() / weight;
                self.order.insert(self.order.partition_point(|(other, _)| *other < score), (score, at));
                self.order.truncate(keep);
            }
        }
        let homes = homes.min(self.order.len());
        let near = self.order[..homes].iter().position(|(_, at)| servers[*at].endpoint.zone == settings.zone);
        self.order[..near.map_or(0, |place| place + 1)].rotate_right(usize::from(near.is_some()));
        homes
    }
}
