//! Commands to workers: what a machine is to be told, in the answer to its heartbeat or in a direct message, and what the
//! answer to such a message proves.

use crate::coordination::fleet::heartbeats::Source;
use crate::coordination::fleet::machines::{Machine, UnrecordedTask};
use crate::coordination::jobs::cancellation_log::AbsenceProof;
use crate::coordination::jobs::usage::{Phase, Start};
use crate::coordination::{Controller, DirectCommandsOutcome, Effect, Failure};
use crate::protocol::worker::{AgentCommand, DirectCommands};
use crate::storage::schema::CordonReason;
use crate::types::{MachineId, Micros};
use std::net::SocketAddr;

/// Commands in one message at most, so that it stays below the size limit.
pub(crate) const MAX_COMMANDS_PER_MESSAGE: usize = 300;

/// What a recorded start's machine is to be told of it.
enum NextStep {
    /// Nothing: it goes on, or has ended.
    Nothing,
    /// Nothing, as its command was never sent and it is not wanted any more.
    Drop,
    Start,
    Stop {
        grace_s: f64,
    },
}

impl NextStep {
    /// `doomed`: its machine is to be deleted, and nothing more starts there.
    fn of(start: &Start, doomed: bool) -> NextStep {
        match (start.phase(), start.stop) {
            (Phase::Recorded, None) if !doomed => NextStep::Start,
            (Phase::Recorded, Some(_)) if !start.sent => NextStep::Drop,
            (Phase::Recorded | Phase::Fetching | Phase::Waiting | Phase::Running, Some(grace_s)) => {
                NextStep::Stop { grace_s }
            }
            // Told to stop while it saves: it ends at once.
            (Phase::Saving, Some(0.0)) => NextStep::Stop { grace_s: 0.0 },
            _ => NextStep::Nothing,
        }
    }
}

/// Tasks in no record are stopped, and forgotten once no copy of their start can be on its way: it would start them again.
fn commands_for_unrecorded(machine: &Machine) -> Vec<AgentCommand> {
    let may_forget = machine.unacknowledged.is_none() && !machine.direct;
    let order = |unrecorded: &UnrecordedTask| {
        let (task, attempt) = (unrecorded.task.clone(), unrecorded.attempt);
        match unrecorded.exited {
            false => Some(AgentCommand::Stop { task, attempt, grace_s: 0.0 }),
            true => (may_forget && unrecorded.forgettable()).then_some(AgentCommand::Forget { task, attempt }),
        }
    };
    machine.unrecorded.iter().filter_map(order).collect()
}

impl Controller {
    pub(crate) fn want_push(&mut self, id: &MachineId) {
        if let Some(machine) = self.fleet.machines.get_mut(id) {
            machine.push = true;
            machine.push_after = Micros::ZERO;
            self.fleet.pending_commands.insert(id.clone());
        }
    }

    /// The machine is to be told something that can wait a moment for its next heartbeat: machines with
    /// work heartbeat often, and each direct message costs as much as a heartbeat.
    pub(crate) fn want_push_soon(&mut self, id: &MachineId) {
        let after = self.now() + Micros::from_millis(self.policy.batch_push_ms);
        if let Some(machine) = self.fleet.machines.get_mut(id)
            && !machine.push
        {
            machine.push = true;
            machine.push_after = after;
            self.fleet.delayed_commands.insert((after, id.clone()));
        }
    }

    /// Everything the machine is to be told now. For an answer to a heartbeat, `seq` is the
    /// heartbeat's number.
    pub(crate) fn commands_for(&mut self, id: &MachineId, seq: Option<u64>) -> Vec<AgentCommand> {
        let Some(machine) = self.fleet.machines.get(id) else { return Vec::new() };
        let doomed =
            self.store.replica.machines.get(id).is_none_or(|m| m.value.cordon == Some(CordonReason::ForceDelete));
        let incarnation = machine.incarnation;
        let mut commands = commands_for_unrecorded(machine);
        let mut never_sent = Vec::new();
        for (job_id, index) in self.jobs.usage.starts_on(id) {
            let Some(start) = self.jobs.by_id.get_mut(&job_id).and_then(|job| job.live.get_mut(index)) else {
                continue;
            };
            if start.incarnation != incarnation {
                continue;
            }
            let (task, attempt) = (format!("{job_id}/{index}"), start.attempt);
            match NextStep::of(start, doomed) {
                NextStep::Nothing => continue,
                NextStep::Drop => {
                    never_sent.push((job_id, index));
                    continue;
                }
                NextStep::Start => {
                    start.sent = true;
                    commands.push(AgentCommand::Start { task, attempt });
                }
                NextStep::Stop { grace_s } => commands.push(AgentCommand::Stop { task, attempt, grace_s }),
            }
            if let Some(seq) = seq {
                start.seq = start.seq.max(seq);
            }
            if commands.len() >= MAX_COMMANDS_PER_MESSAGE {
                break;
            }
        }
        for (job, task) in never_sent {
            self.start_gone(&job, task, AbsenceProof::NeverSent);
        }
        commands
    }

