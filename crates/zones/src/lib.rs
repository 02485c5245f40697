//! Failure and recovery of zones.
//!
//! A zone is a failure domain: a group of machines that may be lost together. This crate determines the [`Condition`]
//! of each zone and makes the decisions that depend on it: the order in which waiting jobs are restored
//! ([`restoration_order`]), the number of concurrent image fetches ([`fetches`]), the rate at which a recovered zone
//! gets work again ([`ramp`]), the time for which a zone that fails repeatedly is not trusted ([`damping`]), and
//! voluntary moves of replicas to another zone ([`rebalance`], within a [`disruption`] budget).
//!
//! The crate is deterministic: callers pass in the time and all observations, and equal inputs give equal decisions.
//! It does no I/O, reads no clock and uses no randomness. [`ZoneTracker`] is the entry point. It updates its counts
//! incrementally, so the cost of an evaluation grows with the number of zones and shards, not of machines.

pub mod condition;
pub mod damping;
pub mod disruption;
pub mod fetches;
pub mod machine_counts;
pub mod ramp;
pub mod rebalance;
pub mod record;
pub mod restoration_order;
pub mod settings;
mod tracker;

pub use condition::{Condition, Evidence, Transition};
pub use machine_counts::{Liveness, LivenessCounts, MachineCounts};
pub use record::ZoneRecord;
pub use settings::{SettingsError, ZoneSettings};
pub use tracker::{Moment, OutdatedRecord, ZoneTracker};
