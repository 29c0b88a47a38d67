//! Endpoints that run fleet-wide purges: purge replicas, which also publish, and members, which are balancers or cache
//! servers.

use std::collections::VecDeque;
use std::net::SocketAddr;

use juniperladder_purge::{
    CatchUp, Member, MemberConfig, MemberId, MemberTiming, PurgeEvent, PurgeId, PurgeStatus, Replica,
    ReplicaConfig, ReplicaId, ReplicaSettings,
};

use juniperladder_purge::Micros as Time;

use super::endpoint::{Datagram, Endpoint, EndpointEvent};
use super::Micros;

/// The first bytes of each packet of the purge protocol.
pub const PURGE_PACKET_PREFIX: &[u8] = b"JPC";
/// Prefix of the keys of published purges, followed by the purge's number. It gives the keys a typical length.
const KEY_PREFIX: &str = "scale:object:";
/// [`super::InjectedDefect::DropsPurges`] drops the purges whose number modulo this divisor is [`DROP_REMAINDER`].
const DROP_DIVISOR: u32 = 1_000;
/// See [`DROP_DIVISOR`].
const DROP_REMAINDER: u32 = 500;

/// A purge replica that publishes purges on command.
pub struct PurgeReplicaEndpoint {
    replica: Replica,
    /// Number and id of each published purge that is not completed yet, in order of publication.
    uncompleted: VecDeque<(u32, PurgeId)>,
    events: Vec<EndpointEvent>,
}

impl PurgeReplicaEndpoint {
    /// Creates a replica that starts now. `bootstrap` is set for the first start of all replicas.
    pub fn new(
        replica: u8,
        replicas: Vec<SocketAddr>,
        bootstrap: bool,
        seed: u64,
        now: Micros,
    ) -> PurgeReplicaEndpoint {
        let config = ReplicaConfig {
            replica: ReplicaId(replica),
            incarnation: now,
            replicas,
            bootstrap,
            seed,
            settings: ReplicaSettings::default(),
        };
        PurgeReplicaEndpoint {
            replica: Replica::new(config, Time(now)),
            uncompleted: VecDeque::new(),
            events: Vec::new(),
        }
    }
}

impl Endpoint for PurgeReplicaEndpoint {
    fn on_datagram(&mut self, now: Micros, from: SocketAddr, bytes: &[u8]) {
        self.replica.on_datagram(Time(now), from, bytes);
    }

    fn on_tick(&mut self, now: Micros) {
        self.replica.on_tick(Time(now));
    }

    fn drain_datagrams(&mut self) -> Vec<Datagram> {
        self.replica.drain()
    }

    fn publish_purge(&mut self, now: Micros, number: u32) {
        let key = format!("{KEY_PREFIX}{number}");
        let event = match self.replica.publish(Time(now), key.as_bytes()) {
            Ok(id) => {
                self.uncompleted.push_back((number, id));
                EndpointEvent::PurgeAccepted(number)
            }
            Err(_) => EndpointEvent::PurgeRejected(number),
        };
        self.events.push(event);
    }

    fn drain_events(&mut self, _now: Micros) -> Vec<EndpointEvent> {
        let replica = &self.replica;
        while let Some((number, id)) = self.uncompleted.front() {
            if replica.status(*id) != PurgeStatus::Done {
                break;
            }
            self.events.push(EndpointEvent::PurgeCompleted(*number));
            self.uncompleted.pop_front();
        }
        std::mem::take(&mut self.events)
    }
}

/// The identity of a member.
#[derive(Clone, Debug)]
pub struct PurgeMemberIdentity {
    /// The member's number.
    pub member: u32,
    /// The addresses of the replicas.
    pub replicas: Vec<SocketAddr>,
    /// The replicas in order of preference, nearest first.
    pub preferred_replicas: Vec<u8>,
    /// Whether the member is a cache server, which replays missed purges; a balancer discards all its cached values instead.
    pub is_cache_server: bool,
    /// Whether the member has the defect [`super::InjectedDefect::DropsPurges`].
    pub drops_purges: bool,
    /// The seed of the member's random numbers.
    pub seed: u64,
}

/// A balancer or a cache server.
pub struct PurgeMemberEndpoint {
    member: Member,
    drops_purges: bool,
    /// Time of the last check, if the member was serving then.
    last_served: Option<Micros>,
}

impl PurgeMemberEndpoint {
    /// Creates a member that starts now, with an empty cache.
    pub fn new(identity: PurgeMemberIdentity, now: Micros) -> PurgeMemberEndpoint {
        let config = MemberConfig {
            member: MemberId(identity.member),
            incarnation: now,
            replicas: identity.replicas,
            preferred: identity.preferred_replicas.into_iter().map(ReplicaId).collect(),
            catch_up: if identity.is_cache_server { CatchUp::Replay } else { CatchUp::Void },
            seed: identity.seed,
            timing: MemberTiming::default(),
        };
        let member = Member::new(config, Time(now));
        PurgeMemberEndpoint { member, drops_purges: identity.drops_purges, last_served: None }
    }

    /// The number of the purge of this key; `None` if the key has another form or the injected defect drops the purge.
    fn purge_number(&self, key: &[u8]) -> Option<u32> {
        let number = std::str::from_utf8(key).ok()?.strip_prefix(KEY_PREFIX)?.parse().ok()?;
        let dropped = self.drops_purges && number % DROP_DIVISOR == DROP_REMAINDER;
        (!dropped).then_some(number)
    }
}

impl Endpoint for PurgeMemberEndpoint {
    fn on_datagram(&mut self, now: Micros, from: SocketAddr, bytes: &[u8]) {
        self.member.on_datagram(Time(now), from, bytes);
    }

    fn on_tick(&mut self, now: Micros) {
        self.member.on_tick(Time(now));
    }

    fn drain_datagrams(&mut self) -> Vec<Datagram> {
        self.member.drain()
    }

    fn drain_events(&mut self, now: Micros) -> Vec<EndpointEvent> {
        let mut events = Vec::new();
        for event in self.member.drain_events() {
            match event {
                PurgeEvent::Key(key) => {
                    events.extend(self.purge_number(&key).map(EndpointEvent::PurgeApplied))
                }
                PurgeEvent::DiscardAll => events.push(EndpointEvent::CacheCleared),
            }
        }
        let is_serving = self.member.may_serve(Time(now));
        match (self.last_served, is_serving) {
            (None, true) => events.push(EndpointEvent::ServingStarted),
            (Some(last), false) => events.push(EndpointEvent::ServingEnded(last)),
            _ => {}
        }
        self.last_served = is_serving.then_some(now);
        events
    }
}
