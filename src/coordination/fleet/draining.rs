//! Machines that tasks have to leave: those to be returned, those to move to another shard, and those about to be taken
//! back.

use crate::coordination::Controller;
use crate::protocol::user::JobKind;
use crate::storage::schema::CordonReason;
use crate::types::MachineId;

impl Controller {
    /// A machine to be returned is emptied first.
    pub(super) fn drain_retired(&mut self, own_machines: &[MachineId]) {
        for id in own_machines {
            if self.cordon_reason(id) == Some(CordonReason::Retire) {
                self.drain(id);
            }
        }
    }

    /// Services leave a machine with a termination notice while there is time; other work runs on, it may finish.
    pub(super) fn drain_services_before_termination(&mut self, own_machines: &[MachineId]) {
        for id in own_machines {
            if self.fleet.machine(id).is_some_and(|machine| machine.has_termination_notice) {
                self.stop_tasks(id, |kind| kind == JobKind::Service);
            }
        }
    }

    /// Everything leaves a machine.
    pub(super) fn drain(&mut self, id: &MachineId) {
        self.stop_tasks(id, |_| true);
    }

    /// Stops the tasks of those kinds of jobs on a machine, with time for a checkpoint where they save one.
    fn stop_tasks(&mut self, id: &MachineId, is_to_stop: impl Fn(JobKind) -> bool) {
        let max_grace_s = self.policy.stop_grace_s;
        let mut has_stopped = false;
        for task in self.jobs.usage().attempts_on(id) {
            let Some(job) = self.jobs.get_mut(&task.job) else { continue };
            if !is_to_stop(job.spec.kind) {
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
