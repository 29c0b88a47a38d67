//! Requests from their acceptance to their answer, with an attempt transport that only records its calls.

use bytes::Bytes;
use juniperladder::{EndpointState, EndpointUpdate, ServerId};

use super::endpoints::MAX_SERVERS;
use super::*;
use crate::testing::{self, dispatcher, request, settings, yield_until_idle, RecordingTransport};
use tokio::task::spawn_local;
use tokio::time::{Duration, Instant};

fn dispatcher_with_timers(
    attempts: u32,
    idempotency: Idempotency,
    servers: u32,
) -> (Rc<Dispatcher>, Rc<RecordingTransport>) {
    let recorder = Rc::new(RecordingTransport::default());
    let dispatcher = dispatcher(settings(attempts, idempotency), recorder.clone(), servers);
    let timers = Rc::clone(&dispatcher);
    spawn_local(async move { timers.run_timers().await });
    (dispatcher, recorder)
}

/// Guards against requests that get no answer before the client's time-out when all servers are silent.
#[test]
fn every_request_is_answered_before_its_deadline() {
    testing::run_paused(async {
        for (attempts, idempotency) in [
            (1, Idempotency::NotIdempotent),
            (3, Idempotency::Idempotent),
            (3, Idempotency::WithIdempotencyKey),
        ] {
            let (dispatcher, recorder) = dispatcher_with_timers(attempts, idempotency, 3);
            let start = Instant::now();
            let (_, answer) = dispatcher.accept(request("1", None)).unwrap();
            assert!(matches!(answer.await, Ok(Answer::Failed | Answer::Rejected(_))));
            assert!(start.elapsed() < Duration::from_millis(480), "{:?}", start.elapsed());
            assert!(!recorder.started_attempts.borrow().is_empty());
            assert!(
                dispatcher.state.borrow().attempts.is_empty()
                    || dispatcher.counters.attempts_timed_out.get() > 0
            );
            assert_eq!(
                dispatcher.counters.overdue.get(),
                0,
                "the request was closed by its own deadline instead of by the decision core"
            );
        }
    });
}

/// Guards against a rejection that is delayed until the request's deadline.
#[test]
fn a_rejected_request_is_answered_without_delay() {
    testing::run_paused(async {
        let (dispatcher, recorder) = dispatcher_with_timers(1, Idempotency::Idempotent, 1);
        let start = Instant::now();
        let (_, answer) = dispatcher.accept(request("1", None)).unwrap();
        let attempt = recorder.started_attempts.borrow_mut().pop().unwrap();
        dispatcher.on_attempt_ended(attempt.id, AttemptEnd::ConnectFailed);
        assert!(matches!(answer.await, Ok(Answer::Rejected(_))));
        assert_eq!(start.elapsed(), Duration::ZERO);
    });
}

/// A half-closed client may be gone or wait for its answer. Guards against new attempts for it, and against an attempt
/// in flight whose answer is lost.
#[test]
fn a_half_closed_client_is_answered_by_attempts_in_flight() {
    testing::run_paused(async {
        for served in [true, false] {
            let (dispatcher, recorder) = dispatcher_with_timers(3, Idempotency::Idempotent, 3);
            let (id, answer) = dispatcher.accept(request("1", None)).unwrap();
            let attempt = recorder.started_attempts.borrow_mut().pop().unwrap();
            dispatcher.on_client_half_closed(id);
            let value = Answer::Value(Bytes::from_static(b"v"));
            let reply = if served { Reply::Served(value.clone()) } else { Reply::Error };
            dispatcher.on_attempt_ended(attempt.id, AttemptEnd::Reply(reply));
            assert_eq!(answer.await, Ok(if served { value } else { Answer::Failed }));
            yield_until_idle().await;
            assert!(recorder.started_attempts.borrow().is_empty());
        }
    });
}

