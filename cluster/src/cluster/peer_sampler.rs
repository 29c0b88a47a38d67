//! Samples random members to query, the same ones for all modules in one tick, so that their requests share packets.

use std::cell::RefCell;
use std::net::SocketAddr;

use crate::membership::Membership;

/// The maximum number of members sampled in one tick.
const MAX_SAMPLED_PEERS: usize = 4;

/// The members sampled in one tick. A member is sampled only when a module needs it.
pub(super) struct PeerSampler<'a> {
    state: RefCell<SamplerState<'a>>,
}

struct SamplerState<'a> {
    sampled: Vec<SocketAddr>,
    membership: &'a mut Membership,
}

impl<'a> PeerSampler<'a> {
    pub(super) fn new(membership: &'a mut Membership) -> PeerSampler<'a> {
        PeerSampler { state: RefCell::new(SamplerState { sampled: Vec::new(), membership }) }
    }

    /// Returns a source of the sampled members, starting from the first.
    pub(super) fn peers<'s>(&'s self) -> impl FnMut() -> Option<SocketAddr> + use<'s, 'a> {
        let mut next = 0;
        move || {
            let state = &mut *self.state.borrow_mut();
            if next == state.sampled.len() && next < MAX_SAMPLED_PEERS {
                state.sampled.extend(state.membership.random_peer());
            }
            next += 1;
            state.sampled.get(next - 1).copied()
        }
    }
}
