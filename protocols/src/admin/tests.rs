use super::*;
use proptest::prelude::*;

#[test]
fn valid_calls_are_parsed() {
    assert_eq!(read_call(b"HEALTH\n"), Input::Line(Ok(Call::Health)));
    assert_eq!(read_call(b"DUMP\r\nmore"), Input::Line(Ok(Call::Dump)));
    assert_eq!(read_call(b"OFFLINE s-5be2a07c\n"), Input::Line(Ok(Call::Offline("s-5be2a07c".into()))));
    assert_eq!(read_call(b"ONLINE  s-1\n"), Input::Line(Ok(Call::Online("s-1".into()))));
}

#[test]
fn an_invalid_line_is_rejected_with_the_names_of_the_calls() {
    for line in
        [&b"\n"[..], b"health\n", b"OFFLINE\n", b"OFFLINE a b\n", b"ONLINE \xff\n", b"DUMPS\n", b"\0\n"]
    {
        let Input::Line(Err(error)) = read_call(line) else { panic!("{line:?} was accepted") };
        assert!(error.to_string().contains("HEALTH"), "{error}");
    }
    assert_eq!(read_call(b"HEAL"), Input::Incomplete);
    assert_eq!(read_call(&[b'x'; MAX_LINE_BYTES]), Input::TooLong);
    assert_eq!(read_call(&[&[b'x'; MAX_LINE_BYTES][..], b"\n"].concat()), Input::TooLong);
}

#[test]
fn a_reply_is_always_one_line() {
    assert_eq!(nak("no\nsuch\rhost"), "NAK no such host\n");
    assert_eq!(ack("ready"), "ACK ready\n");
}

proptest! {
    /// Guards against a call that arrives in pieces being acted on before it is complete.
    #[test]
    fn a_partial_call_is_never_parsed(id in "[a-z0-9-]{1,40}", cut in 0usize..60, arbitrary in proptest::collection::vec(any::<u8>(), 0..300)) {
        let line = format!("OFFLINE {id}\n");
        let cut = cut.min(line.len() - 1);
        prop_assert_eq!(read_call(&line.as_bytes()[..cut]), Input::Incomplete);
        prop_assert_eq!(read_call(line.as_bytes()), Input::Line(Ok(Call::Offline(id))));
        // No input makes the reader panic.
        let _ = read_call(&arbitrary);
    }
}
