//! Which machines have failed: leases that have run out, probes, and the decision to replace a machine.

use crate::coordination::Controller;
use crate::coordination::fleet::machines::Machine;
use crate::coordination::jobs::cancellation_log::AbsenceProof;
use crate::coordination::jobs::usage::Phase;
use crate::protocol::worker::DirectCommands;
use crate::storage::schema::{CordonReason, Role};
use crate::types::{FencingToken, MachineId, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// With fewer silent machines in a zone nothing is concluded about the zone.
const ZONE_LOST_LEAST: usize = 3;

/// Machines that are asked at a time whether it is this controller that has lost contact.
const LOOKED_AT: usize = 6;

/// Machines of a zone that are asked each time machines are looked over, while one of it fails to answer.
const WIDENED: usize = 3;

/// When machines were last heard: those that failed to answer since, and all. Those that were not
/// asked since and whose heartbeat isn't due tell nothing. Sorted once, as with hundreds silent a walk
/// over all for each would stop everything else.
struct Contacts {
    failing: Vec<Micros>,
    all: Vec<Micros>,
}

impl Contacts {
    fn of<'a>(machines: impl Iterator<Item = &'a Machine>) -> Contacts {
        let (mut failing, mut all) = (Vec::new(), Vec::new());
        for machine in machines {
            // Those of a shard just taken were not heard yet, though their silence counts from then.
            let heard = if machine.token_confirmed { machine.heard } else { Micros::ZERO };
            all.push(heard);
            if machine.probes_failed > 0 {
                failing.push(heard);
            }
        }
        failing.sort_unstable();
        all.sort_unstable();
        Contacts { failing, all }
    }

    /// How many have failed to answer and were not heard after a moment, and how many were.
    fn since(&self, moment: Micros) -> (usize, usize) {
        let lost = self.failing.partition_point(|at| *at <= moment);
        (lost, self.all.len() - self.all.partition_point(|at| *at <= moment))
    }
}

/// What a machine's silence is taken to say.
#[derive(PartialEq)]
enum Silence {
    /// It alone has failed: it is replaced.
    Lost(MachineId),
    /// Its whole zone is cut off.
    ZoneCutOff(String),
    /// So many are silent that the fault is taken to be our own network.
    ManySilent,
    Undecided,
}

/// A machine to be asked for a sign of life; the lesser goes first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct DueProbe<'a> {
    /// Nothing speaks against it.
    routine: bool,
    heard: Micros,
    machine: &'a MachineId,
}

impl Controller {
    /// A worker whose lease has surely run out has killed its tasks. Only our answers can have
    /// renewed it once it has shown our fencing token.
    pub(crate) fn expire_leases(&mut self, ours: &[MachineId]) {
        let now = self.now();
        let lease_s = self.platform.deployment.agents.lease_s;
        let lease = Micros::from_secs_f64(lease_s * 1.002 + 1.0);
        for id in ours {
            let Some(machine) = self.fleet.machines.get(id) else { continue };
            if !machine.token_confirmed || now.since(machine.answered) <= lease {
                continue;
            }
            let incarnation = machine.incarnation;
            for (job, task) in self.jobs.usage.starts_on(id) {
                let expired = self
                    .jobs
                    .by_id
                    .get(&job)
                    .and_then(|j| j.live.get(task))
                    .is_some_and(|l| l.incarnation <= incarnation && l.phase() != Phase::Decided);
                if expired {
                    self.start_gone(&job, task, AbsenceProof::LeaseExpired);
                }
            }
        }
    }

    /// Asks for a sign of life: machines that didn't answer or whose heartbeat is late, and between their
    /// heartbeats those with services, whose loss is felt at once. The latter only as far as the rate of
    /// probes allows, those heard longest ago first: a controller that holds all shards would do little
    /// else. What has no place now comes first in the next round.
    pub(crate) fn probe(&mut self, ours: &[MachineId]) {
        let due = self.due_probes(ours);
        let now = self.now();
        let rate = self.policy.probes_per_s;
        self.fleet.probes_left =
            (self.fleet.probes_left + now.since(self.fleet.probed_at).secs() * rate).min(rate.max(1.0));
        self.fleet.probed_at = now;
        for DueProbe { routine, machine: id, .. } in due {
            if self.fleet.direct_open >= self.fleet.direct_most || (routine && self.fleet.probes_left < 1.0) {
                break;
            }
            if routine {
                self.fleet.probes_left -= 1.0;
            }
            let Some(fencing_token) = self.fencing_token(id) else { continue };
            let Some(machine) = self.fleet.machines.get_mut(id) else { continue };
            let Some(addr) = machine.addr else { continue };
            machine.next_probe = now + Micros::from_millis(self.policy.probe_ms);
            let incarnation = machine.incarnation.max(1);
            self.send_direct(id, addr, DirectCommands { fencing_token, incarnation, commands: Vec::new() });
        }
    }