    /// Sends what can't wait for the next heartbeat.
    pub(crate) fn send_pending_direct_commands(&mut self) {
        let now = self.now();
        let recent = Micros::from_secs_f64(self.platform.deployment.agents.heartbeat_s * 2.0);
        while self.fleet.delayed_commands.first().is_some_and(|(at, _)| *at <= now) {
            self.fleet.pending_commands.extend(self.fleet.delayed_commands.pop_first().map(|(_, id)| id));
        }
        for id in std::mem::take(&mut self.fleet.pending_commands) {
            let Some(machine) = self.fleet.machines.get(&id).filter(|m| m.push && m.push_after <= now) else {
                continue;
            };
            if machine.direct || self.fleet.direct_open >= self.fleet.direct_most {
                // Once the message on its way is answered, or there is room for one more.
                self.fleet.pending_commands.insert(id);
                continue;
            }
            let Some(fencing_token) = self.fencing_token(&id) else {
                if let Some(machine) = self.fleet.machines.get_mut(&id) {
                    machine.push = false;
                }
                continue;
            };
            let Some(machine) = self.fleet.machines.get_mut(&id) else { continue };
            machine.push = false;
            let Some(addr) = machine.addr else { continue };
            // Nothing is said to a machine that did not answer last time: it would only be in doubt.
            let alive = now.since(machine.heard) < recent && machine.unanswered == 0;
            let token_confirmed = machine.token_confirmed;
            let incarnation = machine.incarnation.max(1);
            // Without a heartbeat under our fencing token an empty message makes the worker show it.
            let commands = if token_confirmed && alive { self.commands_for(&id, None) } else { Vec::new() };
            if token_confirmed && commands.is_empty() {
                continue;
            }
            self.send_direct(&id, addr, DirectCommands { fencing_token, incarnation, commands });
        }
    }

    pub(crate) fn send_direct(&mut self, id: &MachineId, addr: SocketAddr, commands: DirectCommands) {
        if let Some(machine) = self.fleet.machines.get_mut(id) {
            machine.direct = true;
            machine.direct_token = commands.fencing_token;
            machine.direct_after = (machine.incarnation, machine.seq);
            machine.ask = false;
        }
        self.fleet.direct_open += 1;
        self.out.push(Effect::DirectCommands { machine: id.clone(), addr, commands });
    }

    pub(crate) fn direct_commands_outcome(&mut self, id: &MachineId, outcome: DirectCommandsOutcome) {
        self.fleet.direct_open = self.fleet.direct_open.saturating_sub(1);
        let fencing_token = self.fencing_token(id);
        let now = self.now();
        let recorded = self.store.replica.machines.contains_key(id);
        let Some(machine) = self.fleet.machines.get_mut(id) else { return };
        machine.direct = false;
        if let DirectCommandsOutcome::Done(heartbeat) | DirectCommandsOutcome::Rejected(heartbeat) = &outcome
            && heartbeat.machine == *id
        {
            machine.hears(now);
            if !recorded && self.is_leader() {
                self.autoscaling.leader.alive.insert(id.clone(), now);
                return;
            }
        }
        let Some(machine) = self.fleet.machines.get_mut(id) else { return };
        if matches!(outcome, DirectCommandsOutcome::Done(_) | DirectCommandsOutcome::Rejected(_)) {
            self.control.record_machine_answer();
        }
        match outcome {
            DirectCommandsOutcome::Done(heartbeat) | DirectCommandsOutcome::Rejected(heartbeat) => {
                if heartbeat.machine != *id || fencing_token.is_none_or(|t| heartbeat.fencing_token > t) {
                    machine.outranked |= heartbeat.machine == *id;
                    self.store.reads.wanted = true;
                    return;
                }
                // It answered what was sent after its newest message, and yet shows a smaller number: its
                // worker began anew and what was on it is gone. Sessions can't tell, a deletion can.
                let regressed = (heartbeat.incarnation, heartbeat.seq) <= machine.direct_after;
                if regressed {
                    tracing::warn!(machine = %id, "agent has forgotten its incarnation");
                    self.set_hold(id, CordonReason::ForceDelete);
                    return;
                }
                let wrong_incarnation = heartbeat.incarnation != machine.incarnation;
                self.take_heartbeat(&heartbeat, Source::DirectAnswer);
                if wrong_incarnation {
                    self.want_push(id);
                }
            }
            DirectCommandsOutcome::Failed(Failure::NotDone) => machine.message_failed(now),
            DirectCommandsOutcome::Failed(Failure::Unknown) => {
                machine.message_failed(now);
                machine.unacknowledged = machine.unacknowledged.max(Some(machine.direct_token));
            }
        }
    }
}
