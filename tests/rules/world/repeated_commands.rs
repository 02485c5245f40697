//! Late copies of direct commands that an agent has executed and answered.

use super::{Event, World};
use burlhatch::coordination::{DirectCommandsOutcome, Input};
use burlhatch::protocol::agent::{AgentCommand, DirectCommands};
use burlhatch::types::{MachineId, TaskId};
use rand::Rng;
use std::collections::BTreeMap;
use std::ops::Range;

/// Direct commands that arrive again after they were executed and answered, and how often they did.
#[derive(Default)]
pub struct RepeatedCommands {
    until: u64,
    /// Number of copies of each message.
    copies: u32,
    delays: Range<u64>,
    /// Messages that were executed, by call, until their answer arrives.
    executed: BTreeMap<u64, (MachineId, DirectCommands)>,
    /// Number of copies that the agent accepted.
    pub accepted: u64,
    /// Number of starts in these copies for attempts that had ended before.
    pub starts_of_ended: u64,
}

impl World {
    /// Makes direct commands that were executed and answered arrive again, with delays from the range.
    pub fn repeat_commands(&mut self, duration: u64, copies: u32, delays: Range<u64>) {
        self.repeated_commands.until = self.now + duration;
        self.repeated_commands.copies = copies;
        self.repeated_commands.delays = delays;
    }

    pub(super) fn commands_executed(&mut self, call: u64, machine: &MachineId, commands: &DirectCommands) {
        if self.now < self.repeated_commands.until && !commands.commands.is_empty() {
            self.repeated_commands.executed.insert(call, (machine.clone(), commands.clone()));
        }
    }

    /// Schedules the copies of a message whose answer has reached the controller.
    pub(super) fn commands_answered(&mut self, call: u64, answer: &Input) {
        let Some((machine, commands)) = self.repeated_commands.executed.remove(&call) else { return };
        if !matches!(answer, Input::DirectCommands { outcome: DirectCommandsOutcome::Executed(_), .. }) {
            return;
        }
        for _ in 0..self.repeated_commands.copies {
            let delay = self.rng.random_range(self.repeated_commands.delays.clone());
            let (machine, commands) = (machine.clone(), commands.clone());
            self.schedule(delay, Event::RepeatedCommands { machine, commands });
        }
    }

    pub(super) fn repeated_commands_arrive(&mut self, id: MachineId, commands: DirectCommands) {
        let now = self.now;
        let Some(agent) = self.agents.get(&id) else { return };
        if agent.hung_until > now {
            let rest = agent.hung_until - now;
            return self.schedule(rest, Event::RepeatedCommands { machine: id, commands });
        }
        if !agent.accepts(&commands) {
            return;
        }
        let is_present = |task: &TaskId, attempt: u64| {
            agent.tasks.get(&(task.job.clone(), task.index)).is_some_and(|present| present.attempt == attempt)
        };
        let starts_of_ended = commands.commands.iter().filter(|command| match command {
            AgentCommand::Start { task, attempt } => {
                TaskId::parse(task).is_some_and(|task| !is_present(&task, *attempt))
            }
            AgentCommand::Stop { .. } | AgentCommand::Forget { .. } => false,
        });
        self.repeated_commands.starts_of_ended += starts_of_ended.count() as u64;
        self.repeated_commands.accepted += 1;
        self.execute_direct_commands(&id, &commands);
    }
}
