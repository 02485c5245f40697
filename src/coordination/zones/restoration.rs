//! The order of jobs while work is restored after the loss of a zone.

use crate::coordination::Controller;
use crate::protocol::user::{JobKind, Priority};
use crate::types::JobId;
use burlhatch_zones::restoration_order::{WaitingJob, WorkKind, restoration_order};

impl Controller {
    /// Whether work is being restored after the loss of a zone.
    pub(crate) fn is_restoring(&self) -> bool {
        self.handles_zone_failures() && self.zones.tracker.is_restoring(self.now(), &self.policy.zones)
    }

    /// Whether a job is a starved batch job that gets a turn among the services during restoration, with one task.
    pub(crate) fn is_starved_in_restoration(&self, id: &JobId) -> bool {
        self.is_restoring() && self.as_waiting_job(id).is_some_and(|job| job.is_starved(&self.policy.zones))
    }

    /// Returns the jobs in the order in which they are restored.
    pub(crate) fn in_restoration_order(&self, waiting: &[JobId]) -> Vec<JobId> {
        let jobs = waiting.iter().filter_map(|id| self.as_waiting_job(id)).collect();
        restoration_order(jobs, &self.policy.zones).into_iter().cloned().collect()
    }

    fn as_waiting_job<'a>(&'a self, id: &'a JobId) -> Option<WaitingJob<'a, &'a JobId>> {
        let job = self.jobs.get(id)?;
        Some(WaitingJob {
            key: id,
            kind: work_kind(job.spec.kind),
            priority: rank(job.urgency.priority),
            is_within_guaranteed_quota: self.is_within_guaranteed_quota(job),
            class: &job.spec.class,
            waited: self.clock.wall.since(job.ready_at),
            has_begun: job.progress.first_unstarted > 0,
        })
    }
}

fn work_kind(kind: JobKind) -> WorkKind {
    match kind {
        JobKind::Service => WorkKind::Service,
        JobKind::Gang => WorkKind::Gang,
        JobKind::Array => WorkKind::Array,
    }
}

/// Returns the rank of a priority in the order of restoration; a higher rank comes first.
fn rank(priority: Priority) -> u8 {
    match priority {
        Priority::Low => 0,
        Priority::Normal => 1,
        Priority::High => 2,
        Priority::Production => 3,
    }
}
