//! Services in a lost zone: room is kept for their replicas before they are proven gone, and their machines are deleted,
//! which is proof sooner than the end of their leases, as soon as that room is there.
//!
//! Nothing starts elsewhere before the old attempt is proven gone. Machines of a zone that is merely cut off work on, so
//! none is deleted for batch work, nor before the controllers agree that the zone is lost.

use crate::coordination::Controller;
use crate::coordination::autoscaling::capacity::count_in;
use crate::coordination::jobs::job::Job;
use crate::coordination::scheduling::shard_view::Spot;
use crate::protocol::user::JobKind;
use crate::storage::schema::{CordonReason, Role};
use crate::types::{JobId, MachineId, Micros, Resources};
use burlhatch_zones::Condition;
use std::collections::BTreeMap;

/// Machines of one shard that are on their way to deletion at a time, at least. More follow from the rate of changes:
/// the starts that the deletions make room for need changes as well.
const EVACUATIONS_LEAST: usize = 2;

/// Places for replicas: how many for each job.
type Places = BTreeMap<JobId, u32>;

impl Controller {
    /// Replicas of services on machines of lost zones, of all shards: the leader plans for them all.
    pub(crate) fn find_displaced(&mut self) {
        let mut displaced: BTreeMap<JobId, u32> = BTreeMap::new();
        for zone in self.zones.zones.in_condition(Condition::Lost) {
            for machine in self.zones.zones.machines(zone) {
                for job in self.services_on(machine) {
                    *displaced.entry(job).or_default() += 1;
                }
            }
        }
        for job in self.zones.moving.keys() {
            *displaced.entry(job.clone()).or_default() += 1;
        }
        self.zones.displaced = displaced;
    }

    /// The services with tasks on a machine that occupy resources and are to go on, each as often as it has tasks there.
    fn services_on(&self, machine: &MachineId) -> Vec<JobId> {
        if !self.jobs.usage.serves(machine) {
            return Vec::new();
        }
        let starts = self.jobs.usage.placed(machine).into_iter().flat_map(|placed| &placed.starts);
        let goes_on = |id: &JobId, task: u32| {
            let job = self.jobs.by_id.get(id).filter(|job| job.spec.kind == JobKind::Service && job.over.is_none());
            job.and_then(|job| job.live.get(task)).is_some_and(|live| live.occupies() && live.stop.is_none())
        };
        starts.filter(|(id, task)| goes_on(id, *task)).map(|(id, _)| id.clone()).collect()
    }

    /// How many replicas of a job are displaced.
    pub(crate) fn displaced_of(&self, id: &JobId) -> u32 {
        self.zones.displaced.get(id).copied().unwrap_or(0)
    }

    /// Room that a team's displaced replicas still take by the stored records.
    pub(crate) fn displaced_resources(&self, team: &str) -> Resources {
        let of_team = self.zones.displaced.iter().filter_map(|(id, count)| {
            let job = self.jobs.by_id.get(id).filter(|job| job.spec.team.as_deref() == Some(team))?;
            Some(job.resources.times(u64::from(*count)))
        });
        of_team.fold(Resources::default(), |sum, resources| sum.plus(&resources))
    }

    /// Keeps room for displaced replicas of a shard on machines that take work, holders of their images first. Says for
    /// how many of each job there is room.
    pub(crate) fn reserve_displaced(&self, shard: u32, spots: &mut [Spot]) -> Places {
        self.reserve_places(&self.zones.displaced, shard, spots)
    }

    fn reserve_places(&self, wanted: &Places, shard: u32, spots: &mut [Spot]) -> Places {
        let mut places = Places::new();
        for (id, count) in wanted {
            let Some(job) = self.jobs.by_id.get(id).filter(|job| job.shard == shard) else { continue };
            let allowance = self.allowance_beyond_lost_zones(job);
            let mut left = u64::from(*count);
            for holders in [true, false] {
                for spot in spots.iter_mut() {
                    if left == 0 {
                        break;
                    }
                    let holds = self.fleet.machines.get(&spot.id).is_some_and(|m| m.holds(&job.spec.image));
                    if holds != holders || !allowance.allows(spot) {
                        continue;
                    }
                    let taken = count_in(&job.resources, &spot.unreserved()).min(left);
                    spot.reserve(&job.resources.times(taken));
                    left -= taken;
                }
            }
            let placed = count - left as u32;
            if placed > 0 {
                places.insert(id.clone(), placed);
            }
        }
        places
    }

