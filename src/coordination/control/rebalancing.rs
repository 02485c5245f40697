//! Release of shards to siblings: one at a time to rebalance them after a sibling has returned, and all of them while
//! this controller is isolated from its machines.

use crate::coordination::Controller;
use crate::storage::Replica;
use crate::storage::schema::Role;
use crate::types::Micros;
use std::collections::BTreeMap;

/// The siblings that are able to hold shards.
#[derive(Default)]
pub(super) struct SiblingControllers {
    /// Time since which each sibling has been alive and not isolated.
    connected_since: BTreeMap<String, Micros>,
}

impl SiblingControllers {
    /// Updates the siblings that are alive and not isolated. The time of a sibling starts anew when its isolation ends.
    pub(super) fn observe(&mut self, replica: &Replica, own_label: &str, now: Micros) {
        self.connected_since.retain(|label, _| is_connected(replica, label));
        for label in replica.controllers.keys() {
            if label != own_label && is_connected(replica, label) {
                self.connected_since.entry(label.clone()).or_insert(now);
            }
        }
    }

    /// Returns whether any sibling holds no shard although it has been connected for at least `min_uptime`.
    fn is_any_idle(&self, replica: &Replica, now: Micros, min_uptime: Micros) -> bool {
        let mut siblings = self.connected_since.iter();
        siblings.any(|(label, since)| now.since(*since) >= min_uptime && !holds_shard(replica, label))
    }
}

/// Returns whether a controller is alive and not isolated.
fn is_connected(replica: &Replica, label: &str) -> bool {
    replica.controllers.get(label).is_some_and(|record| !record.value.is_isolated)
}

fn holds_shard(replica: &Replica, label: &str) -> bool {
    let mut roles = replica.roles.iter();
    roles.any(|(role, record)| matches!(role, Role::Shard(_)) && record.value.holder == label)
}

impl Controller {
    /// Returns whether any sibling is alive and not isolated.
    pub(super) fn has_connected_sibling(&self) -> bool {
        let replica = &self.store.replica;
        replica.controllers.keys().any(|label| *label != self.label && is_connected(replica, label))
    }

    /// Releases one shard if this controller holds several and a sibling that has been connected for a while holds
    /// none.
    pub(super) fn rebalance_shards(&mut self) {
        let shards: Vec<Role> = self.control.held_shards().map(Role::Shard).collect();
        let min_uptime = Micros::from_millis(self.policy.hand_back_after_ms);
        if shards.len() < 2 || !self.control.siblings.is_any_idle(&self.store.replica, self.now(), min_uptime) {
            return;
        }
        // The shard for which this controller has the highest failover rank, so that a controller that precedes it
        // takes the shard over.
        let Some(role) = shards.into_iter().max_by_key(|role| self.failover_rank(*role)) else { return };
        tracing::info!(?role, "shard released for rebalancing");
        self.release_role(role);
    }

    /// Releases one shard of this isolated controller, so that a sibling that may reach its machines can acquire it.
    pub(super) fn release_shard_as_isolated(&mut self) {
        let shard = self.control.held_shards().next();
        if let Some(role) = shard.map(Role::Shard) {
            tracing::warn!(?role, "shard released: controller is isolated from its machines");
            self.release_role(role);
        }
    }
}
