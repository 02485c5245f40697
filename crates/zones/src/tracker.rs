//! All zones as one controller sees them.

use crate::census::{Census, Count, Life};
use crate::condition::{Condition, Evidence, Transition, ZoneState};
use crate::damping::decay;
use crate::record::ZoneRecord;
use crate::settings::ZoneSettings;
use burlhatch_types::{MachineId, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// A moment on both clocks of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Moment {
    /// Steady time since the process began.
    pub steady: Micros,
    /// Time of day.
    pub wall: Micros,
}

/// A stored view that differs from the present one.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordDue {
    /// The zone.
    pub zone: String,
    /// The shard whose view it is.
    pub shard: u32,
    /// What should be stored; nothing if the key should be removed.
    pub record: Option<ZoneRecord>,
}

/// A stored view, with whether it counts as a vote: it does while the process that wrote it holds the shard.
#[derive(Clone, Debug)]
struct StoredView {
    record: ZoneRecord,
    counts: bool,
}

/// A shard that this controller holds.
#[derive(Clone, Copy, Debug)]
struct HeldShard {
    since: Micros,
}

/// A shard's own machines are given this multiple of the time that silence takes to show before their holder speaks;
/// until then the view of the holder before counts.
const OPINION_FACTOR: u64 = 2;
/// Views older than this say nothing about the present.
const VIEW_MOST: Micros = Micros::from_millis(600_000);

/// The zones of a deployment: machines, views, conditions and holds.
#[derive(Debug, Default)]
pub struct Zones {
    census: Census,
    states: BTreeMap<String, ZoneState>,
    views: BTreeMap<(String, u32), StoredView>,
    held_shards: BTreeMap<u32, HeldShard>,
    on_hold: BTreeSet<String>,
    operations: u64,
}

impl Zones {
    /// A machine is in that zone and belongs to that shard.
    pub fn machine(&mut self, id: &MachineId, zone: &str, shard: u32) {
        self.operations += 1;
        self.census.put(id, zone, shard);
    }

    /// A machine is gone.
    pub fn machine_gone(&mut self, id: &MachineId) {
        self.operations += 1;
        self.census.remove(id);
    }

    /// Whether a machine of a held shard gives signs of life.
    pub fn set_life(&mut self, id: &MachineId, life: Life) {
        if self.census.life(id) != life {
            self.operations += 1;
            self.census.set_life(id, life);
        }
    }

    /// Whether a machine is known to be silent.
    pub fn is_silent(&self, id: &MachineId) -> bool {
        self.census.life(id) == Life::Silent
    }

    /// The machines of a zone, of all shards.
    pub fn machines(&self, zone: &str) -> impl Iterator<Item = &MachineId> {
        self.census.machines(zone)
    }

    /// Which shards this controller holds at this moment.
    pub fn set_held_shards(&mut self, shards: &BTreeSet<u32>, now: Micros) {
        if self.held_shards.keys().eq(shards.iter()) {
            return;
        }
        self.held_shards.retain(|shard, _| shards.contains(shard));
        for shard in shards {
            self.held_shards.entry(*shard).or_insert(HeldShard { since: now });
        }
    }

    /// A shard's view of a zone was stored or removed. `counts`: whether the process that wrote it holds the shard.
    /// Goes on from it if nothing is known here yet: the zone was lost before this process began.
    pub fn set_view(
        &mut self,
        zone: &str,
        shard: u32,
        view: Option<(&ZoneRecord, bool)>,
        now: Moment,
        settings: &ZoneSettings,
    ) {
        self.operations += 1;
        let key = (zone.to_string(), shard);
        let Some((record, counts)) = view else {
            self.views.remove(&key);
            return;
        };
        let age = now.wall.since(record.at);
        if age < VIEW_MOST {
            let state = state_of(&mut self.states, zone, now.steady, settings);
            let penalty = f64::from(record.penalty) * decay(age, settings);
            state.hear(record.condition, penalty, now.steady, settings);
        }
        self.views.insert(key, StoredView { record: record.clone(), counts });
    }

    /// Operators hold a zone, or have released it: nothing new goes there, and services leave it.
    pub fn set_on_hold(&mut self, zone: &str, on_hold: bool) {
        if on_hold {
            self.on_hold.insert(zone.to_string());
        } else {
            self.on_hold.remove(zone);
        }
    }

    /// Whether operators hold a zone.
    pub fn is_on_hold(&self, zone: &str) -> bool {
        self.on_hold.contains(zone)
    }

    /// Whether operators hold any zone.
    pub fn any_on_hold(&self) -> bool {
        !self.on_hold.is_empty()
    }

    /// How a zone stands.
    pub fn condition(&self, zone: &str) -> Condition {
        self.states.get(zone).map_or(Condition::Up, ZoneState::condition)
    }

    /// The state of a zone, if anything was ever known against it.
    pub fn state(&self, zone: &str) -> Option<&ZoneState> {
        self.states.get(zone)
    }

    /// The state of a zone, to be told of starts there.
    pub fn state_mut(&mut self, zone: &str) -> Option<&mut ZoneState> {
        self.states.get_mut(zone)
    }

    /// Names of the zones in a condition.
    pub fn in_condition(&self, condition: Condition) -> impl Iterator<Item = &str> {
        self.states.iter().filter(move |(_, state)| state.condition() == condition).map(|(zone, _)| zone.as_str())
    }

