//! Keys and values. Value field names are short: values are bounded and so are writes.

use crate::coordination::jobs::dependency_graph::Urgency;
use crate::protocol::user::JobSpec;
use crate::types::{FencingToken, JobId, MachineId, Micros};
use ciborium::Value;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Everything lives below this prefix, so that one watch sees all of it in one order.
pub const ROOT: &str = "bh/";

/// Tasks per run chunk for each KiB a value may have. A start takes some 24 bytes, and a done task
/// between two that aren't takes less.
const CHUNK_TASKS_PER_KB: u32 = 32;

/// Tasks per run chunk: the same on all controllers, as it follows from the deployment's settings.
/// A transaction full of chunks has to stay below 64 KiB as well.
pub fn chunk_tasks(value_kb: f64) -> u32 {
    (value_kb as u32).clamp(2, 4) * CHUNK_TASKS_PER_KB
}

/// A right that one controller holds at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Role {
    /// Registers, rents, returns and plans.
    Leader,
    /// Places the jobs of some teams on some machines.
    Shard(u32),
}

/// A key in the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Key {
    /// The counter of fencing tokens.
    FencingToken,
    /// Who holds a role.
    Role(Role),
    /// That a controller is alive, by its label.
    Node(String),
    /// Machines taken into the stored records together. Written once; what changes about one of them goes
    /// to its own key, which precedes this.
    Fleet(String),
    /// One machine, as far as it differs from its fleet's entry.
    Machine(MachineId),
    /// Jobs accepted together. Written once, removed when all of them are over.
    Batch(String),
    /// Starts and progress of a job: one chunk of its tasks.
    Run(JobId, u32),
    /// What became of a job.
    End(JobId),
    /// Jobs that one job depends on, as far as its entry in a batch has no resources for them.
    DependencyListPart(String, u32),
    /// What a shard's holder has to say of a zone. Versions that do not judge zones ignore it.
    Zone(String, u32),
    /// Operators hold a zone.
    ZoneHold(String),
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Key::FencingToken => write!(f, "{ROOT}term"),
            Key::Role(Role::Leader) => write!(f, "{ROOT}leader"),
            Key::Role(Role::Shard(k)) => write!(f, "{ROOT}share/{k}"),
            Key::Node(label) => write!(f, "{ROOT}node/{label}"),
            Key::Fleet(name) => write!(f, "{ROOT}fleet/{name}"),
            Key::Machine(id) => write!(f, "{ROOT}machine/{id}"),
            Key::Batch(name) => write!(f, "{ROOT}batch/{name}"),
            Key::Run(id, chunk) => write!(f, "{ROOT}run/{id}/{chunk}"),
            Key::End(id) => write!(f, "{ROOT}end/{id}"),
            Key::DependencyListPart(name, number) => write!(f, "{ROOT}awaits/{name}/{number}"),
            Key::Zone(zone, shard) => write!(f, "{ROOT}zone/{zone}/{shard}"),
            Key::ZoneHold(zone) => write!(f, "{ROOT}zone-hold/{zone}"),
        }
    }
}

impl Key {
    /// Reads a key as the store has it; nothing if it is none of ours.
    pub fn parse(text: &str) -> Option<Key> {
        let rest = text.strip_prefix(ROOT)?;
        match rest.split_once('/') {
            None if rest == "term" => Some(Key::FencingToken),
            None if rest == "leader" => Some(Key::Role(Role::Leader)),
            Some(("share", k)) => Some(Key::Role(Role::Shard(k.parse().ok()?))),
            Some(("node", label)) => Some(Key::Node(label.to_string())),
            Some(("fleet", name)) => Some(Key::Fleet(name.to_string())),
            Some(("machine", id)) => Some(Key::Machine(MachineId::new(id))),
            Some(("batch", name)) => Some(Key::Batch(name.to_string())),
            Some(("end", id)) => Some(Key::End(JobId::new(id))),
            Some(("awaits", rest)) => {
                let (name, number) = rest.rsplit_once('/')?;
                Some(Key::DependencyListPart(name.to_string(), number.parse().ok()?))
            }
            Some(("zone", rest)) => {
                let (zone, shard) = rest.rsplit_once('/')?;
                Some(Key::Zone(zone.to_string(), shard.parse().ok()?))
            }
            Some(("zone-hold", zone)) => Some(Key::ZoneHold(zone.to_string())),
            Some(("run", rest)) => {
                let (id, chunk) = rest.rsplit_once('/')?;
                Some(Key::Run(JobId::new(id), chunk.parse().ok()?))
            }
            _ => None,
        }
    }
}

