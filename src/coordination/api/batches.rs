//! Writes accepted submissions to the store, several in one batch. A dependency list that is too long for one value is
//! written in parts under keys of its own before the batch.

use crate::coordination::api::UNAVAILABLE;
use crate::coordination::api::submissions::{DependencyListInProgress, QueuedSubmission, SubmittedJob};
use crate::coordination::store_sync::txn_limits::TxnSize;
use crate::coordination::store_sync::{ProposedTxn, TxnPurpose};
use crate::coordination::{Controller, UserAnswer};
use crate::protocol::json_size;
use crate::storage::schema::{DependencyListParts, JobBatchMember, Key, to_value};
use crate::types::{JobId, Micros};

/// Bytes that a list entry takes besides the job id: quotes and a comma.
const LIST_ENTRY_OVERHEAD_BYTES: usize = 3;
/// Bytes that a list takes besides its entries: brackets.
pub(crate) const LIST_OVERHEAD_BYTES: usize = 2;
/// Bytes between two entries of a list: a comma.
pub(crate) const LIST_SEPARATOR_BYTES: usize = 1;

/// Splits a dependency list into lists that each fit into a value of `max_bytes`.
fn split_dependency_list(dependencies: Vec<JobId>, max_bytes: usize) -> Vec<Vec<JobId>> {
    let mut lists: Vec<Vec<JobId>> = Vec::new();
    let mut size = max_bytes;
    for id in dependencies {
        let entry_size = id.as_str().len() + LIST_ENTRY_OVERHEAD_BYTES;
        if size + entry_size > max_bytes {
            lists.push(Vec::new());
            size = LIST_OVERHEAD_BYTES;
        }
        size += entry_size;
        if let Some(list) = lists.last_mut() {
            list.push(id);
        }
    }
    lists
}

impl Controller {
    pub(super) fn queue_submission(&mut self, member: JobBatchMember) {
        let due_at = self.now() + Micros::from_millis(self.policy.user_patience_ms);
        self.api.submissions.queue.push_back(QueuedSubmission { due_at, member });
    }

    /// Writes a dependency list that is too long for one value to keys of its own, under a unique name. The job's entry
    /// in the batch refers to the list by that name.
    pub(super) fn write_dependency_list_parts(&mut self, mut member: JobBatchMember) {
        let name = format!("{:x}", self.nonce());
        let max_bytes = self.store.txn_limits().value_bytes;
        let lists = split_dependency_list(std::mem::take(&mut member.record.spec.depends_on), max_bytes);
        member.record.dependency_list_parts =
            Some(DependencyListParts { name: name.clone(), count: lists.len() as u32 });
        let txns = self.propose_dependency_list_parts(&name, lists);
        let in_progress = DependencyListInProgress { txns_left_count: txns.len(), member };
        self.api.submissions.dependency_lists.insert(name.clone(), in_progress);
        for proposal in txns {
            self.submit_txn(proposal, TxnPurpose::DependencyListParts(name.clone()));
        }
    }

    /// Returns the transactions that write the parts of a dependency list.
    fn propose_dependency_list_parts(&self, name: &str, lists: Vec<Vec<JobId>>) -> Vec<ProposedTxn> {
        let parts = (0..).zip(lists).map(|(number, list)| {
            let key = Key::DependencyListPart(name.to_string(), number);
            let mut part = ProposedTxn::default();
            part.unchanged(&self.store.replica, key.clone());
            part.put(key, to_value(&list));
            (number, part)
        });
        self.store.txn_limits().pack(parts).into_iter().map(|(_, proposal)| proposal).collect()
    }

