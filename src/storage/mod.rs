//! What is kept in the store, how its keys and values look, and the replica every
//! controller holds of it.

pub mod replica;
pub mod schema;

pub use replica::{Change, Replica, Versioned};
pub use schema::{Key, MachineRecord, Outcome, Role, RoleRecord, RunChunk, StartRecord};
