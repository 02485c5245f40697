//! Draining: stops tasks on machines that are to be returned, that are to move to another shard, or that the cloud is
//! about to reclaim.

use crate::coordination::Controller;
use crate::protocol::user::JobKind;
use crate::storage::schema::CordonReason;
use crate::types::MachineId;

impl Controller {
    /// Drains machines that are to be returned.
    pub(super) fn drain_retired(&mut self, own_machines: &[MachineId]) {
        for id in own_machines {
            if self.cordon_reason(id) == Some(CordonReason::Retire) {
                self.drain(id);
            }
        }
    }

    /// Stops services on machines with a termination notice while there is time. Other tasks continue, as they may
    /// finish.
    pub(super) fn drain_services_before_termination(&mut self, own_machines: &[MachineId]) {
        for id in own_machines {
            if self.fleet.machine(id).is_some_and(|machine| machine.has_termination_notice) {
                self.stop_tasks(id, |kind| kind == JobKind::Service);
            }
        }
    }

    /// Stops all tasks on a machine.
    pub(super) fn drain(&mut self, id: &MachineId) {
        self.stop_tasks(id, |_| true);
    }

    /// Stops the tasks of some kinds of jobs on a machine, with a grace period for those that save a checkpoint.
    fn stop_tasks(&mut self, id: &MachineId, matches_kind: impl Fn(JobKind) -> bool) {
        let max_grace_s = self.policy.stop_grace_s;
        let mut has_stopped = false;
        for task in self.jobs.usage().attempts_on(id) {
            let Some(job) = self.jobs.get_mut(&task.job) else { continue };
            if !matches_kind(job.spec.kind) {
                continue;
            }
            let grace_s = job.stop_grace_s(max_grace_s);
            if let Some(attempt) = job.attempts.get_mut(task.index)
                && attempt.may_be_on_machine()
                && attempt.stop_grace_s.is_none()
            {
                attempt.stop_grace_s = Some(grace_s);
                has_stopped = true;
            }
        }
        if has_stopped {
            self.fleet.queue_direct_message(id);
        }
    }
}