    /// Whether a zone has failed too often lately to be trusted with all replicas of a service.
    pub fn is_distrusted(&mut self, zone: &str, now: Micros, settings: &ZoneSettings) -> bool {
        self.states.get_mut(zone).is_some_and(|state| state.penalty.is_distrusted(now, settings))
    }

    /// Whether work is being restored: a zone was lost a short while ago and is not up again.
    pub fn is_restoring(&self, now: Micros, settings: &ZoneSettings) -> bool {
        let span = Micros::from_millis(settings.restore_for_ms);
        let troubled = |state: &ZoneState| matches!(state.condition(), Condition::Lost | Condition::Returning);
        let recent = |state: &ZoneState| state.last_loss().is_some_and(|at| now.since(at) < span);
        self.states.values().any(|state| troubled(state) && recent(state))
    }

    /// Whether a shard's holder speaks against a zone.
    fn speaks_against(&self, zone: &str, shard: u32, count: Count, now: Micros, settings: &ZoneSettings) -> bool {
        let stored = self.views.get(&(zone.to_string(), shard));
        match self.held_shards.get(&shard) {
            Some(held) => {
                let opinion_after = Micros::from_millis(settings.silent_after_ms * OPINION_FACTOR);
                let fresh = now.since(held.since) < opinion_after;
                let before = fresh && stored.is_some_and(|view| view.record.silent);
                before || (count.is_silent(settings.silent_part) && self.hears_another(zone, settings))
            }
            None => stored.is_some_and(|view| view.counts && view.record.silent),
        }
    }

    /// Whether this controller hears most of its machines in any other zone. If it does not, the silence may be its own.
    fn hears_another(&self, zone: &str, settings: &ZoneSettings) -> bool {
        self.census.zones().filter(|other| ***other != *zone).any(|other| {
            let own = self.census.shards(other).filter(|(shard, _)| self.held_shards.contains_key(shard));
            let sum = own.fold(Count::default(), |sum, (_, count)| Count {
                machines: sum.machines + count.machines,
                silent: sum.silent + count.silent,
                unknown: sum.unknown + count.unknown,
            });
            sum.machines > sum.unknown && !sum.is_silent(settings.silent_part)
        })
    }

    fn evidence(&mut self, zone: &str, now: Micros, settings: &ZoneSettings) -> Evidence {
        let mut evidence = Evidence::default();
        let shards: Vec<(u32, Count)> = self.census.shards(zone).collect();
        for (shard, count) in shards {
            self.operations += 1;
            evidence.machines += count.machines;
            if self.speaks_against(zone, shard, count, now, settings) {
                evidence.against += count.machines;
            }
        }
        evidence
    }

    /// Judges all zones; says which conditions changed.
    pub fn round(&mut self, now: Micros, settings: &ZoneSettings) -> Vec<Transition> {
        let with_machines = self.census.zones().map(std::string::ToString::to_string);
        let names: BTreeSet<String> = with_machines.chain(self.states.keys().cloned()).collect();
        let mut transitions = Vec::new();
        for zone in names {
            self.operations += 1;
            let evidence = self.evidence(&zone, now, settings);
            let state = state_of(&mut self.states, &zone, now, settings);
            if let Some(from) = state.observe(evidence, now, settings) {
                let (to, penalty) = (state.condition(), state.penalty.value(now, settings));
                transitions.push(Transition { zone, from, to, evidence, penalty });
            }
        }
        transitions
    }

    /// Views of held shards that the stored records lack or have otherwise. `incarnation` is this process's.
    pub fn records_due(&self, incarnation: u64, now: Moment, settings: &ZoneSettings) -> Vec<RecordDue> {
        let mut due = Vec::new();
        let zones: BTreeSet<&str> =
            self.states.keys().map(String::as_str).chain(self.views.keys().map(|(zone, _)| zone.as_str())).collect();
        for zone in zones {
            for shard in self.held_shards.keys() {
                let stored = self.views.get(&(zone.to_string(), *shard)).map(|view| &view.record);
                let record = self.present_view(zone, *shard, incarnation, now, settings);
                let same = match (stored, &record) {
                    (None, None) => true,
                    (Some(stored), Some(record)) => stored.says_the_same(record),
                    _ => false,
                };
                if !same {
                    due.push(RecordDue { zone: zone.to_string(), shard: *shard, record });
                }
            }
        }
        due
    }

    /// What a held shard's holder has to say of a zone. Nothing once the zone is up and its penalty has decayed.
    fn present_view(
        &self,
        zone: &str,
        shard: u32,
        incarnation: u64,
        now: Moment,
        settings: &ZoneSettings,
    ) -> Option<ZoneRecord> {
        let state = self.states.get(zone)?;
        let count = self.census.shards(zone).find(|(other, _)| *other == shard).map(|(_, count)| count);
        let silent = count.is_some_and(|count| self.speaks_against(zone, shard, count, now.steady, settings));
        let condition = state.condition();
        let penalty = state.penalty.value(now.steady, settings).round() as u32;
        let forgotten = f64::from(penalty) < settings.trust_below.min(settings.penalty_per_loss / 2.0);
        let quiet = matches!(condition, Condition::Up | Condition::Suspected) && !silent && forgotten;
        // That a zone is suspected is no news to others; the vote itself is.
        let condition = if condition == Condition::Suspected { Condition::Up } else { condition };
        (!quiet).then_some(ZoneRecord { incarnation, silent, condition, penalty, at: now.wall })
    }

    /// Steps of work done so far, for tests of what a round costs.
    pub fn operations(&self) -> u64 {
        self.operations
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
