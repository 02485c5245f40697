//! Provisional places for replicas on the machines of a shard, assigned one by one while evacuations are planned.

use crate::coordination::jobs::job::Job;
use crate::coordination::scheduling::placement_rules::PlacementRules;
use crate::coordination::scheduling::shard_view::CandidateMachine;
use crate::types::{JobId, MachineId, Resources};
use std::collections::BTreeMap;

/// A place on a machine that is provisionally assigned to a replica of a job.
pub(super) struct ReplicaPlace {
    job: JobId,
    machine_index: usize,
    resources: Resources,
}

/// Machines that accept work, with the capacity left by the replicas planned so far.
pub(super) struct ReplicaPlaces<'a> {
    machines: Vec<CandidateMachine>,
    /// Placement rules of each job, which take the replicas planned so far into account.
    rules: BTreeMap<JobId, PlacementRules<'a>>,
}

impl<'a> ReplicaPlaces<'a> {
    /// Creates the places that these machines offer in their unreserved capacity.
    pub(super) fn new(machines: Vec<CandidateMachine>) -> ReplicaPlaces<'a> {
        ReplicaPlaces { machines, rules: BTreeMap::new() }
    }

    /// Takes a place for one more replica of a job, preferably on a machine that has its image.
    pub(super) fn take(
        &mut self,
        id: &JobId,
        job: &Job,
        rules: impl FnOnce() -> PlacementRules<'a>,
        has_image: impl Fn(&MachineId) -> bool,
    ) -> Option<ReplicaPlace> {
        let rules = self.rules.entry(id.clone()).or_insert_with(rules);
        let is_suitable =
            |machine: &CandidateMachine| job.resources.fits_in(&machine.unreserved()) && rules.allow(machine);
        let mut places = self.machines.iter().enumerate().filter(|(_, machine)| is_suitable(machine)).peekable();
        let first = places.peek().map(|(index, _)| *index)?;
        let machine_index = places.find(|(_, machine)| has_image(&machine.id)).map_or(first, |(index, _)| index);
        let machine = &mut self.machines[machine_index];
        machine.reserve(&job.resources);
        rules.add_task_in(&machine.zone);
        Some(ReplicaPlace { job: id.clone(), machine_index, resources: job.resources })
    }

    /// Releases a place that is not needed.
    pub(super) fn release(&mut self, place: ReplicaPlace) {
        let machine = &mut self.machines[place.machine_index];
        machine.unreserve(&place.resources);
        if let Some(rules) = self.rules.get_mut(&place.job) {
            rules.remove_task_in(&machine.zone);
        }
    }
}
