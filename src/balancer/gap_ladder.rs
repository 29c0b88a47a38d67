//! The gap of one server: the minimum time between two sends from one source to a server that rejects too
//! many of them.
//!
//! Inputs are the outcomes of this balancer's own attempts at the server. The gap is a rung of a ladder of
//! lengths that grow by [`RUNG_RATIO`]; rung 0 is no gap. A high rejected share raises the gap, a low share
//! lowers it (the paper, section 3.2), and a gap that no outcome renews expires. Outcomes are counted in
//! windows. Without a gap, a window, called a first window, has to collect enough outcomes; while there is a
//! gap, each outcome completes a window. The source of a send is the tenant of its request; requests without
//! a known tenant share one source.

use rustc_hash::FxHashMap;

use crate::settings::Settings;
use crate::time::Micros;

/// Ratio of the lengths of adjacent rungs: a smaller ratio settles closer to the right gap, a larger ratio
/// reaches it sooner.
pub(super) const RUNG_RATIO: f64 = 1.5;
/// Rejected share above which the gap grows, as the paper derives it from the ratio.
pub(super) const RAISE_ABOVE_REJECTED_SHARE: f64 = 1.0 - 1.0 / RUNG_RATIO;
/// Rejected share below which the gap shrinks and above which it is renewed.
pub(super) const LOWER_BELOW_REJECTED_SHARE: f64 = 0.05;
/// Rungs by which one decrease lowers the gap.
const RUNGS_PER_DECREASE: u32 = 3;
/// Shortest lifetime of a gap, in gap lengths; the lifetime is drawn from one to two times this. The shortest
/// lifetime is long enough for several sends at the gap's pace, whose outcomes can renew the gap.
const MIN_LIFETIME_IN_GAPS: f64 = 4.0;
/// Longest settling time after a raise, as a share of the gap. Outcomes of sends before its end do not count.
const SETTLING_SHARE_OF_GAP: f64 = 0.5;

/// Outcomes that complete a first window, over all balancers together.
const FIRST_WINDOW_OUTCOMES: f64 = 12.0;
/// Lower bound on the outcomes that complete a first window at one balancer.
const MIN_WINDOW_OUTCOMES: f64 = 1.0;
/// Upper bound on the outcomes that complete a first window at one balancer.
const MAX_WINDOW_OUTCOMES: f64 = 4.0;
/// Minimum length of a first window for each outcome that completes it, as a share of the window length.
const MIN_WINDOW_SHARE_PER_OUTCOME: f64 = 0.25;
/// Age in window lengths after which an incomplete first window is discarded.
pub(super) const EVIDENCE_LIFETIME_IN_WINDOWS: f64 = 8.0;
/// Outcomes added to the total of a window in which all were rejected: more outcomes might have included a
/// few served ones.
const UNOBSERVED_OUTCOMES: f64 = 0.25;

/// Number of balancers up to which the longest gap equals the longest deadline.
pub(super) const BALANCERS_WITHOUT_LONGER_GAPS: u32 = 3;
/// Window length as a share of the shortest latency objective.
const WINDOW_SHARE_OF_OBJECTIVE: f64 = 0.5;
/// Lower bound on the base length of a ladder, in microseconds.
const MIN_BASE_MICROS: u64 = 1_000;
/// Upper bound on the number of rungs.
const MAX_RUNGS: f64 = 64.0;
/// Latency objective if the settings have no class.
const DEFAULT_LATENCY_OBJECTIVE: Micros = Micros::from_millis(500);
/// Deadline if the settings have no class.
const DEFAULT_DEADLINE: Micros = Micros::SECOND;

/// The possible lengths of a gap and the evidence needed to change it. One ladder serves all cache servers,
/// another one the origin.
#[derive(Debug)]
pub(super) struct GapLadder {
    /// Base length in microseconds; the length of rung 1 is [`RUNG_RATIO`] times the base.
    base: f64,
    /// Length of a window of outcomes.
    pub(super) window: Micros,
    /// The highest rung.
    pub(super) highest_rung: u32,
    /// Outcomes that complete a first window at this balancer; at least one.
    pub(super) window_outcomes: f64,
}

