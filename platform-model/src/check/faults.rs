//! Checks an experiment's faults: times, fields, values, targets, and contradictions.

use super::Problems;
use crate::experiment::{Experiment, Fault, FaultKind};
use crate::group::{resolve_group, GroupMembers};
use crate::rng::{seeded_rng, RngStream, SeededRng};

/// Checks each fault, then all faults for contradictions between them.
pub fn check_faults(problems: &mut Problems<'_>, experiment: &Experiment) {
    let mut rng = seeded_rng(experiment.seed, RngStream::Groups);
    let mut members = Vec::new();
    for (number, fault) in experiment.fault.iter().enumerate() {
        let mut check = FaultCheck { problems, experiment, number, fault };
        check.check_times();
        check.check_fields();
        check.check_values();
        let groups = check.resolve_groups(&mut rng);
        check.check_link_ends(&groups);
        members.push(groups);
    }
    check_contradictions(problems, experiment, &members);
}

/// One fault under check.
struct FaultCheck<'a, 'b> {
    problems: &'a mut Problems<'b>,
    experiment: &'a Experiment,
    /// Number of the fault, from 0.
    number: usize,
    fault: &'a Fault,
}

impl FaultCheck<'_, '_> {
    fn add(&mut self, field: &str, description: impl Into<String>) {
        self.problems.add_to_fault(self.number, field, description);
    }

    fn check_times(&mut self) {
        let at = self.fault.at;
        let seconds = self.experiment.seconds;
        if !(at >= 0.0 && at.is_finite()) {
            self.add("at", "must begin at 0 s or later");
        } else if at > seconds {
            self.add("at", format!("must not begin after the load has ended, at {seconds} s"));
        }
        if self.fault.duration_s.is_some_and(|duration_s| duration_s.is_nan() || duration_s <= 0.0) {
            self.add("for", "must last longer than 0 s");
        }
    }

    /// Checks for missing required fields, and for fields that the kind does not have.
    fn check_fields(&mut self) {
        let kind = self.fault.kind;
        let (required, optional) = fields_of(kind);
        for (field, is_given) in given_fields(self.fault) {
            if required.contains(&field) && !is_given {
                self.add(field, format!("{kind:?} requires this field"));
            }
            if is_given && !required.contains(&field) && !optional.contains(&field) {
                self.add(field, format!("{kind:?} has no such field"));
            }
        }
    }

    fn check_values(&mut self) {
        let fault = self.fault;
        if fault.share.is_some_and(|share| !(share > 0.0 && share <= 1.0)) {
            self.add("share", "must be a share over 0 and up to 1");
        }
        let non_negative_fields = [
            ("ms", fault.ms),
            ("jitter", fault.jitter),
            ("back", fault.restart_after_s),
            ("seconds", fault.max_notice_delay_s),
        ];
        for (field, value) in non_negative_fields {
            if value.is_some_and(|value| value.is_nan() || value < 0.0) {
                self.add(field, "must be a number of at least 0");
            }
        }
        for (field, value) in [("times", fault.slowdown_factor), ("every", fault.step_s)] {
            if value.is_some_and(|value| value.is_nan() || value <= 0.0) {
                self.add(field, "must be a number over 0");
            }
        }
    }

    /// The members of the groups that the fault names, without invalid groups.
    fn resolve_groups(&mut self, rng: &mut SeededRng) -> Vec<GroupMembers> {
        let fault = self.fault;
        let link_ends = fault.link_ends.iter().flatten().map(|text| ("between", text));
        let targets = fault.targets.iter().map(|text| ("who", text));
        let mut groups = Vec::new();
        for (field, text) in link_ends.chain(targets) {
            match resolve_group(text, &self.experiment.fleet, rng) {
                Ok(group) => {
                    if let Some(problem) = target_problem(fault.kind, &group) {
                        self.add(field, format!("{text:?}: {problem}"));
                    }
                    groups.push(group);
                }
                Err(error) => self.add(field, error.to_string()),
            }
        }
        groups
    }

    fn check_link_ends(&mut self, groups: &[GroupMembers]) {
        let affects_packets = matches!(self.fault.kind, FaultKind::Repeat | FaultKind::Reorder);
        let uses_tcp = |group: &GroupMembers| !group.servers.is_empty() || group.origin || group.discovery;
        if affects_packets && groups.iter().any(uses_tcp) {
            let problem =
                "TCP hides repeated and reordered packets from both ends: name balancers on both sides";
            self.add("between", problem);
        }
        if let (false, [first, second]) = (affects_packets, groups) {
            if first.balancers.is_empty() && second.balancers.is_empty() {
                let problem = "no link connects the two groups: one of them has to name balancers";
                self.add("between", problem);
            }
        }
    }
}

/// The fields of a fault other than `at` and `what`, and whether each is given.
fn given_fields(fault: &Fault) -> [(&'static str, bool); 11] {
    [
        ("for", fault.duration_s.is_some()),
        ("between", fault.link_ends.is_some()),
        ("direction", fault.direction.is_some()),
        ("who", fault.targets.is_some()),
        ("share", fault.share.is_some()),
        ("ms", fault.ms.is_some()),
        ("jitter", fault.jitter.is_some()),
        ("times", fault.slowdown_factor.is_some()),
        ("back", fault.restart_after_s.is_some()),
        ("every", fault.step_s.is_some()),
        ("seconds", fault.max_notice_delay_s.is_some()),
    ]
}

/// Names of fields.
type FieldNames = &'static [&'static str];

