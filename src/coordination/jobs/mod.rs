//! Jobs: their attempts, dependencies, cancellations, failures, and the resources that they use.
//!
//! Owns this controller's state of the jobs of all shards. Reads the replica of the stored records; `reconciliation`
//! updates the jobs after each change of the replica. Guarantees that
//!
//! - an attempt takes resources until a heartbeat, an expired lease or the cloud proves that it has ended or is absent
//!   from its machine (`attempt_events`), and the sums in [`usage`] always equal the totals over the attempts;
//! - no task of a job starts before all dependencies of the job are done (`dependencies`);
//! - a cancellation is confirmed to a client only when the job's tasks are certain to be stopped within a bounded time
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
pub(crate) mod task_shards;
pub mod usage;

use crate::types::{JobId, Micros, TaskId};
use attempt::{AttemptState, TaskAttempt};
use cancellation_log::CancellationLog;
use cancellations::Cancellations;
use dependency_graph::DependencyGraph;
use job::Job;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use usage::Usage;

/// The jobs of all shards that this controller knows of.
#[derive(Default)]
pub(crate) struct Jobs {
    by_id: BTreeMap<JobId, Job>,
    usage: Usage,
    dependency_graph: DependencyGraph,
    /// Jobs that are cancelled because a dependency was cancelled and whose own outcome is not in the replica yet.
    cascaded: BTreeSet<JobId>,
    /// Jobs with tasks that are lent to other shards, or are about to be.
    lent: BTreeSet<JobId>,
    pub(crate) cancellations: Cancellations,
    pub(crate) cancellation_log: CancellationLog,
}

impl Jobs {
    /// Returns a job, if it is known.
    pub(crate) fn get(&self, id: &JobId) -> Option<&Job> {
        self.by_id.get(id)
    }

    /// Returns a job, for changes that affect no count or sum.
    pub(crate) fn get_mut(&mut self, id: &JobId) -> Option<&mut Job> {
        self.by_id.get_mut(id)
    }

    /// Returns the attempt at a task.
    pub(crate) fn attempt(&self, task: &TaskId) -> Option<&TaskAttempt> {
        self.by_id.get(&task.job)?.attempts.get(task.index)
    }

    /// Returns the attempt at a task, for changes that affect no count or sum.
    pub(crate) fn attempt_mut(&mut self, task: &TaskId) -> Option<&mut TaskAttempt> {
        self.by_id.get_mut(&task.job)?.attempts.get_mut(task.index)
    }

    /// Whether a job is known.
    pub(crate) fn contains_key(&self, id: &JobId) -> bool {
        self.by_id.contains_key(id)
    }

    /// Iterates over all jobs, in the order of their ids.
    pub(crate) fn values(&self) -> impl Iterator<Item = &Job> {
        self.by_id.values()
    }

    /// Iterates over all jobs with their ids, in the order of the ids.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&JobId, &Job)> {
        self.by_id.iter()
    }

    /// Iterates over the ids from a bound on, in order.
    pub(crate) fn ids_from(&self, first: Bound<JobId>) -> impl Iterator<Item = &JobId> {
        self.by_id.range((first, Bound::Unbounded)).map(|(id, _)| id)
    }

    /// Returns the resources in use on machines and by teams.
    pub(crate) fn usage(&self) -> &Usage {
        &self.usage
    }

    /// Whether the job is cancelled because a dependency was cancelled, and its own outcome is not in the replica yet.
    pub(crate) fn is_cascaded(&self, id: &JobId) -> bool {
        self.cascaded.contains(id)
    }

    /// Returns the jobs whose attempts changed since their records were last found up to date, in the order of their
    /// ids.
    pub(crate) fn changed_ids(&self) -> Vec<JobId> {
        self.usage.changed_jobs().iter().cloned().collect()
    }

    /// Marks a job whose records are up to date or are written by a sibling.
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

    /// Removes an attempt that was placed and won't be recorded; its task waits for an attempt again.
    pub(crate) fn withdraw_attempt(&mut self, id: &JobId, task: u32) -> Option<TaskAttempt> {
        let job = self.by_id.get_mut(id)?;
        let attempt = job.attempts.remove(task, &mut self.usage)?;
        job.progress.to_restart.insert(task);
        Some(attempt)
    }

    /// Changes the state of an attempt.
    pub(crate) fn set_attempt_state(&mut self, task: &TaskId, state: AttemptState) {
        if let Some(job) = self.by_id.get_mut(&task.job) {
            job.attempts.set_state(task.index, state, &mut self.usage);
        }
    }

    /// Iterates over the jobs with tasks that are lent to other shards, or are about to be.
    pub(crate) fn lent_jobs(&self) -> impl Iterator<Item = &Job> {
        self.lent.iter().filter_map(|id| self.by_id.get(id))
    }

    /// Updates whether a job counts as lent.
    pub(crate) fn update_lent(&mut self, id: &JobId) {
        match self.by_id.get(id).is_some_and(|job| job.has_lent_tasks() || job.scheduling.is_lending) {
            true => self.lent.insert(id.clone()),
            false => self.lent.remove(id),
        };
    }

    /// Updates since when the tasks of each job wait: those of these jobs wait now.
    pub(crate) fn update_waiting_since(&mut self, waiting: &BTreeSet<JobId>, now: Micros) {
        for (id, job) in &mut self.by_id {
            let since = job.scheduling.waiting_since;
            job.scheduling.waiting_since = waiting.contains(id).then_some(since.unwrap_or(now));
        }
    }

    fn insert(&mut self, id: &JobId, job: Job) {
        self.by_id.insert(id.clone(), job);
        self.update_lent(id);
    }

    fn remove(&mut self, id: &JobId) {
        self.by_id.remove(id);
        self.lent.remove(id);
        self.usage.mark_unchanged(id);
    }
}
