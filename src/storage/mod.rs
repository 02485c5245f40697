//! Stored data: the schema of the store's keys and values, and each controller's replica of the store.

pub mod replica;
pub mod schema;

pub use replica::{Change, Replica, Versioned};
pub use schema::{Key, MachineRecord, Outcome, Role, RoleRecord, RunChunk, TaskAttemptRecord};
