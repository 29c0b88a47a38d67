//! Tests of the wire format: what is written is read, and nothing else is.

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

fn all_messages() -> Vec<Message> {
    let epoch = Epoch { incarnation: u64::MAX, counter: u64::MAX };
    let (member, number, vector) = (MemberId(u32::MAX), u32::MAX, longest_vector());
    let position = Position { incarnation: u64::MAX, sequence: u64::MAX };
    let run = Run {
        replica: ReplicaId(1),
        previous: position,
        starts: Some(u64::MAX),
        rebase: true,
        keys: vec![vec![7; MAX_KEY_BYTES], vec![]],
    };
    let runs = vec![run];
    let registration = Registration {
        member,
        epoch,
        assigned_replica: ReplicaId(15),
        state: RegistrationState::Released,
        change: u64::MAX,
    };
    let report = MemberReport {
        floor: Some(position),
        laggards: vec![member; MAX_NAMED_MEMBERS],
        laggards_total: u32::MAX,
    };
    let reply = StatusReply {
        asked_by: u64::MAX,
        round: u64::MAX,
        incarnation: u64::MAX,
        vector: vector.clone(),
        change: u64::MAX,
        report,
    };
    let chunk = TableChunk {
        incarnation: u64::MAX,
        after: u64::MAX,
        through: u64::MAX,
        registrations: vec![registration; 24],
        more: true,
    };
    let incarnation = u64::MAX;
    let to_replica = [
        MemberMessage::Pull {
            member,
            epoch: Some(epoch),
            number,
            catch_up: CatchUp::Replay,
            applied: vector.clone(),
        },
        MemberMessage::Register { member, epoch, assigned_replica: ReplicaId(3) },
        MemberMessage::Confirm { member, epoch },
        MemberMessage::Deregister { member, epoch },
        MemberMessage::Probe { number },
    ];
    let to_member = [
        ReplicaMessage::Entries { number, epoch: Some(epoch), runs: runs.clone(), more: true },
        ReplicaMessage::Void { number, epoch: Some(epoch), vector: vector.clone() },
        ReplicaMessage::ReRegister { epoch },
        ReplicaMessage::Registered { epoch, incarnation },
        ReplicaMessage::Confirmed { epoch, incarnation, vector: vector.clone() },
        ReplicaMessage::Superseded { epoch, known: epoch },
        ReplicaMessage::ProbeReply { number },
    ];
    let between = [
        PeerMessage::StatusRequest { incarnation, round: u64::MAX, vector: vector.clone() },
        PeerMessage::StatusReply(reply),
        PeerMessage::Fetch { vector },
        PeerMessage::Push { runs, more: true },
        PeerMessage::TableRequest { incarnation, after: u64::MAX },
        PeerMessage::TableChunk(chunk),
    ];
    let to_replica = to_replica.into_iter().map(Message::ToReplica);
    let to_member = to_member.into_iter().map(Message::ToMember);
    to_replica.chain(to_member).chain(between.into_iter().map(Message::BetweenReplicas)).collect()
}

#[test]
fn the_longest_message_of_each_kind_fits_and_is_read_as_it_was_written() {
    for message in all_messages() {
        let bytes = encode(&message).unwrap_or_else(|| panic!("too long: {message:?}"));
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        assert_eq!(decode(&bytes), Ok(message));
    }
}

#[test]
fn what_is_truncated_at_any_length_or_has_more_behind_is_an_error() {
    for message in all_messages() {
        let bytes = encode(&message).expect("it fits");
        for length in 0..bytes.len() {
            assert!(decode(&bytes[..length]).is_err(), "{message:?} truncated to {length} bytes");
        }
        let longer = [&bytes[..], &[0]].concat();
        assert!(decode(&longer).is_err());
    }
}

#[test]
fn other_versions_and_what_is_too_long_are_told_apart() {
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
    let bytes = encode(&push).expect("it fits");
    assert_eq!(decode(&bytes), Err(DecodeError::Malformed));
    let mut vector = VersionVector::default();
    vector.raise(ReplicaId(MAX_REPLICAS as u8), Position::start_of(1));
    let fetch = Message::BetweenReplicas(PeerMessage::Fetch { vector });
    assert_eq!(decode(&encode(&fetch).expect("it fits")), Err(DecodeError::Malformed));
}

#[test]
fn random_bytes_and_flipped_bits_never_panic() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let messages = all_messages();
    for _ in 0..20_000 {
        let mut random = MAGIC_AND_VERSION.to_vec();
        random.resize(4 + rng.random_range(0..300), 0);
        rng.fill_bytes(&mut random[4..]);
        let _ = decode(&random);
        let mut bytes = encode(&messages[rng.random_range(0..messages.len())]).expect("it fits");
        let index = rng.random_range(4..bytes.len());
        bytes[index] ^= 1 << rng.random_range(0..8);
        let _ = decode(&bytes);
    }
}
