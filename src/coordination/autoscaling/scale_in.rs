//! Scale in: machines that nothing has used for a while are retired, and deleted once nothing is recorded on them.

use crate::coordination::Controller;
use crate::coordination::autoscaling::bin_packing::UnschedulableTasks;
use crate::coordination::autoscaling::capacity_plan::CapacityByShard;
use crate::coordination::fleet::cordon::CordonCause;
use crate::storage::schema::CordonReason;
use crate::types::{MachineId, Micros};

/// One in so many machines is retired at a time, but no fewer than the minimum, so that a short lull doesn't empty the
/// cluster.
const RETIRED_FRACTION: usize = 100;
const MIN_RETIRED: usize = 2;

impl Controller {
    /// Retires machines that the plan has no use for, unless some tasks are unschedulable.
    pub(super) fn scale_in_idle(&mut self, capacity: &CapacityByShard, unschedulable: &[UnschedulableTasks]) {
        if !unschedulable.is_empty() {
            return;
        }
        let max_count = (self.store.replica.machines.len() / RETIRED_FRACTION).max(MIN_RETIRED);
        let min_idle = self.idle_span_before_scale_in();
        let idle = capacity.values().flatten().filter(|machine| machine.is_idle);
        let retired: Vec<MachineId> = idle
            .filter_map(|machine| machine.machine.clone())
            .filter(|id| self.is_free_for(id, min_idle))
            .take(max_count)
            .collect();
        for id in retired {
            self.cordon_as_leader(&id, CordonReason::Retire, CordonCause::Idle);
        }
    }

    /// Each machine retired costs a few writes, and each one created again another: machines are kept for longer while
    /// writes are scarce.
    fn idle_span_before_scale_in(&mut self) -> Micros {
        let now = self.now();
        let has_writes_to_spare = self.store.has_spare_write_budget(now);
        let span_ms = if has_writes_to_spare { self.policy.idle_return_ms } else { self.policy.idle_return_short_ms };
        Micros::from_millis(span_ms)
    }

    fn is_free_for(&self, id: &MachineId, span: Micros) -> bool {
        let free_since = self.fleet.machine(id).and_then(|m| m.idle_since);
        free_since.is_some_and(|since| self.now().since(since) >= span)
    }
}
