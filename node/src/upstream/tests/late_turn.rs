//! Turns of the event loop that are late: this process does not run while answers arrive and times pass.

use super::*;
use juniperladder::Micros;

/// A request that its client waits so long for.
fn request_within(id: &str, milliseconds: u64) -> crate::dispatcher::ClientRequest {
    let mut request = testing::request(id, None);
    request.timeout = Some(Micros(milliseconds * 1000));
    request
}

/// An answer that arrived while this process stood still is served, and its server not blamed, though its attempt's time is up by
/// the time at which the process looks.
#[test]
fn an_answer_that_arrived_in_a_late_turn_is_served() {
    testing::run_on_sockets(async {
        let (dispatcher, _upstream, listener) = world(1).await;
        let timers = Rc::clone(&dispatcher);
        spawn_local(async move { timers.run_timers().await });
        let (_, answer) = dispatcher.take(request_within("1", 100)).unwrap();
        let (mut stream, _) = listener.accept().await.unwrap();
        request_at(&mut stream).await;
        // In one turn: the answer stands unread, a timer is set that is due before the attempt's, and the process stands still.
        stream.try_write(b"VA 1 O1\r\nv\r\n").unwrap();
        let (_, _other) = dispatcher.take(request_within("2", 50)).unwrap();
        std::thread::sleep(Duration::from_millis(150));
        assert_eq!(answer.await, Ok(Answer::Value("v".into())));
        assert_eq!(dispatcher.counters().late_responses.get(), 0);
    });
}
