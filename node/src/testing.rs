//! What the tests of the network share, beside what those of the dispatcher do.

use std::rc::Rc;

pub use juniperladder_dispatch::testing::*;

use tokio::io::{DuplexStream, ReadHalf, WriteHalf};

use crate::clock::Clock;
use crate::counters::Counters;
use crate::downstream::{ClientReader, ClientStream};
use crate::upstream::Upstream;

/// Pools with room for so many connections.
pub fn upstream(connections: usize) -> Rc<Upstream> {
    let second = std::time::Duration::from_secs(1);
    let limits = crate::upstream::Limits {
        connections,
        piece: 1024,
        connect_timeout: second / 4,
        idle: second * 5,
        late: second * 3,
        may_duplicate: true,
        origin: Some(ORIGIN),
    };
    Upstream::new(limits, Rc::new(crate::connect::Tcp), Clock::start(), Rc::new(Counters::default()), log())
}

impl ClientStream for DuplexStream {
    type Reader = ReadHalf<DuplexStream>;
    type Writer = WriteHalf<DuplexStream>;

    fn halves(self) -> (Self::Reader, Self::Writer) {
        tokio::io::split(self)
    }
}

impl ClientReader for ReadHalf<DuplexStream> {
    /// What is in memory is only read in its order.
    fn has_disconnected(&self) -> bool {
        false
    }
}
