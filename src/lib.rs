//! burlhatch: a cluster scheduler run by several controllers of equal rank.
//!
//! The layers, from the outside in:
//!
//! * [`transport`]: sockets, HTTP, calls to services and siblings, and the main loop;
//! * [`protocol`]: the wire formats of messages and their validation;
//! * [`coordination`]: the controller's state machine, which decides on ownership of shards and machines and on the
//!   placement of tasks; it performs no I/O and reads no clock;
//! * [`storage`]: the schema of the stored records and a replica of them.
//!
//! [`settings`] are read once at startup. [`types`] is a separate package that all packages share.

pub mod coordination;
pub mod protocol;
pub mod settings;
pub mod storage;
pub mod transport;

pub use burlhatch_types as types;
