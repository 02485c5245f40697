//! Resources in use: the sums over all attempts for each machine and each team.
//!
//! Only [`JobAttempts`](super::job_attempts::JobAttempts) changes the sums, whenever it adds or removes an attempt or
//! changes its state, so that the sums always match the attempts.

use crate::coordination::jobs::job_attempts::AttemptClass;
use crate::types::{JobId, MachineId, Resources, TaskId};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// The recorded and decided attempts on one machine, and the resources that they take.
#[derive(Debug, Default, PartialEq)]
pub struct MachineUsage {
    attempts: BTreeSet<TaskId>,
    /// Number of attempts of each job that no heartbeat has reported yet, for jobs with any.
    unreported: BTreeMap<JobId, u32>,
    resources: Resources,
    occupying_count: u32,
    service_count: u32,
    low_priority_array_count: u32,
}

impl MachineUsage {
    /// Iterates over the attempts on the machine, ordered by job and task.
    pub fn attempts(&self) -> impl Iterator<Item = &TaskId> {
        self.attempts.iter()
    }

    fn has_only_low_priority_arrays(&self) -> bool {
        self.low_priority_array_count > 0 && self.low_priority_array_count == self.occupying_count
    }
}

/// Sums over the attempts of all jobs.
#[derive(Debug, Default)]
pub struct Usage {
    machines: HashMap<MachineId, MachineUsage>,
    teams: HashMap<String, Resources>,
    low_priority_array_count: u32,
    changed_jobs: BTreeSet<JobId>,
}

impl Usage {
    /// Returns the usage of a machine; `None` if it has no attempts.
    pub fn on_machine(&self, machine: &MachineId) -> Option<&MachineUsage> {
        self.machines.get(machine)
    }

    /// Iterates over the attempts on a machine, ordered by job and task.
    pub fn iter_attempts_on(&self, machine: &MachineId) -> impl Iterator<Item = &TaskId> {
        self.machines.get(machine).into_iter().flat_map(MachineUsage::attempts)
    }

    /// Iterates over the jobs with an attempt on the machine that no heartbeat has reported yet, in the order of their ids.
    pub fn iter_unreported_jobs_on(&self, machine: &MachineId) -> impl Iterator<Item = &JobId> {
        self.machines.get(machine).into_iter().flat_map(|usage| usage.unreported.keys())
    }

    /// Returns a copy of the list of attempts on a machine, for loops that change the attempts.
    pub fn attempts_on(&self, machine: &MachineId) -> Vec<TaskId> {
        self.machines.get(machine).map(|usage| usage.attempts.iter().cloned().collect()).unwrap_or_default()
    }

    /// Whether the machine has no attempts.
    pub fn is_empty(&self, machine: &MachineId) -> bool {
        self.machines.get(machine).is_none_or(|usage| usage.attempts.is_empty())
    }

    /// Whether any attempt takes resources on the machine.
    pub fn is_busy(&self, machine: &MachineId) -> bool {
        self.machines.get(machine).is_some_and(|usage| usage.occupying_count > 0)
    }

    /// Whether an attempt of a service takes resources on the machine.
    pub fn runs_service_on(&self, machine: &MachineId) -> bool {
        self.machines.get(machine).is_some_and(|usage| usage.service_count > 0)
    }

    /// Whether any attempt takes resources on the machine, and all that do belong to array jobs of the lowest priority.
    pub fn has_only_low_priority_arrays(&self, machine: &MachineId) -> bool {
        self.machines.get(machine).is_some_and(MachineUsage::has_only_low_priority_arrays)
    }

    /// Returns the resources in use on a machine.
    pub fn used_on(&self, machine: &MachineId) -> Resources {
        self.machines.get(machine).map(|usage| usage.resources).unwrap_or_default()
    }

    /// Returns the resources that a team uses, which count against its quota.
    pub fn used_by(&self, team: &str) -> Resources {
        self.teams.get(team).copied().unwrap_or_default()
    }

    /// Returns the number of attempts of low-priority array jobs that take resources, over all machines.
    pub fn low_priority_array_count(&self) -> u32 {
        self.low_priority_array_count
    }

    /// Returns the jobs whose attempts changed since their records were last found up to date.
    pub(super) fn changed_jobs(&self) -> &BTreeSet<JobId> {
        &self.changed_jobs
    }

    pub(super) fn mark_changed(&mut self, job: &JobId) {
        self.changed_jobs.insert(job.clone());
    }

    pub(super) fn mark_unchanged(&mut self, job: &JobId) {
        self.changed_jobs.remove(job);
    }

    /// Counts an attempt that no heartbeat has reported yet.
    pub(super) fn add_unreported(&mut self, machine: &MachineId, job: &JobId) {
        let usage = self.machines.entry(machine.clone()).or_default();
        *usage.unreported.entry(job.clone()).or_default() += 1;
    }

    /// Subtracts an attempt that was reported or removed.
    pub(super) fn remove_unreported(&mut self, machine: &MachineId, job: &JobId) {
        let Some(usage) = self.machines.get_mut(machine) else { return };
        let Some(count) = usage.unreported.get_mut(job) else { return };
        *count -= 1;
        if *count == 0 {
            usage.unreported.remove(job);
        }
    }

    pub(super) fn add_attempt(&mut self, machine: &MachineId, task: TaskId) {
        self.machines.entry(machine.clone()).or_default().attempts.insert(task);
    }

    pub(super) fn remove_attempt(&mut self, machine: &MachineId, task: &TaskId) {
        let Some(usage) = self.machines.get_mut(machine) else { return };
        usage.attempts.remove(task);
        if usage.attempts.is_empty() {
            self.machines.remove(machine);
        }
    }

    /// Adds an attempt of the class that takes resources to the sums of the machine and the team.
    pub(super) fn occupy(&mut self, class: &AttemptClass, machine: &MachineId) {
        let usage = self.machines.entry(machine.clone()).or_default();
        usage.resources = usage.resources.plus(&class.resources);
        usage.occupying_count += 1;
        usage.service_count += u32::from(class.is_service);
        usage.low_priority_array_count += u32::from(class.is_low_priority_array);
        self.low_priority_array_count += u32::from(class.is_low_priority_array);
        if let Some(team) = &class.team {
            self.change_team(team, |used| used.plus(&class.resources));
        }
    }

    /// Subtracts an attempt of the class that no longer takes resources from the sums of the machine and the team.
    pub(super) fn release(&mut self, class: &AttemptClass, machine: &MachineId) {
        let usage = self.machines.entry(machine.clone()).or_default();
        usage.resources = usage.resources.minus(&class.resources);
        usage.occupying_count -= 1;
        usage.service_count -= u32::from(class.is_service);
        usage.low_priority_array_count -= u32::from(class.is_low_priority_array);
        self.low_priority_array_count -= u32::from(class.is_low_priority_array);
        if let Some(team) = &class.team {
            self.change_team(team, |used| used.minus(&class.resources));
        }
    }

    fn change_team(&mut self, team: &str, change: impl Fn(&Resources) -> Resources) {
        match self.teams.get_mut(team) {
            Some(used) => *used = change(used),
            None => {
                self.teams.insert(team.to_owned(), change(&Resources::default()));
            }
        }
    }
}
