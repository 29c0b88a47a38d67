//! What is read is what was written, and nothing else is read.

use juniperladder::Micros;

use super::*;
use crate::rate_limit::{LeaseGrant, LeaseRequest, Message};

fn all() -> Vec<Item> {
    let start = Start { server: u64::MAX, started: Micros(u64::MAX) };
    let hold = Message::Request(LeaseRequest { incarnation: u64::MAX, sent: Micros(12), tokens: 7 });
    let lent =
        Message::Grant(LeaseGrant { incarnation: 1, sent: Micros(u64::MAX), tokens: 0, available: u32::MAX });
    let entry = verdicts::Entry {
        start,
        witness: 7,
        zone: 1,
        stamp: Micros(u64::MAX),
        age: Micros(9),
        silent: true,
        back: false,
    };
    let told = verdicts::Message::Told { sent: Micros(1), entries: vec![entry; verdicts::MOST_TOLD] };
    let give = budget::Message::Give { life: 3, sent: Micros(4), rights: 5 };
    let abouts = [
        About::Limit(3, hold),
        About::Cold(start, lent),
        About::Second(give),
        About::Verdicts(told),
        About::Verdicts(verdicts::Message::Ask {
            sent: Micros(1),
            digest: u64::MAX,
            about: verdicts::What::HotBack,
        }),
    ];
    abouts.into_iter().map(|about| Item { terms: u32::MAX, about }).collect()
}

#[test]
fn packets_are_read_as_they_were_written() {
    let to = SocketAddr::from(([127, 0, 0, 1], 9));
    let packets = talk(all().into_iter().map(|item| (to, item)));
    let read_back = packets.iter().flat_map(|(_, bytes)| match read(bytes) {
        Ok(Packet::Talk(items)) => items,
        other => panic!("{other:?}"),
    });
    let mut read_back: Vec<Item> = read_back.collect();
    // What fits goes into an earlier packet: the order between packets is free.
    read_back.sort_by_key(|item| format!("{item:?}"));
    let mut sent = all();
    sent.sort_by_key(|item| format!("{item:?}"));
    assert_eq!(read_back, sent);
    assert!(packets.len() <= 2 && packets.iter().all(|(_, bytes)| bytes.len() <= LONGEST));
}

#[test]
fn what_is_truncated_longer_or_nonsense_is_an_error() {
    let to = SocketAddr::from(([127, 0, 0, 1], 9));
    for item in all() {
        let bytes = talk([(to, item)]).remove(0).1;
        for cut in 0..bytes.len() {
            assert!(read(&bytes[..cut]).is_err(), "truncated at {cut}");
        }
        let longer = [&bytes[..], &[0xff; 3]].concat();
        assert_eq!(read(&longer), Err(Wrong::Nonsense));
    }
    assert_eq!(read(&membership(b"abc")), Ok(Packet::Membership(b"abc")));
    assert_eq!(read(&[b'J'; LONGEST + 1]), Err(Wrong::TooLong));
    assert_eq!(read(b"JL\x01\x00"), Err(Wrong::Version));
    assert_eq!(read(b"JL\x02\x09"), Err(Wrong::Nonsense));
}

#[test]
fn more_items_than_are_ever_sent_are_nonsense() {
    let to = SocketAddr::from(([127, 0, 0, 1], 9));
    let give = budget::Message::Give { life: 3, sent: Micros(4), rights: 5 };
    let item = Item { terms: 1, about: About::Second(give) };
    let packets = talk(std::iter::repeat_n((to, item), MOST_ITEMS + 1));
    assert_eq!(packets.len(), 2);
    let both = [&packets[0].1[..], &packets[1].1[HEAD.len() + 1..]].concat();
    assert_eq!(read(&both), Err(Wrong::Nonsense));
}

/// Balancers of two versions talk to each other while one replaces the other: the bytes of an item are part of the protocol.
#[test]
fn items_keep_their_bytes_on_the_wire() {
    let start = Start { server: 300, started: Micros(70_000_000) };
    let entry = verdicts::Entry {
        start,
        witness: 7,
        zone: 1,
        stamp: Micros(128),
        age: Micros(16_384),
        silent: true,
        back: false,
    };
    let ask = |about| verdicts::Message::Ask { sent: Micros(200), digest: 1_000_000, about };
    let abouts = [
        About::Limit(3, Message::Request(LeaseRequest { incarnation: 1, sent: Micros(200), tokens: 7 })),
        About::Cold(
            start,
            Message::Grant(LeaseGrant { incarnation: 300, sent: Micros(2), tokens: 0, available: 129 }),
        ),
        About::Second(budget::Message::Ask { life: 5, sent: Micros(130), rights: 16 }),
        About::Second(budget::Message::Give { life: 5, sent: Micros(131), rights: 4 }),
        About::Verdicts(ask(verdicts::What::All)),
        About::Verdicts(ask(verdicts::What::Own)),
        About::Verdicts(ask(verdicts::What::Hot)),
        About::Verdicts(ask(verdicts::What::HotBack)),
        About::Verdicts(verdicts::Message::Told { sent: Micros(201), entries: vec![entry] }),
    ];
    let to = SocketAddr::from(([127, 0, 0, 1], 9));
    let written = abouts.map(|about| talk([(to, Item { terms: 5, about })]).remove(0).1);
    let written = written.map(|bytes| bytes.iter().map(|byte| format!("{byte:02x}")).collect::<String>());
    let expected = [
        "4a4c02010500030001c80107",
        "4a4c02010501ac0280bbb02101ac0202008101",
        "4a4c020105020005820110",
        "4a4c020105020105830104",
        "4a4c0201050300c801c0843d00",
        "4a4c0201050300c801c0843d01",
        "4a4c0201050300c801c0843d02",
        "4a4c0201050300c801c0843d03",
        "4a4c0201050301c90101ac0280bbb021070180018080010100",
    ];
    assert_eq!(written, expected);
}
