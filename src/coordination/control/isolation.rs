//! Detection of isolation: this controller can't reach its machines, though siblings may be able to.
//!
//! A controller suspects isolation when most of its own machines are silent. If the cluster has other machines, it then
//! probes these as well, because all machines of a shard can be lost together, for instance with their zone. In that
//! case machines of other shards still answer, and releasing the shard would not help: no sibling can reach the lost
//! machines either, and the shard would move back and forth between controllers.
//!
//! Tests: `on_call::a_shard_whose_machines_all_hang_keeps_its_holder`,
//! `on_call::a_controller_repeatedly_cut_off_from_its_agents`.

use crate::coordination::Controller;
use crate::coordination::fleet::machine::Machine;
use crate::types::{MachineId, Micros};

/// Interval between probes while isolation is suspected or in effect.
const PROBE_INTERVAL: Micros = Micros::from_millis(1000);
/// Time without an answer from any probed machine after which the controller counts as isolated.
const SUSPICION_TIMEOUT: Micros = Micros::from_millis(2000);
/// Minimum number of own machines whose silence proves isolation if the cluster has no other machines to probe.
const MIN_OWN_MACHINES: usize = 3;
/// Number of answers that end the isolation.
const MIN_ANSWERS: u32 = 2;
/// Number of failed probes from which on an own machine can count as silent.
const MIN_FAILED_PROBES: u32 = 2;
/// Time without a new isolation after which earlier ones no longer raise the tolerated silence.
const RECENT_ISOLATION_WINDOW: Micros = Micros::from_millis(300_000);
/// Maximum number of times that recent isolations double the tolerated silence.
const MAX_DOUBLINGS: u32 = 4;
/// Upper bound of the tolerated silence, as a fraction of a machine's lease.
const MAX_LEASE_FRACTION: f64 = 0.5;

/// Whether this controller can reach machines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Contact {
    /// Most of its own machines answer.
    #[default]
    Connected,
    /// Most of its own machines are silent; machines of other shards are probed to locate the fault.
    Suspected { since: Micros, answer_count: u32 },
    /// No machine has answered: the shards are released to siblings, and machines are probed until some answer.
    Isolated { answer_count: u32 },
}

/// Detector of the beginning and end of this controller's isolation.
#[derive(Default)]
pub(super) struct IsolationDetector {
    contact: Contact,
    next_probe_at: Micros,
    /// Number of isolations in the recent past.
    recent_count: u32,
    /// Time at which the last isolation began.
    last_isolated_at: Micros,
}

impl IsolationDetector {
    pub(super) fn is_isolated(&self) -> bool {
        matches!(self.contact, Contact::Isolated { .. })
    }

    /// Counts a machine's answer to a direct command while isolation is suspected or in effect.
    pub(super) fn record_answer(&mut self) {
        match &mut self.contact {
            Contact::Connected => {}
            Contact::Suspected { answer_count, .. } | Contact::Isolated { answer_count } => *answer_count += 1,
        }
    }

    /// Ends the isolation if enough answers have arrived since it began. Returns whether it ended.
    fn try_recover(&mut self) -> bool {
        let recovers = matches!(self.contact, Contact::Isolated { answer_count } if answer_count >= MIN_ANSWERS);
        if recovers {
            self.contact = Contact::Connected;
        }
        recovers
    }

    /// Returns whether probes are due now, and if so schedules the next ones one interval later.
    fn take_due_probe(&mut self, now: Micros) -> bool {
        let is_due = now >= self.next_probe_at;
        if is_due {
            self.next_probe_at = now + PROBE_INTERVAL;
        }
        is_due
    }

    /// Starts to suspect isolation, and so to count answers, unless it is suspected already.
    fn mark_suspected(&mut self, now: Micros) {
        if self.contact == Contact::Connected {
            self.contact = Contact::Suspected { since: now, answer_count: 0 };
            self.next_probe_at = now;
        }
    }

    /// Returns whether no machine has answered since isolation was suspected, for long enough to confirm it.
    fn is_suspicion_confirmed(&self, now: Micros) -> bool {
        matches!(self.contact, Contact::Suspected { since, answer_count: 0 } if now.since(since) >= SUSPICION_TIMEOUT)
    }

    fn mark_connected(&mut self) {
        self.contact = Contact::Connected;
    }

    fn mark_isolated(&mut self, now: Micros) {
        self.contact = Contact::Isolated { answer_count: 0 };
        self.recent_count += 1;
        self.last_isolated_at = now;
    }

    /// Returns the silence of most machines from which on isolation is suspected. It doubles with each recent
    /// isolation, up to a fraction of a machine's lease, because a shard must be released while the leases of its
    /// machines last.
    fn tolerated_silence(&mut self, now: Micros, initial: Micros, machine_lease_s: f64) -> Micros {
        if now.since(self.last_isolated_at) >= RECENT_ISOLATION_WINDOW {
            self.recent_count = 0;
        }
        let max = Micros::from_secs_f64(machine_lease_s * MAX_LEASE_FRACTION).max(initial);
        Micros(initial.0 << self.recent_count.min(MAX_DOUBLINGS)).min(max)
    }
}

impl Controller {
    /// Evaluates whether this controller has become isolated, or whether an isolation has ended.
    pub(crate) fn update_isolation(&mut self, own_machines: &[MachineId]) {
        if self.control.isolation.is_isolated() {
            self.try_end_isolation();
        } else if !self.are_most_silent(own_machines) {
            self.control.isolation.mark_connected();
        } else if self.is_fault_local(own_machines.len()) {
            let now = self.now();
            self.control.isolation.mark_isolated(now);
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

    /// Returns whether at least two thirds of this controller's machines have been silent for longer than is tolerated.
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

    /// Returns whether the fault behind the silence of most own machines is on this controller's side: no other machine
    /// answers either, or there are no others and enough own ones.
    fn is_fault_local(&mut self, own_count: usize) -> bool {
        let now = self.now();
        if self.store.replica.machines.len() <= own_count {
            return own_count >= MIN_OWN_MACHINES;
        }
        self.control.isolation.mark_suspected(now);
        if self.control.isolation.take_due_probe(now) {
            self.probe_sample();
        }
        self.control.isolation.is_suspicion_confirmed(now)
    }
}
