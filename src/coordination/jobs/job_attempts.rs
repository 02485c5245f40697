//! The attempts of one job, by task, with their counts. An attempt's state is changed only here, so that these counts
//! and the sums in [`Usage`] include every change.

use crate::coordination::jobs::attempt::{AttemptState, TaskAttempt};
use crate::coordination::jobs::usage::Usage;
use crate::protocol::user::{JobKind, JobSpec, Priority};
use crate::types::{JobId, Resources, TaskId};
use std::collections::BTreeMap;
use std::ops::Range;

/// The properties shared by all attempts of a job that determine the sums in [`Usage`].
#[derive(Debug)]
pub(super) struct AttemptClass {
    /// Resources that one attempt takes.
    pub(super) resources: Resources,
    pub(super) team: Option<String>,
    pub(super) is_service: bool,
    pub(super) is_low_priority_array: bool,
}

/// The attempts of one job, at most one for each task.
#[derive(Debug)]
pub struct JobAttempts {
    job: JobId,
    class: AttemptClass,
    by_task: BTreeMap<u32, TaskAttempt>,
    occupying_count: u32,
    decided_count: u32,
}

impl JobAttempts {
    /// Creates the empty set of attempts of a job.
    pub fn new(job: JobId, spec: &JobSpec) -> JobAttempts {
        let class = AttemptClass {
            resources: spec.resources(),
            team: spec.team.clone(),
            is_service: spec.kind == JobKind::Service,
            is_low_priority_array: spec.kind == JobKind::Array && spec.priority == Priority::Low,
        };
        JobAttempts { job, class, by_task: BTreeMap::new(), occupying_count: 0, decided_count: 0 }
    }

    /// Returns the job's id.
    pub fn job(&self) -> &JobId {
        &self.job
    }

    fn task_id(&self, index: u32) -> TaskId {
        TaskId { job: self.job.clone(), index }
    }

    /// Returns the attempt at a task.
    pub fn get(&self, task: u32) -> Option<&TaskAttempt> {
        self.by_task.get(&task)
    }

    /// Returns the attempt at a task, for changes that affect no count or sum.
    pub fn get_mut(&mut self, task: u32) -> Option<&mut TaskAttempt> {
        self.by_task.get_mut(&task)
    }

    /// Iterates over all attempts with their tasks.
    pub fn iter(&self) -> impl Iterator<Item = (u32, &TaskAttempt)> {
        self.by_task.iter().map(|(task, attempt)| (*task, attempt))
    }

    /// Iterates over the attempts at a range of tasks.
    pub fn range(&self, tasks: Range<u32>) -> impl Iterator<Item = (u32, &TaskAttempt)> {
        self.by_task.range(tasks).map(|(task, attempt)| (*task, attempt))
    }

    /// Iterates over all attempts, in the order of their tasks.
    pub fn values(&self) -> impl Iterator<Item = &TaskAttempt> {
        self.by_task.values()
    }

    /// Iterates over all attempts, for changes that affect no count or sum.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut TaskAttempt> {
        self.by_task.values_mut()
    }

    /// Whether the job has no attempts.
    pub fn is_empty(&self) -> bool {
        self.by_task.is_empty()
    }

    /// Returns the number of attempts that take resources.
    pub fn occupying_count(&self) -> u32 {
        self.occupying_count
    }

    /// Returns the number of attempts that are decided but not yet in the stored records.
    pub fn decided_count(&self) -> u32 {
        self.decided_count
    }

    /// Returns the number of attempts that have ended or are absent, and wait to be removed from the stored records.
    pub fn settled_count(&self) -> u32 {
        self.by_task.len() as u32 - self.occupying_count
    }

    /// Adds an attempt at a task, replacing an existing one.
    pub fn insert(&mut self, task: u32, attempt: TaskAttempt, usage: &mut Usage) {
        self.remove(task, usage);
        usage.mark_changed(&self.job);
        usage.add_attempt(attempt.machine(), self.task_id(task));
        if attempt.occupies_resources() {
            self.occupying_count += 1;
            usage.occupy(&self.class, attempt.machine());
        }
        if attempt.state().is_unreported() {
            usage.add_unreported(attempt.machine(), &self.job);
        }
        self.decided_count += u32::from(attempt.state() == AttemptState::Decided);
        self.by_task.insert(task, attempt);
    }

    /// Removes and returns the attempt at a task.
    pub fn remove(&mut self, task: u32, usage: &mut Usage) -> Option<TaskAttempt> {
        let attempt = self.by_task.remove(&task)?;
        usage.mark_changed(&self.job);
        if attempt.occupies_resources() {
            self.occupying_count -= 1;
            usage.release(&self.class, attempt.machine());
        }
        if attempt.state().is_unreported() {
            usage.remove_unreported(attempt.machine(), &self.job);
        }
        self.decided_count -= u32::from(attempt.state() == AttemptState::Decided);
        usage.remove_attempt(attempt.machine(), &self.task_id(task));
        Some(attempt)
    }

    /// Changes the state of an attempt.
    pub fn set_state(&mut self, task: u32, state: AttemptState, usage: &mut Usage) {
        let Some(attempt) = self.by_task.get_mut(&task) else { return };
        let before = attempt.replace_state(state);
        if before == state {
            return;
        }
        self.decided_count += u32::from(state == AttemptState::Decided);
        self.decided_count -= u32::from(before == AttemptState::Decided);
        match (before.is_unreported(), state.is_unreported()) {
            (true, false) => usage.remove_unreported(attempt.machine(), &self.job),
            (false, true) => usage.add_unreported(attempt.machine(), &self.job),
            (true, true) | (false, false) => {}
        }
        match (before.occupies_resources(), state.occupies_resources()) {
            (true, false) => {
                self.occupying_count -= 1;
                usage.mark_changed(&self.job);
                usage.release(&self.class, attempt.machine());
            }
            (false, true) => {
                self.occupying_count += 1;
                usage.occupy(&self.class, attempt.machine());
            }
            (true, true) | (false, false) => {}
        }
    }
}