/// Version of the rules by which a controller reads and writes records. Controllers from before it was announced
/// leave it out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RecordVersion(pub u32);

impl RecordVersion {
    /// Not announced.
    pub const FIRST: RecordVersion = RecordVersion(0);

    fn is_first(&self) -> bool {
        *self == RecordVersion::FIRST
    }
}

/// Who holds a role.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoleRecord {
    /// Label of the controller.
    #[serde(rename = "o")]
    pub owner: String,
    /// Distinguishes the owner's process from earlier ones under the same label.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Drawn when the role was taken or renewed.
    #[serde(rename = "t")]
    pub fencing_token: FencingToken,
    /// The owner's.
    #[serde(rename = "v", default, skip_serializing_if = "RecordVersion::is_first")]
    pub version: RecordVersion,
}

/// A controller that is alive.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Distinguishes its process from earlier ones.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// It can't reach the machines and should not be given shards.
    #[serde(rename = "u", default)]
    pub unfit: bool,
    /// Its own.
    #[serde(rename = "v", default, skip_serializing_if = "RecordVersion::is_first")]
    pub version: RecordVersion,
}

/// A machine as it stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// Shard that it belongs to.
    #[serde(rename = "s")]
    pub shard: u32,
    /// Commands to this machine carry this or the shard's fencing token, whichever is higher.
    #[serde(rename = "t")]
    pub fencing_token: FencingToken,
    /// Its type, as the cloud names it.
    #[serde(rename = "h")]
    pub machine_type: String,
    /// Its zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// Whether it may be taken back at any moment.
    #[serde(rename = "d")]
    pub spot: bool,
    /// Address of its worker.
    #[serde(rename = "a")]
    pub addr: String,
    /// Nothing may be started there any more.
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    pub hold: Option<Hold>,
}

/// Why nothing may be started on a machine any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Hold {
    /// To be given to another shard as soon as nothing is recorded on it.
    #[serde(rename = "m")]
    Move(u32),
    /// To be returned as soon as nothing is recorded on it.
    #[serde(rename = "r")]
    Retire,
    /// To be deleted with whatever may be on it.
    #[serde(rename = "k")]
    Doomed,
    /// Its deletion was confirmed. Stays as long as a fleet still names it.
    #[serde(rename = "g")]
    Gone,
}

/// One machine of a fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetMember {
    /// The machine.
    #[serde(rename = "m")]
    pub id: MachineId,
    /// As it was registered.
    #[serde(flatten)]
    pub record: MachineRecord,
}

/// One job of a batch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BatchMember {
    /// The job.
    #[serde(rename = "j")]
    pub id: JobId,
    /// As it was accepted.
    #[serde(flatten)]
    pub record: JobRecord,
}

/// A job as it was accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Time of day at which the job was accepted.
    #[serde(rename = "at")]
    pub accepted: Micros,
    /// Where the rest of what it depends on is: a name, and how many keys.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub pieces: Option<(String, u32)>,
    /// What its user submitted.
    #[serde(flatten)]
    pub spec: JobSpec,
}

impl JobRecord {
    /// By itself, whoever needs it.
    pub fn urgency(&self) -> Urgency {
        let due = self.spec.deadline_s.map(|s| self.accepted + Micros::from_secs_f64(s));
        Urgency { priority: self.spec.priority, due }
    }
}

/// One recorded start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "StoredStart", into = "StoredStart")]
pub struct StartRecord {
    /// Index of the task in its job.
    pub task: u32,
    /// Number of the attempt.
    pub attempt: u64,
    /// Where it was started.
    pub machine: MachineId,
    /// Of the machine, when the start was decided.
    pub incarnation: u64,
}

/// A start as it is stored: a list, which is short, in this order.
type StoredStart = (u32, u64, MachineId, u64);

impl From<StoredStart> for StartRecord {
    fn from((task, attempt, machine, incarnation): StoredStart) -> StartRecord {
        StartRecord { task, attempt, machine, incarnation }
    }
}

impl From<StartRecord> for StoredStart {
    fn from(start: StartRecord) -> StoredStart {
        (start.task, start.attempt, start.machine, start.incarnation)
    }
}

