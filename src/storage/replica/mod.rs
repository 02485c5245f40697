//! A controller's replica of the store. It matches the store at `applied_revision`, except that it may already contain
//! later commits of the controller itself. For each key, the higher version wins.

mod apply;

use super::schema::{
    ControllerRecord, CordonReason, JobRecord, Key, MachineBatchMember, MachineRecord, OutcomeRecord, Role, RoleRecord,
    RunChunk, TaskLoans, ZoneCordonRecord,
};
use crate::types::{FencingToken, JobId, MachineId, Revision};
use burlhatch_zones::ZoneRecord;
use std::collections::{BTreeMap, HashMap};

/// A value with the revision of its latest change.
#[derive(Clone, Debug)]
pub struct Versioned<T> {
    /// The value as last read.
    pub value: T,
    /// The version that a precondition on the key must name.
    pub version: u64,
}

/// The subject of a change; the owner of the replica looks up the new values.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A role was acquired, renewed or released.
    Role(Role),
    /// A controller's record was written, or deleted with its session.
    Controller(String),
    /// The records of machines were created, changed or deleted.
    Machines(Vec<MachineId>),
    /// Jobs were accepted, or their batches deleted.
    Jobs(Vec<JobId>),
    /// A run chunk of a job has changed.
    RunChunk(JobId, u32),
    /// The loans of a job's tasks have changed.
    JobLoans(JobId),
    /// A job's outcome was written.
    Outcome(JobId),
    /// The condition of a zone as evaluated by a shard's holder has changed.
    ZoneView(String, u32),
    /// Operators have cordoned or uncordoned a zone.
    ZoneCordon(String),
    /// Nothing changed that needs a reaction.
    Nothing,
}

/// An accepted job, as its batch contains it.
#[derive(Clone, Debug)]
pub struct AcceptedJob {
    /// The record as it was accepted.
    pub record: JobRecord,
    /// Name of the batch. If two batches contain the job, this is the one committed first.
    pub batch: String,
    /// Version of that batch.
    pub version: u64,
}

/// The parts of a dependency list, by number.
type ListParts = BTreeMap<u32, Versioned<Vec<JobId>>>;

/// The replica: one map for each kind of key.
#[derive(Default)]
pub struct Replica {
    /// Revision up to which all changes are applied.
    pub applied_revision: Revision,
    /// The counter of fencing tokens.
    pub fencing_token: Option<Versioned<FencingToken>>,
    /// Roles that are held.
    pub roles: BTreeMap<Role, Versioned<RoleRecord>>,
    /// Controllers that are alive.
    pub controllers: BTreeMap<String, Versioned<ControllerRecord>>,
    /// Current records of machines: from their own keys, or else from their batches, with version 0 in that case.
    pub machines: BTreeMap<MachineId, Versioned<MachineRecord>>,
    /// Machine records under keys of their own, including those of deleted machines.
    machine_records: BTreeMap<MachineId, Versioned<MachineRecord>>,
    /// Machines registered together.
    pub machine_batches: BTreeMap<String, Versioned<Vec<MachineBatchMember>>>,
    machine_batch_of: HashMap<MachineId, String>,
    /// Jobs that were accepted and whose batches are not deleted.
    pub jobs: HashMap<JobId, AcceptedJob>,
    /// Ids of the jobs of each batch.
    pub job_batches: BTreeMap<String, Versioned<Vec<JobId>>>,
    /// Task attempts and progress of each job, by chunk.
    pub run_chunks: HashMap<JobId, BTreeMap<u32, Versioned<RunChunk>>>,
    /// Tasks that other shards than their job's own schedule, by job.
    pub job_loans: BTreeMap<JobId, Versioned<TaskLoans>>,
    /// Outcomes of jobs, which are never deleted.
    pub outcomes: HashMap<JobId, Versioned<OutcomeRecord>>,
    /// Dependency lists stored outside the job batches, by name.
    pub dependency_list_parts: BTreeMap<String, ListParts>,
    /// Conditions of zones as evaluated by the holders of shards. An unreadable record is kept as `None`, so that its
    /// version is known and it can be overwritten.
    pub zone_views: BTreeMap<(String, u32), Versioned<Option<ZoneRecord>>>,
    /// Zones that operators have cordoned. A zone is cordoned if its key exists, whatever the value.
    pub zone_cordons: BTreeMap<String, Versioned<Option<ZoneCordonRecord>>>,
    /// Own deletions later than `applied_revision`, so that older puts don't restore the keys. Test:
    /// `a_late_commit_does_not_restore_a_deleted_record`.
    deleted_ahead: HashMap<Key, u64>,
}

