//! Planning capacity: which shard lacks resources for what waits, which machines go to another shard, and which are
//! returned.

use crate::coordination::Controller;
use crate::coordination::jobs::job::Job;
use crate::protocol::user::{JobKind, JobSpec, Priority};
use crate::storage::schema::CordonReason;
use crate::types::{MachineId, Micros, Resources};
use std::collections::{BTreeMap, HashMap};

/// A machine's room in the plan.
#[derive(Clone)]
pub(crate) struct Slot {
    pub id: Option<MachineId>,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub free: Resources,
    pub untouched: bool,
}

impl Slot {
    /// Whether a job may run there, wherever its other tasks are.
    fn is_allowed_for(&self, spec: &JobSpec) -> bool {
        spec.allows(&self.machine_type, &self.zone, self.spot)
    }
}

/// Tasks that found no resources in the plan.
#[derive(Clone)]
pub(crate) struct Unmet {
    pub shard: u32,
    pub spec: JobSpec,
    pub count: u64,
    /// Whether it is worth renting for. What isn't gets machines that stand idle in other shards.
    pub worth_renting: bool,
    /// Where the job's other tasks are or will be.
    pub zones: BTreeMap<String, u64>,
}

/// One in so many machines is returned at a time, so that a short lull doesn't empty the cluster.
const RETURN_PART: usize = 100;

/// Estimates below this are taken for it, in seconds.
const ESTIMATE_LEAST_S: f64 = 5.0;

/// Batch work of a shard that waits.
#[derive(Default)]
struct Backlog {
    cpu_seconds: f64,
    /// What finds no resources now, and since when it could have run.
    unmet: Vec<(Unmet, Micros)>,
}

impl Backlog {
    fn add(&mut self, job: &Job, tasks: u64) {
        self.cpu_seconds += tasks as f64 * job.spec.cpus * job.spec.estimated_runtime_s.max(ESTIMATE_LEAST_S);
    }
}

impl Controller {
    pub(crate) fn plan(&mut self) {
        let mut unmet: Vec<Unmet> = Vec::new();
        let mut slots: BTreeMap<u32, Vec<Slot>> = BTreeMap::new();
        for shard in 0..self.shard_count() {
            let mut own = self.slots_of(shard);
            self.fill(shard, &mut own, &mut unmet);
            slots.insert(shard, own);
        }
        // Whoever is most urgent gets what is free, what is coming, and is rented for first.
        unmet.sort_by_key(|u| (std::cmp::Reverse(u.spec.priority), !u.worth_renting));
        self.autoscaling.leader.need = unmet.clone();
        self.shift(&mut slots, &mut unmet);
        unmet.retain(|u| u.worth_renting);
        let mut boots = self.boot_slots();
        for u in &mut unmet {
            u.count -= fit(&u.spec, u.count, &mut boots, &mut u.zones);
        }
        unmet.retain(|u| u.count > 0);
        self.rent_for(&unmet);
        self.reclaim(&slots, &unmet);
        self.return_idle(&slots, &unmet);
    }

    fn slots_of(&self, shard: u32) -> Vec<Slot> {
        self.store
            .replica
            .machines
            .iter()
            .filter(|(_, r)| r.value.shard == shard && r.value.cordon.is_none())
            .filter(|(_, r)| self.zone_takes_work(&r.value.zone))
            .map(|(id, r)| {
                let free = self.free_resources(id);
                Slot {
                    id: Some(id.clone()),
                    machine_type: r.value.machine_type.clone(),
                    zone: r.value.zone.clone(),
                    spot: r.value.spot,
                    free,
                    untouched: free == self.machine_resources(id),
                }
            })
            .collect()
    }

    /// Fits the waiting tasks of a shard into its machines and notes what is left over, as far as
    /// that is worth machines of its own.
    pub(crate) fn fill(&self, shard: u32, slots: &mut [Slot], unmet: &mut Vec<Unmet>) {
        let has_zone = |job: &Job| job.spec.zone.as_ref().is_none_or(|zone| self.zone_takes_work(zone));
        let open = |job: &&Job| job.shard == shard && job.recorded && job.over.is_none() && has_zone(job);
        let mut jobs: Vec<&Job> = self.jobs.by_id.values().filter(open).collect();
        jobs.sort_by_key(|j| (std::cmp::Reverse(j.urgency.priority), j.ready));
        let mut batch = Backlog::default();
        let mut used: HashMap<&str, Resources> = HashMap::new();
        for job in &jobs {
            if let Some(team) = &job.spec.team {
                used.entry(team)
                    .or_insert_with(|| self.jobs.usage.used_by(team).minus(&self.displaced_resources(team)));
            }
        }
        for job in &jobs {
            // Replicas in lost zones need room elsewhere before they are proven gone: boots take as long as the proof.
            let waiting = self.worth_capacity(job, slots) + u64::from(self.displaced_of(job.live.job()));
            let mut count = waiting;
            if let Some(team) = job.spec.team.as_deref() {
                let sum = used.entry(team).or_default();
                count = count.min(self.within_limit_count(team, sum, &job.resources));
                *sum = sum.plus(&job.resources.times(count));
            }
            // What its team's limit keeps back queues as well, and would be worked off sooner with more machines.
            if job.spec.kind == JobKind::Array {
                batch.add(job, waiting - count);
            }
            if count == 0 {
                continue;
            }
            let mut zones = self.zones_of(job);
            let left = count - fit(&job.spec, count, slots, &mut zones);
            if left == 0 {
                continue;
            }
            let rest = Unmet { shard, spec: (*job.spec).clone(), count: left, worth_renting: true, zones };
            if job.spec.kind == JobKind::Array {
                batch.add(job, left);
                batch.unmet.push((rest, job.ready));
            } else {
                unmet.push(rest);
            }
        }
        self.add_spare(&jobs, shard, slots, unmet);
        unmet.extend(self.worth_machines(batch, &jobs));
    }

