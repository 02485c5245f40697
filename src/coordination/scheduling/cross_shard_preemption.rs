//! Preemption across shards: machines that only run work of the lowest priority are moved to a shard with more urgent
//! work.
//!
//! If no more instances can be created, a shard's tasks would wait until other shards have idle machines. So the leader
//! also reassigns machines that run nothing but job arrays of the lowest priority, by the same cordon as for idle
//! machines (see [`crate::coordination::fleet::shard_moves`]). The holder drains such a machine as long as more urgent
//! work waits in the target shard; otherwise it removes the cordon.

use crate::coordination::Controller;
use crate::coordination::autoscaling::bin_packing::{MachineCapacity, UnschedulableTasks};
use crate::coordination::autoscaling::capacity_plan::{CapacityByShard, MachineMove};
use crate::coordination::fleet::cordon::CordonCause;
use crate::protocol::user::Priority;
use crate::storage::schema::CordonReason;
use crate::types::{MachineId, Micros};

/// Time after which a machine that its holder has kept may be chosen again.
const PREEMPTION_RETRY_INTERVAL: Micros = Micros::from_millis(30_000);

impl Controller {
    /// Reassigns machines of other shards that only run work of the lowest priority, for unschedulable tasks for which
    /// no instance can be created.
    pub(crate) fn preempt_across_shards(&mut self, capacity: &CapacityByShard, unschedulable: &[UnschedulableTasks]) {
        let now = self.now();
        self.autoscaling.forget_preemptions(now, PREEMPTION_RETRY_INTERVAL);
        if self.jobs.usage().low_priority_array_count() == 0 {
            return;
        }
        for MachineMove { machine, to_shard, .. } in self.machines_to_preempt(capacity, unschedulable) {
            tracing::debug!(%machine, to_shard, "machine preempted for another shard");
            self.autoscaling.note_preemption(machine.clone(), now);
            self.cordon_as_leader(&machine, CordonReason::MoveToShard(to_shard), CordonCause::NeededElsewhere);
        }
    }

    fn machines_to_preempt(
        &self,
        capacity: &CapacityByShard,
        unschedulable: &[UnschedulableTasks],
    ) -> Vec<MachineMove> {
        let max_moves = self.remaining_machine_moves();
        let mut moves: Vec<MachineMove> = Vec::new();
        let urgent = unschedulable.iter().filter(|tasks| tasks.spec.priority > Priority::Low);
        for tasks in urgent.filter(|tasks| !self.can_scale_out_for(tasks)) {
            let mut tasks = tasks.clone();
            let to_shard = tasks.shard;
            let others = capacity.iter().filter(|(shard, _)| **shard != to_shard);
            for (from_shard, machine) in
                others.flat_map(|(shard, own)| own.iter().map(move |machine| (*shard, machine)))
            {
                if tasks.count == 0 || moves.len() >= max_moves {
                    break;
                }
                let Some(id) = &machine.machine else { break };
                if moves.iter().any(|other| other.machine == *id) || !self.may_preempt_machine(id) {
                    continue;
                }
                let drained = MachineCapacity { free: self.machine_resources(id), ..machine.clone() };
                if tasks.pack_into(&mut [drained]) > 0 {
                    moves.push(MachineMove { machine: id.clone(), from_shard, to_shard });
                }
            }
        }
        moves
    }

    fn may_preempt_machine(&self, id: &MachineId) -> bool {
        !self.autoscaling.was_preempted(id) && self.runs_only_lowest_priority(id)
    }

    /// Returns whether resources of a machine are in use, and only by job arrays of the lowest priority.
    fn runs_only_lowest_priority(&self, id: &MachineId) -> bool {
        self.jobs.usage().has_only_low_priority_arrays(id)
    }

    /// Returns whether the holder of a machine to be moved to another shard should drain it: it runs only work of the
    /// lowest priority, and more urgent work waits in that shard.
    pub(crate) fn should_drain_for(&self, id: &MachineId, to_shard: u32) -> bool {
        let urgent_work_waits = || {
            self.jobs
                .values()
                .any(|job| job.spec.priority > Priority::Low && job.waiting_count_in(to_shard) > 0 && !job.is_failing())
        };
        self.runs_only_lowest_priority(id) && urgent_work_waits()
    }
}
