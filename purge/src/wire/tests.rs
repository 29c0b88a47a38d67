//! Tests of the wire format: every message round-trips, and malformed datagrams are rejected without a panic.

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::*;
use crate::limits::MAX_KEY_BYTES;
use crate::registration::Registration;
use crate::registration::RegistrationState;

/// The longest version vector.
fn longest_vector() -> VersionVector {
    let mut vector = VersionVector::default();
    for replica in 0..MAX_REPLICAS {
        let position = Position { incarnation: u64::MAX, sequence: u64::MAX };
        vector.raise(ReplicaId(replica as u8), position);
    }
    vector
}

const MEMBER: MemberId = MemberId(u32::MAX);
const EPOCH: Epoch = Epoch { incarnation: u64::MAX, counter: u64::MAX };
const NUMBER: u32 = u32::MAX;
const INCARNATION: u64 = u64::MAX;
const POSITION: Position = Position { incarnation: u64::MAX, sequence: u64::MAX };

fn longest_runs() -> Vec<Run> {
    vec![Run {
        replica: ReplicaId(1),
        previous: POSITION,
        starts: Some(u64::MAX),
        rebase: true,
        keys: vec![vec![7; MAX_KEY_BYTES], vec![]],
    }]
}

fn longest_reply() -> StatusReply {
    let report = MemberReport {
        floor: Some(POSITION),
        laggards: vec![MEMBER; MAX_NAMED_MEMBERS],
        laggards_total: u32::MAX,
    };
    StatusReply {
        requester_incarnation: u64::MAX,
        round: u64::MAX,
        incarnation: INCARNATION,
        vector: longest_vector(),
        change: u64::MAX,
        report,
    }
}

fn longest_chunk() -> TableChunk {
    let registration = Registration {
        member: MEMBER,
        epoch: EPOCH,
        assigned_replica: ReplicaId(15),
        state: RegistrationState::Released,
        change: u64::MAX,
    };
    TableChunk {
        incarnation: INCARNATION,
        after: u64::MAX,
        through: u64::MAX,
        registrations: vec![registration; 24],
        more: true,
    }
}

fn member_messages() -> Vec<MemberMessage> {
    vec![
        MemberMessage::Pull {
            member: MEMBER,
            epoch: Some(EPOCH),
            number: NUMBER,
            catch_up: CatchUp::Replay,
            applied: longest_vector(),
        },
        MemberMessage::Register { member: MEMBER, epoch: EPOCH, assigned_replica: ReplicaId(3) },
        MemberMessage::Confirm { member: MEMBER, epoch: EPOCH },
        MemberMessage::Deregister { member: MEMBER, epoch: EPOCH },
        MemberMessage::Probe { number: NUMBER },
    ]
}

fn replica_messages() -> Vec<ReplicaMessage> {
    let (number, vector) = (NUMBER, longest_vector());
    vec![
        ReplicaMessage::Entries { number, epoch: Some(EPOCH), runs: longest_runs(), more: true },
        ReplicaMessage::Void { number, epoch: Some(EPOCH), vector: vector.clone() },
        ReplicaMessage::ReRegister { epoch: EPOCH },
        ReplicaMessage::Registered { epoch: EPOCH, incarnation: INCARNATION },
        ReplicaMessage::Confirmed { epoch: EPOCH, incarnation: INCARNATION, vector },
        ReplicaMessage::Superseded { epoch: EPOCH, known: EPOCH },
        ReplicaMessage::ProbeReply { number },
    ]
}

fn peer_messages() -> Vec<PeerMessage> {
    vec![
        PeerMessage::StatusRequest { incarnation: INCARNATION, round: u64::MAX, vector: longest_vector() },
        PeerMessage::StatusReply(longest_reply()),
        PeerMessage::Fetch { vector: longest_vector() },
        PeerMessage::Push { runs: longest_runs(), more: true },
        PeerMessage::TableRequest { incarnation: INCARNATION, after: u64::MAX },
        PeerMessage::TableChunk(longest_chunk()),
    ]
}

fn all_messages() -> Vec<Message> {
    let to_replica = member_messages().into_iter().map(Message::ToReplica);
    let to_member = replica_messages().into_iter().map(Message::ToMember);
    let between = peer_messages().into_iter().map(Message::BetweenReplicas);
    to_replica.chain(to_member).chain(between).collect()
}

#[test]
fn the_longest_message_of_each_kind_fits_and_round_trips() {
    for message in all_messages() {
        let bytes = encode(&message).unwrap_or_else(|| panic!("too long: {message:?}"));
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        assert_eq!(decode(&bytes), Ok(message));
    }
}

#[test]
fn truncated_datagrams_and_trailing_bytes_are_errors() {
    for message in all_messages() {
        let bytes = encode(&message).expect("the message fits into a datagram");
        for length in 0..bytes.len() {
            assert!(decode(&bytes[..length]).is_err(), "{message:?} truncated to {length} bytes");
        }
        let longer = [&bytes[..], &[0]].concat();
        assert!(decode(&longer).is_err());
    }
}

#[test]
fn other_versions_and_too_long_datagrams_have_their_own_errors() {
    assert_eq!(decode(&[b'J'; MAX_DATAGRAM_BYTES + 1]), Err(DecodeError::TooLong));
    assert_eq!(decode(b"JPC\x02\x00"), Err(DecodeError::Version));
    assert_eq!(decode(b""), Err(DecodeError::Version));
    assert_eq!(decode(b"JPC\x01\xff"), Err(DecodeError::Malformed));
}

#[test]
fn keys_and_vectors_beyond_the_bounds_are_malformed() {
    let key = vec![1; MAX_KEY_BYTES + 1];
    let run =
        Run { replica: ReplicaId(0), previous: Position::ZERO, starts: None, rebase: false, keys: vec![key] };
    let push = Message::BetweenReplicas(PeerMessage::Push { runs: vec![run], more: false });
    let bytes = encode(&push).expect("the message fits into a datagram");
    assert_eq!(decode(&bytes), Err(DecodeError::Malformed));
    let mut vector = VersionVector::default();
    vector.raise(ReplicaId(MAX_REPLICAS as u8), Position::start_of(1));
    let fetch = Message::BetweenReplicas(PeerMessage::Fetch { vector });
    assert_eq!(
        decode(&encode(&fetch).expect("the message fits into a datagram")),
        Err(DecodeError::Malformed)
    );
}

#[test]
fn decoding_random_bytes_and_flipped_bits_never_panics() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let messages = all_messages();
    for _ in 0..20_000 {
        let mut random = MAGIC_AND_VERSION.to_vec();
        random.resize(4 + rng.random_range(0..300), 0);
        rng.fill_bytes(&mut random[4..]);
        let _ = decode(&random);
        let mut bytes =
            encode(&messages[rng.random_range(0..messages.len())]).expect("the message fits into a datagram");
        let index = rng.random_range(4..bytes.len());
        bytes[index] ^= 1 << rng.random_range(0..8);
        let _ = decode(&bytes);
    }
}
