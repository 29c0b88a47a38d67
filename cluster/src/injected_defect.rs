//! Defects that tests inject into a state machine, to show that their checks detect them. Other builds never contain a defect.

#[cfg(not(test))]
use std::marker::PhantomData;

/// The defect injected into a state machine, if any. `D` enumerates the possible defects.
#[derive(Debug)]
pub(crate) struct InjectedDefect<D> {
    /// The injected defect; `None` for a correct state machine.
    #[cfg(test)]
    active: Option<D>,
    #[cfg(not(test))]
    kind: PhantomData<D>,
}

impl<D: PartialEq> InjectedDefect<D> {
    /// No defect: the state machine is correct.
    pub(crate) fn none() -> InjectedDefect<D> {
        InjectedDefect {
            #[cfg(test)]
            active: None,
            #[cfg(not(test))]
            kind: PhantomData,
        }
    }

    /// Injects this defect, or none.
    #[cfg(test)]
    pub(crate) fn new(active: Option<D>) -> InjectedDefect<D> {
        InjectedDefect { active }
    }

    /// Whether the state machine has this defect.
    #[cfg(test)]
    pub(crate) fn is_active(&self, defect: D) -> bool {
        self.active == Some(defect)
    }

    /// Whether the state machine has this defect: never outside of tests.
    #[cfg(not(test))]
    pub(crate) fn is_active(&self, _defect: D) -> bool {
        false
    }
}
