//! Defects put in on purpose, so that the tests show that they would find them.

/// A step of the protocol that is left out.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum InjectedDefect {
    /// A purge is done by the replies of one round.
    SecondRoundSkipped,
    /// A reply of another incarnation counts in the second round.
    IncarnationIgnored,
    /// The member counts its lease from the answer, not from its question.
    LeaseFromReceipt,
    /// A restarted assigned replica releases what it learned from others at once.
    EarlyRelease,
    /// The assigned replica does not wait for the end of the lease.
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

/// The injected defect in force, if any; always none without the feature `fault-injection`.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InjectedDefects {
    #[cfg(feature = "fault-injection")]
    injected_defect: Option<InjectedDefect>,
}

impl InjectedDefects {
    /// With this defect.
    #[cfg(feature = "fault-injection")]
    pub fn with(injected_defect: Option<InjectedDefect>) -> InjectedDefects {
        InjectedDefects { injected_defect }
    }

    /// Whether this defect is in force.
    #[cfg(feature = "fault-injection")]
    pub(crate) fn has(self, injected_defect: InjectedDefect) -> bool {
        self.injected_defect == Some(injected_defect)
    }

    /// Whether this defect is in force.
    #[cfg(not(feature = "fault-injection"))]
    pub(crate) fn has(self, _: InjectedDefect) -> bool {
        false
    }
}
