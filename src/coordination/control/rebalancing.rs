//! Shards that this controller releases for others: to balance them after a sibling has come back, and all of them
//! while it is isolated from its machines.

use crate::coordination::Controller;
use crate::storage::Replica;
use crate::storage::schema::Role;
use crate::types::Micros;
use std::collections::BTreeMap;

/// The other controllers, as far as they can hold shards.
#[derive(Default)]
pub(super) struct SiblingControllers {
    /// Since when each has been seen to be alive and not isolated.
    connected_since: BTreeMap<String, Micros>,
}

impl SiblingControllers {
    /// Notes which siblings are alive. One that was isolated counts from when it no longer is.
    pub(super) fn observe(&mut self, replica: &Replica, own_label: &str, now: Micros) {
        self.connected_since.retain(|label, _| is_connected(replica, label));
        for label in replica.controllers.keys() {
            if label != own_label && is_connected(replica, label) {
                self.connected_since.entry(label.clone()).or_insert(now);
            }
        }
    }

    /// Whether a sibling that has been back for a while holds no shard.
    fn is_any_idle(&self, replica: &Replica, now: Micros, min_uptime: Micros) -> bool {
        let mut siblings = self.connected_since.iter();
        siblings.any(|(label, since)| now.since(*since) >= min_uptime && !holds_shard(replica, label))
    }
}

/// Whether a controller is alive and not isolated.
fn is_connected(replica: &Replica, label: &str) -> bool {
    replica.controllers.get(label).is_some_and(|record| !record.value.is_isolated)
}

fn holds_shard(replica: &Replica, label: &str) -> bool {
    let mut roles = replica.roles.iter();
    roles.any(|(role, record)| matches!(role, Role::Shard(_)) && record.value.holder == label)
}

impl Controller {
    /// Whether any other controller can reach its machines.
    pub(super) fn has_connected_sibling(&self) -> bool {
        let replica = &self.store.replica;
        replica.controllers.keys().any(|label| *label != self.label && is_connected(replica, label))
    }

    /// Releases one shard if this controller holds several and a sibling that has been back for a while holds none.
    pub(super) fn rebalance_shards(&mut self) {
        let shards: Vec<Role> = self.control.held_shards().map(Role::Shard).collect();
        let min_uptime = Micros::from_millis(self.policy.hand_back_after_ms);
        if shards.len() < 2 || !self.control.siblings.is_any_idle(&self.store.replica, self.now(), min_uptime) {
            return;
        }
        // The one in whose order this controller stands last, so that its first holder takes it.
        let Some(role) = shards.into_iter().max_by_key(|role| self.failover_rank(*role)) else { return };
        tracing::info!(?role, "shard released for rebalancing");
        self.release_role(role);
    }

    /// A controller that can't reach its machines leaves its shards to a sibling that may.
    pub(super) fn release_shard_as_isolated(&mut self) {
        let shard = self.control.held_shards().next();
        if let Some(role) = shard.map(Role::Shard) {
            tracing::warn!(?role, "shard released: controller is isolated from its machines");
            self.release_role(role);
        }
    }
}
