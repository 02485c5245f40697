//! Machines that give no sign of life.

use crate::coordination::Controller;
use crate::coordination::fleet::Fleet;
use crate::coordination::fleet::cordon::CordonCause;
use crate::coordination::fleet::failure_detection::ExpiryMargin;
use crate::coordination::fleet::machine::Machine;
use crate::storage::schema::CordonReason;
use crate::types::{MachineId, Micros};
use std::borrow::Cow;
use std::collections::BTreeMap;

/// Minimum number of silent machines in a zone for a conclusion about the zone.
const MIN_SILENT_IN_ZONE: usize = 3;
/// Number of other machines to compare with below which a machine's silence has to last longer.
const MIN_COMPARED: usize = 2;
/// Factor by which the silence has to last longer in that case.
const UNCOMPARED_SILENCE_FACTOR: u64 = 3;

/// Numbers of silent and seen machines at some time. A machine about which nothing is known counts in neither.
#[derive(Clone, Copy)]
struct SilenceCounts {
    /// Machines that failed to answer and have not been seen since.
    silent: usize,
    /// Machines that have been seen since.
    seen: usize,
}

impl SilenceCounts {
    /// Returns the number of machines with which a silent machine can be compared.
    fn compared_count(self) -> usize {
        (self.silent + self.seen).saturating_sub(1)
    }

    /// Returns whether more machines are silent than independent failures explain. In a small shard one other machine
    /// may well be lost too, but if none at all was seen the fault is ours.
    fn are_many_silent(self, max_part: f64) -> bool {
        // The evaluated machine is itself among the silent ones.
        let others_silent = self.silent.saturating_sub(1) as f64;
        let compared = self.compared_count();
        others_silent > (compared as f64 * max_part).max(1.0) || (compared >= MIN_COMPARED && self.seen == 0)
    }

    /// Returns whether most machines of a zone are silent: then the zone is cut off and its machines continue to work.
    fn is_zone_cut_off(self, max_part: f64) -> bool {
        self.silent >= MIN_SILENT_IN_ZONE && self.silent as f64 > (self.silent + self.seen) as f64 * max_part
    }
}

/// Times when machines were last seen, separately for those that have failed to answer since and for the others.
/// Machines that have not been probed since and whose heartbeat is not due say nothing. The times are sorted once: with
/// hundreds of silent machines, an iteration over all machines for each of them would take the whole time of a check.
struct LastSeenTimes {
    failing: Vec<Micros>,
    answering: Vec<Micros>,
}

impl LastSeenTimes {
    fn of<'a>(machines: impl Iterator<Item = &'a Machine>) -> LastSeenTimes {
        let (mut failing, mut answering) = (Vec::new(), Vec::new());
        for machine in machines {
            // Machines of a shard that was just acquired have not been seen yet, though their silence counts from then.
            let is_confirmed = machine.ownership.is_token_confirmed();
            let last_seen_at = if is_confirmed { machine.contact.last_seen_at() } else { Micros::ZERO };
            if machine.contact.failed_probe_count() > 0 {
                failing.push(last_seen_at);
            } else {
                answering.push(last_seen_at);
            }
        }
        failing.sort_unstable();
        answering.sort_unstable();
        LastSeenTimes { failing, answering }
    }

    /// Counts the machines that have been silent since `moment`, and those that were seen after it, whether or not they
    /// are silent now.
    fn since(&self, moment: Micros) -> SilenceCounts {
        let silent = count_until(&self.failing, moment);
        let seen = self.failing.len() - silent + self.answering_since(moment);
        SilenceCounts { silent, seen }
    }

    /// Counts the machines that are silent now, whenever they were last seen, and those that were seen after `moment`
    /// and are not silent now.
    fn at_present(&self, moment: Micros) -> SilenceCounts {
        SilenceCounts { silent: self.failing.len(), seen: self.answering_since(moment) }
    }

    fn answering_since(&self, moment: Micros) -> usize {
        self.answering.len() - count_until(&self.answering, moment)
    }
}

/// Returns how many of the sorted times are not later than `moment`.
fn count_until(times: &[Micros], moment: Micros) -> usize {
    times.partition_point(|at| *at <= moment)
}

/// Conclusion from the silence of a machine.
#[derive(PartialEq)]
enum SilenceFinding {
    /// This machine alone has failed and is replaced.
    Failed(MachineId),
    /// The machine's whole zone is cut off.
    ZoneCutOff(String),
    /// So many machines are silent that our own network is assumed to be at fault.
    ManySilent,
    Undecided,
}

impl Fleet {
    /// Returns the machines that have been silent for at least `min_silence` and failed at least `min_failed_probes`
    /// probes.
    fn silent_machines(
        &self,
        own_machines: &[MachineId],
        now: Micros,
        min_failed_probes: u32,
        min_silence: Micros,
    ) -> Vec<MachineId> {
        let is_silent = |machine: &Machine| {
            machine.contact.failed_probe_count() >= min_failed_probes && machine.contact.silence(now) >= min_silence
        };
        own_machines.iter().filter(|id| self.machine(id).is_some_and(is_silent)).cloned().collect()
    }

    /// Returns whether a silent machine may still be seen again. With hardly any other machine to compare with, its
    /// silence has to last longer. When a partition ends, its machines are seen again one by one, which takes a while
    /// for the last.
    fn may_recover(
        &self,
        zone: &str,
        counts: SilenceCounts,
        silence: Micros,
        now: Micros,
        replace_after: Micros,
    ) -> bool {
        let min_silence = Micros(replace_after.0 * UNCOMPARED_SILENCE_FACTOR);
        let is_uncompared = counts.compared_count() < MIN_COMPARED && silence < min_silence;
        is_uncompared || self.correlated_failures.was_zone_cut_off(zone, now, replace_after)
    }
}

