//! Deadlines by which the tasks of cancelled jobs have to be proven gone, and the deletion of machines to enforce them.
//!
//! A cancelled task that nothing proves gone is deleted with its machine before the time allowed for a cancellation is
//! over. That needs neither the store nor the leader, and holds for a machine that hangs. It needs the cloud; what holds
//! without it is in [`crate::coordination::fleet::lease_renewal`].

use crate::coordination::Controller;
use crate::coordination::autoscaling::cloud_client::CloudRequest;
use crate::coordination::fleet::failure_detection::{ExpiryMargin, MAX_CLOCK_DRIFT};
use crate::coordination::jobs::attempt::TaskAttempt;
use crate::coordination::jobs::cancellation_log::AbsenceProof;
use crate::storage::schema::{Outcome, Role};
use crate::types::{JobId, MachineId, Micros};
use std::collections::BTreeMap;

/// Machines in one deletion at most.
const MAX_MACHINES_PER_DELETION: usize = 100;
/// A deletion not confirmed by then is asked for again.
const DELETION_RETRY_INTERVAL: Micros = Micros::from_millis(3000);

/// By when a cancelled job's tasks have to be proven gone.
#[derive(Clone, Copy)]
struct Deadline {
    /// From then on the lease of a machine is not renewed where a late command could still start one of them.
    stop_renewals_at: Micros,
    /// Then their machines are deleted.
    delete_machines_at: Micros,
}

/// Cancelled jobs of which something may be left, and machines that are deleted on their account.
#[derive(Default)]
pub(crate) struct CancellationEnforcement {
    deadlines: BTreeMap<JobId, Deadline>,
    /// Machines whose deletion was asked for, and when.
    deletion_requested_at: BTreeMap<MachineId, Micros>,
    /// Machines whose deletion was confirmed and that are still in the stored records, and when a change that removes their
    /// records was last sent.
    deleted: BTreeMap<MachineId, Option<Micros>>,
}

impl CancellationEnforcement {
    /// Cancelled jobs of which something may be left.
    pub(crate) fn jobs(&self) -> impl Iterator<Item = &JobId> {
        self.deadlines.keys()
    }

    /// Whether a machine was deleted here, though the stored records don't say so yet.
    pub(crate) fn is_deleted(&self, id: &MachineId) -> bool {
        self.deleted.contains_key(id)
    }

    /// Whether the leases of machines with tasks of that job are not renewed any more.
    fn is_past_renewals(&self, job: &JobId, now: Micros) -> bool {
        self.deadlines.get(job).is_some_and(|deadline| deadline.stop_renewals_at <= now)
    }

    /// Whether a machine is still to be deleted: its deletion was not asked for a short while ago.
    fn needs_deletion(&self, id: &MachineId) -> bool {
        !self.deletion_requested_at.contains_key(id) && !self.is_deleted(id)
    }
}

impl Controller {
    /// Whether a machine was deleted here, though the stored records don't say so yet.
    pub(crate) fn is_deleted_for_cancellation(&self, id: &MachineId) -> bool {
        self.fleet.cancellation_enforcement.is_deleted(id)
    }

    /// So long after a cancellation its tasks' machines are deleted: late enough that a lease may have expired first,
    /// which proves as much and costs nothing.
    fn deletion_delay(&self) -> Micros {
        let cancel_s = self.platform.deployment.agents.cancel_s;
        let part = Micros::from_secs_f64(cancel_s * self.policy.clear_part);
        let latest = Micros::from_secs_f64(cancel_s) - Micros::from_millis(self.policy.clear_margin_ms);
        part.max(self.lease_expiry_bound(ExpiryMargin::Deadline)).min(latest)
    }

    /// So long after a cancellation a lease that is not renewed any more has expired before the time allowed is over.
    fn renewal_span(&self) -> Micros {
        let agents = &self.platform.deployment.agents;
        let span_s = agents.cancel_s - agents.lease_s * MAX_CLOCK_DRIFT - ExpiryMargin::Deadline.seconds();
        Micros::from_secs_f64(span_s.max(0.0))
    }

    /// Notes by when a cancelled job's tasks have to be proven gone. Counted from what the stored records say, so it holds
    /// for a successor as well.
    pub(crate) fn note_cancellation_deadline(&mut self, id: &JobId) {
        let Some(end) = self.store.replica.outcomes.get(id).filter(|e| e.value.outcome == Outcome::Cancelled) else {
            return;
        };
        if !self.jobs.contains_key(id) {
            return;
        }
        let age = self.clock.wall.since(end.value.at);
        let min_delay = Micros::from_millis(self.policy.clear_contact_ms);
        let deadline = Deadline {
            stop_renewals_at: self.now() + self.renewal_span().since(age),
            delete_machines_at: self.now() + self.deletion_delay().since(age).max(min_delay),
        };
        self.fleet.cancellation_enforcement.deadlines.insert(id.clone(), deadline);
    }

