//! The order in which waiting jobs are looked at.

use crate::coordination::Controller;
use crate::coordination::jobs::job::Job;
use crate::protocol::user::Priority;
use crate::storage::schema::Role;
use crate::types::{JobId, Micros};
use std::cmp::Reverse;

/// Decides between two waiting jobs; the lower goes first. Compared field by field, in the order in which they stand.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct OrderingKey {
    priority: Reverse<Priority>,
    /// Jobs that should have begun long ago go before these.
    is_not_overdue: bool,
    /// Jobs within their team's guaranteed quota go before these.
    is_beyond_guaranteed_quota: bool,
    turn_at: Micros,
    ready_at: Micros,
    id: JobId,
}

impl Controller {
    /// When it is a job's turn among those of its priority: its deadline if it has one, else its submission, deferred the
    /// more the more work is left. With more asked than can be done, pure order of submission makes all late; this way
    /// the small ones are on time, and as the time of submission counts too, no large one waits for ever.
    fn turn_at(&self, job: &Job) -> Micros {
        if let Some(due) = job.urgency.due_at {
            return due;
        }
        let tasks_left = job.spec.tasks.saturating_sub(job.progress.done_count);
        let cpu_seconds = f64::from(tasks_left) * job.spec.cpus * job.spec.estimated_runtime_s;
        job.ready_at + self.deferral(cpu_seconds)
    }

    /// How long a job lets others go first, by the CPU seconds it still needs: much for each at first, little for each
    /// beyond the limit. One limit for all would let a huge array of short tasks wait for every larger one before it.
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

    /// Whether no task of a job was ever started though it was accepted long ago. The largest jobs would wait without end
    /// behind small ones that keep coming.
    pub(super) fn is_overdue(&self, job: &Job) -> bool {
        let max_wait = Micros::from_millis(self.policy.begin_within_ms);
        job.progress.first_unstarted == 0 && self.clock.wall.since(job.ready_at) >= max_wait
    }

    /// Whether a job of a shard held here has a record that no transaction in flight is about to change.
    pub(super) fn can_be_scheduled(&self, job: &Job) -> bool {
        job.recording.has_record && !job.recording.is_txn_in_flight && self.holds(Role::Shard(job.shard))
    }

    fn ordering_key(&self, id: &JobId, job: &Job) -> OrderingKey {
        OrderingKey {
            priority: Reverse(job.urgency.priority),
            is_not_overdue: !self.is_overdue(job),
            is_beyond_guaranteed_quota: !self.is_within_guaranteed_quota(job),
            turn_at: self.turn_at(job),
            ready_at: job.ready_at,
            id: id.clone(),
        }
    }

    /// Jobs of the shards held here with tasks that wait for a machine: by priority, then those that should have begun
    /// long ago, then those within their team's guaranteed quota, then by turn.
    pub(super) fn jobs_in_scheduling_order(&self) -> Vec<JobId> {
        let waiting = self.jobs.iter().filter(|(_, job)| job.waiting_count() > 0 && self.can_be_scheduled(job));
        let mut keys: Vec<OrderingKey> = waiting.map(|(id, job)| self.ordering_key(id, job)).collect();
        keys.sort();
        let ordered: Vec<JobId> = keys.into_iter().map(|key| key.id).collect();
        if self.is_restoring() { self.in_restoration_order(&ordered) } else { ordered }
    }
}
