//! Evacuation of services from a lost zone. Capacity for their replicas is reserved before the old attempts are proven
//! absent. Once that capacity exists, their machines are deleted, which proves the absence before their leases expire.
//!
//! No task starts elsewhere before its old attempt is proven absent. Machines of a zone that is only cut off keep
//! running their tasks, so no machine is deleted for the sake of batch work, or before the controllers agree that the
//! zone is lost.

use crate::coordination::Controller;
use crate::coordination::autoscaling::bin_packing::tasks_that_fit;
use crate::coordination::fleet::cordon::CordonCause;
use crate::coordination::fleet::machine::Machine;
use crate::coordination::jobs::job::Job;
use crate::coordination::scheduling::shard_view::CandidateMachine;
use crate::coordination::zones::evacuation_log::{BlockedMachines, EvacuationBlock};
use crate::coordination::zones::replica_places::ReplicaPlaces;
use crate::protocol::user::JobKind;
use crate::storage::schema::{CordonReason, Role};
use crate::types::{JobId, MachineId, Micros, Resources, TaskId};
use burlhatch_zones::{Condition, Liveness};
use std::collections::BTreeMap;

/// Number of machines of one shard that may always be in deletion at the same time. The store's write rate may permit
/// more; it is the limit because the attempts that replace those on deleted machines need writes as well.
const MIN_EVACUATIONS_IN_FLIGHT: usize = 2;

/// A machine of a lost zone that is to be deleted.
struct Evacuation {
    machine: MachineId,
    replica_count: usize,
}

/// Numbers of replicas, by job.
type ReplicaCounts = BTreeMap<JobId, u32>;

impl Controller {
    /// Counts the replicas of services on machines of lost zones, and those that are being moved. Covers all shards, as
    /// the leader plans capacity for all of them.
    pub(super) fn count_displaced_replicas(&mut self) {
        let mut displaced = ReplicaCounts::new();
        for zone in self.zones.tracker.in_condition(Condition::Lost) {
            for machine in self.zones.tracker.machines(zone) {
                for job in self.services_on(machine) {
                    *displaced.entry(job).or_default() += 1;
                }
            }
        }
        for job in self.zones.moving_replicas.keys() {
            *displaced.entry(job.clone()).or_default() += 1;
        }
        self.zones.displaced_counts = displaced;
    }

    /// Returns the unfinished services with tasks on a machine that occupy resources and are not being stopped. Each
    /// service is listed once per task.
    fn services_on(&self, machine: &MachineId) -> Vec<JobId> {
        if !self.jobs.usage().runs_service_on(machine) {
            return Vec::new();
        }
        let attempts = self.jobs.usage().iter_attempts_on(machine);
        let must_continue = |task: &&TaskId| {
            let job = self.jobs.get(&task.job).filter(|job| job.spec.kind == JobKind::Service && job.outcome.is_none());
            let attempt = job.and_then(|job| job.attempts.get(task.index));
            attempt.is_some_and(|attempt| attempt.occupies_resources() && attempt.stop_grace_s.is_none())
        };
        attempts.filter(must_continue).map(|task| task.job.clone()).collect()
    }

    /// Returns the resources that a team's displaced replicas still occupy according to the stored records.
    pub(crate) fn displaced_resources(&self, team: &str) -> Resources {
        let of_team = self.zones.displaced_counts.iter().filter_map(|(id, count)| {
            let job = self.jobs.get(id).filter(|job| job.spec.team.as_deref() == Some(team))?;
            Some(job.resources.times(u64::from(*count)))
        });
        of_team.fold(Resources::default(), |sum, resources| sum.plus(&resources))
    }

    /// Reserves capacity for the displaced replicas of a shard on these machines, preferring those with their images.
    pub(crate) fn reserve_for_displaced(&self, shard: u32, machines: &mut [CandidateMachine]) {
        self.reserve_for_replicas(&self.zones.displaced_counts, shard, machines);
    }

