//! What the system holds of a connection's bytes in either direction.

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::io::ioctl_fionread;
use socket2::SockRef;
use tokio::net::TcpStream;

/// The limit of unsent bytes under which a socket is writable only without any.
const NO_UNSENT_BYTES: u32 = 1;
/// Restores the system's limit.
const DEFAULT_UNSENT_BYTES: u32 = 0;
const DO_NOT_WAIT: Timespec = Timespec { tv_sec: 0, tv_nsec: 0 };

/// Whether the system holds written bytes that it has not sent to the peer. False if the system does not tell, and after the
/// sending side was shut down.
///
/// No safe call tells the number of bytes in the send queue. With a limit of unsent bytes, though, a socket is writable only
/// below that limit.
pub(super) fn has_unsent_bytes(stream: &TcpStream) -> bool {
    let socket = SockRef::from(stream);
    if socket.set_tcp_notsent_lowat(NO_UNSENT_BYTES).is_err() {
        return false;
    }
    let mut events = [PollFd::new(stream, PollFlags::OUT)];
    let ready = poll(&mut events, Some(&DO_NOT_WAIT));
    // Fails only if it failed above.
    let _ = socket.set_tcp_notsent_lowat(DEFAULT_UNSENT_BYTES);
    ready == Ok(0)
}

/// The number of received bytes that have not been read; none if the system does not tell.
pub(super) fn unread_bytes(stream: &TcpStream) -> Option<usize> {
    usize::try_from(ioctl_fionread(stream).ok()?).ok()
}
