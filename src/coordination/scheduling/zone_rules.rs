//! A job's own rules for the zones of its tasks: all in one zone, or spread over several.

use crate::protocol::user::JobSpec;
use std::collections::BTreeMap;

/// Number of tasks of one job in each zone.
#[derive(Clone, Debug, Default)]
pub(crate) struct TasksByZone(BTreeMap<String, u64>);

impl TasksByZone {
    /// Adds tasks to the count of a zone.
    pub fn add(&mut self, zone: &str, task_count: u64) {
        *self.0.entry(zone.to_string()).or_default() += task_count;
    }

    /// Subtracts tasks from the count of a zone.
    pub fn remove(&mut self, zone: &str, task_count: u64) {
        let Some(count) = self.0.get_mut(zone) else { return };
        *count = count.saturating_sub(task_count);
        if *count == 0 {
            self.0.remove(zone);
        }
    }

    /// Removes the tasks in all zones for which `keep` returns false.
    pub fn retain_zones(&mut self, keep: impl Fn(&str) -> bool) {
        self.0.retain(|zone, _| keep(zone));
    }

    /// Returns how many more tasks the job's rules allow in a zone; `u64::MAX` if they set no limit.
    pub fn remaining_in(&self, spec: &JobSpec, zone: &str) -> u64 {
        if spec.one_zone && self.0.keys().any(|other| other != zone) {
            return 0;
        }
        if !spec.spread {
            return u64::MAX;
        }
        let max_in_zone = u64::from(spec.tasks.div_ceil(2));
        max_in_zone.saturating_sub(self.0.get(zone).copied().unwrap_or(0))
    }
}
