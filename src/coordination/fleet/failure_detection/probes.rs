//! Probes: empty direct messages that machines have to answer.

use crate::coordination::Controller;
use crate::coordination::fleet::machine::Machine;
use crate::storage::schema::Role;
use crate::types::{MachineId, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// Number of machines that are probed at a time to learn whether this controller itself has lost contact.
const CONTACT_SAMPLE: usize = 6;

/// Minimum interval between log lines on probes that are held back.
const PROBE_LOG_INTERVAL: Micros = Micros::from_millis(10_000);

/// Number of further machines of a zone that are probed in each check while one of the zone fails to answer.
const EXTRA_PROBES_PER_ZONE: usize = 3;

/// A machine to be probed. Machines are probed in ascending order.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct DueProbe<'a> {
    /// Whether the machine shows no sign of a fault.
    is_routine: bool,
    /// Time when the machine was last seen or probed, less the head start of a machine with services. If only the time
    /// when it was last seen counted, the machines of a cut-off zone that were seen last would come after all that fail
    /// repeatedly, and would never be probed
    /// (`zone_cuts::every_machine_of_a_lost_zone_is_probed_and_evacuated_though_sockets_are_few`).
    last_seen_or_probed_at: Micros,
    machine: &'a MachineId,
}

/// Whether and why a machine has to be probed.
enum ProbeNeed {
    None,
    /// It has been silent for a while, without any other sign of a fault.
    Routine,
    /// It did not answer a message, or its heartbeat is late.
    Suspect,
}

/// Times of silence after which a machine is probed.
struct ProbeThresholds {
    routine: Micros,
    suspect: Micros,
}

impl ProbeThresholds {
    fn need(&self, machine: &Machine, now: Micros) -> ProbeNeed {
        let silence = machine.contact.silence(now);
        let is_out_of_order = machine.contact.has_unanswered() || machine.commands.is_probe_wanted();
        if machine.commands.is_in_flight() || !machine.contact.may_be_probed(now) {
            ProbeNeed::None
        } else if is_out_of_order || silence >= self.suspect {
            ProbeNeed::Suspect
        } else if silence >= self.routine {
            ProbeNeed::Routine
        } else {
            ProbeNeed::None
        }
    }
}

impl Controller {
    /// Probes machines that did not answer or whose heartbeat is late, and between their heartbeats machines with
    /// services, whose loss has an immediate effect. The latter are limited by the rate of probes, as a controller that
    /// holds all shards would do little else. Machines that were seen or probed longest ago go first, so that each is
    /// probed, however many fail to answer.
    pub(in crate::coordination::fleet) fn probe(&mut self, own_machines: &[MachineId]) {
        let due = self.due_probes(own_machines);
        let now = self.now();
        self.fleet.probe_budget.refill(now, self.policy.probes_per_s);
        for (sent_count, DueProbe { is_routine, machine: id, .. }) in due.iter().enumerate() {
            if self.fleet.direct_queue.is_full() {
                self.log_probes_held_back(&due[sent_count..]);
                break;
            }
            let (is_routine, id) = (*is_routine, *id);
            if is_routine && self.fleet.probe_budget.is_exhausted() {
                break;
            }
            if is_routine {
                self.fleet.probe_budget.spend();
            }
            let Some(fencing_token) = self.fencing_token(id) else { continue };
            let Some(machine) = self.fleet.machine_mut(id) else { continue };
            let Some(addr) = machine.addr else { continue };
            machine.contact.probe_sent(now, Micros::from_millis(self.policy.probe_ms));
            self.send_probe(id, fencing_token, addr);
        }
    }

    /// Logs, at a limited rate, the due probes for which no socket is left.
    fn log_probes_held_back(&mut self, held_back: &[DueProbe]) {
        let now = self.now();
        if now < self.fleet.next_probe_log_at {
            return;
        }
        self.fleet.next_probe_log_at = now + PROBE_LOG_INTERVAL;
        let is_unprobed =
            |id: &MachineId| self.fleet.machine(id).is_some_and(|machine| machine.contact.failed_probe_count() == 0);
        let unprobed = || held_back.iter().filter(|probe| is_unprobed(probe.machine));
        let silence = |probe: &DueProbe| self.fleet.machine(probe.machine).map(|machine| machine.contact.silence(now));
        let unprobed_silence = unprobed().filter_map(silence).max().unwrap_or_default();
        tracing::info!(
            due_count = held_back.len(),
            unprobed_count = unprobed().count(),
            unprobed_silence_ms = unprobed_silence.millis(),
            "probes held back: no socket left for direct messages"
        );
    }

    fn probe_thresholds(&self) -> ProbeThresholds {
        let routine = Micros::from_millis(self.policy.probe_after_ms);
        ProbeThresholds { routine, suspect: self.suspicious_silence() }
    }

