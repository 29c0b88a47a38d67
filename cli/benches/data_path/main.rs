//! Benchmark of the data path of one process: processor time, memory and descriptors by number of cache servers, value
//! size, connections and endpoint list changes. Source of the figures in docs/CAPACITY.md.
//!
//! Usage: `cargo bench -p juniperladder-cli --bench data_path -- SCENARIO [SEED [SIZE]]`, where SCENARIO is `servers`,
//! `pairs`, `values`, `uploads`, `connections` or `discovery`, SEED is 1 by default, and SIZE is one of the scenario's
//! sizes, by default all. Prints rows of comma-separated values and asserts nothing. `uploads` does not work yet: none of
//! its writes is served. The benchmark measures real time on loopback, so nothing else may run at the same time.

mod balancer;
mod fake_servers;
mod load;

use std::time::Duration;

use balancer::{Balancer, Usage};
use fake_servers::FakeServers;
use load::{Load, LoadResult};

/// Requests per second of one balancer at peak load: 1.3 million over 2,000 balancers.
const PEAK_RATE: f64 = 650.0;
/// The value size in bytes at which [`PEAK_RATE`] is 1.2 Gbit/s.
const PEAK_VALUE_BYTES: usize = 231_000;
/// Bytes per second through one balancer at peak load: 2.4 Tbit/s over 2,000 balancers.
const PEAK_BYTES_PER_S: f64 = 150e6;
/// Numbers of listed servers.
const SERVERS: [usize; 7] = [10, 125, 230, 500, 1_000, 2_000, 4_096];
/// Value sizes in bytes.
const VALUES: [usize; 9] =
    [1_024, 16 << 10, 64 << 10, 128 << 10, PEAK_VALUE_BYTES, 512 << 10, 1 << 20, 2 << 20, 4_000_000];
/// Mean service times in milliseconds.
const SERVICE_MS: [usize; 4] = [2, 5, 20, 50];
/// Numbers of client connections.
const CLIENTS: [usize; 6] = [0, 125, 250, 500, 1_000, 2_000];
/// How long the load runs before the measurement.
const WARM_UP: Duration = Duration::from_secs(3);
/// How long the load of the scenarios `values` and `uploads` runs before the measurement.
const WARM_UP_VALUES: Duration = Duration::from_secs(1);
/// How long the load runs during the measurement.
const MEASURE_TIME: Duration = Duration::from_secs(4);
/// How long the load of the scenario `pairs` runs before the measurement: longer than the idle timeout of connections to
/// servers.
const WARM_UP_PAIRS: Duration = Duration::from_secs(6);

fn main() {
    // Cargo also passes options for the benchmark harness, such as `--bench`.
    let arguments: Vec<String> = std::env::args().skip(1).filter(|a| !a.starts_with("--")).collect();
    let scenario = arguments.first().map_or("", String::as_str);
    let seed = arguments.get(1).and_then(|text| text.parse().ok()).unwrap_or(1);
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("cannot build the runtime");
    let requested_size: Option<usize> = arguments.get(2).and_then(|text| text.parse().ok());
    let sizes = |all: &[usize]| {
        all.iter().copied().filter(|size| requested_size.is_none_or(|requested| requested == *size)).collect()
    };
    match scenario {
        "servers" => runtime.block_on(servers(seed, sizes(&SERVERS))),
        "pairs" => runtime.block_on(pairs(seed, sizes(&SERVICE_MS))),
        "values" => runtime.block_on(values(seed, sizes(&VALUES), false)),
        "uploads" => runtime.block_on(values(seed, sizes(&VALUES), true)),
        "connections" => runtime.block_on(connections(seed, sizes(&CLIENTS))),
        "discovery" => runtime.block_on(discovery(seed, sizes(&SERVERS))),
        _ => eprintln!(
            "usage: data_path SCENARIO [SEED [SIZE]], where SCENARIO is servers, pairs, values, uploads, connections or discovery"
        ),
    }
}

/// The resource usage of the process for a load.
struct Cost {
    /// The usage right after the load, with the processor time of the load alone.
    used: Usage,
    load_result: LoadResult,
    /// The usage right after the load, with the processor time since the start of the process.
    after: Usage,
}

async fn measure(balancer: &Balancer, load: Load, warm_up: Duration) -> Cost {
    load.run(balancer.address(), warm_up).await;
    let before = balancer.usage();
    let load_result = load.run(balancer.address(), MEASURE_TIME).await;
    let after = balancer.usage();
    Cost { used: after.since(&before), load_result, after }
}

/// Peak load with small values, by number of listed servers.
async fn servers(seed: u64, sizes: Vec<usize>) {
    println!("servers,seed,service_ms,served,cpu_ms_per_request,cores_at_650,idle_rss_kb,rss_kb,connections,opened_per_request");
    for servers in sizes {
        small_values(seed, servers, 5.0, WARM_UP).await;
    }
}

/// Connections to 230 servers at peak load, by mean service time.
async fn pairs(seed: u64, service_ms: Vec<usize>) {
    println!("servers,seed,service_ms,served,cpu_ms_per_request,cores_at_650,idle_rss_kb,rss_kb,connections,opened_per_request");
    for service_ms in service_ms {
        small_values(seed, 230, service_ms as f64, WARM_UP_PAIRS).await;
    }
}

