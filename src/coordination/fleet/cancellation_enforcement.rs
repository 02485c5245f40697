//! Deadlines by which the tasks of cancelled jobs must be proven absent, and the deletion of machines to enforce them.
//!
//! If nothing proves a cancelled task absent, its machine is deleted before the time allowed for a cancellation has
//! passed. This needs neither the store nor the leader, and also covers a machine that hangs. It needs the cloud; the
//! rules that hold without the cloud are in [`crate::coordination::fleet::lease_renewal`].

use crate::coordination::Controller;
use crate::coordination::autoscaling::cloud_client::CloudRequest;
use crate::coordination::fleet::failure_detection::{ExpiryMargin, MAX_CLOCK_DRIFT};
use crate::coordination::jobs::attempt::TaskAttempt;
use crate::coordination::jobs::cancellation_log::AbsenceProof;
use crate::storage::schema::{Outcome, Role};
use crate::types::{JobId, MachineId, Micros};
use std::collections::BTreeMap;

/// Maximum number of machines in one deletion request.
const MAX_MACHINES_PER_DELETION: usize = 100;
/// Time after which an unconfirmed deletion, of a machine or of its record, is requested again.
const DELETION_RETRY_INTERVAL: Micros = Micros::from_millis(3000);

/// Times by which the tasks of a cancelled job must be proven absent.
#[derive(Clone, Copy)]
struct Deadline {
    /// Time from which a machine's lease is not renewed if a late command could still start one of the tasks there.
    stop_renewals_at: Micros,
    /// Time at which the machines that may still have one of the tasks are deleted.
    delete_machines_at: Micros,
}

/// Cancelled jobs that may still have tasks on machines, and the machines that are deleted for that reason.
#[derive(Default)]
pub(crate) struct CancellationEnforcement {
    deadlines: BTreeMap<JobId, Deadline>,
    /// When the deletion of a machine was requested.
    deletion_requested_at: BTreeMap<MachineId, Micros>,
    /// Machines whose deletion was confirmed but whose record is still stored, and when the deletion of that record was
    /// last requested.
    deleted: BTreeMap<MachineId, Option<Micros>>,
}

impl CancellationEnforcement {
    /// Returns the cancelled jobs that may still have tasks on machines.
    pub(crate) fn jobs(&self) -> impl Iterator<Item = &JobId> {
        self.deadlines.keys()
    }

    /// Returns whether this controller deleted a machine whose record is still stored.
    pub(crate) fn is_deleted(&self, id: &MachineId) -> bool {
        self.deleted.contains_key(id)
    }

    /// Returns whether leases are no longer renewed where a late command could start a task of the job.
    fn are_renewals_stopped(&self, job: &JobId, now: Micros) -> bool {
        self.deadlines.get(job).is_some_and(|deadline| deadline.stop_renewals_at <= now)
    }

    /// Returns whether a machine's deletion must be requested: it is not confirmed and was not requested recently.
    fn needs_deletion(&self, id: &MachineId) -> bool {
        !self.deletion_requested_at.contains_key(id) && !self.is_deleted(id)
    }
}

impl Controller {
    /// Returns whether this controller deleted a machine whose record is still stored.
    pub(crate) fn is_deleted_for_cancellation(&self, id: &MachineId) -> bool {
        self.fleet.cancellation_enforcement.is_deleted(id)
    }

    /// Returns the time after a cancellation at which the machines of its tasks are deleted. Within the time allowed
    /// for the cancellation it is long enough for a lease to expire first, which proves the same and costs nothing.
    fn deletion_delay(&self) -> Micros {
        let cancel_s = self.platform.deployment.agents.cancel_s;
        let part = Micros::from_secs_f64(cancel_s * self.policy.clear_part);
        let latest = Micros::from_secs_f64(cancel_s) - Micros::from_millis(self.policy.clear_margin_ms);
        part.max(self.lease_expiry_bound(ExpiryMargin::Deadline)).min(latest)
    }

    /// Returns the time after a cancellation from which leases are not renewed, so that they expire within the time
    /// allowed for the cancellation.
    fn renewal_stop_delay(&self) -> Micros {
        let agents = &self.platform.deployment.agents;
        let delay_s = agents.cancel_s - agents.lease_s * MAX_CLOCK_DRIFT - ExpiryMargin::Deadline.seconds();
        Micros::from_secs_f64(delay_s.max(0.0))
    }