    /// Waiting tasks of a job that machines may be rented or moved for. A job that fails wherever it runs gets none, but
    /// one to be tried on if there is none at all that it may run on.
    fn worth_capacity(&self, job: &Job, slots: &[Slot]) -> u64 {
        if !job.is_failing() {
            return u64::from(job.waiting());
        }
        let need = job.spec.resources();
        let could_hold = |slot: &Slot| {
            let resources = slot.id.as_ref().map_or(slot.free, |id| self.machine_resources(id));
            slot.is_allowed_for(&job.spec) && need.fits_in(&resources)
        };
        u64::from(job.waiting() > 0 && !slots.iter().any(could_hold))
    }

    /// How many tasks of a job each zone has, if that binds the others.
    fn zones_of(&self, job: &Job) -> BTreeMap<String, u64> {
        let mut zones = BTreeMap::new();
        if job.spec.one_zone || job.spec.spread {
            for live in job.live.values().filter(|l| l.occupies()) {
                if let Some(r) = self.store.replica.machines.get(live.machine())
                    && self.zone_takes_work(&r.value.zone)
                {
                    *zones.entry(r.value.zone.clone()).or_default() += 1;
                }
            }
        }
        zones
    }

    /// Batch work may queue as long as what the shard has works it off in time; the rest needs machines. What has waited
    /// for a while none the less gets those that others have no use for: no task should wait next to a machine with room.
    fn worth_machines(&self, batch: Backlog, jobs: &[&Job]) -> Vec<Unmet> {
        let drain = Micros::from_millis(self.policy.drain_ms).secs();
        let running: f64 = jobs
            .iter()
            .filter(|j| j.spec.kind == JobKind::Array)
            .map(|j| j.spec.cpus * f64::from(j.live.occupying()))
            .sum();
        let mut wanted = batch.cpu_seconds / drain - running;
        let mut unmet = Vec::new();
        let patience = Micros::from_millis(self.policy.shift_waiting_ms);
        for (mut rest, ready) in batch.unmet {
            let worth = (wanted.max(0.0) / rest.spec.cpus.max(0.01)).ceil() as u64;
            let beyond = rest.count.saturating_sub(worth);
            if beyond > 0 && self.clock.wall.since(ready) >= patience {
                unmet.push(Unmet { count: beyond, worth_renting: false, ..rest.clone() });
            }
            rest.count -= beyond;
            wanted -= rest.count as f64 * rest.spec.cpus;
            if rest.count > 0 {
                unmet.push(rest);
            }
        }
        unmet
    }

    fn within_limit_count(&self, team: &str, used: &Resources, each: &Resources) -> u64 {
        let Some(team) = self.platform.deployment.team(team) else { return u64::MAX };
        let limit = team.resource_limit();
        let by = |limit: u64, used: u64, each: u64| {
            if limit == 0 || each == 0 { u64::MAX } else { limit.saturating_sub(used) / each }
        };
        by(limit.cpus, used.cpus, each.cpus).min(by(limit.gpus, used.gpus, each.gpus))
    }

    /// Room for a few more of the largest services, so that the next one starts at once.
    fn add_spare(&self, jobs: &[&Job], shard: u32, slots: &mut [Slot], unmet: &mut Vec<Unmet>) {
        let services = jobs.iter().filter(|j| j.spec.kind == JobKind::Service);
        let Some(largest) = services.max_by_key(|j| j.resources.cpus) else { return };
        // Lower work running there can make way as well.
        let preemptible = jobs
            .iter()
            .filter(|j| j.spec.kind == JobKind::Array && j.spec.priority < Priority::High)
            .map(|j| j.resources.cpus * u64::from(j.live.occupying()))
            .sum::<u64>()
            / largest.resources.cpus.max(1);
        let count = u64::from(self.policy.spare_tasks).saturating_sub(preemptible / 2);
        let mut spec = (*largest.spec).clone();
        spec.spread = false;
        spec.one_zone = false;
        let left = count - fit(&spec, count, slots, &mut BTreeMap::new());
        if left > 0 {
            unmet.push(Unmet { shard, spec, count: left, worth_renting: true, zones: BTreeMap::new() });
        }
    }

