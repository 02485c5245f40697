//! Zones that fail and come back.
//!
//! A zone groups machines that may be lost together. This package decides in which [`Condition`] each zone is, and what
//! follows from it: which work is restored first ([`restoration_order`]), how many image fetches run at once
//! ([`fetches`]), how fast a zone that came back gets work again ([`ramp`]), how long one that fails again and again is
//! not trusted ([`damping`]), and which replicas move to another zone without need ([`rebalance`], within a
//! [`disruption`] budget).
//!
//! Pure: time and observations come in, decisions go out. There is no I/O, no clock and no randomness, so that equal
//! inputs give equal decisions. [`ZoneTracker`] is the entry point; it keeps its counts by single changes, and an
//! evaluation costs work by the number of zones and shards, not of machines.

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
