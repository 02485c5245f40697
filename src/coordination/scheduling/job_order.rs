//! The order in which waiting jobs are scheduled.

use crate::coordination::Controller;
use crate::coordination::jobs::job::Job;
use crate::protocol::user::Priority;
use crate::storage::schema::Role;
use crate::types::{JobId, Micros};
use std::cmp::Reverse;

/// Sort key of waiting jobs, lowest first. The fields are compared in the order of their declaration.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct OrderingKey {
    priority: Reverse<Priority>,
    /// False for overdue jobs, which sort before others of their priority; see [`Controller::is_overdue`].
    is_not_overdue: bool,
    /// False for jobs within their team's guaranteed quota, which sort before others.
    is_beyond_guaranteed_quota: bool,
    virtual_deadline: Micros,
    ready_at: Micros,
    id: JobId,
}

impl Controller {
    /// Returns the time by which a job is ordered among those of its priority: its deadline if it has one, else its
    /// ready time plus a deferral that grows with its remaining work. Under overload, order of submission alone would
    /// make all jobs late. With the deferral small jobs are on time, and as the ready time counts too, no large job
    /// starves.
    fn virtual_deadline(&self, job: &Job) -> Micros {
        if let Some(due) = job.urgency.due_at {
            return due;
        }
        let tasks_left = job.spec.tasks.saturating_sub(job.progress.done_count);
        let cpu_seconds = f64::from(tasks_left) * job.spec.cpus * job.spec.estimated_runtime_s;
        job.ready_at + self.deferral(cpu_seconds)
    }

    /// Returns the deferral of a job by the CPU seconds that it still needs. It grows fast up to a limit and slowly
    /// beyond it. With a hard limit a huge array of short tasks would wait for every larger job submitted before it.
    fn deferral(&self, cpu_seconds: f64) -> Micros {
        let policy = &self.policy;
        let limit = Micros::from_millis(policy.wait_most_ms);
        let per_cpu_second_s = policy.wait_per_cpu_second_ms as f64 / 1e3;
        let unlimited = Micros::from_secs_f64(cpu_seconds * per_cpu_second_s);
        if unlimited <= limit {
            return unlimited;
        }
        let cpu_seconds_beyond = cpu_seconds - limit.secs() / per_cpu_second_s;
        let beyond = Micros::from_secs_f64(cpu_seconds_beyond * policy.wait_large_per_cpu_second_us as f64 / 1e6);
        limit + beyond.min(Micros::from_millis(policy.wait_large_most_ms))
    }

    /// Returns whether a job has been ready for `begin_within_ms` and none of its tasks was ever started. Such jobs go
    /// before others of their priority, as the largest jobs would otherwise starve behind a steady stream of small
    /// ones.
    pub(super) fn is_overdue(&self, job: &Job) -> bool {
        let max_wait = Micros::from_millis(self.policy.begin_within_ms);
        job.progress.first_unstarted == 0 && self.clock.wall.since(job.ready_at) >= max_wait
    }

    /// Returns whether tasks of a job wait in a shard held by this controller, and the job has a record that no
    /// transaction in flight changes.
    pub(super) fn can_be_scheduled(&self, job: &Job) -> bool {
        job.recording.has_record && !job.recording.is_txn_in_flight && self.has_tasks_waiting_here(job)
    }

    /// Returns whether tasks of a job wait in a shard held by this controller.
    pub(super) fn has_tasks_waiting_here(&self, job: &Job) -> bool {
        job.waiting_count() > 0
            && job.shards().any(|shard| self.holds(Role::Shard(shard)) && job.waiting_count_in(shard) > 0)
    }

    fn ordering_key(&self, id: &JobId, job: &Job) -> OrderingKey {
        OrderingKey {
            priority: Reverse(job.urgency.priority),
            is_not_overdue: !self.is_overdue(job),
            is_beyond_guaranteed_quota: !self.is_within_guaranteed_quota(job),
            virtual_deadline: self.virtual_deadline(job),
            ready_at: job.ready_at,
            id: id.clone(),
        }
    }

    /// Returns the jobs with waiting tasks in the shards held by this controller, in order of [`OrderingKey`], or in
    /// order of restoration after the loss of a zone.
    pub(super) fn jobs_in_scheduling_order(&self) -> Vec<JobId> {
        let waiting = self.jobs.iter().filter(|(_, job)| self.can_be_scheduled(job));
        let mut keys: Vec<OrderingKey> = waiting.map(|(id, job)| self.ordering_key(id, job)).collect();
        keys.sort();
        let ordered: Vec<JobId> = keys.into_iter().map(|key| key.id).collect();
        if self.is_restoring() { self.in_restoration_order(&ordered) } else { ordered }
    }
}
