//! Moves of machines from one shard to another.
//!
//! A machine moves in two writes. In the first, the leader cordons the machine, so that nothing more starts there. The
//! second assigns it to the other shard under a new fencing token, higher than those of all its earlier commands. It is
//! safe only if no start can be recorded on the machine any more. Only the holder of a shard records starts on its
//! machines, so the holder makes the second write, once it knows of no start there, not even one in transit to the
//! store. That write has the same precondition as its starts: its lease on the shard.
//!
//! If there are controllers of the first record version, the leader makes the second write, as that version expects;
//! see [`crate::coordination::control::versions`].

use crate::coordination::Controller;
use crate::coordination::control::versions::{Mover, mover};
use crate::coordination::fleet::machine::Machine;
use crate::coordination::store_sync::{MachineChange, ProposedTxn, TxnPurpose};
use crate::storage::schema::{CordonReason, Key, MachineRecord, RecordVersion, Role, to_value};
use crate::types::{MachineId, Micros};
use std::collections::BTreeMap;

/// A machine and the shard to which it moves.
struct ShardMove {
    machine: MachineId,
    to: u32,
}

/// Machines that are to leave a shard.
#[derive(Default)]
struct DepartingMachines {
    /// Machines on which no start is recorded or decided.
    empty: Vec<ShardMove>,
    occupied: Vec<ShardMove>,
}

impl Controller {
    /// Cancels the moves of machines with tasks on them, unless the other shard has more urgent work that preempts the
    /// tasks, and sets the time by which the other machines should move.
    pub(super) fn plan_shard_moves(&mut self) {
        let mut has_moves = false;
        for (shard, departing) in self.departing_machines() {
            if self.roles_for_moves(shard).is_empty() {
                continue;
            }
            has_moves |= !departing.empty.is_empty();
            for ShardMove { machine, to } in departing.occupied {
                let should_drain = self.should_drain_for(&machine, to) || self.should_consolidate_for(&machine, to);
                if self.holds(Role::Shard(shard)) && should_drain {
                    self.drain(&machine);
                } else {
                    self.write_machine(&machine, MachineChange::Move, |record| record.cordon = None);
                }
            }
        }
        let latest = self.now() + Micros::from_millis(self.policy.machine_patience_ms);
        self.fleet.shard_moves_due_at = has_moves.then(|| self.fleet.shard_moves_due_at.unwrap_or(latest));
    }

    /// Moves machines out of one shard. The transaction is built only when it is sent: all controllers draw fencing
    /// tokens from one counter, so a transaction that waited for the write budget would mostly be refused, and a
    /// refusal costs as much as a success.
    pub(crate) fn send_shard_moves(&mut self) {
        self.fleet.shard_moves_due_at = None;
        for (shard, departing) in self.departing_machines() {
            let roles = self.roles_for_moves(shard);
            if !roles.is_empty() && !departing.empty.is_empty() {
                return self.send_moves_under(&roles, departing.empty);
            }
        }
    }

    /// Returns the roles by which this controller may move machines out of a shard, whose records must not change until
    /// the move. Empty if another controller has to make the moves.
    fn roles_for_moves(&self, shard: u32) -> Vec<Role> {
        let holder = Role::Shard(shard);
        let leads = self.is_leader() && self.has_valid_leadership_lease();
        if self.record_version() == RecordVersion::FIRST {
            return if leads { vec![Role::Leader] } else { Vec::new() };
        }
        match mover(&self.store.replica, shard) {
            Mover::Holder if self.holds(holder) => vec![holder],
            // The shard's holder is of the first version, and must still hold the shard when the machine moves.
            Mover::Leader if leads => vec![Role::Leader, holder],
            _ => Vec::new(),
        }
    }

    /// Returns the machines that are cordoned to be moved, by the shard that they are to leave.
    fn departing_machines(&self) -> BTreeMap<u32, DepartingMachines> {
        let mut by_shard: BTreeMap<u32, DepartingMachines> = BTreeMap::new();
        for (id, stored) in &self.store.replica.machines {
            let Some(CordonReason::MoveToShard(to)) = stored.value.cordon else { continue };
            // Once the replica has reached the revision of the cordon, it shows every start that others recorded there.
            let is_visible = self.store.replica.applied_revision.0 >= stored.version;
            let is_changing = self.fleet.machine(id).is_some_and(Machine::is_record_changing);
            if !is_visible || is_changing || self.autoscaling.is_deleting(id) {
                continue;
            }
            let departing = by_shard.entry(stored.value.shard).or_default();
            let shard_move = ShardMove { machine: id.clone(), to };
            if self.jobs.usage().is_empty(id) {
                departing.empty.push(shard_move);
            } else {
                departing.occupied.push(shard_move);
            }
        }
        by_shard
    }

    /// Assigns machines to their new shards, as many as one transaction takes, on the precondition that the roles are
    /// unchanged.
    fn send_moves_under(&mut self, roles: &[Role], moves: Vec<ShardMove>) {
        let limits = self.store.txn_limits();
        let fencing_token = self.store.replica.next_fencing_token();
        let mut proposal = ProposedTxn::default();
        proposal.unchanged(&self.store.replica, Key::FencingToken);
        for role in roles {
            proposal.unchanged(&self.store.replica, Key::Role(*role));
        }
        proposal.put(Key::FencingToken, to_value(&fencing_token));
        let mut ids = Vec::new();
        for ShardMove { machine: id, to } in moves {
            let Some(stored) = self.store.replica.machines.get(&id) else { continue };
            let record = MachineRecord { shard: to, fencing_token, cordon: None, ..stored.value.clone() };
            let mut part = ProposedTxn::default();
            part.unchanged(&self.store.replica, Key::Machine(id.clone()));
            part.put(Key::Machine(id.clone()), to_value(&record));
            if !limits.append_within(&mut proposal, part) {
                break;
            }
            self.fleet.machine_or_insert(&id).record_change_started();
            ids.push(id);
        }
        self.send_txn(proposal, TxnPurpose::Machines(MachineChange::Move, ids));
    }
}