    /// Machines to be asked for a sign of life, in that order.
    fn due_probes<'a>(&self, ours: &'a [MachineId]) -> Vec<DueProbe<'a>> {
        let now = self.now();
        let early = Micros::from_millis(self.policy.probe_after_ms);
        let late = Micros::from_secs_f64(self.platform.deployment.agents.heartbeat_s * self.policy.report_late_part);
        let mut due: Vec<DueProbe> = Vec::new();
        let mut quiet: BTreeMap<&str, Vec<DueProbe>> = BTreeMap::new();
        let mut suspected: BTreeSet<&str> = BTreeSet::new();
        for id in ours {
            let (Some(machine), Some(record)) = (self.fleet.machines.get(id), self.store.replica.machines.get(id))
            else {
                continue;
            };
            let zone = record.value.zone.as_str();
            if machine.unanswered > 0 {
                suspected.insert(zone);
            }
            let silence = now.since(machine.heard);
            // Also one that reports but did not answer the last message.
            let suspect = machine.unanswered > 0 || machine.ask || silence >= late.max(early);
            if machine.direct || now < machine.next_probe || !(suspect || silence >= early) {
                continue;
            }
            let probe = DueProbe { routine: !suspect, heard: machine.heard, machine: id };
            if suspect || self.jobs.usage.serves(id) {
                due.push(probe);
            } else {
                quiet.entry(zone).or_default().push(probe);
            }
        }
        for zone in suspected {
            self.widen_search(zone, quiet.remove(zone).unwrap_or_default(), &mut due);
        }
        due.sort_unstable();
        due
    }

    /// Where one machine fails to answer, a few others of its zone are asked at once, whatever they run: whether
    /// one is lost or all are cut off must show before anything is decided.
    fn widen_search<'a>(&self, zone: &str, mut quiet: Vec<DueProbe<'a>>, due: &mut Vec<DueProbe<'a>>) {
        quiet.sort_unstable();
        due.extend(quiet.into_iter().take(WIDENED).map(|probe| DueProbe { routine: false, ..probe }));
        let in_zone = |id: &MachineId| self.store.replica.machines.get(id).is_some_and(|m| m.value.zone == zone);
        let routine = due.iter_mut().filter(|probe| probe.routine && in_zone(probe.machine));
        routine.take(WIDENED).for_each(|probe| probe.routine = false);
    }

    /// Asks a machine that is not in the stored records for a sign of life. The fencing token 0 moves nobody to
    /// anything.
    pub(crate) fn ask_for_life(&mut self, id: &MachineId, addr: Option<&str>) {
        let Some(addr) = addr.and_then(|a| a.parse().ok()) else { return };
        let now = self.now();
        let machine = self.fleet.machines.entry(id.clone()).or_default();
        if machine.direct || now < machine.next_probe || self.fleet.direct_open >= self.fleet.direct_most {
            return;
        }
        machine.next_probe = now + Micros::from_millis(self.policy.probe_ms);
        self.send_direct(
            id,
            addr,
            DirectCommands { fencing_token: FencingToken(0), incarnation: 0, commands: Vec::new() },
        );
    }

    /// Asks a few machines for a sign of life, of shards that are not held here if there are any. The fencing token 0 moves
    /// nobody to anything.
    pub(crate) fn look_for_machines(&mut self) {
        let machines = &self.store.replica.machines;
        let is_ours = |shard: u32| self.holds(Role::Shard(shard));
        let mut ids: Vec<&MachineId> =
            machines.iter().filter(|(_, m)| !is_ours(m.value.shard)).map(|(id, _)| id).collect();
        if ids.is_empty() {
            ids = machines.keys().collect();
        }
        let every = ids.len().div_ceil(LOOKED_AT).max(1);
        let asked: Vec<MachineId> = ids.into_iter().step_by(every).cloned().collect();
        for id in asked {
            let Some(machine) = self.fleet.machines.get(&id) else { continue };
            if let Some(addr) = machine.addr.filter(|_| !machine.direct) {
                self.send_direct(
                    &id,
                    addr,
                    DirectCommands { fencing_token: FencingToken(0), incarnation: 0, commands: Vec::new() },
                );
            }
        }
    }

    /// A single machine gone silent is deleted, which proves its tasks gone sooner than its lease
    /// would. If many are silent the fault is ours or a cut's, and they may come back.
    pub(crate) fn replace_silent(&mut self, ours: &[MachineId]) {
        let now = self.now();
        let after = Micros::from_millis(self.policy.replace_after_ms);
        let silent = self.silent_of(ours, after);
        self.replace_never_heard(&silent);
        if silent.is_empty() || self.fleet.many_unreachable_at.is_some_and(|at| now.since(at) < after) {
            return;
        }
        let verdicts = self.judge_silence(ours, silent, after);
        let cut = verdicts.iter().filter_map(|verdict| match verdict {
            Silence::ZoneCutOff(zone) => Some((zone.clone(), now)),
            _ => None,
        });
        self.fleet.zones_cut_at.extend(cut);
        if verdicts.contains(&Silence::ManySilent) {
            self.fleet.many_unreachable_at = Some(now);
            return;
        }
        for verdict in verdicts {
            if let Silence::Lost(id) = verdict {
                self.set_hold(&id, CordonReason::ForceDelete);
            }
        }
    }

    /// Machines that have been silent for so long, with enough failed probes.
    fn silent_of(&self, ours: &[MachineId], after: Micros) -> Vec<MachineId> {
        let now = self.now();
        let silent = |m: &Machine| m.probes_failed >= self.policy.probes_failed && now.since(m.heard) >= after;
        ours.iter().filter(|id| self.fleet.machines.get(*id).is_some_and(silent)).cloned().collect()
    }

    /// Never heard since we took the shard, for longer than a lease: nothing but a deletion can prove its tasks gone,
    /// however many are silent.
    fn replace_never_heard(&mut self, silent: &[MachineId]) {
        let now = self.now();
        let lease = Micros::from_secs_f64(self.platform.deployment.agents.lease_s * 1.002 + 2.0);
        for id in silent {
            let never = self.fleet.machines.get(id).is_some_and(|m| !m.token_confirmed && now.since(m.heard) >= lease);
            if never {
                self.set_hold(id, CordonReason::ForceDelete);
            }
        }
    }

    /// What the silence of each machine says, compared with the shard's others and those of its zone.
    fn judge_silence(&self, ours: &[MachineId], silent: Vec<MachineId>, after: Micros) -> Vec<Silence> {
        // Machines go silent one by one even if all are cut off at once, as each was last heard at
        // a moment of its own. So the others must have been heard well after this one fell silent.
        let gap = Micros::from_millis(self.policy.probe_after_ms + self.policy.probe_ms);
        let others = Contacts::of(ours.iter().filter_map(|id| self.fleet.machines.get(id)));
        let mut zones: BTreeMap<&str, Contacts> = BTreeMap::new();
        let mut verdicts = Vec::new();
        for id in silent {
            let Some(last) = self.fleet.machines.get(&id).map(|m| m.heard) else { continue };
            let Some(zone) = self.store.replica.machines.get(&id).map(|m| m.value.zone.as_str()) else { continue };
            let in_zone = zones.entry(zone).or_insert_with(|| {
                let there =
                    |id: &&MachineId| self.store.replica.machines.get(*id).is_some_and(|m| m.value.zone == zone);
                Contacts::of(ours.iter().filter(there).filter_map(|id| self.fleet.machines.get(id)))
            });
            let moment = last + gap;
            verdicts.push(if self.many_are_silent(others.since(moment)) {
                Silence::ManySilent
            } else if self.zone_is_lost(in_zone.since(moment)) {
                Silence::ZoneCutOff(zone.to_string())
            } else if self.silence_may_pass(others.since(moment), last, zone, after) {
                Silence::Undecided
            } else {
                Silence::Lost(id)
            });
        }
        verdicts
    }

    /// In a small shard one other may well be lost too, but if none at all was heard the fault is ours.
    fn many_are_silent(&self, (lost, heard): (usize, usize)) -> bool {
        // The one that is judged is itself among the lost.
        let (lost, all) = (lost.saturating_sub(1), (lost + heard).saturating_sub(1));
        lost as f64 > (all as f64 * self.policy.replace_max_part).max(1.0) || (all >= 2 && heard == 0)
    }

    /// Most of a zone and hardly anything else: the zone is cut off, its machines work on.
    fn zone_is_lost(&self, (lost, heard): (usize, usize)) -> bool {
        lost >= ZONE_LOST_LEAST && lost as f64 > (lost + heard) as f64 * self.policy.zone_max_part
    }

    /// With hardly any other to compare with, more patience. And when a cut ends, its machines are heard again one by
    /// one, and the last need a while.
    fn silence_may_pass(&self, (lost, heard): (usize, usize), last: Micros, zone: &str, after: Micros) -> bool {
        let now = self.now();
        let all = (lost + heard).saturating_sub(1);
        let alone = all < 2 && now.since(last) < Micros(after.0 * 3);
        alone || self.fleet.zones_cut_at.get(zone).is_some_and(|at| now.since(*at) < after)
    }

    /// How many machines fail to answer, and of how many that can be said: of those that heard something
    /// since the first of them fell silent, too. The rest were sent nothing.
    fn unreachable_of(&self, ours: &[MachineId]) -> (usize, usize) {
        let machines = || ours.iter().filter_map(|id| self.fleet.machines.get(id));
        let unreachable = || machines().filter(|m| m.unanswered >= 2);
        let Some(since) = unreachable().map(|m| m.unanswered_since).min() else { return (0, ours.len()) };
        let count = unreachable().count();
        (count, count + machines().filter(|m| m.unanswered < 2 && m.last_delivered > since).count())
    }

    /// Machines that can send but not hear look alive in turns, and when such a time ends they are heard
    /// again one by one. While many fail to answer, and a while after, none is judged by that.
    pub(crate) fn judge_unreachable(&mut self, ours: &[MachineId]) {
        let (unreachable, known) = self.unreachable_of(ours);
        if unreachable as f64 > (known as f64 * self.policy.replace_max_part).max(2.0) {
            self.fleet.many_unreachable_at = Some(self.now());
        }
    }

    /// A machine whose heartbeats arrive though nothing reaches it: its lease runs out again and again,
    /// and whatever it is given is lost. Replaced like a silent one, unless many are so at once:
    /// then the fault is our own network.
    pub(crate) fn replace_unreachable(&mut self, ours: &[MachineId]) {
        let now = self.now();
        let span = Micros::from_millis(self.policy.unreachable_after_ms);
        let unreachable_long: Vec<MachineId> = ours
            .iter()
            .filter(|id| {
                self.fleet
                    .machines
                    .get(*id)
                    .is_some_and(|m| m.is_unreachable(now, self.policy.unreachable_probes, span))
            })
            .cloned()
            .collect();
        if unreachable_long.is_empty() {
            return;
        }
        // Some fall silent a little later than others: those on their way there count as well, and at
        // least one other must have heard something.
        let (unreachable, known) = self.unreachable_of(ours);
        let most = (known as f64 * self.policy.replace_max_part).max(1.0);
        let many = self.fleet.many_unreachable_at.is_some_and(|at| now.since(at) < span);
        if !many && unreachable as f64 <= most && known > unreachable {
            for id in &unreachable_long {
                self.set_hold(id, CordonReason::ForceDelete);
            }
        }
    }

    /// Without a heartbeat for so long a machine's heartbeats are taken not to get through: the next is due, and a few
    /// controllers may have to be tried in vain.
    pub(crate) fn unreported_span(&self) -> Micros {
        let heartbeat = Micros::from_secs_f64(self.platform.deployment.agents.heartbeat_s * 1.25);
        heartbeat + Micros::from_millis(self.policy.unreported_ms)
    }

    /// A machine whose heartbeats reach no controller is replaced while its lease lasts, unless many are so: then
    /// the fault is elsewhere.
    pub(crate) fn replace_unreported(&mut self, ours: &[MachineId]) {
        let now = self.now();
        let span = self.unreported_span();
        let unreported: Vec<MachineId> = ours
            .iter()
            .filter(|id| self.fleet.machines.get(*id).is_some_and(|m| m.is_unreported(now, span)))
            .cloned()
            .collect();
        // Their last heartbeats came at different moments: those on their way there count as well.
        let half = span - Micros(Micros::from_millis(self.policy.unreported_ms).0 / 2);
        let late =
            ours.iter().filter(|id| self.fleet.machines.get(*id).is_some_and(|m| m.is_unreported(now, half))).count();
        if late as f64 > (ours.len() as f64 * self.policy.replace_max_part).max(1.0) {
            self.fleet.many_unreported_at = Some(now);
        }
        // When such a time ends they are heard again one by one.
        if unreported.is_empty() || self.fleet.many_unreported_at.is_some_and(|at| now.since(at) < span) {
            return;
        }
        for id in &unreported {
            self.set_hold(id, CordonReason::ForceDelete);
        }
    }
}