impl GapLadder {
    /// Builds the ladder for this number of balancers.
    ///
    /// The longest gap is the longest deadline times the square root of balancers / 3, and at least the
    /// longest deadline. With more balancers, more attempts fail at a dead server in each gap, while a late
    /// return to a recovered server costs no more, so the gap may be longer.
    pub(super) fn new(settings: &Settings, balancers: u32) -> GapLadder {
        let objectives = settings.classes.iter().map(|class| class.latency_objective);
        let shortest_objective = objectives.min().unwrap_or(DEFAULT_LATENCY_OBJECTIVE);
        let deadlines = settings.classes.iter().map(|class| class.deadline);
        let longest_deadline = deadlines.max().unwrap_or(DEFAULT_DEADLINE);

        let base = settings.min_batch_interval.0.max(MIN_BASE_MICROS) as f64;
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

    /// Length of the gap on this rung; zero for rung 0.
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

    /// Whether a single outcome completes a first window. In a large fleet, one balancer sends to a server
    /// too seldom to wait for several outcomes.
    pub(super) fn is_one_outcome_sufficient(&self) -> bool {
        self.window_outcomes <= 1.0
    }
}

/// The outcome of one send to a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct SendOutcome {
    /// Time of the send.
    pub(super) sent: Micros,
    /// Time at which the outcome was known.
    pub(super) completed: Micros,
    /// Whether the server rejected the request, was unreachable or did not respond in time.
    pub(super) is_rejected: bool,
}

/// The gap of one server, with the outcomes of the current window.
#[derive(Debug, Default)]
pub(super) struct Gap {
    /// Rung of the ladder; 0 is no gap.
    pub(super) rung: u32,
    /// Time at which the gap expires unless an outcome renews it.
    pub(super) ends_at: Micros,
    /// Outcomes of sends before this time do not count for the current rung.
    settled_from: Micros,
    /// Start of the current window.
    window_opened: Micros,
    /// Outcomes in the current window.
    outcomes: f64,
    /// Rejected outcomes in the current window.
    rejected: f64,
    /// Time of the last send, by source.
    last_sends: FxHashMap<u32, Micros>,
}

impl Gap {
    /// Whether the gap is in effect.
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

    /// Records a send of this source.
    pub(super) fn on_send(&mut self, now: Micros, source: u32) {
        self.last_sends.insert(source, now);
    }

    /// Counts the outcome of a send, and updates the gap if the outcome completes a window. `random`, from 0
    /// to 1, varies the settling time and the lifetime of the gap, so that balancers do not change their gaps
    /// in step.
    pub(super) fn on_outcome(&mut self, outcome: SendOutcome, ladder: &GapLadder, random: f64) {
        let now = outcome.completed;
        if now >= self.ends_at {
            self.rung = 0;
        }
        if outcome.sent < self.settled_from {
            return;
        }
        self.discard_expired_evidence(outcome, ladder);
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
            self.ends_at = now + gap.mul_f64(MIN_LIFETIME_IN_GAPS * (1.0 + random));
        }
        self.open_window(now);
    }

    /// Discards a first window that is older than the evidence lifetime. While there is a gap, evidence does
    /// not expire.
    fn discard_expired_evidence(&mut self, outcome: SendOutcome, ladder: &GapLadder) {
        let age = outcome.completed - self.window_opened;
        if self.rung == 0 && age > ladder.window.mul_f64(EVIDENCE_LIFETIME_IN_WINDOWS) {
            self.open_window(outcome.sent);
        }
    }

    /// Opens an empty window.
    fn open_window(&mut self, opened: Micros) {
        self.outcomes = 0.0;
        self.rejected = 0.0;
        self.window_opened = opened;
    }

    /// Whether the window has enough outcomes to change the gap. While there is a gap, each outcome completes
    /// a window.
    fn is_window_complete(&self, now: Micros, ladder: &GapLadder) -> bool {
        if self.rung > 0 {
            return true;
        }
        let min_length = ladder.window.mul_f64(MIN_WINDOW_SHARE_PER_OUTCOME * ladder.window_outcomes);
        self.outcomes >= ladder.window_outcomes && now - self.window_opened >= min_length
    }

    /// The rejected share of the window; always below one, so that the gap for the served rate stays finite.
    fn rejected_share(&self) -> f64 {
        let are_all_rejected = self.rejected == self.outcomes;
        self.rejected / if are_all_rejected { self.outcomes + UNOBSERVED_OUTCOMES } else { self.outcomes }
    }

    /// The rung after a window with this rejected share. The first gap matches the rate at which the server
    /// served requests; a later gap grows by as many rungs as the rejected share requires.
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
