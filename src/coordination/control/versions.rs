//! Which version of the rules for stored records each controller follows, and what that allows.
//!
//! A controller writes its version down with each role it acquires and with its own entry; one from before versions
//! were announced counts as the first. What a version changes may be relied on only where the record that says so is a
//! precondition of the same transaction: then an older controller that acquires the role in between makes it fail.

use crate::coordination::Controller;
use crate::storage::Replica;
use crate::storage::schema::{RecordVersion, Role};

/// From this version on a leader only asks for a machine to be moved; the holder of the machine's shard, the one
/// controller that records starts there, moves it once nothing is left on it. Before, the leader moved it by
/// itself, which is safe only if each start is conditional on its machine's record.
const HOLDER_MOVES_MACHINES: RecordVersion = RecordVersion(1);

/// Who moves a machine out of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mover {
    /// The controller that holds the shard.
    Holder,
    /// The leader.
    Leader,
    /// Nobody until some controller has acquired the shard.
    Nobody,
}

/// Whether the leader leaves it to the shards' holders to move machines. True while there is no leader: nobody else
/// moves machines then.
pub fn leader_delegates_moves(replica: &Replica, own: RecordVersion) -> bool {
    own >= HOLDER_MOVES_MACHINES && !leader_moves_machines(replica)
}

/// Whether the leader follows the earlier rules, and so moves machines by itself.
fn leader_moves_machines(replica: &Replica) -> bool {
    replica.roles.get(&Role::Leader).is_some_and(|stored| stored.value.version < HOLDER_MOVES_MACHINES)
}

/// Who moves machines out of a shard, as far as the replica shows.
pub fn mover(replica: &Replica, shard: u32) -> Mover {
    if leader_moves_machines(replica) {
        return Mover::Leader;
    }
    match replica.roles.get(&Role::Shard(shard)).map(|stored| stored.value.version) {
        Some(holder) if holder >= HOLDER_MOVES_MACHINES => Mover::Holder,
        Some(_) => Mover::Leader,
        None => Mover::Nobody,
    }
}

/// The oldest version among the controllers that are alive.
fn oldest_record_version(replica: &Replica) -> Option<RecordVersion> {
    replica.controllers.values().map(|node| node.value.version).min()
}

impl Controller {
    /// Version of the rules for stored records that this controller follows.
    pub(crate) fn record_version(&self) -> RecordVersion {
        RecordVersion(self.policy.record_version)
    }

    /// A controller has come or gone: logs the oldest version among all if it is another than before.
    pub(crate) fn record_versions_changed(&mut self) {
        let oldest = oldest_record_version(&self.store.replica);
        if oldest == self.control.oldest_record_version {
            return;
        }
        let (before, own) = (self.control.oldest_record_version, self.record_version());
        self.control.oldest_record_version = oldest;
        let Some(oldest) = oldest else { return };
        if before.is_some_and(|before| oldest < before) && oldest < own {
            tracing::warn!(oldest = oldest.0, own = own.0, "controller with an older record version has joined");
        } else {
            tracing::info!(oldest = oldest.0, own = own.0, "oldest record version among controllers changed");
        }
    }
}
