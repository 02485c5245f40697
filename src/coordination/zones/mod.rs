//! Zones as a whole: their conditions, evacuation of lost ones, gradual return, and replicas that move between them.
//!
//! Takes the package `burlhatch_zones` into the controller. Each holder of a shard judges zones by its own machines and
//! stores its view under its lease on the shard; from all views every controller derives the same conditions (see
//! `docs/zones.md`). Owns the zone tracker, the views being written, the displaced replicas and those that move. Reads the
//! replica of the store, the fleet, jobs and usage.
//!
//! Promises that nothing starts elsewhere before the old attempt is proven gone, and that no machine is deleted for its
//! zone before the controllers agree that the zone is lost. What else follows from a condition is decided where such work
//! is decided already: [`crate::coordination::scheduling`] asks which zones take work, and
//! [`crate::coordination::autoscaling`] plans around lost zones.

pub(crate) mod conditions;
pub(crate) mod evacuation;
mod evacuation_log;
pub(crate) mod gradual_return;
pub(crate) mod replica_moves;
mod replica_places;
pub(crate) mod restoration;
pub(crate) mod stored_views;

use crate::types::{JobId, Micros};
use burlhatch_zones::disruption::DisruptionBudget;
use burlhatch_zones::{Condition, ZoneTracker};
use evacuation_log::EvacuationLog;
use std::collections::{BTreeMap, BTreeSet};

/// A replica that was stopped to move to another zone.
struct MovingReplica {
    /// The zone that it leaves.
    from_zone: String,
    /// When it was told to stop.
    stopped_at: Micros,
}

/// What the controller knows about zones.
#[derive(Default)]
pub(crate) struct ZoneControl {
    tracker: ZoneTracker,
    next_evaluation_at: Micros,
    /// Views on their way to the store, by zone and shard.
    views_being_written: BTreeSet<(String, u32)>,
    /// Tasks of services on machines of lost zones, and replicas that move, by job.
    displaced_counts: BTreeMap<JobId, u32>,
    evacuation_log: EvacuationLog,
    disruption_budget: DisruptionBudget,
    moving_replicas: BTreeMap<JobId, MovingReplica>,
    /// Since when services had capacity only in zones that they had better avoid.
    avoiding_since: BTreeMap<JobId, Micros>,
    /// The job at which the last search for replicas to move ended.
    last_searched_job: Option<JobId>,
}

impl ZoneControl {
    /// Whether a zone takes any new work: operators did not cordon it, and it is not lost.
    fn takes_work(&self, zone: &str) -> bool {
        !self.tracker.is_cordoned(zone) && !self.is_lost(zone)
    }

    fn is_lost(&self, zone: &str) -> bool {
        self.tracker.condition(zone) == Condition::Lost
    }

    fn is_returning(&self, zone: &str) -> bool {
        self.tracker.condition(zone) == Condition::Returning
    }

    /// How many replicas of a job are displaced.
    pub(crate) fn displaced_count(&self, id: &JobId) -> u32 {
        self.displaced_counts.get(id).copied().unwrap_or(0)
    }

    /// Since when a service has had capacity only in zones that it avoids.
    fn avoiding_since(&mut self, id: &JobId, now: Micros) -> Micros {
        *self.avoiding_since.entry(id.clone()).or_insert(now)
    }

    /// A task of a service has found a machine.
    pub(crate) fn stop_avoiding(&mut self, id: &JobId) {
        self.avoiding_since.remove(id);
    }
}
