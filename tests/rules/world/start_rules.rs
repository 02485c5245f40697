//! Rules of the protocol about the start of a task, checked against the true state of all machines, which no controller
//! knows.

use super::World;
use super::agent::Agent;
use super::cloud::cpus_of;
use burlhatch::protocol::user::JobSpec;
use burlhatch::types::{JobId, MachineId};
use std::collections::BTreeMap;

/// Tolerance in comparisons of CPU amounts.
const ROUNDING: f64 = 1e-9;

/// Returns the CPUs that a team may use at the same time.
fn quota_of(team: &str) -> f64 {
    match team {
        "red" => 12.0,
        "blue" => 10.0,
        _ => f64::INFINITY,
    }
}

/// Returns whether the job may run on that machine, regardless of its other tasks.
fn allows(spec: &JobSpec, agent: &Agent) -> bool {
    spec.types.as_ref().is_none_or(|types| types.contains(&agent.machine_type))
        && spec.zone.as_ref().is_none_or(|zone| *zone == agent.zone)
        && (spec.spot || !agent.spot)
}

impl World {
    /// Checks all rules about a task's start as the task starts.
    pub(super) fn check_start(&mut self, id: &MachineId, key: &(JobId, u32)) {
        let Some(job) = self.jobs.get(&key.0) else {
            return self.report_violation(format!("a task of no job starts: {}/{}", key.0, key.1));
        };
        let spec = job.spec.clone();
        let mut found = Vec::new();
        found.extend(self.runs_twice(id, key));
        found.extend(self.starts_too_early(&spec, key));
        found.extend(self.starts_after_cancellation(id, key));
        let Some(agent) = self.agents.get(id) else { return };
        found.extend(self.is_in_wrong_place(&spec, agent, id, key));
        found.extend(self.exceeds_quota(&spec, key));
        for violation in found {
            self.report_violation(violation);
        }
    }

    fn runs_twice(&self, id: &MachineId, key: &(JobId, u32)) -> Option<String> {
        let (other, _) = self.agents.iter().find(|(other, agent)| *other != id && agent.on_machine(key))?;
        Some(format!("ran_twice: {}/{} runs on {other} and is started on {id}", key.0, key.1))
    }

    fn starts_too_early(&self, spec: &JobSpec, key: &(JobId, u32)) -> Option<String> {
        let undone = |before: &&JobId| self.jobs.get(*before).is_none_or(|job| job.done_tasks.iter().any(|done| !done));
        let before = spec.depends_on.iter().find(undone)?;
        Some(format!("too_early: {}/{} starts before {before} is done", key.0, key.1))
    }

    fn starts_after_cancellation(&self, id: &MachineId, key: &(JobId, u32)) -> Option<String> {
        let cancelled = self.jobs.get(&key.0)?.cancelled?;
        let is_late = self.now > cancelled + self.size.times.cancel;
        is_late.then(|| format!("ran_cancelled: {}/{} starts on {id}", key.0, key.1))
    }

    fn is_in_wrong_place(&self, spec: &JobSpec, agent: &Agent, id: &MachineId, key: &(JobId, u32)) -> Option<String> {
        let zones = self.tasks_by_zone(spec, id, key);
        let max_in_zone = spec.tasks.div_ceil(2);
        let is_spread = !spec.spread || zones.get(agent.zone.as_str()).copied().unwrap_or(0) <= max_in_zone;
        let is_together = !spec.one_zone || zones.len() <= 1;
        let is_right = allows(spec, agent) && is_spread && is_together;
        (!is_right).then(|| format!("wrong_place: {}/{} on {id} in {}: {zones:?}", key.0, key.1, agent.zone))
    }

    /// Returns the number of the job's tasks in each zone, or nothing if no rule depends on it: with thousands of
    /// machines, iterating over all of them at each start would take most of the run.
    fn tasks_by_zone(&self, spec: &JobSpec, id: &MachineId, key: &(JobId, u32)) -> BTreeMap<&str, u32> {
        let mut zones: BTreeMap<&str, u32> = BTreeMap::new();
        let is_relevant = spec.spread || spec.one_zone;
        for (other, agent) in self.agents.iter().filter(|_| is_relevant) {
            for task in agent.tasks.keys().filter(|task| task.0 == key.0 && (*task != key || other == id)) {
                if agent.on_machine(task) || (other == id && task == key) {
                    *zones.entry(&agent.zone).or_default() += 1;
                }
            }
        }
        zones
    }

    fn exceeds_quota(&self, spec: &JobSpec, key: &(JobId, u32)) -> Option<String> {
        let team = spec.team.as_ref()?;
        let quota = quota_of(team);
        if !quota.is_finite() {
            return None;
        }
        let mut used = 0.0;
        for agent in self.agents.values() {
            for task in agent.tasks.keys().filter(|task| agent.on_machine(task) || *task == key) {
                if let Some(job) = self.jobs.get(&task.0).filter(|job| job.spec.team.as_ref() == Some(team)) {
                    used += job.spec.cpus;
                }
            }
        }
        (used > quota + ROUNDING).then(|| format!("quota: team {team} uses {used}"))
    }

    /// Returns whether one more task of the job could run on some machine now, within the quota of its team.
    pub(super) fn could_run(&self, spec: &JobSpec) -> bool {
        let cpus_used_on = |agent: &Agent| -> f64 {
            agent.tasks.keys().filter_map(|task| self.jobs.get(&task.0)).map(|job| job.spec.cpus).sum()
        };
        let team = spec.team.as_deref().unwrap_or("");
        let used_by_team: f64 = self
            .agents
            .values()
            .flat_map(|agent| agent.tasks.keys())
            .filter_map(|task| self.jobs.get(&task.0))
            .filter(|job| job.spec.team.as_deref() == Some(team))
            .map(|job| job.spec.cpus)
            .sum();
        let fits = |agent: &Agent| cpus_used_on(agent) + spec.cpus <= cpus_of(&agent.machine_type) + ROUNDING;
        used_by_team + spec.cpus <= quota_of(team) + ROUNDING
            && self.agents.values().any(|agent| allows(spec, agent) && !agent.faulty && fits(agent))
    }

    /// Checks that no task of a cancelled job is on the machine after the time allowed for a cancellation.
    pub(super) fn check_cancelled_tasks(&mut self, id: &MachineId) {
        let is_overdue = |task: &&(JobId, u32)| {
            let cancelled = self.jobs.get(&task.0).and_then(|job| job.cancelled);
            cancelled.is_some_and(|at| self.now > at + self.size.times.cancel)
        };
        let Some(agent) = self.agents.get(id) else { return };
        let overdue = agent.tasks.keys().filter(|task| agent.on_machine(task)).filter(is_overdue);
        let found: Vec<String> =
            overdue.map(|task| format!("ran_cancelled: {}/{} is still on {id}", task.0, task.1)).collect();
        for violation in found {
            self.report_violation(violation);
        }
    }
}
