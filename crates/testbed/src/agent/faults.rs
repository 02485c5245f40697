//! Faults injected into one agent, each for a limited time.

use serde::{Deserialize, Serialize};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A fault of one agent. `serde(rename)` maps it to its name in plans.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentFault {
    /// The agent's process is stalled. Afterwards it executes the commands that arrived meanwhile, unless its
    /// lease has expired.
    #[serde(rename = "Hung")]
    Stalled,
    /// The agent's heartbeats are delivered, but responses and direct commands don't reach it.
    #[serde(rename = "Deaf")]
    ReceivesNothing,
    /// The agent's heartbeats are lost, but direct commands reach it.
    #[serde(rename = "Mute")]
    LosesHeartbeats,
    /// Direct commands are lost, but responses to heartbeats reach the agent.
    #[serde(rename = "Unreachable")]
    LosesCommands,
    /// Direct commands get no response and are executed only when the fault ends.
    #[serde(rename = "LateCommands")]
    DelaysCommands,
    /// Direct commands that were executed and answered reach the agent again, several times and late. Copies that are due
    /// after the end of the fault still arrive.
    #[serde(rename = "RepeatedCommands")]
    RepeatsCommands,
}

struct ActiveFault {
    fault: AgentFault,
    ends_at: Instant,
}

/// The faults of one agent that have not ended. Ended ones may remain in the list, and are ignored.
#[derive(Default)]
pub(super) struct ActiveFaults(Mutex<Vec<ActiveFault>>);

impl ActiveFaults {
    pub(super) fn add(&self, fault: AgentFault, duration: Duration) {
        self.locked().push(ActiveFault { fault, ends_at: Instant::now() + duration });
    }

    pub(super) fn has(&self, fault: AgentFault) -> bool {
        self.ends_at(fault).is_some()
    }

    pub(super) async fn wait_until_ended(&self, fault: AgentFault) {
        while let Some(ends_at) = self.ends_at(fault) {
            tokio::time::sleep_until(ends_at.into()).await;
        }
    }

    /// Returns the time at which the last active fault of this kind ends, or `None` if none is active.
    fn ends_at(&self, fault: AgentFault) -> Option<Instant> {
        let now = Instant::now();
        let active = self.locked();
        active.iter().filter(|active| active.fault == fault && active.ends_at > now).map(|active| active.ends_at).max()
    }

    fn locked(&self) -> MutexGuard<'_, Vec<ActiveFault>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
