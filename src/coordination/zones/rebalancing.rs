//! Replicas of services that move to another zone although nothing forces them to: out of a zone that operators hold,
//! or out of the one zone in which all replicas of a service ended up.
//!
//! One of a service at a time, and only when a machine elsewhere has resources and its image, so that the service misses it
//! only for a moment. The stop and the new start are ordinary ones: the start is recorded after the old attempt is
//! proven gone.

use crate::coordination::Controller;
use crate::coordination::jobs::job::Job;
use crate::coordination::jobs::usage::Phase;
use crate::coordination::scheduling::shard_view::Spot;
use crate::coordination::zones::zone_control::MovingReplica;
use crate::protocol::user::JobKind;
use crate::storage::schema::Role;
use crate::types::{JobId, Micros};
use burlhatch_zones::Condition;
use burlhatch_zones::rebalance::{Move, Replicas, wanted_move};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// Jobs that one look takes in; the next goes on from there.
const LOOKED_AT: usize = 64;

/// A replica that has not come to work elsewhere after this is no longer kept out of the zone that it left.
const MOVE_SPAN: Micros = Micros::from_millis(60_000);

impl Controller {
    /// Looks at a few services and moves at most one replica.
    pub(crate) fn move_replicas(&mut self) {
        self.forget_moves();
        let zones = &self.zones.zones;
        let wanted = zones.any_on_hold() || self.policy.zones.rebalance;
        if !wanted || zones.in_condition(Condition::Lost).next().is_some() {
            return;
        }
        for id in self.next_services() {
            if let Some(found) = self.move_of(&id) {
                self.start_move(found);
                return;
            }
        }
    }

    /// Moves whose replica is at work elsewhere, or that came to nothing.
    fn forget_moves(&mut self) {
        let now = self.now();
        let jobs = &self.jobs.by_id;
        self.zones.moving.retain(|id, moving| {
            let open = jobs.get(id).is_some_and(|job| job.over.is_none() && !is_at_work(job));
            open && now.since(moving.since) < MOVE_SPAN
        });
    }

    fn next_services(&mut self) -> Vec<JobId> {
        let from = self.zones.last_looked.take().map_or(Bound::Unbounded, Bound::Excluded);
        let looked: Vec<&JobId> =
            self.jobs.by_id.range((from, Bound::Unbounded)).take(LOOKED_AT).map(|(id, _)| id).collect();
        let last = looked.last().map(|id| (*id).clone());
        let is_ours = |id: &&JobId| {
            let job = self.jobs.by_id.get(*id).filter(|job| job.spec.kind == JobKind::Service && job.over.is_none());
            job.is_some_and(|job| self.holds(Role::Shard(job.shard)))
        };
        let services = looked.into_iter().filter(is_ours).cloned().collect();
        self.zones.last_looked = last;
        services
    }

    fn move_of(&mut self, id: &JobId) -> Option<Move> {
        let job = self.jobs.by_id.get(id)?;
        if job.spec.zone.is_some() || job.spec.one_zone || job.is_failing() || self.zones.moving.contains_key(id) {
            return None;
        }
        let replicas = self.replicas_of(id, job);
        let spots = if self.may_need_move(&replicas) { self.spots_of(job.shard) } else { return None };
        let mut budget = std::mem::take(&mut self.zones.disruption);
        let job = self.jobs.by_id.get(id)?;
        let is_held = |zone: &str| self.zones.zones.is_on_hold(zone);
        let has_place = |from: &str| spots.iter().any(|spot| spot.zone != from && self.is_ready_for(job, spot, from));
        let found = wanted_move(&replicas, &is_held, &has_place, &mut budget, self.now(), &self.policy.zones);
        self.zones.disruption = budget;
        found
    }

    /// Whether looking for places is worth it at all.
    fn may_need_move(&self, replicas: &Replicas) -> bool {
        let held = replicas.at_work.keys().any(|zone| self.zones.zones.is_on_hold(zone));
        let tasks = replicas.at_work.values().map(Vec::len).sum::<usize>();
        replicas.is_whole && (held || (self.policy.zones.rebalance && replicas.at_work.len() == 1 && tasks > 1))
    }

