//! Record versions: the version of the rules for stored records that each controller follows, and what it permits.
//!
//! A controller stores its record version with each role that it acquires and in its own record; a controller that
//! predates record versions counts as following the first. A transaction may rely on the rules of a version only if the
//! record that names the version is one of its preconditions: if an older controller acquires the role in between, the
//! transaction fails.

use crate::coordination::Controller;
use crate::storage::Replica;
use crate::storage::schema::{RecordVersion, Role};

/// First version in which a leader only requests the move of a machine, and the holder of the machine's shard moves it
/// once nothing is left on it; only the holder records attempts on that machine. In earlier versions the leader moves
/// machines itself, which is safe only if the machine's record is a precondition of each attempt.
const HOLDER_MOVES_MACHINES: RecordVersion = RecordVersion(1);

/// First version in which the stored loans of a job's tasks say which shard schedules them. A controller of an earlier
/// version ignores the loans: it would start lent tasks itself, and not record the ends of tasks lent to its shard.
const LOANS_ASSIGN_TASKS: RecordVersion = RecordVersion(2);

/// The controller that moves machines out of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mover {
    /// The controller that holds the shard.
    Holder,
    /// The leader.
    Leader,
    /// No controller, until one has acquired the shard.
    Nobody,
}

/// Returns whether the leader leaves the moves of machines to the holders of their shards. Also true while there is no
/// leader, because only the holders can move machines then.
pub fn leader_delegates_moves(replica: &Replica, own: RecordVersion) -> bool {
    own >= HOLDER_MOVES_MACHINES && !leader_moves_machines(replica)
}

/// Returns whether the leader follows an earlier version and so moves machines itself.
fn leader_moves_machines(replica: &Replica) -> bool {
    replica.roles.get(&Role::Leader).is_some_and(|stored| stored.value.version < HOLDER_MOVES_MACHINES)
}

/// Returns the controller that moves machines out of a shard, according to the replica.
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

/// Returns the oldest record version among the controllers that are alive.
fn oldest_record_version(replica: &Replica) -> Option<RecordVersion> {
    replica.controllers.values().map(|controller| controller.value.version).min()
}

/// Returns whether tasks may be lent: this controller, all that are alive and all that hold a role follow the loans.
pub fn may_lend_tasks(replica: &Replica, own: RecordVersion) -> bool {
    let holders = replica.roles.values().map(|stored| stored.value.version);
    let versions = oldest_record_version(replica).into_iter().chain(holders);
    versions.chain([own]).all(|version| version >= LOANS_ASSIGN_TASKS)
}

impl Controller {
    /// Returns the record version that this controller follows.
    pub(crate) fn record_version(&self) -> RecordVersion {
        RecordVersion(self.policy.record_version)
    }

    /// Handles a change of the controllers that are alive: logs their oldest record version if it has changed.
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
