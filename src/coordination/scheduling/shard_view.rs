//! The machines of a shard that take work, with what is kept free on them and what a job's conditions allow.

use crate::coordination::Controller;
use crate::coordination::jobs::job::Job;
use crate::protocol::user::{JobKind, JobSpec, Priority};
use crate::types::{JobId, MachineId, Micros, Resources};
use burlhatch_zones::fetches::FetchQueues;
use std::collections::{BTreeMap, BTreeSet};

/// A machine of one shard as this round sees it.
pub(crate) struct Spot {
    pub id: MachineId,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub free: Resources,
    /// Part of it that batch work leaves to the services that may come next.
    reserved: Resources,
    pub incarnation: u64,
    pub failed_here: Vec<JobId>,
    /// Its zone came back a short while ago and gets work step by step.
    pub is_returning: bool,
    /// Images that wait to be fetched there; counted only while fetches are limited.
    pub fetches: u32,
}

impl Spot {
    /// Room that nothing is kept free of.
    pub fn unreserved(&self) -> Resources {
        self.free.minus(&self.reserved)
    }

    /// Keeps room free of batch work.
    pub fn reserve(&mut self, resources: &Resources) {
        self.reserved = self.reserved.plus(resources);
    }

    /// Forgets all that was to be kept free.
    pub fn clear_reserved(&mut self) {
        self.reserved = Resources::default();
    }

    /// Whether a task of a job has resources there.
    pub fn takes(&self, job: &Job) -> bool {
        if job.spec.priority > Priority::Normal {
            return job.resources.fits_in(&self.free);
        }
        job.resources.fits_in(&self.unreserved())
    }
}

/// The machines of one shard that take work, as one pass over the jobs sees them.
pub(crate) struct ShardView {
    pub spots: Vec<Spot>,
    /// Fetches in each zone, while they are limited.
    pub fetch_queues: Option<FetchQueues>,
    /// Zones that have failed too often lately.
    pub distrusted: BTreeSet<String>,
}

impl ShardView {
    /// What placing a task changes, so that a gang that does not fit leaves nothing behind.
    pub fn save(&self) -> SavedView {
        let spots = self.spots.iter().map(|spot| (spot.free, spot.fetches)).collect();
        SavedView { spots, fetch_queues: self.fetch_queues.clone() }
    }

    pub fn restore(&mut self, saved: SavedView) {
        for (spot, (free, fetches)) in self.spots.iter_mut().zip(saved.spots) {
            (spot.free, spot.fetches) = (free, fetches);
        }
        self.fetch_queues = saved.fetch_queues;
    }
}

/// What placing a task changes of a [`ShardView`].
pub(crate) struct SavedView {
    spots: Vec<(Resources, u32)>,
    fetch_queues: Option<FetchQueues>,
}

/// What a job's own conditions allow for one more task, given where its others are.
pub(crate) struct Allowance<'a> {
    spec: &'a JobSpec,
    zone: Option<&'a str>,
    pub per_zone: BTreeMap<String, u32>,
}

impl Allowance<'_> {
    /// Whether it may go to a machine.
    pub fn allows(&self, s: &Spot) -> bool {
        let spec = self.spec;
        spec.allows(&s.machine_type, &s.zone, s.spot)
            && self.zone.is_none_or(|z| z == s.zone)
            && (!spec.one_zone || self.per_zone.keys().all(|z| *z == s.zone))
            && (!spec.spread || self.per_zone.get(&s.zone).copied().unwrap_or(0) < spec.tasks.div_ceil(2))
    }
}

impl Controller {
    /// Keeps room on holders of their images for as many tasks of services as came lately in the time
    /// that room takes to fall free. A service that finds none waits for a fetch, and batch work
    /// takes whatever is free.
    fn reserve(&self, shard: u32, spots: &mut [Spot]) {
        let window = Micros::from_millis(self.policy.reserve_window_ms);
        let part = self.policy.reserve_ms as f64 / self.policy.reserve_window_ms as f64;
        let mut wanted: BTreeMap<&str, (f64, Resources)> = BTreeMap::new();
        for job in self.jobs.by_id.values().filter(|j| j.shard == shard && j.spec.kind == JobKind::Service) {
            if self.clock.wall.since(job.accepted) < window {
                let entry = wanted.entry(&job.spec.image).or_default();
                *entry = (entry.0 + f64::from(job.spec.tasks) * part, job.resources);
            }
        }
        for (image, (tasks, resources)) in wanted {
            let mut left = tasks.round() as u32;
            for spot in spots.iter_mut() {
                if left == 0 {
                    break;
                }
                let with_it = spot.reserved.plus(&resources);
                if with_it.fits_in(&spot.free) && self.fleet.machines.get(&spot.id).is_some_and(|m| m.holds(image)) {
                    spot.reserved = with_it;
                    left -= 1;
                }
            }
        }
    }

