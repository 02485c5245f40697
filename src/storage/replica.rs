//! A controller's copy of the store, exact as of `applied`, with the controller's own
//! commits possibly ahead of that. Per key, the higher version wins.

use super::schema::{
    BatchMember, EndRecord, FleetMember, Hold, JobRecord, Key, MachineRecord, NodeRecord, Role, RoleRecord, RunChunk,
    ZoneHoldRecord, from_value,
};
use crate::protocol::store::Event;
use crate::types::{FencingToken, JobId, MachineId, Revision};
use burlhatch_zones::ZoneRecord;
use ciborium::Value;
use std::collections::{BTreeMap, HashMap};

/// A value with the revision of its latest change.
#[derive(Clone, Debug)]
pub struct Versioned<T> {
    /// As it was last read.
    pub value: T,
    /// What a condition on its key must name.
    pub version: u64,
}

/// What a change touched; the owner of the replica looks up the rest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A role was taken, renewed or given up.
    Role(Role),
    /// A controller has come or gone.
    Node(String),
    /// Machines have records, or other records than before.
    Machines(Vec<MachineId>),
    /// Jobs were accepted, or their batches cleared away.
    Jobs(Vec<JobId>),
    /// One chunk of a job's starts and progress.
    Run(JobId, u32),
    /// What became of a job.
    End(JobId),
    /// What a shard's holder says of a zone.
    Zone(String, u32),
    /// Whether operators hold a zone.
    ZoneHold(String),
    /// Nothing that anybody acts on.
    Nothing,
}

/// A job as its batch has it.
#[derive(Clone, Debug)]
pub struct KnownJob {
    /// As it was accepted.
    pub record: JobRecord,
    /// Name and version of the batch. Of two that hold the job the older counts.
    pub batch: String,
    /// Revision of that batch.
    pub version: u64,
}

/// The copy itself: maps by kind of key.
#[derive(Default)]
pub struct Replica {
    /// All changes up to this revision are in.
    pub applied: Revision,
    /// The counter of fencing tokens.
    pub fencing_token: Option<Versioned<FencingToken>>,
    /// Roles that are held.
    pub roles: BTreeMap<Role, Versioned<RoleRecord>>,
    /// Controllers that are alive.
    pub nodes: BTreeMap<String, Versioned<NodeRecord>>,
    /// Machines as they stand: by their own keys, else by their fleets, then with version 0.
    pub machines: BTreeMap<MachineId, Versioned<MachineRecord>>,
    /// The machines' own keys, also of those that are gone.
    own_machines: HashMap<MachineId, Versioned<MachineRecord>>,
    /// Machines registered together.
    pub fleets: BTreeMap<String, Versioned<Vec<FleetMember>>>,
    fleet_of: HashMap<MachineId, String>,
    /// Jobs that were accepted and are not cleared away.
    pub jobs: HashMap<JobId, KnownJob>,
    /// Names of the jobs of each batch.
    pub batches: BTreeMap<String, Versioned<Vec<JobId>>>,
    /// Starts and progress of each job, by chunk.
    pub runs: HashMap<JobId, BTreeMap<u32, Versioned<RunChunk>>>,
    /// Outcomes, for ever.
    pub ends: HashMap<JobId, Versioned<EndRecord>>,
    /// Lists of dependencies that are not in a batch, by name and number.
    pub pieces: BTreeMap<String, BTreeMap<u32, Versioned<Vec<JobId>>>>,
    /// What shards' holders say of zones. One that can't be read is kept as that, so that it can be written anew.
    pub zones: BTreeMap<(String, u32), Versioned<Option<ZoneRecord>>>,
    /// Zones that operators hold. Whatever the key holds, it is there.
    pub zone_holds: BTreeMap<String, Versioned<Option<ZoneHoldRecord>>>,
    /// Own deletions ahead of `applied`, so that older puts don't bring the keys back.
    removed: HashMap<Key, u64>,
}

fn store<K: Ord, T>(map: &mut BTreeMap<K, Versioned<T>>, key: K, value: Option<T>, version: u64) {
    match value {
        Some(value) => {
            map.insert(key, Versioned { value, version });
        }
        None => {
            map.remove(&key);
        }
    }
}

fn store_hashed<K: Eq + std::hash::Hash, T>(
    map: &mut HashMap<K, Versioned<T>>,
    key: K,
    value: Option<T>,
    version: u64,
) {
    match value {
        Some(value) => {
            map.insert(key, Versioned { value, version });
        }
        None => {
            map.remove(&key);
        }
    }
}