    /// Machines a shard doesn't need go to shards whose tasks wait.
    fn shift(&mut self, slots: &mut BTreeMap<u32, Vec<Slot>>, unmet: &mut [Unmet]) {
        let now = self.now();
        let patience = Micros::from_millis(self.policy.shift_after_ms);
        let mut moves = Vec::new();
        let most = self.moves_left();
        // Hundreds may wait, and a walk over all machines for each would take most of a round.
        let mut idle = slots.values().flatten().filter(|slot| slot.untouched).count();
        for u in unmet.iter_mut() {
            if idle == 0 || moves.len() >= most {
                break;
            }
            let urgent = u.spec.priority > Priority::Normal;
            let free_enough = |s: &Slot| {
                let machine = s.id.as_ref().and_then(|id| self.fleet.machines.get(id));
                urgent || machine.and_then(|m| m.free_since).is_some_and(|since| now.since(since) >= patience)
            };
            for (from, own) in slots.iter_mut().filter(|(s, _)| **s != u.shard) {
                for slot in own.iter_mut().filter(|s| s.untouched && free_enough(s)) {
                    if u.count == 0 || moves.len() >= most {
                        break;
                    }
                    let taken = fit(&u.spec, u.count, std::slice::from_mut(slot), &mut u.zones);
                    if taken > 0 {
                        u.count -= taken;
                        slot.untouched = false;
                        idle -= 1;
                        moves.push((slot.id.clone(), *from, u.shard));
                    }
                }
            }
        }
        for (id, from, to) in moves {
            if let Some(id) = id {
                tracing::debug!(machine = %id, from, to, "shifting");
                self.set_hold_of(&id, CordonReason::MoveToShard(to));
            }
        }
    }

    /// How many more machines may be on their way to other shards. Each move costs two changes, which starts and
    /// submissions need more.
    pub(crate) fn moves_left(&self) -> usize {
        let moving = self
            .store
            .replica
            .machines
            .values()
            .filter(|m| matches!(m.value.cordon, Some(CordonReason::MoveToShard(_))))
            .count();
        let most = ((self.platform.deployment.store.write_rps * self.policy.shift_part) as usize).max(1);
        most.saturating_sub(moving)
    }

    /// Machines that nothing needs, and nothing has used for a while, are returned.
    fn return_idle(&mut self, slots: &BTreeMap<u32, Vec<Slot>>, unmet: &[Unmet]) {
        let now = self.now();
        if !unmet.is_empty() {
            return;
        }
        // Each machine returned costs a few changes, and one rented again another.
        let plenty = self.store.budget.is_idle(now);
        let idle_ms = if plenty { self.policy.idle_return_ms } else { self.policy.idle_return_short_ms };
        let idle = Micros::from_millis(idle_ms);
        let ids: Vec<MachineId> = slots
            .values()
            .flatten()
            .filter(|s| s.untouched)
            .filter_map(|s| s.id.clone())
            .filter(|id| {
                let free = self.fleet.machines.get(id).and_then(|m| m.free_since);
                free.is_some_and(|since| now.since(since) >= idle)
            })
            .take((self.store.replica.machines.len() / RETURN_PART).max(2))
            .collect();
        for id in ids {
            self.set_hold_of(&id, CordonReason::Retire);
        }
    }
}

pub(crate) fn count_in(each: &Resources, resources: &Resources) -> u64 {
    let by = |each: u64, resources: u64| resources.checked_div(each).unwrap_or(u64::MAX);
    by(each.cpus, resources.cpus).min(by(each.gpus, resources.gpus)).min(by(each.memory, resources.memory))
}

/// Puts up to `count` tasks into the slots, first fit, and says how many found room. `zones`
/// counts the job's tasks by zone.
pub(crate) fn fit(spec: &JobSpec, count: u64, slots: &mut [Slot], zones: &mut BTreeMap<String, u64>) -> u64 {
    let each = spec.resources();
    let most = u64::from(spec.tasks.div_ceil(2));
    let mut placed = 0;
    for slot in slots.iter_mut() {
        if placed == count {
            break;
        }
        let allowed = slot.is_allowed_for(spec) && (!spec.one_zone || zones.keys().all(|z| *z == slot.zone));
        if !allowed {
            continue;
        }
        let mut n = count_in(&each, &slot.free).min(count - placed);
        if spec.spread {
            n = n.min(most.saturating_sub(zones.get(&slot.zone).copied().unwrap_or(0)));
        }
        if n > 0 {
            slot.free = slot.free.minus(&each.times(n));
            slot.untouched = false;
            placed += n;
            *zones.entry(slot.zone.clone()).or_default() += n;
        }
    }
    placed
}
