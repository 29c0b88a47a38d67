//! The wire: JSON lines to events, actions to JSON lines.

use std::io::Write;

use base64::Engine;
use juniperladder::*;
use juniperladder_settings::Env;
use rustc_hash::FxHashMap;
use serde::Deserialize;

#[derive(Deserialize)]
struct Batch<'a> {
    t: u64,
    #[serde(borrow, rename = "in")]
    events: Vec<Wire<'a>>,
}

#[derive(Deserialize)]
#[serde(tag = "event_type", rename_all = "kebab-case")]
enum Wire<'a> {
    Start {
        router: u32,
        seed: u64,
        env: Box<Env>,
    },
    Manifest {
        slot: usize,
        entries: Vec<Line>,
    },
    Endpoints {
        router: u32,
        #[serde(default)]
        slot: usize,
        form: Form,
    },
    #[serde(rename_all = "kebab-case")]
    Req {
        router: u32,
        op_id: &'a str,
        client_deadline: u64,
        estimate: Option<u64>,
        resource: Option<u64>,
        #[serde(default)]
        is_write: bool,
        #[serde(default)]
        lane: u32,
        #[serde(default)]
        user_group: u32,
        #[serde(default)]
        again_by_client: bool,
    },
    Message {
        router: u32,
        msg: &'a str,
    },
    #[serde(rename_all = "kebab-case")]
    Started {
        router: u32,
        op_id: &'a str,
    },
    #[serde(rename_all = "kebab-case")]
    Done {
        router: u32,
        op_id: &'a str,
        #[serde(default)]
        remark: u32,
        #[serde(default)]
        closed: bool,
        #[serde(default)]
        round_no: u32,
        server: u32,
        #[serde(default)]
        elapsed: u64,
        result: Code,
    },
    Sampled {
        router: u32,
    },
    Retire {
        router: u32,
    },
    Fired {
        router: u32,
        token: u64,
    },
    #[serde(rename_all = "kebab-case")]
    Aborted {
        router: u32,
        op_id: &'a str,
    },
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "lowercase")]
enum Form {
    Update,
    Replace,
    Restored,
    Unavailable,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
enum Code {
    Completed,
    Errored,
    Saturated,
    Overdue,
    RefusedConn,
    Severed,
    Recalled,
    Superseded,
    LookupMiss,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Line {
    server: u32,
    #[serde(default)]
    locality: u32,
    #[serde(default)]
    sku: u32,
    #[serde(default)]
    bay: u32,
    #[serde(default = "serving")]
    stage_state: Stage,
    #[serde(default = "one")]
    capacity_hint: f64,
    #[serde(default)]
    came_up: u64,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "UPPERCASE")]
enum Stage {
    Serving,
    Draining,
    Deleted,
}

fn serving() -> Stage {
    Stage::Serving
}

fn one() -> f64 {
    1.0
}

impl Line {
    fn entry(&self) -> Endpoint {
        Endpoint {
            server: ServerId(self.server.into()),
            zone: self.locality,
            kind: self.sku,
            cell: self.bay,
            state: match self.stage_state {
                Stage::Serving => EndpointState::Serving,
                Stage::Draining => EndpointState::Draining,
                Stage::Deleted => EndpointState::Deleted,
            },
            weight: self.capacity_hint,
            started: Micros(self.came_up),
        }
    }
}

fn id(text: &str) -> Result<RequestId, String> {
    let bytes = text.as_bytes().try_into();
    bytes.map(RequestId).map_err(|_| format!("op-id {text:?} is not 36 characters long"))
}

/// All instances of this process and the numbered lists in hand.
#[derive(Default)]
pub struct Host {
    balancers: FxHashMap<u32, Balancer>,
    lists: Vec<Vec<Endpoint>>,
    actions: Vec<Action>,
    reply: Vec<u8>,
}

impl Host {
    /// Answers one line with one line.
    pub fn answer(&mut self, line: &[u8], output: &mut impl Write) -> Result<(), String> {
        let batch: Batch = serde_json::from_slice(line).map_err(|e| format!("not a batch: {e}"))?;
        let now = Micros(batch.t);
        self.reply.clear();
        self.reply.extend_from_slice(b"{\"do\":[");
        for event in batch.events {
            self.take(now, event)?;
        }
        self.reply.extend_from_slice(b"]}\n");
        output.write_all(&self.reply).map_err(|e| format!("cannot write the reply: {e}"))
    }