    fn replicas_of(&self, id: &JobId, job: &Job) -> Replicas {
        let mut at_work: BTreeMap<String, Vec<u32>> = BTreeMap::new();
        for (task, live) in job.live.iter().filter(|(_, live)| live.phase() == Phase::Running && live.stop.is_none()) {
            if let Some(record) = self.store.replica.machines.get(live.machine()) {
                at_work.entry(record.value.zone.clone()).or_default().push(task);
            }
        }
        Replicas { job: id.clone(), at_work, is_whole: !job.locked && is_at_work(job) }
    }

    /// Whether a replica that leaves a zone would be at work there at once; or, if operators have waited long enough for
    /// the zone to be empty, after a fetch.
    fn is_ready_for(&self, job: &Job, spot: &Spot, from: &str) -> bool {
        let holds = self.fleet.machines.get(&spot.id).is_some_and(|machine| machine.holds(&job.spec.image));
        let up = self.zones.zones.condition(&spot.zone) == Condition::Up;
        (holds || self.is_held_for_long(from))
            && up
            && job.resources.fits_in(&spot.free)
            && self.allowance(job, None).allows(spot)
    }

    fn is_held_for_long(&self, zone: &str) -> bool {
        let since = self.store.replica.zone_holds.get(zone).map(|held| held.value.map_or(Micros::ZERO, |hold| hold.at));
        let patience = Micros::from_millis(self.policy.zones.hold_wait_ms);
        since.is_some_and(|since| self.clock.wall.since(since) >= patience)
    }

    fn start_move(&mut self, found: Move) {
        let Move { job: id, task, from } = found;
        let now = self.now();
        let Some(job) = self.jobs.by_id.get_mut(&id) else { return };
        let grace = if job.spec.checkpoint_interval_s > 0.0 { self.policy.stop_grace_s } else { 0.0 };
        let Some(live) = job.live.get_mut(task) else { return };
        live.stop = Some(grace);
        let machine = live.machine().clone();
        tracing::info!(job = %id, task, %machine, from, "replica moves to another zone");
        self.zones.moving.insert(id, MovingReplica { from, since: now });
        self.want_push(&machine);
    }

    /// Zones that a job's next start had better avoid: one that a replica of it is moving out of, and those that fail
    /// again and again if all of its replicas would be there.
    pub(crate) fn zones_to_avoid(&self, id: &JobId, job: &Job, distrusted: &BTreeSet<String>) -> BTreeSet<String> {
        let mut avoided = BTreeSet::new();
        if !self.judges_zones() || job.spec.kind != JobKind::Service {
            return avoided;
        }
        avoided.extend(self.zones.moving.get(id).map(|moving| moving.from.clone()));
        let elsewhere = |zone: &str| !distrusted.contains(zone) && self.zone_takes_work(zone);
        let machines = job.live.values().filter(|live| live.occupies()).map(super::super::jobs::usage::Start::machine);
        let mut zones = machines.filter_map(|id| self.store.replica.machines.get(id)).map(|m| m.value.zone.as_str());
        if !distrusted.is_empty() && !zones.any(elsewhere) {
            avoided.extend(distrusted.iter().cloned());
        }
        avoided
    }

    /// Whether a service that found no place outside the zones it avoids takes one there: it has waited long enough.
    pub(crate) fn gives_up_avoiding(&mut self, id: &JobId) -> bool {
        let now = self.now();
        let patience = Micros::from_millis(self.policy.zones.distrust_wait_ms);
        let since = *self.zones.avoiding_since.entry(id.clone()).or_insert(now);
        now.since(since) >= patience
    }
}

/// Whether all replicas of a service are at work and none is being stopped.
fn is_at_work(job: &Job) -> bool {
    let at_work = job.live.values().filter(|live| live.phase() == Phase::Running && live.stop.is_none()).count();
    at_work == job.spec.tasks as usize && job.live.values().count() == at_work
}
