//! The balancers of one process, and the endpoint lists that their events refer to.

use std::io::Write;

use base64::Engine;
use juniperladder::{Action, Balancer, Endpoint, EndpointUpdate, Event, Micros};
use rustc_hash::FxHashMap;

use crate::error::AdapterError;
use crate::wire::{parse_request_id, write_action, Batch, IncomingEvent, IncomingUpdate};

/// Highest slot number. The simulator stores each endpoint list under a slot, by which later events refer to
/// the list.
const MAX_SLOT: usize = 15;

/// All balancers of this process, by their numbers, which events call `instance`. The balancers share only
/// the endpoint lists, which the simulator sends once for all of them.
#[derive(Default)]
pub struct Instances {
    balancers: FxHashMap<u32, Balancer>,
    /// The endpoint lists, by slot.
    endpoint_lists: Vec<Vec<Endpoint>>,
    /// Actions of the current event; reused between events to save allocations.
    actions: Vec<Action>,
    /// Reply to the current line; reused between lines to save allocations.
    reply: Vec<u8>,
}

impl Instances {
    /// Reads one line of events and writes one line of actions.
    ///
    /// # Errors
    /// The line is malformed or refers to an unknown balancer or slot, or the reply cannot be written.
    pub fn process_line(&mut self, line: &[u8], output: &mut impl Write) -> Result<(), AdapterError> {
        let batch: Batch = serde_json::from_slice(line).map_err(AdapterError::Batch)?;
        let now = Micros(batch.now);
        self.reply.clear();
        self.reply.extend_from_slice(b"{\"do\":[");
        for event in batch.events {
            self.handle(now, event)?;
        }
        self.reply.extend_from_slice(b"]}\n");
        output.write_all(&self.reply).map_err(AdapterError::Reply)
    }

    fn handle(&mut self, now: Micros, event: IncomingEvent) -> Result<(), AdapterError> {
        match event {
            IncomingEvent::Start { instance, seed, settings } => {
                self.balancers.insert(instance, Balancer::new(settings.to_balancer_settings(), seed));
                Ok(())
            }
            IncomingEvent::Stop { instance } => match self.balancers.remove(&instance) {
                Some(_) => Ok(()),
                None => Err(AdapterError::UnknownInstance { instance }),
            },
            IncomingEvent::EndpointList { slot, endpoints } => {
                self.store_endpoint_list(slot, endpoints.iter().map(Endpoint::from).collect())
            }
            IncomingEvent::EndpointsChanged { instance, slot, form } => {
                self.on_endpoints_changed(now, instance, slot, form)
            }
            IncomingEvent::Request(request) => {
                self.dispatch(now, request.instance, Event::Request(request.to_request()?))
            }
            IncomingEvent::ResponseStarted { instance, request_id: id } => {
                self.dispatch(now, instance, Event::ResponseStarted(parse_request_id(id)?))
            }
            IncomingEvent::AttemptCompleted(attempt) => {
                let event = Event::AttemptCompleted(attempt.to_completed_attempt()?);
                self.dispatch(now, attempt.instance, event)
            }
            IncomingEvent::Timer { instance, token } => self.dispatch(now, instance, Event::Timer(token)),
            IncomingEvent::ClientDisconnected { instance, request_id: id } => {
                self.dispatch(now, instance, Event::RequestAbandoned(parse_request_id(id)?))
            }
            IncomingEvent::Message { instance, base64_text } => self.check_message(instance, base64_text),
            IncomingEvent::LoadReport { instance } => self.check_running(instance),
        }
    }

    fn store_endpoint_list(&mut self, slot: usize, endpoints: Vec<Endpoint>) -> Result<(), AdapterError> {
        if slot > MAX_SLOT {
            return Err(AdapterError::SlotOutOfRange { slot, max: MAX_SLOT });
        }
        if self.endpoint_lists.len() <= slot {
            self.endpoint_lists.resize_with(slot + 1, Vec::new);
        }
        self.endpoint_lists[slot] = endpoints;
        Ok(())
    }

    fn on_endpoints_changed(
        &mut self,
        now: Micros,
        instance: u32,
        slot: usize,
        form: IncomingUpdate,
    ) -> Result<(), AdapterError> {
        if form == IncomingUpdate::Unavailable {
            let event = Event::EndpointsChanged(EndpointUpdate::Unavailable, &[]);
            return self.dispatch(now, instance, event);
        }
        let stored = self.endpoint_lists.get_mut(slot).ok_or(AdapterError::UnknownSlot { slot })?;
        // `dispatch` borrows `self` mutably, so the list is moved out of `self` while the balancer reads it.
        let endpoints = std::mem::take(stored);
        let result = self.dispatch(now, instance, Event::EndpointsChanged(form.into(), &endpoints));
        self.endpoint_lists[slot] = endpoints;
        result
    }

    /// Checks a message from another balancer. The balancers of this crate ignore messages, but a malformed
    /// message is an error.
    fn check_message(&self, instance: u32, base64_text: &str) -> Result<(), AdapterError> {
        base64::engine::general_purpose::STANDARD
            .decode(base64_text)
            .map_err(|source| AdapterError::Message { instance, source })?;
        self.check_running(instance)
    }

    /// Checks that the balancer runs. Nothing else is done for a load report, which the balancers of this
    /// crate do not use.
    fn check_running(&self, instance: u32) -> Result<(), AdapterError> {
        if self.balancers.contains_key(&instance) {
            Ok(())
        } else {
            Err(AdapterError::UnknownInstance { instance })
        }
    }

    /// Passes an event to one balancer and appends its actions to the reply.
    fn dispatch(&mut self, now: Micros, instance: u32, event: Event) -> Result<(), AdapterError> {
        let balancer = self.balancers.get_mut(&instance).ok_or(AdapterError::UnknownInstance { instance })?;
        balancer.handle(now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            if self.reply.last() != Some(&b'[') {
                self.reply.push(b',');
            }
            write_action(&mut self.reply, instance, &action).map_err(AdapterError::Action)?;
        }
        Ok(())
    }
}
