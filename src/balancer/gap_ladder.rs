//! The gap of one server: how long each source leaves between two sends to it, while it rejects too many of
//! them.
//!
//! Inputs are the outcomes of this balancer's own attempts at the server. Their rejected share moves the
//! gap on a ladder of lengths that grow by [`RUNG_RATIO`]: up where it is high, down where it is low (the
//! paper, section 3.2). Rung 0 is no gap. The source of a send is its tenant, or the balancer where no tenant
//! is named. A gap that nothing renews ends by itself.

use rustc_hash::FxHashMap;

use crate::settings::Settings;
use crate::time::Micros;

/// Ratio between the lengths of two rungs: a smaller one settles nearer the right gap, a larger one gets
/// there sooner.
pub(super) const RUNG_RATIO: f64 = 1.5;
/// Rejected share above which the gap grows, as the paper derives it from the ratio.
pub(super) const RAISE_ABOVE_REJECTED_SHARE: f64 = 1.0 - 1.0 / RUNG_RATIO;
/// Rejected share below which the gap shrinks, and down to which it is renewed.
pub(super) const LOWER_BELOW_REJECTED_SHARE: f64 = 0.05;
/// Rungs that the gap falls at a time.
const RUNGS_PER_DECREASE: u32 = 3;
/// Shortest duration of a gap, in gap lengths; up to twice as long is drawn. Long enough that the outcomes of
/// what still passes renew it.
const MIN_DURATION_IN_GAPS: f64 = 4.0;
/// Longest time after a raise in which sends are not counted as evidence for it, as a share of the gap.
const SETTLING_SHARE_OF_GAP: f64 = 0.5;

/// Outcomes that the first window needs, of all balancers together.
const FIRST_WINDOW_OUTCOMES: f64 = 12.0;
/// Least outcomes that one balancer's first window needs.
const MIN_WINDOW_OUTCOMES: f64 = 1.0;
/// Most outcomes that one balancer's first window needs.
const MAX_WINDOW_OUTCOMES: f64 = 4.0;
/// Share of the window's length that a first window has to last for each outcome that it needs.
const MIN_WINDOW_SHARE_PER_OUTCOME: f64 = 0.25;
/// Windows after which a first window that is not complete starts again.
pub(super) const EVIDENCE_LIFETIME_IN_WINDOWS: f64 = 8.0;
/// Outcomes added to a window in which all were rejected: it may have hidden a few that would have been
/// served.
const UNSEEN_OUTCOMES: f64 = 0.25;

/// Up to this number of balancers the longest gap is the longest deadline.
pub(super) const BALANCERS_WITHOUT_LONGER_GAPS: u32 = 3;
/// Window's length as a share of the shortest latency objective.
const WINDOW_SHARE_OF_OBJECTIVE: f64 = 0.5;
/// Shortest length of the first rung, in microseconds.
const MIN_BASE_MICROS: u64 = 1_000;
/// Most rungs of a ladder.
const MAX_RUNGS: f64 = 64.0;
/// Latency objective where the settings have no class.
const DEFAULT_LATENCY_OBJECTIVE: Micros = Micros::from_millis(500);
/// Deadline where the settings have no class.
const DEFAULT_DEADLINE: Micros = Micros::SECOND;

/// The lengths that a gap may have and the evidence that moves it: the same for all servers of a kind.
#[derive(Debug)]
pub(super) struct GapLadder {
    /// Length that the ladder starts from, in microseconds; rung 1 is longer by the ratio.
    base: f64,
    /// Length of a window of outcomes.
    pub(super) window: Micros,
    /// The highest rung.
    pub(super) highest_rung: u32,
    /// Outcomes that a first window needs at this balancer; at least one.
    pub(super) window_outcomes: f64,
}

impl GapLadder {
    /// The longest gap is the longest deadline times the square root of balancers / 3, at least 1. With more
    /// balancers more attempts fail at a dead server in each gap, while a late return costs no more, so that
    /// the gap may be longer.
    pub(super) fn new(settings: &Settings, balancers: u32) -> GapLadder {
        let objectives = settings.classes.iter().map(|class| class.latency_objective);
        let shortest_objective = objectives.min().unwrap_or(DEFAULT_LATENCY_OBJECTIVE);
        let deadlines = settings.classes.iter().map(|class| class.deadline);
        let longest_deadline = deadlines.max().unwrap_or(DEFAULT_DEADLINE);

        let base = settings.tick.0.max(MIN_BASE_MICROS) as f64;
        let balancers = f64::from(balancers);
        let balancers_factor = (balancers / f64::from(BALANCERS_WITHOUT_LONGER_GAPS)).max(1.0).sqrt();
        let longest_gap = longest_deadline.mul_f64(balancers_factor);
        let rungs = (longest_gap.as_f64() / base).max(1.0).ln() / RUNG_RATIO.ln();
        GapLadder {
            base,
            window: shortest_objective.mul_f64(WINDOW_SHARE_OF_OBJECTIVE).max(Micros(1)),
            highest_rung: rungs.clamp(1.0, MAX_RUNGS) as u32,
            window_outcomes: (FIRST_WINDOW_OUTCOMES / balancers)
                .clamp(MIN_WINDOW_OUTCOMES, MAX_WINDOW_OUTCOMES),
        }
    }

    /// The length of the gap on this rung; zero for rung 0.
    pub(super) fn length(&self, rung: u32) -> Micros {
        if rung == 0 {
            return Micros::ZERO;
        }
        Micros((self.base * RUNG_RATIO.powi(rung as i32)) as u64)
    }

