//! Detection of failed machines: expired leases, probes, and the decision to replace a machine.
//!
//! A machine is replaced when it is silent ([`silent_machines`]), when it receives nothing though its heartbeats arrive
//! ([`unreachable_machines`]), or when its heartbeats don't arrive though it answers ([`missing_heartbeats`]). Each of
//! these checks first rules out that many machines fail together, as then this controller, its network or a zone is at
//! fault.

pub(super) mod correlated_failures;
mod lease_expiry;
mod missing_heartbeats;
pub(super) mod probe_budget;
mod probes;
mod silent_machines;
mod unreachable_machines;

pub(super) use lease_expiry::{ExpiryMargin, MAX_CLOCK_DRIFT};
