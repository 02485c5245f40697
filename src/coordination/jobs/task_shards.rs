//! The shards that schedule a job's tasks: the job's own, and those to which tasks are lent.
//!
//! The attempts of a task are always on machines of the shard that schedules it, because only that shard's holder
//! receives these machines' heartbeats. A task changes its shard only while it has no attempt.

use crate::coordination::Controller;
use crate::coordination::jobs::attempt::TaskAttempt;
use crate::coordination::jobs::job::Job;
use crate::storage::schema::{TaskLoan, TaskLoans};
use crate::types::JobId;
use std::ops::Range;

impl Job {
    /// Applies the stored loans of the job. Loans to shards that don't exist are ignored.
    pub(super) fn set_loans(&mut self, stored: Option<&TaskLoans>, shard_count: u32) {
        let mut loans = stored.cloned().unwrap_or_default();
        loans.ranges.retain(|loan| loan.shard < shard_count && loan.shard != self.home_shard);
        self.shard = self.home_shard;
        if let [whole] = loans.ranges[..]
            && whole.first == 0
            && whole.end >= self.spec.tasks
        {
            self.shard = whole.shard;
            loans.ranges.clear();
        }
        self.loans = loans;
    }

    /// Whether any task is lent to another shard than the team's.
    pub(crate) fn has_lent_tasks(&self) -> bool {
        self.shard != self.home_shard || !self.loans.ranges.is_empty()
    }

    /// Returns the shard that schedules a task.
    pub(crate) fn shard_of_task(&self, task: u32) -> u32 {
        self.loans.shard_of(task).unwrap_or(self.shard)
    }

    /// Returns the shards that schedule tasks of the job, each once.
    pub(crate) fn shards(&self) -> impl Iterator<Item = u32> {
        let ranges = &self.loans.ranges;
        let is_first = move |n: usize| ranges[..n].iter().all(|earlier| earlier.shard != ranges[n].shard);
        let lent_to = (0..ranges.len()).filter(move |n| is_first(*n)).map(|n| ranges[n].shard);
        std::iter::once(self.shard).chain(lent_to.filter(|shard| *shard != self.shard))
    }

    /// Whether one of these shards, of which at least one schedules tasks of the job, schedules a task.
    pub(crate) fn is_task_in_any(&self, task: u32, shards: &[u32]) -> bool {
        self.loans.ranges.is_empty() || shards.contains(&self.shard_of_task(task))
    }

    /// Returns the attempts at tasks that one of these shards schedules.
    pub(crate) fn attempts_in(&self, shards: &[u32]) -> impl Iterator<Item = (u32, &TaskAttempt)> {
        self.attempts.iter().filter(|(task, _)| self.is_task_in_any(*task, shards))
    }

    /// Returns the number of attempts at tasks of these shards that have ended or are absent, and wait to be removed
    /// from the stored records.
    pub(crate) fn settled_count_in(&self, shards: &[u32]) -> u32 {
        if self.loans.ranges.is_empty() {
            return self.attempts.settled_count();
        }
        self.attempts_in(shards).filter(|(_, attempt)| !attempt.occupies_resources()).count() as u32
    }

    /// Whether a shard schedules any task of the job.
    pub(crate) fn is_in_shard(&self, shard: u32) -> bool {
        self.shard == shard || self.loans.ranges.iter().any(|loan| loan.shard == shard)
    }

    /// Returns the number of tasks that wait for an attempt in a shard.
    pub(crate) fn waiting_count_in(&self, shard: u32) -> u32 {
        let total = self.waiting_count();
        if total == 0 || !self.is_in_shard(shard) {
            return 0;
        }
        let loans = self.loans.ranges.iter();
        let waiting = |loan: &TaskLoan| self.progress.waiting_in(self.spec.tasks, loan.tasks());
        if shard != self.shard {
            return loans.filter(|loan| loan.shard == shard).map(waiting).sum();
        }
        total.saturating_sub(loans.filter(|loan| loan.shard != shard).map(waiting).sum())
    }

    /// Returns the number of lent tasks that take no resources and that other shards may start at any time. A task whose
    /// attempt has ended or is absent counts, as its shard may have started it again already.
    pub(crate) fn startable_lent_count(&self) -> u32 {
        if self.outcome.is_some() {
            return 0;
        }
        if self.shard != self.home_shard || self.scheduling.is_lending {
            return self.waiting_count() + self.attempts.settled_count();
        }
        let waiting_count = self.waiting_count() - self.waiting_count_in(self.home_shard);
        let is_lent = |task: u32| self.loans.shard_of(task).is_some();
        let settled = self.attempts.iter().filter(|(task, attempt)| !attempt.occupies_resources() && is_lent(*task));
        waiting_count + if self.attempts.settled_count() > 0 { settled.count() as u32 } else { 0 }
    }

    /// Returns the first task of a range that a shard schedules.
    pub(crate) fn first_task_in_shard(&self, shard: u32, tasks: Range<u32>) -> Option<u32> {
        let mut task = tasks.start;
        while task < tasks.end {
            let Some(loan) = self.loans.ranges.iter().find(|loan| loan.end > task) else {
                return (shard == self.shard).then_some(task);
            };
            let is_lent = loan.first <= task;
            let current = if is_lent { loan.shard } else { self.shard };
            if current == shard {
                return Some(task);
            }
            task = if is_lent { loan.end } else { loan.first };
        }
        None
    }

    /// Returns up to `count` tasks that wait for an attempt in a shard, in ascending order.
    pub(crate) fn waiting_tasks_in(&self, shard: u32, count: usize) -> Vec<u32> {
        let restarts = self.progress.to_restart.iter().copied();
        let mut tasks: Vec<u32> = restarts.filter(|task| self.shard_of_task(*task) == shard).take(count).collect();
        let mut next = self.progress.first_unstarted;
        while tasks.len() < count
            && let Some(task) = self.first_task_in_shard(shard, next..self.spec.tasks)
        {
            tasks.push(task);
            next = task + 1;
        }
        tasks
    }

    /// Whether no task of a range will ever start again: each has had an attempt and is done.
    pub(crate) fn are_tasks_done(&self, tasks: Range<u32>) -> bool {
        tasks.end.min(self.spec.tasks) <= self.progress.first_unstarted
            && self.progress.to_restart.range(tasks.clone()).next().is_none()
            && self.attempts.range(tasks).next().is_none()
    }
}

impl Controller {
    /// Handles a change of a job's stored loans.
    pub(crate) fn job_loans_changed(&mut self, id: &JobId) {
        let shard_count = self.shard_count();
        let stored = self.store.replica.job_loans.get(id).map(|stored| &stored.value);
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.set_loans(stored, shard_count);
        job.scheduling.waiting_since = None;
        self.jobs.update_lent(id);
        self.jobs.usage.mark_changed(id);
        self.note_cancellation_deadline(id);
        self.scheduling.request_cycle();
    }
}
