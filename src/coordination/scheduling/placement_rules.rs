//! A job's own rules for the placement of one more task: machine types, zone, and the zones of its other tasks.

use crate::coordination::Controller;
use crate::coordination::jobs::job::Job;
use crate::coordination::scheduling::shard_view::CandidateMachine;
use crate::coordination::scheduling::zone_rules::TasksByZone;
use crate::protocol::user::JobSpec;

/// A job's own placement rules, with the zones of its other tasks.
pub(crate) struct PlacementRules<'a> {
    spec: &'a JobSpec,
    only_zone: Option<&'a str>,
    tasks_by_zone: TasksByZone,
}

impl PlacementRules<'_> {
    /// Returns whether one more task may be placed on a machine.
    pub fn allow(&self, machine: &CandidateMachine) -> bool {
        self.spec.allows(&machine.machine_type, &machine.zone, machine.spot)
            && self.only_zone.is_none_or(|zone| zone == machine.zone)
            && self.tasks_by_zone.remaining_in(self.spec, &machine.zone) > 0
    }

    /// Counts one more task in a zone.
    pub fn add_task_in(&mut self, zone: &str) {
        self.tasks_by_zone.add(zone, 1);
    }

    /// Removes one task from the count of a zone.
    pub fn remove_task_in(&mut self, zone: &str) {
        self.tasks_by_zone.remove(zone, 1);
    }
}

impl Controller {
    /// Returns a job's rules for one more task, restricted to `only_zone` if that is given.
    pub(crate) fn placement_rules<'a>(&self, job: &'a Job, only_zone: Option<&'a str>) -> PlacementRules<'a> {
        PlacementRules { spec: &job.spec, only_zone, tasks_by_zone: self.tasks_by_zone(job) }
    }

    /// Returns a job's rules for one more task, without its tasks in zones that take no work, as these are to leave
    /// those zones.
    pub(crate) fn placement_rules_beyond_lost_zones<'a>(&self, job: &'a Job) -> PlacementRules<'a> {
        PlacementRules { spec: &job.spec, only_zone: None, tasks_by_zone: self.tasks_by_usable_zone(job) }
    }

    /// Returns the number of a job's tasks by zone, or nothing if its rules don't depend on the zones of its other
    /// tasks. Every attempt that occupies resources counts, including those that write a checkpoint or are on
    /// unreachable machines.
    fn tasks_by_zone(&self, job: &Job) -> TasksByZone {
        let mut by_zone = TasksByZone::default();
        if job.spec.one_zone || job.spec.spread {
            for attempt in job.attempts.values().filter(|attempt| attempt.occupies_resources()) {
                if let Some(record) = self.store.replica.machines.get(attempt.machine()) {
                    by_zone.add(&record.value.zone, 1);
                }
            }
        }
        by_zone
    }

    /// Returns the same numbers without the zones that take no work.
    pub(crate) fn tasks_by_usable_zone(&self, job: &Job) -> TasksByZone {
        let mut by_zone = self.tasks_by_zone(job);
        by_zone.retain_zones(|zone| self.zone_takes_work(zone));
        by_zone
    }
}
