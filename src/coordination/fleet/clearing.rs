//! What is left of cancelled jobs, and the deletion of the machines that it is on.
//!
//! A cancelled task that nothing proves gone is deleted with its machine before the time allowed for a cancellation is
//! over. That needs neither the store nor the leader, and holds for a machine that hangs. It needs the cloud;
//! what holds without it is in [`crate::coordination::fleet::lease_renewal`].

use crate::coordination::Controller;
use crate::coordination::autoscaling::leader::Call;
use crate::coordination::jobs::cancellation_log::AbsenceProof;
use crate::coordination::jobs::usage::Phase;
use crate::storage::schema::{Outcome, Role};
use crate::types::{JobId, MachineId, Micros};
use std::collections::BTreeMap;

/// By when a cancelled job's tasks have to be proven gone.
#[derive(Clone, Copy)]
struct Deadline {
    /// From then on the lease of a machine is not renewed where a late command could still start one of them.
    cease_renewal: Micros,
    /// Then their machines are deleted.
    delete: Micros,
}

/// Cancelled jobs of which something may be left, and machines that are deleted on their account.
#[derive(Default)]
pub(crate) struct Clearing {
    deadlines: BTreeMap<JobId, Deadline>,
    /// Machines whose deletion was asked for, and when.
    asked: BTreeMap<MachineId, Micros>,
    /// Machines that were so deleted and are still in the stored records, and when that was last sent to be written
    /// down.
    cleared: BTreeMap<MachineId, Option<Micros>>,
}

/// Names in one deletion at most.
const CLEAR_MOST: usize = 100;
/// A deletion not confirmed by then is asked for again.
const CLEAR_AGAIN: Micros = Micros::from_millis(3000);
/// A lease that is not renewed has surely run out after this multiple of its length and this much more.
const LEASE_DRIFT: f64 = 1.002;
const LEASE_MARGIN_S: f64 = 3.0;

impl Clearing {
    /// Cancelled jobs of which something may be left.
    pub fn jobs(&self) -> impl Iterator<Item = &JobId> {
        self.deadlines.keys()
    }
}

impl Controller {
    /// So long after a cancellation its tasks' machines are deleted: late enough that a lease may have run
    /// out first, which proves as much and costs nothing.
    fn clear_after(&self) -> Micros {
        let workers = &self.platform.deployment.agents;
        let cancel = Micros::from_secs_f64(workers.cancel_s);
        let part = Micros::from_secs_f64(workers.cancel_s * self.policy.clear_part);
        let lease = Micros::from_secs_f64(workers.lease_s * LEASE_DRIFT + LEASE_MARGIN_S);
        part.max(lease).min(cancel - Micros::from_millis(self.policy.clear_margin_ms))
    }

    /// So long after a cancellation a lease that is not renewed any more has run out before the time allowed is over.
    fn renew_for(&self) -> Micros {
        let workers = &self.platform.deployment.agents;
        Micros::from_secs_f64((workers.cancel_s - workers.lease_s * LEASE_DRIFT - LEASE_MARGIN_S).max(0.0))
    }

    /// Notes by when a cancelled job's tasks have to be proven gone. Counted from what the stored records say, so it
    /// holds for a successor as well.
    pub(crate) fn note_deadline(&mut self, id: &JobId) {
        let Some(end) = self.store.replica.outcomes.get(id).filter(|e| e.value.outcome == Outcome::Cancelled) else {
            return;
        };
        if !self.jobs.by_id.contains_key(id) {
            return;
        }
        let age = self.clock.wall.since(end.value.at);
        let contact = Micros::from_millis(self.policy.clear_contact_ms);
        let deadline = Deadline {
            cease_renewal: self.now() + self.renew_for().since(age),
            delete: self.now() + self.clear_after().since(age).max(contact),
        };
        self.jobs.cancellations.clearing.deadlines.insert(id.clone(), deadline);
    }

