//! Jobs and their attempts, the dependency graph, cancellations, usage and quota.

pub(crate) mod cancellation_log;
pub(crate) mod cancellations;
pub mod dependency_graph;
pub(crate) mod dependency_records;
pub(crate) mod failures;
pub(crate) mod job;
pub mod usage;

use crate::types::JobId;
use std::collections::{BTreeMap, BTreeSet};

/// The jobs that this controller knows of, of all shards.
#[derive(Default)]
pub(crate) struct Jobs {
    pub(crate) by_id: BTreeMap<JobId, job::Job>,
    pub(crate) usage: usage::Usage,
    pub(crate) dependency_graph: dependency_graph::DependencyGraph,
    /// Jobs over because one that they need was cancelled, which their own keys don't say yet.
    pub(crate) cascaded: BTreeSet<JobId>,
    pub(crate) cancellations: cancellations::Cancellations,
    pub(crate) audit: cancellation_log::Audit,
}
