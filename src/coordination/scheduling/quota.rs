//! Quotas of teams: the limit on what a team may use, and the part of it that is guaranteed.

use crate::coordination::Controller;
use crate::coordination::jobs::job::Job;
use crate::types::Resources;

impl Controller {
    /// Whether one more task of a job keeps within its team's quota. Every attempt not proven gone counts, inherited ones
    /// too. A quota of 0 sets no limit.
    pub(super) fn is_within_quota(&self, job: &Job) -> bool {
        let Some(team) = job.spec.team.as_ref().and_then(|name| self.platform.deployment.team(name)) else {
            return true;
        };
        let quota = Resources::new(team.cpus_max, team.gpus_max, 0.0);
        let used = self.jobs.usage.used_by(&team.name).plus(&job.resources);
        (quota.cpus == 0 || used.cpus <= quota.cpus) && (quota.gpus == 0 || used.gpus <= quota.gpus)
    }

    /// Whether one more task of a job keeps within its team's guaranteed quota. A job without a team has none.
    pub(crate) fn is_within_guaranteed_quota(&self, job: &Job) -> bool {
        let Some(team) = job.spec.team.as_ref().and_then(|name| self.platform.deployment.team(name)) else {
            return false;
        };
        let guaranteed = Resources::new(team.cpus, team.gpus, 0.0);
        let used = self.jobs.usage.used_by(&team.name).plus(&job.resources);
        used.cpus <= guaranteed.cpus && used.gpus <= guaranteed.gpus
    }
}
