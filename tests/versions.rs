//! What the record versions in the roles of the replica permit: which controller moves machines out of a shard, and
//! whether tasks are lent.

use burlhatch::coordination::control::versions::{Mover, leader_delegates_moves, may_lend_tasks, mover};
use burlhatch::storage::Replica;
use burlhatch::storage::schema::{Key, RecordVersion, Role, RoleRecord, to_value};
use burlhatch::types::FencingToken;

const FIRST: RecordVersion = RecordVersion::FIRST;
const LATER: RecordVersion = RecordVersion(1);
const LENDING: RecordVersion = RecordVersion(2);

fn replica(leader: Option<RecordVersion>, holder: Option<RecordVersion>) -> Replica {
    let mut replica = Replica::default();
    for (role, version) in [(Role::Leader, leader), (Role::Shard(2), holder)] {
        if let Some(version) = version {
            let record =
                RoleRecord { holder: "node-1".into(), incarnation: 1, fencing_token: FencingToken(1), version };
            replica.apply(&Key::Role(role).to_string(), Some(&to_value(&record)), 1);
        }
    }
    replica
}

#[test]
fn the_leader_moves_machines_if_either_controller_follows_the_first_version() {
    assert_eq!(mover(&replica(Some(FIRST), Some(FIRST)), 2), Mover::Leader);
    assert_eq!(mover(&replica(Some(FIRST), Some(LATER)), 2), Mover::Leader);
    assert_eq!(mover(&replica(Some(FIRST), None), 2), Mover::Leader);
    assert_eq!(mover(&replica(Some(LATER), Some(FIRST)), 2), Mover::Leader);
}

#[test]
fn the_holder_moves_machines_if_no_role_has_the_first_version() {
    assert_eq!(mover(&replica(Some(LATER), Some(LATER)), 2), Mover::Holder);
    assert_eq!(mover(&replica(None, Some(LATER)), 2), Mover::Holder);
    assert_eq!(mover(&replica(Some(LATER), None), 2), Mover::Nobody);
}

#[test]
fn moves_are_not_delegated_if_the_leader_or_this_controller_follows_the_first_version() {
    assert!(leader_delegates_moves(&replica(Some(LATER), None), LATER));
    assert!(leader_delegates_moves(&replica(None, None), LATER));
    assert!(!leader_delegates_moves(&replica(Some(FIRST), None), LATER));
    assert!(!leader_delegates_moves(&replica(Some(LATER), None), FIRST));
    assert!(!leader_delegates_moves(&replica(None, None), FIRST));
}

/// A controller that doesn't follow the loans would start lent tasks itself.
#[test]
fn tasks_are_lent_only_if_every_holder_and_this_controller_follow_the_loans() {
    assert!(may_lend_tasks(&replica(Some(LENDING), Some(LENDING)), LENDING));
    assert!(!may_lend_tasks(&replica(Some(LATER), Some(LENDING)), LENDING));
    assert!(!may_lend_tasks(&replica(Some(LENDING), Some(LATER)), LENDING));
    assert!(!may_lend_tasks(&replica(Some(LENDING), Some(LENDING)), LATER));
}