impl Replica {
    /// The version that a transaction's condition on this key must name, 0 for none.
    pub fn version(&self, key: &Key) -> u64 {
        let v = match key {
            Key::FencingToken => self.fencing_token.as_ref().map(|v| v.version),
            Key::Role(role) => self.roles.get(role).map(|v| v.version),
            Key::Node(label) => self.nodes.get(label).map(|v| v.version),
            Key::Fleet(name) => self.fleets.get(name).map(|v| v.version),
            Key::Machine(id) => self.own_machines.get(id).map(|v| v.version),
            Key::Batch(name) => self.batches.get(name).map(|v| v.version),
            Key::Run(id, chunk) => self.runs.get(id).and_then(|r| r.get(chunk)).map(|v| v.version),
            Key::End(id) => self.ends.get(id).map(|v| v.version),
            Key::DependencyListPart(name, number) => {
                self.pieces.get(name).and_then(|p| p.get(number)).map(|v| v.version)
            }
            Key::Zone(zone, shard) => self.zones.get(&(zone.clone(), *shard)).map(|v| v.version),
            Key::ZoneHold(zone) => self.zone_holds.get(zone).map(|v| v.version),
        };
        v.unwrap_or(0)
    }

    /// Puts or removes one key as of `version`; older news than what is held is ignored.
    pub fn apply(&mut self, key: &str, value: Option<&Value>, version: u64) -> Change {
        let Some(key) = Key::parse(key) else { return Change::Nothing };
        let held = self.version(&key).max(self.removed.get(&key).copied().unwrap_or(0));
        if version <= held {
            return Change::Nothing;
        }
        if value.is_none() && version > self.applied.0 {
            self.removed.insert(key.clone(), version);
        }
        match key {
            Key::FencingToken => {
                self.fencing_token = value.and_then(from_value).map(|value| Versioned { value, version });
                Change::Nothing
            }
            Key::Role(role) => {
                store(&mut self.roles, role, value.and_then(from_value), version);
                Change::Role(role)
            }
            Key::Node(label) => {
                store(&mut self.nodes, label.clone(), value.and_then(from_value), version);
                Change::Node(label)
            }
            Key::Fleet(name) => self.apply_fleet(name, value, version),
            Key::Machine(id) => {
                store_hashed(&mut self.own_machines, id.clone(), value.and_then(from_value), version);
                self.settle_machine(&id);
                Change::Machines(vec![id])
            }
            Key::Batch(name) => self.apply_batch(name, value, version),
            Key::Run(id, chunk) => {
                let run = self.runs.entry(id.clone()).or_default();
                store(run, chunk, value.and_then(from_value), version);
                if run.is_empty() {
                    self.runs.remove(&id);
                }
                Change::Run(id, chunk)
            }
            Key::DependencyListPart(name, number) => {
                let pieces = self.pieces.entry(name.clone()).or_default();
                store(pieces, number, value.and_then(from_value), version);
                if pieces.is_empty() {
                    self.pieces.remove(&name);
                }
                Change::Nothing
            }
            Key::Zone(zone, shard) => {
                store(&mut self.zones, (zone.clone(), shard), value.map(from_value), version);
                Change::Zone(zone, shard)
            }
            Key::ZoneHold(zone) => {
                store(&mut self.zone_holds, zone.clone(), value.map(from_value), version);
                Change::ZoneHold(zone)
            }
            Key::End(id) => {
                // An outcome is written once and never removed.
                if let Some(end) = value.and_then(from_value) {
                    self.ends.insert(id.clone(), Versioned { value: end, version });
                }
                Change::End(id)
            }
        }
    }

    fn apply_fleet(&mut self, name: String, value: Option<&Value>, version: u64) -> Change {
        let before = self.fleets.get(&name).map(|f| f.value.clone()).unwrap_or_default();
        let now: Option<Vec<FleetMember>> = value.and_then(from_value);
        let members = before.into_iter().chain(now.iter().flatten().cloned());
        let mut ids: Vec<MachineId> = members.map(|m| m.id).collect();
        ids.dedup();
        self.fleet_of.retain(|_, fleet| *fleet != name);
        for member in now.iter().flatten() {
            self.fleet_of.insert(member.id.clone(), name.clone());
        }
        store(&mut self.fleets, name, now, version);
        for id in &ids {
            self.settle_machine(id);
        }
        Change::Machines(ids)
    }

