//! A member whose event loop is delayed, and a responsive one.

use juniperladder::{Idempotency, Micros};
use tokio::task::spawn_local;
use tokio::time::advance;

use super::*;
use crate::testing::{self, settle};

/// Repetitions, because the order of branches that are ready at once is random.
const ROUNDS: usize = 40;
/// An event loop delay longer than a probe of a member may take.
const LATE_TURN: Duration = Duration::from_millis(1_200);

fn config(position: u32, seed: SocketAddr) -> ClusterConfigFile {
    let text = format!("[peers]\nlisten = \"127.0.0.1:0\"\nseeds = [\"{seed}\"]\nposition = {position}\n");
    ClusterConfigFile::parse(&text).unwrap()
}

/// A member that answers as soon as the test calls [`PromptMember::answer`].
struct PromptMember {
    cluster: Cluster,
    socket: std::net::UdpSocket,
}

impl PromptMember {
    fn start(clock: Clock) -> PromptMember {
        let socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
        socket.set_nonblocking(true).unwrap();
        let address = socket.local_addr().unwrap();
        let settings = testing::settings(1, Idempotency::Idempotent);
        let member = config(1, address).member_config(address, None, &settings, clock.now().0, 2).unwrap();
        PromptMember { cluster: Cluster::new(member, clock.now()), socket }
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
fn a_member_that_answered_in_a_late_turn_is_not_suspected() {
    for round in 0..ROUNDS {
        testing::run(async {
            let clock = Clock::start();
            let mut prompt = PromptMember::start(clock);
            let seed_member = prompt.socket.local_addr().unwrap();
            let settings = testing::settings(1, Idempotency::Idempotent);
            let peers =
                Peers::start(&config(0, seed_member), None, &settings, 1, clock, testing::log()).unwrap();
            let running = Rc::clone(&peers);
            spawn_local(async move { running.run().await });
            let ticks = 40 + round;
            for _ in 0..ticks {
                advance(TICK_INTERVAL).await;
                settle().await;
                prompt.answer(clock.now());
            }
            assert_eq!(peers.cluster.borrow().member_counts().alive, 2);
            advance(LATE_TURN).await;
            settle().await;
            assert_eq!(peers.cluster.borrow().member_counts().suspect, 0, "round {round}");
        });
    }
}
