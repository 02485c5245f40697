//! Probes: empty direct messages that machines have to answer.

use crate::coordination::Controller;
use crate::coordination::fleet::machine::Machine;
use crate::storage::schema::Role;
use crate::types::{MachineId, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// Machines that are probed at a time to learn whether it is this controller that has lost contact.
const CONTACT_SAMPLE: usize = 6;

/// How often it is logged that probes are held back.
const PROBE_LOG_INTERVAL: Micros = Micros::from_millis(10_000);

/// Machines of a zone that are probed in each check while one of the zone fails to answer.
const WIDENED_PROBES: usize = 3;

/// A machine to be probed; the lesser goes first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct DueProbe<'a> {
    /// Nothing speaks against the machine.
    is_routine: bool,
    /// When it was last seen or probed, less the head start of a machine with services. Not when it was last seen: in a
    /// zone that is cut off, those seen last would come after all that fail again and again, and never have their turn
    /// (`zone_cuts::every_machine_of_a_lost_zone_is_probed_and_evacuated_though_sockets_are_few`).
    attended_at: Micros,
    machine: &'a MachineId,
}

/// What a check of one machine says about probing it.
enum ProbeNeed {
    None,
    /// It is merely silent for a while.
    Routine,
    /// It didn't answer, or its heartbeat is late.
    Suspect,
}

/// How long a machine may be silent.
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
    /// Probes machines that didn't answer or whose heartbeat is late, and between their heartbeats those with services,
    /// whose loss is felt at once. The latter only as far as the rate of probes allows: a controller that holds all shards
    /// would do little else. Those seen or probed longest ago go first, so that each has its turn, however many fail to
    /// answer.
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

    /// Probes are due for which no socket is left.
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

    /// A machine that gave no sign of life for so long is probed, whatever it runs.
    pub(super) fn suspicious_silence(&self) -> Micros {
        let late = Micros::from_secs_f64(self.platform.deployment.agents.heartbeat_s * self.policy.report_late_part);
        late.max(Micros::from_millis(self.policy.probe_after_ms))
    }

    /// Machines to be probed, in that order.
    fn due_probes<'a>(&self, own_machines: &'a [MachineId]) -> Vec<DueProbe<'a>> {
        let now = self.now();
        let thresholds = self.probe_thresholds();
        // More than the last heartbeats of machines cut off together are apart.
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
            let attended_at = machine.contact.last_attended_at() - head_start;
            let probe = DueProbe { is_routine, attended_at, machine: id };
            if !is_routine || runs_service {
                due.push(probe);
            } else {
                without_services.entry(zone).or_default().push(probe);
            }
        }
        for zone in suspected_zones {
            self.widen_search(zone, without_services.remove(zone).unwrap_or_default(), &mut due);
        }
        due.sort_unstable();
        due
    }

    /// Where one machine fails to answer, a few others of its zone are probed at once, whatever they run: whether one is
    /// lost or all are cut off must show before anything is decided.
    fn widen_search<'a>(&self, zone: &str, mut others: Vec<DueProbe<'a>>, due: &mut Vec<DueProbe<'a>>) {
        others.sort_unstable();
        due.extend(others.into_iter().take(WIDENED_PROBES).map(|probe| DueProbe { is_routine: false, ..probe }));
        let in_zone = |id: &MachineId| self.store.replica.machines.get(id).is_some_and(|m| m.value.zone == zone);
        let routine = due.iter_mut().filter(|probe| probe.is_routine && in_zone(probe.machine));
        routine.take(WIDENED_PROBES).for_each(|probe| probe.is_routine = false);
    }

    /// Probes a machine that is not in the stored records: only a living one may be registered.
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

    /// Probes a few machines, of shards that are not held here if there are any.
    pub(crate) fn probe_sample(&mut self) {
        let machines = &self.store.replica.machines;
        let is_ours = |shard: u32| self.holds(Role::Shard(shard));
        let mut ids: Vec<&MachineId> =
            machines.iter().filter(|(_, m)| !is_ours(m.value.shard)).map(|(id, _)| id).collect();
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
