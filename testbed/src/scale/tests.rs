//! Tests of the scale test's own parts: the modelled network, the measurements and the check of the configuration.

use std::net::SocketAddr;

use juniperladder_cluster::packet::{self, CoordinationMessage, Payload};
use juniperladder_cluster::{rate_limit, retry_budget, ServerIncarnation};

use super::endpoint::PacketKind;
use super::meter::{Lateness, MemberCounts};
use super::network::{Network, PacketLoss, Partition, PartitionScope};
use super::topology::Topology;
use super::*;

fn faulty_network(seed: u64) -> Network {
    let mut network = Network::new(Topology::new(200, 38, 12, seed), seed);
    network.add_partition(Partition { period: 100..200, scope: PartitionScope::Region(3) });
    network.add_packet_loss(PacketLoss { period: 0..1_000, lost_share: 0.25 });
    network
}

fn packet_delays(network: &Network) -> Vec<Option<Micros>> {
    (0..4_000).map(|number| network.delay(500, number % 200, (number * 7 + 1) % 200, number as u64)).collect()
}

#[test]
fn same_seed_gives_the_same_packet_delays_and_losses() {
    assert_eq!(packet_delays(&faulty_network(1)), packet_delays(&faulty_network(1)));
    assert_ne!(packet_delays(&faulty_network(1)), packet_delays(&faulty_network(2)));
    let lost = packet_delays(&faulty_network(1)).iter().filter(|delay| delay.is_none()).count();
    assert!((900..1_100).contains(&lost), "{lost} of 4000 packets were lost, but about 1000 should be");
}

#[test]
fn delays_grow_with_distance_and_are_symmetric() {
    let topology = Topology::new(200, 38, 12, 1);
    assert_eq!(topology.delay(0, 38), 1_000, "same zone");
    assert_eq!(topology.delay(0, 12), 5_000, "two zones of the same region");
    for (from, to) in [(0, 1), (3, 8), (11, 4)] {
        assert!((20_000..90_000).contains(&topology.delay(from, to)));
        assert_eq!(topology.delay(from, to), topology.delay(to, from));
    }
}

#[test]
fn partitioned_region_is_separated_from_other_regions_only() {
    let network = faulty_network(1);
    let region = |member| network.topology().region(member);
    let inside: Vec<usize> = (0..200).filter(|member| region(*member) == 3).collect();
    let outside = (0..200).find(|member| region(*member) != 3).unwrap();
    assert!(
        network.is_partitioned(150, inside[0], outside) && network.is_partitioned(150, outside, inside[0])
    );
    assert!(!network.is_partitioned(150, inside[0], inside[1]));
    assert!(!network.is_partitioned(200, inside[0], outside), "the end of the period is exclusive");
}

#[test]
fn packet_counts_for_the_kind_of_its_first_part_and_each_byte_for_the_kind_of_its_own_part() {
    let to = SocketAddr::from(([127, 0, 0, 1], 9));
    let lease_request = rate_limit::Message::Request(rate_limit::LeaseRequest {
        incarnation: 1,
        sent: juniperladder_cluster::Micros(2),
        tokens: 3,
    });
    let credit_transfer = retry_budget::Message::Transfer {
        incarnation: 3,
        sent: juniperladder_cluster::Micros(4),
        credits: 5,
    };
    let payloads = [
        Payload::RateLimit(0, lease_request),
        Payload::SlowStart(
            ServerIncarnation {
                server: juniperladder_cluster::ServerId(1),
                started: juniperladder_cluster::Micros(2),
            },
            lease_request,
        ),
        Payload::RetryBudget(credit_transfer),
    ];
    let messages = payloads.map(|payload| (to, CoordinationMessage { terms_digest: u32::MAX, payload }));
    let packets = packet::encode_messages(messages);
    let mut counts = MemberCounts::default();
    packets.iter().for_each(|(_, bytes)| counts.on_sent(bytes));
    counts.on_sent(&packet::encode_membership(&[7; 100]));
    counts.on_sent(b"nonsense");
    let sent = |kind: PacketKind| counts.sent[kind as usize];
    let length: u64 = packets.iter().map(|(_, bytes)| bytes.len() as u64).sum();
    assert_eq!(counts.sent_total().bytes, length + 104 + 8);
    assert_eq!((counts.sent_total().packets, packets.len()), (3, 1));
    assert_eq!((sent(PacketKind::Membership).bytes, sent(PacketKind::Unknown).bytes), (104, 8));
    assert_eq!((sent(PacketKind::RateLimit).packets, sent(PacketKind::RetryBudget).packets), (1, 0));
    assert!(sent(PacketKind::SlowStart).bytes > 0 && sent(PacketKind::RetryBudget).bytes > 0);
}

#[test]
fn lateness_quantiles_cover_the_timers_of_all_threads() {
    let (mut first, mut second) = (Lateness::default(), Lateness::default());
    (0..99).for_each(|_| first.on_timer(1_000, 1_050));
    second.on_timer(1_000, 26_000);
    first.merge(&second);
    assert_eq!(first.quantile_ms(0.99), 0.0);
    assert_eq!(first.quantile_ms(1.0), 25.0);
    assert_eq!(Lateness::default().quantile_ms(0.99), 0.0);
}

#[test]
fn invalid_configuration_is_rejected_with_a_one_line_error_and_4000_members_exceed_the_memory_limit() {
    for config in [
        ScaleConfig { members: 1, ..ScaleConfig::default() },
        ScaleConfig { members: 5_000, ..ScaleConfig::default() },
        ScaleConfig { seconds: 0.0, ..ScaleConfig::default() },
    ] {
        let Err(TestbedError::Setup(error)) = run_scale_test(config) else {
            panic!("an invalid configuration was accepted, or failed only after the run had begun")
        };
        assert!(!error.to_string().contains('\n'));
    }
    let config = ScaleConfig { members: 4_000, ..ScaleConfig::default() };
    assert!(resources::required_memory_bytes(&config) > resources::MAX_MEMORY_BYTES);
    assert!(resources::required_descriptors(&config) > 4_000);
}
