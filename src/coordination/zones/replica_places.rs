//! Places on the machines of a shard, given to replicas one by one while it is planned which machines to evacuate.

use crate::coordination::jobs::job::Job;
use crate::coordination::scheduling::placement_rules::PlacementRules;
use crate::coordination::scheduling::shard_view::CandidateMachine;
use crate::types::{JobId, MachineId, Resources};
use std::collections::BTreeMap;

/// A place that was taken for a replica of a job.
pub(super) struct ReplicaPlace {
    job: JobId,
    machine_index: usize,
    resources: Resources,
}

/// Machines that take work, with what the replicas planned so far leave of them.
pub(super) struct ReplicaPlaces<'a> {
    machines: Vec<CandidateMachine>,
    /// What each job's rules allow beside the replicas planned so far.
    rules: BTreeMap<JobId, PlacementRules<'a>>,
}

impl<'a> ReplicaPlaces<'a> {
    /// The places that these machines have beyond what is reserved there.
    pub(super) fn new(machines: Vec<CandidateMachine>) -> ReplicaPlaces<'a> {
        ReplicaPlaces { machines, rules: BTreeMap::new() }
    }

    /// Takes a place for one more replica of a job, with its image if there is one.
    pub(super) fn take(
        &mut self,
        id: &JobId,
        job: &Job,
        rules: impl FnOnce() -> PlacementRules<'a>,
        has_image: impl Fn(&MachineId) -> bool,
    ) -> Option<ReplicaPlace> {
        let rules = self.rules.entry(id.clone()).or_insert_with(rules);
        let is_place =
            |machine: &CandidateMachine| job.resources.fits_in(&machine.unreserved()) && rules.allow(machine);
        let mut places = self.machines.iter().enumerate().filter(|(_, machine)| is_place(machine)).peekable();
        let first = places.peek().map(|(index, _)| *index)?;
        let machine_index = places.find(|(_, machine)| has_image(&machine.id)).map_or(first, |(index, _)| index);
        let machine = &mut self.machines[machine_index];
        machine.reserve(&job.resources);
        rules.add_task_in(&machine.zone);
        Some(ReplicaPlace { job: id.clone(), machine_index, resources: job.resources })
    }

    /// A place is not needed after all.
    pub(super) fn give_back(&mut self, place: ReplicaPlace) {
        let machine = &mut self.machines[place.machine_index];
        machine.unreserve(&place.resources);
        if let Some(rules) = self.rules.get_mut(&place.job) {
            rules.remove_task_in(&machine.zone);
        }
    }
}
