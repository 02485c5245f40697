//! Autoscaling: computes the capacity that waiting tasks need, creates and deletes machines accordingly, and sends the
//! calls to the cloud.
//!
//! Owns the machine types that the cloud offers, the calls in flight to the cloud, the instances being provisioned, the
//! deletions in progress and the leader's last capacity plan. Reads jobs, usage and the replica of the store.
//! Guarantees that only the leader with a valid lease creates instances, and that a machine's record is removed only
//! after the cloud has confirmed the machine's deletion.

pub(crate) mod bin_packing;
pub(crate) mod capacity_plan;
pub(crate) mod cloud_client;
pub(crate) mod deletion;
pub(crate) mod demand;
pub(crate) mod leader;
pub(crate) mod machine_types;
pub(crate) mod provisioning;
pub(crate) mod provisioning_history;
pub(crate) mod scale_in;
pub(crate) mod scale_out;

use crate::types::{MachineId, Micros, Resources};
use bin_packing::MachineCapacity;
use capacity_plan::CapacityPlan;
use cloud_client::CloudClient;
use deletion::Deletions;
use machine_types::{MachineTypeCatalog, MachineTypeInfo};
use provisioning::Provisioning;
use std::collections::BTreeSet;

/// State of the autoscaler.
#[derive(Default)]
pub(crate) struct Autoscaling {
    machine_types: MachineTypeCatalog,
    cloud: CloudClient,
    provisioning: Provisioning,
    deletions: Deletions,
    plan: CapacityPlan,
}

impl Autoscaling {
    /// Takes over what survives a restart of the state machine: the machine types and the call counter. Call numbers
    /// are not reused, so that answers to earlier calls don't match new ones.
    pub(crate) fn carry_over_from(&mut self, earlier: &mut Autoscaling) {
        self.machine_types.replace_types_from(&mut earlier.machine_types);
        self.cloud.continue_numbering_of(&earlier.cloud);
    }

    /// Returns whether the cloud has listed its machine types yet.
    pub(crate) fn has_machine_types(&self) -> bool {
        !self.machine_types.is_empty()
    }

    /// Returns all machine types that the cloud offers.
    pub(crate) fn machine_types(&self) -> impl Iterator<Item = &MachineTypeInfo> {
        self.machine_types.iter()
    }

    /// Returns the machine type of this name.
    pub(crate) fn machine_type(&self, name: &str) -> Option<&MachineTypeInfo> {
        self.machine_types.get(name)
    }

    /// Returns the resources of a machine of this type; all zero if the cloud does not list the type.
    pub(crate) fn resources_of_type(&self, name: &str) -> Resources {
        self.machine_types.resources(name)
    }

    /// Records that an instance being provisioned has sent its first heartbeat.
    pub(crate) fn instance_came_up(&mut self, id: &MachineId, now: Micros) {
        self.provisioning.complete_startup(id, now);
    }

    /// Returns the number of instances being provisioned in a zone.
    pub(crate) fn provisioning_count_in_zone(&self, zone: &str) -> u32 {
        self.provisioning.count_in_zone(zone)
    }

    /// Returns whether the deletion of a machine was requested and its record is not removed yet.
    pub(crate) fn is_deleting(&self, id: &MachineId) -> bool {
        self.deletions.is_in_progress(id)
    }

    /// Returns whether the cloud recently confirmed the deletion of a machine. Late heartbeats of it are ignored.
    pub(crate) fn was_deleted(&self, id: &MachineId) -> bool {
        self.deletions.is_confirmed(id)
    }

    /// Records that the cloud has confirmed the deletion of a machine.
    pub(crate) fn note_deleted(&mut self, id: MachineId, now: Micros) {
        self.deletions.confirm(id, now);
    }

    /// Ends the deletion of a machine after the change of its record has succeeded or failed.
    pub(crate) fn deletion_settled(&mut self, id: &MachineId) {
        self.deletions.settle(id);
    }

    /// Returns the shard with the most urgent tasks, among those unschedulable in the last plan, that fit on a new
    /// machine. Tasks of that shard that fit no longer count as unschedulable.
    pub(crate) fn assign_new_machine(&mut self, machine: MachineCapacity) -> Option<u32> {
        self.plan.assign_new_machine(machine)
    }

    /// Records that a machine was reassigned to another shard although lower-priority work runs on it.
    pub(crate) fn note_preemption(&mut self, machine: MachineId, now: Micros) {
        self.plan.note_preemption(machine, now);
    }

    /// Returns whether a machine was recently reassigned although lower-priority work ran on it.
    pub(crate) fn was_preempted(&self, machine: &MachineId) -> bool {
        self.plan.was_preempted(machine)
    }

    /// Returns whether any machine was recently reassigned although work ran on it.
    pub(crate) fn has_recent_preemptions(&self) -> bool {
        self.plan.has_recent_preemptions()
    }

    /// Records the shards whose urgent tasks wait for a machine now.
    pub(crate) fn note_starved_shards(&mut self, shards: BTreeSet<u32>, now: Micros) {
        self.plan.note_starved_shards(shards, now);
    }

    /// Returns the time since which the urgent tasks of a shard wait.
    pub(crate) fn starved_since(&self, shard: u32) -> Option<Micros> {
        self.plan.starved_since(shard)
    }

    /// Forgets reassignments by preemption that are at least `max_age` old.
    pub(crate) fn forget_preemptions(&mut self, now: Micros, max_age: Micros) {
        self.plan.forget_preemptions(now, max_age);
    }
}
