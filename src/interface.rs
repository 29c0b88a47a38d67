//! The types that cross the border between a router and its [`Balancer`](crate::Balancer):
//! settings, events and actions. Nothing here decides anything.

/// A time or a duration in whole microseconds, on the clock of the caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Micros(pub u64);

impl Micros {
    /// Sum, stopping at the largest value.
    pub fn plus(self, other: Micros) -> Micros {
        Micros(self.0.saturating_add(other.0))
    }

    /// Difference, stopping at zero.
    pub fn minus(self, other: Micros) -> Micros {
        Micros(self.0.saturating_sub(other.0))
    }

    /// This duration times a factor; a factor below zero or NaN gives zero.
    pub fn times(self, factor: f64) -> Micros {
        Micros((self.0 as f64 * factor) as u64)
    }
}

/// A cache server or the origin, as the server list names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u64);

/// What a request is about; equal keys ask for the same object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u64);

/// A request's id: the 36 characters of a UUID, never interpreted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub [u8; 36]);

/// What repeating a request of a class may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Safe to repeat.
    Safe,
    /// Repeats are dropped within a group of servers for a while.
    Keyed,
    /// A repeat may take effect a second time.
    Unsafe,
}

/// The servers that drop repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// Every server.
    All,
    /// The servers in one zone.
    Zone,
    /// The servers in one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// An answer within this time earns the full worth.
    pub aim: Micros,
    /// Share of a request's own work that is added to its aim.
    pub aim_stretch: f64,
    /// The longest a client waits, over all its tries.
    pub deadline: Micros,
    /// Whether it may be repeated.
    pub effect: Effect,
    /// For keyed classes, who drops repeats.
    pub group: Group,
    /// For keyed classes, how long repeats are dropped.
    pub window: Micros,
    /// What an answer in time is worth.
    pub worth: f64,
    /// The part of the worth left after the aim.
    pub late_worth: f64,
}

impl Default for Class {
    /// Nothing is known of such requests: they are never repeated, and may take a second.
    fn default() -> Class {
        Class {
            aim: Micros(1_000_000),
            aim_stretch: 0.0,
            deadline: Micros(1_000_000),
            effect: Effect::Unsafe,
            group: Group::All,
            window: Micros(0),
            worth: 1.0,
            late_worth: 0.0,
        }
    }
}

/// A tenant of the service.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests per second within its share, over all routers.
    pub allowance_per_s: f64,
}

/// How misses are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Cache servers fetch for themselves.
    Through,
    /// The balancer sends misses and writes on to the origin, the list entry of this kind.
    Aside(u32),
}

impl Mode {
    /// The kind of list entry that is the origin; none where cache servers fetch for themselves.
    pub fn origin(self) -> Option<u32> {
        match self {
            Mode::Aside(kind) => Some(kind),
            Mode::Through => None,
        }
    }
}

/// What a site permits.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Attempts a request may have in all.
    pub max_attempts: u32,
    /// The longest retry-after a client follows.
    pub max_retry_after: Micros,
    /// Whether a retry-after reaches clients.
    pub retry_after: bool,
    /// Whether two attempts of one request may be out together.
    pub may_duplicate: bool,
}

/// The figures of the rules a router has to keep.
#[derive(Clone, Debug)]
pub struct Rules {
    /// A server that was not asked about for this long counts as known (subscribing sites).
    pub ask_within: Micros,
    /// The part of its capacity a server starts with.
    pub cold_share: f64,
    /// When a started server is warm at the latest.
    pub warm_up: Micros,
}

/// What a balancer is told once, at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How many balancers there are.
    pub balancers: u32,
    /// This balancer's zone.
    pub zone: u32,
    /// The classes, in the order in which requests name them.
    pub classes: Vec<Class>,
    /// The tenants, in the order in which requests name them.
    pub tenants: Vec<Tenant>,
    /// How misses are served.
    pub mode: Mode,
    /// Whether list changes must be asked for.
    pub subscribe: bool,
    /// Whether list weights compare servers' sizes steadily.
    pub weighted: bool,
    /// The shortest time between two batches of events.
    pub tick: Micros,
    /// What the site permits.
    pub limits: Limits,
    /// The figures of the rules.
    pub rules: Rules,
}

impl Settings {
    /// The class of this index; one that the settings lack names the last class. There is at least one: see
    /// [`Settings::sound`].
    pub fn class(&self, index: u32) -> &Class {
        &self.classes[(index as usize).min(self.classes.len() - 1)]
    }

    /// Whether this is the origin.
    pub fn is_origin(&self, entry: &Entry) -> bool {
        self.mode == Mode::Aside(entry.kind)
    }

    /// These settings with what makes no sense replaced by what does least harm: at least one class and one
    /// balancer, and shares that are numbers.
    pub fn sound(mut self) -> Settings {
        if self.classes.is_empty() {
            self.classes.push(Class::default());
        }
        self.balancers = self.balancers.max(1);
        if !self.rules.cold_share.is_finite() {
            self.rules.cold_share = 0.0;
        }
        self
    }
}

/// A server's state in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Takes work.
    Serving,
    /// Finishes what it has; send nothing new.
    Draining,
    /// No longer there.
    Deleted,
}

