//! Progress of a job's tasks: which are done, which wait for an attempt, and which starts next.
//!
//! Tasks start in the order of their numbers, so a single number separates those that were never started from the
//! others. Only earlier tasks that need another attempt are listed individually. A job of a hundred thousand tasks
//! takes no more memory than one of ten.

use crate::coordination::jobs::failures::FailureHistory;
use crate::storage::schema::RunChunk;
use crate::types::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

/// Progress of a job's tasks, apart from their attempts.
#[derive(Default)]
pub(crate) struct TaskProgress {
    /// Number of tasks that are recorded as done.
    pub done_count: u32,
    /// Tasks that heartbeats showed as done and that are not recorded as done yet.
    pub unrecorded_done: BTreeSet<u32>,
    /// The number from which on no task has had an attempt.
    pub first_unstarted: u32,
    /// Tasks before `first_unstarted` that need an attempt.
    pub to_restart: BTreeSet<u32>,
    /// The time before which a task may not start, for tasks with a retry delay.
    pub retry_at: BTreeMap<u32, Micros>,
}

impl TaskProgress {
    /// Returns the number of the job's tasks that wait for an attempt.
    pub fn unstarted_count(&self, tasks: u32) -> u32 {
        tasks - self.first_unstarted.min(tasks) + self.to_restart.len() as u32
    }

    /// Returns how many tasks of a range wait for an attempt, of a job with this number of tasks.
    pub fn waiting_in(&self, tasks: u32, range: Range<u32>) -> u32 {
        let unstarted = range.end.min(tasks).saturating_sub(range.start.max(self.first_unstarted));
        unstarted + self.to_restart.range(range).count() as u32
    }

    /// Whether any task is known to be done, recorded or not.
    pub fn has_completions(&self) -> bool {
        self.done_count > 0 || !self.unrecorded_done.is_empty()
    }

    /// Returns the next task that may start now; tasks that have failed come after all others. `first_in_shard` returns
    /// the first task of a range that the shard schedules, `has_space` whether a chunk of the stored records has space
    /// for one more attempt.
    pub fn next_task(
        &self,
        tasks: u32,
        failures: &FailureHistory,
        now: Micros,
        chunk_tasks: u32,
        first_in_shard: impl Fn(Range<u32>) -> Option<u32>,
        has_space: impl Fn(u32) -> bool,
    ) -> Option<u32> {
        // The last chunk that was found full, so that it is not checked again for each of its tasks.
        let mut full_chunk = None;
        let mut fits = |task: u32| {
            let chunk = task / chunk_tasks;
            if full_chunk == Some(chunk) {
                return false;
            }
            let fits = has_space(chunk);
            full_chunk = if fits { full_chunk } else { Some(chunk) };
            fits
        };
        let may_retry = |task: &u32| self.retry_at.get(task).is_none_or(|at| *at <= now);
        let mut next_restart = |has_failed: bool| {
            let tasks = self.to_restart.iter().copied().filter(|task| failures.has_failed(*task) == has_failed);
            let is_in_shard = |task: &u32| first_in_shard(*task..*task + 1).is_some();
            tasks.filter(may_retry).filter(is_in_shard).find(|task| fits(*task))
        };
        next_restart(false)
            .or_else(|| self.next_unstarted(tasks, chunk_tasks, &first_in_shard, &has_space))
            .or_else(|| next_restart(true))
    }

    /// Returns the next task that never had an attempt. Tasks of full chunks are skipped; [`Self::mark_task_started`]
    /// adds them to `to_restart`.
    fn next_unstarted(
        &self,
        tasks: u32,
        chunk_tasks: u32,
        first_in_shard: impl Fn(Range<u32>) -> Option<u32>,
        has_space: impl Fn(u32) -> bool,
    ) -> Option<u32> {
        if self.first_unstarted >= tasks {
            return None;
        }
        let mut chunks = self.first_unstarted / chunk_tasks..tasks.div_ceil(chunk_tasks);
        chunks.find_map(|chunk| {
            let first = self.first_unstarted.max(chunk * chunk_tasks);
            let end = (chunk + 1).saturating_mul(chunk_tasks).min(tasks);
            first_in_shard(first..end).filter(|_| has_space(chunk))
        })
    }

    /// Marks a task that has an attempt now.
    pub fn mark_task_started(&mut self, task: u32) {
        if task >= self.first_unstarted {
            self.to_restart.extend(self.first_unstarted..task);
            self.first_unstarted = task + 1;
        } else {
            self.to_restart.remove(&task);
        }
    }

    /// Updates the tasks of one chunk from its stored record. `is_recorded` returns whether any chunk mentions a task.
    pub(super) fn reconcile(&mut self, chunk: &RunChunk, tasks: Range<u32>, is_recorded: impl Fn(u32) -> bool) {
        let recorded_done: Vec<u32> =
            self.unrecorded_done.range(tasks.clone()).copied().filter(|task| chunk.is_done(*task)).collect();
        for task in recorded_done {
            self.unrecorded_done.remove(&task);
        }
        let first_unstarted = self.first_unstarted.max(chunk.first_unstarted_task());
        self.to_restart.extend((self.first_unstarted..first_unstarted).filter(|task| !is_recorded(*task)));
        self.first_unstarted = first_unstarted;
        let recorded = chunk.attempts_by_task();
        let is_settled = |task: &u32| recorded.contains_key(task) || chunk.is_done(*task);
        let settled: Vec<u32> = self.to_restart.range(tasks).copied().filter(is_settled).collect();
        for task in settled {
            self.to_restart.remove(&task);
        }
    }
}
