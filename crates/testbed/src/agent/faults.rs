//! Faults of one agent, each for a while.

use serde::{Deserialize, Serialize};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// What goes wrong with one agent. The names in plans are mapped by `serde(rename)`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentFault {
    /// Its process is stalled, and goes on with what has come meanwhile if its lease lasts.
    #[serde(rename = "Hung")]
    Stalled,
    /// Its heartbeats arrive; responses and direct commands don't.
    #[serde(rename = "Deaf")]
    ReceivesNothing,
    /// Its heartbeats reach nobody; direct commands arrive.
    #[serde(rename = "Mute")]
    LosesHeartbeats,
    /// Direct commands don't reach it; responses to its heartbeats do.
    #[serde(rename = "Unreachable")]
    LosesCommands,
    /// Direct commands are held up on their way, unanswered, and executed when the fault is over.
    #[serde(rename = "LateCommands")]
    DelaysCommands,
}

struct ActiveFault {
    fault: AgentFault,
    ends_at: Instant,
}

/// The faults of one agent that are not over.
#[derive(Default)]
pub(super) struct ActiveFaults(Mutex<Vec<ActiveFault>>);

impl ActiveFaults {
    pub(super) fn add(&self, fault: AgentFault, duration: Duration) {
        self.locked().push(ActiveFault { fault, ends_at: Instant::now() + duration });
    }

    pub(super) fn has(&self, fault: AgentFault) -> bool {
        self.ends_at(fault).is_some()
    }

    pub(super) async fn wait_until_over(&self, fault: AgentFault) {
        while let Some(ends_at) = self.ends_at(fault) {
            tokio::time::sleep_until(ends_at.into()).await;
        }
    }

    /// When the last one of a kind is over; none if there is none now.
    fn ends_at(&self, fault: AgentFault) -> Option<Instant> {
        let now = Instant::now();
        let active = self.locked();
        active.iter().filter(|active| active.fault == fault && active.ends_at > now).map(|active| active.ends_at).max()
    }

    fn locked(&self) -> MutexGuard<'_, Vec<ActiveFault>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