/// One line of the server list.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The server.
    pub server: ServerId,
    /// Its zone.
    pub zone: u32,
    /// Its kind of machine.
    pub kind: u32,
    /// Its cell.
    pub cell: u32,
    /// Its state.
    pub state: State,
    /// Its relative size.
    pub weight: f64,
    /// When it last started; zero is long ago.
    pub started: Micros,
}

/// How a list relates to the one in hand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed lines only.
    Update,
    /// The complete list.
    Replace,
    /// The complete list as last held, possibly stale.
    Restored,
    /// Lines that an operator changed by hand. They tell nothing of discovery: neither that it is heard nor
    /// that a watch on it is open.
    ByHand,
    /// A call failed or the subscription broke; keep the old list.
    Unavailable,
}

impl ListKind {
    /// Whether it names every server, so that those it does not name are gone.
    pub fn whole(self) -> bool {
        matches!(self, ListKind::Replace | ListKind::Restored)
    }
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id, unique for ever.
    pub id: RequestId,
    /// When its client gives up.
    pub deadline: Micros,
    /// Expected work, where known.
    pub hint: Option<Micros>,
    /// What it is about.
    pub key: Option<Key>,
    /// Whether it writes.
    pub write: bool,
    /// Its class.
    pub class: u32,
    /// Its tenant.
    pub tenant: u32,
    /// Whether the client marked it as a retry of its own.
    pub retry: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Served.
    Ok,
    /// The server failed it; it may have run.
    Error,
    /// Turned away unseen.
    Full,
    /// No answer in time; it may have run or still run.
    Timeout,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Not sent at all.
    Moot,
    /// The server lacks the key; it never ran.
    Miss,
}

/// The end of one attempt.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The request.
    pub id: RequestId,
    /// The server the attempt went to.
    pub server: ServerId,
    /// The attempt's number, from zero.
    pub attempt: u32,
    /// Time since the send.
    pub latency: Micros,
    /// How it ended.
    pub status: Status,
    /// Whether the request is over.
    pub closed: bool,
    /// On a miss: whether the server has told another request to fetch the key.
    pub fetching: bool,
}

/// What all balancers together may have a limit on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Common {
    /// Sends to the origin.
    Origin,
    /// Sends to a host that warms up: which, and since when.
    Cold(ServerId, Micros),
    /// Second tries of commands, second copies included, as a budget over first tries.
    Second,
}

/// What a balancer may use of what it shares with the others, and what they tell it. Whoever keeps it knows where it comes
/// from; without one nothing but the balancer's own bounds and evidence hold.
pub trait Fleet: std::fmt::Debug {
    /// How long one more has to wait; zero, it may begin now; none, there is no limit in common on this.
    fn wait(&mut self, of: Common, now: Micros) -> Option<Micros>;
    /// One begins. [`Fleet::wait`] was zero or none at the same time.
    fn took(&mut self, of: Common, now: Micros);
    /// One that needed it was given up.
    fn denied(&mut self, of: Common, now: Micros);
    /// A first try has come in.
    fn first(&mut self, now: Micros);
    /// The cache hosts that serve, each with its start and zone, by the list in hand.
    fn listed(&mut self, hosts: &[(ServerId, Micros, u32)]);
    /// What an own send to the host with this start told: that it is silent, or that it answers.
    fn saw(&mut self, host: ServerId, started: Micros, silent: bool, now: Micros);
    /// Whether to pass by the host with this start on the others' word. `heard` is when it last answered here, `per_s` how
    /// many sends of this balancer a host gets.
    fn warned(&mut self, host: ServerId, started: Micros, heard: Micros, per_s: f64, now: Micros) -> bool;
}

/// What a router tells its balancer.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// News of the server list.
    Endpoints(ListKind, &'a [Entry]),
    /// A request has come in.
    Request(Request),
    /// A streamed answer has begun; the request now belongs to the client.
    Started(RequestId),
    /// An attempt has ended.
    Outcome(Outcome),
    /// A timer is due.
    Timer(u64),
    /// The client has left; nothing is owed any more.
    Gone(RequestId),
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// An answer would be worth nothing any more.
    Late,
    /// It has had all its attempts.
    Spent,
    /// No server is left that it may be sent to.
    Nowhere,
    /// Too little time is left for the origin's usual pace.
    DeadlineUnreachable,
    /// It has waited for a place at the origin for as long as it may.
    QueueTimeout,
    /// Too many that are worth more wait for a place at the origin.
    Preempted,
    /// All its servers are gapped.
    Gapped,
}

/// What a balancer asks of its router.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        server: ServerId,
        /// The attempt's time-out; zero is until the client gives up.
        timeout: Micros,
    },
    /// Final answer: no, and trying again is harmless.
    Refuse {
        /// The request.
        id: RequestId,
        /// Advice to the client; zero is none.
        retry_after: Micros,
        /// For whoever counts; nothing else hangs on it.
        reason: RejectReason,
    },
    /// Final answer: failed, promising nothing.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Give an [`Event::Timer`] with this token at this time.
    Timer {
        /// When.
        at: Micros,
        /// Returned with the event.
        token: u64,
    },
    /// Subscribe to list changes.
    Watch,
    /// A line for the report.
    Log(String),
}
