//! Whether this controller is isolated: it can't reach its machines, though siblings may.
//!
//! Most of its own machines have to be silent. As long as the cluster has other machines, these are probed as well: a
//! whole shard's machines may well be lost together, with their zone or on their own. Then machines of other shards
//! answer, and a sibling would reach the lost ones no better: the shard would only go to and fro.
//!
//! Tests: `on_call::a_shard_whose_machines_all_hang_stays_where_it_is`,
//! `on_call::a_controller_cut_from_its_agents_again_and_again`.

use crate::coordination::Controller;
use crate::coordination::fleet::machine::Machine;
use crate::types::{MachineId, Micros};

/// Pause between two probes while it is in doubt whether any machine can be reached.
const PROBE_INTERVAL: Micros = Micros::from_millis(1000);
/// Without an answer of any machine for so long while probing, the controller is isolated.
const SUSPICION_SPAN: Micros = Micros::from_millis(2000);
/// If the cluster has no other machines to probe, fewer own machines than this prove nothing.
const MIN_OWN_MACHINES: usize = 3;
/// So many answers end the isolation.
const MIN_ANSWERS: u32 = 2;
/// Own machines that failed this many probes count as silent.
const MIN_FAILED_PROBES: u32 = 2;
/// An isolation counts as one of several for so long.
const ISOLATION_MEMORY: Micros = Micros::from_millis(300_000);
/// The tolerated silence doubles with each recent isolation up to this often...
const MAX_DOUBLINGS: u32 = 4;
/// ...and is at most this part of a machine's lease.
const MAX_LEASE_PART: f64 = 0.5;

/// How well this controller reaches machines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Contact {
    /// Most of its own machines answer.
    #[default]
    Connected,
    /// Most of its own machines are silent; other shards' machines are probed to tell whether the fault is here.
    Suspected { since: Micros, answer_count: u32 },
    /// No machine has answered: the shards are left to siblings. All machines are probed until some answer.
    Isolated { answer_count: u32 },
}

/// Detects when this controller becomes isolated and when it no longer is.
#[derive(Default)]
pub(super) struct IsolationDetector {
    contact: Contact,
    next_probe_at: Micros,
    /// Isolations in the recent past, and when the last one began.
    recent_count: u32,
    last_isolated_at: Micros,
}

impl IsolationDetector {
    pub(super) fn is_isolated(&self) -> bool {
        matches!(self.contact, Contact::Isolated { .. })
    }

    /// A machine has answered a direct command.
    pub(super) fn record_answer(&mut self) {
        match &mut self.contact {
            Contact::Connected => {}
            Contact::Suspected { answer_count, .. } | Contact::Isolated { answer_count } => *answer_count += 1,
        }
    }

    /// Ends the isolation if enough machines have answered since it began; says whether it did.
    fn try_recover(&mut self) -> bool {
        let recovers = matches!(self.contact, Contact::Isolated { answer_count } if answer_count >= MIN_ANSWERS);
        if recovers {
            self.contact = Contact::Connected;
        }
        recovers
    }

    /// Whether machines are to be probed now; then the next probes are due an interval later.
    fn take_due_probe(&mut self, now: Micros) -> bool {
        let is_due = now >= self.next_probe_at;
        if is_due {
            self.next_probe_at = now + PROBE_INTERVAL;
        }
        is_due
    }

    /// Most own machines are silent: from now on other machines' answers are counted, if they aren't already.
    fn suspect(&mut self, now: Micros) {
        if self.contact == Contact::Connected {
            self.contact = Contact::Suspected { since: now, answer_count: 0 };
            self.next_probe_at = now;
        }
    }

    /// Whether no machine has answered for as long as a suspicion takes to be confirmed.
    fn is_suspicion_confirmed(&self, now: Micros) -> bool {
        matches!(self.contact, Contact::Suspected { since, answer_count: 0 } if now.since(since) >= SUSPICION_SPAN)
    }

    fn connected(&mut self) {
        self.contact = Contact::Connected;
    }

    fn isolated(&mut self, now: Micros) {
        self.contact = Contact::Isolated { answer_count: 0 };
        self.recent_count += 1;
        self.last_isolated_at = now;
    }

    /// How long most machines must have been silent. It grows if that happens again and again, but a shard must be
    /// released while the leases of its machines last.
    fn tolerated_silence(&mut self, now: Micros, initial: Micros, machine_lease_s: f64) -> Micros {
        if now.since(self.last_isolated_at) >= ISOLATION_MEMORY {
            self.recent_count = 0;
        }
        let max = Micros::from_secs_f64(machine_lease_s * MAX_LEASE_PART).max(initial);
        Micros(initial.0 << self.recent_count.min(MAX_DOUBLINGS)).min(max)
    }
}

impl Controller {
    /// Judges by its own machines whether this controller has become isolated, and once it is, by all machines whether
    /// it can reach them again.
    pub(crate) fn update_isolation(&mut self, own_machines: &[MachineId]) {
        if self.control.isolation.is_isolated() {
            self.try_end_isolation();
        } else if !self.are_most_silent(own_machines) {
            self.control.isolation.connected();
        } else if self.is_fault_local(own_machines.len()) {
            let now = self.now();
            self.control.isolation.isolated(now);
        }
    }

    fn try_end_isolation(&mut self) {
        let now = self.now();
        if self.control.isolation.try_recover() {
            tracing::info!("controller isolation ended: machines answer again");
        } else if self.control.isolation.take_due_probe(now) {
            self.probe_sample();
        }
    }

    /// Whether at least two thirds of this controller's machines have been silent for longer than is tolerated.
    fn are_most_silent(&mut self, own_machines: &[MachineId]) -> bool {
        let now = self.now();
        let initial = Micros::from_millis(self.policy.lose_contact_ms);
        let lease_s = self.platform.deployment.agents.lease_s;
        let tolerated = self.control.isolation.tolerated_silence(now, initial, lease_s);
        let is_silent = |machine: &Machine| {
            (machine.contact.failed_probe_count() >= MIN_FAILED_PROBES && machine.contact.silence(now) >= tolerated)
                || machine.contact.is_unreachable(now, self.policy.unreachable_probes, tolerated)
        };
        let machines = own_machines.iter().filter_map(|id| self.fleet.machine(id));
        let silent_count = machines.filter(|machine| is_silent(machine)).count();
        !own_machines.is_empty() && silent_count * 3 >= own_machines.len() * 2
    }

    /// Whether the silence of most own machines is this controller's own fault, as no others answer either.
    fn is_fault_local(&mut self, own_count: usize) -> bool {
        let now = self.now();
        if self.store.replica.machines.len() <= own_count {
            return own_count >= MIN_OWN_MACHINES;
        }
        self.control.isolation.suspect(now);
        if self.control.isolation.take_due_probe(now) {
            self.probe_sample();
        }
        self.control.isolation.is_suspicion_confirmed(now)
    }
}