    /// Machines of a shard that take work now.
    pub(crate) fn spots_of(&self, shard: u32) -> Vec<Spot> {
        let now = self.now();
        let recent = Micros::from_secs_f64(self.platform.deployment.agents.heartbeat_s * 1.7);
        let pause = Micros::from_millis(self.policy.retry_max_ms);
        let unreported = self.unreported_span();
        let mut spots: Vec<Spot> = self
            .store
            .replica
            .machines
            .iter()
            .filter(|(_, r)| r.value.shard == shard && r.value.cordon.is_none())
            .filter(|(id, r)| !self.is_cleared(id) && self.zone_takes_work(&r.value.zone))
            .filter_map(|(id, record)| {
                let machine = self.fleet.machines.get(id)?;
                let heard = now.since(machine.heard) <= recent && !machine.is_unreported(now, unreported);
                if !machine.token_confirmed || machine.notice || !heard || !machine.trusted() {
                    return None;
                }
                Some(Spot {
                    id: id.clone(),
                    machine_type: record.value.machine_type.clone(),
                    zone: record.value.zone.clone(),
                    spot: record.value.spot,
                    free: self.free_resources(id),
                    reserved: Resources::default(),
                    incarnation: machine.incarnation,
                    failed_here: machine.failed_jobs(now, pause).cloned().collect(),
                    is_returning: self.zone_is_returning(&record.value.zone),
                    fetches: 0,
                })
            })
            .collect();
        self.reserve(shard, &mut spots);
        spots
    }

    pub(crate) fn view_of(&mut self, shard: u32) -> ShardView {
        let mut spots = self.spots_of(shard);
        if !self.judges_zones() {
            return ShardView { spots, fetch_queues: None, distrusted: BTreeSet::new() };
        }
        self.reserve_displaced(shard, &mut spots);
        let fetch_queues = self.is_restoring().then(|| self.count_fetches(&mut spots));
        let distrusted = self.distrusted_zones(&spots);
        ShardView { spots, fetch_queues, distrusted }
    }

    fn count_fetches(&self, spots: &mut [Spot]) -> FetchQueues {
        let mut queues = FetchQueues::default();
        for spot in spots {
            spot.fetches =
                self.fleet.machines.get(&spot.id).map_or(0, |m| self.pending_fetches(&spot.id, m, 0.0).len() as u32);
            queues.add(&spot.zone, spot.fetches);
        }
        queues
    }

    /// Machines that the job's own conditions allow for one more task.
    pub(crate) fn allowance<'a>(&self, job: &'a Job, zone: Option<&'a str>) -> Allowance<'a> {
        let spec = &*job.spec;
        let mut per_zone: BTreeMap<String, u32> = BTreeMap::new();
        if spec.one_zone || spec.spread {
            // Every start in the stored records counts, also those saving or out of reach.
            for live in job.live.values().filter(|l| l.occupies()) {
                if let Some(record) = self.store.replica.machines.get(live.machine()) {
                    *per_zone.entry(record.value.zone.clone()).or_default() += 1;
                }
            }
        }
        Allowance { spec, zone, per_zone }
    }

    /// The same for a task whose job's others may be in lost zones, from which they are to go.
    pub(crate) fn allowance_beyond_lost_zones<'a>(&self, job: &'a Job) -> Allowance<'a> {
        let mut allowance = self.allowance(job, None);
        allowance.per_zone.retain(|zone, _| self.zone_takes_work(zone));
        allowance
    }

    /// Whether a zone that returns takes one more start, and a machine one more fetch while these are limited.
    pub(crate) fn is_admitted(&self, job: &Job, spot: &Spot, view: &ShardView) -> bool {
        if spot.is_returning && !self.zone_admits_start(&spot.zone) {
            return false;
        }
        let Some(queues) = &view.fetch_queues else { return true };
        !self.adds_fetch(job, spot) || queues.admits(&spot.zone, spot.fetches, &self.policy.zones)
    }

    /// Whether a task started there would have one more image fetched.
    pub(crate) fn adds_fetch(&self, job: &Job, spot: &Spot) -> bool {
        let image = job.spec.image.as_str();
        let Some(machine) = self.fleet.machines.get(&spot.id) else { return true };
        let is_pending = || self.pending_fetches(&spot.id, machine, 0.0).iter().any(|fetch| fetch.image == image);
        !machine.holds(image) && !is_pending()
    }

    /// Whether a whole zone takes no more starts, or no more fetches, in this pass.
    pub(crate) fn is_zone_exhausted(&self, spot: &Spot, view: &ShardView) -> bool {
        let no_starts = spot.is_returning && !self.zone_admits_start(&spot.zone);
        let no_fetches = || view.fetch_queues.as_ref().is_some_and(|q| !q.zone_admits(&spot.zone, &self.policy.zones));
        no_starts || no_fetches()
    }
}
