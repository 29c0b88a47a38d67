//! Runs the adapter as a process on hand-written transcripts, both valid and malformed.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = r#"{"az":0,"balancers":1,"unknown-key":[1],"categories":[
 {"aim":250000,"effect":"pure","give-up":500000,"worth":1.0}],
 "extra":{"mode":"aside","origin-kind":1},
 "limits":{"max-attempts":3,"max-retry-after":1000000,"retry-after":true},
 "membership-mode":"automatic","orgs":[],
 "rules":{"ask-within":10000000,"cold-share":0.2,"warm-up":20000000},"tick":1000,"weights":"none"}"#;
const ID: &str = "5d3a91c4-529c-4add-ac63-3abe20529426";

fn run_adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_juniperladder-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter must start");
    // The adapter exits at an invalid line and may close its input before all of it is written.
    let _ = child.stdin.take().expect("piped").write_all(input.as_bytes());
    child.wait_with_output().expect("the adapter must end")
}

fn start_event(router: u32) -> String {
    format!(r#"{{"event_type":"start","router":{router},"seed":7,"env":{}}}"#, SETTINGS.replace('\n', ""))
}

fn endpoint_list_event(slot: u32, server: u32) -> String {
    format!(
        r#"{{"event_type":"manifest","slot":{slot},"entries":[{{"server":{server},"locality":0,"sku":0,"bay":0,"stage-state":"SERVING","capacity-hint":1}},{{"server":900,"sku":1,"stage-state":"SERVING"}}]}}"#
    )
}

fn endpoints_event(router: u32, slot: u32, form: &str) -> String {
    format!(r#"{{"event_type":"endpoints","router":{router},"revision":1,"slot":{slot},"form":"{form}"}}"#)
}

fn request_event(router: u32, id: &str) -> String {
    format!(
        r#"{{"event_type":"req","router":{router},"op-id":"{id}","client-deadline":500000,"resource":5,"lane":0}}"#
    )
}

fn batch(now: u64, events: &[String]) -> String {
    format!("{{\"t\":{now},\"in\":[{}]}}\n", events.join(","))
}

fn replies(output: &Output) -> Vec<String> {
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let text = String::from_utf8(output.stdout.clone()).expect("replies must be UTF-8");
    text.lines().map(str::to_owned).collect()
}

#[test]
fn empty_batch_gets_empty_reply_and_end_of_input_is_no_error() {
    assert_eq!(replies(&run_adapter("{\"t\":8,\"in\":[]}\n")), ["{\"do\":[]}"]);
    assert!(replies(&run_adapter("")).is_empty());
}

#[test]
fn reused_slot_is_resolved_in_event_order() {
    let events = [
        start_event(1),
        endpoint_list_event(0, 11),
        endpoints_event(1, 0, "restored"),
        start_event(2),
        endpoint_list_event(0, 22),
        endpoints_event(2, 0, "restored"),
    ];
    let other_id = "6d3a91c4-529c-4add-ac63-3abe20529426";
    let input = batch(1, &events) + &batch(2, &[request_event(1, ID), request_event(2, other_id)]);
    let replies = replies(&run_adapter(&input));
    let reply: serde_json::Value = serde_json::from_str(&replies[1]).expect("a reply must be JSON");
    let servers: Vec<_> =
        reply["do"].as_array().expect("actions").iter().map(|action| &action["server"]).collect();
    assert_eq!(servers, [11, 22]);
    assert_eq!(reply["do"][0]["op-id"], ID);
}

#[test]
fn miss_is_forwarded_to_the_origin() {
    let miss = format!(
        r#"{{"event_type":"done","router":1,"op-id":"{ID}","round-no":0,"server":11,"elapsed":900,"result":"lookup_miss"}}"#
    );
    let input = batch(1, &[start_event(1), endpoint_list_event(0, 11), endpoints_event(1, 0, "restored")])
        + &batch(2, &[request_event(1, ID)])
        + &batch(3, &[miss]);
    let replies = replies(&run_adapter(&input));
    assert!(replies[2].contains("\"server\":900"), "{}", replies[2]);
}

#[test]
fn restart_in_one_batch_discards_state_of_the_old_incarnation() {
    let input = batch(
        1,
        &[
            start_event(1),
            endpoint_list_event(3, 11),
            endpoints_event(1, 3, "restored"),
            request_event(1, ID),
        ],
    ) + &batch(
        2,
        &[r#"{"event_type":"retire","router":1}"#.into(), start_event(1), endpoints_event(1, 3, "restored")],
    );
    let replies = replies(&run_adapter(&input));
    assert!(replies[0].contains("submit-to"));
    assert_eq!(replies[1], "{\"do\":[]}");
}

#[test]
fn malformed_input_gets_an_error_message_and_a_failing_exit_code() {
    let cases = [
        ("not json\n".to_owned(), "not a valid batch of events"),
        ("{\"t\":1}\n".to_owned(), "not a valid batch of events"),
        (batch(1, &[r#"{"event_type":"nonsense","router":1}"#.into()]), "nonsense"),
        (batch(1, &[request_event(5, ID)]), "event refers to router 5, which is not running"),
        (
            batch(1, &[start_event(1), endpoints_event(1, 9, "replace")]),
            "endpoints event refers to manifest slot 9,",
        ),
        (batch(1, &[start_event(1), endpoint_list_event(16, 1)]), "manifest slot 16 is out of range"),
        (batch(1, &[start_event(1), request_event(1, "short")]), "36 characters"),
        (
            batch(
                1,
                &[start_event(1), r#"{"event_type":"message","router":1,"neighbour":2,"msg":"!"}"#.into()],
            ),
            "not base64",
        ),
    ];
    for (input, expected) in cases {
        let output = run_adapter(&input);
        let message = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(1), "{input}");
        assert!(message.contains(expected) && message.contains("line 1"), "{input}: {message}");
        assert!(output.stdout.is_empty(), "{input}");
    }
}
