//! Checks of the records that controllers write to the store.

use burlhatch::protocol::store::{Txn, Write};
use burlhatch::storage::schema::{Key, MachineRecord, RunChunk, TaskAttemptRecord, TaskLoans, from_value};
use burlhatch::storage::{Replica, Versioned};
use burlhatch::types::{JobId, MachineId};
use std::collections::BTreeMap;

/// The teams of the world's settings, in their order.
const TEAMS: [&str; 3] = ["red", "blue", "green"];

pub struct Records {
    replica: Replica,
    shards: u32,
    /// Number of moves of machines from one shard to another.
    pub moves: u64,
    /// Number of writes of loans.
    pub loans: u64,
}

impl Records {
    pub fn new(controllers: usize) -> Records {
        Records { replica: Replica::default(), shards: controllers as u32, moves: 0, loans: 0 }
    }

    /// Applies a committed transaction and returns the violations in its writes.
    pub fn check_transaction(&mut self, txn: &Txn, revision: u64) -> Vec<String> {
        let mut wrong = Vec::new();
        for write in &txn.writes {
            let (key, value) = match write {
                Write::Put { key, value, .. } => (key, Some(value)),
                Write::Delete { key } => (key, None),
            };
            match (Key::parse(key), value) {
                (Some(Key::RunChunk(id, chunk)), Some(value)) => {
                    let chunk_now: RunChunk = from_value(value).expect("a run chunk");
                    wrong.extend(self.misplaced_starts(&id, chunk, &chunk_now));
                }
                (Some(Key::JobLoans(id)), Some(value)) => {
                    let loans: TaskLoans = from_value(value).expect("loans");
                    wrong.extend(self.moved_attempts(&id, &loans));
                    self.loans += 1;
                }
                (Some(Key::Machine(id)), Some(value)) => self.count_move(&id, value),
                _ => {}
            }
            self.replica.apply(key, value, revision);
        }
        wrong
    }

    fn count_move(&mut self, id: &MachineId, value: &ciborium::Value) {
        let record: MachineRecord = from_value(value).expect("a machine's record");
        let before = self.replica.machines.get(id).map(|held| held.value.shard);
        self.moves += u64::from(before.is_some_and(|shard| shard != record.shard));
    }

    /// Returns the shard of a job's team.
    fn home_shard(&self, id: &JobId) -> u32 {
        let job = &self.replica.jobs[id].record.spec;
        let team = TEAMS.iter().position(|team| job.team.as_deref() == Some(team)).expect("a team of the world");
        team as u32 % self.shards
    }

    /// Returns the recorded attempts of tasks that these loans assign to another shard than before: their machines stay
    /// behind.
    fn moved_attempts(&self, id: &JobId, loans: &TaskLoans) -> Vec<String> {
        let home = self.home_shard(id);
        let before = self.replica.job_loans.get(id).map(|stored| stored.value.clone()).unwrap_or_default();
        let shard = |loans: &TaskLoans, task: u32| loans.shard_of(task).unwrap_or(home);
        let chunks = self.replica.run_chunks.get(id).into_iter().flat_map(|chunks| chunks.values());
        let attempts = chunks.flat_map(|chunk| &chunk.value.task_attempts).map(|attempt| attempt.task);
        let moved = attempts.filter(|task| shard(&before, *task) != shard(loans, *task));
        moved.map(|task| format!("{id}/{task} has an attempt and moves to another shard")).collect()
    }

    /// Returns the starts recorded on machines of another shard than the one that schedules the task: the holder of that
    /// shard doesn't report them to the task's shard. A start on a machine that is no longer in the stored records is harmless, because the
    /// machine was deleted.
    fn misplaced_starts(&self, id: &JobId, chunk: u32, now: &RunChunk) -> Vec<String> {
        let before: Option<&Versioned<RunChunk>> =
            self.replica.run_chunks.get(id).and_then(|chunks| chunks.get(&chunk));
        let known = |start: &TaskAttemptRecord| before.is_some_and(|b| b.value.task_attempts.contains(start));
        let home = self.home_shard(id);
        let loans = self.replica.job_loans.get(id);
        let shard_of_task = |task: u32| loans.and_then(|loans| loans.value.shard_of(task)).unwrap_or(home);
        let placed: BTreeMap<(&MachineId, u32), u32> = now
            .task_attempts
            .iter()
            .filter(|start| !known(start))
            .filter_map(|start| {
                let of = self.replica.machines.get(&start.machine)?.value.shard;
                Some(((&start.machine, shard_of_task(start.task)), of))
            })
            .collect();
        let wrong = placed.into_iter().filter(|((_, shard), of)| of != shard);
        wrong
            .map(|((machine, shard), of)| format!("a start of {id}, share {shard}, is recorded on {machine} of {of}"))
            .collect()
    }
}
