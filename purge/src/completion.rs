//! Decides which purges of one replica are done: applied at every member that serves, now or later.
//!
//! A decision takes two consecutive rounds. The first shows that a majority of the replicas holds a position. The
//! second, begun afterwards, shows that a majority still holds the position; a replica counts only if it held the
//! position in the first round in the same incarnation. So this majority held the position at the moment between the
//! rounds, and its registration tables as of the second round contain every member that may serve without the position
//! in its target. Each of these members must have applied the position or have been released. The correctness argument
//! is in `docs/design/purge.md`.

use std::collections::BTreeMap;

use crate::ids::{MemberId, Position, ReplicaId};
use crate::injected_defect::{InjectedDefect, InjectedDefects};
use crate::limits::MAX_NAMED_MEMBERS;
use crate::registration::{Registration, RegistrationState, RegistrationTable, TableCopy};
use crate::wire::{MemberReport, StatusReply};

/// The registration tables at a replica: its own, and copies of the others'.
#[derive(Clone, Copy, Debug)]
pub struct Tables<'a> {
    /// The replica that owns `own`.
    pub own_id: ReplicaId,
    /// The replica's own table.
    pub own: &'a RegistrationTable,
    /// Copies of the other replicas' tables.
    pub copies: &'a BTreeMap<ReplicaId, TableCopy>,
}

impl<'a> Tables<'a> {
    fn registrations(&self, replica: ReplicaId) -> Option<&'a BTreeMap<MemberId, Registration>> {
        if replica == self.own_id {
            Some(self.own.registrations())
        } else {
            self.copies.get(&replica).map(TableCopy::registrations)
        }
    }

    fn is_complete(&self, replica: ReplicaId, incarnation: u64, change: u64) -> bool {
        replica == self.own_id
            || self.copies.get(&replica).is_some_and(|copy| copy.is_complete(incarnation, change))
    }

    /// The registrations of one member in all tables.
    fn registrations_of_member(&self, member: MemberId) -> impl Iterator<Item = &'a Registration> {
        let copies = self.copies.values().filter_map(move |copy| copy.registrations().get(&member));
        copies.chain(self.own.get(member))
    }
}

/// One replica's reply in the current round.
#[derive(Clone, Copy, Debug)]
struct RoundReply {
    incarnation: u64,
    /// Position up to which the replying replica holds the purges.
    held: Position,
    /// Number of the last change of the replying replica's table.
    change: u64,
}

/// The position that a majority held in a round, and the incarnations of the replicas that held it.
#[derive(Clone, Debug, Default)]
struct MajorityPosition {
    through: Position,
    incarnations: BTreeMap<ReplicaId, u64>,
}

/// The newest report of an assigned replica.
#[derive(Clone, Debug)]
struct AssignedReplicaReport {
    incarnation: u64,
    round: u64,
    /// Position up to which the assigned replica held the purges; the laggards in the report are behind this position.
    held: Position,
    /// Number of the last change of the assigned replica's table.
    change: u64,
    report: MemberReport,
}

/// What is known of the purges that a registered member has applied.
enum Coverage {
    /// The registration was released, so no purge waits for it.
    Released,
    /// The member has applied all purges up to this position.
    AppliedThrough(Position),
    /// The assigned replica has not reported which purges the member has applied.
    Unknown,
}

/// The members and replicas that pending purges wait for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outstanding {
    /// Some of the outstanding members.
    pub members: Vec<MemberId>,
    /// Number of outstanding members, as far as known.
    pub members_total: u32,
    /// Replicas that did not answer in the previous round, if no majority answered.
    pub replicas: Vec<ReplicaId>,
}

impl Outstanding {
    fn add_member(&mut self, member: MemberId) {
        self.members_total += 1;
        if self.members.len() < MAX_NAMED_MEMBERS && !self.members.contains(&member) {
            self.members.push(member);
        }
    }

    fn add_report(&mut self, report: &MemberReport) {
        self.members_total += report.laggards_total;
        for member in &report.laggards {
            if self.members.len() < MAX_NAMED_MEMBERS && !self.members.contains(member) {
                self.members.push(*member);
            }
        }
    }
}

/// Tracks the completion of the purges of one replica.
#[derive(Clone, Debug)]
pub struct Completion {
    own_id: ReplicaId,
    /// Number of replicas.
    replicas: usize,
    injected_defects: InjectedDefects,
    round: u64,
    /// Replies in the current round, including this replica's own.
    replies: BTreeMap<ReplicaId, RoundReply>,
    /// Position that a majority held in the previous round; the current round has to confirm it.
    majority_position: Option<MajorityPosition>,
    reports: BTreeMap<ReplicaId, AssignedReplicaReport>,
    done_through: Position,
    outstanding: Outstanding,
}

