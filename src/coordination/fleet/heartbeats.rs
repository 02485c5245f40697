//! Heartbeats of agents: which are new, what they prove of the machine, and what is answered.

use crate::coordination::fleet::UnregisteredHeartbeat;
use crate::coordination::fleet::machine::{MessagePosition, TokenEvidence};
use crate::coordination::{Controller, Effect, Waiter, WorkerAnswer};
use crate::protocol::worker::Heartbeat;
use crate::storage::schema::Role;
use crate::types::{FencingToken, MachineId};

/// How an agent's account of itself came.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum HeartbeatSource {
    /// As a heartbeat, which the agent sends only after it is through with the answer to the one before.
    Heartbeat,
    /// As the answer to a direct message.
    DirectAnswer,
}

impl Controller {
    /// Answers a heartbeat, or keeps it until its machine is registered. `is_relayed`: it came through a sibling.
    pub(crate) fn heartbeat(&mut self, waiter: Waiter, heartbeat: Heartbeat, is_relayed: bool) {
        let answer = match self.store.sync.done {
            true => self.heartbeat_answer(waiter, heartbeat, is_relayed),
            false => Some(WorkerAnswer::Unavailable),
        };
        if let Some(answer) = answer {
            self.out.push(Effect::AnswerWorker(waiter, answer));
        }
    }

    fn heartbeat_answer(&mut self, waiter: Waiter, heartbeat: Heartbeat, is_relayed: bool) -> Option<WorkerAnswer> {
        let id = heartbeat.machine.clone();
        let Some(role) = self.role_of_machine(&id) else { return self.unregistered_heartbeat(waiter, heartbeat) };
        let Some(fencing_token) = self.fencing_token(&id) else { return Some(self.redirect_to_holder(role)) };
        if heartbeat.fencing_token > fencing_token {
            self.later_token_shown(&id, heartbeat.fencing_token);
            return Some(WorkerAnswer::Redirect(None));
        }
        if !self.note_heartbeat(&heartbeat, is_relayed) {
            return Some(WorkerAnswer::Unavailable);
        }
        self.accept_heartbeat(&heartbeat, HeartbeatSource::Heartbeat);
        Some(self.renewing_answer(&heartbeat, fencing_token))
    }

    /// A machine without a record: the leader may register it, others send its agent there.
    fn unregistered_heartbeat(&mut self, waiter: Waiter, heartbeat: Heartbeat) -> Option<WorkerAnswer> {
        if self.is_leader() {
            let received_at = self.now();
            self.fleet.unregistered.push(UnregisteredHeartbeat { received_at, waiter, heartbeat });
            return None;
        }
        Some(self.redirect_to_holder(Role::Leader))
    }

    fn redirect_to_holder(&self, role: Role) -> WorkerAnswer {
        match self.other_holder(role) {
            Some(holder) => WorkerAnswer::Redirect(Some(holder)),
            None => WorkerAnswer::Unavailable,
        }
    }

    /// Another controller has a later fencing token than we know of, or the heartbeat comes from the machine's later time
    /// in another shard: read which, and draw a higher token if the machine is ours after all.
    fn later_token_shown(&mut self, id: &MachineId, fencing_token: FencingToken) {
        self.store.reads.wanted = true;
        let now = self.now();
        if let Some(machine) = self.fleet.machine_mut(id) {
            machine.commands.set_unacknowledged(fencing_token);
            machine.ownership.later_token_shown();
            machine.contact.seen(now);
        }
    }

    /// Notes a heartbeat's number, and what it tells of what the agent has received. False for one that is not newer than
    /// all before.
    fn note_heartbeat(&mut self, heartbeat: &Heartbeat, is_relayed: bool) -> bool {
        let now = self.now();
        let machine = self.fleet.machine_or_insert(&heartbeat.machine);
        let order = machine.messages.order_heartbeat(MessagePosition::from(heartbeat), is_relayed);
        if !order.is_new {
            // A copy of a heartbeat that we have seen, for which nobody waits any more. Or an agent that lost its state and
            // counts from the start: an answer would renew a lease that we then take for expired. Asked
            // directly it can't show less than it did before, unless it did lose its state.
            machine.commands.want_probe();
            return false;
        }
        if order.confirms_last_answer {
            machine.contact.last_answer_delivered();
        }
        if order.has_gap {
            // Perhaps the agent did not receive our last answer, and it may be that nothing reaches it. What waits for its
            // next heartbeat would never tell.
            machine.commands.want_probe();
        }
        if order.is_newest_message {
            machine.contact.heartbeat_received(now);
        }
        true
    }

    /// Takes in an agent's account of itself, if it is newer than all before.
    pub(crate) fn accept_heartbeat(&mut self, heartbeat: &Heartbeat, source: HeartbeatSource) {
        let Some(fencing_token) = self.fencing_token(&heartbeat.machine) else { return };
        let Some(evidence) = self.accept_machine_state(heartbeat, fencing_token, source) else { return };
        if evidence == TokenEvidence::Outdated {
            return;
        }
        let is_first = evidence == TokenEvidence::FirstConfirmation;
        self.scheduling.cycle_wanted |= is_first;
        self.reconcile_tasks(heartbeat, source, is_first);
    }

    /// Takes in what a message says of the machine itself. None if it is not newer than all before.
    fn accept_machine_state(
        &mut self,
        heartbeat: &Heartbeat,
        fencing_token: FencingToken,
        source: HeartbeatSource,
    ) -> Option<TokenEvidence> {
        let now = self.now();
        let machine = self.fleet.machine_mut(&heartbeat.machine)?;
        let position = MessagePosition::from(heartbeat);
        if position <= machine.messages.newest() {
            return None;
        }
        let evidence = machine.ownership.token_shown(heartbeat.fencing_token, fencing_token);
        // A heartbeat without our fencing token may be a copy from before our time: no sign of life.
        if evidence != TokenEvidence::Outdated || source == HeartbeatSource::DirectAnswer {
            machine.contact.proven_alive(now);
        }
        if position.incarnation > machine.incarnation() {
            // A new incarnation comes with a lease of its own.
            machine.contact.lease_renewed(now);
            machine.unrecorded.clear();
            machine.images.clear_fetches();
        }
        machine.messages.advance(position);
        machine.has_termination_notice = heartbeat.notice_s.is_some();
        if let Some(addr) = heartbeat.addr.as_ref().and_then(|addr| addr.parse().ok()) {
            machine.addr = Some(addr);
        }
        if evidence != TokenEvidence::Outdated {
            machine.commands.token_shown(heartbeat.fencing_token);
        }
        if evidence == TokenEvidence::FirstConfirmation {
            // Until it showed our fencing token a former holder may have gone on renewing its lease.
            machine.contact.lease_renewed(now);
        }
        Some(evidence)
    }
}
