//! Jobs and their attempts, the dependency graph, cancellations, usage and quota.

pub(crate) mod cancellation_log;
pub(crate) mod cancellations;
pub mod dependency_graph;
pub(crate) mod dependency_records;
pub(crate) mod failures;
pub(crate) mod job;
pub mod usage;
