//! Test fixtures of the daemon, in addition to those of the dispatcher.

use std::future::Future;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

pub use juniperladder_dispatch::testing::*;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, DuplexStream, ReadHalf, WriteHalf};

use crate::buffer_pool::BufferPool;
use crate::clock::Clock;
use crate::connect::Connector;
use crate::counters::Counters;
use crate::downstream::{ClientReader, ClientStream};
use crate::resource_limits::ResourceLimits;
use crate::upstream::{Upstream, UpstreamLimits};

/// Connection pools with this limit on connections, which are established over TCP.
pub fn upstream(connections: usize) -> Rc<Upstream> {
    upstream_with(connections, Rc::new(crate::connect::TcpConnector))
}

/// Connection pools with this limit on connections, which `connector` establishes.
pub fn upstream_with(connections: usize, connector: Rc<dyn Connector>) -> Rc<Upstream> {
    let second = std::time::Duration::from_secs(1);
    let limits = UpstreamLimits {
        max_connections: connections,
        chunk_bytes: 1024,
        buffers: buffers(),
        connect_timeout: second / 4,
        server_idle_timeout: second * 5,
        late_answer_timeout: second * 3,
        may_duplicate: true,
        origin_kind: Some(ORIGIN),
    };
    Upstream::new(limits, connector, Clock::start(), Rc::new(Counters::default()), log())
}

impl ClientStream for DuplexStream {
    type Reader = ReadHalf<DuplexStream>;
    type Writer = WriteHalf<DuplexStream>;

    fn halves(self) -> (Self::Reader, Self::Writer) {
        tokio::io::split(self)
    }
}

impl ClientReader for ReadHalf<DuplexStream> {
    /// Always false, as an in-memory stream shows its end only to a read.
    fn has_disconnected(&self) -> bool {
        false
    }

    /// Not known of an in-memory stream.
    fn unread_bytes(&self) -> Option<usize> {
        None
    }

    /// Always false, as an in-memory stream passes written bytes on at once.
    fn has_unsent_output(&self) -> bool {
        false
    }

    fn read_arrived(&mut self, input: &mut BytesMut) -> Poll<io::Result<usize>> {
        let mut context = Context::from_waker(Waker::noop());
        pin!(self.read_buf(input)).poll(&mut context)
    }
}

/// The size of the buffer pool of a small balancer.
const POOL_BYTES: usize = 1 << 21;

/// The buffer pool of a small balancer.
pub fn buffers() -> BufferPool {
    BufferPool::new(POOL_BYTES)
}

/// The resource limits of a small balancer.
pub fn resource_limits(chunk_bytes: usize) -> ResourceLimits {
    ResourceLimits {
        client_connections: 8,
        idle_client_connections: 4,
        server_connections: 8,
        admin_connections: 8,
        pool_bytes: POOL_BYTES,
        unread_answer_bytes: 1 << 16,
        chunk_bytes,
    }
}
