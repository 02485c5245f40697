//! One attempt at running a task: its state machine, and what was told to its machine's agent about it.

use crate::protocol::agent::ExitCause;
use crate::types::{MachineId, Micros};

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// Placed on a machine, not yet in the stored records; no command may leave.
    Decided,
    /// In the stored records; not yet seen on the machine.
    Recorded,
    /// On the machine, fetching its image.
    Fetching,
    /// On the machine, waiting for the rest of its gang.
    Waiting,
    /// On the machine, running.
    Running,
    /// On the machine, was told to stop and writes a checkpoint.
    Checkpointing,
    /// Seen ended on the machine; to be removed from the stored records.
    Ended(ExitCause),
    /// Proven not to be on the machine; to be removed from the stored records.
    ProvenAbsent,
}

impl AttemptState {
    /// Whether it takes resources on its machine and from its team's quota.
    pub fn occupies_resources(self) -> bool {
        !matches!(self, AttemptState::Ended(_) | AttemptState::ProvenAbsent)
    }

    /// Whether a heartbeat has shown it on its machine, not ended.
    pub fn is_on_machine(self) -> bool {
        matches!(
            self,
            AttemptState::Fetching | AttemptState::Waiting | AttemptState::Running | AttemptState::Checkpointing
        )
    }
}

/// One attempt at running a task. It exists until it is proven to be off its machine and removed from the stored
/// records.
#[derive(Clone, Debug)]
pub struct TaskAttempt {
    /// Number of the attempt; 0 until it is recorded.
    pub number: u64,
    machine: MachineId,
    /// Incarnation of the machine's agent when the attempt was placed.
    pub incarnation: u64,
    state: AttemptState,
    /// Time to write a checkpoint in, once it is to stop; nothing while it may go on.
    pub stop_grace_s: Option<f64>,
    /// A start command may have been sent, so only a proof of absence ends the attempt.
    pub may_have_been_sent: bool,
    /// Sequence number of the newest heartbeat that may predate the agent's handling of the start command. Only a
    /// later heartbeat that lacks the task proves that it is absent.
    pub last_inconclusive_seq: u64,
    /// When a heartbeat first showed it running.
    pub first_running_at: Option<Micros>,
}

impl TaskAttempt {
    /// An attempt that no command was sent for and no heartbeat has shown.
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

    /// How far it has come.
    pub fn state(&self) -> AttemptState {
        self.state
    }

    /// The machine that it was placed on.
    pub fn machine(&self) -> &MachineId {
        &self.machine
    }

    /// Whether it takes resources on its machine and from its team's quota.
    pub fn occupies_resources(&self) -> bool {
        self.state.occupies_resources()
    }

    /// Whether it runs and is not told to stop.
    pub fn keeps_running(&self) -> bool {
        self.state == AttemptState::Running && self.stop_grace_s.is_none()
    }

    /// Whether it may be on its machine, or get there by a command that has left: only a proof of absence or its end
    /// says otherwise.
    pub fn may_be_on_machine(&self) -> bool {
        self.occupies_resources() && self.state != AttemptState::Decided
    }

    /// Sets the state and returns the earlier one. Only [`JobAttempts`](super::job_attempts::JobAttempts) may call
    /// this: it keeps the sums that depend on the state.
    pub(super) fn replace_state(&mut self, state: AttemptState) -> AttemptState {
        std::mem::replace(&mut self.state, state)
    }

    /// Has it stop at once, unless it was told to stop before.
    pub(crate) fn stop_without_grace(&mut self) {
        self.stop_grace_s.get_or_insert(0.0);
    }
}
