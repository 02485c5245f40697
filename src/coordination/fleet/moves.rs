//! Machines moving from one shard to another.
//!
//! A machine moves in two writes. In the first the leader asks for it: the machine is put on hold, so that nothing more
//! starts there. The second gives it to the other shard under a new fencing token, above any that its last commands carried, and
//! is safe only if no start can be recorded there any more. Only the holder of a shard records starts on its machines,
//! so the holder makes the second write, once it knows of no start there, not even one on its way to the store.
//! That write is conditional on its lease on the shard, as its starts are.
//!
//! Next to controllers of the first record version the leader makes the second write, as that version expects; see
//! [`crate::coordination::control::versions`].

use crate::coordination::Controller;
use crate::coordination::control::versions::{Mover, mover};
use crate::coordination::store_sync::txns::{MachineChange, ProposedTxn, Purpose};
use crate::storage::schema::{CordonReason, Key, MachineRecord, RecordVersion, Role, to_value};
use crate::types::{FencingToken, MachineId, Micros};
use std::collections::BTreeMap;

/// Machines that are to leave a shard.
#[derive(Default)]
struct Leaving {
    /// No start is recorded or decided on them: each with the shard it goes to.
    empty: Vec<(MachineId, u32)>,
    occupied: Vec<(MachineId, u32)>,
}

impl Controller {
    /// Keeps machines that were to go to other shards and have something on them, unless that has to make way for more
    /// urgent work there, and notes by when the others should move.
    pub(crate) fn plan_moves(&mut self) {
        let mut wanted = false;
        for (shard, machines) in self.machines_to_move() {
            if self.roles_for_moves(shard).is_empty() {
                continue;
            }
            wanted |= !machines.empty.is_empty();
            for (id, to) in machines.occupied {
                if self.holds(Role::Shard(shard)) && self.should_vacate(&id, to) {
                    self.vacate(&id);
                } else {
                    self.write_machine(&id, MachineChange::Move, |record| record.cordon = None);
                }
            }
        }
        let latest = self.now() + Micros::from_millis(self.policy.machine_patience_ms);
        self.fleet.moves_due = wanted.then(|| self.fleet.moves_due.unwrap_or(latest));
    }

    /// Moves machines, those of one shard. Put into words only when it is sent: all controllers draw fencing tokens from one
    /// counter, so what waited for the change budget would mostly be refused, and a refusal costs as much.
    pub(crate) fn send_moves(&mut self) {
        self.fleet.moves_due = None;
        for (shard, machines) in self.machines_to_move() {
            let roles = self.roles_for_moves(shard);
            if !roles.is_empty() && !machines.empty.is_empty() {
                return self.send_moves_of(&roles, machines.empty);
            }
        }
    }

    /// The roles by which this controller may move machines out of a shard, which must last; none if it is not for
    /// it to do.
    fn roles_for_moves(&self, shard: u32) -> Vec<Role> {
        let holder = Role::Shard(shard);
        let leads = self.is_leader() && self.has_valid_leadership_lease();
        if self.record_version() == RecordVersion::FIRST {
            return if leads { vec![Role::Leader] } else { Vec::new() };
        }
        match mover(&self.store.replica, shard) {
            Mover::Holder if self.holds(holder) => vec![holder],
            // Its holder is of the first version, and must still be when the machine moves.
            Mover::Leader if leads => vec![Role::Leader, holder],
            _ => Vec::new(),
        }
    }

    /// Machines on hold to be moved, by the shard that they are to leave.
    fn machines_to_move(&self) -> BTreeMap<u32, Leaving> {
        let mut leaving: BTreeMap<u32, Leaving> = BTreeMap::new();
        for (id, held) in &self.store.replica.machines {
            let Some(CordonReason::MoveToShard(to)) = held.value.cordon else { continue };
            // From the hold's revision on the replica shows every start that others recorded there.
            let visible = self.store.replica.applied_revision.0 >= held.version;
            let writing = self.fleet.machines.get(id).is_some_and(|m| m.writing);
            if !visible || writing || self.autoscaling.leader.deleting.contains(id) {
                continue;
            }
            let machines = leaving.entry(held.value.shard).or_default();
            if self.jobs.usage.is_empty(id) {
                machines.empty.push((id.clone(), to));
            } else {
                machines.occupied.push((id.clone(), to));
            }
        }
        leaving
    }

    /// Gives machines to their new shards, as many as one transaction takes.
    fn send_moves_of(&mut self, roles: &[Role], mut moves: Vec<(MachineId, u32)>) {
        moves.truncate(self.platform.deployment.store.min_txn_ops() - 1);
        let fencing_token = FencingToken(self.store.replica.latest_fencing_token().0 + 1);
        let mut proposal = ProposedTxn::default();
        proposal.unchanged(&self.store.replica, Key::FencingToken);
        for role in roles {
            proposal.unchanged(&self.store.replica, Key::Role(*role));
        }
        proposal.put(Key::FencingToken, to_value(&fencing_token));
        let mut ids = Vec::new();
        for (id, to) in moves {
            let Some(held) = self.store.replica.machines.get(&id) else { continue };
            let record = MachineRecord { shard: to, fencing_token, cordon: None, ..held.value.clone() };
            proposal.unchanged(&self.store.replica, Key::Machine(id.clone()));
            proposal.put(Key::Machine(id.clone()), to_value(&record));
            self.fleet.machines.entry(id.clone()).or_default().writing = true;
            ids.push(id);
        }
        self.send_txn(proposal, Purpose::Machines(MachineChange::Move, ids));
    }
}
