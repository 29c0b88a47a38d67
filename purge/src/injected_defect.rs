//! Defects injected by tests, which show that the tests would detect them.

/// A protocol step to omit or do wrongly.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum InjectedDefect {
    /// A purge counts as done after the replies of one round.
    SecondRoundSkipped,
    /// A reply of another incarnation counts in the second round.
    IncarnationIgnored,
    /// The member counts its lease from the receipt of the answer, not from the sending of the pull.
    LeaseFromReceipt,
    /// A restarted assigned replica at once releases registrations learned from other replicas.
    EarlyRelease,
    /// The assigned replica releases a registration after half of the lease duration.
    LeaseCutShort,
    /// A member serves before it has applied its target.
    TargetIgnored,
    /// A member takes its target from the answers to its registration, without a second phase.
    OnePhaseRegistration,
    /// A member below the base of a stream receives the remaining entries instead of being told to void its cache.
    VoidForgotten,
    /// A replica recovers from a single other replica.
    RecoveryFromOne,
    /// Completion ignores the registration tables of other replicas.
    OwnTableOnly,
}

/// The injected defect that is active, if any; always none without the feature `fault-injection`.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InjectedDefects {
    #[cfg(feature = "fault-injection")]
    injected_defect: Option<InjectedDefect>,
}

impl InjectedDefects {
    /// Activates this defect.
    #[cfg(feature = "fault-injection")]
    pub fn with(injected_defect: Option<InjectedDefect>) -> InjectedDefects {
        InjectedDefects { injected_defect }
    }

    /// Whether this defect is active.
    #[cfg(feature = "fault-injection")]
    pub(crate) fn has(self, injected_defect: InjectedDefect) -> bool {
        self.injected_defect == Some(injected_defect)
    }

    /// Whether this defect is active.
    #[cfg(not(feature = "fault-injection"))]
    pub(crate) fn has(self, _: InjectedDefect) -> bool {
        false
    }
}
