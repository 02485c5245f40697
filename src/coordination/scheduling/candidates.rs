//! The candidate machines for the next task of a job, updated after each placed task.

use crate::coordination::Controller;
use crate::coordination::jobs::job::Job;
use crate::coordination::scheduling::placement::{PlacementCandidate, choose_candidate};
use crate::coordination::scheduling::placement_rules::PlacementRules;
use crate::coordination::scheduling::shard_view::{CandidateMachine, ShardView};
use crate::types::{JobId, Micros};
use std::collections::BTreeSet;

/// Restrictions on the placement of a job's next tasks, in addition to the job's own rules.
#[derive(Clone, Copy)]
pub(super) struct PlacementFilter<'a> {
    pub only_zone: Option<&'a str>,
    /// Zones excluded from placement for now.
    pub avoided_zones: Option<&'a BTreeSet<String>>,
    /// Whether to exclude machines on which tasks of the job have failed since its last success. Without this a gang
    /// stopped by one faulty machine fails on no other, so a faulty machine can't be told from a faulty job.
    pub avoid_failed_machines: bool,
}

impl PlacementFilter<'_> {
    /// Returns whether a machine is neither in an avoided zone nor excluded for failed tasks of the job.
    fn admits(&self, job: &Job, machine: &CandidateMachine) -> bool {
        let has_failed = self.avoid_failed_machines && job.failures.has_failed_on(&machine.id);
        !has_failed && !self.avoided_zones.is_some_and(|zones| zones.contains(&machine.zone))
    }
}

/// Machines that could take the next task of a job. They are kept from task to task, as placing a task changes the
/// prediction for its own machine only.
#[derive(Default)]
pub(super) struct Candidates {
    /// Indexes into the machines of the shard's view.
    machine_indexes: Vec<usize>,
    /// Prediction for each of these machines.
    candidates: Vec<PlacementCandidate>,
}

impl Candidates {
    /// Returns whether no machine could take the task.
    pub fn is_empty(&self) -> bool {
        self.machine_indexes.is_empty()
    }

    /// Returns the index of a candidate's machine in the shard's view.
    pub fn machine_index(&self, candidate: usize) -> usize {
        self.machine_indexes[candidate]
    }

    fn push(&mut self, machine_index: usize, candidate: PlacementCandidate) {
        self.machine_indexes.push(machine_index);
        self.candidates.push(candidate);
    }

    fn remove(&mut self, candidate: usize) {
        self.machine_indexes.swap_remove(candidate);
        self.candidates.swap_remove(candidate);
    }

    fn retain(&mut self, keep: impl Fn(usize) -> bool) {
        for candidate in (0..self.machine_indexes.len()).rev() {
            if !keep(self.machine_indexes[candidate]) {
                self.remove(candidate);
            }
        }
    }
}

impl Controller {
    /// Returns the machines of a shard that could take the next task of a job.
    pub(super) fn candidates_for(&self, id: &JobId, view: &ShardView, filter: PlacementFilter) -> Candidates {
        let mut candidates = Candidates::default();
        let Some(job) = self.jobs.get(id) else { return candidates };
        let rules = self.placement_rules(job, filter.only_zone);
        for (index, machine) in view.machines.iter().enumerate() {
            if self.is_candidate(id, job, machine, &rules, filter) && self.is_admitted(job, machine, view) {
                candidates.push(index, self.placement_candidate(job, machine));
            }
        }
        candidates
    }

    fn is_candidate(
        &self,
        id: &JobId,
        job: &Job,
        machine: &CandidateMachine,
        rules: &PlacementRules,
        filter: PlacementFilter,
    ) -> bool {
        machine.has_capacity_for(job)
            && rules.allow(machine)
            && !machine.recently_failed_jobs.contains(id)
            && filter.admits(job, machine)
    }

    /// Updates the candidates after a task was placed: its machine has less capacity, and the job's rules or the limits
    /// of the zone may exclude further machines.
    pub(super) fn update_candidates(
        &self,
        id: &JobId,
        view: &ShardView,
        candidates: &mut Candidates,
        placed: usize,
        filter: PlacementFilter,
    ) {
        let Some(job) = self.jobs.get(id) else { return };
        if job.spec.one_zone || job.spec.spread {
            *candidates = self.candidates_for(id, view, filter);
            return;
        }
        let machine = &view.machines[candidates.machine_index(placed)];
        if machine.has_capacity_for(job) && self.is_admitted(job, machine, view) {
            candidates.candidates[placed] = self.placement_candidate(job, machine);
        } else {
            candidates.remove(placed);
        }
        if self.is_zone_exhausted(machine, view) {
            candidates.retain(|index| {
                let other = &view.machines[index];
                other.zone != machine.zone || self.is_admitted(job, other, view)
            });
        }
    }

    /// Chooses the candidate for the next task of a job: steps 3 to 5 of the design.
    pub(super) fn best_candidate(&self, job: &Job, candidates: &Candidates) -> Option<usize> {
        // Time until the task must start to meet its deadline.
        let slack = match job.urgency.due_at {
            Some(due) => due.since(self.clock.wall + job.spec.estimate()),
            None => Micros::from_millis(self.policy.default_slack_ms),
        };
        let margin = Micros::from_millis(self.policy.holder_margin_ms);
        choose_candidate(&candidates.candidates, slack, margin)
    }
}
