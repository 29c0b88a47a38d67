//! The arguments of `scale`.

use std::path::PathBuf;

use juniperladder_testbed::scale::{CalibrationTraffic, Event, Flaw, Mechanism, ScaleConfig};

/// How a scale test is run.
#[derive(Clone, Debug, clap::Args)]
pub struct ScaleArgs {
    /// What the members run: membership, cluster, purge, calibration
    #[arg(long, default_value = "cluster")]
    pub mechanism: Mechanism,
    /// How many members
    #[arg(long, default_value_t = 125)]
    pub members: usize,
    /// Several sizes in turn, each in a process of its own, with a fit of each cost; in place of --members
    #[arg(long, value_delimiter = ',', value_name = "N,N,...")]
    pub sizes: Vec<usize>,
    /// With --sizes: takes a size that OUT already holds as it is, so that each can be run by itself
    #[arg(long)]
    pub resume: bool,
    /// How many regions
    #[arg(long, default_value_t = 12)]
    pub regions: usize,
    /// How many zones
    #[arg(long, default_value_t = 38)]
    pub zones: usize,
    /// Seconds that the fleet forms before anything is counted
    #[arg(long, default_value_t = 10.0)]
    pub warm_up: f64,
    /// Seconds that it is observed: a third in its ordinary state, then the event
    #[arg(long, default_value_t = 30.0)]
    pub seconds: f64,
    /// The seed
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// What happens: none, member-lost, loss, zone-lost, region-cut, restart-wave, control-loss
    #[arg(long, default_value = "none")]
    pub event: Event,
    /// Simulates time, for sizes that this machine cannot run in real time
    #[arg(long = "virtual")]
    pub virtual_time: bool,
    /// Threads that the members are dealt to in real time
    #[arg(long, default_value_t = 4)]
    pub workers: usize,
    /// Client requests a second at a member
    #[arg(long, default_value_t = 20.0)]
    pub requests: f64,
    /// Control machines of a run of purges, beside the members
    #[arg(long, default_value_t = 11)]
    pub replicas: usize,
    /// Purges published a second, by all control machines together
    #[arg(long, default_value_t = 11.0)]
    pub publishes: f64,
    /// Cache servers
    #[arg(long, default_value_t = 230)]
    pub cache_hosts: usize,
    /// Breaks the mechanism on purpose: talks-to-all, drops-changes
    #[arg(long)]
    pub flaw: Option<Flaw>,
    /// Runs endpoints without control code after it, with as many packets, for the test bed's own share
    #[arg(long)]
    pub calibrate: bool,
    /// Packets a second of a calibration run
    #[arg(long, hide = true, default_value_t = 5.0)]
    pub calibration_packets: f64,
    /// Bytes of a packet of a calibration run
    #[arg(long, hide = true, default_value_t = 100)]
    pub calibration_length: usize,
    /// The folder for what the run leaves
    #[arg(long)]
    pub out: PathBuf,
}

impl ScaleArgs {
    /// The test of one size.
    pub fn config(&self) -> ScaleConfig {
        ScaleConfig {
            mechanism: self.mechanism,
            members: self.members,
            regions: self.regions,
            zones: self.zones,
            warm_up_s: self.warm_up,
            seconds: self.seconds,
            seed: self.seed,
            event: self.event,
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
            flaw: self.flaw,
        }
    }

    /// The arguments that run the same in another process.
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
