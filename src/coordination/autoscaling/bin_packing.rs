//! First-fit bin packing of tasks into the capacity of machines.

use crate::coordination::autoscaling::machine_types::InstanceOffer;
use crate::coordination::scheduling::zone_rules::TasksByZone;
use crate::protocol::user::JobSpec;
use crate::types::{MachineId, Resources};

/// Capacity of one machine in the capacity plan. The machine is recorded, being provisioned or yet to be created.
#[derive(Clone)]
pub(crate) struct MachineCapacity {
    /// ID of the machine, if it is recorded.
    pub machine: Option<MachineId>,
    pub offer: InstanceOffer,
    pub free: Resources,
    /// Whether no task takes resources of the machine, neither by the stored records nor in the plan.
    pub is_idle: bool,
}

impl MachineCapacity {
    /// Returns the capacity of a machine that has no record and runs no tasks yet.
    pub fn of_new_machine(offer: InstanceOffer, resources: Resources) -> MachineCapacity {
        MachineCapacity { machine: None, offer, free: resources, is_idle: true }
    }

    /// Returns whether a job allows the machine's type, zone and spot status, regardless of where its other tasks are.
    pub fn is_allowed_for(&self, spec: &JobSpec) -> bool {
        let InstanceOffer { machine_type, zone, spot } = &self.offer;
        spec.allows(machine_type, zone, *spot)
    }

    fn allocate(&mut self, resources: &Resources) {
        self.free = self.free.minus(resources);
        self.is_idle = false;
    }
}

/// Tasks of one job that found no capacity in the plan.
#[derive(Clone)]
pub(crate) struct UnschedulableTasks {
    pub shard: u32,
    pub spec: JobSpec,
    pub count: u64,
    /// Whether instances are created for these tasks. Otherwise they only get idle machines of other shards.
    pub justifies_scale_out: bool,
    /// Zones in which the job's other tasks are or are planned to be.
    pub zones: TasksByZone,
}

impl UnschedulableTasks {
    /// Packs as many of the tasks as possible into machines, subtracts them from the count and returns their number.
    pub fn pack_into(&mut self, machines: &mut [MachineCapacity]) -> u64 {
        let packed_count = pack_tasks(&self.spec, self.count, machines, &mut self.zones);
        self.count -= packed_count;
        packed_count
    }
}

/// Returns how many tasks that need `each` fit into `resources`.
pub(crate) fn tasks_that_fit(each: &Resources, resources: &Resources) -> u64 {
    let quotient = |each: u64, resources: u64| resources.checked_div(each).unwrap_or(u64::MAX);
    quotient(each.cpus, resources.cpus)
        .min(quotient(each.gpus, resources.gpus))
        .min(quotient(each.memory, resources.memory))
}

/// Packs up to `count` tasks of a job into machines by first fit and returns how many were packed. Adds them to
/// `zones`, which counts the job's tasks by zone.
pub(crate) fn pack_tasks(spec: &JobSpec, count: u64, machines: &mut [MachineCapacity], zones: &mut TasksByZone) -> u64 {
    let each = spec.resources();
    let mut packed_count = 0;
    for machine in machines.iter_mut() {
        if packed_count == count {
            break;
        }
        if !machine.is_allowed_for(spec) {
            continue;
        }
        let allowed_in_zone = zones.remaining_in(spec, &machine.offer.zone);
        let packed_here = tasks_that_fit(&each, &machine.free).min(count - packed_count).min(allowed_in_zone);
        if packed_here > 0 {
            machine.allocate(&each.times(packed_here));
            zones.add(&machine.offer.zone, packed_here);
            packed_count += packed_here;
        }
    }
    packed_count
}