    fn take(&mut self, now: Micros, event: Wire) -> Result<(), String> {
        match event {
            Wire::Start { router, seed, env } => {
                self.balancers.insert(router, Balancer::new(env.settings(), seed));
                Ok(())
            }
            Wire::Retire { router } => {
                let known = self.balancers.remove(&router);
                known.map(drop).ok_or_else(|| unknown(router))
            }
            Wire::Manifest { slot, entries } => {
                if slot > 15 {
                    return Err(format!("manifest slot {slot} is not within 0 to 15"));
                }
                if self.lists.len() <= slot {
                    self.lists.resize_with(slot + 1, Vec::new);
                }
                self.lists[slot] = entries.iter().map(Line::entry).collect();
                Ok(())
            }
            Wire::Endpoints { router, form: Form::Unavailable, .. } => {
                self.step(now, router, Event::EndpointsChanged(EndpointUpdate::Unavailable, &[]))
            }
            Wire::Endpoints { router, slot, form } => {
                let missing = || format!("endpoints name manifest slot {slot}, which was never given");
                let list = std::mem::take(self.lists.get_mut(slot).ok_or_else(missing)?);
                let kind = match form {
                    Form::Update => EndpointUpdate::Delta,
                    Form::Replace => EndpointUpdate::Snapshot,
                    _ => EndpointUpdate::Restored,
                };
                let result = self.step(now, router, Event::EndpointsChanged(kind, &list));
                self.lists[slot] = list;
                result
            }
            Wire::Req {
                router,
                op_id,
                client_deadline,
                estimate,
                resource,
                is_write,
                lane,
                user_group,
                again_by_client,
            } => {
                let request = Request {
                    id: id(op_id)?,
                    deadline: Micros(client_deadline),
                    expected_work: estimate.map(Micros),
                    key: resource.map(Key),
                    is_write,
                    class: lane,
                    tenant: user_group,
                    is_client_retry: again_by_client,
                };
                self.step(now, router, Event::Request(request))
            }
            Wire::Started { router, op_id } => self.step(now, router, Event::ResponseStarted(id(op_id)?)),
            Wire::Done { router, op_id, remark, closed, round_no, server, elapsed, result } => {
                let outcome = CompletedAttempt {
                    id: id(op_id)?,
                    server: ServerId(server.into()),
                    attempt: round_no,
                    latency: Micros(elapsed),
                    result: match result {
                        Code::Completed => AttemptResult::Served,
                        Code::Errored => AttemptResult::Error,
                        Code::Saturated => AttemptResult::Rejected,
                        Code::Overdue => AttemptResult::Timeout,
                        Code::RefusedConn => AttemptResult::ConnectFailed,
                        Code::Severed => AttemptResult::Reset,
                        Code::Recalled => AttemptResult::Cancelled,
                        Code::Superseded => AttemptResult::NotSent,
                        Code::LookupMiss => AttemptResult::Miss,
                    },
                    request_closed: closed,
                    fetch_in_progress: remark == 3,
                };
                self.step(now, router, Event::AttemptCompleted(outcome))
            }
            Wire::Fired { router, token } => self.step(now, router, Event::Timer(token)),
            Wire::Aborted { router, op_id } => self.step(now, router, Event::ClientDisconnected(id(op_id)?)),
            Wire::Message { router, msg } => {
                let decoded = base64::engine::general_purpose::STANDARD.decode(msg);
                decoded.map_err(|e| format!("message for router {router} is not base64: {e}"))?;
                self.known(router)
            }
            Wire::Sampled { router } => self.known(router),
        }
    }

    fn known(&self, router: u32) -> Result<(), String> {
        self.balancers.get(&router).map(|_| ()).ok_or_else(|| unknown(router))
    }

    fn step(&mut self, now: Micros, router: u32, event: Event) -> Result<(), String> {
        let balancer = self.balancers.get_mut(&router).ok_or_else(|| unknown(router))?;
        balancer.handle(now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            if self.reply.last() != Some(&b'[') {
                self.reply.push(b',');
            }
            write_action(&mut self.reply, router, &action);
        }
        Ok(())
    }
}

fn unknown(router: u32) -> String {
    format!("router {router} was never started")
}

fn write_action(out: &mut Vec<u8>, router: u32, action: &Action) {
    let text = |id: &RequestId| String::from_utf8_lossy(&id.0).into_owned();
    let value = match action {
        Action::Send { id, server, timeout } => serde_json::json!({
            "event_type": "submit-to", "router": router, "op-id": text(id),
            "server": server.0, "max-wait": timeout.0}),
        Action::Reject { id, retry_after, .. } => serde_json::json!({
            "event_type": "push-back", "router": router, "op-id": text(id), "backoff": retry_after.0}),
        Action::Fail { id } => serde_json::json!({
            "event_type": "finish-error", "router": router, "op-id": text(id)}),
        Action::Timer { at, token } => serde_json::json!({
            "event_type": "remind", "router": router, "moment": at.0, "token": token}),
        Action::WatchEndpoints => serde_json::json!({"event_type": "track", "router": router, "on": true}),
        Action::Log(line) => serde_json::json!({"event_type": "remark", "router": router, "line": line}),
    };
    out.extend_from_slice(value.to_string().as_bytes());
}
