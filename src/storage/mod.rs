//! What is kept in the store: the form of its keys and values, and the replica that every controller holds of it.

pub mod replica;
pub mod schema;

pub use replica::{Change, Replica, Versioned};
pub use schema::{Key, MachineRecord, Outcome, Role, RoleRecord, RunChunk, TaskAttemptRecord};