/// The fields of a kind of fault other than `at` and `what`: the required and the optional ones.
fn fields_of(kind: FaultKind) -> (FieldNames, FieldNames) {
    match kind {
        FaultKind::Cut | FaultKind::Reset => (&["between"], &["for", "direction"]),
        FaultKind::Lose | FaultKind::Repeat | FaultKind::Reorder | FaultKind::Spoil => {
            (&["between", "share"], &["for", "direction"])
        }
        FaultKind::Delay => (&["between", "ms"], &["for", "direction", "jitter"]),
        FaultKind::Kill | FaultKind::Term => (&["who"], &["back"]),
        FaultKind::Freeze => (&["for", "who"], &[]),
        FaultKind::Roll => (&["who", "share", "every"], &[]),
        FaultKind::Silent | FaultKind::Drain | FaultKind::Gone => (&["who"], &["for"]),
        FaultKind::Slow => (&["who", "times"], &["for"]),
        FaultKind::Failing => (&["who", "share"], &["for"]),
        FaultKind::Restart | FaultKind::Replace => (&["who"], &[]),
        FaultKind::Flap => (&["who", "every"], &["for"]),
        FaultKind::OriginSlow => (&["times"], &["for"]),
        FaultKind::DiscoveryDown => (&[], &["for"]),
        FaultKind::ListLate => (&["seconds"], &["for"]),
    }
}

/// The reason why a fault of this kind cannot target these members, if there is one.
fn target_problem(kind: FaultKind, group: &GroupMembers) -> Option<&'static str> {
    match kind {
        FaultKind::Kill | FaultKind::Term | FaultKind::Freeze | FaultKind::Roll => {
            (group.balancers.is_empty()).then_some("the fault applies to processes: name balancers")
        }
        FaultKind::Silent
        | FaultKind::Slow
        | FaultKind::Failing
        | FaultKind::Drain
        | FaultKind::Gone
        | FaultKind::Restart
        | FaultKind::Replace
        | FaultKind::Flap => {
            (group.servers.is_empty()).then_some("the fault applies to cache hosts: name hosts or a zone")
        }
        _ => None,
    }
}

/// A state that only one fault can set at a time.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ExclusiveState {
    /// A server's state in the endpoint list.
    ServerLifecycle,
    /// Whether a server answers.
    ServerSilence,
    /// Whether a process runs.
    Process,
}

fn exclusive_state(kind: FaultKind) -> Option<ExclusiveState> {
    match kind {
        FaultKind::Drain | FaultKind::Gone | FaultKind::Restart | FaultKind::Replace => {
            Some(ExclusiveState::ServerLifecycle)
        }
        FaultKind::Silent | FaultKind::Flap => Some(ExclusiveState::ServerSilence),
        FaultKind::Kill | FaultKind::Term | FaultKind::Freeze | FaultKind::Roll => {
            Some(ExclusiveState::Process)
        }
        _ => None,
    }
}

/// Finds faults that set the same state of a member at the same time, such as frozen and killed, or draining and
/// gone.
fn check_contradictions(problems: &mut Problems<'_>, experiment: &Experiment, members: &[Vec<GroupMembers>]) {
    for (later_index, second) in experiment.fault.iter().enumerate() {
        for (earlier_index, first) in experiment.fault[..later_index].iter().enumerate() {
            let Some(state) = exclusive_state(first.kind) else { continue };
            let is_same_state = exclusive_state(second.kind) == Some(state);
            if is_same_state
                && overlap_in_time(first, second)
                && share_members(state, &members[earlier_index], &members[later_index])
            {
                let (number, kind) = (earlier_index + 1, first.kind);
                let problem = format!(
                    "contradicts fault {number} ({kind:?}): both apply to the same members at the same time"
                );
                problems.add_to_fault(later_index, "what", problem);
            }
        }
    }
}

fn overlap_in_time(first: &Fault, second: &Fault) -> bool {
    first.at <= end_of(second) && second.at <= end_of(first)
}

/// The end of a fault in seconds. A fault that stops or restarts members ends when they start again, or at once; any
/// other fault without a duration lasts to infinity.
fn end_of(fault: &Fault) -> f64 {
    match fault.kind {
        FaultKind::Restart | FaultKind::Replace | FaultKind::Kill | FaultKind::Term | FaultKind::Roll => {
            fault.at + fault.restart_after_s.unwrap_or(0.0)
        }
        _ => fault.at + fault.duration_s.unwrap_or(f64::INFINITY),
    }
}

/// Whether the groups of two faults share a member that has this state.
fn share_members(state: ExclusiveState, first: &[GroupMembers], second: &[GroupMembers]) -> bool {
    let members = |group: &GroupMembers| match state {
        ExclusiveState::Process => group.balancers.clone(),
        ExclusiveState::ServerLifecycle | ExclusiveState::ServerSilence => group.servers.clone(),
    };
    let second: Vec<usize> = second.iter().flat_map(members).collect();
    first.iter().flat_map(members).any(|member| second.contains(&member))
}