/// Guards against discarding a valid answer that arrives after its attempt timed out, while a retry is in flight.
#[test]
fn a_late_answer_serves_a_request_that_is_still_open() {
    testing::run_paused(async {
        let recorder = Rc::new(RecordingTransport::default());
        let mut settings = settings(3, Idempotency::Idempotent);
        settings.limits.may_duplicate = false;
        let dispatcher = dispatcher(settings, recorder.clone(), 3);
        let timers = Rc::clone(&dispatcher);
        spawn_local(async move { timers.run_timers().await });
        let (_, answer) = dispatcher.accept(request("1", None)).unwrap();
        while dispatcher.counters.attempts_timed_out.get() == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let [first, second] = &recorder.started_attempts.take()[..] else {
            panic!("expected a retry at another server")
        };
        let value = Answer::Value(Bytes::from_static(b"v"));
        dispatcher.on_attempt_ended(first.id, AttemptEnd::Reply(Reply::Served(value.clone())));
        assert_eq!(answer.await, Ok(value.clone()));
        dispatcher.on_attempt_ended(second.id, AttemptEnd::Reply(Reply::Served(value)));
        assert_eq!((dispatcher.counters.served.get(), dispatcher.counters.served_late.get()), (1, 1));
        assert!(dispatcher.state.borrow().timed_out.is_empty());
    });
}