async fn small_values(seed: u64, servers: usize, service_ms: f64, warm_up: Duration) {
    let fake_servers = FakeServers::start(64, service_ms, seed);
    let balancer = Balancer::start(&fake_servers, servers, 8_192, seed).await;
    let idle = balancer.usage();
    let cost =
        measure(&balancer, Load { rate: PEAK_RATE, clients: 64, upload_bytes: 0, seed }, warm_up).await;
    let requests_with_warm_up = PEAK_RATE * (warm_up + MEASURE_TIME).as_secs_f64();
    let cpu_s_per_request = cost.used.cpu_s / cost.load_result.sent as f64;
    println!(
        "{servers},{seed},{service_ms},{},{:.4},{:.3},{},{},{},{:.3}",
        cost.load_result.served as f64 / cost.load_result.sent as f64,
        cpu_s_per_request * 1e3,
        cpu_s_per_request * PEAK_RATE,
        idle.rss_kb,
        cost.after.rss_kb,
        fake_servers.open_connections(),
        fake_servers.total_connections() as f64 / requests_with_warm_up
    );
}

/// Reads or writes values at the peak request rate or the peak byte rate, whichever is lower, by value size.
async fn values(seed: u64, sizes: Vec<usize>, is_upload: bool) {
    println!("value_bytes,seed,rate,served,mib_passed,cpu_ms_per_request,cpu_ms_per_mib,cores,rss_kb,lag_ms");
    for size in sizes {
        let fake_servers = FakeServers::start(if is_upload { 64 } else { size }, 5.0, seed);
        let balancer = Balancer::start(&fake_servers, 230, 8_192, seed).await;
        // Small values are limited by the peak request rate, large ones by the peak byte rate.
        let rate = PEAK_RATE.min(PEAK_BYTES_PER_S / size as f64);
        // A connection is closed after 2.2 s without a request, so each client sends at least one per second.
        let clients = 128.min(rate as usize);
        let load = Load { rate, clients, upload_bytes: if is_upload { size } else { 0 }, seed };
        let cost = measure(&balancer, load, WARM_UP_VALUES).await;
        let mib = cost.load_result.bytes as f64 / f64::from(1 << 20);
        println!(
            "{size},{seed},{rate:.1},{:.4},{mib:.1},{:.4},{:.4},{:.3},{},{:.1}",
            cost.load_result.served as f64 / cost.load_result.sent as f64,
            cost.used.cpu_s * 1e3 / cost.load_result.served.max(1) as f64,
            cost.used.cpu_s * 1e3 / mib,
            cost.used.cpu_s / MEASURE_TIME.as_secs_f64(),
            cost.after.rss_kb,
            cost.load_result.lag_ms
        );
    }
}

/// Memory and descriptors with idle clients, with requests in flight, and with idle connections to servers.
async fn connections(seed: u64, sizes: Vec<usize>) {
    println!("clients,seed,state,rss_kb,descriptors");
    for clients in sizes {
        let fake_servers = FakeServers::start(64, 0.0, seed);
        let balancer = Balancer::start(&fake_servers, 1_000, 8_192, seed).await;
        let row = |state: &str| {
            let usage = balancer.usage();
            println!("{clients},{seed},{state},{},{}", usage.rss_kb, usage.descriptors);
        };
        row("started");
        let mut held_connections = load::HeldConnections::open(balancer.address(), clients).await;
        row("clients_rest");
        fake_servers.set_service_time(1_000.0);
        held_connections.send_requests(seed).await;
        tokio::time::sleep(Duration::from_millis(400)).await;
        row("in_flight");
        held_connections.read_answers().await;
        row("servers_rest");
    }
}

/// Processor time for complete endpoint lists and for single changes, by number of listed servers and without load.
async fn discovery(seed: u64, sizes: Vec<usize>) {
    const LISTS: u32 = 20;
    const CHANGES: u32 = 100;
    println!(
        "servers,seed,list_bytes,cpu_ms_per_list,change_bytes,cpu_ms_per_change,idle_cpu_ms_per_s,rss_kb"
    );
    for servers in sizes {
        let fake_servers = FakeServers::start(64, 5.0, seed);
        let balancer = Balancer::start(&fake_servers, servers, 8_192, seed).await;
        fake_servers.wait_for_watch().await;
        let idle_cpu_s_per_s = balancer.cpu_time_over(Duration::from_secs(1)).await;
        let list = fake_servers.list(servers, true, 0);
        let before = balancer.usage();
        for number in 0..LISTS {
            fake_servers.push(&fake_servers.list(servers, true, u64::from(number) + 50));
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        // Without the idle processor time of the sleeps of 50 ms.
        let lists_cpu_s = balancer.usage().since(&before).cpu_s - idle_cpu_s_per_s * f64::from(LISTS) * 0.05;
        let change = fake_servers.list(1, false, 0);
        let before = balancer.usage();
        for number in 0..CHANGES {
            fake_servers.push(&fake_servers.list(1, false, u64::from(number) + 100));
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let used_cpu_s = balancer.usage().since(&before).cpu_s;
        // Without the idle processor time of the sleeps of 10 ms, each of which counts as 11 ms.
        let changes_cpu_s = used_cpu_s - idle_cpu_s_per_s * f64::from(CHANGES) * 0.011;
        println!(
            "{servers},{seed},{},{:.3},{},{:.4},{:.2},{}",
            list.len(),
            lists_cpu_s * 1e3 / f64::from(LISTS),
            change.len(),
            changes_cpu_s * 1e3 / f64::from(CHANGES),
            idle_cpu_s_per_s * 1e3,
            balancer.usage().rss_kb
        );
    }
}
