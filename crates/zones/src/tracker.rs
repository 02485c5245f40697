//! The state of all zones as one controller sees them.

use crate::condition::{Condition, Evidence, Transition, ZoneState};
use crate::damping::decay;
use crate::machine_counts::{Liveness, LivenessCounts, MachineCounts};
use crate::record::ZoneRecord;
use crate::settings::ZoneSettings;
use burlhatch_types::{MachineId, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// One point in time on both clocks of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Moment {
    /// Monotonic time since the process started.
    pub steady: Micros,
    /// Time of day.
    pub wall: Micros,
}

/// A stored view that differs from the current one.
#[derive(Clone, Debug, PartialEq)]
pub struct OutdatedRecord {
    /// The zone.
    pub zone: String,
    /// The shard whose view it is.
    pub shard: u32,
    /// The record to store; `None` to delete the key.
    pub record: Option<ZoneRecord>,
}

/// A stored view, and whether it counts as a vote, which it does while the process that wrote it holds the shard.
#[derive(Clone, Debug)]
struct StoredView {
    record: ZoneRecord,
    is_vote: bool,
}

/// A shard that this controller holds.
#[derive(Clone, Copy, Debug)]
struct HeldShard {
    held_since: Micros,
}

/// Time for which a new holder keeps a vote against a zone that its predecessor stored, as a multiple of
/// `silent_after_ms`: it cannot find its own machines silent earlier.
const INHERITED_VOTE_FACTOR: u64 = 2;
/// Age from which a stored view no longer affects the condition and penalty of its zone, as it is outdated.
const MAX_VIEW_AGE: Micros = Micros::from_millis(600_000);

/// The zones of a deployment: machines, views, conditions and cordons.
#[derive(Debug, Default)]
pub struct ZoneTracker {
    machine_counts: MachineCounts,
    states: BTreeMap<String, ZoneState>,
    views: BTreeMap<(String, u32), StoredView>,
    held_shards: BTreeMap<u32, HeldShard>,
    cordoned: BTreeSet<String>,
    operation_count: u64,
}

impl ZoneTracker {
    /// Adds a machine, or moves it to another zone or shard.
    pub fn insert_machine(&mut self, id: &MachineId, zone: &str, shard: u32) {
        self.operation_count += 1;
        self.machine_counts.insert(id, zone, shard);
    }

    /// Removes a machine.
    pub fn remove_machine(&mut self, id: &MachineId) {
        self.operation_count += 1;
        self.machine_counts.remove(id);
    }

    /// Sets the liveness of a machine of a held shard.
    pub fn set_liveness(&mut self, id: &MachineId, liveness: Liveness) {
        if self.machine_counts.liveness(id) != liveness {
            self.operation_count += 1;
            self.machine_counts.set_liveness(id, liveness);
        }
    }

    /// Returns the liveness of a machine.
    pub fn liveness(&self, id: &MachineId) -> Liveness {
        self.machine_counts.liveness(id)
    }

    /// Returns the machines of a zone, of all shards.
    pub fn machines(&self, zone: &str) -> impl Iterator<Item = &MachineId> {
        self.machine_counts.machines(zone)
    }

    /// Sets the shards that this controller holds.
    pub fn set_held_shards(&mut self, shards: &BTreeSet<u32>, now: Micros) {
        if self.held_shards.keys().eq(shards.iter()) {
            return;
        }
        self.held_shards.retain(|shard, _| shards.contains(shard));
        for shard in shards {
            self.held_shards.entry(*shard).or_insert(HeldShard { held_since: now });
        }
    }

    /// Sets or removes a shard's stored view of a zone. The flag tells whether the view counts as a vote, that is,
    /// whether the process that wrote it holds the shard. The view is merged into the zone's state, so that a new
    /// process continues from a loss that happened before it started.
    pub fn set_view(
        &mut self,
        zone: &str,
        shard: u32,
        view: Option<(&ZoneRecord, bool)>,
        now: Moment,
        settings: &ZoneSettings,
    ) {
        self.operation_count += 1;
        let key = (zone.to_string(), shard);
        let Some((record, is_vote)) = view else {
            self.views.remove(&key);
            return;
        };
        let age = now.wall.since(record.written_at);
        if age < MAX_VIEW_AGE {
            let state = state_of(&mut self.states, zone, now.steady, settings);
            let penalty = f64::from(record.penalty) * decay(age, settings);
            state.merge_remote(record.condition, penalty, now.steady, settings);
        }
        self.views.insert(key, StoredView { record: record.clone(), is_vote });
    }

