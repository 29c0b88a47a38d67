//! Random schedules drawn from a seed: size of the control plane, quality of its network, and faults with their times.

use juniperladder_purge::CatchUp;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::network::{Cut, LinkQuality};

pub const MILLISECOND: u64 = 1_000;
pub const SECOND: u64 = 1_000_000;
/// Seconds until all members of an ordinary schedule serve.
const SETTLE_SECONDS: u64 = 5;

/// A fault, its end, or another scheduled action.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    KillReplica(usize),
    StartReplica(usize),
    KillMember(usize),
    LeaveMember(usize),
    StartMember(usize),
    FreezeNode(usize),
    ResumeNode(usize),
    BeginCut(Cut),
    EndCut(Cut),
    /// Publishes purges at once at one replica: the replica, and the number of purges.
    Publish(usize, usize),
}

/// The kind of faults that a schedule concentrates on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Profile {
    /// All kinds of faults, at low rates.
    Mixed,
    /// Replicas restart in quick succession, during long rounds.
    ReplicaRestarts,
    /// Members lose their assigned replicas through partitions and crashes.
    AssignedReplicaChanges,
    /// Members are cut off while a short log is trimmed.
    Trimming,
    /// Members restart and freeze.
    MemberRestarts,
    /// Few replicas, high loss, partitions and restarts, so that rarely more than a bare majority holds an entry.
    BareMajorities,
}

const PROFILES: [Profile; 6] = [
    Profile::Mixed,
    Profile::ReplicaRestarts,
    Profile::AssignedReplicaChanges,
    Profile::Trimming,
    Profile::MemberRestarts,
    Profile::BareMajorities,
];

/// A control plane and the faults that it undergoes. Times are in microseconds.
#[derive(Clone, Debug)]
pub struct Schedule {
    pub seed: u64,
    pub profile: Profile,
    pub replicas: usize,
    /// How each member catches up.
    pub members: Vec<CatchUp>,
    /// Bit set of the members that run from the beginning; the others start and register for the first time later.
    pub early_members: u64,
    /// The region of each node, replicas first.
    pub regions: Vec<usize>,
    pub quality: LinkQuality,
    /// Maximum deviation of a clock's rate, in parts per million.
    pub drift_ppm: i64,
    pub lease: u64,
    pub round_interval: u64,
    pub log_entries: usize,
    pub void_threshold_entries: usize,
    pub tick: u64,
    /// Incarnation before the first start. As large as a time of day where message sizes must be realistic.
    pub initial_incarnation: u64,
    /// Minimum and maximum length of keys; none for keys of widely varying length.
    pub key_bytes: Option<(usize, usize)>,
    /// Faults with their times.
    pub faults: Vec<(u64, FaultKind)>,
    /// Time at which all faults end.
    pub faults_end_at: u64,
}

impl Schedule {
    pub fn draw(seed: u64) -> Schedule {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let profile = PROFILES[seed as usize % PROFILES.len()];
        let replicas = match profile {
            Profile::BareMajorities => [3, 3, 5][rng.random_range(0..3)],
            Profile::ReplicaRestarts => [3, 5, 5, 7][rng.random_range(0..4)],
            _ => rng.random_range(3..=7),
        };
        let members = (0..rng.random_range(4..=12))
            .map(|_| if rng.random_bool(0.5) { CatchUp::Void } else { CatchUp::Replay })
            .collect::<Vec<_>>();
        let has_short_log = profile == Profile::Trimming || rng.random_bool(0.3);
        let regions = draw_regions(&mut rng, replicas, members.len());
        let has_long_rounds = profile == Profile::ReplicaRestarts && rng.random_bool(0.7);
        let mut schedule = Schedule {
            seed,
            profile,
            replicas,
            regions,
            quality: draw_quality(&mut rng, profile),
            early_members: rng.random::<u64>() | rng.random::<u64>(),
            drift_ppm: 490,
            lease: rng.random_range(1_500..=2_000) * MILLISECOND,
            round_interval: if has_long_rounds { rng.random_range(400..=1_500) } else { 250 } * MILLISECOND,
            log_entries: if has_short_log { rng.random_range(4..=40) } else { 65_536 },
            void_threshold_entries: rng.random_range(2..=64),
            tick: rng.random_range(20..=50) * MILLISECOND,
            initial_incarnation: 0,
            key_bytes: None,
            faults: Vec::new(),
            faults_end_at: rng.random_range(8..=16) * SECOND,
            members,
        };
        schedule.draw_faults(&mut rng);
        schedule
    }

