use super::*;
use proptest::prelude::*;

#[test]
fn the_four_calls_are_read() {
    assert_eq!(read(b"HEALTH\n"), Read::Call(Ok(Call::Health)));
    assert_eq!(read(b"DUMP\r\nmore"), Read::Call(Ok(Call::Dump)));
    assert_eq!(read(b"OFFLINE s-5be2a07c\n"), Read::Call(Ok(Call::Offline("s-5be2a07c".into()))));
    assert_eq!(read(b"ONLINE  s-1\n"), Read::Call(Ok(Call::Online("s-1".into()))));
}

#[test]
fn what_is_no_call_is_told_why() {
    for line in
        [&b"\n"[..], b"health\n", b"OFFLINE\n", b"OFFLINE a b\n", b"ONLINE \xff\n", b"DUMPS\n", b"\0\n"]
    {
        let Read::Call(Err(why)) = read(line) else { panic!("{line:?} was taken") };
        assert!(why.contains("HEALTH"), "{why}");
    }
    assert_eq!(read(b"HEAL"), Read::More);
    assert_eq!(read(&[b'x'; MAX_LINE]), Read::TooLong);
    assert_eq!(read(&[&[b'x'; MAX_LINE][..], b"\n"].concat()), Read::TooLong);
}

#[test]
fn a_reply_is_one_line() {
    assert_eq!(nak("no\nsuch\rhost"), "NAK no such host\n");
    assert_eq!(ack("ready"), "ACK ready\n");
}

proptest! {
    /// However a call is cut, its first pieces are never taken for a call, and the whole is the same call.
    #[test]
    fn a_call_cut_anywhere_is_read_whole_or_not_at_all(id in "[a-z0-9-]{1,40}", cut in 0usize..60, junk in proptest::collection::vec(any::<u8>(), 0..300)) {
        let line = format!("OFFLINE {id}\n");
        let cut = cut.min(line.len() - 1);
        prop_assert_eq!(read(&line.as_bytes()[..cut]), Read::More);
        prop_assert_eq!(read(line.as_bytes()), Read::Call(Ok(Call::Offline(id))));
        // Nothing that a peer sends panics the reader.
        let _ = read(&junk);
    }
}
