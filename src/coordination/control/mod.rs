//! Roles of this controller: its session in the store, the leadership and shard leases bound to that session, the
//! fencing tokens that it issues, and the detection of its isolation from its machines.
//!
//! Owns `Control`. Reads the holders of roles from the replica, and the state of machines from the fleet. Guarantees
//! that a role counts as held only while the replica names this process as its holder, and that all roles are dropped
//! as soon as the session is known to have expired.

mod isolation;
mod leases;
mod machine_tokens;
mod rebalancing;
mod session;
pub mod versions;

use crate::coordination::Controller;
use crate::storage::schema::{RecordVersion, Role};
use crate::types::{FencingToken, Micros};

/// The controller's session, the roles bound to it, and whether the controller is isolated.
#[derive(Default)]
pub(crate) struct Control {
    session: session::Session,
    leases: leases::RoleLeases,
    siblings: rebalancing::SiblingControllers,
    isolation: isolation::IsolationDetector,
    /// Earliest time at which the next fencing token may be drawn for machines.
    next_token_renewal_at: Micros,
    /// The oldest record version among the controllers that are alive.
    oldest_record_version: Option<RecordVersion>,
}

impl Control {
    /// Returns the fencing token under which this process holds a role, if it does.
    pub(crate) fn role_token(&self, role: Role) -> Option<FencingToken> {
        self.leases.token(role)
    }

    /// Returns whether this process holds a role.
    pub(crate) fn holds(&self, role: Role) -> bool {
        self.role_token(role).is_some()
    }

    /// Returns the shards that this process holds, in ascending order.
    pub(crate) fn held_shards(&self) -> impl Iterator<Item = u32> {
        self.leases.held_shards()
    }

    /// Counts a machine's answer to a direct command as evidence against isolation.
    pub(crate) fn record_machine_answer(&mut self) {
        self.isolation.record_answer();
    }
}

impl Controller {
    /// Returns the number of shards of the deployment: one for each controller.
    pub(crate) fn shard_count(&self) -> u32 {
        self.platform.deployment.controller_count
    }

    /// Returns the fencing token under which this process holds a role, if it does.
    pub(crate) fn role_token(&self, role: Role) -> Option<FencingToken> {
        self.control.role_token(role)
    }

    /// Returns whether this process holds a role.
    pub(crate) fn holds(&self, role: Role) -> bool {
        self.control.holds(role)
    }

    /// Returns whether this process is the leader according to the replica.
    pub(crate) fn is_leader(&self) -> bool {
        self.holds(Role::Leader)
    }

    /// Returns whether this process is certain to be the only leader, because the session that the role is bound to has
    /// certainly not expired. A leader without contact to the store knows only old records, and must not rent or delete
    /// machines on their basis.
    pub(crate) fn has_valid_leadership_lease(&self) -> bool {
        let ttl = Micros::from_millis(self.policy.session_ms);
        self.is_leader() && self.control.session.is_certainly_valid(self.now(), ttl)
    }

    /// Returns the label of the sibling that holds a role, if a sibling does.
    pub(crate) fn other_holder(&self, role: Role) -> Option<String> {
        let record = self.store.replica.roles.get(&role)?;
        Some(record.value.holder.clone()).filter(|holder| *holder != self.label)
    }
}