    /// A schedule without faults other than packet loss, with `rate` purges per second in all once members serve.
    pub fn ordinary(
        seed: u64,
        replicas: usize,
        members: usize,
        loss: f64,
        rate: u64,
        seconds: u64,
    ) -> Schedule {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut faults = Vec::new();
        for _ in 0..rate * (seconds - SETTLE_SECONDS) {
            let publish = FaultKind::Publish(rng.random_range(0..replicas), 1);
            faults.push((rng.random_range(SETTLE_SECONDS * SECOND..seconds * SECOND), publish));
        }
        Schedule {
            seed,
            profile: Profile::Mixed,
            replicas,
            members: vec![CatchUp::Void; members],
            early_members: u64::MAX,
            regions: draw_regions(&mut rng, replicas, members),
            quality: LinkQuality { loss, ..LinkQuality::ORDINARY },
            drift_ppm: 100,
            lease: 2 * SECOND,
            round_interval: 250 * MILLISECOND,
            log_entries: 65_536,
            void_threshold_entries: 64,
            tick: 50 * MILLISECOND,
            initial_incarnation: 1_764_000_000_000_000,
            key_bytes: Some((40, 64)),
            faults,
            faults_end_at: seconds * SECOND,
        }
    }

    /// Whether a member runs from the beginning.
    pub fn is_early(&self, member: usize) -> bool {
        self.early_members.rotate_right(member as u32) & 1 == 1
    }

    fn draw_faults(&mut self, rng: &mut ChaCha8Rng) {
        let seconds = self.faults_end_at as f64 / 1e6;
        let (replica_kills, member_kills, freezes, cuts) = match self.profile {
            Profile::Mixed => (0.2, 0.3, 0.3, 0.3),
            Profile::ReplicaRestarts => (2.0, 0.2, 0.0, 0.1),
            Profile::AssignedReplicaChanges => (0.4, 0.1, 0.2, 0.8),
            Profile::Trimming => (0.1, 0.2, 0.3, 0.7),
            Profile::MemberRestarts => (0.1, 1.0, 0.8, 0.1),
            Profile::BareMajorities => (0.8, 0.8, 0.1, 1.0),
        };
        let mut draw_count = |rate: f64| (rate * seconds * 2.0 * rng.random::<f64>()) as usize;
        let (replica_kills, member_kills) = (draw_count(replica_kills), draw_count(member_kills));
        let (freezes, cuts) = (draw_count(freezes), draw_count(cuts));
        for _ in 0..replica_kills {
            let replica = rng.random_range(0..self.replicas);
            let max_millis = if rng.random_bool(0.6) { 300 } else { 4_000 };
            let kinds = (FaultKind::KillReplica(replica), FaultKind::StartReplica(replica));
            self.add_fault(rng, kinds, max_millis);
        }
        for _ in 0..member_kills {
            let member = rng.random_range(0..self.members.len());
            let end = match rng.random_bool(0.3) {
                true => FaultKind::LeaveMember(member),
                false => FaultKind::KillMember(member),
            };
            self.add_fault(rng, (end, FaultKind::StartMember(member)), 3_000);
        }
        for _ in 0..freezes {
            let node = rng.random_range(0..self.replicas + self.members.len());
            self.add_fault(rng, (FaultKind::FreezeNode(node), FaultKind::ResumeNode(node)), 5_000);
        }
        for _ in 0..cuts {
            let cut = self.draw_cut(rng);
            self.add_fault(rng, (FaultKind::BeginCut(cut), FaultKind::EndCut(cut)), 8_000);
        }
        for member in (0..self.members.len()).filter(|member| !self.is_early(*member)).collect::<Vec<_>>() {
            self.faults.push((rng.random_range(0..self.faults_end_at), FaultKind::StartMember(member)));
        }
        self.draw_publications(rng);
        self.faults.sort();
    }

