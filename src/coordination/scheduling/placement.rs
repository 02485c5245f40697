//! Choice of the machine for a task: steps 1 to 5 of the design. Based on DataHelix's deadline-aware placement, with
//! cached images in place of data locality.

use crate::coordination::Controller;
use crate::coordination::fleet::machine::Machine;
use crate::coordination::jobs::job::Job;
use crate::coordination::scheduling::shard_view::CandidateMachine;
use crate::types::{MachineId, Micros};

/// Megabytes in one gigabyte of an image.
const MEGABYTES_PER_GB: f64 = 1000.0;
/// Lower bound for the fetch rate of a machine, in MB per second.
const MIN_FETCH_MB_PER_S: f64 = 0.001;

/// Prediction for a task on a machine that could take it.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementCandidate {
    /// Time from now until the machine has the image, including the fetches queued before it (step 1).
    pub ready_after: Micros,
    /// Whether the machine has the image now.
    pub has_image: bool,
    /// Order among candidates with equal `ready_after`, lowest first.
    pub tie_breaker: (u64, u64),
}

/// Chooses a candidate: steps 3 to 5 of the design. `slack` is the time left until the deadline D of the design, zero
/// if that has passed. Among candidates that meet the deadline, one with the image is preferred unless one without it
/// is ready earlier by `margin`.
pub fn choose_candidate(candidates: &[PlacementCandidate], slack: Micros, margin: Micros) -> Option<usize> {
    let earliest = |is_eligible: &dyn Fn(&PlacementCandidate) -> bool| {
        (0..candidates.len())
            .filter(|i| is_eligible(&candidates[*i]))
            .min_by_key(|i| (candidates[*i].ready_after, candidates[*i].tie_breaker))
    };
    let meets_deadline = |candidate: &PlacementCandidate| candidate.ready_after <= slack;
    let with_image = earliest(&|candidate| meets_deadline(candidate) && candidate.has_image);
    let without_image = earliest(&|candidate| meets_deadline(candidate) && !candidate.has_image);
    match (with_image, without_image) {
        // Step 4: a machine with the image is preferred unless another is ready earlier by the margin.
        (Some(with), Some(without)) if candidates[without].ready_after + margin <= candidates[with].ready_after => {
            Some(without)
        }
        (Some(with), _) => Some(with),
        (None, Some(without)) => Some(without),
        // Step 5: no candidate meets the deadline, so the earliest is chosen.
        (None, None) => earliest(&|_| true),
    }
}

/// An image that a machine is fetching or will fetch.
pub(crate) struct PendingFetch<'a> {
    pub image: &'a str,
    pub megabytes: f64,
}

impl Controller {
    /// Predicts when a machine has the image of a job, if its pending fetches and then the job's own run one after
    /// another: steps 1 and 2 of the design.
    pub(super) fn placement_candidate(&self, job: &Job, candidate: &CandidateMachine) -> PlacementCandidate {
        let image = job.spec.image.as_str();
        // Best fit among equal candidates, so that whole machines become idle.
        let tie_breaker = (candidate.free.cpus, candidate.free.memory);
        let Some(machine) = self.fleet.machine(&candidate.id) else {
            return PlacementCandidate { ready_after: Micros(u64::MAX), has_image: false, tie_breaker };
        };
        if machine.has_image(image) {
            return PlacementCandidate { ready_after: Micros::ZERO, has_image: true, tie_breaker };
        }
        let mb_per_s =
            machine.images.fetch_mb_per_s().unwrap_or(self.policy.start_fetch_mb_per_s).max(MIN_FETCH_MB_PER_S);
        let mut pending = self.pending_fetches(&candidate.id, machine, mb_per_s);
        if !pending.iter().any(|fetch| fetch.image == image) {
            pending.push(PendingFetch { image, megabytes: job.spec.image_gb * MEGABYTES_PER_GB });
        }
        let mut ready_after = Micros::ZERO;
        for fetch in pending {
            ready_after = ready_after + Micros::from_secs_f64(fetch.megabytes / mb_per_s);
            if fetch.image == image {
                break;
            }
        }
        PlacementCandidate { ready_after, has_image: false, tie_breaker }
    }

    /// Returns the images that a machine has still to fetch, in order, with the amount left of each at the given rate.
    pub(super) fn pending_fetches<'a>(
        &'a self,
        id: &MachineId,
        machine: &'a Machine,
        mb_per_s: f64,
    ) -> Vec<PendingFetch<'a>> {
        let now = self.now();
        let mut pending: Vec<PendingFetch> = Vec::new();
        for fetch in machine.images.fetches() {
            let left = fetch.megabytes - now.since(fetch.started_at).secs() * mb_per_s;
            pending.push(PendingFetch { image: &fetch.image, megabytes: left.max(0.0) });
        }
        // Adds the images of attempts that are decided or recorded and whose fetch no heartbeat has reported yet.
        for id in self.jobs.usage().iter_unreported_jobs_on(id) {
            let Some(job) = self.jobs.get(id) else { continue };
            let image = job.spec.image.as_str();
            if !machine.has_image(image) && !pending.iter().any(|fetch| fetch.image == image) {
                pending.push(PendingFetch { image, megabytes: job.spec.image_gb * MEGABYTES_PER_GB });
            }
        }
        pending
    }
}
