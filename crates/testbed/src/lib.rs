//! Everything around the controllers, on loopback: stand-ins for the store, the cloud and machines with their agents,
//! simulated users, injected faults, and a checker of what happened. The controllers are real processes of the built
//! program.
//!
//! The stand-ins implement the protocol as far as the scenarios need it. Each run has ports of its own, ends its own
//! processes by their ids, and waits for conditions, never for fixed times.

pub mod agent;
pub mod cloud;
pub mod cluster;
pub mod faults;
pub mod history;
mod http;
pub mod listener;
pub mod network_proxy;
pub mod report;
pub mod scenarios;
pub mod soak;
pub mod store;
pub mod users;
