//! A member whose event loop is delayed, and a responsive one.

use juniperladder::{Idempotency, Micros};
use tokio::task::spawn_local;
use tokio::time::advance;

use super::*;
use crate::testing::{self, yield_until_idle};

/// How often the test is repeated: `tokio::select!` picks at random among branches that are ready at the same time.
const REPETITIONS: usize = 40;
/// An event loop delay that exceeds the time in which a probed member has to answer.
const EVENT_LOOP_DELAY: Duration = Duration::from_millis(1_200);

fn config(position: u32, seed: SocketAddr) -> ClusterConfigFile {
    let text = format!("[peers]\nlisten = \"127.0.0.1:0\"\nseeds = [\"{seed}\"]\nposition = {position}\n");
    ClusterConfigFile::parse(&text).unwrap()
}

/// A member that answers as soon as the test calls [`ResponsiveMember::answer`].
struct ResponsiveMember {
    cluster: Cluster,
    socket: std::net::UdpSocket,
}

impl ResponsiveMember {
    fn start(clock: Clock) -> ResponsiveMember {
        let socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
        socket.set_nonblocking(true).unwrap();
        let address = socket.local_addr().unwrap();
        let settings = testing::settings(1, Idempotency::Idempotent);
        let member = config(1, address).member_config(address, None, &settings, clock.now().0, 2).unwrap();
        ResponsiveMember { cluster: Cluster::new(member, clock.now()), socket }
    }

    /// Handles the packets that have arrived, and sends the answers.
    fn answer(&mut self, now: Micros) {
        let mut packet = [0; MAX_PACKET_BYTES];
        while let Ok((length, from)) = self.socket.recv_from(&mut packet) {
            self.cluster.on_packet(now, from, &packet[..length]);
        }
        self.cluster.tick(now);
        for (to, packet) in self.cluster.drain() {
            self.socket.send_to(&packet, to).unwrap();
        }
    }
}

/// Guards against a false suspicion after an event loop delay: answers that arrived meanwhile are read before timeouts are
/// evaluated.
#[test]
fn a_member_that_answered_during_an_event_loop_delay_is_not_suspected() {
    for repetition in 0..REPETITIONS {
        testing::run_paused(async {
            let clock = Clock::start();
            let mut responsive = ResponsiveMember::start(clock);
            let seed_address = responsive.socket.local_addr().unwrap();
            let settings = testing::settings(1, Idempotency::Idempotent);
            let peers =
                Peers::start(&config(0, seed_address), None, &settings, 1, clock, testing::log()).unwrap();
            let task_peers = Rc::clone(&peers);
            spawn_local(async move { task_peers.run().await });
            let ticks = 40 + repetition;
            for _ in 0..ticks {
                advance(TICK_INTERVAL).await;
                yield_until_idle().await;
                responsive.answer(clock.now());
            }
            assert_eq!(peers.cluster.borrow().member_counts().alive, 2);
            advance(EVENT_LOOP_DELAY).await;
            yield_until_idle().await;
            assert_eq!(peers.cluster.borrow().member_counts().suspect, 0, "repetition {repetition}");
        });
    }
}
