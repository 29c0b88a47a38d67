//! The gap of one server: the share r of rejected sends there, and the wait between two (paper, 3.2).

use rustc_hash::FxHashMap;

use crate::*;

/// Ratio y of the ladder: a finer one settles nearer the right gap, a coarser one gets there sooner.
pub(super) const RATIO: f64 = 1.5;
/// Share r over which the gap rises, as the paper has it, and under which it falls.
pub(super) const HIGH: f64 = 1.0 - 1.0 / RATIO;
pub(super) const LOW: f64 = 0.05;
/// Outcomes that a first window needs, of all balancers together; under a gap each is a window.
const LEAST: f64 = 12.0;
/// Windows for which evidence lasts that nobody adds to.
pub(super) const MEMORY: f64 = 8.0;
/// So many balancers probe a dead server once in the longest deadline; what a window hides of the served.
pub(super) const FEW: u32 = 3;
const UNSEEN: f64 = 0.25;
const RELEASE_RUNGS: u32 = 3;
/// Duration d in gaps: long enough that the trickle's own outcomes renew it.
const HOLD_GAPS: f64 = 4.0;

#[derive(Debug)]
pub(super) struct Ladder {
    base: f64,
    pub(super) window: Micros,
    pub(super) top: u32,
    pub(super) least: f64,
}

impl Ladder {
    /// The longest gap is the longest deadline, times the root of the number of balancers: what all lose at
    /// a dead server grows with it, and what they lose by finding it well late does not.
    pub(super) fn new(settings: &Settings, balancers: u32) -> Ladder {
        let base = settings.tick.0.max(1_000) as f64;
        let aim = settings.classes.iter().map(|c| c.latency_objective).min().unwrap_or(Micros(500_000));
        let longest = settings.classes.iter().map(|c| c.deadline).max().unwrap_or(Micros(1_000_000));
        let balancers = f64::from(balancers);
        let (window, least) = (aim.mul_f64(0.5).max(Micros(1)), (LEAST / balancers).clamp(1.0, 4.0));
        let longest = longest.mul_f64((balancers / f64::from(FEW)).max(1.0).sqrt());
        let top = ((longest.0 as f64 / base).max(1.0).ln() / RATIO.ln()).clamp(1.0, 64.0) as u32;
        Ladder { base, window, top, least }
    }

    pub(super) fn length(&self, rung: u32) -> Micros {
        Micros(if rung == 0 { 0 } else { (self.base * RATIO.powi(rung as i32)) as u64 })
    }

    pub(super) fn rung(&self, gap: f64) -> u32 {
        let rung = (gap / self.base).max(1.0).ln() / RATIO.ln();
        (rung.ceil().max(1.0) as u32).min(self.top)
    }
}

#[derive(Debug, Default)]
pub(super) struct Gap {
    pub(super) rung: u32,
    pub(super) until: Micros,
    raised: Micros,
    opened: Micros,
    outcomes: f64,
    rejected: f64,
    passes: FxHashMap<u32, Micros>,
}

impl Gap {
    pub(super) fn active(&self, now: Micros) -> bool {
        self.rung > 0 && now < self.until
    }

    pub(super) fn wait(&self, now: Micros, source: u32, ladder: &Ladder) -> Micros {
        let last = self.passes.get(&source).copied().unwrap_or_default();
        let until = if self.active(now) { last.saturating_add(ladder.length(self.rung)) } else { now };
        until.saturating_sub(now)
    }

    pub(super) fn pass(&mut self, now: Micros, source: u32) {
        self.passes.insert(source, now);
    }

    /// Counts how a send ended, and closes the window when it has lasted and holds enough.
    pub(super) fn outcome(&mut self, now: Micros, sent: Micros, rejected: bool, ladder: &Ladder, draw: f64) {
        self.rung *= u32::from(now < self.until);
        if sent < self.raised {
            return;
        }
        if now.saturating_sub(self.opened) > ladder.window.mul_f64(MEMORY) && self.rung == 0 {
            (self.outcomes, self.rejected, self.opened) = (0.0, 0.0, sent);
        }
        self.outcomes += 1.0;
        self.rejected += f64::from(rejected);
        let span = now.saturating_sub(self.opened);
        if self.rung == 0
            && (self.outcomes < ladder.least || span < ladder.window.mul_f64(0.25 * ladder.least))
        {
            return;
        }
        let r = self.rejected / (self.outcomes + UNSEEN * f64::from(self.rejected == self.outcomes));
        let before = self.rung;
        if r > HIGH && before == 0 {
            let sources = self.passes.len().max(1) as f64;
            self.rung = ladder.rung(span.0 as f64 * sources / (self.outcomes * (1.0 - r)));
        } else if r > HIGH {
            let steps = (-(1.0 - r).ln() / RATIO.ln()) as u32;
            self.rung = (before + steps.max(1)).min(ladder.top);
        } else if r < LOW {
            self.rung = before.saturating_sub(RELEASE_RUNGS);
        }
        let gap = ladder.length(self.rung).max(ladder.window);
        if self.rung > before {
            self.raised = now.saturating_add(gap.mul_f64(0.5 * draw));
        }
        if r > LOW || self.rung != before {
            self.until = now.saturating_add(gap.mul_f64(HOLD_GAPS * (1.0 + draw)));
        }
        (self.outcomes, self.rejected, self.opened) = (0.0, 0.0, now);
    }
}
