//! Commands that a machine's agent is to be given, in the answer to its heartbeat or in a direct message.

use crate::coordination::Controller;
use crate::coordination::fleet::machine::{Machine, UnrecordedTask};
use crate::coordination::jobs::attempt::{AttemptState, TaskAttempt};
use crate::coordination::jobs::cancellation_log::AbsenceProof;
use crate::protocol::agent::AgentCommand;
use crate::storage::schema::CordonReason;
use crate::types::{MachineId, TaskId};

/// Commands in one message at most, so that it stays below the size limit.
pub(crate) const MAX_COMMANDS_PER_MESSAGE: usize = 300;

/// What an agent is commanded to do about a recorded attempt.
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
    /// `is_doomed`: its machine is to be deleted, and nothing more starts there.
    fn of(attempt: &TaskAttempt, is_doomed: bool) -> NextStep {
        match (attempt.state(), attempt.stop_grace_s) {
            (AttemptState::Recorded, None) if !is_doomed => NextStep::Start,
            (AttemptState::Recorded, Some(_)) if !attempt.may_have_been_sent => NextStep::Drop,
            (
                AttemptState::Recorded | AttemptState::Fetching | AttemptState::Waiting | AttemptState::Running,
                Some(grace_s),
            ) => NextStep::Stop { grace_s },
            // Told to stop while it saves a checkpoint: it ends at once.
            (AttemptState::Checkpointing, Some(0.0)) => NextStep::Stop { grace_s: 0.0 },
            _ => NextStep::Nothing,
        }
    }
}

/// Tasks in no record are stopped, and forgotten once no copy of their start can be on its way: it would start them again.
fn commands_for_unrecorded(machine: &Machine) -> Vec<AgentCommand> {
    let may_forget = machine.commands.is_quiet();
    let command = |unrecorded: &UnrecordedTask| {
        let (task, attempt) = (unrecorded.task.clone(), unrecorded.attempt);
        match unrecorded.has_exited {
            false => Some(AgentCommand::Stop { task, attempt, grace_s: 0.0 }),
            true => (may_forget && unrecorded.may_be_forgotten()).then_some(AgentCommand::Forget { task, attempt }),
        }
    };
    machine.unrecorded.iter().filter_map(command).collect()
}

impl Controller {
    /// All commands for a machine's agent. For an answer to a heartbeat, `seq` is the heartbeat's number.
    pub(crate) fn commands_for(&mut self, id: &MachineId, seq: Option<u64>) -> Vec<AgentCommand> {
        let Some(machine) = self.fleet.machine(id) else { return Vec::new() };
        let incarnation = machine.incarnation();
        let mut commands = commands_for_unrecorded(machine);
        let is_doomed =
            self.store.replica.machines.get(id).is_none_or(|m| m.value.cordon == Some(CordonReason::ForceDelete));
        let mut never_sent: Vec<TaskId> = Vec::new();
        for task_id in self.jobs.usage().attempts_on(id) {
            let Some(attempt) = self.jobs.attempt_mut(&task_id) else { continue };
            if attempt.incarnation != incarnation {
                continue;
            }
            let (task, number) = (task_id.to_string(), attempt.number);
            match NextStep::of(attempt, is_doomed) {
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