    /// Has machines of lost zones deleted that run services, as far as there is room for these elsewhere.
    pub(crate) fn evacuate(&mut self) {
        if !self.policy.zones.evacuate || self.zones.displaced.is_empty() {
            return;
        }
        let shards: Vec<u32> = self.control.held_shards().collect();
        for shard in shards {
            self.evacuate_shard(shard);
        }
    }

    fn evacuate_shard(&mut self, shard: u32) {
        let candidates = self.machines_to_evacuate(shard);
        if candidates.is_empty() {
            return;
        }
        let mut spots = self.spots_of(shard);
        spots.iter_mut().for_each(Spot::clear_reserved);
        // What was proven gone a moment ago waits for its place, and takes it first.
        self.reserve_places(&self.waiting_services(shard), shard, &mut spots);
        let mut places = self.reserve_displaced(shard, &mut spots);
        let mut on_their_way = self.evacuations_on_their_way(shard);
        for id in &on_their_way {
            take_places(&mut places, &self.services_on(id));
        }
        let limits = &self.platform.deployment;
        let most = EVACUATIONS_LEAST.max((limits.store.write_rps / f64::from(limits.controller_count)) as usize);
        for id in candidates {
            if on_their_way.len() >= most {
                break;
            }
            let services = self.services_on(&id);
            if take_places(&mut places, &services) {
                tracing::info!(machine = %id, replicas = services.len(), "evacuated: its zone is lost");
                self.set_hold(&id, CordonReason::ForceDelete);
                on_their_way.push(id);
            }
        }
    }

    fn waiting_services(&self, shard: u32) -> Places {
        let waits = |job: &&Job| job.shard == shard && job.spec.kind == JobKind::Service && job.waiting() > 0;
        self.jobs.by_id.values().filter(waits).map(|job| (job.live.job().clone(), job.waiting())).collect()
    }

    /// Silent machines of a shard in zones that have been lost for long enough, with services, not yet to be deleted.
    fn machines_to_evacuate(&self, shard: u32) -> Vec<MachineId> {
        if !self.holds(Role::Shard(shard)) {
            return Vec::new();
        }
        let now = self.now();
        let patience = Micros::from_millis(self.policy.zones.evacuate_after_ms);
        let zones = &self.zones.zones;
        let lost_long = |zone: &&str| zones.state(zone).is_some_and(|state| now.since(state.since()) >= patience);
        let machines = zones.in_condition(Condition::Lost).filter(lost_long).flat_map(|zone| zones.machines(zone));
        let is_due = |id: &&MachineId| {
            let in_shard = self.store.replica.machines.get(*id).is_some_and(|record| {
                record.value.shard == shard
                    && !matches!(record.value.cordon, Some(CordonReason::ForceDelete | CordonReason::Deleted))
            });
            let idle = self.fleet.machines.get(*id).is_some_and(|machine| !machine.writing);
            in_shard && idle && zones.is_silent(id) && self.jobs.usage.serves(id)
        };
        machines.filter(is_due).cloned().collect()
    }

    fn evacuations_on_their_way(&self, shard: u32) -> Vec<MachineId> {
        let zones = &self.zones.zones;
        let machines = zones.in_condition(Condition::Lost).flat_map(|zone| zones.machines(zone));
        let is_on_its_way = |id: &&MachineId| {
            let doomed = self.store.replica.machines.get(*id).is_some_and(|record| {
                record.value.shard == shard && record.value.cordon == Some(CordonReason::ForceDelete)
            });
            doomed
                || self.fleet.machines.get(*id).is_some_and(|machine| machine.shard == Some(shard) && machine.writing)
        };
        machines.filter(is_on_its_way).cloned().collect()
    }
}

/// Takes a place for each of these services; none at all if one has none left.
fn take_places(places: &mut Places, services: &[JobId]) -> bool {
    let mut left = places.clone();
    for job in services {
        match left.get_mut(job) {
            Some(count) if *count > 0 => *count -= 1,
            _ => return false,
        }
    }
    *places = left;
    true
}
