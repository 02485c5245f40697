//! A controller's copy of the store, exact as of `applied_revision`, with the controller's own commits possibly ahead
//! of that. For each key, the higher version wins.

mod apply;

use super::schema::{
    ControllerRecord, CordonReason, JobRecord, Key, MachineBatchMember, MachineRecord, OutcomeRecord, Role, RoleRecord,
    RunChunk, ZoneCordonRecord,
};
use crate::types::{FencingToken, JobId, MachineId, Revision};
use burlhatch_zones::ZoneRecord;
use std::collections::{BTreeMap, HashMap};

/// A value with the revision of its latest change.
#[derive(Clone, Debug)]
pub struct Versioned<T> {
    /// As it was last read.
    pub value: T,
    /// What a precondition on its key must name.
    pub version: u64,
}

/// What a change touched; the owner of the replica looks up the rest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A role was acquired, renewed or released.
    Role(Role),
    /// A controller has come or gone.
    Controller(String),
    /// Machines have records, or other records than before.
    Machines(Vec<MachineId>),
    /// Jobs were accepted, or their batches deleted.
    Jobs(Vec<JobId>),
    /// One chunk of a job's task attempts and progress.
    RunChunk(JobId, u32),
    /// What became of a job.
    Outcome(JobId),
    /// How a shard's holder finds a zone.
    ZoneView(String, u32),
    /// Whether operators have cordoned a zone.
    ZoneCordon(String),
    /// Nothing that anybody acts on.
    Nothing,
}

/// A job as its batch has it.
#[derive(Clone, Debug)]
pub struct KnownJob {
    /// As it was accepted.
    pub record: JobRecord,
    /// Name of the batch. Of two that hold the job the older counts.
    pub batch: String,
    /// Revision of that batch.
    pub version: u64,
}

/// The parts of a list of dependencies, by number.
type ListParts = BTreeMap<u32, Versioned<Vec<JobId>>>;

/// The copy itself: maps by kind of key.
#[derive(Default)]
pub struct Replica {
    /// All changes up to this revision are in.
    pub applied_revision: Revision,
    /// The counter of fencing tokens.
    pub fencing_token: Option<Versioned<FencingToken>>,
    /// Roles that are held.
    pub roles: BTreeMap<Role, Versioned<RoleRecord>>,
    /// Controllers that are alive.
    pub controllers: BTreeMap<String, Versioned<ControllerRecord>>,
    /// Machines as they stand: by their own keys, else by their batches, then with version 0.
    pub machines: BTreeMap<MachineId, Versioned<MachineRecord>>,
    /// The machines' own keys, also of those that are deleted.
    own_machines: BTreeMap<MachineId, Versioned<MachineRecord>>,
    /// Machines registered together.
    pub machine_batches: BTreeMap<String, Versioned<Vec<MachineBatchMember>>>,
    machine_batch_of: HashMap<MachineId, String>,
    /// Jobs that were accepted and whose batches are not deleted.
    pub jobs: HashMap<JobId, KnownJob>,
    /// Names of the jobs of each batch.
    pub job_batches: BTreeMap<String, Versioned<Vec<JobId>>>,
    /// Task attempts and progress of each job, by chunk.
    pub run_chunks: HashMap<JobId, BTreeMap<u32, Versioned<RunChunk>>>,
    /// What became of jobs; never deleted.
    pub outcomes: HashMap<JobId, Versioned<OutcomeRecord>>,
    /// Lists of dependencies that are not in a batch, by name.
    pub dependency_list_parts: BTreeMap<String, ListParts>,
    /// How shards' holders find zones. A record that can't be read is kept as that, so that it can be written anew.
    pub zone_views: BTreeMap<(String, u32), Versioned<Option<ZoneRecord>>>,
    /// Zones that operators have cordoned. Whatever the key's value is, the zone is cordoned.
    pub zone_cordons: BTreeMap<String, Versioned<Option<ZoneCordonRecord>>>,
    /// Own deletions ahead of `applied_revision`, so that older puts don't bring the keys back.
    deleted_ahead: HashMap<Key, u64>,
}

impl Replica {
    /// The version that a transaction's precondition on this key must name, 0 for none.
    pub fn version(&self, key: &Key) -> u64 {
        let version = match key {
            Key::FencingToken => self.fencing_token.as_ref().map(|stored| stored.version),
            Key::Role(role) => self.roles.get(role).map(|stored| stored.version),
            Key::Controller(label) => self.controllers.get(label).map(|stored| stored.version),
            Key::MachineBatch(name) => self.machine_batches.get(name).map(|stored| stored.version),
            Key::Machine(id) => self.own_machines.get(id).map(|stored| stored.version),
            Key::JobBatch(name) => self.job_batches.get(name).map(|stored| stored.version),
            Key::RunChunk(id, chunk) => {
                self.run_chunks.get(id).and_then(|chunks| chunks.get(chunk)).map(|stored| stored.version)
            }
            Key::Outcome(id) => self.outcomes.get(id).map(|stored| stored.version),
            Key::DependencyListPart(name, number) => {
                self.dependency_list_parts.get(name).and_then(|parts| parts.get(number)).map(|stored| stored.version)
            }
            Key::ZoneView(zone, shard) => self.zone_views.get(&(zone.clone(), *shard)).map(|stored| stored.version),
            Key::ZoneCordon(zone) => self.zone_cordons.get(zone).map(|stored| stored.version),
        };
        version.unwrap_or(0)
    }

    /// The batch with which a machine was registered.
    pub fn machine_batch_of(&self, id: &MachineId) -> Option<&String> {
        self.machine_batch_of.get(id)
    }

    /// Whether a machine's deletion was confirmed, as far as the stored records still tell.
    pub fn is_machine_deleted(&self, id: &MachineId) -> bool {
        self.own_machines.get(id).is_some_and(|machine| is_deleted(&machine.value))
    }

    /// Deleted machines that no batch names any more: their records may be deleted as well.
    pub fn unreferenced_deleted_machines(&self) -> impl Iterator<Item = &MachineId> {
        let deleted = self.own_machines.iter().filter(|(_, machine)| is_deleted(&machine.value));
        deleted.map(|(id, _)| id).filter(|id| !self.machine_batch_of.contains_key(*id))
    }

    /// Whether the stored records name any task attempt of a job: as long as they do, some of it may still run.
    pub fn has_recorded_attempts(&self, id: &JobId) -> bool {
        let mut chunks = self.run_chunks.get(id).into_iter().flat_map(BTreeMap::values);
        chunks.any(|chunk| !chunk.value.task_attempts.is_empty())
    }

    /// The latest fencing token drawn.
    pub fn latest_fencing_token(&self) -> FencingToken {
        self.fencing_token.as_ref().map(|token| token.value).unwrap_or_default()
    }

    /// The token that a transaction on the counter of fencing tokens would draw.
    pub fn next_fencing_token(&self) -> FencingToken {
        FencingToken(self.latest_fencing_token().0 + 1)
    }

    /// The jobs in a list of dependencies, as far as its parts have been read.
    fn listed_dependencies(&self, list: &str) -> impl Iterator<Item = JobId> {
        let parts = self.dependency_list_parts.get(list).into_iter().flat_map(BTreeMap::values);
        parts.flat_map(|part| part.value.iter().cloned())
    }
}

fn is_deleted(record: &MachineRecord) -> bool {
    record.cordon == Some(CordonReason::Deleted)
}
