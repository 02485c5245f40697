//! The rights of this controller and what they rest on: its session in the store, the leadership and shard leases bound
//! to that session, the fencing tokens it issues, and whether it is isolated from its machines.
//!
//! Owns `Control`. Reads the replica for who holds which role, and the fleet for which machines answer. Promises that a
//! role counts as held only while the replica shows this process as its holder, and that all roles are dropped at once
//! when the session is known to have expired.

mod isolation;
mod leases;
mod machine_tokens;
mod rebalancing;
mod session;
pub mod versions;

use crate::coordination::Controller;
use crate::storage::schema::{RecordVersion, Role};
use crate::types::{FencingToken, Micros};

/// Which roles this controller holds, by which session in the store, and whether it may keep them.
#[derive(Default)]
pub(crate) struct Control {
    session: session::Session,
    leases: leases::RoleLeases,
    siblings: rebalancing::SiblingControllers,
    isolation: isolation::IsolationDetector,
    /// When the next fencing token may be drawn for machines.
    next_token_renewal_at: Micros,
    /// The oldest version of the rules for stored records among the controllers alive.
    oldest_record_version: Option<RecordVersion>,
}

impl Control {
    /// The fencing token under which this process holds a role, if it does.
    pub(crate) fn role_token(&self, role: Role) -> Option<FencingToken> {
        self.leases.token(role)
    }

    /// Whether this process holds a role.
    pub(crate) fn holds(&self, role: Role) -> bool {
        self.role_token(role).is_some()
    }

    /// The shards that this process holds, in order.
    pub(crate) fn held_shards(&self) -> impl Iterator<Item = u32> {
        self.leases.held_shards()
    }

    /// Counts a machine's answer to a direct command, which speaks against isolation.
    pub(crate) fn record_machine_answer(&mut self) {
        self.isolation.record_answer();
    }
}

impl Controller {
    /// Number of shards of the deployment: one for each controller.
    pub(crate) fn shard_count(&self) -> u32 {
        self.platform.deployment.controller_count
    }

    /// The fencing token under which this process holds a role, if it does.
    pub(crate) fn role_token(&self, role: Role) -> Option<FencingToken> {
        self.control.role_token(role)
    }

    /// Whether this process holds a role.
    pub(crate) fn holds(&self, role: Role) -> bool {
        self.control.holds(role)
    }

    /// Whether this process is the leader, as far as the replica shows.
    pub(crate) fn is_leader(&self) -> bool {
        self.holds(Role::Leader)
    }

    /// Whether nobody else can be the leader: the session that the role is bound to has certainly not expired. A leader
    /// cut off from the store knows only old records, and must not rent or delete machines by them.
    pub(crate) fn has_valid_leadership_lease(&self) -> bool {
        let ttl = Micros::from_millis(self.policy.session_ms);
        self.is_leader() && self.control.session.is_certainly_valid(self.now(), ttl)
    }

    /// Label of the controller that holds a role, if it is another one.
    pub(crate) fn other_holder(&self, role: Role) -> Option<String> {
        let record = self.store.replica.roles.get(&role)?;
        Some(record.value.holder.clone()).filter(|holder| *holder != self.label)
    }
}
