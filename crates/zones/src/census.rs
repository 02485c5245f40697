//! How many machines each zone and shard has, and how many of them are silent. Kept by single changes: with thousands
//! of machines a walk over all of them for each question would take most of a round.

use burlhatch_types::MachineId;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// Machines of one shard in one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// All of them.
    pub machines: u32,
    /// Those that are silent.
    pub silent: u32,
    /// Those that were not asked since they were last heard: nothing is known of them.
    pub unknown: u32,
}

/// Whether a machine gives signs of life to its holder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Life {
    /// It was heard a short while ago.
    #[default]
    Heard,
    /// It was not heard for a while, but not asked either.
    Unknown,
    /// It was not heard for a while and failed to answer.
    Silent,
}

impl Count {
    /// Whether more than that part of those of which anything is known is silent. With thousands of machines lost at
    /// once it takes long to ask each of them.
    pub fn is_silent(&self, part: f64) -> bool {
        f64::from(self.silent) > f64::from(self.machines - self.unknown) * part
    }

    fn change(&mut self, life: Life, by: i32) {
        let of_life = match life {
            Life::Heard => return,
            Life::Unknown => &mut self.unknown,
            Life::Silent => &mut self.silent,
        };
        *of_life = of_life.saturating_add_signed(by);
    }
}

#[derive(Debug)]
struct Entry {
    zone: Arc<str>,
    shard: u32,
    life: Life,
}

/// The machines of one zone.
#[derive(Debug, Default)]
struct ZoneMachines {
    shards: BTreeMap<u32, Count>,
    machines: BTreeSet<MachineId>,
}

/// All machines by zone and shard.
#[derive(Debug, Default)]
pub struct Census {
    entries: HashMap<MachineId, Entry>,
    zones: BTreeMap<Arc<str>, ZoneMachines>,
}

impl Census {
    /// A machine is in that zone and belongs to that shard.
    pub fn put(&mut self, id: &MachineId, zone: &str, shard: u32) {
        if let Some(entry) = self.entries.get(id) {
            if &*entry.zone == zone && entry.shard == shard {
                return;
            }
            self.remove(id);
        }
        let name = match self.zones.get_key_value(zone) {
            Some((name, _)) => name.clone(),
            None => Arc::from(zone),
        };
        let there = self.zones.entry(name.clone()).or_default();
        there.machines.insert(id.clone());
        there.shards.entry(shard).or_default().machines += 1;
        self.entries.insert(id.clone(), Entry { zone: name, shard, life: Life::Heard });
    }

    /// A machine is gone.
    pub fn remove(&mut self, id: &MachineId) {
        let Some(entry) = self.entries.remove(id) else { return };
        let Some(there) = self.zones.get_mut(&entry.zone) else { return };
        there.machines.remove(id);
        if let Some(count) = there.shards.get_mut(&entry.shard) {
            count.machines -= 1;
            count.change(entry.life, -1);
            if count.machines == 0 {
                there.shards.remove(&entry.shard);
            }
        }
        if there.machines.is_empty() {
            self.zones.remove(&entry.zone);
        }
    }

    /// Whether a machine gives signs of life to its holder.
    pub fn set_life(&mut self, id: &MachineId, life: Life) {
        let Some(entry) = self.entries.get_mut(id).filter(|entry| entry.life != life) else { return };
        let before = std::mem::replace(&mut entry.life, life);
        let count = self.zones.get_mut(&entry.zone).and_then(|there| there.shards.get_mut(&entry.shard));
        if let Some(count) = count {
            count.change(before, -1);
            count.change(life, 1);
        }
    }

    /// What is known of a machine; that it was heard, if nothing else.
    pub fn life(&self, id: &MachineId) -> Life {
        self.entries.get(id).map(|entry| entry.life).unwrap_or_default()
    }

    /// Names of the zones that have machines.
    pub fn zones(&self) -> impl Iterator<Item = &Arc<str>> {
        self.zones.keys()
    }

    /// Each shard's machines in a zone.
    pub fn shards(&self, zone: &str) -> impl Iterator<Item = (u32, Count)> {
        let shards = self.zones.get(zone).into_iter().flat_map(|there| &there.shards);
        shards.map(|(shard, count)| (*shard, *count))
    }

    /// The machines of a zone.
    pub fn machines(&self, zone: &str) -> impl Iterator<Item = &MachineId> {
        self.zones.get(zone).into_iter().flat_map(|there| &there.machines)
    }
}
