//! A small site: discovery, three cache hosts, the origin, and one process of the balancer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::client::{config, Limits, USUAL_LIMITS};
use crate::platform::{list_json, start_cache_host, start_discovery, Caches, Listed};
use crate::run::{free_address, Balancer, Run};

/// How long a cache host works on a request.
const CACHE_WORK: Duration = Duration::from_millis(3);

pub struct Site {
    /// Where clients connect.
    pub address: SocketAddr,
    /// Ends with the site.
    pub balancer: Balancer,
}

/// Starts three cache hosts in the balancer's zone.
pub fn start_cache_hosts(run: &Arc<Run>, caches: &Arc<Caches>) -> Vec<Listed> {
    let cache_host =
        |number: usize| listed_cache_host(number, start_cache_host(run, caches, number, CACHE_WORK));
    (1..=3).map(cache_host).collect()
}

/// A cache host's entry in the list.
pub fn listed_cache_host(number: usize, address: SocketAddr) -> Listed {
    Listed { id: format!("s-{number:08x}"), address, zone: "industrial-area", kind: "fast-node" }
}

impl Site {
    /// Starts discovery, which lists these servers, and the balancer, and waits until it is ready.
    pub fn start(run: &Arc<Run>, servers: &[Listed]) -> Result<Site, String> {
        Site::start_with(run, servers, USUAL_LIMITS)
    }

    /// The same with these limits.
    pub fn start_with(run: &Arc<Run>, servers: &[Listed], limits: Limits) -> Result<Site, String> {
        let list = list_json(servers);
        let told = list.clone();
        let discovery = start_discovery(move || told.clone());
        let address = free_address();
        let balancer = Balancer::start(run, address, &config(address, discovery, &list, limits))?;
        Ok(Site { address, balancer })
    }
}