    fn apply_batch(&mut self, name: String, value: Option<&Value>, version: u64) -> Change {
        let now: Option<Vec<BatchMember>> = value.and_then(from_value);
        let mut ids = self.batches.get(&name).map(|b| b.value.clone()).unwrap_or_default();
        ids.retain(|id| self.jobs.get(id).is_some_and(|j| j.batch == name));
        for id in &ids {
            self.jobs.remove(id);
        }
        let mut held = Vec::new();
        for member in now.iter().flatten() {
            held.push(member.id.clone());
            // Two controllers may take the same submission at once: the first counts,
            // in whatever order the two are read.
            let earlier = self.jobs.get(&member.id).is_some_and(|j| (j.version, &j.batch) < (version, &name));
            if !earlier {
                let record = self.whole(&member.record);
                let known = KnownJob { record, batch: name.clone(), version };
                self.jobs.insert(member.id.clone(), known);
                ids.push(member.id.clone());
            }
        }
        store(&mut self.batches, name, now.map(|_| held), version);
        Change::Jobs(ids)
    }

    /// A job's record with all that it depends on. The pieces were in the stored records before it.
    fn whole(&self, record: &JobRecord) -> JobRecord {
        let mut record = record.clone();
        let pieces = record.pieces.as_ref().and_then(|(name, _)| self.pieces.get(name));
        record
            .spec
            .depends_on
            .extend(pieces.into_iter().flat_map(|p| p.values()).flat_map(|v| v.value.iter().cloned()));
        record
    }

    /// Gives jobs those parts of their lists that were read after their batches: pages are read at different times.
    pub fn complete_dependency_lists(&mut self) {
        let in_parts = |known: &KnownJob| known.record.pieces.clone().map(|(name, _)| name);
        let jobs: Vec<(JobId, String)> =
            self.jobs.iter().filter_map(|(id, known)| Some((id.clone(), in_parts(known)?))).collect();
        for (id, name) in jobs {
            let parts = self.pieces.get(&name).into_iter().flat_map(|parts| parts.values());
            let depends_on = parts.flat_map(|part| part.value.iter().cloned()).collect();
            if let Some(known) = self.jobs.get_mut(&id) {
                known.record.spec.depends_on = depends_on;
            }
        }
    }

    /// Works out how a machine stands: its own key precedes its fleet's.
    fn settle_machine(&mut self, id: &MachineId) {
        let of_fleet = || {
            let fleet = self.fleets.get(self.fleet_of.get(id)?)?;
            let member = fleet.value.iter().find(|m| m.id == *id)?;
            Some(Versioned { value: member.record.clone(), version: 0 })
        };
        match self.own_machines.get(id).cloned().or_else(of_fleet) {
            Some(held) if held.value.hold != Some(Hold::Gone) => {
                self.machines.insert(id.clone(), held);
            }
            _ => {
                self.machines.remove(id);
            }
        }
    }

    /// The fleet that a machine was taken into the stored records with.
    pub fn fleet_of(&self, id: &MachineId) -> Option<&String> {
        self.fleet_of.get(id)
    }

    /// Whether its deletion was confirmed, as far as the stored records still tell.
    pub fn is_gone(&self, id: &MachineId) -> bool {
        self.own_machines.get(id).is_some_and(|m| m.value.hold == Some(Hold::Gone))
    }

    /// Notes about deleted machines that no fleet names any more.
    pub fn needless_notes(&self) -> impl Iterator<Item = &MachineId> {
        let gone = self.own_machines.iter().filter(|(_, m)| m.value.hold == Some(Hold::Gone));
        gone.map(|(id, _)| id).filter(|id| !self.fleet_of.contains_key(*id))
    }

    /// Applies what the service said happened after some revision at or before `applied`.
    pub fn advance(&mut self, events: &[Event], revision: Revision) -> Vec<Change> {
        let mut changes = Vec::new();
        let applied = self.applied.0;
        for event in events.iter().filter(|e| e.version > applied) {
            let change = match (&event.put, &event.delete) {
                (Some(key), _) => self.apply(key, event.value.as_ref(), event.version),
                (None, Some(key)) => self.apply(key, None, event.version),
                (None, None) => Change::Nothing,
            };
            if change != Change::Nothing {
                changes.push(change);
            }
        }
        if revision > self.applied {
            self.applied = revision;
            let applied = revision.0;
            self.removed.retain(|_, version| *version > applied);
        }
        changes
    }

    /// Whether the stored records name any start of a job: as long as they do, something of it may run.
    pub fn has_starts(&self, id: &JobId) -> bool {
        self.runs.get(id).is_some_and(|chunks| chunks.values().any(|c| !c.value.starts.is_empty()))
    }

    /// The latest fencing token drawn.
    pub fn latest_fencing_token(&self) -> FencingToken {
        self.fencing_token.as_ref().map(|t| t.value).unwrap_or_default()
    }
}
