//! Clearing away records that nothing needs any more, a little at a time.

use crate::coordination::Controller;
use crate::coordination::store_sync::txns::{ProposedTxn, Purpose};
use crate::storage::schema::{Key, Role};
use crate::types::{JobId, Micros};
use std::collections::BTreeSet;

/// A submission's lists are written down some time before the job that names them, but not so long.
const UNNAMED_SPAN: Micros = Micros::from_millis(60_000);
const TIDY_EVERY: Micros = Micros::from_millis(2000);

impl Controller {
    /// Clears away, a little at a time, fleets and notes of machines long gone, and batches whose
    /// jobs are over.
    pub(crate) fn tidy(&mut self) {
        let now = self.now();
        if self.store.txns.tidying() || now < self.autoscaling.leader.next_tidy {
            return;
        }
        self.autoscaling.leader.next_tidy = now + TIDY_EVERY;
        self.note_unnamed();
        let most = self.platform.deployment.store.min_txn_ops();
        let replica = &self.store.replica;
        let over = |id: &JobId| replica.outcomes.contains_key(id) && !replica.run_chunks.contains_key(id);
        let batches = replica.batches.iter().filter(|(_, b)| b.value.iter().all(over));
        let fleets = replica.fleets.iter().filter(|(_, f)| f.value.iter().all(|m| replica.is_machine_deleted(&m.id)));
        let unnamed = self.autoscaling.leader.unnamed.iter().filter(|(_, since)| now.since(**since) >= UNNAMED_SPAN);
        let pieces = unnamed.flat_map(|(name, _)| {
            let numbers = replica.dependency_list_parts.get(name).into_iter().flat_map(|p| p.keys());
            numbers.map(move |number| Key::DependencyListPart(name.clone(), *number))
        });
        // A note about a machine may go only once no fleet brings the machine back.
        let keys: Vec<Key> = batches
            .map(|(name, _)| Key::Batch(name.clone()))
            .chain(fleets.map(|(name, _)| Key::Fleet(name.clone())))
            .chain(replica.unreferenced_deleted_machines().map(|id| Key::Machine(id.clone())))
            .chain(pieces)
            .take(most)
            .collect();
        if keys.is_empty() {
            return;
        }
        let mut proposal = ProposedTxn::default();
        proposal.unchanged(&self.store.replica, Key::Role(Role::Leader));
        for key in keys {
            proposal.unchanged(&self.store.replica, key.clone());
            proposal.delete(key);
        }
        self.submit_txn(proposal, Purpose::Tidy);
    }

    /// Lists whose submission came to nothing, or whose job is over and gone.
    fn note_unnamed(&mut self) {
        if self.store.replica.dependency_list_parts.is_empty() {
            return self.autoscaling.leader.unnamed.clear();
        }
        let now = self.now();
        let jobs = self.store.replica.jobs.values();
        let named: BTreeSet<&String> =
            jobs.filter_map(|j| j.record.dependency_list_parts.as_ref().map(|parts| &parts.name)).collect();
        let unnamed: Vec<String> =
            self.store.replica.dependency_list_parts.keys().filter(|n| !named.contains(n)).cloned().collect();
        self.autoscaling.leader.unnamed.retain(|name, _| unnamed.contains(name));
        for name in unnamed {
            self.autoscaling.leader.unnamed.entry(name).or_insert(now);
        }
    }
}
