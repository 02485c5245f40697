//! The leader's work at each tick: retries, listing of machines, registration, deletion, garbage collection, planning.

use crate::coordination::Controller;
use crate::coordination::autoscaling::cloud_client::CloudRequest;
use crate::coordination::fleet::cordon::CordonCause;
use crate::storage::schema::CordonReason;
use crate::types::MachineId;

impl Controller {
    /// Resets the leader's state after this controller has become the leader. Does nothing if it has lost that role.
    pub(crate) fn leadership_changed(&mut self) {
        if !self.is_leader() {
            return;
        }
        let now = self.now();
        self.autoscaling.cloud.restart_listing(now);
        self.autoscaling.provisioning.forget_instances();
        self.autoscaling.deletions.forget_in_progress();
        self.autoscaling.plan.schedule_next(now);
    }

    /// Does the leader's work that is due, if this controller is the leader and has a valid leadership lease. Drops
    /// pending retries if it is not the leader.
    pub(crate) fn tick_leader(&mut self) {
        let now = self.now();
        if !self.is_leader() {
            self.autoscaling.cloud.clear_retries();
            return;
        }
        if !self.has_valid_leadership_lease() {
            return;
        }
        self.send_due_cloud_retries();
        if self.autoscaling.cloud.begin_due_listing(now) {
            self.send_cloud_request(CloudRequest::ListMachines);
        }
        self.autoscaling.deletions.forget_old_confirmations(now);
        self.register_machines();
        self.delete_cordoned_machines();
        self.enforce_provisioning_timeout();
        self.collect_garbage();
        let can_plan = self.autoscaling.cloud.has_listed_machines() && self.autoscaling.has_machine_types();
        if can_plan && self.autoscaling.plan.is_due(now) {
            self.autoscaling.plan.schedule_next(now);
            self.plan_capacity();
        }
    }

    /// Cordons a machine of any shard on the leader's decision.
    pub(crate) fn cordon_as_leader(&mut self, id: &MachineId, reason: CordonReason, cause: CordonCause) {
        self.fleet.machine_or_insert(id);
        self.cordon(id, reason, cause);
    }
}
