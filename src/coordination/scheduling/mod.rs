//! Scheduling: the order of jobs, the candidate machines of a task, placement and preemption.
//!
//! Owns the scheduling cycle: the jobs still to be looked at, and when the next cycle is due. Reads jobs, usage, the fleet,
//! the replica of the store and the conditions of zones. Promises that a gang starts whole or not at all, and that nothing
//! starts beyond its team's quota. Placement follows steps 1 to 6 of `docs/design.md`.

pub(crate) mod candidates;
pub(crate) mod cross_shard_preemption;
pub(crate) mod cycle;
pub(crate) mod fetch_limits;
pub(crate) mod job_order;
pub mod placement;
pub(crate) mod placement_rules;
pub(crate) mod preemption;
pub(crate) mod quota;
pub(crate) mod reservations;
pub(crate) mod shard_view;
pub(crate) mod zone_rules;

use crate::types::{JobId, Micros};
use std::collections::VecDeque;

/// The scheduling cycle: all waiting jobs are looked at once in order, over several rounds if time runs out.
#[derive(Default)]
pub(crate) struct Scheduling {
    /// Jobs still to be looked at in this cycle.
    queue: VecDeque<JobId>,
    cycle_started_at: Micros,
    is_cycle_requested: bool,
    is_urgent_cycle_requested: bool,
}

impl Scheduling {
    /// Something has changed that may let a waiting job start: a cycle begins when the interval since the last is over.
    pub(crate) fn request_cycle(&mut self) {
        self.is_cycle_requested = true;
    }

    /// Urgent work waits: a cycle begins as soon as the present one is over.
    pub(crate) fn request_urgent_cycle(&mut self) {
        self.is_urgent_cycle_requested = true;
    }

    /// Whether the present cycle has jobs left to look at.
    pub(crate) fn has_jobs_left(&self) -> bool {
        !self.queue.is_empty()
    }

    fn is_cycle_due(&self, now: Micros, min_interval: Micros) -> bool {
        self.is_urgent_cycle_requested || (self.is_cycle_requested && now.since(self.cycle_started_at) >= min_interval)
    }

    fn begin_cycle(&mut self, jobs: Vec<JobId>, now: Micros) {
        self.is_cycle_requested = false;
        self.is_urgent_cycle_requested = false;
        self.cycle_started_at = now;
        self.queue = jobs.into();
    }
}
