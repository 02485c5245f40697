//! Late copies of direct commands that the agent has executed and answered.

use super::Agent;
use super::faults::AgentFault;
use crate::history::Event;
use crate::http::ReceivedRequest;
use burlhatch::protocol::agent::DirectCommands;
use burlhatch::protocol::decode;
use std::time::{Duration, Instant};

/// Times after which a copy arrives: while the task still runs, after it has ended or moved, and after a lease.
const REPEAT_DELAYS: [Duration; 4] =
    [Duration::from_millis(200), Duration::from_secs(2), Duration::from_secs(5), Duration::from_secs(12)];

/// A copy that arrives later.
pub(super) struct RepeatedCommands {
    due_at: Instant,
    message: DirectCommands,
}

impl Agent {
    /// Schedules copies of a message that was executed and answered, if the agent's faults say so.
    pub(super) fn schedule_repeats(&self, request: &ReceivedRequest) {
        let Ok(message) = decode::<DirectCommands>(&request.body) else { return };
        if message.commands.is_empty() || !self.faults.has(AgentFault::RepeatsCommands) {
            return;
        }
        let now = Instant::now();
        let copies =
            REPEAT_DELAYS.iter().map(|delay| RepeatedCommands { due_at: now + *delay, message: message.clone() });
        self.locked().repeats.extend(copies);
    }

    /// Executes the copies that are due, if their fencing token and session still match.
    pub(super) fn execute_due_repeats(&self) {
        let now = Instant::now();
        let mut state = self.locked();
        if state.has_terminated || self.faults.has(AgentFault::Stalled) || self.network.is_partitioned() {
            return;
        }
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut state.repeats).into_iter().partition(|copy| copy.due_at <= now);
        state.repeats = later;
        for RepeatedCommands { message, .. } in due {
            if self.execute_if_current(&mut state, &message) {
                let machine = self.machine.id.to_string();
                self.environment.history.add(Event::CommandsRepeated { machine });
            }
        }
    }
}
