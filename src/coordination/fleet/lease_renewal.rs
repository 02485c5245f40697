//! Answers that renew an agent's lease. They are made only here.
//!
//! An agent whose lease is not renewed kills its tasks well within the time allowed for a cancellation. A cancelled
//! task can therefore continue to run only if an answer renewed the lease without stopping the task, or if a start that
//! is still in transit reaches an incarnation whose lease was renewed. This leads to two rules, which hold without the
//! store and the cloud:
//!
//! - Every answer that renews a lease stops all tasks of cancelled jobs on the machine, whatever else is known about
//!   the machine or its fencing token: stopping a task whose job has its outcome is always correct.
//! - If a command under the present fencing token may still be executed, and a task of a cancelled job is not proven
//!   absent, the lease is renewed only as long as it would still expire before the cancellation is due. Its expiry
//!   supersedes the command. Under a later fencing token the answer itself supersedes the command.

use crate::coordination::fleet::agent_commands::MAX_COMMANDS_PER_MESSAGE;
use crate::coordination::{AgentAnswer, Controller};
use crate::protocol::agent::{AgentCommand, Heartbeat, HeartbeatResponse, TaskState};
use crate::storage::schema::Outcome;
use crate::types::{FencingToken, MachineId, TaskId};

impl Controller {
    /// Returns the answer, under our fencing token, to a heartbeat that was just processed.
    pub(crate) fn renewing_answer(&mut self, heartbeat: &Heartbeat, fencing_token: FencingToken) -> AgentAnswer {
        let now = self.now();
        let id = &heartbeat.machine;
        if self.update_renewal_withheld(id, fencing_token) {
            return AgentAnswer::Unavailable;
        }
        let Some(machine) = self.fleet.machine_mut(id) else { return AgentAnswer::Unavailable };
        machine.contact.lease_renewed(now);
        // Until the agent has shown our fencing token, its heartbeat proves nothing. The token in the answer makes it
        // send another.
        let is_reliable = machine.ownership.is_token_confirmed() && machine.incarnation() == heartbeat.incarnation;
        let mut commands = if is_reliable { self.commands_for(id, Some(heartbeat.seq)) } else { Vec::new() };
        let is_complete = is_reliable && commands.len() < MAX_COMMANDS_PER_MESSAGE;
        for stop in self.stop_commands_for_cancelled(heartbeat) {
            if !commands.contains(&stop) {
                commands.push(stop);
                self.jobs.cancellation_log.note_added_stop();
            }
        }
        if is_complete && let Some(machine) = self.fleet.machine_mut(id) {
            machine.commands.clear_request();
        }
        AgentAnswer::Response(HeartbeatResponse { fencing_token, commands })
    }

    /// Determines whether the lease must be left to expire, as only its expiry supersedes a late start of a cancelled
    /// task.
    fn update_renewal_withheld(&mut self, id: &MachineId, fencing_token: FencingToken) -> bool {
        let may_start_late =
            self.fleet.machine(id).is_some_and(|machine| machine.commands.may_execute_under(fencing_token));
        let is_withheld = may_start_late && self.has_overdue_cancellation(id);
        if let Some(machine) = self.fleet.machine_mut(id) {
            if is_withheld && !machine.is_renewal_withheld {
                tracing::warn!(machine = %id, "lease renewal withheld: a cancelled task may still be started there");
            }
            machine.is_renewal_withheld = is_withheld;
        }
        is_withheld
    }

    /// Returns stop commands for all tasks of cancelled jobs that the agent reports.
    fn stop_commands_for_cancelled(&self, heartbeat: &Heartbeat) -> Vec<AgentCommand> {
        let is_cancelled = |task: &TaskId| self.outcome(&task.job) == Some(Outcome::Cancelled);
        let reported = heartbeat.tasks.iter().filter(|task| task.state != TaskState::Exited);
        let cancelled = reported.filter(|reported| TaskId::parse(&reported.task).is_some_and(|t| is_cancelled(&t)));
        let stop = |task: &str, attempt| AgentCommand::Stop { task: task.to_string(), attempt, grace_s: 0.0 };
        cancelled.map(|reported| stop(&reported.task, reported.attempt)).collect()
    }
}