    fn reserve_for_replicas(&self, wanted: &ReplicaCounts, shard: u32, machines: &mut [CandidateMachine]) {
        for (id, count) in wanted {
            let Some(job) = self.jobs.get(id).filter(|job| job.shard == shard) else { continue };
            let rules = self.placement_rules_beyond_lost_zones(job);
            let mut left = u64::from(*count);
            for with_image in [true, false] {
                for candidate in machines.iter_mut() {
                    if left == 0 {
                        break;
                    }
                    let machine = self.fleet.machine(&candidate.id);
                    let has_image = machine.is_some_and(|machine| machine.has_image(&job.spec.image));
                    if has_image != with_image || !rules.allow(candidate) {
                        continue;
                    }
                    let taken = tasks_that_fit(&job.resources, &candidate.unreserved()).min(left);
                    candidate.reserve(&job.resources.times(taken));
                    left -= taken;
                }
            }
        }
    }

    /// Requests the deletion of machines in lost zones that run services, as far as other zones have capacity for
    /// these.
    pub(super) fn evacuate_lost_zones(&mut self) {
        let mut blocked = BlockedMachines::new();
        if self.policy.zones.evacuate && !self.zones.displaced_counts.is_empty() {
            let shards: Vec<u32> = self.control.held_shards().collect();
            for shard in shards {
                self.evacuate_shard(shard, &mut blocked);
            }
        }
        let now = self.now();
        self.zones.evacuation_log.update(blocked, now);
    }

    fn evacuate_shard(&mut self, shard: u32, blocked: &mut BlockedMachines) {
        let mut due = Vec::new();
        for id in self.machines_to_evacuate(shard) {
            match self.evacuation_block(&id) {
                Some(block) => {
                    blocked.insert(id, block);
                }
                None => due.push(id),
            }
        }
        for Evacuation { machine, replica_count } in self.plan_evacuations(shard, due, blocked) {
            tracing::info!(%machine, replica_count, "machine evacuated from lost zone");
            self.cordon(&machine, CordonReason::ForceDelete, CordonCause::ZoneLost);
        }
    }

    /// Chooses the machines that can be evacuated now. Places are reserved for all services of one machine before the
    /// next machine is considered, so that none is held for a replica whose machine can't be evacuated because another
    /// replica on it finds no place (`zone_cuts::room_for_some_replicas_is_used_though_machines_run_several_services`).
    fn plan_evacuations(&self, shard: u32, due: Vec<MachineId>, blocked: &mut BlockedMachines) -> Vec<Evacuation> {
        if due.is_empty() {
            return Vec::new();
        }
        let in_flight = self.evacuations_in_flight(shard);
        let mut places = self.places_for_displaced(shard, &in_flight);
        let limits = &self.platform.deployment;
        let by_write_rate = (limits.store.write_rps / f64::from(limits.controller_count)) as usize;
        let max_count = MIN_EVACUATIONS_IN_FLIGHT.max(by_write_rate).saturating_sub(in_flight.len());
        let mut evacuations = Vec::new();
        for machine in due {
            if evacuations.len() >= max_count {
                blocked.insert(machine, EvacuationBlock::TooManyInFlight);
                continue;
            }
            let services = self.services_on(&machine);
            if self.take_all_places(&mut places, &services) {
                evacuations.push(Evacuation { machine, replica_count: services.len() });
            } else {
                blocked.insert(machine, EvacuationBlock::NoCapacity);
            }
        }
        evacuations
    }