    /// Deletes the machines on which something of a cancelled job may run when its time is up. A machine that obeys a
    /// successor is left to that one.
    pub(crate) fn enforce_cancellation_deadlines(&mut self) {
        let now = self.now();
        self.delete_records_of_deleted();
        if self.fleet.cancellation_enforcement.deadlines.is_empty() {
            return;
        }
        self.forget_finished_cancellations();
        let due_at_by_machine = self.machines_past_deadline();
        let enforcement = &mut self.fleet.cancellation_enforcement;
        enforcement.deletion_requested_at.retain(|_, at| now.since(*at) < DELETION_RETRY_INTERVAL);
        let mut due: Vec<(Micros, MachineId)> = due_at_by_machine
            .into_iter()
            .filter(|(id, _)| self.fleet.machine(id).is_some_and(|machine| !machine.ownership.follows_later_token()))
            .filter(|(id, _)| self.fleet.cancellation_enforcement.needs_deletion(id))
            .map(|(id, due_at)| (due_at, id))
            .collect();
        due.sort_unstable();
        let first_due_at = due.first().map_or(now, |(due_at, _)| *due_at);
        for batch in due.chunks(MAX_MACHINES_PER_DELETION) {
            self.request_deletion(batch.iter().map(|(_, id)| id.clone()).collect(), first_due_at);
        }
    }

    /// A job is kept even with nothing left for now: a late commit may still bring a start.
    fn forget_finished_cancellations(&mut self) {
        let jobs = &self.jobs;
        self.fleet.cancellation_enforcement.deadlines.retain(|id, _| jobs.contains_key(id));
    }

    /// Machines on which something of a cancelled job may run although its time is up, and since when.
    fn machines_past_deadline(&self) -> BTreeMap<MachineId, Micros> {
        let now = self.now();
        let mut due_at_by_machine: BTreeMap<MachineId, Micros> = BTreeMap::new();
        for (id, deadline) in &self.fleet.cancellation_enforcement.deadlines {
            let Some(job) = self.jobs.get(id) else { continue };
            let due_at = deadline.delete_machines_at;
            if due_at > now || job.attempts.occupying_count() == 0 || !self.enforces_cancellations_of(job.shard) {
                continue;
            }
            for attempt in job.attempts.values().filter(|attempt| attempt.may_be_on_machine()) {
                let first = due_at_by_machine.entry(attempt.machine().clone()).or_insert(due_at);
                *first = (*first).min(due_at);
            }
        }
        due_at_by_machine
    }

    /// Has machines deleted, the first of which was due then.
    fn request_deletion(&mut self, machines: Vec<MachineId>, first_due_at: Micros) {
        let now = self.now();
        let overdue = now.since(first_due_at);
        tracing::warn!(?machines, overdue_ms = overdue.millis(), "machines deleted to enforce cancellation deadline");
        let cancel = Micros::from_secs_f64(self.platform.deployment.agents.cancel_s);
        let time_left = cancel.since(self.deletion_delay());
        if overdue + DELETION_RETRY_INTERVAL >= time_left {
            self.jobs.cancellation_log.note_late_deletions(machines.len());
        }
        let requested = machines.iter().map(|id| (id.clone(), now));
        self.fleet.cancellation_enforcement.deletion_requested_at.extend(requested);
        self.send_cloud_request(CloudRequest::DeleteForCancellation(machines));
    }

    /// Whether something of a cancelled job may be on the machine although its time for renewals is over.
    pub(crate) fn has_overdue_cancellation(&self, id: &MachineId) -> bool {
        let enforcement = &self.fleet.cancellation_enforcement;
        let Some(placed) = self.jobs.usage().on_machine(id).filter(|_| !enforcement.deadlines.is_empty()) else {
            return false;
        };
        let now = self.now();
        placed.attempts().any(|task| {
            let is_overdue = enforcement.is_past_renewals(&task.job, now);
            is_overdue && self.jobs.attempt(task).is_some_and(TaskAttempt::may_be_on_machine)
        })
    }

    /// Whether this controller has to see to it that a shard's cancelled tasks are gone: it holds the shard; or nobody
    /// does, and as long as the store is away nobody can take it.
    fn enforces_cancellations_of(&self, shard: u32) -> bool {
        let role = Role::Shard(shard);
        self.holds(role) || (!self.store.replica.roles.contains_key(&role) && !self.reaches_store())
    }

    /// The cloud did not confirm a deletion. It is asked for again as long as it is due.
    pub(crate) fn cancellation_deletion_failed(&self, machines: &[MachineId]) {
        tracing::warn!(machines = machines.len(), first = ?machines.first(), "machine deletion not confirmed");
    }

    /// The deletion of machines was confirmed: nothing is left on them, whether or not that can be recorded now.
    pub(crate) fn cancellation_deletion_confirmed(&mut self, ids: Vec<MachineId>) {
        let now = self.now();
        tracing::info!(machines = ids.len(), first = ?ids.first(), "machine deletion confirmed");
        for id in ids {
            for task in self.jobs.usage().attempts_on(&id) {
                self.attempt_proven_absent(&task, AbsenceProof::MachineDeleted);
            }
            self.autoscaling.note_deleted(id.clone(), now);
            self.fleet.cancellation_enforcement.deleted.insert(id, None);
        }
    }

    /// Takes machines deleted here out of the stored records, again if a change of their records came between.
    fn delete_records_of_deleted(&mut self) {
        let now = self.now();
        let recorded = &self.store.replica.machines;
        let fleet = &mut self.fleet;
        fleet.cancellation_enforcement.deleted.retain(|id, _| recorded.contains_key(id));
        let mut ids = Vec::new();
        for (id, sent_at) in &mut fleet.cancellation_enforcement.deleted {
            let is_due = sent_at.is_none_or(|at| now.since(at) >= DELETION_RETRY_INTERVAL);
            let machine = fleet.machines.get_mut(id).filter(|machine| is_due && !machine.is_record_changing());
            if let Some(machine) = machine {
                machine.record_change_started();
                *sent_at = Some(now);
                ids.push(id.clone());
            }
        }
        self.delete_machine_records(ids);
    }
}
