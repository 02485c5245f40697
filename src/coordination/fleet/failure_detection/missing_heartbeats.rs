//! Machines whose heartbeats reach no controller, though they answer direct messages.

use crate::coordination::Controller;
use crate::coordination::fleet::Fleet;
use crate::coordination::fleet::cordon::CordonCause;
use crate::coordination::fleet::machine::Machine;
use crate::storage::schema::CordonReason;
use crate::types::{MachineId, Micros};

/// Number of heartbeat intervals after which the next heartbeat is overdue.
const OVERDUE_HEARTBEAT_INTERVALS: f64 = 1.25;

impl Fleet {
    fn machines_missing_heartbeats(&self, own_machines: &[MachineId], now: Micros, span: Micros) -> Vec<MachineId> {
        let is_missing = |machine: &Machine| machine.contact.is_missing_heartbeats(now, span);
        own_machines.iter().filter(|id| self.machine(id).is_some_and(is_missing)).cloned().collect()
    }
}

impl Controller {
    /// Returns the time without a heartbeat after which a machine's heartbeats are assumed not to arrive. It covers a
    /// heartbeat interval and the agent's failed attempts to reach a few controllers.
    pub(crate) fn missing_heartbeats_span(&self) -> Micros {
        let overdue = self.platform.deployment.agents.heartbeat_s * OVERDUE_HEARTBEAT_INTERVALS;
        Micros::from_secs_f64(overdue) + Micros::from_millis(self.policy.unreported_ms)
    }

    /// Replaces machines whose heartbeats reach no controller while their leases last. If many machines are affected,
    /// the fault is elsewhere and none is replaced.
    pub(in crate::coordination::fleet) fn replace_missing_heartbeats(&mut self, own_machines: &[MachineId]) {
        let now = self.now();
        let span = self.missing_heartbeats_span();
        let mut missing = self.fleet.machines_missing_heartbeats(own_machines, now, span);
        // A machine that was not probed since is entirely silent; only the machines retained here are known to answer.
        // The others still count in `late_count`, which shows whether many are late together
        // (`zone_cuts::machines_of_a_zone_that_is_cut_off_work_on_though_sockets_are_few`).
        let max_silence = self.suspicious_silence();
        missing.retain(|id| self.fleet.machine(id).is_some_and(|machine| machine.contact.silence(now) < max_silence));
        // Their last heartbeats arrived at different times, so machines that are about to exceed the span count as
        // well.
        let half_span = span - Micros(Micros::from_millis(self.policy.unreported_ms).0 / 2);
        let late_count = self.fleet.machines_missing_heartbeats(own_machines, now, half_span).len();
        if late_count as f64 > (own_machines.len() as f64 * self.policy.replace_max_part).max(1.0) {
            self.fleet.correlated_failures.record_many_missing_heartbeats(now);
        }
        // When such a failure ends, heartbeats arrive again one by one.
        if missing.is_empty() || self.fleet.correlated_failures.were_many_missing_heartbeats(now, span) {
            return;
        }
        for id in &missing {
            self.cordon(id, CordonReason::ForceDelete, CordonCause::MissingHeartbeats);
        }
    }
}
