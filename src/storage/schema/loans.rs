//! Records of tasks that another shard than their job's own schedules.

use serde::{Deserialize, Serialize};
use std::ops::Range;

/// A range of a job's tasks that another shard schedules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "StoredTaskLoan", into = "StoredTaskLoan")]
pub struct TaskLoan {
    /// The first task of the range.
    pub first: u32,
    /// The task after the last one.
    pub end: u32,
    /// The shard whose machines the tasks use, and whose holder schedules and records them.
    pub shard: u32,
}

/// The stored form of [`TaskLoan`]: a list in this order, which is shorter than a map.
type StoredTaskLoan = (u32, u32, u32);

impl From<StoredTaskLoan> for TaskLoan {
    fn from((first, end, shard): StoredTaskLoan) -> TaskLoan {
        TaskLoan { first, end, shard }
    }
}

impl From<TaskLoan> for StoredTaskLoan {
    fn from(loan: TaskLoan) -> StoredTaskLoan {
        (loan.first, loan.end, loan.shard)
    }
}

impl TaskLoan {
    /// Returns the tasks of the range.
    pub fn tasks(&self) -> Range<u32> {
        self.first..self.end
    }
}

/// The tasks of one job that other shards schedule, as disjoint ranges in ascending order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskLoans {
    /// The ranges.
    #[serde(rename = "r", default)]
    pub ranges: Vec<TaskLoan>,
}

impl TaskLoans {
    /// Returns the shard to which a task is lent.
    pub fn shard_of(&self, task: u32) -> Option<u32> {
        self.ranges.iter().find(|loan| loan.tasks().contains(&task)).map(|loan| loan.shard)
    }

    /// Assigns tasks to another shard, or back to the job's own if `shard` is `None`.
    pub fn assign(&mut self, tasks: Range<u32>, shard: Option<u32>) {
        if tasks.is_empty() {
            return;
        }
        let mut ranges: Vec<TaskLoan> = Vec::with_capacity(self.ranges.len() + 2);
        for loan in &self.ranges {
            let before = TaskLoan { end: loan.end.min(tasks.start), ..*loan };
            let after = TaskLoan { first: loan.first.max(tasks.end), ..*loan };
            ranges.extend([before, after].into_iter().filter(|part| part.first < part.end));
        }
        ranges.extend(shard.map(|shard| TaskLoan { first: tasks.start, end: tasks.end, shard }));
        ranges.sort_unstable();
        self.ranges.clear();
        for loan in ranges {
            match self.ranges.last_mut() {
                Some(last) if last.end == loan.first && last.shard == loan.shard => last.end = loan.end,
                _ => self.ranges.push(loan),
            }
        }
    }
}
