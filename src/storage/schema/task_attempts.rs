//! Records of a job's task attempts and progress, in chunks of tasks.

use crate::types::MachineId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Number of tasks per run chunk for each KiB of the maximum value size. An attempt takes about 24 bytes, and a done
/// task between two tasks that aren't done takes less.
const CHUNK_TASKS_PER_KB: u32 = 32;

/// Returns the number of tasks per run chunk, which is the same on all controllers because it follows from the
/// deployment's settings.
pub fn chunk_tasks(value_kb: f64) -> u32 {
    (value_kb as u32).clamp(2, 4) * CHUNK_TASKS_PER_KB
}

/// One recorded attempt of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "StoredTaskAttempt", into = "StoredTaskAttempt")]
pub struct TaskAttemptRecord {
    /// Index of the task in its job.
    pub task: u32,
    /// Number of the attempt.
    pub attempt: u64,
    /// Machine for which it was decided.
    pub machine: MachineId,
    /// Incarnation of the machine's agent when the attempt was decided.
    pub incarnation: u64,
}

/// The stored form of [`TaskAttemptRecord`]: a list in this order, which is shorter than a map.
type StoredTaskAttempt = (u32, u64, MachineId, u64);

impl From<StoredTaskAttempt> for TaskAttemptRecord {
    fn from((task, attempt, machine, incarnation): StoredTaskAttempt) -> TaskAttemptRecord {
        TaskAttemptRecord { task, attempt, machine, incarnation }
    }
}

impl From<TaskAttemptRecord> for StoredTaskAttempt {
    fn from(attempt: TaskAttemptRecord) -> StoredTaskAttempt {
        (attempt.task, attempt.attempt, attempt.machine, attempt.incarnation)
    }
}

/// Progress of up to [`chunk_tasks`] tasks of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunChunk {
    /// Highest attempt number assigned so far.
    #[serde(rename = "a")]
    pub last_attempt: u64,
    /// Done tasks, as inclusive ranges.
    #[serde(rename = "d", default)]
    pub done_ranges: Vec<(u32, u32)>,
    /// Recorded attempts, which are removed once they have ended or are proven absent.
    #[serde(rename = "s", default)]
    pub task_attempts: Vec<TaskAttemptRecord>,
    /// Identifies the write, so that its writer recognizes it after its answer was lost.
    #[serde(rename = "w")]
    pub write_id: u64,
}

impl RunChunk {
    /// Returns whether a task is done.
    pub fn is_done(&self, task: u32) -> bool {
        self.done_ranges.iter().any(|&(a, b)| a <= task && task <= b)
    }

    /// Returns whether a task is done or has a recorded attempt.
    pub fn is_task_recorded(&self, task: u32) -> bool {
        self.is_done(task) || self.task_attempts.iter().any(|attempt| attempt.task == task)
    }

    /// Returns the recorded attempts, by task.
    pub fn attempts_by_task(&self) -> BTreeMap<u32, &TaskAttemptRecord> {
        self.task_attempts.iter().map(|attempt| (attempt.task, attempt)).collect()
    }

    /// Returns the task after the last task that is done or has a recorded attempt.
    pub fn first_unstarted_task(&self) -> u32 {
        let started = self.task_attempts.iter().map(|attempt| attempt.task + 1).max();
        let done = self.done_ranges.last().map(|range| range.1 + 1);
        started.max(done).unwrap_or(0)
    }

    /// Returns the number of done tasks.
    pub fn done_count(&self) -> u32 {
        self.done_ranges.iter().map(|&(a, b)| b - a + 1).sum()
    }

    /// Records that a task is done.
    pub fn mark_done(&mut self, task: u32) {
        if self.is_done(task) {
            return;
        }
        self.done_ranges.push((task, task));
        self.done_ranges.sort_unstable();
        let mut merged: Vec<(u32, u32)> = Vec::with_capacity(self.done_ranges.len());
        for &(a, b) in &self.done_ranges {
            match merged.last_mut() {
                Some(last) if last.1 + 1 == a => last.1 = b,
                _ => merged.push((a, b)),
            }
        }
        self.done_ranges = merged;
    }
}
