//! Which version of the rules for stored records each controller follows, and what that allows.
//!
//! A controller writes its version down with each role it takes and with its own entry; one from before versions were
//! announced counts as the first. What a version changes may be relied on only where the record that says so is a
//! condition of the same transaction: then an older controller that takes the role in between makes it fail.

use crate::storage::Replica;
use crate::storage::schema::{RecordVersion, Role};

/// From this version on a leader only asks for a machine to be moved; the holder of the machine's shard, the one
/// controller that records starts there, moves it once nothing is left on it. Before, the leader moved it by
/// itself, which is safe only if each start is conditional on its machine's record.
const HOLDER_MOVES: RecordVersion = RecordVersion(1);

/// Who moves a machine out of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mover {
    /// The controller that holds the shard.
    Holder,
    /// Whoever leads.
    Leader,
    /// Nobody until somebody has taken the shard.
    Nobody,
}

/// Whether whoever leads leaves it to the holders of shards to move machines. True while nobody leads: no machine is
/// moved then by anybody else.
pub fn leader_leaves_moves(replica: &Replica, own: RecordVersion) -> bool {
    own >= HOLDER_MOVES && !leader_moves(replica)
}

/// Whether somebody leads by the rules of before, and so moves machines by itself.
fn leader_moves(replica: &Replica) -> bool {
    replica.roles.get(&Role::Leader).is_some_and(|held| held.value.version < HOLDER_MOVES)
}

/// Who moves machines out of a shard, as far as the replica shows.
pub fn mover(replica: &Replica, shard: u32) -> Mover {
    if leader_moves(replica) {
        return Mover::Leader;
    }
    match replica.roles.get(&Role::Shard(shard)).map(|held| held.value.version) {
        Some(holder) if holder >= HOLDER_MOVES => Mover::Holder,
        Some(_) => Mover::Leader,
        None => Mover::Nobody,
    }
}

/// The oldest version among the controllers that are alive.
pub fn oldest(replica: &Replica) -> Option<RecordVersion> {
    replica.nodes.values().map(|node| node.value.version).min()
}
