//! Limits on image fetches during restoration, and on attempts in a returning zone.

use crate::coordination::Controller;
use crate::coordination::jobs::job::Job;
use crate::coordination::scheduling::shard_view::{CandidateMachine, ShardView};
use burlhatch_zones::fetches::FetchQueues;

impl Controller {
    /// Counts the fetches pending on each machine and in each zone.
    pub(super) fn count_fetches(&self, machines: &mut [CandidateMachine]) -> FetchQueues {
        let mut queues = FetchQueues::default();
        for candidate in machines {
            let machine = self.fleet.machine(&candidate.id);
            candidate.pending_fetch_count =
                machine.map_or(0, |machine| self.pending_fetches(&candidate.id, machine, 0.0).len() as u32);
            queues.add(&candidate.zone, candidate.pending_fetch_count);
        }
        queues
    }

    /// Returns whether one more task may start on a machine: its zone, if returning, admits another attempt, and the
    /// limits on fetches, if they apply, admit another fetch.
    pub(super) fn is_admitted(&self, job: &Job, candidate: &CandidateMachine, view: &ShardView) -> bool {
        if candidate.is_zone_returning && !self.zone_admits_attempt(&candidate.zone) {
            return false;
        }
        let Some(queues) = &view.fetch_queues else { return true };
        !self.adds_fetch(job, candidate)
            || queues.admits(&candidate.zone, candidate.pending_fetch_count, &self.policy.zones)
    }

    /// Returns whether starting a task on a machine would add an image fetch there.
    pub(super) fn adds_fetch(&self, job: &Job, candidate: &CandidateMachine) -> bool {
        let image = job.spec.image.as_str();
        let Some(machine) = self.fleet.machine(&candidate.id) else { return true };
        let is_pending = || self.pending_fetches(&candidate.id, machine, 0.0).iter().any(|fetch| fetch.image == image);
        !machine.has_image(image) && !is_pending()
    }

    /// Returns whether the zone of a machine admits no more attempts or no more fetches in this cycle.
    pub(super) fn is_zone_exhausted(&self, candidate: &CandidateMachine, view: &ShardView) -> bool {
        let no_starts = candidate.is_zone_returning && !self.zone_admits_attempt(&candidate.zone);
        let queues = view.fetch_queues.as_ref();
        no_starts || queues.is_some_and(|queues| !queues.zone_admits(&candidate.zone, &self.policy.zones))
    }
}
