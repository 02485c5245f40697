//! Changes to one job's run chunks, as far as they fit into a transaction.

use crate::coordination::jobs::attempt::TaskAttempt;
use crate::coordination::store_sync::ProposedTxn;
use crate::coordination::store_sync::txn_limits::{TxnLimits, TxnSize};
use crate::storage::schema::{Key, Role, RunChunk, TaskAttemptRecord, to_value};
use crate::storage::{Replica, Versioned};
use crate::types::{JobId, MachineId};
use std::collections::{BTreeMap, BTreeSet};

/// A job's run chunks in the replica, by number.
pub(super) type StoredChunks = BTreeMap<u32, Versioned<RunChunk>>;

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

/// What was left out of a transaction when the chunks were added to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct LeftOut {
    /// Whether changes did not fit and have to go into another transaction.
    pub(super) is_incomplete: bool,
    /// Whether a chunk is too large to be written at present.
    pub(super) has_too_large: bool,
}

/// Changes to one job's run chunks, as far as they fit into a transaction.
pub(super) struct ChunkChanges<'a> {
    stored: &'a StoredChunks,
    tasks_per_chunk: u32,
    limits: TxnLimits,
    guard: MachineGuard,
    /// The job's shards that this controller holds.
    held_shards: Vec<u32>,
    chunks: BTreeMap<u32, RunChunk>,
    /// Machines on which attempts were added, by chunk.
    machines: BTreeMap<u32, BTreeSet<MachineId>>,
    /// Whether a change did not fit and has to go into another transaction.
    is_incomplete: bool,
}

