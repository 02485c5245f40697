//! Keys of the store, and their text forms.

use super::Role;
use crate::types::{JobId, MachineId};
use std::fmt;

/// Prefix of all keys, so that one watch sees all changes in one order.
pub const ROOT: &str = "bh/";

/// A key in the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Key {
    /// The counter of fencing tokens.
    FencingToken,
    /// The holder of a role.
    Role(Role),
    /// A controller that is alive, by its label.
    Controller(String),
    /// Machines registered together. Written once; later changes to one of the machines go to its own key, which takes
    /// precedence.
    MachineBatch(String),
    /// One machine whose record is not, or no longer, the one in a batch.
    Machine(MachineId),
    /// Jobs accepted together. Written once, and deleted when all of them have finished.
    JobBatch(String),
    /// Task attempts and progress of one chunk of a job's tasks, by the chunk's number.
    RunChunk(JobId, u32),
    /// The tasks of a job that other shards than its own schedule. Controllers whose version does not lend tasks ignore
    /// it.
    JobLoans(JobId),
    /// The outcome of a job.
    Outcome(JobId),
    /// A part of a dependency list, by the list's name and the part's number. The list contains those dependencies of a
    /// job that did not fit into its entry in a batch.
    DependencyListPart(String, u32),
    /// The condition of a zone as evaluated by a shard's holder, by zone and shard. Controllers whose version does not
    /// evaluate zones ignore it.
    ZoneView(String, u32),
    /// A zone that operators have cordoned.
    ZoneCordon(String),
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Key::FencingToken => write!(f, "{ROOT}term"),
            Key::Role(Role::Leader) => write!(f, "{ROOT}leader"),
            Key::Role(Role::Shard(k)) => write!(f, "{ROOT}share/{k}"),
            Key::Controller(label) => write!(f, "{ROOT}node/{label}"),
            Key::MachineBatch(name) => write!(f, "{ROOT}fleet/{name}"),
            Key::Machine(id) => write!(f, "{ROOT}machine/{id}"),
            Key::JobBatch(name) => write!(f, "{ROOT}batch/{name}"),
            Key::RunChunk(id, chunk) => write!(f, "{ROOT}run/{id}/{chunk}"),
            Key::JobLoans(id) => write!(f, "{ROOT}lent/{id}"),
            Key::Outcome(id) => write!(f, "{ROOT}end/{id}"),
            Key::DependencyListPart(name, number) => write!(f, "{ROOT}awaits/{name}/{number}"),
            Key::ZoneView(zone, shard) => write!(f, "{ROOT}zone/{zone}/{shard}"),
            Key::ZoneCordon(zone) => write!(f, "{ROOT}zone-hold/{zone}"),
        }
    }
}

impl Key {
    /// Parses a key of the store. Returns `None` for keys that are not part of the schema.
    pub fn parse(text: &str) -> Option<Key> {
        let rest = text.strip_prefix(ROOT)?;
        match rest.split_once('/') {
            None if rest == "term" => Some(Key::FencingToken),
            None if rest == "leader" => Some(Key::Role(Role::Leader)),
            Some(("share", k)) => Some(Key::Role(Role::Shard(k.parse().ok()?))),
            Some(("node", label)) => Some(Key::Controller(label.to_string())),
            Some(("fleet", name)) => Some(Key::MachineBatch(name.to_string())),
            Some(("machine", id)) => Some(Key::Machine(MachineId::new(id))),
            Some(("batch", name)) => Some(Key::JobBatch(name.to_string())),
            Some(("lent", id)) => Some(Key::JobLoans(JobId::new(id))),
            Some(("end", id)) => Some(Key::Outcome(JobId::new(id))),
            Some(("awaits", rest)) => {
                let (name, number) = rest.rsplit_once('/')?;
                Some(Key::DependencyListPart(name.to_string(), number.parse().ok()?))
            }
            Some(("zone", rest)) => {
                let (zone, shard) = rest.rsplit_once('/')?;
                Some(Key::ZoneView(zone.to_string(), shard.parse().ok()?))
            }
            Some(("zone-hold", zone)) => Some(Key::ZoneCordon(zone.to_string())),
            Some(("run", rest)) => {
                let (id, chunk) = rest.rsplit_once('/')?;
                Some(Key::RunChunk(JobId::new(id), chunk.parse().ok()?))
            }
            _ => None,
        }
    }
}
