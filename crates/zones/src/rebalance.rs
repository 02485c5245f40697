//! Replicas that move to another zone without need: after a loss all replicas of a service may have ended up in one
//! zone, and a zone that is cordoned for maintenance is to be drained.

use crate::disruption::DisruptionBudget;
use crate::settings::ZoneSettings;
use burlhatch_types::{JobId, Micros};
use std::collections::BTreeMap;

/// Where the replicas of a service run.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceReplicas {
    /// The service.
    pub job: JobId,
    /// The replicas that run, by zone.
    pub running_by_zone: BTreeMap<String, Vec<u32>>,
    /// Whether all of its replicas run and none is being stopped. Only then one may be moved.
    pub is_complete: bool,
}

impl ServiceReplicas {
    /// The zone that holds all replicas, if there are several and one zone does.
    fn in_sole_zone(&self) -> Option<(&str, u32)> {
        let (zone, tasks) = self.running_by_zone.first_key_value()?;
        let last = tasks.last()?;
        (self.running_by_zone.len() == 1 && tasks.len() > 1).then_some((zone.as_str(), *last))
    }

    /// A replica in one of these zones.
    fn in_any(&self, zones: &dyn Fn(&str) -> bool) -> Option<(&str, u32)> {
        let (zone, tasks) = self.running_by_zone.iter().find(|(zone, tasks)| zones(zone) && !tasks.is_empty())?;
        Some((zone.as_str(), *tasks.last()?))
    }
}

/// One replica to be moved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaMove {
    /// The service.
    pub job: JobId,
    /// The replica.
    pub task: u32,
    /// The zone that it leaves.
    pub from_zone: String,
}

/// Which replica of a service is to move, if one may. `has_place`: whether a machine outside that zone has capacity and
/// the image, so that the service is without the replica only for a moment.
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
