//! In which order waiting jobs are looked at.

use crate::coordination::Controller;
use crate::coordination::jobs::job::Job;
use crate::storage::schema::Role;
use crate::types::{JobId, Micros};

impl Controller {
    /// When it is a job's turn among those of its priority: its deadline if it has one, else its
    /// submission, put off the more the more work is left. With more asked than can be done, pure
    /// order of submission makes all late; this way the small ones are on time, and as the time of
    /// submission counts too, no large one waits for ever.
    fn scheduling_time(&self, job: &Job) -> Micros {
        if let Some(due) = job.urgency.due {
            return due;
        }
        let left = f64::from(job.spec.tasks.saturating_sub(job.done)) * job.spec.cpus * job.spec.estimated_runtime_s;
        job.ready + self.put_off(left)
    }

    /// How long a job lets others go first, by the cpu-seconds it still needs: much for each at first, little for each
    /// beyond the limit. One limit for all would let a huge array of short tasks wait for every larger one before it.
    fn put_off(&self, cpu_seconds: f64) -> Micros {
        let policy = &self.policy;
        let most = Micros::from_millis(policy.wait_most_ms);
        let each_s = policy.wait_per_cpu_second_ms as f64 / 1e3;
        let first = Micros::from_secs_f64(cpu_seconds * each_s);
        if first <= most {
            return first;
        }
        let beyond = cpu_seconds - most.secs() / each_s;
        let further = Micros::from_secs_f64(beyond * policy.wait_large_per_cpu_second_us as f64 / 1e6);
        most + further.min(Micros::from_millis(policy.wait_large_most_ms))
    }

    /// Whether no task of it was ever started though it was accepted long ago. The largest jobs
    /// would wait without end behind small ones that keep coming.
    pub(crate) fn is_overdue(&self, job: &Job) -> bool {
        let patience = Micros::from_millis(self.policy.begin_within_ms);
        job.fresh_from == 0 && self.clock.wall.since(job.ready) >= patience
    }

    /// Jobs of our shards that wait for a place: by priority, then those that should have begun long
    /// ago, then those within their team's guarantee, then by turn.
    pub(crate) fn waiting_in_order(&self) -> Vec<JobId> {
        let mut waiting: Vec<_> = self
            .jobs
            .by_id
            .iter()
            .filter(|(_, j)| j.recorded && !j.locked && j.waiting() > 0 && self.holds(Role::Shard(j.shard)))
            .map(|(id, job)| {
                let (overdue, within) = (self.is_overdue(job), self.within_guarantee(job));
                (
                    (std::cmp::Reverse(job.urgency.priority), !overdue, !within, self.scheduling_time(job), job.ready),
                    id.clone(),
                )
            })
            .collect();
        waiting.sort();
        let waiting: Vec<JobId> = waiting.into_iter().map(|(_, id)| id).collect();
        if self.is_restoring() { self.in_restoration_order(&waiting) } else { waiting }
    }

    pub(crate) fn within_guarantee(&self, job: &Job) -> bool {
        let Some(team) = job.spec.team.as_ref().and_then(|name| self.platform.deployment.team(name)) else {
            return false;
        };
        let guaranteed = team.guaranteed_resources();
        let used = self.jobs.usage.used_by(&team.name).plus(&job.resources);
        used.cpus <= guaranteed.cpus && used.gpus <= guaranteed.gpus
    }
}
