//! `scale`: runs many members' control code in one process, one size or several in turn, and writes what it found.

use std::path::{Path, PathBuf};
use std::process::Command;

use juniperladder_testbed::scale::results::LATE_MS;
use juniperladder_testbed::scale::{
    self, CalibrationTraffic, Event, Flaw, Mechanism, Outcome, ScaleConfig, Summary,
};
use juniperladder_testbed::TestbedError;

use crate::exit::{BROKEN, KEPT, LATE, NOT_ALLOWED};
use crate::scale_table;
use crate::sizes;

/// How long a calibration run lasts at the most, in seconds, and how long it forms.
const CALIBRATION_SECONDS: f64 = 10.0;
const CALIBRATION_WARM_UP_S: f64 = 2.0;

/// How a scale test is run.
#[derive(Clone, Debug, clap::Args)]
pub struct Scale {
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

impl Scale {
    fn config(&self) -> ScaleConfig {
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

    /// The arguments that play the same in another process.
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

/// Runs a scale test, of one size or of several.
pub fn scale(args: &Scale) -> u8 {
    if !args.sizes.is_empty() {
        return sizes::sizes(args);
    }
    let outcome = match scale::play(args.config()) {
        Ok(outcome) => outcome,
        Err(problem) => {
            eprintln!("{problem}");
            return if matches!(problem, TestbedError::NotAllowed(_)) { NOT_ALLOWED } else { BROKEN };
        }
    };
    if let Err(error) = write(&args.out, &outcome) {
        eprintln!("{}: {error}", args.out.display());
        return NOT_ALLOWED;
    }
    scale_table::print(&outcome.summary);
    if args.calibrate && !args.virtual_time {
        calibrate(args, &outcome.summary);
    }
    verdict(&outcome.summary)
}

/// Says whether a run counts, the exit code with it.
pub fn verdict(summary: &Summary) -> u8 {
    if let Some(purge) = summary.purge.filter(|purge| purge.done_missing > 0) {
        println!("BROKEN: {} times a member served without a purge that was called done", purge.done_missing);
        return BROKEN;
    }
    if summary.counts() {
        return KEPT;
    }
    println!(
        "LATE: the test bed's timers were {:.1} ms behind at the 99th percentile, over {LATE_MS}: the run does not count",
        summary.lag_p99_ms
    );
    LATE
}

/// Runs endpoints without control code in a process of their own, with the traffic of the run before.
fn calibrate(args: &Scale, summary: &Summary) {
    let sent = summary.ordinary.sent;
    let calibration = Scale {
        mechanism: Mechanism::Calibration,
        event: Event::None,
        flaw: None,
        calibrate: false,
        warm_up: CALIBRATION_WARM_UP_S,
        seconds: args.seconds.min(CALIBRATION_SECONDS),
        calibration_packets: sent.packets_per_s,
        calibration_length: (sent.bytes_per_s / sent.packets_per_s.max(1e-9)) as usize,
        out: args.out.join("calibration"),
        ..args.clone()
    };
    println!("the same traffic without control code:");
    if run_in_process(&calibration).is_none() {
        println!("the calibration run failed");
    }
}

/// The summary that a folder holds, if it is of this size and seed.
pub fn summary_in(args: &Scale) -> Option<Summary> {
    let text = std::fs::read_to_string(args.out.join("summary.json")).ok()?;
    let summary: Summary = serde_json::from_str(&text).ok()?;
    let same = summary.members == args.members
        && summary.seed == args.seed
        && summary.mechanism == args.mechanism.name()
        && summary.event == args.event.name()
        && summary.virtual_time == args.virtual_time;
    same.then_some(summary)
}

/// Runs a scale test in a process of its own, so that its memory is its own; its summary where it has one, and the exit code.
pub fn run_in_process(args: &Scale) -> Option<(Summary, u8)> {
    let program = std::env::current_exe().ok()?;
    let status = Command::new(program).args(args.arguments()).status().ok()?;
    let code = u8::try_from(status.code()?).ok()?;
    if code == NOT_ALLOWED {
        return None;
    }
    let text = std::fs::read_to_string(args.out.join("summary.json")).ok()?;
    Some((serde_json::from_str(&text).ok()?, code))
}

fn write(out: &Path, outcome: &Outcome) -> std::io::Result<()> {
    std::fs::create_dir_all(out)?;
    let text = serde_json::to_string_pretty(&outcome.summary)?;
    std::fs::write(out.join("summary.json"), text + "\n")?;
    let mut members = csv::Writer::from_path(out.join("members.csv"))?;
    for row in &outcome.members {
        members.serialize(row)?;
    }
    members.flush()
}
