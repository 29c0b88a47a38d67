//! A small fleet: one balancer, one cache server, the origin and discovery.

use super::balancer::{list_entry, Balancer, Class, Deployment};
use super::process::StandIn;
use super::record::Record;

/// What a case sets of its fleet.
pub struct FleetPlan<'a> {
    pub classes: &'a [Class],
    pub memory_mb: u64,
    pub sockets: u64,
    /// The arguments of the cache server's role.
    pub cache: &'a [&'a str],
    /// The arguments of the origin's role.
    pub origin: &'a [&'a str],
}

pub struct Fleet {
    pub balancer: Balancer,
    pub cache: StandIn,
    pub origin: StandIn,
    pub discovery: StandIn,
}

impl Fleet {
    pub fn start(plan: &FleetPlan<'_>, record: &Record) -> Result<Fleet, String> {
        let cache_arguments: Vec<&str> = std::iter::once("cache").chain(plan.cache.iter().copied()).collect();
        let cache = StandIn::start("cache", &cache_arguments, record)?;
        let origin_arguments: Vec<&str> =
            std::iter::once("origin").chain(plan.origin.iter().copied()).collect();
        let origin = StandIn::start("origin", &origin_arguments, record)?;
        let entries = vec![
            list_entry("s-00000001", &cache.address, "node", "in_service"),
            list_entry("s-0000000f", &origin.address, "origin", "in_service"),
        ];
        let arguments: Vec<&str> =
            std::iter::once("discovery").chain(entries.iter().map(String::as_str)).collect();
        let discovery = StandIn::start("discovery", &arguments, record)?;
        let deployment = Deployment {
            classes: plan.classes,
            memory_mb: plan.memory_mb,
            sockets: plan.sockets,
            max_attempts: 3,
            entries,
            discovery: discovery.address.clone(),
        };
        let balancer = Balancer::start("b1", &deployment, record)?;
        Ok(Fleet { balancer, cache, origin, discovery })
    }
}
