//! Recording of job state: attempts before their commands are sent, done and lost tasks, and outcomes.
//!
//! An attempt is recorded under the preconditions that this controller still holds the task's shard, that the job has no
//! outcome, that its run chunk is the same as in the replica, and that its machine can't have left the shard meanwhile.

mod chunk_changes;
mod job_changes;
mod missing_record;

pub(super) use missing_record::DueRecord;

use crate::coordination::Controller;
use crate::coordination::control::versions::leader_delegates_moves;
use crate::coordination::jobs::job::Job;
use crate::coordination::store_sync::txn_limits::TxnLimits;
use crate::coordination::store_sync::{ProposedTxn, TxnPurpose};
use crate::storage::schema::Role;
use crate::types::{JobId, Micros};
use chunk_changes::{ChunkChanges, MachineGuard};
use job_changes::propose_changes;
use missing_record::{MissingRecord, RecordStatus};
use std::collections::{BTreeMap, VecDeque};

/// Lower bound of the number of writes from which on a transaction is sent without further jobs.
const MIN_TARGET_WRITES: usize = 4;

/// Records of several jobs that are written in one transaction.
#[derive(Default)]
struct RecordBatch {
    proposal: ProposedTxn,
    ids: Vec<JobId>,
}

impl RecordBatch {
    /// Returns whether another job's records fit into the same transaction.
    fn fits(&self, part: &ProposedTxn, limits: TxnLimits) -> bool {
        self.ids.is_empty() || limits.admits(&self.proposal.size_with(part))
    }

    fn add(&mut self, id: JobId, part: ProposedTxn) {
        self.proposal.append(part);
        self.ids.push(id);
    }
}

impl Controller {
    /// Returns the jobs whose records are to be brought up to date, ordered by the time by which to send them.
    pub(super) fn due_records(&mut self) -> Vec<DueRecord> {
        let now = self.now();
        let is_budget_idle = self.store.write_budget.is_idle(now);
        let mut due = Vec::new();
        let mut complete = Vec::new();
        for id in &self.jobs.changed_ids() {
            let is_cascaded = self.jobs.is_cascaded(id);
            let Some(job) = self.jobs.get_mut(id) else {
                complete.push(id.clone());
                continue;
            };
            // The records of other jobs are written by the holders of their shards; all are examined again when a shard
            // is acquired. Jobs cancelled by a cascade have no records of their own except the outcome, which is written
            // together with those of other jobs.
            let is_held = |shard: &u32| !is_cascaded && self.control.holds(Role::Shard(*shard));
            let held_shards: Vec<u32> = job.shards().filter(is_held).collect();
            match RecordStatus::of(id, job, &held_shards, now, is_budget_idle, &self.policy) {
                RecordStatus::Complete => complete.push(id.clone()),
                RecordStatus::Waiting => {}
                RecordStatus::Due(record) => due.push(record),
            }
        }
        for id in complete {
            self.jobs.mark_unchanged(&id);
        }
        due.sort();
        due
    }

    /// Writes the records of the first job of `due`, and of about as many of the next jobs of the same shard as fit
    /// into one transaction.
    pub(super) fn send_job_records(&mut self, due: &mut VecDeque<DueRecord>) {
        let limits = self.store.txn_limits();
        // Near its limit, the store refuses large transactions more often than small ones.
        let rate = self.platform.deployment.store.write_rps;
        let target_writes = ((rate * self.policy.txn_part) as usize).clamp(MIN_TARGET_WRITES, limits.writes);
        let Some(shard) = due.front().map(|first| first.shard) else { return };
        let mut batch = RecordBatch::default();
        while due.front().is_some_and(|next| next.shard == shard) {
            let Some(DueRecord { id, .. }) = due.pop_front() else { break };
            let held_shards = self.held_shards_of(&id);
            let missing = self.jobs.get(&id).and_then(|job| MissingRecord::of(job, &held_shards));
            let part = self.propose_job_records(&id, limits);
            let purpose = missing.map_or("nothing", MissingRecord::name);
            self.store.write_budget.count_writes(purpose, part.write_count());
            if part.write_count() == 0 {
                self.job_txn_finished(&id, false);
                continue;
            }
            let is_written_alone = self.jobs.get(&id).is_some_and(|job| job.recording.is_written_alone);
            if is_written_alone || !batch.fits(&part, limits) {
                self.send_record_batch(std::mem::take(&mut batch));
            }
            batch.add(id, part);
            if is_written_alone || batch.proposal.write_count() >= target_writes {
                break;
            }
        }
        self.send_record_batch(batch);
    }

    fn send_record_batch(&mut self, batch: RecordBatch) {
        if !batch.ids.is_empty() {
            self.send_txn(batch.proposal, TxnPurpose::Jobs(batch.ids));
        }
    }

    /// Handles a transaction with job records that the store has refused for good. Jobs that were together in it are
    /// written alone from now on, so that none waits for another. A job that was alone waits if its records can't be
    /// written in smaller parts.
    pub(super) fn job_records_rejected(&mut self, ids: &[JobId], may_be_smaller: bool) {
        let now = self.now();
        for id in ids {
            let Some(job) = self.jobs.get_mut(id) else { continue };
            if ids.len() == 1 && !may_be_smaller {
                job.recording.note_rejected(now);
            }
            job.recording.is_written_alone = true;
        }
    }

    /// Returns the guard that the leader's record version requires.
    fn machine_guard(&self) -> MachineGuard {
        match leader_delegates_moves(&self.store.replica, self.record_version()) {
            true => MachineGuard::Leadership,
            false => MachineGuard::Records,
        }
    }

    /// Returns the shards held by this controller that schedule tasks of a job.
    pub(crate) fn held_shards_of(&self, id: &JobId) -> Vec<u32> {
        let shards = self.jobs.get(id).into_iter().flat_map(Job::shards);
        shards.filter(|shard| self.holds(Role::Shard(*shard))).collect()
    }

    /// Returns the part of a transaction that brings one job's records up to date. The job's records are locked until
    /// the transaction has ended.
    fn propose_job_records(&mut self, id: &JobId, limits: TxnLimits) -> ProposedTxn {
        let write_id = self.nonce();
        let now = self.now();
        let max_progress_delay = Micros::from_millis(self.policy.progress_patience_ms);
        let guard = self.machine_guard();
        let tasks_per_chunk = self.store.tasks_per_chunk;
        let held_shards = self.held_shards_of(id);
        let replica = &self.store.replica;
        let Some(job) = self.jobs.get_mut(id) else { return ProposedTxn::default() };
        job.recording.is_txn_in_flight = true;
        job.recording.is_continued = false;
        job.recording.first_unrecorded_change_at = None;
        let none = BTreeMap::new();
        let stored = replica.run_chunks.get(id).unwrap_or(&none);
        let mut changes = ChunkChanges::new(stored, tasks_per_chunk, limits, guard, held_shards);
        let tasks = job.tasks_to_record(changes.held_shards(), now, tasks_per_chunk, max_progress_delay);
        for task in job.change_chunks(tasks, replica, &mut changes) {
            self.jobs.withdraw_attempt(id, task);
        }
        let Some(job) = self.jobs.get_mut(id) else { return ProposedTxn::default() };
        propose_changes(id, job, changes, replica, write_id, now)
    }
}
