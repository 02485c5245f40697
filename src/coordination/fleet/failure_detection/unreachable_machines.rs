//! Machines that receive nothing, though their heartbeats arrive.

use crate::coordination::Controller;
use crate::coordination::fleet::Fleet;
use crate::coordination::fleet::cordon::CordonCause;
use crate::coordination::fleet::machine::Machine;
use crate::storage::schema::CordonReason;
use crate::types::{MachineId, Micros};

/// In a small shard so many machines may fail independently.
const MAX_INDEPENDENT_FAILURES: f64 = 2.0;
/// In a small shard so many are replaced at once.
const MAX_REPLACED_AT_ONCE: f64 = 1.0;

/// Machines by whether they answer direct messages.
struct Reachability {
    unreachable_count: usize,
    /// Machines of which it can be said, the unreachable ones among them.
    known_count: usize,
}

impl Reachability {
    /// Whether more than so large a part of the machines is unreachable, and more than that number.
    fn exceeds(&self, max_part: f64, max_count: f64) -> bool {
        self.unreachable_count as f64 > (self.known_count as f64 * max_part).max(max_count)
    }
}

impl Fleet {
    /// How many machines fail to answer, and of how many that can be said: of those that received something since the first
    /// of them fell silent, too. The rest were sent nothing.
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

    /// Machines that receive nothing for so long, by that many unanswered messages.
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
    /// Machines that can send but not receive look alive in turns, and when such a time ends they answer again one by one.
    /// While many fail to answer, and a while after, none is judged by that.
    pub(in crate::coordination::fleet) fn note_many_unreachable(&mut self, own_machines: &[MachineId]) {
        if self.fleet.reachability(own_machines).exceeds(self.policy.replace_max_part, MAX_INDEPENDENT_FAILURES) {
            let now = self.now();
            self.fleet.correlated_failures.many_unreachable(now);
        }
    }

    /// A machine whose heartbeats arrive though nothing reaches it: its lease expires again and again, and whatever it is
    /// given is lost. Replaced like a silent one, unless many are so at once: then the fault is our own network.
    pub(in crate::coordination::fleet) fn replace_unreachable(&mut self, own_machines: &[MachineId]) {
        let now = self.now();
        let span = Micros::from_millis(self.policy.unreachable_after_ms);
        let unreachable = self.fleet.unreachable_machines(own_machines, now, self.policy.unreachable_probes, span);
        if unreachable.is_empty() || self.fleet.correlated_failures.were_many_unreachable(now, span) {
            return;
        }
        // Some fall silent a little later than others: those on their way there count as well, and at least one other must
        // have received something.
        let reachability = self.fleet.reachability(own_machines);
        let none_is_reached = reachability.known_count == reachability.unreachable_count;
        if none_is_reached || reachability.exceeds(self.policy.replace_max_part, MAX_REPLACED_AT_ONCE) {
            return;
        }
        for id in &unreachable {
            // One heartbeat that was held up on its way makes a machine that is cut off look as if it could send
            // (`zone_cuts::a_late_heartbeat_does_not_make_a_machine_that_is_cut_off_unreachable`).
            if self.is_in_zone_cut_off(id, span) {
                continue;
            }
            self.cordon(id, CordonReason::ForceDelete, CordonCause::Unreachable);
        }
    }
}
