//! Runs controllers as real processes on loopback, among stand-ins for the store, the cloud and machines with their
//! agents. Simulated users submit jobs, faults are injected, and the recorded history of the run is checked.
//!
//! The stand-ins implement the protocol as far as the scenarios need it. Each run uses its own ports, kills only its
//! own processes by their ids, and waits for conditions instead of fixed times.

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