impl Completion {
    /// Starts with no purge done; the next round is `round + 1`.
    pub fn new(
        own_id: ReplicaId,
        replicas: usize,
        round: u64,
        injected_defects: InjectedDefects,
    ) -> Completion {
        Completion {
            own_id,
            replicas,
            injected_defects,
            round,
            replies: BTreeMap::new(),
            majority_position: None,
            reports: BTreeMap::new(),
            done_through: Position::ZERO,
            outstanding: Outstanding::default(),
        }
    }

    /// The number of replicas that form a majority.
    fn majority(&self) -> usize {
        self.replicas / 2 + 1
    }

    /// The number of the current round.
    pub fn round(&self) -> u64 {
        self.round
    }

    /// Whether a majority has answered in the current round.
    pub fn has_majority(&self) -> bool {
        self.replies.len() >= self.majority()
    }

    /// The position up to which purges are done.
    pub fn done_through(&self) -> Position {
        self.done_through
    }

    /// The members and replicas that pending purges wait for.
    pub fn outstanding(&self) -> &Outstanding {
        &self.outstanding
    }

    /// Begins a round and returns its number. The round has to confirm the position that a majority held in the last
    /// round.
    pub fn begin_round(&mut self, incarnation: u64, held: Position, change: u64) -> u64 {
        self.majority_position = self.held_by_majority();
        self.outstanding.replicas = self.missing_replicas();
        self.round += 1;
        self.replies.clear();
        self.replies.insert(self.own_id, RoundReply { incarnation, held, change });
        self.round
    }

    /// The greatest position that a majority has shown to hold in the current round.
    fn held_by_majority(&self) -> Option<MajorityPosition> {
        let mut positions: Vec<Position> = self.replies.values().map(|reply| reply.held).collect();
        positions.sort_unstable();
        let through = *positions.get(positions.len().checked_sub(self.majority())?)?;
        let holding = self.replies.iter().filter(|(_, reply)| reply.held >= through);
        let incarnations = holding.map(|(replica, reply)| (*replica, reply.incarnation)).collect();
        Some(MajorityPosition { through, incarnations })
    }

    fn missing_replicas(&self) -> Vec<ReplicaId> {
        if self.has_majority() {
            return Vec::new();
        }
        let all = (0..self.replicas).map(|index| ReplicaId(index as u8));
        all.filter(|replica| !self.replies.contains_key(replica)).collect()
    }

    /// Handles a reply to a status request of this incarnation. A reply to an earlier round only updates the report.
    pub fn on_reply(&mut self, from: ReplicaId, reply: &StatusReply) {
        if reply.round > self.round {
            return;
        }
        if reply.round == self.round {
            let held = reply.vector.get(self.own_id);
            let reply = RoundReply { incarnation: reply.incarnation, held, change: reply.change };
            self.replies.insert(from, reply);
        }
        let newest = self.reports.get(&from).map(|known| (known.incarnation, known.round));
        if newest < Some((reply.incarnation, reply.round)) {
            let report = AssignedReplicaReport {
                incarnation: reply.incarnation,
                round: reply.round,
                held: reply.vector.get(self.own_id),
                change: reply.change,
                report: reply.report.clone(),
            };
            self.reports.insert(from, report);
        }
    }

    /// Evaluates the replies so far; `own_report` is the report on the members assigned to this replica.
    pub fn evaluate(&mut self, tables: Tables<'_>, own_report: &MemberReport) {
        let majority_position = match self.injected_defects.has(InjectedDefect::SecondRoundSkipped) {
            true => self.held_by_majority(),
            false => self.majority_position.clone(),
        };
        let Some(majority_position) = majority_position else { return };
        let quorum = self.confirmed_quorum(&majority_position, tables);
        if quorum.len() < self.majority() {
            return;
        }
        let mut through = majority_position.through;
        let mut outstanding = Outstanding::default();
        let mut has_unknown_coverage = false;
        for registration in self.registrations_of(&quorum, tables).values() {
            match self.coverage(registration, tables, own_report) {
                Coverage::Released => {}
                Coverage::AppliedThrough(position) => {
                    through = through.min(position);
                    let assigned_replica = registration.assigned_replica;
                    if position < majority_position.through
                        && !self.has_current_laggards(assigned_replica, majority_position.through)
                    {
                        outstanding.add_member(registration.member);
                    }
                }
                Coverage::Unknown => {
                    has_unknown_coverage = true;
                    outstanding.add_member(registration.member);
                }
            }
        }
        if !has_unknown_coverage {
            self.done_through = self.done_through.max(through);
        }
        outstanding.add_report(own_report);
        for (assigned_replica, known) in &self.reports {
            if self.has_current_laggards(*assigned_replica, majority_position.through) {
                outstanding.add_report(&known.report);
            }
        }
        outstanding.replicas = std::mem::take(&mut self.outstanding.replicas);
        self.outstanding = outstanding;
    }

