//! Quotas of teams: the limit on what a team may use, and the part of it that is guaranteed.

use crate::coordination::Controller;
use crate::coordination::jobs::job::Job;
use crate::settings::Team;
use crate::types::Resources;

/// What a team may use at most. A quota of 0 CPUs or 0 GPUs sets no limit on them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TeamQuota {
    cpus: u64,
    gpus: u64,
}

impl TeamQuota {
    /// The quota of a team by the deploy file.
    pub fn of_team(team: &Team) -> TeamQuota {
        let Resources { cpus, gpus, .. } = team.resource_limit();
        TeamQuota { cpus, gpus }
    }

    /// Whether a team may use so much in all.
    pub fn admits(&self, total: &Resources) -> bool {
        (self.cpus == 0 || total.cpus <= self.cpus) && (self.gpus == 0 || total.gpus <= self.gpus)
    }

    /// How many more tasks that need `each` a team may run that uses `used`; `u64::MAX` without a limit.
    pub fn remaining_tasks(&self, used: &Resources, each: &Resources) -> u64 {
        let by = |quota: u64, used: u64, each: u64| {
            if quota == 0 || each == 0 { u64::MAX } else { quota.saturating_sub(used) / each }
        };
        by(self.cpus, used.cpus, each.cpus).min(by(self.gpus, used.gpus, each.gpus))
    }
}

impl Controller {
    fn team_of(&self, job: &Job) -> Option<&Team> {
        self.platform.deployment.team(job.spec.team.as_ref()?)
    }

    /// What a job's team uses with one more task of it. Every attempt not proven gone counts, inherited ones too.
    fn usage_with_next_task(&self, job: &Job, team: &Team) -> Resources {
        self.jobs.usage().used_by(&team.name).plus(&job.resources)
    }

    /// Whether one more task of a job keeps within its team's quota.
    pub(super) fn is_within_quota(&self, job: &Job) -> bool {
        let Some(team) = self.team_of(job) else { return true };
        TeamQuota::of_team(team).admits(&self.usage_with_next_task(job, team))
    }

    /// Whether one more task of a job keeps within its team's guaranteed quota. A job without a team has none.
    pub(crate) fn is_within_guaranteed_quota(&self, job: &Job) -> bool {
        let Some(team) = self.team_of(job) else { return false };
        let guaranteed = team.guaranteed_resources();
        let used = self.usage_with_next_task(job, team);
        used.cpus <= guaranteed.cpus && used.gpus <= guaranteed.gpus
    }
}