    /// Returns the places in a shard for its displaced replicas, without those that waiting services and evacuations in
    /// flight need.
    fn places_for_displaced(&self, shard: u32, in_flight: &[MachineId]) -> ReplicaPlaces<'_> {
        let mut machines = self.schedulable_machines(shard);
        machines.iter_mut().for_each(CandidateMachine::clear_reserved);
        // Replicas whose old attempts are already proven absent wait for capacity and take precedence.
        self.reserve_for_replicas(&self.waiting_services(shard), shard, &mut machines);
        let mut places = ReplicaPlaces::new(machines);
        for service in in_flight.iter().flat_map(|id| self.services_on(id)) {
            self.take_all_places(&mut places, &[service]);
        }
        places
    }

    /// Takes a place for each of these services, or none at all if any of them finds no place.
    fn take_all_places<'a>(&'a self, places: &mut ReplicaPlaces<'a>, services: &[JobId]) -> bool {
        let mut taken = Vec::new();
        for id in services {
            let place = self.jobs.get(id).and_then(|job| {
                let rules = || self.placement_rules_beyond_lost_zones(job);
                let has_image =
                    |machine: &MachineId| self.fleet.machine(machine).is_some_and(|m| m.has_image(&job.spec.image));
                places.take(id, job, rules, has_image)
            });
            match place {
                Some(place) => taken.push(place),
                None => {
                    taken.into_iter().for_each(|place| places.release(place));
                    return false;
                }
            }
        }
        true
    }

    fn waiting_services(&self, shard: u32) -> ReplicaCounts {
        let waits = |job: &&Job| job.spec.kind == JobKind::Service && job.waiting_count_in(shard) > 0;
        let waiting = self.jobs.values().filter(waits);
        waiting.map(|job| (job.attempts.job().clone(), job.waiting_count_in(shard))).collect()
    }

    /// Returns the machines of a shard in lost zones that run services and are not being deleted yet.
    fn machines_to_evacuate(&self, shard: u32) -> Vec<MachineId> {
        if !self.holds(Role::Shard(shard)) {
            return Vec::new();
        }
        let tracker = &self.zones.tracker;
        let needs_evacuation = |id: &&MachineId| {
            let is_in_shard = self.store.replica.machines.get(*id).is_some_and(|record| {
                record.value.shard == shard
                    && !matches!(record.value.cordon, Some(CordonReason::ForceDelete | CordonReason::Deleted))
            });
            // Cancelled services occupy resources until they are proven absent, but are not to be restored
            // (`zone_cuts::a_machine_whose_services_are_cancelled_is_not_evacuated`).
            is_in_shard && !self.services_on(id).is_empty()
        };
        let zones = tracker.in_condition(Condition::Lost);
        zones.flat_map(|zone| tracker.machines(zone)).filter(needs_evacuation).cloned().collect()
    }

    /// Returns the reason why the state of a machine or of its zone prevents its deletion now, if any.
    fn evacuation_block(&self, id: &MachineId) -> Option<EvacuationBlock> {
        let min_span = Micros::from_millis(self.policy.zones.evacuate_after_ms);
        let zone = &self.store.replica.machines.get(id)?.value.zone;
        let lost_for =
            self.zones.tracker.state(zone).map_or(Micros::ZERO, |state| self.now().since(state.entered_at()));
        if lost_for < min_span {
            return Some(EvacuationBlock::ZoneJustLost);
        }
        if self.fleet.machine(id).is_none_or(Machine::is_record_changing) {
            return Some(EvacuationBlock::RecordChanging);
        }
        match self.zones.tracker.liveness(id) {
            Liveness::Responsive => Some(EvacuationBlock::SeenLately),
            Liveness::Unknown => Some(EvacuationBlock::NotProbed),
            Liveness::Unresponsive => None,
        }
    }

    fn evacuations_in_flight(&self, shard: u32) -> Vec<MachineId> {
        let tracker = &self.zones.tracker;
        let machines = tracker.in_condition(Condition::Lost).flat_map(|zone| tracker.machines(zone));
        let is_being_deleted = |id: &MachineId| {
            let record = self.store.replica.machines.get(id).map(|record| &record.value);
            record.is_some_and(|record| record.shard == shard && record.cordon == Some(CordonReason::ForceDelete))
        };
        let is_being_changed = |id: &MachineId| {
            self.fleet
                .machine(id)
                .is_some_and(|machine| machine.ownership.shard() == Some(shard) && machine.is_record_changing())
        };
        machines.filter(|id| is_being_deleted(id) || is_being_changed(id)).cloned().collect()
    }
}