    /// Draws a partition that cuts off a region, a random set of nodes, or one replica from the other replicas only.
    fn draw_cut(&self, rng: &mut ChaCha8Rng) -> Cut {
        let nodes = self.replicas + self.members.len();
        let region = self.regions[rng.random_range(0..self.replicas)];
        let in_region = (0..nodes).filter(|node| self.regions[*node] == region);
        let region_side = in_region.fold(0, |side, node| side | 1 << node);
        let (outward, inward) =
            [(true, true), (true, true), (true, false), (false, true)][rng.random_range(0..4)];
        match rng.random_range(0..3) {
            0 => Cut { side: region_side, outward, inward, replicas_only: false },
            1 => Cut { side: rng.random_range(1..1 << nodes), outward, inward, replicas_only: false },
            _ => {
                let side = 1 << rng.random_range(0..self.replicas);
                Cut { side, outward, inward, replicas_only: true }
            }
        }
    }

    fn draw_publications(&mut self, rng: &mut ChaCha8Rng) {
        let rate = rng.random_range(2..=15);
        for _ in 0..rate * self.faults_end_at / SECOND {
            let publish = FaultKind::Publish(rng.random_range(0..self.replicas), 1);
            self.faults.push((rng.random_range(0..self.faults_end_at), publish));
        }
        for _ in 0..rng.random_range(0..3) {
            let flood = FaultKind::Publish(rng.random_range(0..self.replicas), rng.random_range(20..=300));
            self.faults.push((rng.random_range(0..self.faults_end_at), flood));
        }
    }

    /// Adds a fault at a random time and its end at most `max_millis` milliseconds later.
    fn add_fault(&mut self, rng: &mut ChaCha8Rng, kinds: (FaultKind, FaultKind), max_millis: u64) {
        let begin = rng.random_range(0..self.faults_end_at);
        let end = begin + rng.random_range(5..=max_millis) * MILLISECOND;
        self.faults.push((begin, kinds.0));
        if end < self.faults_end_at {
            self.faults.push((end, kinds.1));
        }
    }
}

/// Assigns replicas to regions in turn, so that each region has one, and members at random.
fn draw_regions(rng: &mut ChaCha8Rng, replicas: usize, members: usize) -> Vec<usize> {
    let regions = rng.random_range(2..=replicas);
    let of_replicas = (0..replicas).map(|replica| replica % regions);
    let of_members = (0..members).map(|_| rng.random_range(0..regions)).collect::<Vec<_>>();
    of_replicas.chain(of_members).collect()
}

fn draw_quality(rng: &mut ChaCha8Rng, profile: Profile) -> LinkQuality {
    let is_bad = rng.random_bool(if profile == Profile::BareMajorities { 0.7 } else { 0.3 });
    LinkQuality {
        loss: if is_bad { rng.random_range(0.1..0.5) } else { rng.random_range(0.0..0.1) },
        duplication: rng.random_range(0.0..0.2),
        delay: (500, [5, 30, 150, 400][rng.random_range(0..4)] * MILLISECOND),
        extra_delay_share: if rng.random_bool(0.5) { rng.random_range(0.0..0.1) } else { 0.0 },
        max_extra_delay: rng.random_range(100..=6_000) * MILLISECOND,
    }
}
