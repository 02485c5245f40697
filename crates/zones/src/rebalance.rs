//! Replicas that move to another zone without need: after a loss all replicas of a service may have ended up in one
//! zone, and a zone that is held for maintenance is to be emptied.

use crate::disruption::DisruptionBudget;
use crate::settings::ZoneSettings;
use burlhatch_types::{JobId, Micros};
use std::collections::BTreeMap;

/// Where the replicas of a service run.
#[derive(Clone, Debug, PartialEq)]
pub struct Replicas {
    /// The service.
    pub job: JobId,
    /// Replicas at work, by zone.
    pub at_work: BTreeMap<String, Vec<u32>>,
    /// Whether all of its replicas are at work and none is being stopped. Only then one may be moved.
    pub is_whole: bool,
}

impl Replicas {
    /// The zone that holds all replicas, if there are several and one zone does.
    fn gathered_in(&self) -> Option<(&str, u32)> {
        let (zone, tasks) = self.at_work.first_key_value()?;
        let last = tasks.last()?;
        (self.at_work.len() == 1 && tasks.len() > 1).then_some((zone.as_str(), *last))
    }

    /// A replica in one of these zones.
    fn in_any(&self, zones: &dyn Fn(&str) -> bool) -> Option<(&str, u32)> {
        let (zone, tasks) = self.at_work.iter().find(|(zone, tasks)| zones(zone) && !tasks.is_empty())?;
        Some((zone.as_str(), *tasks.last()?))
    }
}

/// One replica to be moved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The service.
    pub job: JobId,
    /// The replica.
    pub task: u32,
    /// The zone that it leaves.
    pub from: String,
}

/// Which replica of a service is to move, if one may. `has_place`: whether a place outside that zone is ready, with the
/// image, so that the service is without it only for a moment.
pub fn wanted_move(
    replicas: &Replicas,
    is_held: &dyn Fn(&str) -> bool,
    has_place: &dyn Fn(&str) -> bool,
    budget: &mut DisruptionBudget,
    now: Micros,
    settings: &ZoneSettings,
) -> Option<Move> {
    if !replicas.is_whole {
        return None;
    }
    let gathered = || replicas.gathered_in().filter(|_| settings.rebalance);
    let (zone, task) = replicas.in_any(is_held).or_else(gathered)?;
    if !budget.allows(&replicas.job, now, settings) || !has_place(zone) {
        return None;
    }
    budget.spend(&replicas.job, now, settings);
    Some(Move { job: replicas.job.clone(), task, from: zone.to_string() })
}
