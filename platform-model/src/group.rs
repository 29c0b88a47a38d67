//! Groups of balancers and servers that the faults of an experiment file name, such as `balancers:0-49`,
//! `hosts:12.5%`, `zone:1`, `origin` and `discovery`.

#[cfg(test)]
mod tests;

use rand::seq::index::sample;

use crate::experiment::Fleet;
use crate::rng::SeededRng;

/// The members of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupMembers {
    /// Numbers of balancer processes, in order.
    pub balancers: Vec<usize>,
    /// Numbers of cache servers, in order.
    pub servers: Vec<usize>,
    /// Whether the group is the origin.
    pub origin: bool,
    /// Whether the group is discovery.
    pub discovery: bool,
}

/// An error in a group's text. The message names the valid forms or numbers where they are known.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum GroupError {
    /// The fleet has no member of the kind.
    #[error("{0:?}: the fleet has no members of this kind")]
    NoMembers(String),
    /// The text before the colon is not a kind of group.
    #[error(
        "{0:?} is not a group: write balancers:0-49, balancers:10%, hosts:3, hosts:12.5%, zone:1, origin or discovery"
    )]
    UnknownKind(String),
    /// The zone is not a number.
    #[error("{0:?}: the zone is not a number; write, for example, zone:1")]
    ZoneIsNoNumber(String),
    /// The zone does not exist.
    #[error("{group:?}: no such zone; the fleet has zones 0 to {last}")]
    NoSuchZone {
        /// The group's text.
        group: String,
        /// Number of the last zone.
        last: usize,
    },
    /// The members are neither a number nor a range nor a share.
    #[error("{0}: the members are malformed; write a number, a range such as 0-49, or a share such as 10%")]
    MalformedMembers(String),
    /// The share is not in the range from over 0% to 100%.
    #[error("{0}: a share must be over 0% and at most 100%")]
    ShareOutOfRange(String),
    /// The end of the range is lower than its start.
    #[error("{0}: the range ends before it begins")]
    ReversedRange(String),
    /// The number is higher than the last member's.
    #[error("{group}: there is no member {number}; members are numbered 0 to {last}")]
    NoSuchMember {
        /// The group's text.
        group: String,
        /// The number in the group's text.
        number: usize,
        /// Number of the last member.
        last: usize,
    },
}

/// The zone of the balancer or the server with this number.
pub fn zone_of(number: usize, fleet: &Fleet) -> usize {
    number % fleet.zones.max(1)
}

/// The members that a group's text names; the members of a share are drawn at random.
///
/// # Errors
/// The text is not a valid group of the fleet.
pub fn resolve_group(text: &str, fleet: &Fleet, rng: &mut SeededRng) -> Result<GroupMembers, GroupError> {
    let (kind, selection) = text.split_once(':').unwrap_or((text, ""));
    let mut members = GroupMembers::default();
    match (kind, selection) {
        ("origin", "") => members.origin = true,
        ("discovery", "") => members.discovery = true,
        ("balancers", "") => members.balancers = (0..fleet.balancers).collect(),
        ("hosts", "") => members.servers = (0..fleet.servers).collect(),
        ("balancers", selection) => {
            members.balancers = resolve_numbers(text, selection, fleet.balancers, rng)?
        }
        ("hosts", selection) => members.servers = resolve_numbers(text, selection, fleet.servers, rng)?,
        ("zone", selection) => {
            let zone = parse_zone(text, selection, fleet)?;
            let is_in_zone = |number: &usize| zone_of(*number, fleet) == zone;
            members.balancers = (0..fleet.balancers).filter(is_in_zone).collect();
            members.servers = (0..fleet.servers).filter(is_in_zone).collect();
        }
        _ => return Err(GroupError::UnknownKind(text.to_owned())),
    }
    Ok(members)
}

fn parse_zone(group: &str, selection: &str, fleet: &Fleet) -> Result<usize, GroupError> {
    let zone: usize = selection.parse().map_err(|_| GroupError::ZoneIsNoNumber(group.to_owned()))?;
    if zone >= fleet.zones {
        return Err(GroupError::NoSuchZone { group: group.to_owned(), last: fleet.zones.max(1) - 1 });
    }
    Ok(zone)
}

/// The numbers below `count` that a selection names, such as `3`, `0-49` or `12.5%`.
fn resolve_numbers(
    group: &str,
    selection: &str,
    count: usize,
    rng: &mut SeededRng,
) -> Result<Vec<usize>, GroupError> {
    if count == 0 {
        return Err(GroupError::NoMembers(group.to_owned()));
    }
    if let Some(share) = selection.strip_suffix('%') {
        return draw_share(group, share, count, rng);
    }
    let malformed = |_| GroupError::MalformedMembers(group.to_owned());
    let (from, to) = selection.split_once('-').unwrap_or((selection, selection));
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

/// Draws this percentage of the numbers below `count` at random, and returns them in ascending order.
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
    // At least one, so that a share of a small fleet still has a member.
    let member_count = ((count as f64 * percent / 100.0).round() as usize).clamp(1, count);
    let mut numbers = sample(rng, count, member_count).into_vec();
    numbers.sort_unstable();
    Ok(numbers)
}
