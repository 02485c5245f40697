//! Scheduling: the order of jobs, the candidate machines of a task, placement and preemption.
//!
//! Owns the scheduling cycle: the jobs left in the present cycle, and the time of the next one. Reads jobs, usage, the
//! fleet, the replica of the store and the conditions of zones. Guarantees that either all tasks of a gang start or
//! none, and that no task starts beyond its team's quota. Placement follows steps 1 to 6 of `docs/design.md`.

pub(crate) mod candidates;
pub(crate) mod cross_shard_preemption;
pub(crate) mod cycle;
pub(crate) mod fetch_limits;
pub(crate) mod job_order;
pub(crate) mod lending;
pub mod placement;
pub(crate) mod placement_rules;
pub(crate) mod preemption;
pub(crate) mod quota;
pub(crate) mod reservations;
pub(crate) mod service_consolidation;
pub(crate) mod shard_view;
pub(crate) mod zone_rules;

use crate::types::{JobId, Micros};
use std::collections::VecDeque;

/// State of the scheduling cycle, which processes each waiting job once, in order. If its time budget runs out, it
/// continues in the next round.
#[derive(Default)]
pub(crate) struct Scheduling {
    /// Jobs left in the present cycle.
    queue: VecDeque<JobId>,
    cycle_started_at: Micros,
    is_cycle_requested: bool,
    is_urgent_cycle_requested: bool,
    /// Time of the next search for tasks to be lent.
    next_lending_at: Micros,
}

impl Scheduling {
    /// Requests a cycle after a change that may let a waiting job start. It begins after the minimum interval since the
    /// start of the last cycle.
    pub(crate) fn request_cycle(&mut self) {
        self.is_cycle_requested = true;
    }

    /// Requests a cycle for urgent work. It begins as soon as the present cycle has ended.
    pub(crate) fn request_urgent_cycle(&mut self) {
        self.is_urgent_cycle_requested = true;
    }

    /// Returns whether the present cycle has jobs left.
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
