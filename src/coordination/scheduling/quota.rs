//! Quotas of teams: the limit on the resources that a team may use, and the guaranteed part of it.

use crate::coordination::Controller;
use crate::coordination::jobs::job::Job;
use crate::settings::Team;
use crate::types::Resources;

/// Maximum resources of a team. A quota of 0 CPUs or 0 GPUs means no limit on them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TeamQuota {
    cpus: u64,
    gpus: u64,
}

impl TeamQuota {
    /// Returns the quota of a team according to the deploy file.
    pub fn of_team(team: &Team) -> TeamQuota {
        let Resources { cpus, gpus, .. } = team.resource_limit();
        TeamQuota { cpus, gpus }
    }

    /// Returns whether the quota admits this total use of resources.
    pub fn admits(&self, total: &Resources) -> bool {
        (self.cpus == 0 || total.cpus <= self.cpus) && (self.gpus == 0 || total.gpus <= self.gpus)
    }

    /// Returns how many more tasks that need `each` a team that uses `used` may run; `u64::MAX` without a limit.
    pub fn remaining_tasks(&self, used: &Resources, each: &Resources) -> u64 {
        let remaining = |quota: u64, used: u64, each: u64| {
            if quota == 0 || each == 0 { u64::MAX } else { quota.saturating_sub(used) / each }
        };
        remaining(self.cpus, used.cpus, each.cpus).min(remaining(self.gpus, used.gpus, each.gpus))
    }
}

impl Controller {
    fn team_of(&self, job: &Job) -> Option<&Team> {
        self.platform.deployment.team(job.spec.team.as_ref()?)
    }

    /// Returns the resources that a job's team uses, including one more task of the job. Every attempt that has not
    /// ended and is not proven absent counts, including those inherited from an earlier holder of a shard.
    fn usage_with_next_task(&self, job: &Job, team: &Team) -> Resources {
        self.jobs.usage().used_by(&team.name).plus(&job.resources)
    }

    /// Returns whether one more task of a job in a shard stays within its team's quota. The holder of the team's shard
    /// enforces the quota; it has reserved the resources of the tasks that it has lent.
    pub(super) fn is_within_quota(&self, job: &Job, shard: u32) -> bool {
        let Some(team) = self.team_of(job).filter(|_| shard == job.home_shard) else { return true };
        let used = self.usage_with_next_task(job, team).plus(&self.reserved_for_lent_tasks(&team.name));
        TeamQuota::of_team(team).admits(&used)
    }

    /// Returns how many waiting tasks of a job may be lent within its team's quota.
    pub(super) fn lendable_tasks_within_quota(&self, job: &Job) -> u64 {
        let Some(team) = self.team_of(job) else { return u64::MAX };
        let used = self.jobs.usage().used_by(&team.name).plus(&self.reserved_for_lent_tasks(&team.name));
        TeamQuota::of_team(team).remaining_tasks(&used, &job.resources)
    }

    /// Returns the resources of a team's lent tasks that other shards may start at any time.
    fn reserved_for_lent_tasks(&self, team: &str) -> Resources {
        let of_team = self.jobs.lent_jobs().filter(|job| job.spec.team.as_deref() == Some(team));
        let reserved = of_team.map(|job| job.resources.times(u64::from(job.startable_lent_count())));
        reserved.fold(Resources::default(), |sum, resources| sum.plus(&resources))
    }

    /// Returns whether one more task of a job stays within its team's guaranteed quota. A job without a team has none.
    pub(crate) fn is_within_guaranteed_quota(&self, job: &Job) -> bool {
        let Some(team) = self.team_of(job) else { return false };
        let guaranteed = team.guaranteed_resources();
        let used = self.usage_with_next_task(job, team);
        used.cpus <= guaranteed.cpus && used.gpus <= guaranteed.gpus
    }
}
