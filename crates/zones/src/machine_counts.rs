//! Numbers of machines, and of unresponsive ones, by zone and shard. They are updated incrementally: with thousands of
//! machines, iterating over all of them for each query would take most of a controller's round.

use burlhatch_types::MachineId;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// Whether a machine responds to the holder of its shard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Liveness {
    /// It was seen recently.
    #[default]
    Responsive,
    /// It was not seen recently, and no probe of it has failed yet.
    Unknown,
    /// It was not seen recently and failed to answer a probe.
    Unresponsive,
}

/// Machines of one shard in one zone, by liveness.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LivenessCounts {
    /// All machines.
    pub total: u32,
    /// Machines that are unresponsive.
    pub unresponsive: u32,
    /// Machines that were not seen recently and have not failed a probe since, so that their liveness is unknown.
    pub unknown: u32,
}

impl LivenessCounts {
    /// Whether more than the fraction `part` of the machines with known liveness is unresponsive. Machines with unknown
    /// liveness are excluded because probing each of them takes long when thousands are lost at once.
    pub fn is_unresponsive(&self, part: f64) -> bool {
        f64::from(self.unresponsive) > f64::from(self.total - self.unknown) * part
    }

    /// Returns the sums of the counts of two groups of machines.
    pub fn plus(self, other: LivenessCounts) -> LivenessCounts {
        LivenessCounts {
            total: self.total + other.total,
            unresponsive: self.unresponsive + other.unresponsive,
            unknown: self.unknown + other.unknown,
        }
    }

    fn change(&mut self, liveness: Liveness, by: i32) {
        let count = match liveness {
            Liveness::Responsive => return,
            Liveness::Unknown => &mut self.unknown,
            Liveness::Unresponsive => &mut self.unresponsive,
        };
        *count = count.saturating_add_signed(by);
    }
}

#[derive(Debug)]
struct MachineEntry {
    zone: Arc<str>,
    shard: u32,
    liveness: Liveness,
}

/// The machines of one zone.
#[derive(Debug, Default)]
struct ZoneMachines {
    shards: BTreeMap<u32, LivenessCounts>,
    machines: BTreeSet<MachineId>,
}

/// All machines by zone and shard, with their liveness.
#[derive(Debug, Default)]
pub struct MachineCounts {
    entries: HashMap<MachineId, MachineEntry>,
    zones: BTreeMap<Arc<str>, ZoneMachines>,
}

impl MachineCounts {
    /// Adds a machine, or moves it to another zone or shard. A new or moved machine counts as responsive.
    pub fn insert(&mut self, id: &MachineId, zone: &str, shard: u32) {
        if let Some(entry) = self.entries.get(id) {
            if &*entry.zone == zone && entry.shard == shard {
                return;
            }
            self.remove(id);
        }
        let zone = self.interned_name(zone);
        let in_zone = self.zones.entry(zone.clone()).or_default();
        in_zone.machines.insert(id.clone());
        in_zone.shards.entry(shard).or_default().total += 1;
        self.entries.insert(id.clone(), MachineEntry { zone, shard, liveness: Liveness::Responsive });
    }

    /// Returns a zone's name as a string that all machines of the zone share.
    fn interned_name(&self, zone: &str) -> Arc<str> {
        match self.zones.get_key_value(zone) {
            Some((name, _)) => name.clone(),
            None => Arc::from(zone),
        }
    }

    /// Removes a machine.
    pub fn remove(&mut self, id: &MachineId) {
        let Some(entry) = self.entries.remove(id) else { return };
        let Some(in_zone) = self.zones.get_mut(&entry.zone) else { return };
        in_zone.machines.remove(id);
        if let Some(counts) = in_zone.shards.get_mut(&entry.shard) {
            counts.total -= 1;
            counts.change(entry.liveness, -1);
            if counts.total == 0 {
                in_zone.shards.remove(&entry.shard);
            }
        }
        if in_zone.machines.is_empty() {
            self.zones.remove(&entry.zone);
        }
    }

    /// Sets the liveness of a known machine.
    pub fn set_liveness(&mut self, id: &MachineId, liveness: Liveness) {
        let Some(entry) = self.entries.get_mut(id).filter(|entry| entry.liveness != liveness) else { return };
        let before = std::mem::replace(&mut entry.liveness, liveness);
        let counts = self.zones.get_mut(&entry.zone).and_then(|in_zone| in_zone.shards.get_mut(&entry.shard));
        if let Some(counts) = counts {
            counts.change(before, -1);
            counts.change(liveness, 1);
        }
    }

    /// Returns the liveness of a machine. A machine that is not tracked counts as responsive.
    pub fn liveness(&self, id: &MachineId) -> Liveness {
        self.entries.get(id).map(|entry| entry.liveness).unwrap_or_default()
    }

    /// Returns the names of the zones that have machines.
    pub fn zones(&self) -> impl Iterator<Item = &Arc<str>> {
        self.zones.keys()
    }

    /// Returns the counts of each shard's machines in a zone.
    pub fn shards(&self, zone: &str) -> impl Iterator<Item = (u32, LivenessCounts)> {
        let shards = self.zones.get(zone).into_iter().flat_map(|in_zone| &in_zone.shards);
        shards.map(|(shard, counts)| (*shard, *counts))
    }

    /// Returns the machines of a zone.
    pub fn machines(&self, zone: &str) -> impl Iterator<Item = &MachineId> {
        self.zones.get(zone).into_iter().flat_map(|in_zone| &in_zone.machines)
    }
}
