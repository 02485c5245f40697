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

/// With fewer silent machines in a zone nothing is concluded about the zone.
const MIN_SILENT_IN_ZONE: usize = 3;
/// With fewer others to compare with, a machine's silence has to last longer.
const MIN_COMPARED: usize = 2;
/// So many times longer.
const UNCOMPARED_PATIENCE: u64 = 3;

/// Machines at a moment, as far as something can be said about them.
#[derive(Clone, Copy)]
struct SilenceCounts {
    /// Failed to answer, and were not seen since.
    silent: usize,
    /// Were seen since.
    seen: usize,
}

impl SilenceCounts {
    /// How many a machine that is itself silent can be compared with.
    fn compared_count(self) -> usize {
        (self.silent + self.seen).saturating_sub(1)
    }

    /// In a small shard one other may well be lost too, but if none at all was seen the fault is ours.
    fn are_many_silent(self, max_part: f64) -> bool {
        // The one that is judged is itself among the silent.
        let others_silent = self.silent.saturating_sub(1) as f64;
        let compared = self.compared_count();
        others_silent > (compared as f64 * max_part).max(1.0) || (compared >= MIN_COMPARED && self.seen == 0)
    }

    /// Most of a zone and hardly anything else: the zone is cut off, its machines work on.
    fn is_zone_cut_off(self, max_part: f64) -> bool {
        self.silent >= MIN_SILENT_IN_ZONE && self.silent as f64 > (self.silent + self.seen) as f64 * max_part
    }
}

/// When machines were last seen: those that failed to answer since, and all. Those that were not probed since and whose
/// heartbeat isn't due tell nothing. Sorted once: with hundreds silent a walk over all for each would take all the time
/// of a check.
struct LastSeenTimes {
    failing: Vec<Micros>,
    answering: Vec<Micros>,
}

