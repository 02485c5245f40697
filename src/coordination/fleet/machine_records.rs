//! Stored records of machines: the effects of their changes, and how this controller changes them.

use crate::coordination::Controller;
use crate::coordination::jobs::cancellation_log::AbsenceProof;
use crate::coordination::store_sync::{MachineChange, ProposedTxn, TxnPurpose};
use crate::storage::schema::{Key, MachineRecord, Role, to_value};
use crate::types::{FencingToken, MachineId, Resources};

impl Controller {
    /// Returns the role whose holder decides about a machine, if the machine has a record.
    pub(crate) fn role_of_machine(&self, id: &MachineId) -> Option<Role> {
        self.store.replica.machines.get(id).map(|m| Role::Shard(m.value.shard))
    }

    /// Returns the fencing token for commands to a machine, if we hold its shard.
    pub(crate) fn fencing_token(&self, id: &MachineId) -> Option<FencingToken> {
        let record = &self.store.replica.machines.get(id)?.value;
        let fencing_token = self.role_token(Role::Shard(record.shard))?;
        Some(fencing_token.max(record.fencing_token))
    }

    /// Returns the resources of a machine by its type. They are zero if the machine or its type is not known.
    pub(crate) fn machine_resources(&self, id: &MachineId) -> Resources {
        let Some(record) = self.store.replica.machines.get(id) else { return Resources::default() };
        self.autoscaling.resources_of_type(&record.value.machine_type)
    }

    /// Returns the resources of a machine that no attempt uses. Attempts count until they are proven absent.
    pub(crate) fn free_resources(&self, id: &MachineId) -> Resources {
        self.machine_resources(id).minus(&self.jobs.usage().used_on(id))
    }

    /// Returns the machines of a shard according to the stored records.
    fn machines_of_shard(&self, shard: u32) -> Vec<MachineId> {
        let machines = self.store.replica.machines.iter();
        machines.filter(|(_, record)| record.value.shard == shard).map(|(id, _)| id.clone()).collect()
    }

    /// Updates the time since which no task has used resources on a machine.
    pub(crate) fn update_idle_since(&mut self, id: &MachineId) {
        let now = self.now();
        let is_busy = self.jobs.usage().is_busy(id);
        if let Some(machine) = self.fleet.machine_mut(id) {
            if is_busy {
                machine.idle_since = None;
            } else {
                machine.idle_since.get_or_insert(now);
            }
        }
    }

    /// Handles a write or the deletion of a machine's stored record.
    pub(crate) fn machine_record_changed(&mut self, id: &MachineId) {
        self.track_zone_of_machine(id);
        match self.store.replica.machines.get(id).map(|stored| stored.value.clone()) {
            None => self.machine_record_deleted(id),
            Some(record) => self.machine_record_written(id, &record),
        }
    }

    /// Removes a machine and proves absent all attempts on it, as it was deleted with them.
    fn machine_record_deleted(&mut self, id: &MachineId) {
        for task in self.jobs.usage().attempts_on(id) {
            self.attempt_proven_absent(&task, AbsenceProof::MachineRecordDeleted);
        }
        self.fleet.machines.remove(id);
    }

    fn machine_record_written(&mut self, id: &MachineId, record: &MachineRecord) {
        let now = self.now();
        let fencing_token = self.fencing_token(id);
        let is_empty = self.jobs.usage().is_empty(id);
        let machine = self.fleet.machine_or_insert(id);
        machine.addr = record.addr.parse().ok().or(machine.addr);
        if machine.ownership.set_shard(record.shard) {
            machine.owner_changed(now);
        }
        if is_empty {
            machine.idle_since.get_or_insert(now);
        }
        machine.ownership.record_changed(fencing_token);
        if machine.commands.is_pending() || !machine.ownership.is_token_confirmed() {
            self.fleet.queue_direct_message(id);
        }
        self.accept_heartbeats_of_registered(id);
    }

    /// Processes the heartbeats that a machine sent before it had a record.
    fn accept_heartbeats_of_registered(&mut self, id: &MachineId) {
        for unregistered in self.fleet.take_unregistered() {
            if unregistered.heartbeat.machine == *id {
                self.heartbeat(unregistered.request_id, unregistered.heartbeat, true);
            } else {
                self.fleet.unregistered.push(unregistered);
            }
        }
    }

    /// Resets the machines and jobs of a shard when it was acquired or lost.
    pub(crate) fn shard_holder_changed(&mut self, shard: u32) {
        let now = self.now();
        for id in self.machines_of_shard(shard) {
            self.fleet.machine_or_insert(&id).owner_changed(now);
            self.fleet.queue_direct_message(&id);
        }
        self.reset_shard_jobs(shard);
        self.scheduling.request_cycle();
    }

    /// Handles a new fencing token of a shard under the same holder. What is known stays valid, but from now on only
    /// messages that show the new token prove anything.
    pub(crate) fn shard_token_renewed(&mut self, shard: u32) {
        for id in self.machines_of_shard(shard) {
            let fencing_token = self.fencing_token(&id);
            let Some(machine) = self.fleet.machine_mut(&id) else { continue };
            machine.ownership.token_renewed(fencing_token);
            if machine.commands.is_pending() || !machine.ownership.is_token_confirmed() {
                self.fleet.queue_direct_message(&id);
            }
        }
    }

    /// Handles the outcome of a transaction on the records of machines.
    pub(crate) fn machine_txn_finished(&mut self, ids: &[MachineId]) {
        for id in ids {
            if let Some(machine) = self.fleet.machine_mut(id) {
                machine.record_write_finished();
            }
            self.autoscaling.deletion_settled(id);
        }
    }

    /// Changes a machine's record, on the preconditions that the record is as we know it and that we still hold the
    /// role by which we decide about it. Without them, a conclusion that a controller without contact draws from
    /// silence might take effect long after its successor has seen the machine alive.
    pub(crate) fn write_machine(
        &mut self,
        id: &MachineId,
        kind: MachineChange,
        change: impl FnOnce(&mut MachineRecord),
    ) {
        let Some(machine) = self.fleet.machines.get_mut(id) else { return };
        let Some(stored) = self.store.replica.machines.get(id) else { return };
        let shard = Role::Shard(stored.value.shard);
        let role = [shard, Role::Leader].into_iter().find(|role| self.control.holds(*role));
        let Some(role) = role.filter(|_| !machine.is_record_changing()) else { return };
        let mut record = stored.value.clone();
        change(&mut record);
        if record == stored.value {
            return;
        }
        machine.record_change_started();
        let mut proposal = ProposedTxn::default();
        proposal.unchanged(&self.store.replica, Key::Role(role));
        proposal.unchanged(&self.store.replica, Key::Machine(id.clone()));
        proposal.put(Key::Machine(id.clone()), to_value(&record));
        self.submit_txn(proposal, TxnPurpose::Machines(kind, vec![id.clone()]));
    }
}
