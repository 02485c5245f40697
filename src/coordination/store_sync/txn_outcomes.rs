//! Outcomes of transactions, and retries.
//!
//! A transaction without an answer may have been committed or may still be committed later, so the identical
//! transaction is sent again until it is answered. After a conflict, nothing is decided until the replica has reached
//! the revision of the refusal; then the decisions are derived again from the replica. Test:
//! `combined_failures::transactions_without_an_answer_are_carried_out_late`.

use crate::coordination::store_sync::evidence::Evidence;
use crate::coordination::store_sync::pending_txns::{TxnEnd, TxnPurpose, TxnStage};
use crate::coordination::{CallFailure, Controller, TxnOutcome};
use crate::protocol::store::{Txn, Write};
use crate::storage::schema::Key;
use crate::types::{Micros, Revision};
use rand::Rng;
use std::ops::RangeInclusive;

/// Pause before a transaction that was refused because of the store's limit may be sent or queued again.
const LIMITED_PAUSE_MS: RangeInclusive<u64> = 50..=150;
/// Maximum pause before the retry of a transaction that a user waits for.
const MAX_URGENT_RETRY_PAUSE_MS: u64 = 40;
/// Maximum number of attempts of a transaction that a user waits for.
const MAX_URGENT_ATTEMPTS: u32 = 2;
/// Base of the maximum pause before a retry of other transactions; the pause doubles with each attempt.
const BASE_RETRY_PAUSE_MS: u64 = 50;
/// Maximum number of times that the pause between retries doubles.
const MAX_RETRY_DOUBLINGS: u32 = 4;

impl Controller {
    /// Handles the outcome of a transaction.
    pub(crate) fn txn_outcome(&mut self, ticket: u64, outcome: TxnOutcome) {
        match outcome {
            TxnOutcome::Committed(revision) => self.txn_committed(ticket, Revision(revision)),
            TxnOutcome::Conflict(revision) => self.txn_conflicted(ticket, Revision(revision)),
            TxnOutcome::SessionExpired => {
                let Some(pending) = self.store.txns.remove(ticket) else { return };
                self.session_expired();
                self.txn_ended(&pending.purpose, &TxnEnd::Unknown);
            }
            TxnOutcome::Invalid => self.txn_rejected(ticket),
            TxnOutcome::RateLimited => self.txn_limited(ticket),
            TxnOutcome::Failed(failure) => self.txn_failed(ticket, failure),
        }
    }

    fn txn_committed(&mut self, ticket: u64, revision: Revision) {
        let Some(pending) = self.store.txns.remove(ticket) else { return };
        self.apply_own_commit(&pending.txn, revision);
        let evidence = Evidence::new(pending.sent_at, revision);
        self.txn_ended(&pending.purpose, &TxnEnd::Committed(evidence));
    }

    fn txn_conflicted(&mut self, ticket: u64, revision: Revision) {
        let Some(pending) = self.store.txns.get_mut(ticket) else { return };
        self.store.write_budget.count_conflict(pending.purpose.name(), pending.txn.writes.len());
        pending.stage = TxnStage::AwaitingReplica(revision);
        self.store.request_fresh_read();
        self.end_reached_conflicts();
    }

    /// Schedules another attempt of a transaction that was refused because of the store's limit.
    fn txn_limited(&mut self, ticket: u64) {
        let now = self.now();
        let Some(pending) = self.store.txns.get_mut(ticket) else { return };
        let pause = Micros::from_millis(self.rng.random_range(LIMITED_PAUSE_MS));
        pending.stage = TxnStage::RetryAt(now + pause);
        self.store.write_budget.record_refusal(now);
    }

    /// Handles a transaction that was refused or got no answer. A client that submits or cancels repeats its request,
    /// so an urgent transaction gets only one quick retry, and that only after a refusal. The preconditions make
    /// repetitions harmless, even if the unanswered transaction is committed later.
    fn txn_failed(&mut self, ticket: u64, failure: CallFailure) {
        let now = self.now();
        let Some(pending) = self.store.txns.get_mut(ticket) else { return };
        let is_urgent = pending.purpose.is_urgent();
        if is_urgent && (failure == CallFailure::Indeterminate || pending.attempt_count >= MAX_URGENT_ATTEMPTS) {
            let Some(pending) = self.store.txns.remove(ticket) else { return };
            self.txn_ended(&pending.purpose, &TxnEnd::Unknown);
            return;
        }
        let max_pause_ms = match is_urgent {
            true => MAX_URGENT_RETRY_PAUSE_MS,
            false => BASE_RETRY_PAUSE_MS << pending.attempt_count.min(MAX_RETRY_DOUBLINGS),
        };
        let pause = Micros::from_millis(self.rng.random_range(max_pause_ms / 2..=max_pause_ms));
        pending.stage = TxnStage::RetryAt(now + pause);
    }

