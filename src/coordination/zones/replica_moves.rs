//! Voluntary moves of service replicas to another zone: out of a zone that operators cordoned, or out of the only zone
//! in which all replicas of a service run.
//!
//! One replica of a service moves at a time, and normally only if a machine elsewhere has capacity and the image, so
//! that the service misses it only briefly. Stop and start use the usual paths: the start is recorded after the old
//! attempt is proven absent.

use crate::coordination::Controller;
use crate::coordination::jobs::job::Job;
use crate::coordination::scheduling::shard_view::CandidateMachine;
use crate::coordination::zones::MovingReplica;
use crate::protocol::user::JobKind;
use crate::storage::schema::Role;
use crate::types::{JobId, Micros};
use burlhatch_zones::Condition;
use burlhatch_zones::rebalance::{ReplicaMove, ServiceReplicas, plan_move};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// Jobs that one search covers; the next search continues after them.
const JOBS_PER_SEARCH: usize = 64;

/// Time after which a replica that does not run elsewhere yet may return to the zone that it left.
const MOVE_TIMEOUT: Micros = Micros::from_millis(60_000);

impl Controller {
    /// Searches the next few jobs for a replica to move, and moves at most one.
    pub(super) fn move_replicas(&mut self) {
        self.remove_finished_moves();
        let tracker = &self.zones.tracker;
        let may_move = tracker.has_cordoned_zones() || self.policy.zones.rebalance;
        if !may_move || self.is_any_zone_lost() {
            return;
        }
        for id in self.next_services_to_search() {
            if let Some(replica_move) = self.wanted_replica_move(&id) {
                self.start_replica_move(replica_move);
                return;
            }
        }
    }

    /// Removes moves that are complete or have timed out, and those of finished services.
    fn remove_finished_moves(&mut self) {
        let now = self.now();
        let jobs = &self.jobs;
        self.zones.moving_replicas.retain(|id, moving| {
            let is_unfinished = jobs.get(id).is_some_and(|job| job.outcome.is_none() && !all_replicas_run(job));
            is_unfinished && now.since(moving.stopped_at) < MOVE_TIMEOUT
        });
    }

    /// Returns the unfinished services in shards held by this controller among the next `JOBS_PER_SEARCH` jobs.
    fn next_services_to_search(&mut self) -> Vec<JobId> {
        let after = self.zones.last_searched_job.take().map_or(Bound::Unbounded, Bound::Excluded);
        let searched: Vec<&JobId> = self.jobs.ids_from(after).take(JOBS_PER_SEARCH).collect();
        let last = searched.last().map(|id| (*id).clone());
        let is_held_service = |id: &&JobId| {
            let job = self.jobs.get(id).filter(|job| job.spec.kind == JobKind::Service && job.outcome.is_none());
            job.is_some_and(|job| self.holds(Role::Shard(job.shard)))
        };
        let services = searched.into_iter().filter(is_held_service).cloned().collect();
        self.zones.last_searched_job = last;
        services
    }

    fn wanted_replica_move(&mut self, id: &JobId) -> Option<ReplicaMove> {
        let job = self.jobs.get(id)?;
        let is_moving = self.zones.moving_replicas.contains_key(id);
        if job.spec.zone.is_some() || job.spec.one_zone || job.is_failing() || is_moving {
            return None;
        }
        let replicas = self.replicas_of(id, job);
        if !self.may_need_move(&replicas) {
            return None;
        }
        let machines = self.schedulable_machines(job.shard);
        let mut budget = std::mem::take(&mut self.zones.disruption_budget);
        let job = self.jobs.get(id)?;
        let is_cordoned = |zone: &str| self.zones.tracker.is_cordoned(zone);
        let has_place = |from_zone: &str| {
            machines.iter().any(|machine| machine.zone != from_zone && self.is_ready_for(job, machine, from_zone))
        };
        let wanted = plan_move(&replicas, &is_cordoned, &has_place, &mut budget, self.now(), &self.policy.zones);
        self.zones.disruption_budget = budget;
        wanted
    }

