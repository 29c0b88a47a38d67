//! Arguments of `scale`.

use std::path::PathBuf;

use juniperladder_testbed::scale::{
    CalibrationTraffic, FaultScenario, InjectedDefect, Mechanism, ScaleConfig,
};

/// Arguments of `scale`.
#[derive(Clone, Debug, clap::Args)]
pub struct ScaleArgs {
    /// The mechanism that the members run: membership, cluster, purge, calibration
    #[arg(long, default_value = "cluster")]
    pub mechanism: Mechanism,
    /// The number of members
    #[arg(long, default_value_t = 125)]
    pub members: usize,
    /// Runs several fleet sizes in turn, each in a process of its own, and fits each cost; replaces --members
    #[arg(long, value_delimiter = ',', value_name = "N,N,...")]
    pub sizes: Vec<usize>,
    /// With --sizes: reuses the results of sizes that OUT already contains, so that each can be run on its own
    #[arg(long)]
    pub resume: bool,
    /// The number of regions
    #[arg(long, default_value_t = 12)]
    pub regions: usize,
    /// The number of zones
    #[arg(long, default_value_t = 38)]
    pub zones: usize,
    /// Seconds for the fleet to form before anything is measured
    #[arg(long, default_value_t = 10.0)]
    pub warm_up: f64,
    /// Seconds of measurement: the first third in the ordinary state, then with the event
    #[arg(long, default_value_t = 30.0)]
    pub seconds: f64,
    /// The seed
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// The event: none, member-lost, loss, zone-lost, region-cut, restart-wave, control-loss
    #[arg(long, default_value = "none")]
    pub event: FaultScenario,
    /// Simulates time, for sizes that this machine cannot run in real time
    #[arg(long = "virtual")]
    pub virtual_time: bool,
    /// Threads that share the members in real time
    #[arg(long, default_value_t = 4)]
    pub workers: usize,
    /// Client requests per second at each member
    #[arg(long, default_value_t = 20.0)]
    pub requests: f64,
    /// Replicas of a purge run, in addition to the members
    #[arg(long, default_value_t = 11)]
    pub replicas: usize,
    /// Purges published per second by all purge replicas together
    #[arg(long, default_value_t = 11.0)]
    pub publishes: f64,
    /// The number of cache servers
    #[arg(long, default_value_t = 230)]
    pub cache_hosts: usize,
    /// Breaks the mechanism on purpose: talks-to-all, drops-changes
    #[arg(long)]
    pub flaw: Option<InjectedDefect>,
    /// In real time only: also runs endpoints without control code at the same packet rate, to measure the testbed's own cost
    #[arg(long)]
    pub calibrate: bool,
    /// Packets per second in a calibration run
    #[arg(long, hide = true, default_value_t = 5.0)]
    pub calibration_packets: f64,
    /// Packet size of a calibration run, in bytes
    #[arg(long, hide = true, default_value_t = 100)]
    pub calibration_length: usize,
    /// The output folder
    #[arg(long)]
    pub out: PathBuf,
}

impl ScaleArgs {
    /// The configuration of a test at one size.
    pub fn config(&self) -> ScaleConfig {
        ScaleConfig {
            mechanism: self.mechanism,
            members: self.members,
            regions: self.regions,
            zones: self.zones,
            warm_up_s: self.warm_up,
            seconds: self.seconds,
            seed: self.seed,
            fault_scenario: self.event,
            virtual_time: self.virtual_time,
            workers: self.workers,
            requests_per_s: self.requests,
            replicas: self.replicas,
            publishes_per_s: self.publishes,
            cache_hosts: self.cache_hosts,
            calibration: CalibrationTraffic {
                packets_per_s: self.calibration_packets,
                packet_length: self.calibration_length,
            },
            defect: self.flaw,
        }
    }

    /// The command-line arguments that run the same test at one size in another process.
    pub fn arguments(&self) -> Vec<String> {
        let mut arguments = vec!["scale".to_owned()];
        let values = [
            ("--mechanism", self.mechanism.name().to_owned()),
            ("--members", self.members.to_string()),
            ("--regions", self.regions.to_string()),
            ("--zones", self.zones.to_string()),
            ("--warm-up", self.warm_up.to_string()),
            ("--seconds", self.seconds.to_string()),
            ("--seed", self.seed.to_string()),
            ("--event", self.event.name().to_owned()),
            ("--workers", self.workers.to_string()),
            ("--requests", self.requests.to_string()),
            ("--replicas", self.replicas.to_string()),
            ("--publishes", self.publishes.to_string()),
            ("--cache-hosts", self.cache_hosts.to_string()),
            ("--calibration-packets", self.calibration_packets.to_string()),
            ("--calibration-length", self.calibration_length.to_string()),
            ("--out", self.out.display().to_string()),
        ];
        for (name, value) in values {
            arguments.extend([name.to_owned(), value]);
        }
        arguments.extend(self.virtual_time.then(|| "--virtual".to_owned()));
        arguments.extend(self.calibrate.then(|| "--calibrate".to_owned()));
        arguments.extend(self.flaw.iter().flat_map(|flaw| ["--flaw".to_owned(), flaw.name().to_owned()]));
        arguments
    }
}
