//! Machines that receive nothing, though their heartbeats arrive.

use crate::coordination::Controller;
use crate::coordination::fleet::Fleet;
use crate::coordination::fleet::cordon::CordonCause;
use crate::coordination::fleet::machine::Machine;
use crate::storage::schema::CordonReason;
use crate::types::{MachineId, Micros};

/// Number of machines of a small shard that may fail independently.
const MAX_INDEPENDENT_FAILURES: f64 = 2.0;
/// Number of machines of a small shard that may be replaced at once.
const MAX_REPLACED_AT_ONCE: f64 = 1.0;

/// Numbers of machines by whether they answer direct messages.
struct Reachability {
    unreachable_count: usize,
    /// Machines whose reachability is known, including the unreachable ones.
    known_count: usize,
}

impl Reachability {
    /// Returns whether the unreachable machines are more than `max_part` of the known ones, and more than `max_count`.
    fn exceeds(&self, max_part: f64, max_count: f64) -> bool {
        self.unreachable_count as f64 > (self.known_count as f64 * max_part).max(max_count)
    }
}

impl Fleet {
    /// Counts the machines that fail to answer, and those whose reachability is known. These are the former and the
    /// machines that received something after the first of the former stopped answering. The rest were sent nothing
    /// since.
    fn reachability(&self, own_machines: &[MachineId]) -> Reachability {
        let machines = || own_machines.iter().filter_map(|id| self.machine(id));
        let unreachable = || machines().filter(|machine| machine.contact.is_suspected_unreachable());
        let Some(since) = unreachable().map(|machine| machine.contact.unanswered_since()).min() else {
            return Reachability { unreachable_count: 0, known_count: own_machines.len() };
        };
        let is_reached = |machine: &&Machine| {
            !machine.contact.is_suspected_unreachable() && machine.contact.last_delivered_at() > since
        };
        let unreachable_count = unreachable().count();
        Reachability { unreachable_count, known_count: unreachable_count + machines().filter(is_reached).count() }
    }

    /// Returns the machines that have received nothing for at least `min_span`, by at least `min_unanswered_count`
    /// unanswered messages.
    fn unreachable_machines(
        &self,
        own_machines: &[MachineId],
        now: Micros,
        min_unanswered_count: u32,
        min_span: Micros,
    ) -> Vec<MachineId> {
        let is_unreachable = |machine: &Machine| machine.contact.is_unreachable(now, min_unanswered_count, min_span);
        own_machines.iter().filter(|id| self.machine(id).is_some_and(is_unreachable)).cloned().collect()
    }
}

impl Controller {
    /// Records whether many machines fail to answer. While they do, and for a while afterwards, no machine is replaced
    /// for that reason: machines that can send but not receive look alive by turns, and answer again one by one when
    /// the failure ends.
    pub(in crate::coordination::fleet) fn note_many_unreachable(&mut self, own_machines: &[MachineId]) {
        if self.fleet.reachability(own_machines).exceeds(self.policy.replace_max_part, MAX_INDEPENDENT_FAILURES) {
            let now = self.now();
            self.fleet.correlated_failures.record_many_unreachable(now);
        }
    }

    /// Replaces machines whose heartbeats arrive though nothing reaches them: their leases expire repeatedly, and all
    /// work that they are given is lost. If many machines are affected at once, our own network is at fault and none is
    /// replaced.
    pub(in crate::coordination::fleet) fn replace_unreachable(&mut self, own_machines: &[MachineId]) {
        let now = self.now();
        let span = Micros::from_millis(self.policy.unreachable_after_ms);
        let unreachable = self.fleet.unreachable_machines(own_machines, now, self.policy.unreachable_probes, span);
        if unreachable.is_empty() || self.fleet.correlated_failures.were_many_unreachable(now, span) {
            return;
        }
        // Some stop answering a little later than others, so machines that are only suspected count as well, and at
        // least one other machine must have received something.
        let reachability = self.fleet.reachability(own_machines);
        let none_is_reached = reachability.known_count == reachability.unreachable_count;
        if none_is_reached || reachability.exceeds(self.policy.replace_max_part, MAX_REPLACED_AT_ONCE) {
            return;
        }
        for id in &unreachable {
            // A single heartbeat that was delayed in transit makes a machine that is cut off look as if it could send
            // (`zone_cuts::a_late_heartbeat_does_not_make_a_machine_that_is_cut_off_unreachable`).
            if self.is_in_zone_cut_off(id, span) {
                continue;
            }
            self.cordon(id, CordonReason::ForceDelete, CordonCause::Unreachable);
        }
    }
}