    /// Sets whether operators have cordoned a zone. A cordoned zone gets no new tasks, and services are moved out of
    /// it.
    pub fn set_cordoned(&mut self, zone: &str, is_cordoned: bool) {
        if is_cordoned {
            self.cordoned.insert(zone.to_string());
        } else {
            self.cordoned.remove(zone);
        }
    }

    /// Whether operators have cordoned a zone.
    pub fn is_cordoned(&self, zone: &str) -> bool {
        self.cordoned.contains(zone)
    }

    /// Whether operators have cordoned any zone.
    pub fn has_cordoned_zones(&self) -> bool {
        !self.cordoned.is_empty()
    }

    /// Returns the condition of a zone.
    pub fn condition(&self, zone: &str) -> Condition {
        self.states.get(zone).map_or(Condition::Up, ZoneState::condition)
    }

    /// Returns the state of a zone, if the zone was ever evaluated or a recent view of it was stored.
    pub fn state(&self, zone: &str) -> Option<&ZoneState> {
        self.states.get(zone)
    }

    /// Returns the state of a zone for recording task attempts there.
    pub fn state_mut(&mut self, zone: &str) -> Option<&mut ZoneState> {
        self.states.get_mut(zone)
    }

    /// Returns the names of the zones in a condition.
    pub fn in_condition(&self, condition: Condition) -> impl Iterator<Item = &str> {
        self.states.iter().filter(move |(_, state)| state.condition() == condition).map(|(zone, _)| zone.as_str())
    }

    /// Whether a zone has failed too often recently to be trusted with all replicas of a service.
    pub fn is_distrusted(&mut self, zone: &str, now: Micros, settings: &ZoneSettings) -> bool {
        self.states.get_mut(zone).is_some_and(|state| state.penalty.is_distrusted(now, settings))
    }

    /// Whether work is being restored: a zone was lost less than `restore_for_ms` ago and is not up again.
    pub fn is_restoring(&self, now: Micros, settings: &ZoneSettings) -> bool {
        let span = Micros::from_millis(settings.restore_for_ms);
        let is_lost_or_returning =
            |state: &ZoneState| matches!(state.condition(), Condition::Lost | Condition::Returning);
        let is_recent = |state: &ZoneState| state.last_lost_at().is_some_and(|at| now.since(at) < span);
        self.states.values().any(|state| is_lost_or_returning(state) && is_recent(state))
    }

    /// Whether a shard's holder votes against a zone.
    fn votes_against(
        &self,
        zone: &str,
        shard: u32,
        counts: LivenessCounts,
        now: Micros,
        settings: &ZoneSettings,
    ) -> bool {
        let stored = self.views.get(&(zone.to_string(), shard));
        match self.held_shards.get(&shard) {
            Some(held) => {
                let inherited_vote_span = Micros::from_millis(settings.silent_after_ms * INHERITED_VOTE_FACTOR);
                let is_new_holder = now.since(held.held_since) < inherited_vote_span;
                let is_inherited = is_new_holder && stored.is_some_and(|view| view.record.is_unresponsive);
                let is_unresponsive = counts.is_unresponsive(settings.silent_part);
                is_inherited || (is_unresponsive && self.reaches_another_zone(zone, settings))
            }
            None => stored.is_some_and(|view| view.is_vote && view.record.is_unresponsive),
        }
    }

    /// Whether there is another zone in which most of this controller's machines respond. If not, the controller itself
    /// may be cut off.
    fn reaches_another_zone(&self, zone: &str, settings: &ZoneSettings) -> bool {
        self.machine_counts.zones().filter(|other| ***other != *zone).any(|other| {
            let own = self.machine_counts.shards(other).filter(|(shard, _)| self.held_shards.contains_key(shard));
            let sum = own.fold(LivenessCounts::default(), |sum, (_, counts)| sum.plus(counts));
            sum.total > sum.unknown && !sum.is_unresponsive(settings.silent_part)
        })
    }

