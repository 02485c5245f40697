//! Deletion of machines: the requests to the cloud, and the removal of the deleted machines' records.

use crate::coordination::Controller;
use crate::coordination::autoscaling::cloud_client::CloudRequest;
use crate::coordination::store_sync::{MachineChange, ProposedTxn, TxnPurpose};
use crate::storage::schema::{CordonReason, Key, MachineRecord, to_value};
use crate::types::{MachineId, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of machines that one request deletes.
const MAX_DELETIONS_PER_REQUEST: usize = 100;
/// Time for which a confirmed deletion is remembered, as the cloud's listing lags and heartbeats may arrive late.
const CONFIRMATION_RETENTION: Micros = Micros::from_millis(600_000);

/// Machines that are being deleted or were recently deleted.
#[derive(Default)]
pub(super) struct Deletions {
    /// Machines whose deletion was requested and whose records are not removed yet.
    in_progress: BTreeSet<MachineId>,
    confirmed_at: BTreeMap<MachineId, Micros>,
}

impl Deletions {
    /// Returns whether the deletion of a machine was requested and is not settled.
    pub fn is_in_progress(&self, id: &MachineId) -> bool {
        self.in_progress.contains(id)
    }

    /// Returns whether the cloud recently confirmed the deletion of a machine.
    pub fn is_confirmed(&self, id: &MachineId) -> bool {
        self.confirmed_at.contains_key(id)
    }

    /// Marks machines as being deleted and returns those that were not marked before.
    fn begin(&mut self, ids: Vec<MachineId>) -> Vec<MachineId> {
        ids.into_iter().filter(|id| self.in_progress.insert(id.clone())).collect()
    }

    /// Records that the cloud has confirmed the deletion of a machine.
    pub fn confirm(&mut self, id: MachineId, now: Micros) {
        self.confirmed_at.insert(id, now);
    }

    /// Ends the deletion of a machine: its record is removed, or the removal failed and may be requested again.
    pub fn settle(&mut self, id: &MachineId) {
        self.in_progress.remove(id);
    }

    /// Forgets the deletions in progress. A new leader does not know what the previous leader requested.
    pub fn forget_in_progress(&mut self) {
        self.in_progress.clear();
    }

    /// Forgets confirmations so old that no lagging listing or late heartbeat can still show the machine.
    pub fn forget_old_confirmations(&mut self, now: Micros) {
        self.confirmed_at.retain(|_, at| now.since(*at) < CONFIRMATION_RETENTION);
    }
}

impl Controller {
    /// Requests the deletion of machines from the cloud, unless it is in progress already.
    pub(super) fn delete_machines(&mut self, ids: Vec<MachineId>) {
        let ids = self.autoscaling.deletions.begin(ids);
        for part in ids.chunks(MAX_DELETIONS_PER_REQUEST) {
            self.send_cloud_request(CloudRequest::DeleteMachines(part.to_vec()));
        }
    }

    /// Deletes machines cordoned for deletion: force-deleted machines at once, retired machines when no attempt is
    /// recorded on them.
    pub(super) fn delete_cordoned_machines(&mut self) {
        let mut ids = Vec::new();
        for (id, machine) in &self.store.replica.machines {
            if self.autoscaling.is_deleting(id) {
                continue;
            }
            // Controllers that see the cordon record no more attempts on the machine. An attempt recorded concurrently
            // with the cordon is lost with the machine, and its task starts again elsewhere.
            let is_empty = self.store.replica.applied_revision.0 >= machine.version && self.jobs.usage().is_empty(id);
            match machine.value.cordon {
                Some(CordonReason::ForceDelete) => ids.push(id.clone()),
                Some(CordonReason::Retire) if is_empty => ids.push(id.clone()),
                _ => {}
            }
        }
        self.delete_machines(ids);
    }

    /// Handles the cloud's confirmation of a deletion.
    pub(super) fn deletion_confirmed(&mut self, ids: Vec<MachineId>) {
        let now = self.now();
        let mut recorded = Vec::new();
        for id in ids {
            tracing::info!(machine = %id, "machine deleted");
            self.autoscaling.provisioning.remove(&id);
            self.autoscaling.deletions.confirm(id.clone(), now);
            if self.store.replica.machines.contains_key(&id) {
                recorded.push(id);
            } else {
                self.autoscaling.deletions.settle(&id);
            }
        }
        self.delete_machine_records(recorded);
    }

    /// Removes the records of deleted machines. This proves to the shard holders that all attempts on them are absent.
    pub(crate) fn delete_machine_records(&mut self, ids: Vec<MachineId>) {
        let is_retired = |id: &MachineId| {
            self.store
                .replica
                .machines
                .get(id)
                .is_some_and(|machine| machine.value.cordon == Some(CordonReason::Retire))
        };
        let (retired, lost): (Vec<_>, Vec<_>) = ids.into_iter().partition(is_retired);
        self.delete_machine_records_as(MachineChange::Retire, &retired);
        self.delete_machine_records_as(MachineChange::Replace, &lost);
    }

    fn delete_machine_records_as(&mut self, change: MachineChange, ids: &[MachineId]) {
        let removals = ids.iter().map(|id| (id.clone(), self.propose_record_removal(id)));
        for (ids, proposal) in self.store.txn_limits().pack(removals) {
            self.submit_txn(proposal, TxnPurpose::Machines(change, ids));
        }
    }

    fn propose_record_removal(&self, id: &MachineId) -> ProposedTxn {
        let replica = &self.store.replica;
        let mut proposal = ProposedTxn::default();
        let key = Key::Machine(id.clone());
        proposal.unchanged(replica, key.clone());
        // While a fleet record names the machine, its own record must be kept and mark it as deleted.
        match (replica.machine_batch_of(id), replica.machines.get(id)) {
            (Some(_), Some(machine)) => {
                let record = MachineRecord { cordon: Some(CordonReason::Deleted), ..machine.value.clone() };
                proposal.put(key, to_value(&record));
            }
            _ => proposal.delete(key),
        }
        proposal
    }
}
