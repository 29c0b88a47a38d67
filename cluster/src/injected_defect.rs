//! Defects that tests inject into a state machine, to show that their checks catch them. Outside of tests there is never one.

#[cfg(not(test))]
use std::marker::PhantomData;

/// The defect that a state machine has been given, if any. `D` names those that it knows.
#[derive(Debug)]
pub(crate) struct InjectedDefect<D> {
    /// None, the state machine is as it should be.
    #[cfg(test)]
    active: Option<D>,
    #[cfg(not(test))]
    kind: PhantomData<D>,
}

impl<D: PartialEq> InjectedDefect<D> {
    /// A state machine as it should be.
    pub(crate) fn none() -> InjectedDefect<D> {
        InjectedDefect {
            #[cfg(test)]
            active: None,
            #[cfg(not(test))]
            kind: PhantomData,
        }
    }

    /// A state machine with this defect, or with none.
    #[cfg(test)]
    pub(crate) fn new(active: Option<D>) -> InjectedDefect<D> {
        InjectedDefect { active }
    }

    /// Whether the state machine has this defect.
    #[cfg(test)]
    pub(crate) fn is_active(&self, defect: D) -> bool {
        self.active == Some(defect)
    }

    /// Whether the state machine has this defect: outside of tests it has none.
    #[cfg(not(test))]
    pub(crate) fn is_active(&self, _defect: D) -> bool {
        false
    }
}
