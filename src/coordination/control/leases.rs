//! Leadership and shard leases: acquisition, renewal, release, and failover when a holder is gone.
//!
//! A role's key is bound to its holder's session, so the store deletes it when the session expires. The transaction
//! that acquires a role also draws the next fencing token from the cluster-wide counter. A controller counts as the
//! holder only once the watch has delivered the key: its replica then contains every attempt recorded before the
//! acquisition.

use crate::coordination::Controller;
use crate::coordination::store_sync::{ProposedTxn, TxnPurpose};
use crate::storage::schema::{ControllerRecord, Key, Role, RoleRecord, to_value};
use crate::types::{FencingToken, Micros};
use std::collections::BTreeMap;

/// Pause after a failed transaction on a role or on this controller's own record.
const RETRY_PAUSE: Micros = Micros::from_millis(100);
/// Maximum number of held roles that count towards the delay before a controller takes over a vacant role.
const MAX_COUNTED_ROLES: u64 = 4;

/// The roles that this process holds, and the state of its transactions on roles.
#[derive(Default)]
pub(super) struct RoleLeases {
    /// Time at which each vacant role was first seen without a holder.
    vacant_since: BTreeMap<Role, Micros>,
    /// Roles held, each with its latest known fencing token.
    held: BTreeMap<Role, FencingToken>,
    /// Whether a transaction that acquires, renews or releases a role is in flight.
    is_role_write_in_flight: bool,
    /// Whether a transaction that writes this controller's own record is in flight.
    is_own_record_write_in_flight: bool,
    retry_at: Micros,
}

impl RoleLeases {
    pub(super) fn token(&self, role: Role) -> Option<FencingToken> {
        self.held.get(&role).copied()
    }

    pub(super) fn held_shards(&self) -> impl Iterator<Item = u32> {
        self.held.keys().filter_map(|role| match role {
            Role::Shard(shard) => Some(*shard),
            Role::Leader => None,
        })
    }

    /// Drops all roles and returns those that were held.
    pub(super) fn drop_all(&mut self) -> impl Iterator<Item = Role> + use<> {
        std::mem::take(&mut self.held).into_keys()
    }

    /// Returns the time at which a vacant role was first seen without a holder, which is now if it wasn't known.
    fn vacant_since(&mut self, role: Role, now: Micros) -> Micros {
        *self.vacant_since.entry(role).or_insert(now)
    }
}

impl Controller {
    /// Keeps this controller's own record up to date, takes over vacant roles, and releases shards that siblings should
    /// hold. At most one transaction on a role is in flight at a time.
    pub(crate) fn tick_leases(&mut self) {
        if !self.store.is_synced() {
            return;
        }
        let Some(session) = self.control.session.lease() else { return };
        let now = self.now();
        self.control.siblings.observe(&self.store.replica, &self.label, now);
        if now < self.control.leases.retry_at {
            return;
        }
        self.write_own_record(session);
        if self.control.leases.is_role_write_in_flight {
            return;
        }
        if self.control.isolation.is_isolated() && self.has_connected_sibling() {
            self.release_shard_as_isolated();
            return;
        }
        for role in self.all_roles() {
            if self.should_acquire(role) {
                let next_token = self.store.replica.next_fencing_token();
                self.acquire_role(role, session, next_token);
                return;
            }
        }
        self.rebalance_shards();
    }

    /// Writes this controller's own record if it differs from the stored one.
    fn write_own_record(&mut self, session: u64) {
        let record = ControllerRecord {
            incarnation: self.incarnation,
            is_isolated: self.control.isolation.is_isolated(),
            version: self.record_version(),
        };
        let stored = self.store.replica.controllers.get(&self.label).map(|stored| &stored.value);
        if stored == Some(&record) || self.control.leases.is_own_record_write_in_flight {
            return;
        }
        self.control.leases.is_own_record_write_in_flight = true;
        let mut txn = ProposedTxn::default();
        txn.put_bound(Key::Controller(self.label.clone()), to_value(&record), session);
        self.submit_txn(txn, TxnPurpose::ControllerRecord);
    }

    fn all_roles(&self) -> Vec<Role> {
        std::iter::once(Role::Leader).chain((0..self.shard_count()).map(Role::Shard)).collect()
    }

    /// Returns whether this controller should acquire a role now.
    fn should_acquire(&mut self, role: Role) -> bool {
        if let Some(record) = self.store.replica.roles.get(&role) {
            self.control.leases.vacant_since.remove(&role);
            // The holder is an earlier process under this controller's label, which has certainly ended.
            return record.value.holder == self.label && record.value.incarnation != self.incarnation;
        }
        self.is_failover_due(role)
    }

