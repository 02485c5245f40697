//! Answers to transactions, and retries.
//!
//! A transaction without an answer may have been committed or may still be: the identical one is sent again until there
//! is an answer. After a conflict nothing is decided before the replica has reached the revision of the refusal; then
//! everything is derived anew from it. Test: `meetings::transactions_without_an_answer_are_carried_out_late`.

use crate::coordination::store_sync::evidence::Evidence;
use crate::coordination::store_sync::pending_txns::{TxnEnd, TxnPurpose, TxnStage};
use crate::coordination::{CallFailure, Controller, TxnOutcome};
use crate::protocol::store::{Txn, Write};
use crate::storage::schema::Key;
use crate::types::{Micros, Revision};
use rand::Rng;
use std::ops::RangeInclusive;

/// Pause before a transaction that was refused for the store's limit may be queued again.
const LIMITED_PAUSE_MS: RangeInclusive<u64> = 50..=150;
/// Longest pause before the quick retry of a transaction that a user waits for.
const URGENT_RETRY_MS: u64 = 40;
/// Attempts of a transaction that a user waits for.
const MAX_URGENT_ATTEMPTS: u32 = 2;
/// Longest pause before the first retry of others; it doubles with each attempt.
const RETRY_MS: u64 = 50;
/// The pause between retries doubles this often at most.
const MAX_RETRY_DOUBLINGS: u32 = 4;

impl Controller {
    /// A transaction was answered, or has failed.
    pub(crate) fn txn_outcome(&mut self, ticket: u64, outcome: TxnOutcome) {
        match outcome {
            TxnOutcome::Committed(revision) => self.txn_committed(ticket, Revision(revision)),
            TxnOutcome::Conflict(revision) => self.txn_conflicted(ticket, Revision(revision)),
            TxnOutcome::SessionExpired => {
                let Some(pending) = self.store.txns.remove(ticket) else { return };
                self.session_expired();
                self.txn_ended(&pending.purpose, &TxnEnd::Unknown);
            }
            TxnOutcome::Invalid => {
                let Some(pending) = self.store.txns.remove(ticket) else { return };
                tracing::error!(purpose = ?pending.purpose, "transaction rejected by the store as malformed");
                self.txn_ended(&pending.purpose, &TxnEnd::Unknown);
            }
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
        self.settle_conflicts();
    }

    /// Refused for the store's limit: it is sent again in its turn.
    fn txn_limited(&mut self, ticket: u64) {
        let now = self.now();
        let Some(pending) = self.store.txns.get_mut(ticket) else { return };
        let pause = Micros::from_millis(self.rng.random_range(LIMITED_PAUSE_MS));
        pending.stage = TxnStage::RetryAt(now + pause);
        self.store.write_budget.record_refusal(now);
    }

    /// Without an answer, or refused. Whoever submits or cancels asks again; the preconditions make repeats harmless,
    /// also if the unanswered one is committed later. Only a refusal is worth one quick retry.
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
            true => URGENT_RETRY_MS,
            false => RETRY_MS << pending.attempt_count.min(MAX_RETRY_DOUBLINGS),
        };
        let pause = Micros::from_millis(self.rng.random_range(max_pause_ms / 2..=max_pause_ms));
        pending.stage = TxnStage::RetryAt(now + pause);
    }

    /// Sends transactions again whose time has come.
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
                // What was refused for the limit waits until the budget allows it.
                TxnPurpose::Machines(..)
                | TxnPurpose::Jobs(_)
                | TxnPurpose::ZoneView(_)
                | TxnPurpose::GarbageCollection
                | TxnPurpose::CascadedCancellations => pending.stage = TxnStage::Queued { send_by: now },
            }
        }
        self.reject_overdue_submissions();
        if self.store.txns.is_any_awaiting_replica() {
            self.store.request_fresh_read();
        }
    }

    /// Ends transactions that conflicted with changes which the replica has now.
    pub(super) fn settle_conflicts(&mut self) {
        for (ticket, revision) in self.store.txns.settled_conflicts(self.store.replica.applied_revision) {
            if let Some(pending) = self.store.txns.remove(ticket) {
                let evidence = Evidence::new(pending.sent_at, revision);
                self.txn_ended(&pending.purpose, &TxnEnd::Refused(evidence));
            }
        }
    }

    /// Own commits are known before the watch brings them. Roles wait for the watch: holding one must imply having seen
    /// everything before it. So do batches of jobs, unless nothing lies between: of two batches the earlier counts. A
    /// commit that the replica has passed already is in it, with whatever happened to its keys since.
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

    /// Tells the part that proposed a transaction how it has ended.
    fn txn_ended(&mut self, purpose: &TxnPurpose, end: &TxnEnd) {
        match purpose {
            TxnPurpose::Submit(jobs) => jobs.iter().for_each(|job| self.submission_txn_finished(job, end)),
            TxnPurpose::DependencyListParts(name) => self.dependency_list_parts_txn_finished(name, end.is_committed()),
            TxnPurpose::Cancel(id) => self.cancellation_txn_finished(id),
            TxnPurpose::ControllerRecord => self.own_record_txn_ended(end.is_committed()),
            TxnPurpose::Role => self.role_txn_ended(end.is_committed()),
            TxnPurpose::Machines(_, ids) => self.machine_txn_finished(ids),
            TxnPurpose::Jobs(ids) => ids.iter().for_each(|id| self.job_txn_finished(id)),
            TxnPurpose::ZoneView(name) => self.zone_view_txn_finished(name),
            TxnPurpose::GarbageCollection | TxnPurpose::CascadedCancellations => {}
        }
        self.scheduling.request_cycle();
    }
}
