//! The gap of one server: which share r of the sends there is rejected, and how long a source waits
//! between two of them (section 3.2 of the paper).

use super::measure::BLEND;
use crate::interface::*;

/// Ratio y of the ladder: a finer one settles nearer the right gap, a coarser one gets there sooner.
pub(super) const RATIO: f64 = 1.5;
/// Low threshold on r: any steady rejection above a chance one is a sign of overload.
pub(super) const LOW: f64 = 0.05;
/// Outcomes a window needs: with fewer, one chance rejection would pass `high`.
pub(super) const MIN_OUTCOMES: f64 = 3.0;
/// The same under a gap, where outcomes come one a gap and the next answer may be long in coming.
pub(super) const MIN_GAPPED: f64 = 2.0;
/// Duration d in gaps: long enough that the trickle's own outcomes renew it before it ends.
pub(super) const HOLD_GAPS: f64 = 8.0;
/// Served outcomes taken to be hidden behind a window of rejections only.
pub(super) const UNSEEN: f64 = 0.25;
/// Rungs down after a window without rejections: one a window takes a slow sender longer than any
/// overload lasts, and the balancers' spread settling keeps the fleet from stepping down as one.
pub(super) const RELEASE_RUNGS: u32 = 3;
/// Longest duration d in longest client deadlines: a router that sends a server one request in ten
/// seconds would otherwise shun it for minutes on two rejections.
pub(super) const HOLD_DEADLINES: f64 = 6.0;
/// Longest gap in longest client deadlines: a dead server then costs each source one try in it.
pub(super) const MAX_GAP_DEADLINES: f64 = 4.0;

/// Which part of all sends a server turned away, and the gap that answers it (section 3.2).
#[derive(Debug, Default)]
pub(super) struct Gap {
    pub(super) rung: u32,
    pub(super) until: Micros,
    pub(super) settled: Micros,
    pub(super) opened: Micros,
    pub(super) last: Micros,
    pub(super) outcomes: f64,
    pub(super) rejected: f64,
    pub(super) passes: Vec<(u32, Micros)>,
    pub(super) wanted: Micros,
    pub(super) pace: f64,
}

/// The gap's constants, derived from the settings once.
#[derive(Debug)]
pub(super) struct Ladder {
    pub(super) base: f64,
    pub(super) window: Micros,
    pub(super) top: u32,
    pub(super) longest: Micros,
}

impl Ladder {
    pub(super) fn new(settings: &Settings) -> Ladder {
        let base = settings.tick.0.max(1_000) as f64;
        let aims = settings.classes.iter().map(|c| c.aim).min();
        let longest = settings.classes.iter().map(|c| c.deadline).max().unwrap_or(Micros(1_000_000));
        let most = longest.times(MAX_GAP_DEADLINES).0.max(1) as f64;
        let top = ((most / base).ln() / RATIO.ln()).clamp(1.0, 64.0) as u32;
        Ladder { base, window: aims.unwrap_or(Micros(250_000)), top, longest }
    }

    pub(super) fn length(&self, rung: u32) -> Micros {
        if rung == 0 {
            return Micros(0);
        }
        Micros((self.base * RATIO.powi(rung as i32)) as u64)
    }

    /// The first rung that cuts a source of this pace by the rejected share r: by the paper's rate
    /// 1 / (1 / rate + gap) that is a gap of r / (1 - r) times the mean time between requests.
    pub(super) fn binding(&self, pace: f64, r: f64) -> u32 {
        let gap = pace * r / (1.0 - r).max(0.05);
        let rung = (gap.max(1.0) / self.base).ln() / RATIO.ln();
        (rung.ceil().max(1.0) as u32).min(self.top)
    }
}

impl Gap {
    /// Notes that a source would like to send, for the pace of this balancer's own demand.
    pub(super) fn want(&mut self, now: Micros) {
        if self.wanted.0 > 0 {
            let step = now.minus(self.wanted).0 as f64;
            self.pace += if self.pace == 0.0 { step } else { (step - self.pace) * BLEND };
        }
        self.wanted = now;
    }

