//! Autoscaling: which capacity the waiting tasks need, which machines are created or deleted for it, and the leader's
//! calls to the cloud.
//!
//! Owns the machine types that the cloud offers, the calls in flight to the cloud, the instances being provisioned, the
//! deletions in progress and the leader's last capacity plan. Reads jobs, usage and the replica of the store. Promises
//! that only the leader with a valid lease creates instances, and that a machine's record goes only after the cloud
//! confirmed its deletion.

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
    /// Takes over what outlives a restart of the state machine: the machine types, and the numbering of calls, so that
    /// answers to earlier calls match none of the new ones.
    pub(crate) fn carry_over_from(&mut self, earlier: &mut Autoscaling) {
        self.machine_types.replace_types_from(&mut earlier.machine_types);
        self.cloud.continue_numbering_of(&earlier.cloud);
    }

    /// Whether the cloud has listed its machine types yet.
    pub(crate) fn has_machine_types(&self) -> bool {
        !self.machine_types.is_empty()
    }

    /// All machine types that the cloud offers.
    pub(crate) fn machine_types(&self) -> impl Iterator<Item = &MachineTypeInfo> {
        self.machine_types.iter()
    }

    /// A machine type by its name.
    pub(crate) fn machine_type(&self, name: &str) -> Option<&MachineTypeInfo> {
        self.machine_types.get(name)
    }

    /// Resources of a machine of that type; none if the cloud does not list the type.
    pub(crate) fn resources_of_type(&self, name: &str) -> Resources {
        self.machine_types.resources(name)
    }

    /// A machine that was being provisioned has sent its first heartbeat.
    pub(crate) fn instance_came_up(&mut self, id: &MachineId, now: Micros) {
        self.provisioning.came_up(id, now);
    }

    /// How many machines are being provisioned in a zone.
    pub(crate) fn provisioning_count_in_zone(&self, zone: &str) -> u32 {
        self.provisioning.count_in_zone(zone)
    }

    /// Whether the deletion of a machine was requested and its record is not removed yet.
    pub(crate) fn is_deleting(&self, id: &MachineId) -> bool {
        self.deletions.is_in_progress(id)
    }

    /// Whether the cloud confirmed the deletion of a machine a while ago: its late heartbeats count for nothing.
    pub(crate) fn was_deleted(&self, id: &MachineId) -> bool {
        self.deletions.is_confirmed(id)
    }

    /// The cloud has confirmed the deletion of a machine.
    pub(crate) fn note_deleted(&mut self, id: MachineId, now: Micros) {
        self.deletions.confirm(id, now);
    }

    /// The change of a deleted machine's record has succeeded or failed.
    pub(crate) fn deletion_settled(&mut self, id: &MachineId) {
        self.deletions.settle(id);
    }

    /// The shard whose unschedulable tasks in the last plan are the most urgent ones that fit on a new machine. What fits
    /// no longer counts as unschedulable.
    pub(crate) fn assign_new_machine(&mut self, machine: MachineCapacity) -> Option<u32> {
        self.plan.assign_new_machine(machine)
    }

    /// A machine was reassigned although lower work runs there.
    pub(crate) fn note_preemption(&mut self, machine: MachineId, now: Micros) {
        self.plan.note_preemption(machine, now);
    }

    /// Whether a machine was reassigned a while ago although lower work ran there.
    pub(crate) fn was_preempted(&self, machine: &MachineId) -> bool {
        self.plan.was_preempted(machine)
    }

    /// Forgets such reassignments of that age.
    pub(crate) fn forget_preemptions(&mut self, now: Micros, max_age: Micros) {
        self.plan.forget_preemptions(now, max_age);
    }
}
