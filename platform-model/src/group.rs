//! Groups of an experiment's file: `balancers:0-49`, `hosts:12.5%`, `zone:1`, `origin`, `discovery`.

#[cfg(test)]
mod tests;

use rand::seq::index::sample;

use crate::experiment::Fleet;
use crate::rng::SeededRng;

/// What a group names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupMembers {
    /// Processes, by number, in order.
    pub balancers: Vec<usize>,
    /// Cache servers, by number, in order.
    pub servers: Vec<usize>,
    /// The origin.
    pub origin: bool,
    /// Discovery.
    pub discovery: bool,
}

/// What is wrong with a group's text, and what would be right.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum GroupError {
    /// The fleet has no member of the kind.
    #[error("{0:?}: the fleet has none of these")]
    NoMembers(String),
    /// The text before the colon names no kind of group.
    #[error(
        "{0:?} is no group: write balancers:0-49, balancers:10%, hosts:3, hosts:12.5%, zone:1, origin or discovery"
    )]
    UnknownKind(String),
    /// A zone that is no number.
    #[error("{0:?}: a zone is a number, as in zone:1")]
    ZoneIsNoNumber(String),
    /// A zone that does not exist.
    #[error("{group:?}: there are zones 0 to {last}")]
    NoSuchZone {
        /// The group's text.
        group: String,
        /// The last zone.
        last: usize,
    },
    /// Members that are neither a number nor a range nor a share.
    #[error("{0}: write a number, a range as 0-49, or a share as 10%")]
    MalformedMembers(String),
    /// A share of none or of more than all.
    #[error("{0}: a share lies over 0% and up to 100%")]
    ShareOutOfRange(String),
    /// A range whose end comes first.
    #[error("{0}: the range ends before it begins")]
    ReversedRange(String),
    /// A number beyond the last member.
    #[error("{group}: there is no {number}, they are 0 to {last}")]
    NoSuchMember {
        /// The group's text.
        group: String,
        /// The number that it names.
        number: usize,
        /// The last number.
        last: usize,
    },
}

/// The zone of the balancer or the server with this number.
pub fn zone_of(number: usize, fleet: &Fleet) -> usize {
    number % fleet.zones.max(1)
}

/// The members that a group's text names; a share is drawn.
///
/// # Errors
/// What is wrong with the text.
pub fn resolve_group(text: &str, fleet: &Fleet, rng: &mut SeededRng) -> Result<GroupMembers, GroupError> {
    let (kind, which) = text.split_once(':').unwrap_or((text, ""));
    let mut members = GroupMembers::default();
    match (kind, which) {
        ("origin", "") => members.origin = true,
        ("discovery", "") => members.discovery = true,
        ("balancers", "") => members.balancers = (0..fleet.balancers).collect(),
        ("hosts", "") => members.servers = (0..fleet.servers).collect(),
        ("balancers", which) => members.balancers = resolve_numbers(text, which, fleet.balancers, rng)?,
        ("hosts", which) => members.servers = resolve_numbers(text, which, fleet.servers, rng)?,
        ("zone", which) => {
            let zone = parse_zone(text, which, fleet)?;
            let of_zone = |number: &usize| zone_of(*number, fleet) == zone;
            members.balancers = (0..fleet.balancers).filter(of_zone).collect();
            members.servers = (0..fleet.servers).filter(of_zone).collect();
        }
        _ => return Err(GroupError::UnknownKind(text.to_owned())),
    }
    Ok(members)
}

fn parse_zone(group: &str, which: &str, fleet: &Fleet) -> Result<usize, GroupError> {
    let zone: usize = which.parse().map_err(|_| GroupError::ZoneIsNoNumber(group.to_owned()))?;
    if zone >= fleet.zones {
        return Err(GroupError::NoSuchZone { group: group.to_owned(), last: fleet.zones.max(1) - 1 });
    }
    Ok(zone)
}

/// The numbers of `3`, `0-49` or `12.5%` of so many.
fn resolve_numbers(
    group: &str,
    which: &str,
    count: usize,
    rng: &mut SeededRng,
) -> Result<Vec<usize>, GroupError> {
    if count == 0 {
        return Err(GroupError::NoMembers(group.to_owned()));
    }
    if let Some(share) = which.strip_suffix('%') {
        return draw_share(group, share, count, rng);
    }
    let malformed = |_| GroupError::MalformedMembers(group.to_owned());
    let (from, to) = which.split_once('-').unwrap_or((which, which));
    let from: usize = from.parse().map_err(malformed)?;
    let to: usize = to.parse().map_err(malformed)?;
    if from > to {
        return Err(GroupError::ReversedRange(group.to_owned()));
    }
    if to >= count {
        return Err(GroupError::NoSuchMember { group: group.to_owned(), number: to, last: count - 1 });
    }
    Ok((from..=to).collect())
}

/// Draws a share, given in percent, of so many numbers; in order.
fn draw_share(
    group: &str,
    percent: &str,
    count: usize,
    rng: &mut SeededRng,
) -> Result<Vec<usize>, GroupError> {
    let percent: f64 = percent.parse().map_err(|_| GroupError::MalformedMembers(group.to_owned()))?;
    if !(percent > 0.0 && percent <= 100.0) {
        return Err(GroupError::ShareOutOfRange(group.to_owned()));
    }
    // At least one: a share of a small fleet still names somebody.
    let amount = ((count as f64 * percent / 100.0).round() as usize).clamp(1, count);
    let mut numbers = sample(rng, count, amount).into_vec();
    numbers.sort_unstable();
    Ok(numbers)
}
