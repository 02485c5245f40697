//! How many machines each zone and shard has, and how many of them are unresponsive. Kept by single changes: with
//! thousands of machines a walk over all of them for each question would take most of a round.

use burlhatch_types::MachineId;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// Whether a machine answers the holder of its shard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Liveness {
    /// It was seen a short while ago.
    #[default]
    Responsive,
    /// It was not seen for a while, but not probed either.
    Unknown,
    /// It was not seen for a while and failed to answer a probe.
    Unresponsive,
}

/// Machines of one shard in one zone, by liveness.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LivenessCounts {
    /// All of them.
    pub total: u32,
    /// Those that are unresponsive.
    pub unresponsive: u32,
    /// Those that were not probed since they were last seen: nothing is known of them.
    pub unknown: u32,
}

impl LivenessCounts {
    /// Whether more than that part of the machines of which anything is known is unresponsive. With thousands of machines
    /// lost at once it takes long to probe each of them.
    pub fn is_unresponsive(&self, part: f64) -> bool {
        f64::from(self.unresponsive) > f64::from(self.total - self.unknown) * part
    }

    /// The counts of two groups of machines together.
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
    /// A machine is in that zone and belongs to that shard. A new or moved one counts as responsive.
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

    /// One copy of a zone's name serves all of its machines.
    fn interned_name(&self, zone: &str) -> Arc<str> {
        match self.zones.get_key_value(zone) {
            Some((name, _)) => name.clone(),
            None => Arc::from(zone),
        }
    }

    /// A machine is gone.
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

    /// The liveness of a machine; an unknown one counts as responsive.
    pub fn liveness(&self, id: &MachineId) -> Liveness {
        self.entries.get(id).map(|entry| entry.liveness).unwrap_or_default()
    }

    /// Names of the zones that have machines.
    pub fn zones(&self) -> impl Iterator<Item = &Arc<str>> {
        self.zones.keys()
    }

    /// Each shard's machines in a zone.
    pub fn shards(&self, zone: &str) -> impl Iterator<Item = (u32, LivenessCounts)> {
        let shards = self.zones.get(zone).into_iter().flat_map(|in_zone| &in_zone.shards);
        shards.map(|(shard, counts)| (*shard, *counts))
    }

    /// The machines of a zone.
    pub fn machines(&self, zone: &str) -> impl Iterator<Item = &MachineId> {
        self.zones.get(zone).into_iter().flat_map(|in_zone| &in_zone.machines)
    }
}
