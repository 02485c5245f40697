//! Liveness checks while no fault is active, and queries for the scenarios.

use super::{MS, S, World};
use burlhatch::protocol::user::JobKind;
use burlhatch::storage::Replica;
use burlhatch::storage::schema::{CordonReason, ROOT};
use burlhatch::types::{JobId, MachineId};
use burlhatch_zones::Condition;
use std::collections::BTreeSet;

/// Longest time for which requests about an accepted job may stay without an answer once no fault is active. Users wait
/// 75 s at most.
const MAX_ANSWER_GAP: u64 = 40 * S;
/// Longest time for which a task may wait then while a machine that fits has room and its team is below its limit.
const MAX_RUNNABLE_WAIT: u64 = 90 * S;

impl World {
    /// Returns the controller that holds a role: `leader`, or `share/` and the number of a shard.
    pub fn holder(&self, role: &str) -> Option<usize> {
        let (value, ..) = self.store.keys.get(&format!("{ROOT}{role}"))?;
        let text = format!("{value:?}");
        (0..self.size.nodes).find(|n| text.contains(&format!("node-{n}")))
    }

    /// Checks for how long the users of each accepted job that isn't cancelled have been without an answer.
    pub(super) fn check_answer_gaps(&mut self) {
        let now = self.now;
        let Some(from) = self.liveness_checked_since.filter(|from| *from < now) else { return };
        let mut found = Vec::new();
        for (id, job) in self.jobs.iter_mut().filter(|(_, j)| j.accepted && j.cancelled.is_none()) {
            job.max_answer_gap = job.max_answer_gap.max(now - job.answered.max(from));
            if job.max_answer_gap > MAX_ANSWER_GAP && job.max_answer_gap < MAX_ANSWER_GAP + S {
                found.push(format!("forgotten: no request about {id} was answered for {} ms", job.max_answer_gap / MS));
            }
        }
        for violation in found {
            self.report_violation(violation);
        }
    }

    /// Checks for how long each array or service with a waiting task could have run it.
    pub(super) fn check_runnable_tasks(&mut self) {
        let now = self.now;
        let Some(from) = self.liveness_checked_since.filter(|from| *from < now) else { return };
        let mut found = Vec::new();
        for (id, job) in self.jobs.iter().filter(|(_, j)| {
            j.accepted && j.reported_outcome.is_none() && j.spec.kind != JobKind::Gang && j.fails_after.is_none()
        }) {
            let placed = |index: u32| self.agents.values().any(|agent| agent.tasks.contains_key(&(id.clone(), index)));
            let is_waiting = (0..job.spec.tasks).any(|t| !job.done_tasks[t as usize] && !placed(t));
            // `could_run` ignores the job's other tasks, on which the zone depends with `one_zone` and `spread`.
            let is_placed_independently = !job.spec.one_zone && !job.spec.spread;
            let could_run = is_waiting
                && is_placed_independently
                && job.cancel_at.is_none_or(|at| at > now)
                && self.could_run(&job.spec);
            let since = if could_run { Some(job.runnable_since.unwrap_or(now).max(from)) } else { None };
            found.push((id.clone(), since));
        }
        for (id, since) in found {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.runnable_since = since;
            }
            if since.is_some_and(|at| now - at >= MAX_RUNNABLE_WAIT) {
                self.report_violation(format!("{id} waits for 90 s though it could run"));
            }
        }
    }

    /// Records that a rule of the protocol was violated.
    pub fn report_violation(&mut self, violation: String) {
        let at = self.now as f64 / 1e6;
        self.violations.push(format!("{at:.3} s: {violation}"));
    }

    /// Returns all keys below the root.
    pub fn stored_keys(&self) -> Vec<String> {
        self.store.keys.keys().filter(|k| k.starts_with(ROOT)).cloned().collect()
    }

    fn stored(&self) -> Replica {
        let mut replica = Replica::default();
        for (key, (value, version, _)) in &self.store.keys {
            replica.apply(key, Some(value), *version);
        }
        replica
    }

    /// Returns the machines in the stored records, whether in a record of their own or in one of the fleet.
    pub fn stored_machines(&self) -> Vec<MachineId> {
        self.stored().machines.into_keys().collect()
    }

    /// Returns the conditions that the shards' holders have stored for a zone.
    pub fn stored_conditions(&self, zone: &str) -> Vec<Condition> {
        let views = self.stored().zone_views.into_iter().filter(|((name, _), _)| name == zone);
        views.filter_map(|(_, stored)| Some(stored.value?.condition)).collect()
    }

    /// Returns the machines of one shard in the stored records.
    pub fn machines_of_shard(&self, shard: u32) -> Vec<MachineId> {
        let in_shard = self.stored().machines.into_iter().filter(|(_, record)| record.value.shard == shard);
        in_shard.map(|(id, _)| id).collect()
    }

    /// Returns the machines in the stored records that are neither deleted nor to be deleted.
    pub fn undeleted_machines(&self) -> BTreeSet<MachineId> {
        let is_deletion = |cordon| matches!(cordon, Some(CordonReason::ForceDelete | CordonReason::Deleted));
        let kept = self.stored().machines.into_iter().filter(|(_, record)| !is_deletion(record.value.cordon));
        kept.map(|(id, _)| id).collect()
    }

    /// Returns the number of shards without a holder.
    pub fn unheld_shards(&self) -> usize {
        self.size.nodes - self.store.keys.keys().filter(|k| k.starts_with(&format!("{ROOT}share/"))).count()
    }

    /// Returns the number of tasks of a job that agents have now, including those that fetch their image.
    pub fn running(&self, id: &JobId) -> usize {
        self.agents.values().flat_map(|agent| agent.tasks.keys()).filter(|k| k.0 == *id).count()
    }

    /// Returns the largest number of images that any machine has to fetch.
    pub fn longest_fetch_queue(&self) -> usize {
        let queues = self.agents.values().map(|agent| {
            let fetching = agent.tasks.iter().filter(|(_, task)| task.is_fetching());
            fetching.map(|((job, _), _)| &self.jobs[job].spec.image).collect::<BTreeSet<_>>().len()
        });
        queues.max().unwrap_or(0)
    }

    /// Returns the number of writes that the store has executed.
    pub fn changes(&self) -> u64 {
        self.store.write_count
    }

    /// Returns the number of requests that the store has received.
    pub fn store_requests(&self) -> u64 {
        self.store.request_count
    }

    /// Returns the number of transactions that the store refused because of its limit of writes per second.
    pub fn rate_limited_txns(&self) -> u64 {
        self.store.rate_limited_count
    }

    pub fn all_jobs_finished(&self) -> bool {
        self.jobs.values().all(|j| j.reported_outcome.is_some())
    }

    pub fn unfinished(&self) -> Vec<String> {
        let open = self.jobs.iter().filter(|(_, j)| j.reported_outcome.is_none());
        open.map(|(id, j)| {
            let places: Vec<_> = self
                .agents
                .iter()
                .flat_map(|(m, agent)| agent.tasks.iter().filter(|(k, _)| k.0 == *id).map(move |(k, t)| (m, k.1, t)))
                .collect();
            let records: Vec<_> =
                self.store.keys.iter().filter(|(k, _)| k.contains(id.as_str())).map(|(k, v)| (k, &v.0)).collect();
            format!(
                "{id} {:?} done {:?} cancelled {:?} at {places:?} records {records:?}",
                j.spec, j.done_tasks, j.cancel_at
            )
        })
        .collect()
    }
}
