//! The configuration of a scale test: the mechanism, the size, the fault scenario and the seed.

use std::str::FromStr;

use super::calibration::CalibrationTraffic;

/// The control code that the members run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mechanism {
    /// Membership only.
    Membership,
    /// All coordination of a balancer: membership, rate limits, retry budget, failure detection.
    Cluster,
    /// Fleet-wide purges, with purge replicas in addition to the members.
    Purge,
    /// No control code, to measure the overhead of the testbed.
    Calibration,
}

/// The fault scenario that follows the measurement of the steady state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultScenario {
    /// No fault.
    None,
    /// One member crashes and restarts; later a cache server stops answering.
    MemberLost,
    /// As [`FaultScenario::MemberLost`], with a packet loss of 1% from the end of the warm-up on.
    Loss,
    /// All members of a zone crash at the same time and restart.
    ZoneLost,
    /// A network partition separates one region from the others, and heals.
    RegionCut,
    /// 40% of all members restart within a few seconds.
    RestartWave,
    /// Two purge replicas crash at the same time and restart.
    ControlLoss,
}

/// A defect that the testbed injects, to show that the checks detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedDefect {
    /// Each member also sends a packet to every other member once a second.
    BroadcastsToAll,
    /// One member loses one purge in a thousand.
    DropsPurges,
}

/// The given name is not one of the accepted names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownName {
    name: String,
    expected: Vec<&'static str>,
}

impl std::fmt::Display for UnknownName {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "unknown name {}: expected one of {}", self.name, self.expected.join(", "))
    }
}

impl std::error::Error for UnknownName {}

/// Maps the variants of a type to their names in command-line arguments and in results.
macro_rules! impl_names {
    ($type:ident, $($variant:ident => $name:literal),+ $(,)?) => {
        impl $type {
            /// The name in command-line arguments and in results.
            pub fn name(self) -> &'static str {
                match self {
                    $($type::$variant => $name),+
                }
            }
        }

        impl FromStr for $type {
            type Err = UnknownName;

            fn from_str(name: &str) -> Result<$type, UnknownName> {
                match name {
                    $($name => Ok($type::$variant),)+
                    _ => Err(UnknownName { name: name.to_owned(), expected: vec![$($name),+] }),
                }
            }
        }
    };
}

impl_names!(Mechanism, Membership => "membership", Cluster => "cluster", Purge => "purge", Calibration => "calibration");
impl_names!(
    FaultScenario,
    None => "none",
    MemberLost => "member-lost",
    Loss => "loss",
    ZoneLost => "zone-lost",
    RegionCut => "region-cut",
    RestartWave => "restart-wave",
    ControlLoss => "control-loss",
);
impl_names!(InjectedDefect, BroadcastsToAll => "talks-to-all", DropsPurges => "drops-changes");

/// The configuration of a scale test.
#[derive(Clone, Debug)]
pub struct ScaleConfig {
    /// The control code that the members run.
    pub mechanism: Mechanism,
    /// Number of members.
    pub members: usize,
    /// Number of regions that the zones are distributed over.
    pub regions: usize,
    /// Number of zones that the members are distributed over.
    pub zones: usize,
    /// Warm-up during which the fleet forms and results do not count, in seconds.
    pub warm_up_s: f64,
    /// Measured time after the warm-up, in seconds: one third in the steady state, then the fault scenario;
    /// all of it in the steady state without a fault.
    pub seconds: f64,
    /// The seed of all random choices.
    pub seed: u64,
    /// The fault scenario.
    pub fault_scenario: FaultScenario,
    /// Whether the run uses simulated time instead of sockets and real time.
    pub virtual_time: bool,
    /// Number of threads that drive the members in real time.
    pub workers: usize,
    /// Client requests per second at a member, on average.
    pub requests_per_s: f64,
    /// Number of purge replicas in addition to the members; only used by [`Mechanism::Purge`].
    pub replicas: usize,
    /// Purges published per second, by all purge replicas together.
    pub publishes_per_s: f64,
    /// Number of cache servers that the synthetic traffic is sent to.
    pub cache_hosts: usize,
    /// The traffic of a calibration run.
    pub calibration: CalibrationTraffic,
    /// The injected defect, if any.
    pub defect: Option<InjectedDefect>,
}

impl Default for ScaleConfig {
    fn default() -> ScaleConfig {
        ScaleConfig {
            mechanism: Mechanism::Cluster,
            members: 125,
            regions: 12,
            zones: 38,
            warm_up_s: 10.0,
            seconds: 30.0,
            seed: 1,
            fault_scenario: FaultScenario::None,
            virtual_time: false,
            workers: 4,
            requests_per_s: 20.0,
            replicas: 11,
            publishes_per_s: 11.0,
            cache_hosts: 230,
            calibration: CalibrationTraffic::default(),
            defect: None,
        }
    }
}

impl ScaleConfig {
    /// This configuration without purge replicas if the mechanism does not use them.
    pub fn without_unused_replicas(self) -> ScaleConfig {
        let replicas = if self.mechanism == Mechanism::Purge { self.replicas } else { 0 };
        ScaleConfig { replicas, ..self }
    }

    /// Number of members and purge replicas together.
    pub fn endpoint_count(&self) -> usize {
        self.members + self.replicas
    }

    /// Number of members of a purge run that are cache servers: the proportion of 230 cache servers to 1,770 balancers.
    pub fn purge_cache_server_count(&self) -> usize {
        self.members * 23 / 200
    }
}
