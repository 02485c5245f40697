//! History of agents that were redirected to another controller, used to detect agents that can't reach it.

use crate::types::MachineId;
use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// Time for which a redirect is remembered. An agent that comes back within this time could not reach the controller to
/// which it was redirected; after this time it is redirected again.
const REDIRECT_RETENTION: Duration = Duration::from_secs(30);

/// Time at which each agent was last redirected.
#[derive(Default)]
pub(super) struct RedirectHistory(Mutex<Redirects>);

#[derive(Default)]
struct Redirects {
    redirected_at: HashMap<MachineId, Instant>,
    pruned_at: Option<Instant>,
}

impl RedirectHistory {
    /// Whether the agent was redirected recently. If not, records a redirect now.
    pub(super) fn was_redirected_recently(&self, machine: &MachineId) -> bool {
        let now = Instant::now();
        let mut redirects = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        redirects.prune(now);
        let last = redirects.redirected_at.get(machine);
        if last.is_some_and(|at| is_recent(*at, now)) {
            return true;
        }
        redirects.redirected_at.insert(machine.clone(), now);
        false
    }
}

impl Redirects {
    /// Deletes old entries. Because this reads all entries, it is done at most once per retention time.
    fn prune(&mut self, now: Instant) {
        if self.pruned_at.is_some_and(|at| is_recent(at, now)) {
            return;
        }
        self.redirected_at.retain(|_, at| is_recent(*at, now));
        self.pruned_at = Some(now);
    }
}

fn is_recent(at: Instant, now: Instant) -> bool {
    now.duration_since(at) < REDIRECT_RETENTION
}
