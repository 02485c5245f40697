//! The leader's capacity plan: which shards lack capacity for their waiting tasks, and which machines are moved between
//! shards, created or deleted.

use crate::coordination::Controller;
use crate::coordination::autoscaling::bin_packing::{MachineCapacity, UnschedulableTasks};
use crate::coordination::autoscaling::machine_types::InstanceOffer;
use crate::coordination::fleet::cordon::CordonCause;
use crate::protocol::user::Priority;
use crate::storage::schema::{CordonReason, MachineRecord};
use crate::types::{MachineId, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// Interval between two plans.
const PLAN_INTERVAL: Micros = Micros::from_millis(500);

/// Machines of each shard with the resources that the plan leaves free on them.
pub(crate) type CapacityByShard = BTreeMap<u32, Vec<MachineCapacity>>;

/// Time of the next plan and result of the last one.
#[derive(Default)]
pub(super) struct CapacityPlan {
    next_at: Micros,
    /// Tasks that found no capacity in their shard in the last plan, most urgent first.
    unschedulable: Vec<UnschedulableTasks>,
    /// Machines whose tasks were to be preempted for another shard, with the time of that decision.
    preempted_at: BTreeMap<MachineId, Micros>,
    /// Shards whose urgent tasks wait for a machine, with the time since which they do.
    starved_since: BTreeMap<u32, Micros>,
}

impl CapacityPlan {
    /// Returns whether the next plan is due.
    pub fn is_due(&self, now: Micros) -> bool {
        now >= self.next_at
    }

    /// Schedules the next plan after the regular interval.
    pub fn schedule_next(&mut self, now: Micros) {
        self.next_at = now + PLAN_INTERVAL;
    }

    /// Schedules the next plan for the next tick.
    pub fn schedule_at_once(&mut self, now: Micros) {
        self.next_at = now;
    }

    /// Records that a machine was reassigned to another shard although lower-priority work runs on it.
    pub fn note_preemption(&mut self, machine: MachineId, now: Micros) {
        self.preempted_at.insert(machine, now);
    }

    /// Returns whether a machine was recently reassigned although lower-priority work ran on it.
    pub fn was_preempted(&self, machine: &MachineId) -> bool {
        self.preempted_at.contains_key(machine)
    }

    /// Returns whether any machine was recently reassigned although work ran on it.
    pub fn has_recent_preemptions(&self) -> bool {
        !self.preempted_at.is_empty()
    }

    /// Records the shards whose urgent tasks wait for a machine now.
    pub fn note_starved_shards(&mut self, shards: BTreeSet<u32>, now: Micros) {
        self.starved_since.retain(|shard, _| shards.contains(shard));
        for shard in shards {
            self.starved_since.entry(shard).or_insert(now);
        }
    }

    /// Returns the time since which the urgent tasks of a shard wait.
    pub fn starved_since(&self, shard: u32) -> Option<Micros> {
        self.starved_since.get(&shard).copied()
    }

    /// Forgets reassignments that are at least `max_age` old, so that these machines may be chosen again.
    pub fn forget_preemptions(&mut self, now: Micros, max_age: Micros) {
        self.preempted_at.retain(|_, at| now.since(*at) < max_age);
    }

    /// See [`crate::coordination::autoscaling::Autoscaling::assign_new_machine`].
    pub fn assign_new_machine(&mut self, machine: MachineCapacity) -> Option<u32> {
        let mut machines = [machine];
        let mut chosen = None;
        for tasks in &mut self.unschedulable {
            if chosen.is_none_or(|shard| shard == tasks.shard) && tasks.pack_into(&mut machines) > 0 {
                chosen = Some(tasks.shard);
            }
        }
        chosen
    }
}

/// A machine to be moved to another shard.
pub(crate) struct MachineMove {
    pub machine: MachineId,
    pub from_shard: u32,
    pub to_shard: u32,
}

impl Controller {
    /// Packs the waiting tasks of all shards into their machines. Moves or creates machines where capacity is missing
    /// and retires idle ones.
    pub(super) fn plan_capacity(&mut self) {
        let mut unschedulable: Vec<UnschedulableTasks> = Vec::new();
        let mut capacity = CapacityByShard::new();
        for shard in 0..self.shard_count() {
            let mut machines = self.capacity_of_shard(shard);
            self.pack_waiting_jobs(shard, &mut machines, &mut unschedulable);
            capacity.insert(shard, machines);
        }
        // The most urgent tasks get idle machines, instances being provisioned and new instances first.
        unschedulable.sort_by_key(|tasks| (std::cmp::Reverse(tasks.spec.priority), !tasks.justifies_scale_out));
        self.autoscaling.plan.unschedulable = unschedulable.clone();
        self.reassign_idle_machines(&mut capacity, &mut unschedulable);
        unschedulable.retain(|tasks| tasks.justifies_scale_out);
        let autoscaling = &self.autoscaling;
        let mut expected = autoscaling.provisioning.expected_capacity(&autoscaling.machine_types, self.now());
        for tasks in &mut unschedulable {
            tasks.pack_into(&mut expected);
        }
        unschedulable.retain(|tasks| tasks.count > 0);
        self.scale_out(&unschedulable);
        self.preempt_across_shards(&capacity, &unschedulable);
        self.consolidate_services(&capacity, &unschedulable);
        self.scale_in_idle(&capacity, &unschedulable);
    }

    /// Returns the capacity of a shard's recorded machines that take work.
    pub(crate) fn capacity_of_shard(&self, shard: u32) -> Vec<MachineCapacity> {
        self.store
            .replica
            .machines
            .iter()
            .map(|(id, versioned)| (id, &versioned.value))
            .filter(|(_, record)| record.shard == shard && record.cordon.is_none())
            .filter(|(_, record)| self.zone_takes_work(&record.zone))
            .map(|(id, record)| self.capacity_of_machine(id, record))
            .collect()
    }

    fn capacity_of_machine(&self, id: &MachineId, record: &MachineRecord) -> MachineCapacity {
        let free = self.free_resources(id);
        let offer =
            InstanceOffer { machine_type: record.machine_type.clone(), zone: record.zone.clone(), spot: record.spot };
        MachineCapacity { machine: Some(id.clone()), offer, free, is_idle: free == self.machine_resources(id) }
    }

    /// Moves idle machines of other shards to the shards that have unschedulable tasks.
    fn reassign_idle_machines(&mut self, capacity: &mut CapacityByShard, unschedulable: &mut [UnschedulableTasks]) {
        for MachineMove { machine, from_shard, to_shard } in self.idle_machine_moves(capacity, unschedulable) {
            tracing::debug!(%machine, from_shard, to_shard, "idle machine reassigned to another shard");
            self.cordon_as_leader(&machine, CordonReason::MoveToShard(to_shard), CordonCause::NeededElsewhere);
        }
    }

    fn idle_machine_moves(
        &self,
        capacity: &mut CapacityByShard,
        unschedulable: &mut [UnschedulableTasks],
    ) -> Vec<MachineMove> {
        let max_moves = self.remaining_machine_moves();
        let mut moves = Vec::new();
        // Hundreds of jobs may wait, and an iteration over all machines for each of them would take most of a tick.
        let mut idle_count = capacity.values().flatten().filter(|machine| machine.is_idle).count();
        for tasks in unschedulable.iter_mut() {
            if idle_count == 0 || moves.len() >= max_moves {
                break;
            }
            let to_shard = tasks.shard;
            let is_urgent = tasks.spec.priority > Priority::Normal;
            for (from_shard, machines) in capacity.iter_mut().filter(|(shard, _)| **shard != to_shard) {
                let idle = machines.iter_mut().filter(|machine| machine.is_idle);
                for machine in idle.filter(|machine| is_urgent || self.has_been_idle_long_enough(machine)) {
                    if tasks.count == 0 || moves.len() >= max_moves {
                        break;
                    }
                    if tasks.pack_into(std::slice::from_mut(machine)) == 0 {
                        continue;
                    }
                    idle_count -= 1;
                    let from_shard = *from_shard;
                    moves.extend(machine.machine.clone().map(|machine| MachineMove { machine, from_shard, to_shard }));
                }
            }
        }
        moves
    }

    /// Returns whether a machine has been idle for long enough to be moved to another shard for non-urgent work.
    fn has_been_idle_long_enough(&self, machine: &MachineCapacity) -> bool {
        let min_span = Micros::from_millis(self.policy.shift_after_ms);
        let machine = machine.machine.as_ref().and_then(|id| self.fleet.machine(id));
        machine.and_then(|m| m.idle_since).is_some_and(|since| self.now().since(since) >= min_span)
    }

    /// Returns how many more machines may be moving between shards. Each move costs two writes, and task attempts and
    /// submissions have a greater need of the write budget.
    pub(crate) fn remaining_machine_moves(&self) -> usize {
        let machines = self.store.replica.machines.values();
        let moving_count =
            machines.filter(|machine| matches!(machine.value.cordon, Some(CordonReason::MoveToShard(_)))).count();
        let max_moves = ((self.platform.deployment.store.write_rps * self.policy.shift_part) as usize).max(1);
        max_moves.saturating_sub(moving_count)
    }
}
