//! Defects put in on purpose, so that the tests show that they would find them.

/// A step of the protocol that is left out.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Flaw {
    /// A purge is done by the replies of one round.
    SecondRoundSkipped,
    /// A reply of another incarnation counts in the second round.
    IncarnationIgnored,
    /// The member counts its lease from the answer, not from its question.
    LeaseFromReceipt,
    /// A restarted home releases what it learned from others at once.
    EarlyRelease,
    /// The home does not wait for the end of the lease.
    LeaseCutShort,
    /// A member serves before it has reached its target.
    TargetIgnored,
    /// A member takes its target from the answers to its registration, without a second phase.
    OnePhaseRegistration,
    /// A member below the base of a stream is given what is left instead of voiding.
    VoidForgotten,
    /// A replica recovers from one other.
    RecoveryFromOne,
    /// The completion does not look at the tables of the others.
    OwnTableOnly,
}

/// The flaw in force, if any; always none without the feature `fault-injection`.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Flaws {
    #[cfg(feature = "fault-injection")]
    flaw: Option<Flaw>,
}

impl Flaws {
    /// With this defect.
    #[cfg(feature = "fault-injection")]
    pub fn with(flaw: Option<Flaw>) -> Flaws {
        Flaws { flaw }
    }

    /// Whether this defect is in force.
    #[cfg(feature = "fault-injection")]
    pub(crate) fn has(self, flaw: Flaw) -> bool {
        self.flaw == Some(flaw)
    }

    /// Whether this defect is in force.
    #[cfg(not(feature = "fault-injection"))]
    pub(crate) fn has(self, _: Flaw) -> bool {
        false
    }
}
