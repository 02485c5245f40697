//! Voluntary moves of replicas to another zone: all replicas of a service may have ended up in one zone after the loss
//! of another, and a zone that is cordoned for maintenance is to be drained.

use crate::disruption::DisruptionBudget;
use crate::settings::ZoneSettings;
use burlhatch_types::{JobId, Micros};
use std::collections::BTreeMap;

/// The placement of the replicas of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceReplicas {
    /// The service.
    pub job: JobId,
    /// The running replicas, by zone.
    pub running_by_zone: BTreeMap<String, Vec<u32>>,
    /// Whether all of its replicas run and none is being stopped, which is required for a move.
    pub is_complete: bool,
}

impl ServiceReplicas {
    /// Returns the only zone with replicas and its last replica, if there are several replicas and all run in one zone.
    fn in_sole_zone(&self) -> Option<(&str, u32)> {
        let (zone, tasks) = self.running_by_zone.first_key_value()?;
        let last = tasks.last()?;
        (self.running_by_zone.len() == 1 && tasks.len() > 1).then_some((zone.as_str(), *last))
    }

    /// Returns the last replica in the first zone that `zones` accepts, with the zone's name.
    fn in_any(&self, zones: &dyn Fn(&str) -> bool) -> Option<(&str, u32)> {
        let (zone, tasks) = self.running_by_zone.iter().find(|(zone, tasks)| zones(zone) && !tasks.is_empty())?;
        Some((zone.as_str(), *tasks.last()?))
    }
}

/// The move of one replica out of its zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaMove {
    /// The service.
    pub job: JobId,
    /// The replica.
    pub task: u32,
    /// The zone that the replica leaves.
    pub from_zone: String,
}

/// Chooses a replica of a service to move, if a move is needed and allowed. `has_place` tells whether a machine outside
/// the given zone is ready for the replica, so that the service misses it only briefly.
pub fn plan_move(
    replicas: &ServiceReplicas,
    is_cordoned: &dyn Fn(&str) -> bool,
    has_place: &dyn Fn(&str) -> bool,
    budget: &mut DisruptionBudget,
    now: Micros,
    settings: &ZoneSettings,
) -> Option<ReplicaMove> {
    if !replicas.is_complete {
        return None;
    }
    let in_sole_zone = || replicas.in_sole_zone().filter(|_| settings.rebalance);
    let (zone, task) = replicas.in_any(is_cordoned).or_else(in_sole_zone)?;
    if !budget.allows(&replicas.job, now, settings) || !has_place(zone) {
        return None;
    }
    budget.spend(&replicas.job, now, settings);
    Some(ReplicaMove { job: replicas.job.clone(), task, from_zone: zone.to_string() })
}