    /// The lowest rung whose gap is at least this long in microseconds; from 1 to the highest.
    fn rung_of(&self, gap_micros: f64) -> u32 {
        let rung = (gap_micros / self.base).max(1.0).ln() / RUNG_RATIO.ln();
        (rung.ceil().max(1.0) as u32).min(self.highest_rung)
    }

    /// Whether a single outcome is a window: a balancer that is one of many sends so seldom to a server that
    /// it cannot wait for several.
    pub(super) fn is_one_outcome_enough(&self) -> bool {
        self.window_outcomes <= 1.0
    }
}

/// How one send to a server ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct SendOutcome {
    /// When it was sent.
    pub(super) sent: Micros,
    /// When it ended.
    pub(super) completed: Micros,
    /// Whether the server rejected it, was out of reach or did not respond in time.
    pub(super) is_rejected: bool,
}

/// The gap of one server, with the outcomes of the current window.
#[derive(Debug, Default)]
pub(super) struct Gap {
    /// Rung of the ladder; 0 is no gap.
    pub(super) rung: u32,
    /// When the gap ends if nothing renews it.
    pub(super) ends_at: Micros,
    /// Only sends from this time on are evidence for the current rung.
    settled_from: Micros,
    /// When the current window opened.
    window_opened: Micros,
    /// Outcomes in the current window.
    outcomes: f64,
    /// Those of them that were rejected.
    rejected: f64,
    /// The last send of each source.
    last_sends: FxHashMap<u32, Micros>,
}

impl Gap {
    /// Whether there is a gap at this time.
    pub(super) fn is_active(&self, now: Micros) -> bool {
        self.rung > 0 && now < self.ends_at
    }

    /// How long this source has to wait before its next send; `Micros::ZERO` if it may send now.
    pub(super) fn wait(&self, now: Micros, source: u32, ladder: &GapLadder) -> Micros {
        if !self.is_active(now) {
            return Micros::ZERO;
        }
        let last_send = self.last_sends.get(&source).copied().unwrap_or_default();
        (last_send + ladder.length(self.rung)) - now
    }

    /// This source sends now.
    pub(super) fn on_send(&mut self, now: Micros, source: u32) {
        self.last_sends.insert(source, now);
    }

    /// Counts how a send ended, and moves the gap where that completes a window. `random`, from 0 to 1,
    /// varies how long the gap settles and lasts, so that balancers do not move together.
    pub(super) fn on_outcome(&mut self, outcome: SendOutcome, ladder: &GapLadder, random: f64) {
        let now = outcome.completed;
        if now >= self.ends_at {
            self.rung = 0;
        }
        if outcome.sent < self.settled_from {
            return;
        }
        self.forget_old_evidence(outcome, ladder);
        self.outcomes += 1.0;
        self.rejected += f64::from(outcome.is_rejected);
        if !self.is_window_complete(now, ladder) {
            return;
        }

        let rejected_share = self.rejected_share();
        let previous_rung = self.rung;
        self.rung = self.next_rung(now, rejected_share, ladder);
        let gap = ladder.length(self.rung).max(ladder.window);
        if self.rung > previous_rung {
            self.settled_from = now + gap.mul_f64(SETTLING_SHARE_OF_GAP * random);
        }
        if rejected_share > LOWER_BELOW_REJECTED_SHARE || self.rung != previous_rung {
            self.ends_at = now + gap.mul_f64(MIN_DURATION_IN_GAPS * (1.0 + random));
        }
        self.open_window(now);
    }

    /// Starts a new window where the current one has lasted too long; under a gap evidence stays.
    fn forget_old_evidence(&mut self, outcome: SendOutcome, ladder: &GapLadder) {
        let age = outcome.completed - self.window_opened;
        if self.rung == 0 && age > ladder.window.mul_f64(EVIDENCE_LIFETIME_IN_WINDOWS) {
            self.open_window(outcome.sent);
        }
    }

    /// Starts an empty window.
    fn open_window(&mut self, opened: Micros) {
        self.outcomes = 0.0;
        self.rejected = 0.0;
        self.window_opened = opened;
    }

    /// Whether the window holds enough to judge by. Under a gap each outcome is a window.
    fn is_window_complete(&self, now: Micros, ladder: &GapLadder) -> bool {
        if self.rung > 0 {
            return true;
        }
        let shortest = ladder.window.mul_f64(MIN_WINDOW_SHARE_PER_OUTCOME * ladder.window_outcomes);
        self.outcomes >= ladder.window_outcomes && now - self.window_opened >= shortest
    }

    /// The rejected share of the window; below one, so that the pace that was served stays finite.
    fn rejected_share(&self) -> f64 {
        let are_all_rejected = self.rejected == self.outcomes;
        self.rejected / if are_all_rejected { self.outcomes + UNSEEN_OUTCOMES } else { self.outcomes }
    }

    /// The rung after a window with this rejected share: a first gap is that of the pace that was served, a
    /// later one grows by as many rungs as the share asks for.
    fn next_rung(&self, now: Micros, rejected_share: f64, ladder: &GapLadder) -> u32 {
        if rejected_share < LOWER_BELOW_REJECTED_SHARE {
            return self.rung.saturating_sub(RUNGS_PER_DECREASE);
        }
        if rejected_share <= RAISE_ABOVE_REJECTED_SHARE {
            return self.rung;
        }
        let served_share = 1.0 - rejected_share;
        if self.rung == 0 {
            let window_length = (now - self.window_opened).as_f64();
            let sources = self.last_sends.len().max(1) as f64;
            return ladder.rung_of(window_length * sources / (self.outcomes * served_share));
        }
        let rungs = (-served_share.ln() / RUNG_RATIO.ln()) as u32;
        (self.rung + rungs.max(1)).min(ladder.highest_rung)
    }
}
