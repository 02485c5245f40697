//! One attempt at running a task: its state, and the commands that were sent to its machine's agent for it.

use crate::protocol::agent::ExitCause;
use crate::types::{MachineId, Micros};

/// The state of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// Placed on a machine, not yet in the stored records; no command for it may be sent.
    Decided,
    /// In the stored records; not yet seen on the machine.
    Recorded,
    /// On the machine, fetching its image.
    Fetching,
    /// On the machine, waiting for the rest of its gang.
    Waiting,
    /// On the machine, running.
    Running,
    /// On the machine, writing a checkpoint after a stop command.
    Checkpointing,
    /// Reported as ended by the machine's agent; to be removed from the stored records.
    Ended(ExitCause),
    /// Proven not to be on the machine; to be removed from the stored records.
    ProvenAbsent,
}

impl AttemptState {
    /// Whether it takes resources on its machine and from its team's quota.
    pub fn occupies_resources(self) -> bool {
        !matches!(self, AttemptState::Ended(_) | AttemptState::ProvenAbsent)
    }

    /// Whether no heartbeat has shown it on its machine yet.
    pub fn is_unreported(self) -> bool {
        matches!(self, AttemptState::Decided | AttemptState::Recorded)
    }

    /// Whether a heartbeat has shown it on its machine, and none that it has ended.
    pub fn is_on_machine(self) -> bool {
        matches!(
            self,
            AttemptState::Fetching | AttemptState::Waiting | AttemptState::Running | AttemptState::Checkpointing
        )
    }
}

/// One attempt at running a task. It exists until it has ended or is proven absent, and is removed from the stored
/// records.
#[derive(Clone, Debug)]
pub struct TaskAttempt {
    /// Number of the attempt; 0 until it is recorded.
    pub number: u64,
    machine: MachineId,
    /// Incarnation of the machine's agent when the attempt was placed.
    pub incarnation: u64,
    state: AttemptState,
    /// Time that it gets to write a checkpoint once it has to stop; `None` while it may keep running.
    pub stop_grace_s: Option<f64>,
    /// Whether a start command may have been sent, so that the attempt counts as absent only with a proof.
    pub may_have_been_sent: bool,
    /// Sequence number of the newest heartbeat that may predate the agent's handling of the start command. Only a
    /// later heartbeat that lacks the task proves that it is absent.
    pub last_inconclusive_seq: u64,
    /// The time of the first heartbeat that showed it running.
    pub first_running_at: Option<Micros>,
}

impl TaskAttempt {
    /// Creates an attempt for which no command was sent and that no heartbeat has shown.
    pub fn new(number: u64, machine: MachineId, incarnation: u64, state: AttemptState) -> TaskAttempt {
        TaskAttempt {
            number,
            machine,
            incarnation,
            state,
            stop_grace_s: None,
            may_have_been_sent: false,
            last_inconclusive_seq: 0,
            first_running_at: None,
        }
    }

    /// Returns the attempt's state.
    pub fn state(&self) -> AttemptState {
        self.state
    }

    /// Returns the machine on which it was placed.
    pub fn machine(&self) -> &MachineId {
        &self.machine
    }

    /// Whether it takes resources on its machine and from its team's quota.
    pub fn occupies_resources(&self) -> bool {
        self.state.occupies_resources()
    }

    /// Whether it is running and does not have to stop.
    pub fn keeps_running(&self) -> bool {
        self.state == AttemptState::Running && self.stop_grace_s.is_none()
    }

    /// Whether it may be on its machine, or may still be started there by a command in flight. This holds from its
    /// recording until it has ended or is proven absent.
    pub fn may_be_on_machine(&self) -> bool {
        self.occupies_resources() && self.state != AttemptState::Decided
    }

    /// Sets the state and returns the earlier one. Only [`JobAttempts`](super::job_attempts::JobAttempts) may call
    /// this, as it maintains the sums that depend on the state.
    pub(super) fn replace_state(&mut self, state: AttemptState) -> AttemptState {
        std::mem::replace(&mut self.state, state)
    }

    /// Makes it stop without time for a checkpoint, unless it has to stop already.
    pub(crate) fn stop_without_grace(&mut self) {
        self.stop_grace_s.get_or_insert(0.0);
    }
}
