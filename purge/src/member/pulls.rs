//! The pulls of a member: when the next is due, and which are outstanding.

use std::collections::VecDeque;

use crate::config::MemberTiming;
use crate::Micros;

/// Maximum number of pulls whose answers are still accepted.
const MAX_OUTSTANDING_PULLS: usize = 4;

/// The pulls of a member.
#[derive(Clone, Debug)]
pub(super) struct Pulls {
    next_number: u32,
    /// Number and time of sending of each outstanding pull, the oldest first.
    outstanding: VecDeque<(u32, Micros)>,
    next_pull_at: Micros,
    /// Number of pulls sent since the last answer while an earlier one was outstanding.
    unanswered_pulls: u32,
    last_answer_at: Micros,
}

impl Pulls {
    pub(super) fn new(first_number: u32, first_at: Micros, now: Micros) -> Pulls {
        Pulls {
            next_number: first_number,
            outstanding: VecDeque::new(),
            next_pull_at: first_at,
            unanswered_pulls: 0,
            last_answer_at: now,
        }
    }

    /// Makes the next pull due and ignores answers to earlier ones, after a change of assigned replica or epoch.
    pub(super) fn restart(&mut self, now: Micros) {
        self.outstanding.clear();
        self.unanswered_pulls = 0;
        self.last_answer_at = now;
        self.next_pull_at = now;
    }

    pub(super) fn is_due(&self, now: Micros) -> bool {
        now >= self.next_pull_at
    }

    /// Numbers a pull that is sent now; the next is due after `resend_after` unless the answer reschedules it.
    pub(super) fn send(&mut self, now: Micros, resend_after: Micros) -> u32 {
        let number = self.next_number;
        self.next_number = self.next_number.wrapping_add(1);
        if self.outstanding.len() >= MAX_OUTSTANDING_PULLS {
            self.outstanding.pop_front();
        }
        self.unanswered_pulls = self.unanswered_pulls.saturating_add(u32::from(!self.outstanding.is_empty()));
        self.outstanding.push_back((number, now));
        self.next_pull_at = now + resend_after;
        number
    }

    /// Handles an answer; returns when its pull was sent, or none if the pull is no longer outstanding.
    pub(super) fn on_answer(&mut self, now: Micros, number: u32) -> Option<Micros> {
        let index = self.outstanding.iter().position(|(outstanding, _)| *outstanding == number)?;
        let (_, sent) = self.outstanding[index];
        self.outstanding.drain(..=index);
        self.unanswered_pulls = 0;
        self.last_answer_at = now;
        Some(sent)
    }

    pub(super) fn schedule(&mut self, next_pull_at: Micros) {
        self.next_pull_at = next_pull_at;
    }

    /// Whether the assigned replica has been silent for so long that the member should look for another.
    pub(super) fn is_silent(&self, now: Micros, timing: &MemberTiming) -> bool {
        self.unanswered_pulls >= timing.unanswered_before_reassignment
            && now.saturating_sub(self.last_answer_at) >= timing.silence_before_reassignment
    }
}
