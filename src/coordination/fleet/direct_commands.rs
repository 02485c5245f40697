//! Direct messages to agents: when they are sent, and what their outcomes prove.

use crate::coordination::fleet::cordon::CordonCause;
use crate::coordination::fleet::heartbeats::HeartbeatSource;
use crate::coordination::fleet::machine::{Machine, MessagePosition};
use crate::coordination::{CallFailure, Controller, DirectCommandsOutcome, Effect};
use crate::protocol::agent::{DirectCommands, Heartbeat};
use crate::storage::schema::CordonReason;
use crate::types::{FencingToken, MachineId, Micros};
use std::net::SocketAddr;

/// Number of heartbeat intervals for which an agent is assumed to be alive after a sign of life.
const ALIVE_HEARTBEAT_INTERVALS: f64 = 2.0;

impl Controller {
    /// Returns the time for which an agent is assumed to be alive after a sign of life.
    pub(crate) fn alive_span(&self) -> Micros {
        Micros::from_secs_f64(self.platform.deployment.agents.heartbeat_s * ALIVE_HEARTBEAT_INTERVALS)
    }

    /// Queues a direct message that can wait a short time for the machine's next heartbeat.
    pub(crate) fn queue_direct_message_soon(&mut self, id: &MachineId) {
        let at = self.now() + Micros::from_millis(self.policy.batch_push_ms);
        self.fleet.queue_direct_message_at(id, at);
    }

    /// Sends the commands that can't wait for the next heartbeat.
    pub(crate) fn send_pending_direct_commands(&mut self) {
        let now = self.now();
        for id in self.fleet.direct_queue.take_ready(now) {
            let Some(machine) = self.fleet.machine(&id).filter(|machine| machine.commands.is_due(now)) else {
                continue;
            };
            if machine.commands.is_in_flight() || self.fleet.direct_queue.is_full() {
                // Retried at the next call, until the message in flight has an outcome and a socket is free.
                self.fleet.direct_queue.push(&id);
                continue;
            }
            self.send_pending_commands_to(&id);
        }
    }

    fn send_pending_commands_to(&mut self, id: &MachineId) {
        let now = self.now();
        let alive_span = self.alive_span();
        let fencing_token = self.fencing_token(id);
        let Some(machine) = self.fleet.machine_mut(id) else { return };
        machine.commands.clear_request();
        let (Some(fencing_token), Some(addr)) = (fencing_token, machine.addr) else { return };
        // An agent that did not answer the last message gets no commands: they would only remain unacknowledged.
        let is_alive = machine.contact.silence(now) < alive_span && !machine.contact.has_unanswered();
        let is_token_confirmed = machine.ownership.is_token_confirmed();
        let incarnation = machine.addressed_incarnation();
        // If the agent has not shown our fencing token yet, an empty message makes it do so.
        let commands = if is_token_confirmed && is_alive { self.commands_for(id, None) } else { Vec::new() };
        if !is_token_confirmed || !commands.is_empty() {
            self.send_direct(id, addr, DirectCommands { fencing_token, incarnation, commands });
        }
    }

    /// Sends an empty message to a machine under our fencing token. The answer is a sign of life.
    pub(super) fn send_probe(&mut self, id: &MachineId, fencing_token: FencingToken, addr: SocketAddr) {
        let Some(incarnation) = self.fleet.machine(id).map(Machine::addressed_incarnation) else { return };
        self.send_direct(id, addr, DirectCommands { fencing_token, incarnation, commands: Vec::new() });
    }

    /// Sends an empty message that changes nothing at the agent, as fencing token 0 is older than any other.
    pub(super) fn send_unfenced_probe(&mut self, id: &MachineId, addr: SocketAddr) {
        let commands = DirectCommands { fencing_token: FencingToken(0), incarnation: 0, commands: Vec::new() };
        self.send_direct(id, addr, commands);
    }

    fn send_direct(&mut self, id: &MachineId, addr: SocketAddr, commands: DirectCommands) {
        if let Some(machine) = self.fleet.machine_mut(id) {
            machine.commands.sent(commands.fencing_token, machine.messages.newest());
        }
        self.fleet.direct_queue.opened();
        self.out.push(Effect::DirectCommands { machine: id.clone(), addr, commands });
    }

    /// Handles the outcome of a direct message.
    pub(crate) fn direct_commands_outcome(&mut self, id: &MachineId, outcome: DirectCommandsOutcome) {
        self.fleet.direct_queue.closed();
        let now = self.now();
        let Some(machine) = self.fleet.machine_mut(id) else { return };
        machine.commands.finished();
        match outcome {
            DirectCommandsOutcome::Executed(heartbeat) | DirectCommandsOutcome::Rejected(heartbeat) => {
                self.direct_answer(id, &heartbeat);
            }
            DirectCommandsOutcome::Failed(CallFailure::NotExecuted) => machine.contact.message_failed(now),
            DirectCommandsOutcome::Failed(CallFailure::Indeterminate) => {
                machine.contact.message_failed(now);
                machine.commands.last_message_unacknowledged();
            }
        }
    }

    /// Handles an agent's answer to a direct message.
    fn direct_answer(&mut self, id: &MachineId, heartbeat: &Heartbeat) {
        let now = self.now();
        let is_recorded = self.store.replica.machines.contains_key(id);
        let fencing_token = self.fencing_token(id);
        let Some(machine) = self.fleet.machine_mut(id) else { return };
        let is_from_machine = heartbeat.machine == *id;
        if is_from_machine {
            machine.contact.delivered(now);
            if !is_recorded && self.is_leader() {
                self.fleet.unregistered_alive_at.insert(id.clone(), now);
                return;
            }
        }
        self.control.record_machine_answer();
        let shows_later_token = fencing_token.is_none_or(|token| heartbeat.fencing_token > token);
        if !is_from_machine || shows_later_token {
            if let Some(machine) = self.fleet.machine_mut(id).filter(|_| is_from_machine) {
                machine.ownership.later_token_answered();
            }
            self.store.request_fresh_read();
            return;
        }
        self.accept_direct_answer(id, heartbeat);
    }

    fn accept_direct_answer(&mut self, id: &MachineId, heartbeat: &Heartbeat) {
        let Some(machine) = self.fleet.machine(id) else { return };
        // The agent answered a message that was sent after its newest one, yet the answer has no higher number: the
        // agent lost its state, and its tasks are gone. Its incarnation can't prove that, but a deletion of the machine
        // can.
        if machine.commands.precedes_last_message(MessagePosition::from(heartbeat)) {
            tracing::warn!(machine = %id, "agent lost its incarnation");
            self.cordon(id, CordonReason::ForceDelete, CordonCause::IncarnationLost);
            return;
        }
        let has_other_incarnation = heartbeat.incarnation != machine.incarnation();
        self.accept_heartbeat(heartbeat, HeartbeatSource::DirectAnswer);
        if has_other_incarnation {
            self.fleet.queue_direct_message(id);
        }
    }
}
