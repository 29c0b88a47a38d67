use std::cell::Cell;
use std::future::{poll_fn, Future};
use std::pin::pin;
use std::rc::Rc;

use super::*;
use crate::testing::{self, yield_until_idle};

/// The platform routes new connections to the process for up to 0.4 s after the signal. Closing the open ones
/// meanwhile would only cause more new ones, so that they stay open for the maximum drain time.
#[test]
fn connections_stay_open_up_to_the_maximum_drain_time_while_new_ones_arrive() {
    testing::run_paused(async {
        let shutdown = GracefulShutdown::default();
        let start = Instant::now();
        let clients = async {
            shutdown.set_open_connections(1);
            sleep_until(start + QUIET_PERIOD - Duration::from_millis(50)).await;
            shutdown.on_connection_accepted();
            shutdown.set_open_connections(2);
            shutdown.wait_for_closing().await;
            assert_eq!(start.elapsed(), MAX_DRAIN_TIME);
            shutdown.set_open_connections(0);
        };
        tokio::join!(shutdown.run(start, Duration::from_secs(3)), clients);
    });
}

/// The time that the protocol allows after the signal must cover the last answer and its transmission.
#[test]
fn the_last_answer_is_within_the_time_of_the_protocol() {
    for (longest, allowed) in [(600, 1300), (1200, 1900), (3000, 3700), (9000, 3700)] {
        let end = time_for_answers(Duration::from_millis(longest)) + EXIT_DELAY;
        let allowed = Duration::from_millis(allowed);
        assert!(end < allowed && end + EXIT_DELAY * 2 > allowed, "{end:?}");
    }
}

/// A client that stalls in the middle of a request must not keep the process running for good.
#[test]
fn the_shutdown_ends_at_its_limit_despite_a_stalled_connection() {
    testing::run_paused(async {
        let shutdown = GracefulShutdown::default();
        shutdown.set_open_connections(1);
        let start = Instant::now();
        shutdown.run(start, Duration::from_secs(3)).await;
        assert_eq!(start.elapsed(), Duration::from_secs(3));
    });
}

/// Connections that open and close in a flood must not wake each other: each of them would cost a poll of all
/// others.
#[test]
fn connections_that_open_and_close_wake_no_other() {
    testing::run_paused(async {
        let shutdown = Rc::new(GracefulShutdown::default());
        let polls = Rc::new(Cell::new(0));
        let (waiting_shutdown, poll_counter) = (Rc::clone(&shutdown), Rc::clone(&polls));
        let idle = tokio::task::spawn_local(async move {
            let mut closing = pin!(waiting_shutdown.wait_for_closing());
            poll_fn(|context| {
                poll_counter.set(poll_counter.get() + 1);
                closing.as_mut().poll(context)
            })
            .await;
        });
        yield_until_idle().await;
        for open in 1..100 {
            shutdown.set_open_connections(open);
            yield_until_idle().await;
        }
        assert_eq!(polls.get(), 1);
        shutdown.begin_closing();
        idle.await.unwrap();
    });
}
