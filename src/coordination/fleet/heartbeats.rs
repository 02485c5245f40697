//! Heartbeats of agents: which are new, what they prove about the machine, and how they are answered.

use crate::coordination::fleet::UnregisteredHeartbeat;
use crate::coordination::fleet::machine::TokenEvidence;
use crate::coordination::{AgentAnswer, Controller, Effect, RequestId};
use crate::protocol::agent::Heartbeat;
use crate::storage::schema::Role;
use crate::types::{FencingToken, MachineId};

/// How a message with an agent's state arrived.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum HeartbeatSource {
    /// As a heartbeat, which the agent sends only after it has processed the answer to the previous one.
    Heartbeat,
    /// As the answer to a direct message.
    DirectAnswer,
}

impl Controller {
    /// Answers a heartbeat, or keeps it until its machine is registered. `is_relayed`: whether it came through a
    /// sibling.
    pub(crate) fn heartbeat(&mut self, request_id: RequestId, heartbeat: Heartbeat, is_relayed: bool) {
        let answer = match self.store.is_synced() {
            true => self.heartbeat_answer(request_id, heartbeat, is_relayed),
            false => Some(AgentAnswer::Unavailable),
        };
        if let Some(answer) = answer {
            self.out.push(Effect::AnswerAgent(request_id, answer));
        }
    }

    fn heartbeat_answer(
        &mut self,
        request_id: RequestId,
        heartbeat: Heartbeat,
        is_relayed: bool,
    ) -> Option<AgentAnswer> {
        let id = heartbeat.machine.clone();
        let Some(role) = self.role_of_machine(&id) else { return self.unregistered_heartbeat(request_id, heartbeat) };
        let Some(fencing_token) = self.fencing_token(&id) else { return Some(self.redirect_to_holder(role)) };
        if heartbeat.fencing_token > fencing_token {
            self.later_token_shown(&id, heartbeat.fencing_token);
            return Some(AgentAnswer::Redirect(None));
        }
        let now = self.now();
        if !self.fleet.machine_or_insert(&id).note_heartbeat(&heartbeat, is_relayed, now) {
            return Some(AgentAnswer::Unavailable);
        }
        self.accept_heartbeat(&heartbeat, HeartbeatSource::Heartbeat);
        Some(self.renewing_answer(&heartbeat, fencing_token))
    }

    /// Handles a heartbeat of a machine without a record. The leader keeps it, as it may register the machine; other
    /// controllers redirect the agent to the leader.
    fn unregistered_heartbeat(&mut self, request_id: RequestId, heartbeat: Heartbeat) -> Option<AgentAnswer> {
        if self.is_leader() {
            let received_at = self.now();
            self.fleet.unregistered.push(UnregisteredHeartbeat { received_at, request_id, heartbeat });
            return None;
        }
        Some(self.redirect_to_holder(Role::Leader))
    }

    fn redirect_to_holder(&self, role: Role) -> AgentAnswer {
        match self.other_holder(role) {
            Some(holder) => AgentAnswer::Redirect(Some(holder)),
            None => AgentAnswer::Unavailable,
        }
    }

    /// Handles a heartbeat with a later fencing token than ours: another controller has drawn one, or the machine has
    /// been moved to another shard since. A fresh read of the store shows which of them, and a higher token is drawn if
    /// the machine is ours after all.
    fn later_token_shown(&mut self, id: &MachineId, fencing_token: FencingToken) {
        self.store.request_fresh_read();
        let now = self.now();
        if let Some(machine) = self.fleet.machine_mut(id) {
            machine.later_token_shown(fencing_token, now);
        }
    }

    /// Processes the state that an agent's message shows, if the message is newer than all earlier ones.
    pub(crate) fn accept_heartbeat(&mut self, heartbeat: &Heartbeat, source: HeartbeatSource) {
        let Some(fencing_token) = self.fencing_token(&heartbeat.machine) else { return };
        let now = self.now();
        let Some(machine) = self.fleet.machine_mut(&heartbeat.machine) else { return };
        let Some(evidence) = machine.accept_message(heartbeat, source, fencing_token, now) else { return };
        if evidence == TokenEvidence::Outdated {
            return;
        }
        let is_first = evidence == TokenEvidence::FirstConfirmation;
        if is_first {
            self.scheduling.request_cycle();
        }
        self.reconcile_tasks(heartbeat, source, is_first);
    }
}