/// Guards against wasted work at servers: after a request's final answer, or after its client disconnects, no attempt of
/// the request may still be written.
#[test]
fn attempts_are_cancelled_once_their_request_is_closed() {
    testing::run_paused(async {
        for is_client_gone in [false, true] {
            let (dispatcher, recorder) = dispatcher_with_timers(3, Idempotency::Idempotent, 3);
            let (id, answer) = dispatcher.accept(request("1", None)).unwrap();
            while recorder.started_attempts.borrow().len() < 2 {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            let [first, second] = &recorder.started_attempts.take()[..] else {
                panic!("expected a hedged attempt")
            };
            let now = dispatcher.clock.now();
            assert!(!first.is_cancelled(now) && !second.is_cancelled(now));
            if is_client_gone {
                dispatcher.on_client_gone(id);
            } else {
                let value = Answer::Value(Bytes::from_static(b"v"));
                dispatcher.on_attempt_ended(first.id, AttemptEnd::Reply(Reply::Served(value)));
                assert!(answer.await.is_ok());
            }
            assert!(first.is_cancelled(now) && second.is_cancelled(now));
        }
    });
}

/// Servers drop duplicates only within a window after the first attempt. Guards against a duplicate execution by a retry
/// that waits for a connection until the window has ended.
#[test]
fn a_retry_is_written_only_within_the_deduplication_window() {
    testing::run_paused(async {
        let recorder = Rc::new(RecordingTransport::default());
        let mut settings = settings(3, Idempotency::WithIdempotencyKey);
        let window = Micros(200_000);
        settings.classes[0].deduplication_window = window;
        let dispatcher = dispatcher(settings, recorder.clone(), 3);
        let first_attempt_at = dispatcher.clock.now();
        let _answer = dispatcher.accept(request("1", Some(vec![]))).unwrap();
        tokio::time::sleep(Duration::from_millis(100)).await;
        let attempt = recorder.started_attempts.borrow_mut().pop().unwrap();
        dispatcher.on_attempt_ended(attempt.id, AttemptEnd::Broken);
        let retry = recorder.started_attempts.borrow_mut().pop().unwrap();
        let end = first_attempt_at.saturating_add(window);
        assert!(
            !attempt.is_cancelled(end)
                && !retry.is_cancelled(end.saturating_sub(Micros(1)))
                && retry.is_cancelled(end)
        );
    });
}

/// Guards against a duplicate write of a class that is not in the settings: it counts as the last class, whose
/// deduplication window applies.
#[test]
fn a_retry_of_an_unknown_class_is_written_only_within_the_last_classes_window() {
    testing::run_paused(async {
        let recorder = Rc::new(RecordingTransport::default());
        let mut settings = settings(3, Idempotency::WithIdempotencyKey);
        let window = Micros(200_000);
        settings.classes[0].deduplication_window = window;
        let dispatcher = dispatcher(settings, recorder.clone(), 3);
        let end = dispatcher.clock.now().saturating_add(window);
        let mut unknown = request("1", Some(vec![]));
        unknown.class = 7;
        let _answer = dispatcher.accept(unknown).unwrap();
        let attempt = recorder.started_attempts.borrow_mut().pop().unwrap();
        dispatcher.on_attempt_ended(attempt.id, AttemptEnd::Broken);
        let retry = recorder.started_attempts.borrow_mut().pop().unwrap();
        assert!(!retry.is_cancelled(end.saturating_sub(Micros(1))) && retry.is_cancelled(end));
    });
}

/// Guards against an endless endpoint list that exhausts the memory. A list of a fleet's size is kept completely; of a
/// longer one a bounded part is kept, and the origin even as its last entry. Deleted servers free capacity for others.
#[test]
fn an_endless_endpoint_list_is_bounded() {
    let recorder = Rc::new(RecordingTransport::default());
    let mode = juniperladder::CacheMode::CacheAside(testing::ORIGIN);
    let dispatcher = dispatcher(Settings { mode, ..settings(3, Idempotency::Idempotent) }, recorder, 0);
    let serving = |n| testing::listed_server(ServerId(n), EndpointState::Serving);
    let mut origin = serving(u64::MAX);
    origin.endpoint.kind = testing::ORIGIN;
    let known_count = || dispatcher.state.borrow().servers.len();
    dispatcher.on_endpoints_changed(EndpointUpdate::Snapshot, &(0..1_024).map(serving).collect::<Vec<_>>());
    assert_eq!((known_count(), dispatcher.counters.endpoints_left_out.get()), (1_024, 0));
    let max_servers = MAX_SERVERS as u64;
    dispatcher.on_endpoints_changed(
        EndpointUpdate::Snapshot,
        &(0..max_servers + 10).map(serving).chain([origin.clone()]).collect::<Vec<_>>(),
    );
    assert!(dispatcher.state.borrow().balancer.origin_server() == Some(origin.endpoint.server));
    dispatcher.on_endpoints_changed(EndpointUpdate::Delta, &[serving(max_servers * 2)]);
    assert_eq!((known_count(), dispatcher.counters.endpoints_left_out.get()), (MAX_SERVERS + 1, 11));
    let deleted: Vec<ListedServer> =
        (0..5).map(|n| testing::listed_server(ServerId(n), EndpointState::Deleted)).collect();
    dispatcher.on_endpoints_changed(EndpointUpdate::Delta, &deleted);
    dispatcher.on_endpoints_changed(
        EndpointUpdate::Delta,
        &(max_servers * 2..max_servers * 2 + 9).map(serving).collect::<Vec<_>>(),
    );
    assert_eq!((known_count(), dispatcher.counters.endpoints_left_out.get()), (MAX_SERVERS, 16));
}

/// Guards against requests left unanswered when the process ends: requests open when the final deadline is set and
/// requests accepted later are answered by that deadline, and requests accepted after it at once.
#[test]
fn every_open_request_is_answered_by_the_final_deadline() {
    testing::run_paused(async {
        let (dispatcher, recorder) = dispatcher_with_timers(3, Idempotency::NotIdempotent, 3);
        let start = Instant::now();
        let (_, first) = dispatcher.accept(request("1", None)).unwrap();
        yield_until_idle().await;
        let shutdown_time = Duration::from_millis(200);
        dispatcher
            .set_final_deadline(dispatcher.clock.now().saturating_add(crate::clock::micros(shutdown_time)));
        tokio::time::sleep(shutdown_time / 2).await;
        let (_, second) = dispatcher.accept(request("2", None)).unwrap();
        assert!(first.await.is_ok() && second.await.is_ok());
        assert_eq!((start.elapsed(), recorder.started_attempts.borrow().len()), (shutdown_time, 2));
        let (_, third) = dispatcher.accept(request("3", None)).unwrap();
        assert!(third.await.is_ok());
        assert_eq!((start.elapsed(), recorder.started_attempts.borrow().len()), (shutdown_time, 2));
    });
}

/// Two open requests with one id could get each other's answers. Once the first is closed its id may be used again.
#[test]
fn a_request_with_an_id_in_use_is_refused() {
    testing::run_paused(async {
        let (dispatcher, recorder) = dispatcher_with_timers(1, Idempotency::Idempotent, 1);
        for _ in 0..2 {
            let (_, answer) = dispatcher.accept(request("1", None)).unwrap();
            assert!(dispatcher.accept(request("1", None)).is_none());
            let attempt = recorder.started_attempts.borrow_mut().pop().unwrap();
            dispatcher.on_attempt_ended(attempt.id, AttemptEnd::Malformed);
            assert!(matches!(answer.await, Ok(Answer::Rejected(_) | Answer::Failed)));
        }
        assert!(dispatcher.state.borrow().client_ids.is_empty());
    });
}

/// Guards against a write that is executed twice, as it comes again after its client has left or was answered. What may be
/// repeated, and what was rejected, is accepted again.
#[test]
fn a_request_that_must_run_once_is_not_accepted_again() {
    testing::run_paused(async {
        for idempotency in [Idempotency::NotIdempotent, Idempotency::Idempotent] {
            let (dispatcher, recorder) = dispatcher_with_timers(1, idempotency, 3);
            let is_accepted_again = |id: &str| dispatcher.accept(request(id, Some(vec![]))).is_some();
            let may_repeat = idempotency == Idempotency::Idempotent;
            let (id, _answer) = dispatcher.accept(request("left", Some(vec![]))).unwrap();
            dispatcher.on_client_gone(id);
            assert_eq!(is_accepted_again("left"), may_repeat, "{idempotency:?}");
            for (name, reply, expected) in [
                ("served", Reply::Served(Answer::Receipt("r".into())), may_repeat),
                ("failed", Reply::Error, may_repeat),
                ("rejected", Reply::Rejected, true),
            ] {
                recorder.started_attempts.borrow_mut().clear();
                let (_, answer) = dispatcher.accept(request(name, Some(vec![]))).unwrap();
                let attempt = recorder.started_attempts.borrow_mut().pop().unwrap();
                dispatcher.on_attempt_ended(attempt.id, AttemptEnd::Reply(reply));
                assert!(answer.await.is_ok());
                assert_eq!(is_accepted_again(name), expected, "{name}, {idempotency:?}");
            }
        }
    });
}

/// Guards against a wrong wall clock that lets a server that has just joined skip slow start, or keeps a server
/// that has completed it in slow start.
#[test]
fn a_wrong_wall_clock_does_not_affect_slow_start() {
    const WARM_UP: Duration = Duration::from_secs(9);
    const HOUR: u64 = 3_600_000_000;
    let attempts_at_joined_server = |start_at: &dyn Fn(u64) -> u64, age: Duration| {
        testing::run_paused(async {
            let (dispatcher, recorder) = dispatcher_with_timers(1, Idempotency::Idempotent, 3);
            let old: Vec<ListedServer> =
                (0..3).map(|n| testing::listed_server(ServerId(9 + n), EndpointState::Serving)).collect();
            dispatcher.on_endpoints_changed(EndpointUpdate::Snapshot, &old);
            tokio::time::sleep(Duration::from_secs(2)).await;
            dispatcher.on_endpoints_confirmed();
            let mut joined = testing::listed_server(ServerId(50), EndpointState::Serving);
            joined.endpoint.started = juniperladder::Micros(start_at(dispatcher.clock().now().0));
            dispatcher.on_endpoints_changed(EndpointUpdate::Delta, &[joined]);
            tokio::time::sleep(age).await;
            recorder.started_attempts.borrow_mut().clear();
            for number in 0..400 {
                let mut read = request(&format!("c{number}"), None);
                read.key = Bytes::from(format!("{number:016x}"));
                let _answer = dispatcher.accept(read);
                for attempt in
                    recorder.started_attempts.borrow().iter().filter(|a| a.request.id == format!("c{number}"))
                {
                    dispatcher.on_attempt_ended(
                        attempt.id,
                        AttemptEnd::Reply(Reply::Served(Answer::Value(Bytes::new()))),
                    );
                }
                tokio::time::sleep(Duration::from_micros(2_500)).await;
            }
            let started_attempts = recorder.started_attempts.borrow();
            started_attempts.iter().filter(|attempt| attempt.server == ServerId(50)).count()
        })
    };
    for age in [Duration::ZERO, WARM_UP] {
        let correct = attempts_at_joined_server(&|now| now, age);
        let ahead = attempts_at_joined_server(&|now| now - HOUR, age);
        let behind = attempts_at_joined_server(&|now| now + HOUR, age);
        println!("{age:?}: attempts {correct} (correct), {ahead} (ahead), {behind} (behind)");
        // The server may count as older by the time that discovery takes to list it, and so get a larger share.
        let ratio = |attempts: usize| attempts as f64 / correct.max(1) as f64;
        assert!(
            ratio(ahead) < 1.8 && ratio(ahead) > 0.7,
            "{age:?}: {ahead} attempts with the clock ahead, {correct} with a correct one"
        );
        assert!(
            ratio(behind) < 1.4 && ratio(behind) > 0.7,
            "{age:?}: {behind} attempts with the clock behind, {correct} with a correct one"
        );
    }
}
