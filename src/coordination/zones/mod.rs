//! Handling of whole zones: their conditions, evacuation of lost zones, gradual return, and moves of replicas between
//! zones.
//!
//! Integrates the crate `burlhatch_zones` into the controller. Each holder of a shard evaluates zones by its own
//! machines and stores its view on the precondition that it holds the shard; from all views every controller derives
//! the same conditions (see `docs/zones.md`). Owns the zone tracker, the views being written, the displaced replicas
//! and the replicas being moved. Reads the replica of the store, the fleet, jobs and usage.
//!
//! Guarantees that no task starts elsewhere before its old attempt is proven absent, and that no machine is deleted
//! because of its zone before the controllers agree that the zone is lost. Other modules apply the conditions in their
//! own decisions: [`crate::coordination::scheduling`] asks which zones accept work, and
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
    /// Time at which its stop was decided.
    stopped_at: Micros,
}

/// The controller's state of zone handling.
#[derive(Default)]
pub(crate) struct ZoneControl {
    tracker: ZoneTracker,
    next_evaluation_at: Micros,
    /// Views whose writes to the store are in flight, by zone and shard.
    views_being_written: BTreeSet<(String, u32)>,
    /// Numbers of service tasks on machines of lost zones and of replicas being moved, by job.
    displaced_counts: BTreeMap<JobId, u32>,
    evacuation_log: EvacuationLog,
    disruption_budget: DisruptionBudget,
    moving_replicas: BTreeMap<JobId, MovingReplica>,
    /// Time since which a service has found capacity only in zones that it should avoid.
    avoiding_since: BTreeMap<JobId, Micros>,
    /// Job at which the last search for replicas to move ended.
    last_searched_job: Option<JobId>,
}

impl ZoneControl {
    /// Whether a zone accepts new work: it is neither cordoned by operators nor lost.
    fn takes_work(&self, zone: &str) -> bool {
        !self.tracker.is_cordoned(zone) && !self.is_lost(zone)
    }

    fn is_lost(&self, zone: &str) -> bool {
        self.tracker.condition(zone) == Condition::Lost
    }

    fn is_returning(&self, zone: &str) -> bool {
        self.tracker.condition(zone) == Condition::Returning
    }

    /// Returns the number of displaced replicas of a job.
    pub(crate) fn displaced_count(&self, id: &JobId) -> u32 {
        self.displaced_counts.get(id).copied().unwrap_or(0)
    }

    /// Returns the time since which a service has found capacity only in zones that it should avoid, starting at `now`
    /// if none is recorded.
    fn avoiding_since(&mut self, id: &JobId, now: Micros) -> Micros {
        *self.avoiding_since.entry(id.clone()).or_insert(now)
    }

    /// Clears the time returned by `avoiding_since` after a task of the service was placed.
    pub(crate) fn stop_avoiding(&mut self, id: &JobId) {
        self.avoiding_since.remove(id);
    }
}
