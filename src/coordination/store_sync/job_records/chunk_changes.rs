//! Changes to one job's run chunks, as far as they fit into a transaction.

use crate::coordination::jobs::attempt::TaskAttempt;
use crate::coordination::store_sync::ProposedTxn;
use crate::storage::schema::{Key, Role, RunChunk, TaskAttemptRecord, to_value};
use crate::storage::{Replica, Versioned};
use crate::types::{JobId, MachineId};
use std::collections::{BTreeMap, BTreeSet};

/// A job's run chunks in the replica, by number.
pub(super) type StoredChunks = BTreeMap<u32, Versioned<RunChunk>>;

/// Limits of one transaction.
#[derive(Clone, Copy)]
pub(super) struct TxnLimits {
    pub(super) writes: usize,
    pub(super) preconditions: usize,
    pub(super) value_bytes: usize,
}

/// The precondition which ensures that a machine stays in its shard until an attempt on it is recorded. Otherwise a
/// task could start on a machine of another shard, and the controller that records its attempts would never receive
/// proof of its end. Test: `upgrade::an_attempt_recorded_late_under_a_leader_of_the_earlier_version`.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum MachineGuard {
    /// The machine's record is a precondition of each attempt on it, because the leader moves machines itself.
    Records,
    /// The leader's role is a precondition, because the present leader leaves the moves of machines to the shard's
    /// holder, which is this controller. This takes one precondition for any number of machines.
    Leadership,
}

/// Changes to one job's run chunks, as far as they fit into a transaction.
pub(super) struct ChunkChanges<'a> {
    stored: &'a StoredChunks,
    tasks_per_chunk: u32,
    limits: TxnLimits,
    guard: MachineGuard,
    chunks: BTreeMap<u32, RunChunk>,
    /// Machines on which attempts were added.
    machines: BTreeSet<MachineId>,
    /// Whether a change did not fit and has to go into another transaction.
    is_incomplete: bool,
}