    /// Whether the laggards in the newest report of an assigned replica are all its members that are behind this
    /// position. A report sent before the assigned replica held the position doesn't count them all; then each member
    /// that is behind is counted on its own.
    fn has_current_laggards(&self, assigned_replica: ReplicaId, through: Position) -> bool {
        assigned_replica == self.own_id
            || self.reports.get(&assigned_replica).is_some_and(|known| known.held >= through)
    }

    /// The replicas that have confirmed the majority position in this round, and whose tables as of their replies are
    /// available here.
    fn confirmed_quorum(&self, majority_position: &MajorityPosition, tables: Tables<'_>) -> Vec<ReplicaId> {
        let is_confirmed = |replica: &ReplicaId, reply: &RoundReply| {
            let held_in = majority_position.incarnations.get(replica);
            let is_same_incarnation = held_in == Some(&reply.incarnation)
                || held_in.is_some() && self.injected_defects.has(InjectedDefect::IncarnationIgnored);
            is_same_incarnation
                && reply.held >= majority_position.through
                && tables.is_complete(*replica, reply.incarnation, reply.change)
        };
        let confirmed = self.replies.iter().filter(|(replica, reply)| is_confirmed(replica, reply));
        confirmed.map(|(replica, _)| *replica).collect()
    }

    /// For each member in the tables of a quorum, the registration with the greatest epoch in any table, and in the
    /// greatest state that any table has for this epoch.
    fn registrations_of(&self, quorum: &[ReplicaId], tables: Tables<'_>) -> BTreeMap<MemberId, Registration> {
        let mut registrations: BTreeMap<MemberId, Registration> = BTreeMap::new();
        let own_only = self.injected_defects.has(InjectedDefect::OwnTableOnly);
        for replica in quorum.iter().filter(|replica| !own_only || **replica == self.own_id) {
            for (member, registration) in tables.registrations(*replica).into_iter().flatten() {
                let known = registrations.entry(*member).or_insert(*registration);
                if (registration.epoch, registration.state) > (known.epoch, known.state) {
                    *known = *registration;
                }
            }
        }
        for registration in registrations.values_mut() {
            for other in tables.registrations_of_member(registration.member) {
                if (other.epoch, other.state) > (registration.epoch, registration.state) {
                    *registration = *other;
                }
            }
        }
        registrations
    }

    /// The purges that a registration's member has applied, by the table and the report of its assigned replica.
    fn coverage(
        &self,
        registration: &Registration,
        tables: Tables<'_>,
        own_report: &MemberReport,
    ) -> Coverage {
        if registration.state == RegistrationState::Released {
            return Coverage::Released;
        }
        let assigned_replica = registration.assigned_replica;
        let at_assigned_replica =
            tables.registrations(assigned_replica).and_then(|table| table.get(&registration.member));
        let Some(at_assigned_replica) =
            at_assigned_replica.filter(|at_assigned_replica| at_assigned_replica.epoch == registration.epoch)
        else {
            return Coverage::Unknown;
        };
        match at_assigned_replica.state {
            RegistrationState::Released => Coverage::Released,
            RegistrationState::Known => Coverage::Unknown,
            RegistrationState::Active if assigned_replica == self.own_id => {
                coverage_from_floor(own_report.floor)
            }
            RegistrationState::Active => match self.reports.get(&assigned_replica) {
                Some(known)
                    if tables.is_complete(assigned_replica, known.incarnation, known.change)
                        && at_assigned_replica.change <= known.change =>
                {
                    coverage_from_floor(known.report.floor)
                }
                _ => Coverage::Unknown,
            },
        }
    }
}

fn coverage_from_floor(floor: Option<Position>) -> Coverage {
    floor.map_or(Coverage::Unknown, Coverage::AppliedThrough)
}
