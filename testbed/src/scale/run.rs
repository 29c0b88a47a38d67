//! The immutable state shared by all threads of a run: configuration, network, schedule and addresses.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use super::calibration::CalibrationEndpoint;
use super::cluster_endpoint::{ClusterEndpoint, ClusterMemberIdentity, MembershipEndpoint};
use super::config::{InjectedDefect, Mechanism, ScaleConfig};
use super::endpoint::Endpoint;
use super::network::Network;
use super::purge_endpoint::{PurgeMemberEndpoint, PurgeMemberIdentity, PurgeReplicaEndpoint};
use super::schedule::{Schedule, CLOCK_START, SEED_MEMBER_COUNT};
use super::topology::Topology;
use super::workload::WorkloadConfig;
use super::Micros;

/// Interval between two ticks of a member.
pub const TICK_INTERVAL: Micros = 50_000;

/// A run, fully determined before it starts.
#[derive(Debug)]
pub struct Run {
    /// The configuration.
    pub config: ScaleConfig,
    /// The network with its scheduled faults.
    pub network: Network,
    /// The schedule of faults, purges and expectations.
    pub schedule: Schedule,
    /// The address of each member and purge replica, by member number; replicas have the lowest numbers.
    pub addresses: Vec<SocketAddr>,
    members_by_address: HashMap<SocketAddr, usize>,
}

impl Run {
    /// Creates a run of members at these addresses.
    pub fn new(config: ScaleConfig, addresses: Vec<SocketAddr>) -> Run {
        let topology = Topology::new(addresses.len(), config.zones, config.regions, config.seed);
        let mut network = Network::new(topology, config.seed);
        let schedule = Schedule::new(&config, &mut network, &addresses);
        let members_by_address =
            addresses.iter().enumerate().map(|(member, address)| (*address, member)).collect();
        Run { config, network, schedule, addresses, members_by_address }
    }

    /// The number of the member at an address.
    pub fn member_at(&self, address: SocketAddr) -> Option<usize> {
        self.members_by_address.get(&address).copied()
    }

    /// Creates the control code of a member that starts now. The start time is the member's incarnation, so that a later
    /// start has a greater one.
    pub fn create_endpoint(&self, member: usize, now: Micros) -> Box<dyn Endpoint> {
        let config = &self.config;
        let seed = config.seed ^ (member as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ now;
        let identity = ClusterMemberIdentity {
            address: self.addresses[member],
            number: member,
            zone: self.network.topology().zone(member),
            incarnation: now,
            seeds: self.addresses.iter().take(SEED_MEMBER_COUNT).copied().collect(),
            seed,
        };
        match config.mechanism {
            Mechanism::Membership => Box::new(MembershipEndpoint::new(identity, now)),
            Mechanism::Cluster => {
                let workload_config = self.workload_config();
                Box::new(ClusterEndpoint::new(identity, config.members, config.zones, workload_config, now))
            }
            Mechanism::Purge if member < config.replicas => {
                let replicas = self.addresses[..config.replicas].to_vec();
                let bootstrap = now < CLOCK_START + TICK_INTERVAL;
                Box::new(PurgeReplicaEndpoint::new(member as u8, replicas, bootstrap, seed, now))
            }
            Mechanism::Purge => {
                Box::new(PurgeMemberEndpoint::new(self.purge_member_identity(member, seed), now))
            }
            Mechanism::Calibration => {
                let peers: Rc<[SocketAddr]> = self.addresses.as_slice().into();
                Box::new(CalibrationEndpoint::new(config.calibration, peers, seed, now))
            }
        }
    }

    fn purge_member_identity(&self, member: usize, seed: u64) -> PurgeMemberIdentity {
        let config = &self.config;
        let mut preferred_replicas: Vec<u8> = (0..config.replicas as u8).collect();
        preferred_replicas
            .sort_by_key(|replica| self.network.topology().delay(member, usize::from(*replica)));
        let drops_purges = config.defect == Some(InjectedDefect::DropsPurges) && member == config.replicas;
        PurgeMemberIdentity {
            member: member as u32,
            replicas: self.addresses[..config.replicas].to_vec(),
            preferred_replicas,
            is_cache_server: member >= config.endpoint_count() - config.purge_cache_server_count(),
            drops_purges,
            seed,
        }
    }

    fn workload_config(&self) -> WorkloadConfig {
        WorkloadConfig {
            requests_per_s: self.config.requests_per_s,
            servers: self.config.cache_hosts,
            silent_servers: self.schedule.silent_servers.clone(),
        }
    }
}