    /// Returns whether a role has been vacant for long enough that this controller should take it over. Controllers
    /// with a lower failover rank for the role, or with fewer roles, wait less and so take it over first.
    fn is_failover_due(&mut self, role: Role) -> bool {
        let now = self.now();
        let vacant_since = self.control.leases.vacant_since(role, now);
        let rank = u64::from(self.failover_rank(role));
        // When all controllers start at once, some finish the initial sync slightly earlier than others. If one of them
        // took over a shard of which another is the first in order, the shard would be handed back soon, and the state
        // of all its machines would be requested twice.
        let settle_span = Micros::from_millis(self.policy.settle_ms);
        let is_settling = self.store.time_since_sync(now).is_some_and(|elapsed| elapsed < settle_span);
        if is_settling && rank > 0 {
            return false;
        }
        let held_count = self.control.leases.held.len() as u64;
        let step = Micros::from_millis(self.policy.takeover_step_ms);
        let wait = step.0 * (rank + held_count.min(MAX_COUNTED_ROLES) / 2);
        now.since(vacant_since) >= Micros(wait)
    }

    /// Returns the labels of all controllers in sorted order, which is the same on each of them.
    fn controller_labels(&self) -> Vec<&str> {
        let mut labels: Vec<&str> = self.platform.siblings.iter().map(|sibling| sibling.label.as_str()).collect();
        labels.push(&self.label);
        labels.sort_unstable();
        labels
    }

    /// Returns this controller's position in the order in which controllers take over a role; 0 is first.
    pub(super) fn failover_rank(&self, role: Role) -> u32 {
        let labels = self.controller_labels();
        let count = labels.len() as u32;
        let own = labels.iter().position(|label| *label == self.label).unwrap_or(0) as u32;
        let first = match role {
            Role::Leader => 0,
            Role::Shard(shard) => shard % count,
        };
        (own + count - first) % count
    }

    /// Records this controller as a role's holder under a new fencing token.
    fn acquire_role(&mut self, role: Role, session: u64, fencing_token: FencingToken) {
        let record = RoleRecord {
            holder: self.label.clone(),
            incarnation: self.incarnation,
            fencing_token,
            version: self.record_version(),
        };
        let mut txn = ProposedTxn::default();
        txn.unchanged(&self.store.replica, Key::Role(role));
        txn.unchanged(&self.store.replica, Key::FencingToken);
        txn.put_bound(Key::Role(role), to_value(&record), session);
        txn.put(Key::FencingToken, to_value(&fencing_token));
        self.submit_role_txn(txn);
    }

    /// Gives a shard held by this process a new fencing token, unless another transaction on a role is in flight.
    pub(super) fn renew_shard_token(&mut self, shard: u32, fencing_token: FencingToken) {
        let role = Role::Shard(shard);
        let Some(session) = self.control.session.lease() else { return };
        if !self.control.leases.is_role_write_in_flight && self.holds(role) {
            self.acquire_role(role, session, fencing_token);
        }
    }

    /// Deletes a role's key, so that another controller can acquire it.
    pub(super) fn release_role(&mut self, role: Role) {
        let mut txn = ProposedTxn::default();
        txn.unchanged(&self.store.replica, Key::Role(role));
        txn.delete(Key::Role(role));
        self.submit_role_txn(txn);
    }

    fn submit_role_txn(&mut self, txn: ProposedTxn) {
        self.control.leases.is_role_write_in_flight = true;
        self.submit_txn(txn, TxnPurpose::Role);
    }

    /// Handles the end of the transaction that writes this controller's own record.
    pub(crate) fn own_record_txn_ended(&mut self, is_committed: bool) {
        self.control.leases.is_own_record_write_in_flight = false;
        self.lease_txn_ended(is_committed);
    }

    /// Handles the end of a transaction on a role. Its effect is applied once the watch delivers the change.
    pub(crate) fn role_txn_ended(&mut self, is_committed: bool) {
        self.control.leases.is_role_write_in_flight = false;
        self.lease_txn_ended(is_committed);
    }

    fn lease_txn_ended(&mut self, is_committed: bool) {
        if !is_committed {
            self.control.leases.retry_at = self.now() + RETRY_PAUSE;
        }
        self.store.request_fresh_read();
    }

    /// Handles a change of a role's record: this process may have acquired the role, lost it, or hold it under another
    /// fencing token.
    pub(crate) fn role_changed(&mut self, role: Role) {
        let stored = self.store.replica.roles.get(&role).map(|stored| &stored.value);
        let own = stored.filter(|record| record.holder == self.label && record.incarnation == self.incarnation);
        let (before, after) = (self.role_token(role), own.map(|record| record.fencing_token));
        if after == before {
            return;
        }
        let revision = self.store.replica.applied_revision.0;
        let Some(fencing_token) = after else {
            self.control.leases.held.remove(&role);
            tracing::info!(?role, revision, cause = "deleted or acquired by another controller", "role lease lost");
            return self.notify_role_changed(role);
        };
        self.control.leases.held.insert(role, fencing_token);
        if let (Role::Shard(shard), Some(_)) = (role, before) {
            tracing::debug!(
                ?role,
                fencing_token = fencing_token.0,
                revision,
                "shard lease renewed with new fencing token"
            );
            return self.shard_token_renewed(shard);
        }
        tracing::info!(?role, fencing_token = fencing_token.0, revision, "role lease acquired");
        self.notify_role_changed(role);
    }
}
