//! burlhatch: a cluster scheduler run by a few equal controllers.
//!
//! The layers, from the outside in:
//!
//! * [`transport`]: sockets, HTTP, peer links and the limits a client keeps;
//! * [`protocol`]: the messages as they look on the wire and what makes them valid;
//! * [`coordination`]: who owns what, what runs where; pure, without I/O or clock;
//! * [`storage`]: what is kept in the store and the replica of it.
//!
//! Packages of their own under `crates/`: [`types`], the types that all share.

pub mod coordination;
pub mod protocol;
pub mod settings;
pub mod storage;
pub mod transport;

pub use burlhatch_types as types;
