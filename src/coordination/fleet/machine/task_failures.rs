//! Failed tasks on a machine, which may show that the machine is at fault.

use crate::types::{JobId, Micros};
use std::collections::BTreeMap;

/// Failed tasks of one job on one machine.
pub(crate) struct JobFailures {
    /// Number of all failed tasks.
    pub(crate) count: u32,
    /// Number of failed tasks of a gang whose other tasks were on other machines and did not fail there.
    pub(crate) alone_in_gang_count: u32,
    /// The task that failed last.
    pub(crate) last_task: u32,
    last_failed_at: Micros,
}

/// Jobs with a failed task on one machine since the last success there.
#[derive(Default)]
pub(crate) struct TaskFailures {
    by_job: BTreeMap<JobId, JobFailures>,
}

impl TaskFailures {
    /// Records a failed task.
    pub(crate) fn record(&mut self, job: &JobId, task: u32, is_alone_in_gang: bool, now: Micros) {
        let none = JobFailures { count: 0, alone_in_gang_count: 0, last_task: task, last_failed_at: now };
        let failures = self.by_job.entry(job.clone()).or_insert(none);
        failures.count += 1;
        failures.alone_in_gang_count += u32::from(is_alone_in_gang);
        failures.last_task = task;
        failures.last_failed_at = now;
    }

    /// Removes all failures, when a task has succeeded or the machine has a new owner.
    pub(crate) fn clear(&mut self) {
        self.by_job.clear();
    }

    /// Returns whether no task has failed.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_job.is_empty()
    }

    /// Returns whether a task of a job has failed.
    pub(crate) fn contains(&self, job: &JobId) -> bool {
        self.by_job.contains_key(job)
    }

    /// Returns all failures by job.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&JobId, &JobFailures)> {
        self.by_job.iter()
    }

    /// Returns the jobs that failed here less than `pause` ago and should be tried elsewhere.
    pub(crate) fn recently_failed_jobs(&self, now: Micros, pause: Micros) -> impl Iterator<Item = &JobId> {
        let is_recent = move |failures: &JobFailures| now.since(failures.last_failed_at) < pause;
        self.by_job.iter().filter(move |(_, failures)| is_recent(failures)).map(|(job, _)| job)
    }
}
