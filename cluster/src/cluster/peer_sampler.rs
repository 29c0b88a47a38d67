//! Draws members to ask, the same for all modules that ask in one tick, so that their requests go in one packet.

use std::cell::RefCell;
use std::net::SocketAddr;

use crate::membership::Membership;

/// Members drawn in one tick at the most.
const MAX_DRAWN: usize = 4;

/// The members that are drawn in one tick. One is drawn only where somebody asks for it.
pub(super) struct PeerSampler<'a> {
    state: RefCell<SamplerState<'a>>,
}

struct SamplerState<'a> {
    drawn: Vec<SocketAddr>,
    membership: &'a mut Membership,
}

impl<'a> PeerSampler<'a> {
    pub(super) fn new(membership: &'a mut Membership) -> PeerSampler<'a> {
        PeerSampler { state: RefCell::new(SamplerState { drawn: Vec::new(), membership }) }
    }

    /// A source of the drawn members, from the first on.
    pub(super) fn peers<'s>(&'s self) -> impl FnMut() -> Option<SocketAddr> + use<'s, 'a> {
        let mut next = 0;
        move || {
            let state = &mut *self.state.borrow_mut();
            if next == state.drawn.len() && next < MAX_DRAWN {
                state.drawn.extend(state.membership.draw_peer());
            }
            next += 1;
            state.drawn.get(next - 1).copied()
        }
    }
}
