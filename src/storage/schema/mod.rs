//! Keys and values of the stored records, by subject.
//!
//! The stored forms must not change, because records of earlier versions are read, and controllers of different
//! versions run side by side. The field names in values are short, because the sizes of values and writes are limited;
//! `serde(rename)` maps them to the names of the Rust fields.

mod controllers;
mod jobs;
mod keys;
mod loans;
mod machines;
mod outcomes;
mod task_attempts;
mod zones;

pub use controllers::{ControllerRecord, RecordVersion, Role, RoleRecord};
pub use jobs::{DependencyListParts, JobBatchMember, JobRecord};
pub use keys::{Key, ROOT};
pub use loans::{TaskLoan, TaskLoans};
pub use machines::{CordonReason, MachineBatchMember, MachineRecord};
pub use outcomes::{Outcome, OutcomeRecord};
pub use task_attempts::{RunChunk, TaskAttemptRecord, chunk_tasks};
pub use zones::{ZoneCordonRecord, is_zone_storable};

use ciborium::Value;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Converts a record to its stored form.
pub fn to_value<T: Serialize>(value: &T) -> Value {
    // The conversion never fails, because the records contain only text keys and plain numbers.
    Value::serialized(value).unwrap_or(Value::Null)
}

/// Parses a stored record. Returns `None` if it has another form.
pub fn from_value<T: DeserializeOwned>(value: &Value) -> Option<T> {
    value.deserialized().ok()
}