impl LastSeenTimes {
    fn of<'a>(machines: impl Iterator<Item = &'a Machine>) -> LastSeenTimes {
        let (mut failing, mut answering) = (Vec::new(), Vec::new());
        for machine in machines {
            // Those of a shard just taken were not seen yet, though their silence counts from then.
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

    /// Who has been silent since a moment, and who was seen after it, whatever they do now.
    fn since(&self, moment: Micros) -> SilenceCounts {
        let silent = count_until(&self.failing, moment);
        let seen = self.failing.len() - silent + self.answering_since(moment);
        SilenceCounts { silent, seen }
    }

    /// Who is silent now, whenever it was last seen, and who was seen after a moment and is not.
    fn at_present(&self, moment: Micros) -> SilenceCounts {
        SilenceCounts { silent: self.failing.len(), seen: self.answering_since(moment) }
    }

    fn answering_since(&self, moment: Micros) -> usize {
        self.answering.len() - count_until(&self.answering, moment)
    }
}

/// How many of these sorted times are no later than a moment.
fn count_until(times: &[Micros], moment: Micros) -> usize {
    times.partition_point(|at| *at <= moment)
}

/// What a machine's silence is taken to say.
#[derive(PartialEq)]
enum Verdict {
    /// It alone has failed: it is replaced.
    Failed(MachineId),
    /// Its whole zone is cut off.
    ZoneCutOff(String),
    /// So many are silent that the fault is taken to be our own network.
    ManySilent,
    Undecided,
}

impl Fleet {
    /// Machines that have been silent for so long, with that many failed probes.
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

    /// With hardly any other to compare with, more patience. And when a partition ends, its machines are seen again one by
    /// one, and the last need a while.
    fn may_recover(&self, zone: &str, counts: SilenceCounts, silence: Micros, now: Micros, after: Micros) -> bool {
        let patience = Micros(after.0 * UNCOMPARED_PATIENCE);
        let is_uncompared = counts.compared_count() < MIN_COMPARED && silence < patience;
        is_uncompared || self.correlated_failures.was_zone_cut_off(zone, now, after)
    }
}

impl Controller {
    /// A single machine that is silent is deleted, which proves its tasks gone sooner than the expiry of its lease would.
    /// If many are silent the fault is ours or a partition's, and they may come back.
    pub(in crate::coordination::fleet) fn replace_silent(&mut self, own_machines: &[MachineId]) {
        let now = self.now();
        let after = Micros::from_millis(self.policy.replace_after_ms);
        let silent = self.fleet.silent_machines(own_machines, now, self.policy.probes_failed, after);
        if silent.is_empty() || self.fleet.correlated_failures.were_many_unreachable(now, after) {
            return;
        }
        let verdicts = self.judge_silence(own_machines, silent, after);
        for verdict in &verdicts {
            if let Verdict::ZoneCutOff(zone) = verdict {
                self.fleet.correlated_failures.zone_cut_off(zone.clone(), now);
            }
        }
        if verdicts.contains(&Verdict::ManySilent) {
            self.fleet.correlated_failures.many_unreachable(now);
            return;
        }
        for verdict in verdicts {
            if let Verdict::Failed(id) = verdict {
                self.cordon(&id, CordonReason::ForceDelete, CordonCause::Silent);
            }
        }
    }

    /// Not seen since we took the shard, for longer than a lease: nothing but a deletion can prove their tasks gone,
    /// however many are silent.
    pub(in crate::coordination::fleet) fn replace_never_seen(&mut self, own_machines: &[MachineId]) {
        let now = self.now();
        let after = Micros::from_millis(self.policy.replace_after_ms);
        let min_silence = self.lease_expiry_bound(ExpiryMargin::RenewedByFormerHolder).max(after);
        for id in self.fleet.silent_machines(own_machines, now, self.policy.probes_failed, min_silence) {
            if self.fleet.machine(&id).is_some_and(|machine| !machine.ownership.is_token_confirmed()) {
                self.cordon(&id, CordonReason::ForceDelete, CordonCause::NeverSeen);
            }
        }
    }

    /// Machines that are judged one by one and compared with each other. A lost zone is judged as a whole: while it is away,
    /// its silence would hide that of a single machine elsewhere
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

    /// What the silence of each machine says, compared with the shard's others and those of its zone.
    fn judge_silence(&self, own_machines: &[MachineId], silent: Vec<MachineId>, after: Micros) -> Vec<Verdict> {
        let now = self.now();
        // Machines fall silent one by one even if all are cut off at once, as each was last seen at a moment of its own.
        // So the others must have been seen well after this one fell silent.
        let gap = Micros::from_millis(self.policy.probe_after_ms + self.policy.probe_ms);
        let shard_times = LastSeenTimes::of(own_machines.iter().filter_map(|id| self.fleet.machine(id)));
        let mut zone_times: BTreeMap<&str, LastSeenTimes> = BTreeMap::new();
        let mut verdicts = Vec::new();
        for id in silent {
            let Some(last_seen_at) = self.fleet.machine(&id).map(|m| m.contact.last_seen_at()) else { continue };
            let Some(zone) = self.zone_of(&id) else { continue };
            let in_zone = zone_times.entry(zone).or_insert_with(|| self.last_seen_times_in(zone, own_machines));
            let moment = last_seen_at + gap;
            let in_shard = shard_times.since(moment);
            verdicts.push(if in_shard.are_many_silent(self.policy.replace_max_part) {
                Verdict::ManySilent
            // Others of the zone that were seen after this one and are silent now do not show the zone to be well: they were
            // seen later before the cut, or a heartbeat of theirs came late
            // (`zone_cuts::late_heartbeats_of_others_do_not_make_a_machine_look_lost_alone`).
            } else if in_zone.at_present(moment).is_zone_cut_off(self.policy.zone_max_part) {
                Verdict::ZoneCutOff(zone.to_string())
            } else if self.fleet.may_recover(zone, in_shard, now.since(last_seen_at), now, after)
                || self.is_zone_newly_suspected(zone)
            {
                Verdict::Undecided
            } else {
                Verdict::Failed(id)
            });
        }
        verdicts
    }

    /// Whether most of a machine's zone was silent within that span.
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
