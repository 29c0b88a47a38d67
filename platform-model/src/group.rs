//! Groups of an experiment's file: `balancers:0-49`, `servers:12.5%`, `zone:1`, `origin`, `discovery`.

#[cfg(test)]
mod tests;

use rand::seq::index::sample;

use crate::experiment::Fleet;
use crate::rng::SeededRng;

/// What a group names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    /// Processes, by number, in order.
    pub balancers: Vec<usize>,
    /// Cache servers, by number, in order.
    pub servers: Vec<usize>,
    /// The origin.
    pub origin: bool,
    /// Discovery.
    pub discovery: bool,
}

/// The zone of the balancer or the server with this number.
pub fn zone_of(number: usize, fleet: &Fleet) -> usize {
    number % fleet.zones.max(1)
}

/// The members that a group's text names; a share is drawn.
///
/// # Errors
/// One line that says what is wrong with the text and what would be right.
pub fn members(text: &str, fleet: &Fleet, rng: &mut SeededRng) -> Result<Members, String> {
    let (kind, which) = text.split_once(':').unwrap_or((text, ""));
    let all = |count: usize| (0..count).collect::<Vec<_>>();
    let mut found = Members::default();
    match (kind, which) {
        ("origin", "") => found.origin = true,
        ("discovery", "") => found.discovery = true,
        ("balancers", "") => found.balancers = all(fleet.balancers),
        ("hosts", "") => found.servers = all(fleet.servers),
        ("balancers", which) => found.balancers = some(kind, which, fleet.balancers, rng)?,
        ("hosts", which) => found.servers = some(kind, which, fleet.servers, rng)?,
        ("zone", which) => {
            let zone: usize = which.parse().map_err(|_| format!("{text:?}: a zone is a number, as in zone:1"))?;
            if zone >= fleet.zones {
                return Err(format!("{text:?}: there are zones 0 to {}", fleet.zones.max(1) - 1));
            }
            found.balancers = all(fleet.balancers).into_iter().filter(|n| zone_of(*n, fleet) == zone).collect();
            found.servers = all(fleet.servers).into_iter().filter(|n| zone_of(*n, fleet) == zone).collect();
        }
        _ => {
            return Err(format!(
                "{text:?} is no group: write balancers:0-49, balancers:10%, hosts:3, hosts:12.5%, zone:1, origin or \
                 discovery"
            ))
        }
    }
    Ok(found)
}

/// The numbers of `3`, `0-49` or `12.5%` of so many.
fn some(kind: &str, which: &str, count: usize, rng: &mut SeededRng) -> Result<Vec<usize>, String> {
    let wrong = || format!("{kind}:{which}: write a number, a range as 0-49, or a share as 10%");
    let beyond = |number: usize| format!("{kind}:{which}: there is no {number}, they are 0 to {}", count - 1);
    if let Some(share) = which.strip_suffix('%') {
        let share: f64 = share.parse().map_err(|_| wrong())?;
        if !(share > 0.0 && share <= 100.0) {
            return Err(format!("{kind}:{which}: a share lies over 0% and up to 100%"));
        }
        // At least one: a share of a small fleet still names somebody.
        let many = ((count as f64 * share / 100.0).round() as usize).clamp(1, count);
        let mut numbers = sample(rng, count, many).into_vec();
        numbers.sort_unstable();
        return Ok(numbers);
    }
    let (from, to) = which.split_once('-').unwrap_or((which, which));
    let (from, to): (usize, usize) = (from.parse().map_err(|_| wrong())?, to.parse().map_err(|_| wrong())?);
    if from > to {
        return Err(format!("{kind}:{which}: the range ends before it begins"));
    }
    if to >= count {
        return Err(beyond(to));
    }
    Ok((from..=to).collect())
}
