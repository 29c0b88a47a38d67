//! Event loop delays: the process does not run while answers arrive and timeouts expire.

use super::*;
use juniperladder::Micros;

/// A request with this timeout.
fn request_with_timeout(id: &str, milliseconds: u64) -> crate::dispatcher::ClientRequest {
    let mut request = testing::request(id, None);
    request.timeout = Some(Micros(milliseconds * 1000));
    request
}

/// An answer that arrived during an event loop delay must be served and not counted as late, although the
/// timeout of the attempt has passed when the process reads the answer.
#[test]
fn an_answer_that_arrived_during_an_event_loop_delay_is_served() {
    testing::run_on_sockets(async {
        let (dispatcher, _upstream, listener) = pool_with_one_server(1).await;
        let timer_dispatcher = Rc::clone(&dispatcher);
        spawn_local(async move { timer_dispatcher.run_timers().await });
        let (_, answer) = dispatcher.accept(request_with_timeout("1", 100)).unwrap();
        let (mut stream, _) = listener.accept().await.unwrap();
        read_request_line(&mut stream).await;
        // In one turn: the answer is in the socket buffer, a timer is set that is due before the attempt's,
        // and the process stalls.
        stream.try_write(b"VA 1 O1\r\nv\r\n").unwrap();
        let (_, _other) = dispatcher.accept(request_with_timeout("2", 50)).unwrap();
        std::thread::sleep(Duration::from_millis(150));
        assert_eq!(answer.await, Ok(Answer::Value("v".into())));
        assert_eq!(dispatcher.counters().late_responses.get(), 0);
    });
}