    fn evidence(&mut self, zone: &str, now: Micros, settings: &ZoneSettings) -> Evidence {
        let mut evidence = Evidence::default();
        let shards: Vec<(u32, LivenessCounts)> = self.machine_counts.shards(zone).collect();
        for (shard, counts) in shards {
            self.operation_count += 1;
            evidence.machine_count += counts.total;
            if self.votes_against(zone, shard, counts, now, settings) {
                evidence.against_count += counts.total;
            }
        }
        evidence
    }

    /// Evaluates all zones and returns the changes of their conditions.
    pub fn evaluate(&mut self, now: Micros, settings: &ZoneSettings) -> Vec<Transition> {
        let with_machines = self.machine_counts.zones().map(ToString::to_string);
        let names: BTreeSet<String> = with_machines.chain(self.states.keys().cloned()).collect();
        let mut transitions = Vec::new();
        for zone in names {
            self.operation_count += 1;
            let evidence = self.evidence(&zone, now, settings);
            let state = state_of(&mut self.states, &zone, now, settings);
            if let Some(from) = state.observe(evidence, now, settings) {
                let (to, penalty) = (state.condition(), state.penalty.value(now, settings));
                transitions.push(Transition { zone, from, to, evidence, penalty });
            }
        }
        transitions
    }

    /// Returns the views of held shards whose stored records are missing or differ. `incarnation` is that of this
    /// process.
    pub fn outdated_records(&self, incarnation: u64, now: Moment, settings: &ZoneSettings) -> Vec<OutdatedRecord> {
        let mut outdated = Vec::new();
        let zones: BTreeSet<&str> =
            self.states.keys().map(String::as_str).chain(self.views.keys().map(|(zone, _)| zone.as_str())).collect();
        for zone in zones {
            for shard in self.held_shards.keys() {
                let stored = self.views.get(&(zone.to_string(), *shard)).map(|view| &view.record);
                let record = self.current_record(zone, *shard, incarnation, now, settings);
                let is_current = match (stored, &record) {
                    (None, None) => true,
                    (Some(stored), Some(record)) => stored.is_equivalent_to(record),
                    _ => false,
                };
                if !is_current {
                    outdated.push(OutdatedRecord { zone: zone.to_string(), shard: *shard, record });
                }
            }
        }
        outdated
    }

    /// Returns the record of a held shard's view of a zone; `None` if the zone is up or suspected, the shard does not
    /// vote against it and its penalty has decayed.
    fn current_record(
        &self,
        zone: &str,
        shard: u32,
        incarnation: u64,
        now: Moment,
        settings: &ZoneSettings,
    ) -> Option<ZoneRecord> {
        let state = self.states.get(zone)?;
        let counts = self.machine_counts.shards(zone).find(|(other, _)| *other == shard).map(|(_, counts)| counts);
        let is_unresponsive =
            counts.is_some_and(|counts| self.votes_against(zone, shard, counts, now.steady, settings));
        let condition = state.condition();
        let penalty = state.penalty.value(now.steady, settings).round() as u32;
        let has_decayed = f64::from(penalty) < settings.trust_below.min(settings.penalty_per_loss / 2.0);
        let is_default_view =
            matches!(condition, Condition::Up | Condition::Suspected) && !is_unresponsive && has_decayed;
        // Other controllers need only the vote: they derive from it themselves that a zone is suspected.
        let condition = if condition == Condition::Suspected { Condition::Up } else { condition };
        (!is_default_view).then_some(ZoneRecord {
            incarnation,
            is_unresponsive,
            condition,
            penalty,
            written_at: now.wall,
        })
    }

    /// Returns the number of elementary operations done so far, for tests of the cost of an evaluation.
    pub fn operation_count(&self) -> u64 {
        self.operation_count
    }
}

fn state_of<'a>(
    states: &'a mut BTreeMap<String, ZoneState>,
    zone: &str,
    now: Micros,
    settings: &ZoneSettings,
) -> &'a mut ZoneState {
    states.entry(zone.to_string()).or_insert_with(|| ZoneState::new(now, settings))
}