impl<'a> ChunkChanges<'a> {
    pub(super) fn new(
        stored: &'a StoredChunks,
        tasks_per_chunk: u32,
        limits: TxnLimits,
        guard: MachineGuard,
        held_shards: Vec<u32>,
    ) -> ChunkChanges<'a> {
        let (chunks, machines) = (BTreeMap::new(), BTreeMap::new());
        ChunkChanges { stored, tasks_per_chunk, limits, guard, held_shards, chunks, machines, is_incomplete: false }
    }

    /// Returns the job's shards that this controller holds.
    pub(super) fn held_shards(&self) -> &[u32] {
        &self.held_shards
    }

    /// Returns whether this controller holds a shard of the job.
    pub(super) fn holds(&self, shard: u32) -> bool {
        self.held_shards.contains(&shard)
    }

    /// Returns whether a change did not fit and has to go into another transaction.
    pub(super) fn is_incomplete(&self) -> bool {
        self.is_incomplete
    }

    /// Returns the highest attempt number assigned in the stored chunks.
    pub(super) fn last_stored_attempt(&self) -> u64 {
        self.stored.values().map(|chunk| chunk.value.last_attempt).max().unwrap_or(0)
    }

    /// Returns the number of preconditions other than machine records: the roles of the held shards, the outcome, each
    /// chunk, and the leader's role if that is the guard.
    fn precondition_count(&self) -> usize {
        let leader_count = usize::from(self.guard == MachineGuard::Leadership);
        self.held_shards.len() + leader_count + 1 + self.chunks.len()
    }

    fn machine_count(&self) -> usize {
        self.machines.values().map(BTreeSet::len).sum()
    }

    /// Returns whether the numbers of writes and preconditions are within the limits with one more machine in `chunk`
    /// and with the job's outcome. The sizes in bytes are known only in [`ChunkChanges::write`].
    fn has_room(&self, chunk: u32) -> bool {
        let added_count = usize::from(!self.chunks.contains_key(&chunk));
        let guarded_count = if self.guard == MachineGuard::Records { self.machine_count() + 1 } else { 0 };
        self.limits.admits(&TxnSize {
            writes: self.chunks.len() + added_count + 1,
            preconditions: self.precondition_count() + added_count + guarded_count,
            ..TxnSize::default()
        })
    }

    /// Returns whether a change to a task's chunk fits, together with the job's outcome and one more attempt. If not,
    /// the changes are incomplete.
    pub(super) fn admits_task(&mut self, task: u32) -> bool {
        let chunk = task / self.tasks_per_chunk;
        let is_admitted = self.chunks.contains_key(&chunk) || self.has_room(chunk);
        self.is_incomplete |= !is_admitted;
        is_admitted
    }

    /// Returns whether an attempt of the task on the machine fits.
    pub(super) fn admits_attempt(&self, task: u32, machine: &MachineId) -> bool {
        let chunk = task / self.tasks_per_chunk;
        let is_guarded = self.machines.get(&chunk).is_some_and(|machines| machines.contains(machine));
        is_guarded || self.has_room(chunk)
    }

    fn chunk_mut(&mut self, task: u32) -> &mut RunChunk {
        let number = task / self.tasks_per_chunk;
        let stored = || self.stored.get(&number).map(|chunk| chunk.value.clone()).unwrap_or_default();
        self.chunks.entry(number).or_insert_with(stored)
    }

    /// Adds an attempt under the number of its gang's attempt or the next number of its chunk. Returns the number.
    pub(super) fn add_attempt(&mut self, task: u32, attempt: &TaskAttempt, gang_attempt: Option<u64>) -> u64 {
        let machine = attempt.machine().clone();
        self.machines.entry(task / self.tasks_per_chunk).or_default().insert(machine.clone());
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

    /// Deletes the stored chunks, as many as fit into the transaction.
    pub(super) fn delete_all(&self, replica: &Replica, id: &JobId, proposal: &mut ProposedTxn) {
        for number in self.stored.keys() {
            let mut deletion = ProposedTxn::default();
            deletion.unchanged(replica, Key::RunChunk(id.clone(), *number));
            deletion.delete(Key::RunChunk(id.clone(), *number));
            if !self.limits.append_within(proposal, deletion) {
                return;
            }
        }
    }

    /// Adds the changed chunks to a transaction, as many as fit. Drops the changes to the others: those that exceed the
    /// transaction's limits are incomplete, and those that exceed the size limit of a value are too large. A chunk can
    /// be too large if it was written under a larger limit, or if its done tasks form more ranges than estimated; it
    /// can be written again once enough of its attempts have ended.
    pub(super) fn write(
        &mut self,
        replica: &Replica,
        id: &JobId,
        write_id: u64,
        proposal: &mut ProposedTxn,
    ) -> LeftOut {
        let mut has_too_large = false;
        for (number, mut chunk) in std::mem::take(&mut self.chunks) {
            chunk.write_id = write_id;
            let part = self.propose_chunk(replica, id, number, &chunk);
            let is_first = proposal.write_count() == 0;
            let exceeds_value = part.size().largest_value_bytes > self.limits.value_bytes;
            if self.limits.append_within(proposal, part) {
                self.chunks.insert(number, chunk);
            } else if is_first || exceeds_value {
                // It would not fit into another transaction either.
                has_too_large = true;
            } else {
                self.is_incomplete = true;
            }
        }
        LeftOut { is_incomplete: self.is_incomplete, has_too_large }
    }

    /// Adds another part to the transaction if it fits.
    pub(super) fn append_within_limits(&self, proposal: &mut ProposedTxn, part: ProposedTxn) -> bool {
        self.limits.append_within(proposal, part)
    }

    /// Returns the part of a transaction that writes one chunk under the preconditions of the guard.
    fn propose_chunk(&self, replica: &Replica, id: &JobId, number: u32, chunk: &RunChunk) -> ProposedTxn {
        let mut part = ProposedTxn::default();
        let machines = self.machines.get(&number).into_iter().flatten();
        match self.guard {
            MachineGuard::Leadership if machines.clone().next().is_some() => {
                part.unchanged(replica, Key::Role(Role::Leader));
            }
            MachineGuard::Leadership => {}
            MachineGuard::Records => {
                for machine in machines {
                    part.unchanged(replica, Key::Machine(machine.clone()));
                }
            }
        }
        part.unchanged(replica, Key::RunChunk(id.clone(), number));
        part.put(Key::RunChunk(id.clone(), number), to_value(chunk));
        part
    }
}
