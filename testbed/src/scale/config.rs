//! What a scale test is told: the mechanism, the size, the event and the seed.

use std::str::FromStr;

use super::calibration::CalibrationTraffic;

/// What the members run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mechanism {
    /// The membership alone.
    Membership,
    /// All of today's coordination: membership, limits, retries, reports on servers.
    Cluster,
    /// Fleet-wide purges, with control machines beside the members.
    Purge,
    /// Nothing: the test bed's own share.
    Calibration,
}

/// What happens to the fleet once it is measured in its ordinary state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// Nothing.
    None,
    /// One member dies and starts again; then a cache server falls silent.
    MemberLost,
    /// The same, with 1% of all packets lost.
    Loss,
    /// All members of a zone die at once, and start again.
    ZoneLost,
    /// A region is cut off from the others, and joined again.
    RegionCut,
    /// 40% of all members restart within a few seconds.
    RestartWave,
    /// Two control machines are killed at once.
    ControlLoss,
}

/// A mechanism broken on purpose by the test bed, to show that the checks find it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    /// Each member also sends to all others once a second.
    TalksToAll,
    /// One member loses one change in a thousand.
    DropsChanges,
}

/// A name that is none of those that may be given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownName {
    given: String,
    names: Vec<&'static str>,
}

impl std::fmt::Display for UnknownName {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} is none of {}", self.given, self.names.join(", "))
    }
}

impl std::error::Error for UnknownName {}

/// Gives a type its names, for the request line and for tables.
macro_rules! named {
    ($type:ident, $($variant:ident => $name:literal),+ $(,)?) => {
        impl $type {
            /// The name on the request line and in tables.
            pub fn name(self) -> &'static str {
                match self {
                    $($type::$variant => $name),+
                }
            }
        }

        impl FromStr for $type {
            type Err = UnknownName;

            fn from_str(given: &str) -> Result<$type, UnknownName> {
                match given {
                    $($name => Ok($type::$variant),)+
                    _ => Err(UnknownName { given: given.to_owned(), names: vec![$($name),+] }),
                }
            }
        }
    };
}

named!(Mechanism, Membership => "membership", Cluster => "cluster", Purge => "purge", Calibration => "calibration");
named!(
    Event,
    None => "none",
    MemberLost => "member-lost",
    Loss => "loss",
    ZoneLost => "zone-lost",
    RegionCut => "region-cut",
    RestartWave => "restart-wave",
    ControlLoss => "control-loss",
);
named!(Flaw, TalksToAll => "talks-to-all", DropsChanges => "drops-changes");

/// What a scale test is told.
#[derive(Clone, Debug)]
pub struct ScaleConfig {
    /// What the members run.
    pub mechanism: Mechanism,
    /// How many members there are.
    pub members: usize,
    /// In how many regions.
    pub regions: usize,
    /// In how many zones.
    pub zones: usize,
    /// How long the fleet forms before anything is counted, in seconds.
    pub warm_up_s: f64,
    /// How long it is observed after that, in seconds: a third in its ordinary state, then the event.
    pub seconds: f64,
    /// The seed of everything that is drawn.
    pub seed: u64,
    /// What happens.
    pub event: Event,
    /// Whether time is simulated.
    pub virtual_time: bool,
    /// Threads that the members are dealt to in real time.
    pub workers: usize,
    /// Client requests a second at a member.
    pub requests_per_s: f64,
    /// Control machines, beside the members; only purges have any.
    pub replicas: usize,
    /// Purges published a second, by all control machines together.
    pub publishes_per_s: f64,
    /// Cache servers that the drawn traffic goes to.
    pub cache_hosts: usize,
    /// The traffic of a calibration run.
    pub calibration: CalibrationTraffic,
    /// A mechanism broken on purpose.
    pub flaw: Option<Flaw>,
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
            event: Event::None,
            virtual_time: false,
            workers: 4,
            requests_per_s: 20.0,
            replicas: 11,
            publishes_per_s: 11.0,
            cache_hosts: 230,
            calibration: CalibrationTraffic::default(),
            flaw: None,
        }
    }
}

impl ScaleConfig {
    /// The same without what the mechanism does not have.
    pub fn normalised(self) -> ScaleConfig {
        let replicas = if self.mechanism == Mechanism::Purge { self.replicas } else { 0 };
        ScaleConfig { replicas, ..self }
    }

    /// Members and control machines.
    pub fn endpoints(&self) -> usize {
        self.members + self.replicas
    }

    /// Members that are cache servers in a run of purges: as many in proportion as 230 beside 1,770 balancers.
    pub fn purged_cache_hosts(&self) -> usize {
        self.members * 23 / 200
    }
}
