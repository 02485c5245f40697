//! burlhatch: a cluster scheduler run by a few equal controllers.
//!
//! The layers, from the outside in:
//!
//! * [`transport`]: sockets, HTTP, calls to services and siblings, and the main loop;
//! * [`protocol`]: the messages as they look on the wire and what makes them valid;
//! * [`coordination`]: the controller's state machine, which decides who owns what and what runs where; pure, without
//!   I/O or clock;
//! * [`storage`]: the schema of the stored records and the replica of them.
//!
//! [`settings`] are read once, at the start. [`types`] is a package of its own, shared by all.

pub mod coordination;
pub mod protocol;
pub mod settings;
pub mod storage;
pub mod transport;

pub use burlhatch_types as types;