    /// Handles the result of a transaction that writes parts of a dependency list. Queues the job for a batch once all
    /// these transactions are committed; rejects the submission if one of them fails.
    pub(crate) fn dependency_list_parts_txn_finished(&mut self, name: &str, is_committed: bool) {
        let lists = &mut self.api.submissions.dependency_lists;
        let Some(list) = lists.get_mut(name) else { return };
        list.txns_left_count -= 1;
        if is_committed && list.txns_left_count > 0 {
            return;
        }
        let Some(DependencyListInProgress { member, .. }) = lists.remove(name) else { return };
        match is_committed {
            true => self.queue_submission(member),
            false => self.reject_submission(&member.id, &UNAVAILABLE),
        }
    }

    fn reject_submission(&mut self, id: &JobId, answer: &UserAnswer) {
        for request in self.api.submissions.take_waiting(id) {
            self.answer(request.request_id, answer.clone());
        }
    }

    /// Writes as many of the queued submissions as fit into one batch.
    pub(crate) fn write_submission_batch(&mut self) {
        self.api.submissions.last_batch_at = self.now();
        let name = Key::JobBatch(format!("{:x}", self.nonce()));
        let mut proposal = ProposedTxn::default();
        proposal.unchanged(&self.store.replica, name.clone());
        let members = self.next_batch(&name, &mut proposal);
        proposal.put(name, to_value(&members));
        let submitted = |member: JobBatchMember| {
            let has_dependencies =
                member.record.dependency_list_parts.is_some() || !member.record.spec.depends_on.is_empty();
            SubmittedJob { id: member.id, has_dependencies }
        };
        self.send_txn(proposal, TxnPurpose::Submit(members.into_iter().map(submitted).collect()));
    }

    /// Takes as many submissions from the queue as fit into the batch's value and transaction, and adds their
    /// preconditions to the transaction.
    fn next_batch(&mut self, name: &Key, proposal: &mut ProposedTxn) -> Vec<JobBatchMember> {
        let limits = self.store.txn_limits();
        let name = name.to_string();
        let mut members: Vec<JobBatchMember> = Vec::new();
        let mut value_bytes = LIST_OVERHEAD_BYTES;
        while let Some(QueuedSubmission { member, .. }) = self.api.submissions.queue.front() {
            let mut member = member.clone();
            member.record.accepted_at = self.clock.wall;
            let preconditions = self.preconditions_of(&member);
            let value_bytes_with = value_bytes + json_size(&member) + LIST_SEPARATOR_BYTES;
            let size = proposal.size_with(&preconditions).plus(TxnSize::of_value(&name, value_bytes_with));
            if !members.is_empty() && !limits.admits(&size) {
                break;
            }
            proposal.append(preconditions);
            value_bytes = value_bytes_with;
            members.push(member);
            self.api.submissions.queue.pop_front();
        }
        members
    }

    /// Returns the preconditions of a job's entry in a batch: that the job has no outcome, and that its dependency list
    /// still exists.
    fn preconditions_of(&self, member: &JobBatchMember) -> ProposedTxn {
        let mut preconditions = ProposedTxn::default();
        preconditions.unchanged(&self.store.replica, Key::Outcome(member.id.clone()));
        if let Some(DependencyListParts { name, .. }) = &member.record.dependency_list_parts {
            preconditions.unchanged(&self.store.replica, Key::DependencyListPart(name.clone(), 0));
        }
        preconditions
    }

    /// Rejects submissions that have waited too long for the write budget; their clients are asked to retry.
    pub(crate) fn reject_overdue_submissions(&mut self) {
        let max_delay = Micros::from_millis(self.policy.user_patience_ms);
        let max_wait = Micros::from_millis(self.policy.submission_wait_ms);
        let now = self.now();
        let queue = &mut self.api.submissions.queue;
        let mut overdue = Vec::new();
        while queue.front().is_some_and(|queued| (now + max_delay).since(queued.due_at) > max_wait) {
            overdue.extend(queue.pop_front().map(|queued| queued.member.id));
        }
        for id in overdue {
            self.reject_submission(&id, &UserAnswer::Unavailable { retry_after_s: 2 });
        }
    }
}
