//! Garbage collection: the leader deletes records that are no longer needed, a few at a time.

use crate::coordination::Controller;
use crate::coordination::store_sync::pending_txns::TxnPurpose;
use crate::coordination::store_sync::proposed_txn::ProposedTxn;
use crate::storage::Replica;
use crate::storage::schema::{Key, Role};
use crate::types::{JobId, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// Time after which an unreferenced dependency list is deleted. A list is stored before the job that names it, but the
/// job follows within this time.
const UNREFERENCED_LIST_RETENTION: Micros = Micros::from_millis(60_000);
/// Interval between two collections.
const COLLECTION_INTERVAL: Micros = Micros::from_millis(2000);

/// The state of garbage collection on the leader.
#[derive(Default)]
pub(super) struct GarbageCollection {
    next_at: Micros,
    /// Time at which each dependency list that no job names was first seen as such.
    unreferenced_since: BTreeMap<String, Micros>,
}

impl GarbageCollection {
    /// Updates the dependency lists that no job names: their submission failed, or their job has finished and is
    /// deleted.
    fn observe_lists(&mut self, replica: &Replica, now: Micros) {
        if replica.dependency_list_parts.is_empty() {
            return self.unreferenced_since.clear();
        }
        let parts = replica.jobs.values().filter_map(|known| known.record.dependency_list_parts.as_ref());
        let referenced: BTreeSet<&String> = parts.map(|parts| &parts.name).collect();
        let lists = replica.dependency_list_parts.keys();
        let unreferenced: BTreeSet<&String> = lists.filter(|name| !referenced.contains(name)).collect();
        self.unreferenced_since.retain(|name, _| unreferenced.contains(name));
        for name in unreferenced {
            self.unreferenced_since.entry(name.clone()).or_insert(now);
        }
    }

    /// Returns the keys of the parts of dependency lists that have been unreferenced for long enough to be deleted.
    fn unreferenced_list_parts(&self, replica: &Replica, now: Micros) -> impl Iterator<Item = Key> {
        let old = self.unreferenced_since.iter().filter(move |(_, at)| now.since(**at) >= UNREFERENCED_LIST_RETENTION);
        old.flat_map(|(name, _)| {
            let numbers = replica.dependency_list_parts.get(name).into_iter().flat_map(BTreeMap::keys);
            numbers.map(move |number| Key::DependencyListPart(name.clone(), *number))
        })
    }
}

/// Returns the keys of job batches whose jobs all have an outcome and no run chunks left.
fn finished_job_batches(replica: &Replica) -> impl Iterator<Item = Key> {
    let is_finished = |id: &JobId| replica.outcomes.contains_key(id) && !replica.run_chunks.contains_key(id);
    let finished = replica.job_batches.iter().filter(move |(_, batch)| batch.value.iter().all(is_finished));
    finished.map(|(name, _)| Key::JobBatch(name.clone()))
}

/// Returns the keys of the loans of jobs that have an outcome and no run chunks left.
fn loans_of_finished_jobs(replica: &Replica) -> impl Iterator<Item = Key> {
    let is_finished = |id: &&JobId| replica.outcomes.contains_key(*id) && !replica.run_chunks.contains_key(*id);
    replica.job_loans.keys().filter(is_finished).map(|id| Key::JobLoans(id.clone()))
}

/// Returns the keys of machine batches whose machines are all deleted.
fn deleted_machine_batches(replica: &Replica) -> impl Iterator<Item = Key> {
    let batches = replica.machine_batches.iter();
    let deleted = batches.filter(|(_, batch)| batch.value.iter().all(|member| replica.is_machine_deleted(&member.id)));
    deleted.map(|(name, _)| Key::MachineBatch(name.clone()))
}

impl Controller {
    /// Deletes a few records, on the leader only: batches whose jobs have finished or whose machines are deleted,
    /// records of deleted machines, loans of finished jobs, and dependency lists that no job names.
    pub(crate) fn collect_garbage(&mut self) {
        let now = self.now();
        let is_pending = self.store.txns.has_purpose(&TxnPurpose::GarbageCollection);
        if is_pending || now < self.store.garbage_collection.next_at {
            return;
        }
        self.store.garbage_collection.next_at = now + COLLECTION_INTERVAL;
        self.store.garbage_collection.observe_lists(&self.store.replica, now);
        let limits = self.store.txn_limits();
        let mut proposal = ProposedTxn::default();
        proposal.unchanged(&self.store.replica, Key::Role(Role::Leader));
        for key in self.garbage() {
            let mut deletion = ProposedTxn::default();
            deletion.unchanged(&self.store.replica, key.clone());
            deletion.delete(key);
            if !limits.append_within(&mut proposal, deletion) {
                break;
            }
        }
        if proposal.write_count() > 0 {
            self.submit_txn(proposal, TxnPurpose::GarbageCollection);
        }
    }

    /// Returns the keys that may be deleted.
    fn garbage(&self) -> impl Iterator<Item = Key> {
        let replica = &self.store.replica;
        // The record of a deleted machine must outlast the batch that names the machine: without the record, the batch
        // would make the machine appear as registered again.
        let machines = replica.unreferenced_deleted_machines().map(|id| Key::Machine(id.clone()));
        finished_job_batches(replica)
            .chain(deleted_machine_batches(replica))
            .chain(machines)
            .chain(loans_of_finished_jobs(replica))
            .chain(self.store.garbage_collection.unreferenced_list_parts(replica, self.now()))
    }
}
