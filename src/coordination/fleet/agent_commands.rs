//! Commands to a machine's agent, sent in the answer to its heartbeat or in a direct message.

use crate::coordination::Controller;
use crate::coordination::fleet::machine::{Machine, UnrecordedTask};
use crate::coordination::jobs::attempt::{AttemptState, TaskAttempt};
use crate::coordination::jobs::cancellation_log::AbsenceProof;
use crate::protocol::agent::AgentCommand;
use crate::storage::schema::CordonReason;
use crate::types::{MachineId, TaskId};

/// Maximum number of commands in one message, so that it stays below the size limit.
pub(crate) const MAX_COMMANDS_PER_MESSAGE: usize = 300;

/// Command that an agent needs for an attempt.
enum NextStep {
    /// No command: the attempt needs none, has ended, or may not start.
    Nothing,
    /// No command: the start was never sent and the attempt is no longer wanted, which proves it absent.
    Drop,
    Start,
    Stop {
        grace_s: f64,
    },
}

impl NextStep {
    /// Determines the next step of an attempt. `is_to_be_deleted`: its machine is to be deleted, so nothing more starts
    /// there.
    fn of(attempt: &TaskAttempt, is_to_be_deleted: bool) -> NextStep {
        match (attempt.state(), attempt.stop_grace_s) {
            (AttemptState::Recorded, None) if !is_to_be_deleted => NextStep::Start,
            (AttemptState::Recorded, Some(_)) if !attempt.may_have_been_sent => NextStep::Drop,
            (
                AttemptState::Recorded | AttemptState::Fetching | AttemptState::Waiting | AttemptState::Running,
                Some(grace_s),
            ) => NextStep::Stop { grace_s },
            // A stop without a grace period also ends an attempt that is saving a checkpoint.
            (AttemptState::Checkpointing, Some(0.0)) => NextStep::Stop { grace_s: 0.0 },
            _ => NextStep::Nothing,
        }
    }
}

/// Returns the commands for tasks without a stored record, as many as fit into one message. Running ones are stopped. Exited ones are forgotten once no
/// copy of their start command can still arrive, as it would start a forgotten task again.
fn commands_for_unrecorded(machine: &Machine) -> Vec<AgentCommand> {
    let may_forget = machine.commands.are_settled();
    let command = |unrecorded: &UnrecordedTask| {
        let (task, attempt) = (unrecorded.task.clone(), unrecorded.attempt);
        match unrecorded.has_exited {
            false => Some(AgentCommand::Stop { task, attempt, grace_s: 0.0 }),
            true => (may_forget && unrecorded.may_be_forgotten()).then_some(AgentCommand::Forget { task, attempt }),
        }
    };
    machine.unrecorded.iter().filter_map(command).take(MAX_COMMANDS_PER_MESSAGE).collect()
}

impl Controller {
    /// Returns the commands for a machine's agent. `seq` is the heartbeat's number if they go into the answer to one.
    pub(crate) fn commands_for(&mut self, id: &MachineId, seq: Option<u64>) -> Vec<AgentCommand> {
        let Some(machine) = self.fleet.machine(id) else { return Vec::new() };
        let incarnation = machine.incarnation();
        let mut commands = commands_for_unrecorded(machine);
        let is_to_be_deleted =
            self.store.replica.machines.get(id).is_none_or(|m| m.value.cordon == Some(CordonReason::ForceDelete));
        let mut never_sent: Vec<TaskId> = Vec::new();
        for task_id in self.jobs.usage().attempts_on(id) {
            let Some(attempt) = self.jobs.attempt_mut(&task_id) else { continue };
            if attempt.incarnation != incarnation {
                continue;
            }
            let (task, number) = (task_id.to_string(), attempt.number);
            match NextStep::of(attempt, is_to_be_deleted) {
                NextStep::Nothing => continue,
                NextStep::Drop => {
                    never_sent.push(task_id);
                    continue;
                }
                NextStep::Start => {
                    attempt.may_have_been_sent = true;
                    commands.push(AgentCommand::Start { task, attempt: number });
                }
                NextStep::Stop { grace_s } => commands.push(AgentCommand::Stop { task, attempt: number, grace_s }),
            }
            if let Some(seq) = seq {
                attempt.last_inconclusive_seq = attempt.last_inconclusive_seq.max(seq);
            }
            if commands.len() >= MAX_COMMANDS_PER_MESSAGE {
                break;
            }
        }
        for task in never_sent {
            self.attempt_proven_absent(&task, AbsenceProof::NeverSent);
        }
        commands
    }
}