impl Controller {
    /// Deletes single machines that are silent, which proves their tasks absent sooner than the expiry of their leases
    /// would. If many machines are silent, the fault is ours or a partition's, and the machines may come back.
    pub(in crate::coordination::fleet) fn replace_silent(&mut self, own_machines: &[MachineId]) {
        let now = self.now();
        let replace_after = Micros::from_millis(self.policy.replace_after_ms);
        let silent = self.fleet.silent_machines(own_machines, now, self.policy.probes_failed, replace_after);
        if silent.is_empty() || self.fleet.correlated_failures.were_many_unreachable(now, replace_after) {
            return;
        }
        let findings = self.evaluate_silence(own_machines, silent, replace_after);
        for finding in &findings {
            if let SilenceFinding::ZoneCutOff(zone) = finding {
                self.fleet.correlated_failures.record_zone_cut_off(zone.clone(), now);
            }
        }
        if findings.contains(&SilenceFinding::ManySilent) {
            self.fleet.correlated_failures.record_many_unreachable(now);
            return;
        }
        for finding in findings {
            if let SilenceFinding::Failed(id) = finding {
                self.cordon(&id, CordonReason::ForceDelete, CordonCause::Silent);
            }
        }
    }

    /// Deletes machines that have not been seen since we acquired the shard, for longer than a lease. However many are
    /// silent, nothing but a deletion can prove their tasks absent.
    pub(in crate::coordination::fleet) fn replace_never_seen(&mut self, own_machines: &[MachineId]) {
        let now = self.now();
        let replace_after = Micros::from_millis(self.policy.replace_after_ms);
        let min_silence = self.lease_expiry_bound(ExpiryMargin::RenewedByFormerHolder).max(replace_after);
        for id in self.fleet.silent_machines(own_machines, now, self.policy.probes_failed, min_silence) {
            if self.fleet.machine(&id).is_some_and(|machine| !machine.ownership.is_token_confirmed()) {
                self.cordon(&id, CordonReason::ForceDelete, CordonCause::NeverSeen);
            }
        }
    }

    /// Returns the machines that are evaluated individually and compared with each other. A lost zone is evaluated as a
    /// whole: as long as it is lost, its silence would hide that of a single machine elsewhere
    /// (`zone_cuts::a_machine_that_hangs_elsewhere_while_a_zone_is_away_is_replaced`).
    pub(in crate::coordination::fleet) fn machines_outside_lost_zones<'a>(
        &self,
        own_machines: &'a [MachineId],
    ) -> Cow<'a, [MachineId]> {
        if !self.is_any_zone_lost() {
            return Cow::Borrowed(own_machines);
        }
        let is_outside = |id: &&MachineId| self.zone_of(id).is_none_or(|zone| !self.is_zone_lost(zone));
        own_machines.iter().filter(is_outside).cloned().collect()
    }

    /// Evaluates the silence of each machine by comparing it with the other machines of the shard and of its zone.
    fn evaluate_silence(
        &self,
        own_machines: &[MachineId],
        silent: Vec<MachineId>,
        replace_after: Micros,
    ) -> Vec<SilenceFinding> {
        let now = self.now();
        // Machines fall silent one by one even if all are cut off at once, as each was last seen at a different time.
        // So the others must have been seen well after this one fell silent.
        let gap = Micros::from_millis(self.policy.probe_after_ms + self.policy.probe_ms);
        let shard_times = LastSeenTimes::of(own_machines.iter().filter_map(|id| self.fleet.machine(id)));
        let mut zone_times: BTreeMap<&str, LastSeenTimes> = BTreeMap::new();
        let mut findings = Vec::new();
        for id in silent {
            let Some(last_seen_at) = self.fleet.machine(&id).map(|m| m.contact.last_seen_at()) else { continue };
            let Some(zone) = self.zone_of(&id) else { continue };
            let in_zone = zone_times.entry(zone).or_insert_with(|| self.last_seen_times_in(zone, own_machines));
            let moment = last_seen_at + gap;
            let in_shard = shard_times.since(moment);
            findings.push(if in_shard.are_many_silent(self.policy.replace_max_part) {
                SilenceFinding::ManySilent
            // Other machines of the zone that were seen after this one and are silent now don't prove that the zone is
            // reachable: they were seen later before the cut, or one of their heartbeats arrived late
            // (`zone_cuts::late_heartbeats_of_others_do_not_make_a_machine_look_lost_alone`).
            } else if in_zone.at_present(moment).is_zone_cut_off(self.policy.zone_max_part) {
                SilenceFinding::ZoneCutOff(zone.to_string())
            } else if self.fleet.may_recover(zone, in_shard, now.since(last_seen_at), now, replace_after)
                || self.is_zone_newly_suspected(zone)
            {
                SilenceFinding::Undecided
            } else {
                SilenceFinding::Failed(id)
            });
        }
        findings
    }

    /// Returns whether most machines of a machine's zone were silent together within the last `span`.
    pub(super) fn is_in_zone_cut_off(&self, id: &MachineId, span: Micros) -> bool {
        let is_cut_off = |zone| self.fleet.correlated_failures.was_zone_cut_off(zone, self.now(), span);
        self.zone_of(id).is_some_and(is_cut_off)
    }

    fn zone_of(&self, id: &MachineId) -> Option<&str> {
        self.store.replica.machines.get(id).map(|stored| stored.value.zone.as_str())
    }

    fn last_seen_times_in(&self, zone: &str, own_machines: &[MachineId]) -> LastSeenTimes {
        let in_zone = own_machines.iter().filter(|id| self.zone_of(id) == Some(zone));
        LastSeenTimes::of(in_zone.filter_map(|id| self.fleet.machine(id)))
    }
}
