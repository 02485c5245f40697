//! What holds while nothing is in the way, and what scenarios look at.

use super::{MS, S, World};
use burlhatch::protocol::user::JobKind;
use burlhatch::storage::Replica;
use burlhatch::storage::schema::{CordonReason, ROOT};
use burlhatch::types::{JobId, MachineId};
use burlhatch_zones::Condition;
use std::collections::BTreeSet;

/// Longest time in which no question about an accepted job may be answered once troubles are over.
/// The users' patience is 75 s.
const MAX_ANSWER_GAP: u64 = 40 * S;
/// So long a task may wait then while a machine that fits has room and its team is under its limit.
const MAX_RUNNABLE_WAIT: u64 = 90 * S;

impl World {
    /// The controller that holds a role: `leader`, or `shard/` and a number.
    pub fn holder(&self, role: &str) -> Option<usize> {
        let (value, ..) = self.store.keys.get(&format!("{ROOT}{role}"))?;
        let text = format!("{value:?}");
        (0..self.size.nodes).find(|n| text.contains(&format!("node-{n}")))
    }

    /// Every job accepted, not cancelled and not over: how long its users have been without an answer.
    pub(super) fn check_answer_gaps(&mut self) {
        let now = self.now;
        let Some(from) = self.liveness_checked_since.filter(|from| *from < now) else { return };
        let mut forgotten = Vec::new();
        for (id, job) in self.jobs.iter_mut().filter(|(_, j)| j.accepted && j.cancelled.is_none()) {
            job.max_answer_gap = job.max_answer_gap.max(now - job.answered.max(from));
            if job.max_answer_gap > MAX_ANSWER_GAP && job.max_answer_gap < MAX_ANSWER_GAP + S {
                forgotten
                    .push(format!("forgotten: no question about {id} was answered for {} ms", job.max_answer_gap / MS));
            }
        }
        for what in forgotten {
            self.report_violation(what);
        }
    }

    /// Every task of arrays and services that waits: how long it could have run all the same.
    pub(super) fn check_runnable_tasks(&mut self) {
        let now = self.now;
        let Some(from) = self.liveness_checked_since.filter(|from| *from < now) else { return };
        let mut found = Vec::new();
        for (id, job) in self.jobs.iter().filter(|(_, j)| {
            j.accepted && j.reported_outcome.is_none() && j.spec.kind != JobKind::Gang && j.fails_after.is_none()
        }) {
            let placed = |index: u32| self.agents.values().any(|w| w.tasks.contains_key(&(id.clone(), index)));
            let waits = (0..job.spec.tasks).any(|t| !job.done_tasks[t as usize] && !placed(t));
            // What it could do with one more task; its other tasks may bind it to zones.
            let free = !job.spec.one_zone && !job.spec.spread;
            let could = waits && free && job.cancel_at.is_none_or(|at| at > now) && self.could_run(&job.spec);
            let since = if could { Some(job.runnable_since.unwrap_or(now).max(from)) } else { None };
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

    pub fn report_violation(&mut self, what: String) {
        let at = self.now as f64 / 1e6;
        self.violations.push(format!("{at:.3} s: {what}"));
    }

    /// Everything the store holds, for checks of the stored records.
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

    /// Machines in the stored records, whether by a key of their own or by a fleet's.
    pub fn stored_machines(&self) -> Vec<MachineId> {
        self.stored().machines.into_keys().collect()
    }

    /// What the shards' holders have stored of a zone.
    pub fn stored_conditions(&self, zone: &str) -> Vec<Condition> {
        let views = self.stored().zone_views.into_iter().filter(|((name, _), _)| name == zone);
        views.filter_map(|(_, stored)| Some(stored.value?.condition)).collect()
    }

    /// Machines of one shard in the stored records.
    pub fn machines_of_shard(&self, shard: u32) -> Vec<MachineId> {
        let in_shard = self.stored().machines.into_iter().filter(|(_, record)| record.value.shard == shard);
        in_shard.map(|(id, _)| id).collect()
    }

    /// Machines in the stored records that were not deleted and are not to be.
    pub fn undeleted_machines(&self) -> BTreeSet<MachineId> {
        let is_to_go = |cordon| matches!(cordon, Some(CordonReason::ForceDelete | CordonReason::Deleted));
        let staying = self.stored().machines.into_iter().filter(|(_, record)| !is_to_go(record.value.cordon));
        staying.map(|(id, _)| id).collect()
    }

    /// Shards that nobody holds at this moment.
    pub fn unowned_shards(&self) -> usize {
        self.size.nodes - self.store.keys.keys().filter(|k| k.starts_with(&format!("{ROOT}share/"))).count()
    }

    /// Tasks of a job that run now.
    pub fn running(&self, id: &JobId) -> usize {
        self.agents.values().flat_map(|w| w.tasks.keys()).filter(|k| k.0 == *id).count()
    }

    /// The most images that any machine has to fetch at this moment.
    pub fn longest_fetch_queue(&self) -> usize {
        let queues = self.agents.values().map(|agent| {
            let fetching = agent.tasks.iter().filter(|(_, task)| task.is_fetching());
            fetching.map(|((job, _), _)| &self.jobs[job].spec.image).collect::<BTreeSet<_>>().len()
        });
        queues.max().unwrap_or(0)
    }

    /// Changes that the store has carried out.
    pub fn changes(&self) -> u64 {
        self.store.write_count
    }

    /// Requests that the store got.
    pub fn store_requests(&self) -> u64 {
        self.store.request_count
    }

    pub fn limited(&self) -> u64 {
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
                .flat_map(|(m, w)| w.tasks.iter().filter(|(k, _)| k.0 == *id).map(move |(k, t)| (m, k.1, t)))
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