/// Progress of up to [`chunk_tasks`] tasks of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunChunk {
    /// Highest attempt number given out so far.
    #[serde(rename = "a")]
    pub attempts: u64,
    /// Tasks done, as inclusive ranges.
    #[serde(rename = "d", default)]
    pub done: Vec<(u32, u32)>,
    /// Starts not yet proven gone.
    #[serde(rename = "s", default)]
    pub starts: Vec<StartRecord>,
    /// Names the write, so that its writer recognises it after an answer was lost.
    #[serde(rename = "w")]
    pub writer: u64,
}

impl RunChunk {
    /// Whether a task is done.
    pub fn is_done(&self, task: u32) -> bool {
        self.done.iter().any(|&(a, b)| a <= task && task <= b)
    }

    /// Whether a task is done, or a start of it is recorded.
    pub fn names(&self, task: u32) -> bool {
        self.is_done(task) || self.starts.iter().any(|start| start.task == task)
    }

    /// The starts it names, by task.
    pub fn starts_by_task(&self) -> BTreeMap<u32, &StartRecord> {
        self.starts.iter().map(|start| (start.task, start)).collect()
    }

    /// The task after the last that it names.
    pub fn next_fresh(&self) -> u32 {
        let started = self.starts.iter().map(|start| start.task + 1).max();
        let done = self.done.last().map(|range| range.1 + 1);
        started.max(done).unwrap_or(0)
    }

    /// Number of tasks done.
    pub fn done_count(&self) -> u32 {
        self.done.iter().map(|&(a, b)| b - a + 1).sum()
    }

    /// Notes that a task is done.
    pub fn mark_done(&mut self, task: u32) {
        if self.is_done(task) {
            return;
        }
        self.done.push((task, task));
        self.done.sort_unstable();
        let mut merged: Vec<(u32, u32)> = Vec::with_capacity(self.done.len());
        for &(a, b) in &self.done {
            match merged.last_mut() {
                Some(last) if last.1 + 1 == a => last.1 = b,
                _ => merged.push((a, b)),
            }
        }
        self.done = merged;
    }
}

/// Bytes of a zone's name at most, so that its keys stay within the store's limit.
const ZONE_NAME_MOST: usize = 128;

/// Whether a zone's name can be part of a key.
pub fn is_zone_storable(zone: &str) -> bool {
    !zone.is_empty() && zone.len() <= ZONE_NAME_MOST && !zone.contains(|c: char| c.is_whitespace() || c.is_control())
}

/// That operators hold a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneHoldRecord {
    /// Time of day since when.
    #[serde(rename = "at")]
    pub at: Micros,
}

/// What became of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// All its tasks have completed.
    #[serde(rename = "done")]
    Done,
    /// Called off by its user, or with a job that it needs.
    #[serde(rename = "cancelled")]
    Cancelled,
}

/// What became of a job, as its key holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "StoredEnd", into = "StoredEnd")]
pub struct EndRecord {
    /// What became of it.
    pub outcome: Outcome,
    /// Time of day before which no user was told: whatever has to be over by some time after that can be
    /// counted from it, also by a controller that only reads it later.
    pub at: Micros,
}

impl EndRecord {
    /// The outcome of a job all of whose tasks have completed.
    pub fn done() -> EndRecord {
        EndRecord { outcome: Outcome::Done, at: Micros::ZERO }
    }

    /// The outcome of a job that was called off at that time of day.
    pub fn cancelled(at: Micros) -> EndRecord {
        EndRecord { outcome: Outcome::Cancelled, at }
    }
}

/// Where no time matters the bare outcome is stored.
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum StoredEnd {
    Bare(Outcome),
    At {
        #[serde(rename = "o")]
        outcome: Outcome,
        #[serde(rename = "at")]
        at: Micros,
    },
}

impl From<StoredEnd> for EndRecord {
    fn from(stored: StoredEnd) -> EndRecord {
        match stored {
            StoredEnd::Bare(outcome) => EndRecord { outcome, at: Micros::ZERO },
            StoredEnd::At { outcome, at } => EndRecord { outcome, at },
        }
    }
}

impl From<EndRecord> for StoredEnd {
    fn from(end: EndRecord) -> StoredEnd {
        match end.at {
            Micros::ZERO => StoredEnd::Bare(end.outcome),
            at => StoredEnd::At { outcome: end.outcome, at },
        }
    }
}

/// A record as it is stored.
pub fn to_value<T: Serialize>(value: &T) -> Value {
    // Our records hold text keys and plain numbers only, which always convert.
    Value::serialized(value).unwrap_or(Value::Null)
}

/// Reads a stored record; nothing if it has another form.
pub fn from_value<T: DeserializeOwned>(value: &Value) -> Option<T> {
    value.deserialized().ok()
}