    /// Deletes the machines on which something of a cancelled job may run when its time is up. A machine that
    /// obeys a successor is left to that one.
    pub(crate) fn clear_cancelled(&mut self) {
        let now = self.now();
        self.strike_out_cleared();
        if self.jobs.cancellations.clearing.deadlines.is_empty() {
            return;
        }
        let mut due: BTreeMap<MachineId, Micros> = BTreeMap::new();
        let mut deadlines = std::mem::take(&mut self.jobs.cancellations.clearing.deadlines);
        deadlines.retain(|id, deadline| {
            // Also with nothing left for now: a late commit may still bring a start.
            let Some(job) = self.jobs.by_id.get(id) else { return false };
            let Deadline { delete, .. } = *deadline;
            if delete > now || job.live.occupying() == 0 || !self.clears_shard(job.shard) {
                return true;
            }
            for live in job.live.values().filter(|l| l.occupies() && l.phase() != Phase::Decided) {
                let first = due.entry(live.machine().clone()).or_insert(delete);
                *first = (*first).min(delete);
            }
            true
        });
        self.jobs.cancellations.clearing.deadlines = deadlines;
        self.jobs.cancellations.clearing.asked.retain(|_, at| now.since(*at) < CLEAR_AGAIN);
        let mut ids: Vec<(Micros, MachineId)> = due
            .into_iter()
            .filter(|(id, _)| self.fleet.machines.get(id).is_some_and(|m| !m.outranked))
            .filter(|(id, _)| !self.jobs.cancellations.clearing.asked.contains_key(id) && !self.is_cleared(id))
            .map(|(id, deadline)| (deadline, id))
            .collect();
        ids.sort_unstable();
        for part in ids.chunks(CLEAR_MOST) {
            let part: Vec<MachineId> = part.iter().map(|(_, id)| id.clone()).collect();
            self.note_deletion(&part, ids.first().map_or(now, |(deadline, _)| *deadline));
            self.jobs.cancellations.clearing.asked.extend(part.iter().map(|id| (id.clone(), now)));
            self.cloud(Call::Clear(part));
        }
    }

    /// Machines are to be deleted, the first of which was due then.
    fn note_deletion(&mut self, machines: &[MachineId], due: Micros) {
        let now = self.now();
        let late_ms = now.since(due).millis();
        tracing::warn!(?machines, late_ms, "deletion asked for, as cancelled tasks may still run there");
        let workers = &self.platform.deployment.agents;
        let time_left = Micros::from_secs_f64(workers.cancel_s).since(self.clear_after());
        if now.since(due) + CLEAR_AGAIN >= time_left {
            self.jobs.audit.late_deletions += machines.len() as u64;
        }
    }

    /// Whether something of a cancelled job may be on the machine although its time for renewals is over.
    pub(crate) fn is_overdue_on(&self, id: &MachineId) -> bool {
        let deadlines = &self.jobs.cancellations.clearing.deadlines;
        let Some(placed) = self.jobs.usage.placed(id).filter(|_| !deadlines.is_empty()) else { return false };
        let now = self.now();
        placed.starts.iter().any(|(job, task)| {
            let overdue = deadlines.get(job).is_some_and(|deadline| deadline.cease_renewal <= now);
            let start = self.jobs.by_id.get(job).filter(|_| overdue).and_then(|job| job.live.get(*task));
            start.is_some_and(|start| start.occupies() && start.phase() != Phase::Decided)
        })
    }

    /// Whether this controller has to see to it that a shard's cancelled tasks are gone: it holds the shard; or nobody
    /// does, and as long as the store is away nobody can take it.
    fn clears_shard(&self, shard: u32) -> bool {
        let role = Role::Shard(shard);
        self.holds(role) || (!self.store.replica.roles.contains_key(&role) && !self.reaches_store())
    }

    /// Whether it was deleted here, though the stored records don't say so yet.
    pub(crate) fn is_cleared(&self, id: &MachineId) -> bool {
        self.jobs.cancellations.clearing.cleared.contains_key(id)
    }

    /// The cloud did not confirm a deletion. It is asked for again as long as it is due.
    pub(crate) fn clearing_failed(&self, machines: &[MachineId]) {
        tracing::warn!(machines = machines.len(), first = ?machines.first(), "deletion not confirmed");
    }

    /// Their deletion was confirmed: nothing is left on them, whether or not that can be written down now.
    pub(crate) fn machines_cleared(&mut self, ids: Vec<MachineId>) {
        let now = self.now();
        tracing::info!(machines = ids.len(), first = ?ids.first(), "deletion confirmed");
        for id in ids {
            for (job, task) in self.jobs.usage.starts_on(&id) {
                self.start_gone(&job, task, AbsenceProof::MachineDeleted);
            }
            self.autoscaling.leader.deleted.insert(id.clone(), now);
            self.jobs.cancellations.clearing.cleared.insert(id, None);
        }
    }

    /// Takes machines deleted here out of the stored records, again if a change of their records came between.
    fn strike_out_cleared(&mut self) {
        let now = self.now();
        let recorded = &self.store.replica.machines;
        self.jobs.cancellations.clearing.cleared.retain(|id, _| recorded.contains_key(id));
        let mut ids = Vec::new();
        for (id, sent) in &mut self.jobs.cancellations.clearing.cleared {
            let due = sent.is_none_or(|at| now.since(at) >= CLEAR_AGAIN);
            if let Some(machine) = self.fleet.machines.get_mut(id).filter(|m| due && !m.writing) {
                machine.writing = true;
                *sent = Some(now);
                ids.push(id.clone());
            }
        }
        self.strike_out(ids);
    }
}
