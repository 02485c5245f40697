//! Which tasks of a job are done, which wait for an attempt, and which of these is next.
//!
//! Tasks start in the order of their numbers, so one number tells those that were never started; only those before it
//! that need another attempt are listed one by one. A job of a hundred thousand tasks takes no more memory than one of
//! ten.

use crate::coordination::jobs::failures::FailureHistory;
use crate::storage::schema::RunChunk;
use crate::types::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

/// Progress of a job's tasks, apart from their attempts.
#[derive(Default)]
pub(crate) struct TaskProgress {
    /// How many are recorded as done.
    pub done_count: u32,
    /// Seen done, not yet in the stored records.
    pub unrecorded_done: BTreeSet<u32>,
    /// Tasks from here on never had an attempt.
    pub first_unstarted: u32,
    /// Tasks before that which need another attempt.
    pub to_restart: BTreeSet<u32>,
    /// Tasks that may not start before some time.
    pub retry_at: BTreeMap<u32, Micros>,
}

impl TaskProgress {
    /// How many of the job's tasks wait for an attempt.
    pub fn unstarted_count(&self, tasks: u32) -> u32 {
        tasks - self.first_unstarted.min(tasks) + self.to_restart.len() as u32
    }

    /// Whether any task is known to be done, recorded or not.
    pub fn has_completions(&self) -> bool {
        self.done_count > 0 || !self.unrecorded_done.is_empty()
    }

    /// The next task that may start now; those that failed come after all others. `has_space` says whether a chunk of
    /// the stored records can name one more attempt.
    pub fn next_task(
        &self,
        tasks: u32,
        failures: &FailureHistory,
        now: Micros,
        chunk_tasks: u32,
        has_space: impl Fn(u32) -> bool,
    ) -> Option<u32> {
        // The last chunk found full; its other tasks need no second look.
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
            tasks.filter(may_retry).find(|task| fits(*task))
        };
        next_restart(false)
            .or_else(|| self.next_unstarted(tasks, chunk_tasks, &has_space))
            .or_else(|| next_restart(true))
    }

    /// The next task that never had an attempt. Where a chunk is full the next one's tasks go first; those left out are
    /// listed as to be restarted.
    fn next_unstarted(&self, tasks: u32, chunk_tasks: u32, has_space: impl Fn(u32) -> bool) -> Option<u32> {
        if self.first_unstarted >= tasks {
            return None;
        }
        let mut chunks = self.first_unstarted / chunk_tasks..tasks.div_ceil(chunk_tasks);
        let chunk = chunks.find(|chunk| has_space(*chunk))?;
        Some(self.first_unstarted.max(chunk * chunk_tasks))
    }

    /// Notes that a task has an attempt.
    pub fn mark_task_started(&mut self, task: u32) {
        if task >= self.first_unstarted {
            self.to_restart.extend(self.first_unstarted..task);
            self.first_unstarted = task + 1;
        } else {
            self.to_restart.remove(&task);
        }
    }

    /// Brings the tasks of one chunk in line with its stored record. `is_recorded`: whether any chunk names a task.
    pub(super) fn reconcile(&mut self, chunk: &RunChunk, tasks: Range<u32>, is_recorded: impl Fn(u32) -> bool) {
        self.unrecorded_done.retain(|task| !tasks.contains(task) || !chunk.is_done(*task));
        let first_unstarted = self.first_unstarted.max(chunk.first_unstarted_task());
        self.to_restart.extend((self.first_unstarted..first_unstarted).filter(|task| !is_recorded(*task)));
        self.first_unstarted = first_unstarted;
        let recorded = chunk.attempts_by_task();
        let is_settled = |task: &u32| recorded.contains_key(task) || chunk.is_done(*task);
        self.to_restart.retain(|task| !tasks.contains(task) || !is_settled(task));
    }
}