    /// Whether a service may need a move, which avoids the search for places otherwise.
    fn may_need_move(&self, replicas: &ServiceReplicas) -> bool {
        let in_cordoned_zone = replicas.running_by_zone.keys().any(|zone| self.zones.tracker.is_cordoned(zone));
        let replica_count = replicas.running_by_zone.values().map(Vec::len).sum::<usize>();
        let is_in_one_zone = replicas.running_by_zone.len() == 1 && replica_count > 1;
        replicas.is_complete && (in_cordoned_zone || (self.policy.zones.rebalance && is_in_one_zone))
    }

    fn replicas_of(&self, id: &JobId, job: &Job) -> ServiceReplicas {
        let mut running_by_zone: BTreeMap<String, Vec<u32>> = BTreeMap::new();
        for (task, attempt) in job.attempts.iter().filter(|(_, attempt)| attempt.keeps_running()) {
            if let Some(record) = self.store.replica.machines.get(attempt.machine()) {
                running_by_zone.entry(record.value.zone.clone()).or_default().push(task);
            }
        }
        ServiceReplicas {
            job: id.clone(),
            running_by_zone,
            is_complete: !job.recording.is_txn_in_flight && all_replicas_run(job),
        }
    }

    /// Whether a replica that leaves `from_zone` can start on a machine immediately, or after an image fetch if
    /// `from_zone` has been cordoned for `hold_wait_ms`.
    fn is_ready_for(&self, job: &Job, candidate: &CandidateMachine, from_zone: &str) -> bool {
        let has_image = self.fleet.machine(&candidate.id).is_some_and(|machine| machine.has_image(&job.spec.image));
        let is_up = self.zones.tracker.condition(&candidate.zone) == Condition::Up;
        (has_image || self.is_cordoned_for_long(from_zone))
            && is_up
            && job.resources.fits_in(&candidate.free)
            && self.placement_rules(job, None).allow(candidate)
    }

    fn is_cordoned_for_long(&self, zone: &str) -> bool {
        let cordon = self.store.replica.zone_cordons.get(zone);
        let cordoned_at = cordon.map(|cordon| cordon.value.map_or(Micros::ZERO, |record| record.at));
        let min_span = Micros::from_millis(self.policy.zones.hold_wait_ms);
        cordoned_at.is_some_and(|at| self.clock.wall.since(at) >= min_span)
    }

    fn start_replica_move(&mut self, replica_move: ReplicaMove) {
        let ReplicaMove { job: id, task, from_zone } = replica_move;
        let now = self.now();
        let Some(machine) = self.stop_with_grace(&id, task) else { return };
        tracing::info!(job = %id, task, %machine, from_zone, "replica moving to another zone");
        self.zones.moving_replicas.insert(id, MovingReplica { from_zone, stopped_at: now });
    }

    /// Returns the zones that the next task of a service should avoid: the zone that one of its replicas is moving out
    /// of, and the distrusted zones if it has no replica in a trusted one.
    pub(crate) fn zones_to_avoid(&self, id: &JobId, job: &Job, distrusted: &BTreeSet<String>) -> BTreeSet<String> {
        let mut avoided = BTreeSet::new();
        if !self.handles_zone_failures() || job.spec.kind != JobKind::Service {
            return avoided;
        }
        avoided.extend(self.zones.moving_replicas.get(id).map(|moving| moving.from_zone.clone()));
        let is_trusted = |zone: &str| !distrusted.contains(zone) && self.zone_takes_work(zone);
        let attempts = job.attempts.values().filter(|attempt| attempt.occupies_resources());
        let machines = attempts.filter_map(|attempt| self.store.replica.machines.get(attempt.machine()));
        let has_trusted_replica = machines.map(|machine| machine.value.zone.as_str()).any(is_trusted);
        if !distrusted.is_empty() && !has_trusted_replica {
            avoided.extend(distrusted.iter().cloned());
        }
        avoided
    }

    /// Whether a service that finds no place outside the zones it should avoid has waited long enough to use them.
    pub(crate) fn may_use_avoided_zones(&mut self, id: &JobId) -> bool {
        let now = self.now();
        let max_wait = Micros::from_millis(self.policy.zones.distrust_wait_ms);
        now.since(self.zones.avoiding_since(id, now)) >= max_wait
    }
}

/// Whether all replicas of a service run and none is being stopped.
fn all_replicas_run(job: &Job) -> bool {
    let running_count = job.attempts.values().filter(|attempt| attempt.keeps_running()).count();
    running_count == job.spec.tasks as usize && job.attempts.values().count() == running_count
}