    pub(super) fn active(&self, now: Micros) -> bool {
        self.rung > 0 && now < self.until
    }

    /// Time until this source may pass; zero is now.
    pub(super) fn wait(&self, now: Micros, source: u32, ladder: &Ladder, ease: u32) -> Micros {
        if !self.active(now) {
            return Micros(0);
        }
        let gap = ladder.length(self.rung.saturating_sub(ease));
        let last = self.passes.iter().find(|(s, _)| *s == source).map_or(Micros(0), |(_, at)| *at);
        last.plus(gap).minus(now)
    }

    pub(super) fn pass(&mut self, now: Micros, source: u32) {
        match self.passes.iter_mut().find(|(s, _)| *s == source) {
            Some((_, at)) => *at = now,
            None => self.passes.push((source, now)),
        }
    }

    /// Counts an outcome; closes the window when it has lasted long enough *and* holds enough.
    pub(super) fn outcome(&mut self, now: Micros, rejected: bool, ladder: &Ladder, rng: &mut fastrand::Rng) {
        let g = ladder.length(self.rung);
        let stale = ladder.window.times(8.0).max(g.times(HOLD_GAPS));
        if now.minus(self.last) > stale {
            // Evidence that nobody added to for so long tells of another time.
            (self.outcomes, self.rejected, self.opened) = (0.0, 0.0, now);
        }
        if self.rung > 0 && now >= self.until {
            self.rung = 0;
        }
        self.last = now;
        self.outcomes += 1.0;
        self.rejected += f64::from(rejected);
        let high = 1.0 - 1.0 / RATIO;
        let least = if self.rung > 0 { MIN_GAPPED } else { MIN_OUTCOMES };
        let plain = self.outcomes >= least && now.minus(self.opened) >= ladder.window;
        // Sure before its end is a first window only if it is over high whatever the rest of it brings: a
        // busy server that stands still for a moment rejects a handful in a row.
        let first = self.rung == 0 && self.pace > 0.0;
        let whole = if first { ladder.window.0 as f64 / self.pace } else { 0.0 };
        let sure = self.rejected > high * self.outcomes.max(MIN_OUTCOMES).max(whole);
        if !(plain || sure) || now < self.settled {
            return;
        }
        // Less than one served outcome more than seen keeps r below one, so that a few samples never
        // ask for the top rung, yet a source whose sends all fail drops to a ninth in one step.
        let unseen = UNSEEN * f64::from(self.rejected == self.outcomes);
        let r = self.rejected / (self.outcomes + unseen);
        let before = self.rung;
        let pace = self.pace * self.passes.len().max(1) as f64;
        if r > high {
            let steps = (-(1.0 - r).ln() / RATIO.ln()) as u32;
            let first = ladder.binding(pace, r);
            self.rung = if before == 0 { first } else { (before + steps.max(1)).min(ladder.top) };
        } else if r < LOW && before > 0 {
            // A rung that no longer holds this balancer's own demand back is none.
            self.rung =
                if before <= ladder.binding(pace, 0.1) { 0 } else { before.saturating_sub(RELEASE_RUNGS) };
        }
        let g = ladder.length(self.rung);
        if self.rung != before {
            // The wait differs by balancer, so that hundreds neither climb nor release together.
            self.settled = now.plus(ladder.window.max(g).times(0.5 + rng.f64()));
        }
        if r > LOW || self.rung != before {
            let hold = ladder.window.max(g).times(HOLD_GAPS).min(ladder.longest.times(HOLD_DEADLINES)).max(g);
            self.until = now.plus(hold.times(1.0 + rng.f64()));
        }
        (self.outcomes, self.rejected, self.opened) = (0.0, 0.0, now);
    }
}
