//! Jobs: their attempts, dependencies, cancellations, failures, and the resources that they use.
//!
//! Owns what this controller knows of the jobs of all shards. Reads the replica of the stored records, which
//! `reconciliation` brings the jobs in line with after each change. Promises that
//!
//! - an attempt takes resources until a heartbeat, a lease or the cloud proves that it is off its machine
//!   (`attempt_events`), and that the sums in [`usage`] always equal what counting the attempts would give;
//! - no task of a job starts before all jobs that it depends on are done (`dependencies`);
//! - a user is told that a job is cancelled only when its tasks are certain to be stopped in a bounded time
//!   (`cancellations`).

pub mod attempt;
pub(crate) mod attempt_events;
pub(crate) mod cancellation_log;
pub(crate) mod cancellations;
pub(crate) mod chunk_space;
pub(crate) mod dependencies;
pub mod dependency_graph;
pub(crate) mod failures;
pub(crate) mod job;
pub mod job_attempts;
pub(crate) mod progress;
pub(crate) mod reconciliation;
pub mod usage;

use crate::types::{JobId, TaskId};
use attempt::{AttemptState, TaskAttempt};
use cancellation_log::CancellationLog;
use cancellations::Cancellations;
use dependency_graph::DependencyGraph;
use job::Job;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use usage::Usage;

/// The jobs that this controller knows of, of all shards.
#[derive(Default)]
pub(crate) struct Jobs {
    by_id: BTreeMap<JobId, Job>,
    usage: Usage,
    dependency_graph: DependencyGraph,
    /// Jobs that are over because one that they depend on was cancelled, as long as their own records don't say so.
    cascaded: BTreeSet<JobId>,
    pub(crate) cancellations: Cancellations,
    pub(crate) cancellation_log: CancellationLog,
}

impl Jobs {
    /// A job, if it is known.
    pub(crate) fn get(&self, id: &JobId) -> Option<&Job> {
        self.by_id.get(id)
    }

    /// A job, to be changed in what no sum depends on.
    pub(crate) fn get_mut(&mut self, id: &JobId) -> Option<&mut Job> {
        self.by_id.get_mut(id)
    }

    /// The attempt at a task.
    pub(crate) fn attempt(&self, task: &TaskId) -> Option<&TaskAttempt> {
        self.by_id.get(&task.job)?.attempts.get(task.index)
    }

    /// The attempt at a task, to be changed in what no sum depends on.
    pub(crate) fn attempt_mut(&mut self, task: &TaskId) -> Option<&mut TaskAttempt> {
        self.by_id.get_mut(&task.job)?.attempts.get_mut(task.index)
    }

    /// Whether a job is known.
    pub(crate) fn contains_key(&self, id: &JobId) -> bool {
        self.by_id.contains_key(id)
    }

    /// All jobs, in the order of their ids.
    pub(crate) fn values(&self) -> impl Iterator<Item = &Job> {
        self.by_id.values()
    }

    /// All jobs with their ids, in the order of these.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&JobId, &Job)> {
        self.by_id.iter()
    }

    /// The ids from a bound on, in order.
    pub(crate) fn ids_from(&self, first: Bound<JobId>) -> impl Iterator<Item = &JobId> {
        self.by_id.range((first, Bound::Unbounded)).map(|(id, _)| id)
    }

    /// Resources in use on machines and by teams.
    pub(crate) fn usage(&self) -> &Usage {
        &self.usage
    }

    /// Whether the job is over because one that it depends on was cancelled, and its own records don't say so yet.
    pub(crate) fn is_cascaded(&self, id: &JobId) -> bool {
        self.cascaded.contains(id)
    }

    /// Jobs whose attempts changed since their records were last found to be up to date, in the order of their ids.
    pub(crate) fn changed_ids(&self) -> Vec<JobId> {
        self.usage.changed_jobs().iter().cloned().collect()
    }

    /// The job's records are up to date, or another controller sees to them.
    pub(crate) fn mark_unchanged(&mut self, id: &JobId) {
        self.usage.mark_unchanged(id);
    }

    /// Adds an attempt that was just placed.
    pub(crate) fn place_attempt(&mut self, id: &JobId, task: u32, attempt: TaskAttempt) {
        let Some(job) = self.by_id.get_mut(id) else { return };
        job.progress.mark_task_started(task);
        job.progress.retry_at.remove(&task);
        job.attempts.insert(task, attempt, &mut self.usage);
    }

    /// Removes an attempt that was placed and won't be recorded: its task waits again.
    pub(crate) fn withdraw_attempt(&mut self, id: &JobId, task: u32) -> Option<TaskAttempt> {
        let job = self.by_id.get_mut(id)?;
        let attempt = job.attempts.remove(task, &mut self.usage)?;
        job.progress.to_restart.insert(task);
        Some(attempt)
    }

    /// Moves an attempt to another state.
    pub(crate) fn set_attempt_state(&mut self, task: &TaskId, state: AttemptState) {
        if let Some(job) = self.by_id.get_mut(&task.job) {
            job.attempts.set_state(task.index, state, &mut self.usage);
        }
    }

    fn insert(&mut self, id: &JobId, job: Job) {
        self.by_id.insert(id.clone(), job);
    }

    fn remove(&mut self, id: &JobId) {
        self.by_id.remove(id);
        self.usage.mark_unchanged(id);
    }
}