    /// Returns the time without a sign of life after which a machine is probed, whatever it runs.
    pub(super) fn suspicious_silence(&self) -> Micros {
        let late = Micros::from_secs_f64(self.platform.deployment.agents.heartbeat_s * self.policy.report_late_part);
        late.max(Micros::from_millis(self.policy.probe_after_ms))
    }

    /// Returns the machines to be probed, in the order of their probes.
    fn due_probes<'a>(&self, own_machines: &'a [MachineId]) -> Vec<DueProbe<'a>> {
        let now = self.now();
        let thresholds = self.probe_thresholds();
        // Longer than the time between the last heartbeats of machines that are cut off together.
        let service_head_start = self.alive_span();
        let mut due: Vec<DueProbe> = Vec::new();
        let mut without_services: BTreeMap<&str, Vec<DueProbe>> = BTreeMap::new();
        let mut suspected_zones: BTreeSet<&str> = BTreeSet::new();
        for id in own_machines {
            let (Some(machine), Some(record)) = (self.fleet.machine(id), self.store.replica.machines.get(id)) else {
                continue;
            };
            let zone = record.value.zone.as_str();
            if machine.contact.has_unanswered() {
                suspected_zones.insert(zone);
            }
            let is_routine = match thresholds.need(machine, now) {
                ProbeNeed::None => continue,
                ProbeNeed::Routine => true,
                ProbeNeed::Suspect => false,
            };
            let runs_service = self.jobs.usage().runs_service_on(id);
            let head_start = if runs_service { service_head_start } else { Micros::ZERO };
            let last_seen_or_probed_at = machine.contact.last_seen_or_probed_at() - head_start;
            let probe = DueProbe { is_routine, last_seen_or_probed_at, machine: id };
            if !is_routine || runs_service {
                due.push(probe);
            } else {
                without_services.entry(zone).or_default().push(probe);
            }
        }
        for zone in suspected_zones {
            self.add_zone_probes(zone, without_services.remove(zone).unwrap_or_default(), &mut due);
        }
        due.sort_unstable();
        due
    }

    /// Adds probes of a few other machines, whatever they run, in a zone where one machine fails to answer: before any
    /// decision it has to be known whether one machine is lost or all are cut off.
    fn add_zone_probes<'a>(&self, zone: &str, mut others: Vec<DueProbe<'a>>, due: &mut Vec<DueProbe<'a>>) {
        others.sort_unstable();
        due.extend(others.into_iter().take(EXTRA_PROBES_PER_ZONE).map(|probe| DueProbe { is_routine: false, ..probe }));
        let in_zone = |id: &MachineId| self.store.replica.machines.get(id).is_some_and(|m| m.value.zone == zone);
        let routine = due.iter_mut().filter(|probe| probe.is_routine && in_zone(probe.machine));
        routine.take(EXTRA_PROBES_PER_ZONE).for_each(|probe| probe.is_routine = false);
    }

    /// Probes a machine that is not in the stored records, as only a machine that answers may be registered.
    pub(in crate::coordination::fleet) fn probe_unregistered(&mut self, id: &MachineId, addr: Option<&str>) {
        let Some(addr) = addr.and_then(|addr| addr.parse().ok()) else { return };
        let now = self.now();
        let machine = self.fleet.machine_or_insert(id);
        let may_be_probed = !machine.commands.is_in_flight() && machine.contact.may_be_probed(now);
        if !may_be_probed || self.fleet.direct_queue.is_full() {
            return;
        }
        if let Some(machine) = self.fleet.machine_mut(id) {
            machine.contact.probe_sent(now, Micros::from_millis(self.policy.probe_ms));
        }
        self.send_unfenced_probe(id, addr);
    }

    /// Probes a few machines, of shards that are not held here if there are any, to learn whether this controller has
    /// contact.
    pub(crate) fn probe_sample(&mut self) {
        let machines = &self.store.replica.machines;
        let is_held = |shard: u32| self.holds(Role::Shard(shard));
        let mut ids: Vec<&MachineId> =
            machines.iter().filter(|(_, m)| !is_held(m.value.shard)).map(|(id, _)| id).collect();
        if ids.is_empty() {
            ids = machines.keys().collect();
        }
        let step = ids.len().div_ceil(CONTACT_SAMPLE).max(1);
        let sample: Vec<MachineId> = ids.into_iter().step_by(step).cloned().collect();
        for id in sample {
            let Some(machine) = self.fleet.machine(&id) else { continue };
            if let Some(addr) = machine.addr.filter(|_| !machine.commands.is_in_flight()) {
                self.send_unfenced_probe(&id, addr);
            }
        }
    }
}
