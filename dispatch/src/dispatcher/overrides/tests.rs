//! Operator overrides on a dispatcher without a network.

use std::rc::Rc;

use bytes::Bytes;
use juniperladder::{EndpointState, Idempotency, ServerId};
use tokio::task::spawn_local;
use tokio::time::{timeout, Duration};

use super::*;
use crate::dispatcher::{Answer, AttemptEnd, ListedServer, Reply};
use crate::testing::{self, dispatcher, listed_server, request, settings, RecordingTransport, SERVER};

const NAME: &str = "s-00000009";

fn dispatcher_and_recorder() -> (Rc<Dispatcher>, Rc<RecordingTransport>) {
    assert_eq!(server_id(NAME), SERVER);
    let recorder = Rc::new(RecordingTransport::default());
    let dispatcher = dispatcher(settings(3, Idempotency::Idempotent), recorder.clone(), 4);
    let timers = Rc::clone(&dispatcher);
    spawn_local(async move { timers.run_timers().await });
    (dispatcher, recorder)
}

/// Sends this many reads of different keys, and serves their attempts. Returns the number of attempts at `SERVER`.
async fn attempts_at_server(dispatcher: &Dispatcher, recorder: &RecordingTransport, requests: u64) -> usize {
    let mut attempts = 0;
    for n in 0..requests {
        let mut read = request("1", None);
        read.key = Bytes::from(format!("{n:016x}"));
        let (_, answer) = dispatcher.accept(read).unwrap();
        for attempt in recorder.started_attempts.take() {
            attempts += usize::from(attempt.server == SERVER);
            dispatcher
                .on_attempt_ended(attempt.id, AttemptEnd::Reply(Reply::Served(Answer::Value("v".into()))));
        }
        assert!(matches!(answer.await, Ok(Answer::Value(_) | Answer::Rejected(_))));
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    attempts
}

fn listed_as(state: EndpointState, started: u64) -> ListedServer {
    let mut listed_server = listed_server(SERVER, state);
    listed_server.endpoint.started = juniperladder::Micros(started);
    listed_server
}

/// An override is not an update from discovery. Guards against an override that postpones the next watch request, at
/// the start as well as after a watch was lost: the endpoint list in use would become stale.
#[test]
fn an_override_postpones_no_watch_request() {
    testing::run_paused(async {
        let (dispatcher, _) = dispatcher_and_recorder();
        let poll_interval =
            Duration::from_micros(settings(3, Idempotency::Idempotent).rules.discovery_poll_interval.0);
        for _ in 0..3 {
            dispatcher.take_offline(NAME).unwrap();
            dispatcher.bring_online(NAME).unwrap();
            dispatcher.restore_override(NAME);
            dispatcher.bring_online(NAME).unwrap();
            timeout(poll_interval, dispatcher.wait_for_watch_request())
                .await
                .expect("no watch of the endpoint list was requested within the poll interval");
            dispatcher.on_endpoints_changed(EndpointUpdate::Delta, &[]);
            dispatcher.on_endpoints_changed(EndpointUpdate::Unavailable, &[]);
        }
    });
}

/// Updates from discovery that concern the offline server: deleted, restarted, at a new address, missing from a list,
/// discovery unavailable, list restored.
fn discovery_updates() -> Vec<(EndpointUpdate, Vec<ListedServer>)> {
    let others: Vec<ListedServer> =
        (1..4).map(|n| listed_server(ServerId(SERVER.0 + n), EndpointState::Serving)).collect();
    let with = |server: ListedServer| others.iter().cloned().chain([server]).collect::<Vec<_>>();
    let mut moved = listed_as(EndpointState::Serving, 60_000_000);
    moved.address = Some(([127, 0, 0, 1], 2).into());
    vec![
        (EndpointUpdate::Delta, vec![listed_as(EndpointState::Deleted, 0)]),
        (EndpointUpdate::Delta, vec![listed_as(EndpointState::Serving, 50_000_000)]),
        (EndpointUpdate::Delta, vec![moved.clone()]),
        (EndpointUpdate::Snapshot, others.clone()),
        (EndpointUpdate::Snapshot, with(moved)),
        (EndpointUpdate::Unavailable, vec![]),
        (EndpointUpdate::Restored, with(listed_as(EndpointState::Serving, 0))),
    ]
}

/// Whether discovery lists `SERVER`.
fn is_listed(dispatcher: &Dispatcher) -> bool {
    let state = dispatcher.state.borrow();
    let mut listed = state.overrides.discovered_servers();
    listed.any(|listed| listed.endpoint.server == SERVER)
}

/// Guards against an override that an update from discovery or a replacement of the process undoes: until the server is
/// brought online no attempt may go to it, and from then on it has to serve again.
#[test]
fn an_offline_server_gets_no_attempt_whatever_discovery_reports() {
    testing::run_paused(async {
        let mut fleet: Vec<_> = (0..3).map(|_| dispatcher_and_recorder()).collect();
        for (dispatcher, recorder) in &fleet {
            assert!(
                attempts_at_server(dispatcher, recorder, 40).await > 0,
                "the server got no attempt before it was taken offline"
            );
            dispatcher.take_offline(NAME).unwrap();
        }
        for (update, servers) in discovery_updates() {
            for (dispatcher, recorder) in &fleet {
                dispatcher.on_endpoints_changed(update, &servers);
                assert_eq!(attempts_at_server(dispatcher, recorder, 40).await, 0, "{update:?} {servers:?}");
                dispatcher.take_offline(NAME).expect("taking the server offline again failed");
                if is_listed(dispatcher) {
                    assert!(dispatcher.metrics_text(&[], "").contains("skipped_cache_hosts 1\n"));
                }
            }
            // One process is replaced; its successor restores the overrides.
            let (replaced, _) = fleet.remove(0);
            let (successor, recorder) = dispatcher_and_recorder();
            for name in replaced.offline_servers() {
                successor.restore_override(&name);
            }
            assert_eq!(attempts_at_server(&successor, &recorder, 40).await, 0);
            fleet.push((successor, recorder));
        }
        for (dispatcher, recorder) in &fleet {
            dispatcher.bring_online(NAME).unwrap();
            assert!(
                attempts_at_server(dispatcher, recorder, 400).await > 0,
                "the server got no attempt within 4 s after it was brought online"
            );
        }
        assert_eq!(fleet[0].0.take_offline("s-0000abcd"), Err(UnknownServer));
        let message = "no such cache host has been listed; give an instanceId of the list";
        assert_eq!(UnknownServer.to_string(), message);
    });
}
