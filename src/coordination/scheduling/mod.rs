//! Order of jobs, candidate machines, placement and preemption.

pub mod placement;
pub(crate) mod preemption;
pub(crate) mod reclaim;
pub(crate) mod scheduling_order;
pub(crate) mod shard_view;

use crate::types::{JobId, Micros};
use std::collections::VecDeque;

/// The scheduling cycle: one look over all jobs that wait, perhaps over several rounds.
#[derive(Default)]
pub(crate) struct Scheduling {
    /// Jobs still to be looked at in this cycle.
    pub(crate) queue: VecDeque<JobId>,
    pub(crate) cycle_wanted: bool,
    pub(crate) cycle_started_at: Micros,
    /// Something urgent has come since the last cycle began.
    pub(crate) urgent_cycle_wanted: bool,
}
