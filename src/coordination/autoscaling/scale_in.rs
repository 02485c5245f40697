//! Scale-in: idle machines are retired, and deleted once no attempt is recorded on them.

use crate::coordination::Controller;
use crate::coordination::autoscaling::bin_packing::UnschedulableTasks;
use crate::coordination::autoscaling::capacity_plan::CapacityByShard;
use crate::coordination::fleet::cordon::CordonCause;
use crate::storage::schema::CordonReason;
use crate::types::{MachineId, Micros};

/// Number of recorded machines for each machine that one plan may retire. The limit keeps a short drop in load from
/// emptying the cluster.
const MACHINES_PER_RETIREMENT: usize = 100;
/// Lower bound for the number of machines that one plan may retire.
const MIN_RETIREMENTS: usize = 2;

impl Controller {
    /// Retires machines that are idle in the plan and have been idle for long enough, unless tasks are unschedulable.
    pub(super) fn scale_in_idle(&mut self, capacity: &CapacityByShard, unschedulable: &[UnschedulableTasks]) {
        if !unschedulable.is_empty() {
            return;
        }
        let max_count = (self.store.replica.machines.len() / MACHINES_PER_RETIREMENT).max(MIN_RETIREMENTS);
        let min_idle = self.idle_span_before_scale_in();
        let idle = capacity.values().flatten().filter(|machine| machine.is_idle);
        let retired: Vec<MachineId> = idle
            .filter_map(|machine| machine.machine.clone())
            .filter(|id| self.has_been_idle_for(id, min_idle))
            .take(max_count)
            .collect();
        for id in retired {
            self.cordon_as_leader(&id, CordonReason::Retire, CordonCause::Idle);
        }
    }

    /// Returns the time for which a machine must be idle before it is retired. Retiring a machine and creating it again
    /// costs several writes, so machines are kept for longer while the write budget is short.
    fn idle_span_before_scale_in(&mut self) -> Micros {
        let now = self.now();
        let has_spare_writes = self.store.has_spare_write_budget(now);
        let span_ms = if has_spare_writes { self.policy.idle_return_ms } else { self.policy.idle_return_short_ms };
        Micros::from_millis(span_ms)
    }

    fn has_been_idle_for(&self, id: &MachineId, span: Micros) -> bool {
        let idle_since = self.fleet.machine(id).and_then(|m| m.idle_since);
        idle_since.is_some_and(|since| self.now().since(since) >= span)
    }
}