impl<'a> ChunkChanges<'a> {
    pub(super) fn new(
        stored: &'a StoredChunks,
        tasks_per_chunk: u32,
        limits: TxnLimits,
        guard: MachineGuard,
    ) -> ChunkChanges<'a> {
        let (chunks, machines) = (BTreeMap::new(), BTreeSet::new());
        ChunkChanges { stored, tasks_per_chunk, limits, guard, chunks, machines, is_incomplete: false }
    }

    /// Returns whether a change did not fit and has to go into another transaction.
    pub(super) fn is_incomplete(&self) -> bool {
        self.is_incomplete
    }

    /// Returns the highest attempt number assigned in the stored chunks.
    pub(super) fn last_stored_attempt(&self) -> u64 {
        self.stored.values().map(|chunk| chunk.value.last_attempt).max().unwrap_or(0)
    }

    /// Returns the number of preconditions other than machine records: the shard's role, the outcome, each chunk, and
    /// the leader's role if that is the guard.
    fn precondition_count(&self) -> usize {
        let role_count = if self.guard == MachineGuard::Leadership { 2 } else { 1 };
        role_count + 1 + self.chunks.len()
    }

    /// Returns whether the preconditions for `machine_count` machines and for `chunk` fit.
    fn fits(&self, machine_count: usize, chunk: u32) -> bool {
        let added_count = usize::from(!self.chunks.contains_key(&chunk));
        let guarded_count = if self.guard == MachineGuard::Records { machine_count } else { 0 };
        self.precondition_count() + added_count + guarded_count <= self.limits.preconditions
    }

    /// Returns whether a change to a task's chunk fits, together with the job's outcome and one more attempt. If not,
    /// the changes are incomplete.
    pub(super) fn admits_task(&mut self, task: u32) -> bool {
        let chunk = task / self.tasks_per_chunk;
        let fits = self.chunks.len() + 2 <= self.limits.writes && self.fits(self.machines.len() + 1, chunk);
        let is_admitted = self.chunks.contains_key(&chunk) || fits;
        self.is_incomplete |= !is_admitted;
        is_admitted
    }

    /// Returns whether an attempt of the task on the machine fits.
    pub(super) fn admits_attempt(&self, task: u32, machine: &MachineId) -> bool {
        self.machines.contains(machine) || self.fits(self.machines.len() + 1, task / self.tasks_per_chunk)
    }

    fn chunk_mut(&mut self, task: u32) -> &mut RunChunk {
        let number = task / self.tasks_per_chunk;
        let stored = || self.stored.get(&number).map(|chunk| chunk.value.clone()).unwrap_or_default();
        self.chunks.entry(number).or_insert_with(stored)
    }

    /// Adds an attempt under the number of its gang's attempt or the next number of its chunk. Returns the number.
    pub(super) fn add_attempt(&mut self, task: u32, attempt: &TaskAttempt, gang_attempt: Option<u64>) -> u64 {
        let machine = attempt.machine().clone();
        self.machines.insert(machine.clone());
        let chunk = self.chunk_mut(task);
        let number = gang_attempt.unwrap_or(chunk.last_attempt + 1);
        chunk.last_attempt = number;
        let incarnation = attempt.incarnation;
        chunk.task_attempts.push(TaskAttemptRecord { task, attempt: number, machine, incarnation });
        number
    }

    /// Removes a task's attempt, which has ended or is proven absent.
    pub(super) fn remove_attempt(&mut self, task: u32, is_done: bool) {
        let chunk = self.chunk_mut(task);
        chunk.task_attempts.retain(|attempt| attempt.task != task);
        if is_done {
            chunk.mark_done(task);
        }
    }

    /// Records that a task without an attempt is done.
    pub(super) fn mark_done(&mut self, task: u32) {
        self.chunk_mut(task).mark_done(task);
    }

    /// Returns all chunks of the job as they will be after the transaction.
    fn resulting_chunks(&self) -> impl Iterator<Item = &RunChunk> {
        let unchanged = self.stored.iter().filter(|(number, _)| !self.chunks.contains_key(number));
        unchanged.map(|(_, chunk)| &chunk.value).chain(self.chunks.values())
    }

    /// Returns the number of tasks that will be recorded as done.
    pub(super) fn done_count(&self) -> u32 {
        self.resulting_chunks().map(RunChunk::done_count).sum()
    }

    /// Returns whether any attempt will be recorded.
    pub(super) fn has_attempts(&self) -> bool {
        self.resulting_chunks().any(|chunk| !chunk.task_attempts.is_empty())
    }

    /// Drops the changes to chunks that are too large to be written, and returns whether there were any. A chunk can be
    /// too large if it was written under a larger limit, or if its done tasks form more ranges than estimated. It can
    /// be written again once enough of its attempts have ended.
    pub(super) fn drop_too_large(&mut self) -> bool {
        let before = self.chunks.len();
        let max_bytes = self.limits.value_bytes;
        self.chunks.retain(|_, chunk| serde_json::to_string(chunk).map_or(0, |text| text.len()) <= max_bytes);
        self.chunks.len() < before
    }

    /// Deletes the stored chunks, as many as fit into the transaction.
    pub(super) fn delete_all(&self, replica: &Replica, id: &JobId, proposal: &mut ProposedTxn) {
        let writes_left = self.limits.writes - proposal.write_count();
        for number in self.stored.keys().take(writes_left) {
            proposal.unchanged(replica, Key::RunChunk(id.clone(), *number));
            proposal.delete(Key::RunChunk(id.clone(), *number));
        }
    }

    /// Writes the changed chunks under the preconditions of the guard.
    pub(super) fn write(self, replica: &Replica, id: &JobId, write_id: u64, proposal: &mut ProposedTxn) {
        match self.guard {
            MachineGuard::Leadership if !self.machines.is_empty() => {
                proposal.unchanged(replica, Key::Role(Role::Leader));
            }
            MachineGuard::Leadership => {}
            MachineGuard::Records => {
                for machine in self.machines {
                    proposal.unchanged(replica, Key::Machine(machine));
                }
            }
        }
        for (number, mut chunk) in self.chunks {
            chunk.write_id = write_id;
            proposal.unchanged(replica, Key::RunChunk(id.clone(), number));
            proposal.put(Key::RunChunk(id.clone(), number), to_value(&chunk));
        }
    }
}