    /// Sends or queues again the transactions whose retry is due.
    pub(crate) fn tick_txns(&mut self) {
        let now = self.now();
        for ticket in self.store.txns.due_for_retry(now) {
            let Some(pending) = self.store.txns.get_mut(ticket) else { continue };
            match pending.purpose {
                TxnPurpose::ControllerRecord
                | TxnPurpose::Role
                | TxnPurpose::Submit(_)
                | TxnPurpose::DependencyListParts(_)
                | TxnPurpose::Cancel(_) => self.send_pending_txn(ticket),
                // These wait until the write budget allows them again.
                TxnPurpose::Machines(..)
                | TxnPurpose::Jobs(_)
                | TxnPurpose::ZoneView(_)
                | TxnPurpose::GarbageCollection
                | TxnPurpose::CascadedCancellations => pending.stage = TxnStage::Queued { send_by: now },
            }
        }
        self.end_withheld_txns();
        self.reject_overdue_submissions();
        if self.store.txns.is_any_awaiting_replica() {
            self.store.request_fresh_read();
        }
    }

    /// Ends transactions that conflicted with changes which the replica contains now.
    pub(super) fn end_reached_conflicts(&mut self) {
        for (ticket, revision) in self.store.txns.reached_conflicts(self.store.replica.applied_revision) {
            if let Some(pending) = self.store.txns.remove(ticket) {
                let evidence = Evidence::new(pending.sent_at, revision);
                self.txn_ended(&pending.purpose, &TxnEnd::Refused(evidence));
            }
        }
    }

    /// Applies an own commit to the replica before the watch delivers it. Roles are left to the watch, because holding
    /// a role must imply having seen every change before its acquisition. So are batches of jobs, unless the commit
    /// directly follows the applied revision: if two batches contain the same job, the earlier one counts, and it might
    /// not have been received yet. A commit at or before the applied revision is skipped: the replica contains it
    /// already, together with later changes to its keys.
    fn apply_own_commit(&mut self, txn: &Txn, revision: Revision) {
        let applied = self.store.replica.applied_revision;
        if revision <= applied {
            return;
        }
        let is_next = revision.0 == applied.0 + 1;
        let mut changes = Vec::new();
        for write in &txn.writes {
            let (key, value) = match write {
                Write::Put { key, value, .. } => (key, Some(value)),
                Write::Delete { key } => (key, None),
            };
            match Key::parse(key) {
                Some(Key::Role(_) | Key::FencingToken) | None => {}
                Some(Key::JobBatch(_)) if !is_next => self.store.request_fresh_read(),
                Some(_) => changes.push(self.store.replica.apply(key, value, revision.0)),
            }
        }
        self.apply_replica_changes(changes);
    }

    /// Notifies the component that proposed a transaction of its end.
    pub(super) fn txn_ended(&mut self, purpose: &TxnPurpose, end: &TxnEnd) {
        match purpose {
            TxnPurpose::Submit(jobs) => self.submission_batch_finished(jobs, end),
            TxnPurpose::DependencyListParts(name) => self.dependency_list_parts_txn_finished(name, end.is_committed()),
            TxnPurpose::Cancel(id) => self.cancellation_txn_finished(id),
            TxnPurpose::ControllerRecord => self.own_record_txn_ended(end.is_committed()),
            TxnPurpose::Role => self.role_txn_ended(end.is_committed()),
            TxnPurpose::Machines(_, ids) => self.machine_txn_finished(ids),
            TxnPurpose::Jobs(ids) => ids.iter().for_each(|id| self.job_txn_finished(id, end.is_committed())),
            TxnPurpose::ZoneView(name) => self.zone_view_txn_finished(name),
            TxnPurpose::GarbageCollection | TxnPurpose::CascadedCancellations => {}
        }
        self.scheduling.request_cycle();
    }
}
