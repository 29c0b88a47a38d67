//! Packets decode to what was encoded; malformed packets are errors; the encoding stays compatible.

use juniperladder::{Micros, ServerId};

use super::*;
use crate::failure_detector::{QueryScope, Report, MAX_REPORTS};
use crate::rate_limit::{LeaseGrant, LeaseRequest};

fn receiver() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9))
}

fn rate_limit_request(incarnation: u64, sent: u64, tokens: u32) -> rate_limit::Message {
    rate_limit::Message::Request(LeaseRequest { incarnation, sent: Micros(sent), tokens })
}

fn rate_limit_grant(incarnation: u64, sent: u64, tokens: u32, available: u32) -> rate_limit::Message {
    rate_limit::Message::Grant(LeaseGrant { incarnation, sent: Micros(sent), tokens, available })
}

fn transfer(incarnation: u64, sent: u64, credits: u32) -> retry_budget::Message {
    retry_budget::Message::Transfer { incarnation, sent: Micros(sent), credits }
}

fn query(sent: u64, digest: u64, scope: QueryScope) -> failure_detector::Message {
    failure_detector::Message::Query { sent: Micros(sent), digest, scope }
}

fn reports(sent: u64, reports: Vec<Report>) -> failure_detector::Message {
    failure_detector::Message::Reports { sent: Micros(sent), reports }
}

fn all_messages() -> Vec<CoordinationMessage> {
    let server = ServerIncarnation { server: ServerId(u64::MAX), started: Micros(u64::MAX) };
    let report = Report {
        server,
        reporter: 7,
        zone: 1,
        stamp: Micros(u64::MAX),
        age: Micros(9),
        is_silent: true,
        is_recovery: false,
    };
    let payloads = [
        Payload::RateLimit(3, rate_limit_request(u64::MAX, 12, 7)),
        Payload::SlowStart(server, rate_limit_grant(1, u64::MAX, 0, u32::MAX)),
        Payload::RetryBudget(transfer(3, 4, 5)),
        Payload::FailureDetector(reports(1, vec![report; MAX_REPORTS])),
        Payload::FailureDetector(query(1, u64::MAX, QueryScope::Urgent)),
    ];
    payloads.into_iter().map(|payload| CoordinationMessage { terms_digest: u32::MAX, payload }).collect()
}

#[test]
fn packets_are_decoded_as_they_were_encoded() {
    let packets = encode_messages(all_messages().into_iter().map(|message| (receiver(), message)));
    let decoded = packets.iter().flat_map(|(_, bytes)| match decode(bytes) {
        Ok(Packet::Coordination(messages)) => messages,
        other => panic!("not a packet of messages: {other:?}"),
    });
    let mut decoded: Vec<CoordinationMessage> = decoded.collect();
    // A message may be batched into an earlier packet, so that the order across packets is not preserved.
    decoded.sort_by_key(|message| format!("{message:?}"));
    let mut sent = all_messages();
    sent.sort_by_key(|message| format!("{message:?}"));
    assert_eq!(decoded, sent);
    assert!(packets.len() <= 2 && packets.iter().all(|(_, bytes)| bytes.len() <= MAX_PACKET_BYTES));
}

#[test]
fn packets_that_are_truncated_extended_or_malformed_are_errors() {
    for message in all_messages() {
        let bytes = encode_messages([(receiver(), message)]).remove(0).1;
        for length in 0..bytes.len() {
            assert!(decode(&bytes[..length]).is_err(), "truncated at {length}");
        }
        let extended = [&bytes[..], &[0xff; 3]].concat();
        assert!(matches!(decode(&extended), Err(PacketError::Malformed(_))));
    }
    assert_eq!(decode(&encode_membership(b"abc")), Ok(Packet::Membership(b"abc")));
    assert_eq!(decode(&[b'J'; MAX_PACKET_BYTES + 1]), Err(PacketError::TooLong));
    assert_eq!(decode(b"JL\x01\x00"), Err(PacketError::UnknownVersion));
    assert_eq!(decode(b"JL\x02\x09"), Err(PacketError::UnknownKind));
    assert_eq!(decode(b"JL\x02\x01"), Err(PacketError::Empty));
}

#[test]
fn packet_with_too_many_messages_is_an_error() {
    let message = CoordinationMessage { terms_digest: 1, payload: Payload::RetryBudget(transfer(3, 4, 5)) };
    let packets = encode_messages(std::iter::repeat_n((receiver(), message), MAX_MESSAGES + 1));
    assert_eq!(packets.len(), 2);
    let both = [&packets[0].1[..], &packets[1].1[HEADER_BYTES..]].concat();
    assert_eq!(decode(&both), Err(PacketError::TooManyMessages));
}

/// Guards against an incompatible change of the encoding: during an upgrade balancers of two versions exchange messages.
#[test]
fn messages_keep_their_bytes_on_the_wire() {
    let server = ServerIncarnation { server: ServerId(300), started: Micros(70_000_000) };
    let report = Report {
        server,
        reporter: 7,
        zone: 1,
        stamp: Micros(128),
        age: Micros(16_384),
        is_silent: true,
        is_recovery: false,
    };
    let credit_request = retry_budget::Message::Request { incarnation: 5, sent: Micros(130), credits: 16 };
    let payloads = [
        Payload::RateLimit(3, rate_limit_request(1, 200, 7)),
        Payload::SlowStart(server, rate_limit_grant(300, 2, 0, 129)),
        Payload::RetryBudget(credit_request),
        Payload::RetryBudget(transfer(5, 131, 4)),
        Payload::FailureDetector(query(200, 1_000_000, QueryScope::All)),
        Payload::FailureDetector(query(200, 1_000_000, QueryScope::AllMutual)),
        Payload::FailureDetector(query(200, 1_000_000, QueryScope::UrgentMutual)),
        Payload::FailureDetector(query(200, 1_000_000, QueryScope::Urgent)),
        Payload::FailureDetector(reports(201, vec![report])),
    ];
    let encoded = payloads.map(|payload| {
        let message = CoordinationMessage { terms_digest: 5, payload };
        let bytes = encode_messages([(receiver(), message)]).remove(0).1;
        bytes.iter().map(|byte| format!("{byte:02x}")).collect::<String>()
    });
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
    assert_eq!(encoded, expected);
}
