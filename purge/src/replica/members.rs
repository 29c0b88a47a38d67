//! How a replica serves members: registers and confirms them, grants leases and sends entries.

use std::net::SocketAddr;

use super::Replica;
use crate::config::CatchUp;
use crate::ids::{Epoch, MemberId, ReplicaId};
use crate::injected_defect::InjectedDefect;
use crate::limits::MAX_ENTRIES_BYTES;
use crate::log::ReaderLag;
use crate::registration::{RegistrationState, StoreOutcome};
use crate::version_vector::VersionVector;
use crate::wire::{MemberMessage, Message, ReplicaMessage};
use crate::Micros;

impl Replica {
    /// Handles a member's message. A recovering replica answers none.
    pub(super) fn on_member_message(&mut self, now: Micros, from: SocketAddr, message: MemberMessage) {
        if self.recovery.is_some() {
            return;
        }
        let answer = match message {
            MemberMessage::Pull { member, epoch, number, catch_up, applied } => {
                Some(self.on_pull(now, member, epoch, number, catch_up, &applied))
            }
            MemberMessage::Register { member, epoch, assigned_replica } => {
                self.on_register(now, member, epoch, assigned_replica)
            }
            MemberMessage::Confirm { member, epoch } => self.on_confirm(member, epoch),
            MemberMessage::Deregister { member, epoch } => {
                self.on_deregister(member, epoch);
                None
            }
            MemberMessage::Probe { number } => Some(ReplicaMessage::ProbeReply { number }),
        };
        if let Some(answer) = answer {
            self.outbox.send([from], &Message::ToMember(answer));
        }
    }

    fn on_pull(
        &mut self,
        now: Micros,
        member: MemberId,
        epoch: Option<Epoch>,
        number: u32,
        catch_up: CatchUp,
        applied: &VersionVector,
    ) -> ReplicaMessage {
        if let Some(epoch) = epoch {
            if !self.leases.grant(member, epoch, applied, now) {
                return ReplicaMessage::ReRegister { epoch };
            }
            self.needs_evaluation = true;
        }
        let must_void = match self.log.reader_lag(applied) {
            ReaderLag::BelowBase => !self.config.settings.injected_defects.has(InjectedDefect::VoidForgotten),
            ReaderLag::Entries(lag) => {
                catch_up == CatchUp::Void && lag > self.config.settings.void_threshold_entries
            }
        };
        if must_void {
            return ReplicaMessage::Void { number, epoch, vector: self.log.vector() };
        }
        let (runs, more) = self.log.runs_after(applied, MAX_ENTRIES_BYTES);
        ReplicaMessage::Entries { number, epoch, runs, more }
    }

    fn on_register(
        &mut self,
        now: Micros,
        member: MemberId,
        epoch: Epoch,
        assigned_replica: ReplicaId,
    ) -> Option<ReplicaMessage> {
        if assigned_replica.index() >= self.config.replicas.len() {
            self.dropped.malformed += 1;
            return None;
        }
        let is_assigned_replica = assigned_replica == self.config.replica;
        let state = if is_assigned_replica { RegistrationState::Active } else { RegistrationState::Known };
        match self.table.store(member, epoch, assigned_replica, state) {
            // A newer epoch at another assigned replica ends the registration here.
            StoreOutcome::Stored if !is_assigned_replica => self.leases.remove(member),
            StoreOutcome::Stored => self.leases.register(member, epoch, now),
            StoreOutcome::Present if is_assigned_replica && !self.leases.is_active(member, epoch) => {
                self.table.set_state(member, epoch, RegistrationState::Active);
                self.leases.register(member, epoch, now);
            }
            StoreOutcome::Present => {}
            StoreOutcome::Released => return Some(ReplicaMessage::ReRegister { epoch }),
            StoreOutcome::Superseded(known) => return Some(ReplicaMessage::Superseded { epoch, known }),
            StoreOutcome::Full => {
                self.dropped.table_full += 1;
                return None;
            }
        }
        self.needs_evaluation = true;
        Some(ReplicaMessage::Registered { epoch, incarnation: self.config.incarnation })
    }

    fn on_confirm(&mut self, member: MemberId, epoch: Epoch) -> Option<ReplicaMessage> {
        let known = self.table.get(member)?;
        if known.epoch > epoch {
            return Some(ReplicaMessage::Superseded { epoch, known: known.epoch });
        }
        if known.epoch != epoch {
            return None;
        }
        if known.state == RegistrationState::Released {
            return Some(ReplicaMessage::ReRegister { epoch });
        }
        let incarnation = self.config.incarnation;
        Some(ReplicaMessage::Confirmed { epoch, incarnation, vector: self.log.vector() })
    }

    /// Releases the registration of a member that has stopped serving for the rest of its incarnation.
    fn on_deregister(&mut self, member: MemberId, epoch: Epoch) {
        if self.table.set_state(member, epoch, RegistrationState::Released) {
            self.leases.remove(member);
            self.needs_evaluation = true;
        }
    }
}