    /// Records the deadlines of a cancelled job. They are computed from the stored time of the cancellation, so they
    /// hold for a successor as well.
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
            stop_renewals_at: self.now() + self.renewal_stop_delay().since(age),
            delete_machines_at: self.now() + self.deletion_delay().since(age).max(min_delay),
        };
        self.fleet.cancellation_enforcement.deadlines.insert(id.clone(), deadline);
    }

    /// Deletes the machines that may have tasks of a cancelled job past its deadline. A machine whose agent accepts
    /// commands under a successor's fencing token is left to the successor.
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
            .filter(|(id, _)| self.fleet.machine(id).is_some_and(|machine| !machine.ownership.accepts_later_token()))
            .filter(|(id, _)| self.fleet.cancellation_enforcement.needs_deletion(id))
            .map(|(id, due_at)| (due_at, id))
            .collect();
        due.sort_unstable();
        let first_due_at = due.first().map_or(now, |(due_at, _)| *due_at);
        for batch in due.chunks(MAX_MACHINES_PER_DELETION) {
            self.request_deletion(batch.iter().map(|(_, id)| id.clone()).collect(), first_due_at);
        }
    }

    /// Removes the deadlines of jobs that are no longer known. A known job without attempts keeps its deadline, as a
    /// late commit may still record a start.
    fn forget_finished_cancellations(&mut self) {
        let jobs = &self.jobs;
        self.fleet.cancellation_enforcement.deadlines.retain(|id, _| jobs.contains_key(id));
    }

    /// Returns the machines that may have tasks of a cancelled job past its deadline, each with its earliest deadline.
    fn machines_past_deadline(&self) -> BTreeMap<MachineId, Micros> {
        let now = self.now();
        let mut due_at_by_machine: BTreeMap<MachineId, Micros> = BTreeMap::new();
        for (id, deadline) in &self.fleet.cancellation_enforcement.deadlines {
            let Some(job) = self.jobs.get(id) else { continue };
            let due_at = deadline.delete_machines_at;
            if due_at > now || job.attempts.occupying_count() == 0 {
                continue;
            }
            let enforced: Vec<u32> = job.shards().filter(|shard| self.enforces_cancellations_of(*shard)).collect();
            let in_enforced = job.attempts.iter().filter(|(task, _)| enforced.contains(&job.shard_of_task(*task)));
            for (_, attempt) in in_enforced.filter(|(_, attempt)| attempt.may_be_on_machine()) {
                let first = due_at_by_machine.entry(attempt.machine().clone()).or_insert(due_at);
                *first = (*first).min(due_at);
            }
        }
        due_at_by_machine
    }

    /// Requests the deletion of machines. `first_due_at` is the earliest of their deadlines.
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

    /// Returns whether a machine may have a task of a cancelled job for which leases are no longer renewed.
    pub(crate) fn has_overdue_cancellation(&self, id: &MachineId) -> bool {
        let enforcement = &self.fleet.cancellation_enforcement;
        let Some(placed) = self.jobs.usage().on_machine(id).filter(|_| !enforcement.deadlines.is_empty()) else {
            return false;
        };
        let now = self.now();
        placed.attempts().any(|task| {
            let is_overdue = enforcement.are_renewals_stopped(&task.job, now);
            is_overdue && self.jobs.attempt(task).is_some_and(TaskAttempt::may_be_on_machine)
        })
    }

    /// Returns whether this controller enforces the cancellations of a shard: it holds the shard, or no controller
    /// holds it and none can acquire it as long as the store is unreachable.
    fn enforces_cancellations_of(&self, shard: u32) -> bool {
        let role = Role::Shard(shard);
        self.holds(role) || (!self.store.replica.roles.contains_key(&role) && !self.reaches_store())
    }

    /// Logs that the cloud did not confirm a deletion. The deletion is requested again as long as it is due.
    pub(crate) fn cancellation_deletion_failed(&self, machines: &[MachineId]) {
        tracing::warn!(machines = machines.len(), first = ?machines.first(), "machine deletion not confirmed");
    }

    /// Proves absent all attempts on machines whose deletion was confirmed, whether or not that can be recorded now.
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

    /// Deletes the stored records of machines that were deleted here, and repeats that if another change of a record
    /// came first.
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
