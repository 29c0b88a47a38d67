//! Clients that send small requests as fast as they can, beside others.

use bytes::BytesMut;

use super::*;

const FLOOD_REQUESTS: usize = 100_000;
/// The requests that a flooding connection may take before another one has its turn.
const MAX_REQUESTS_PER_TURN: usize = 64;

/// Guards against requests of other clients that are answered late or never, while a client sends small requests at full
/// speed: their connections have to have their turns. Turns are counted by a task that does nothing else.
#[test]
fn a_flood_of_small_requests_leaves_others_their_turns() {
    testing::run_paused(async {
        for line in ["mn\r\n", "nonsense\r\n"] {
            let recorder = Rc::new(RecordingTransport::default());
            let downstream = downstream(&recorder);
            let (stream, mut client) = duplex(1 << 22);
            client.write_all(line.repeat(FLOOD_REQUESTS).as_bytes()).await.unwrap();
            let task = spawn_local(serve(Rc::clone(&downstream), stream));
            let (mut answers, mut turns) = (0, 0);
            while !task.is_finished() {
                tokio::task::yield_now().await;
                let mut received = BytesMut::with_capacity(1 << 20);
                let has_ended = tokio::select! {
                    biased;
                    received = client.read_buf(&mut received) => received.unwrap() == 0,
                    () = std::future::ready(()) => false,
                };
                let new_answers = received.iter().filter(|byte| **byte == b'\n').count();
                answers += new_answers;
                turns += 1;
                if has_ended || answers >= FLOOD_REQUESTS {
                    break;
                }
            }
            let expected = if line == "mn\r\n" { FLOOD_REQUESTS } else { MAX_INVALID_REQUESTS };
            assert_eq!(answers, expected, "{line:?}");
            assert!(
                turns * MAX_REQUESTS_PER_TURN >= answers,
                "{answers} answers in {turns} turns of the others"
            );
        }
    });
}
