//! An experiment's faults as values on a schedule: what happens when, to whom.

#[cfg(test)]
mod tests;

use rand::seq::SliceRandom;

use crate::experiment::{Experiment, Fault, What};
use crate::group::{members, Members};
use crate::links::Links;
use crate::rng::{seeded_rng, spread, RngStream};
use crate::{micros_from_seconds, Micros};

/// One change of the world.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The links of this fault go wrong, or are well again.
    Links(bool),
    /// Processes are killed.
    Kill(Vec<usize>),
    /// Processes are told to end.
    Term(Vec<usize>),
    /// Processes start again, as soon as they have ended.
    Start(Vec<usize>),
    /// Processes stop where they are.
    Freeze(Vec<usize>),
    /// Processes go on.
    Thaw(Vec<usize>),
    /// Servers say nothing, or speak again.
    Silent(Vec<usize>, bool),
    /// Servers take so many times as long.
    Slow(Vec<usize>, f64),
    /// Servers fail this share of their requests.
    Failing(Vec<usize>, f64),
    /// Servers drain.
    Drain(Vec<usize>),
    /// Servers end.
    Gone(Vec<usize>),
    /// Servers start anew, cold and empty.
    Restart(Vec<usize>),
    /// Other servers start at the addresses of these.
    Replace(Vec<usize>),
    /// The origin takes so many times as long.
    OriginSlow(f64),
    /// Discovery is down, or up again.
    DiscoveryDown(bool),
    /// Discovery tells each balancer later, up to this.
    ListLate(Micros),
}

/// A change at its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// When, from the beginning of the load.
    pub at: Micros,
    /// The fault that it belongs to.
    pub fault: usize,
    /// What changes.
    pub change: Change,
}

/// What an experiment's faults come to.
#[derive(Clone, Debug, Default)]
pub struct Schedule {
    /// All changes, in order.
    pub steps: Vec<Step>,
    /// The links with their faults, all off.
    pub links: Links,
}

/// Compiles a checked experiment's faults. The same seed gives the same targets.
pub fn schedule(e: &Experiment) -> Schedule {
    let mut rng = seeded_rng(e.seed, RngStream::Groups);
    let mut all = Schedule::default();
    for (number, fault) in e.fault.iter().enumerate() {
        // A checked file has groups that name somebody.
        let mut group = |text: &String| members(text, &e.fleet, &mut rng).unwrap_or_default();
        if let Some([first, second]) = &fault.between {
            let (from, to) = (group(first), group(second));
            all.links.add(number, fault, from, to);
        }
        let who = fault.who.as_ref().map(group).unwrap_or_default();
        for (at, change) in changes(e, number, fault, who) {
            all.steps.push(Step { at, fault: number, change });
        }
    }
    all.steps.sort_by_key(|step| step.at);
    all
}

fn changes(e: &Experiment, number: usize, fault: &Fault, who: Members) -> Vec<(Micros, Change)> {
    let from = micros_from_seconds(fault.at);
    let until = fault.lasts.map(|lasts| from + micros_from_seconds(lasts));
    let (servers, balancers) = (who.servers, who.balancers);
    let (share, times) = (fault.share.unwrap_or(1.0), fault.times.unwrap_or(1.0));
    let pair = |begin: Change, end: Change| {
        let mut both = vec![(from, begin)];
        both.extend(until.map(|at| (at, end)));
        both
    };
    match fault.what {
        What::Cut | What::Reset | What::Lose | What::Delay | What::Repeat | What::Reorder | What::Spoil => {
            pair(Change::Links(true), Change::Links(false))
        }
        What::Kill | What::Term => {
            let end = if fault.what == What::Kill { Change::Kill } else { Change::Term };
            let mut both = vec![(from, end(balancers.clone()))];
            both.extend(fault.back.map(|back| (from + micros_from_seconds(back), Change::Start(balancers))));
            both
        }
        What::Freeze => pair(Change::Freeze(balancers.clone()), Change::Thaw(balancers)),
        What::Roll => {
            let mut order = balancers;
            order.shuffle(&mut seeded_rng(spread(e.seed ^ number as u64), RngStream::Groups));
            let many = ((order.len() as f64 * share).round() as usize).max(1);
            let every = micros_from_seconds(fault.every.unwrap_or(1.0));
            let parts = order.chunks(many).enumerate();
            parts
                .flat_map(|(place, part)| {
                    let at = from + place as Micros * every;
                    [(at, Change::Term(part.to_vec())), (at, Change::Start(part.to_vec()))]
                })
                .collect()
        }
        What::Silent => pair(Change::Silent(servers.clone(), true), Change::Silent(servers, false)),
        What::Slow => pair(Change::Slow(servers.clone(), times), Change::Slow(servers, 1.0)),
        What::Failing => pair(Change::Failing(servers.clone(), share), Change::Failing(servers, 0.0)),
        What::Drain => pair(Change::Drain(servers.clone()), Change::Restart(servers)),
        What::Gone => pair(Change::Gone(servers.clone()), Change::Restart(servers)),
        What::Restart => vec![(from, Change::Restart(servers))],
        What::Replace => vec![(from, Change::Replace(servers))],
        What::Flap => {
            let (every, end) = (
                micros_from_seconds(fault.every.unwrap_or(1.0)),
                until.unwrap_or(micros_from_seconds(e.seconds)),
            );
            let mut steps: Vec<_> = (0..)
                .map(|n: Micros| (from + n * every, Change::Silent(servers.clone(), n.is_multiple_of(2))))
                .take_while(|(at, _)| *at < end)
                .collect();
            steps.push((end, Change::Silent(servers, false)));
            steps
        }
        What::OriginSlow => pair(Change::OriginSlow(times), Change::OriginSlow(1.0)),
        What::DiscoveryDown => pair(Change::DiscoveryDown(true), Change::DiscoveryDown(false)),
        What::ListLate => {
            pair(Change::ListLate(micros_from_seconds(fault.seconds.unwrap_or(0.0))), Change::ListLate(0))
        }
    }
}
