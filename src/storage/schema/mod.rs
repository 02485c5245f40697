//! Keys and values of the stored records, by subject.
//!
//! Stored forms stay as they are: records of earlier versions are read, and controllers of different versions work side
//! by side. Value field names are short, because values are bounded and so are writes; they are mapped to Rust names
//! once, by `serde(rename)`.

mod controllers;
mod jobs;
mod keys;
mod machines;
mod outcomes;
mod task_attempts;
mod zones;

pub use controllers::{ControllerRecord, RecordVersion, Role, RoleRecord};
pub use jobs::{DependencyListParts, JobBatchMember, JobRecord};
pub use keys::{Key, ROOT};
pub use machines::{CordonReason, MachineBatchMember, MachineRecord};
pub use outcomes::{Outcome, OutcomeRecord};
pub use task_attempts::{RunChunk, TaskAttemptRecord, chunk_tasks};
pub use zones::{ZoneCordonRecord, is_zone_storable};

use ciborium::Value;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// A record as it is stored.
pub fn to_value<T: Serialize>(value: &T) -> Value {
    // Our records hold text keys and plain numbers only, which always convert.
    Value::serialized(value).unwrap_or(Value::Null)
}

/// Reads a stored record; nothing if it has another form.
pub fn from_value<T: DeserializeOwned>(value: &Value) -> Option<T> {
    value.deserialized().ok()
}