impl Replica {
    /// Returns the version that a precondition on this key must name; 0 if the key doesn't exist.
    pub fn version(&self, key: &Key) -> u64 {
        let version = match key {
            Key::FencingToken => self.fencing_token.as_ref().map(|stored| stored.version),
            Key::Role(role) => self.roles.get(role).map(|stored| stored.version),
            Key::Controller(label) => self.controllers.get(label).map(|stored| stored.version),
            Key::MachineBatch(name) => self.machine_batches.get(name).map(|stored| stored.version),
            Key::Machine(id) => self.machine_records.get(id).map(|stored| stored.version),
            Key::JobBatch(name) => self.job_batches.get(name).map(|stored| stored.version),
            Key::RunChunk(id, chunk) => {
                self.run_chunks.get(id).and_then(|chunks| chunks.get(chunk)).map(|stored| stored.version)
            }
            Key::JobLoans(id) => self.job_loans.get(id).map(|stored| stored.version),
            Key::Outcome(id) => self.outcomes.get(id).map(|stored| stored.version),
            Key::DependencyListPart(name, number) => {
                self.dependency_list_parts.get(name).and_then(|parts| parts.get(number)).map(|stored| stored.version)
            }
            Key::ZoneView(zone, shard) => self.zone_views.get(&(zone.clone(), *shard)).map(|stored| stored.version),
            Key::ZoneCordon(zone) => self.zone_cordons.get(zone).map(|stored| stored.version),
        };
        version.unwrap_or(0)
    }

    /// Returns the name of the batch in which a machine was registered.
    pub fn machine_batch_of(&self, id: &MachineId) -> Option<&String> {
        self.machine_batch_of.get(id)
    }

    /// Returns whether a machine's record says that its deletion was confirmed. Such a record may be deleted later.
    pub fn is_machine_deleted(&self, id: &MachineId) -> bool {
        self.machine_records.get(id).is_some_and(|machine| is_deleted(&machine.value))
    }

    /// Returns the deleted machines that no batch names any more, whose records may be deleted as well.
    pub fn unreferenced_deleted_machines(&self) -> impl Iterator<Item = &MachineId> {
        let deleted = self.machine_records.iter().filter(|(_, machine)| is_deleted(&machine.value));
        deleted.map(|(id, _)| id).filter(|id| !self.machine_batch_of.contains_key(*id))
    }

    /// Returns whether any task attempt of a job is recorded. As long as one is, a task of the job may still run.
    pub fn has_recorded_attempts(&self, id: &JobId) -> bool {
        let mut chunks = self.run_chunks.get(id).into_iter().flat_map(BTreeMap::values);
        chunks.any(|chunk| !chunk.value.task_attempts.is_empty())
    }

    /// Returns the latest fencing token drawn.
    pub fn latest_fencing_token(&self) -> FencingToken {
        self.fencing_token.as_ref().map(|token| token.value).unwrap_or_default()
    }

    /// Returns the fencing token that the next transaction on the counter draws.
    pub fn next_fencing_token(&self) -> FencingToken {
        FencingToken(self.latest_fencing_token().0 + 1)
    }

    /// Returns the jobs in a dependency list, as far as its parts have been read.
    fn listed_dependencies(&self, list: &str) -> impl Iterator<Item = JobId> {
        let parts = self.dependency_list_parts.get(list).into_iter().flat_map(BTreeMap::values);
        parts.flat_map(|part| part.value.iter().cloned())
    }
}

fn is_deleted(record: &MachineRecord) -> bool {
    record.cordon == Some(CordonReason::Deleted)
}
