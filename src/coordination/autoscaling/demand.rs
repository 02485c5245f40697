//! Demand of a shard: which waiting tasks find no capacity on its machines, and for which of them instances are created.

use crate::coordination::Controller;
use crate::coordination::autoscaling::bin_packing::{MachineCapacity, UnschedulableTasks, pack_tasks};
use crate::coordination::jobs::job::Job;
use crate::coordination::scheduling::quota::TeamQuota;
use crate::coordination::scheduling::zone_rules::TasksByZone;
use crate::protocol::user::{JobKind, Priority};
use crate::types::{Micros, Resources};
use std::collections::HashMap;

/// Estimates of a task's run time below this are taken for it, in seconds.
const MIN_ESTIMATE_S: f64 = 5.0;
/// A task that needs fewer CPUs counts with these, so that nothing is divided by zero.
const MIN_TASK_CPUS: f64 = 0.01;
/// One in so many preemptible tasks counts as spare capacity for services.
const PREEMPTIBLE_PER_SPARE: u64 = 2;

/// Batch work of a shard that waits.
#[derive(Default)]
struct BatchBacklog {
    cpu_seconds: f64,
    unschedulable: Vec<BacklogEntry>,
}

/// Tasks of an array that find no capacity now, and since when they could have run.
struct BacklogEntry {
    tasks: UnschedulableTasks,
    ready_at: Micros,
}

impl BatchBacklog {
    fn add(&mut self, job: &Job, task_count: u64) {
        self.cpu_seconds += task_count as f64 * job.spec.cpus * job.spec.estimated_runtime_s.max(MIN_ESTIMATE_S);
    }
}

/// What the teams use, with what the plan gives them, by team.
type PlannedUsage<'a> = HashMap<&'a str, Resources>;

impl Controller {
    /// Packs the waiting tasks of a shard into its machines, and adds to `unschedulable` what finds no capacity.
    pub(super) fn pack_waiting_jobs(
        &self,
        shard: u32,
        machines: &mut [MachineCapacity],
        unschedulable: &mut Vec<UnschedulableTasks>,
    ) {
        let jobs = self.open_jobs_by_urgency(shard);
        let mut backlog = BatchBacklog::default();
        let mut usage = self.usage_by_team(&jobs);
        for job in &jobs {
            let is_batch = job.spec.kind == JobKind::Array;
            let wanted = self.wanted_task_count(job, machines);
            let count = self.take_within_quota(job, wanted, &mut usage);
            // What the team's quota keeps back queues as well, and would be worked off sooner with more machines.
            if is_batch {
                backlog.add(job, wanted - count);
            }
            if count == 0 {
                continue;
            }
            let mut zones = self.tasks_by_usable_zone(job);
            let left = count - pack_tasks(&job.spec, count, machines, &mut zones);
            if left == 0 {
                continue;
            }
            let spec = (*job.spec).clone();
            let tasks = UnschedulableTasks { shard, spec, count: left, justifies_scale_out: true, zones };
            if is_batch {
                backlog.add(job, left);
                backlog.unschedulable.push(BacklogEntry { tasks, ready_at: job.ready_at });
            } else {
                unschedulable.push(tasks);
            }
        }
        unschedulable.extend(self.spare_demand(&jobs, shard, machines));
        unschedulable.extend(self.backlog_demand(backlog, &jobs));
    }

    /// The open jobs of a shard, but for those bound to a zone that takes no work.
    fn open_jobs_by_urgency(&self, shard: u32) -> Vec<&Job> {
        let has_zone = |job: &Job| job.spec.zone.as_ref().is_none_or(|zone| self.zone_takes_work(zone));
        let is_open =
            |job: &&Job| job.shard == shard && job.recording.has_record && job.outcome.is_none() && has_zone(job);
        let mut jobs: Vec<&Job> = self.jobs.values().filter(is_open).collect();
        jobs.sort_by_key(|job| (std::cmp::Reverse(job.urgency.priority), job.ready_at));
        jobs
    }

    /// What the teams of these jobs use now, without their displaced replicas.
    fn usage_by_team<'a>(&self, jobs: &[&'a Job]) -> PlannedUsage<'a> {
        let mut usage = PlannedUsage::new();
        for team in jobs.iter().filter_map(|job| job.spec.team.as_deref()) {
            usage.entry(team).or_insert_with(|| self.jobs.usage().used_by(team).minus(&self.displaced_resources(team)));
        }
        usage
    }

    /// How many of a job's tasks its team's quota allows, up to `wanted`. They count as used from now on.
    fn take_within_quota<'a>(&self, job: &'a Job, wanted: u64, usage: &mut PlannedUsage<'a>) -> u64 {
        let Some(team) = job.spec.team.as_deref() else { return wanted };
        let used = usage.entry(team).or_default();
        let count = wanted.min(self.tasks_within_quota(team, used, &job.resources));
        *used = used.plus(&job.resources.times(count));
        count
    }

    fn tasks_within_quota(&self, team: &str, used: &Resources, each: &Resources) -> u64 {
        let team = self.platform.deployment.team(team);
        team.map_or(u64::MAX, |team| TeamQuota::of_team(team).remaining_tasks(used, each))
    }

    /// Tasks of a job that need capacity. Replicas in lost zones need some elsewhere before they are proven gone:
    /// provisioning takes as long as the proof.
    fn wanted_task_count(&self, job: &Job, machines: &[MachineCapacity]) -> u64 {
        let displaced_count = self.zones.displaced_count(job.attempts.job());
        self.tasks_worth_capacity(job, machines) + u64::from(displaced_count)
    }

    /// Waiting tasks of a job that machines may be created or reassigned for. A job that fails wherever it runs gets one
    /// to be tried on if there is none at all that it may run on, and no other.
    fn tasks_worth_capacity(&self, job: &Job, machines: &[MachineCapacity]) -> u64 {
        if !job.is_failing() {
            return u64::from(job.waiting_count());
        }
        let need = job.spec.resources();
        let could_hold = |machine: &MachineCapacity| {
            let resources = machine.machine.as_ref().map_or(machine.free, |id| self.machine_resources(id));
            machine.is_allowed_for(&job.spec) && need.fits_in(&resources)
        };
        u64::from(job.waiting_count() > 0 && !machines.iter().any(could_hold))
    }

    /// Batch work may queue as long as what the shard has works it off in time; the rest justifies new instances. What
    /// has waited for a while none the less gets machines that others have no use for: no task should wait next to an
    /// idle machine.
    fn backlog_demand(&self, backlog: BatchBacklog, jobs: &[&Job]) -> Vec<UnschedulableTasks> {
        let drain_s = Micros::from_millis(self.policy.drain_ms).secs();
        let running_cpus: f64 = jobs
            .iter()
            .filter(|job| job.spec.kind == JobKind::Array)
            .map(|job| job.spec.cpus * f64::from(job.attempts.occupying_count()))
            .sum();
        let mut missing_cpus = backlog.cpu_seconds / drain_s - running_cpus;
        let min_wait = Micros::from_millis(self.policy.shift_waiting_ms);
        let mut demand = Vec::new();
        for BacklogEntry { mut tasks, ready_at } in backlog.unschedulable {
            let justified = (missing_cpus.max(0.0) / tasks.spec.cpus.max(MIN_TASK_CPUS)).ceil() as u64;
            let beyond = tasks.count.saturating_sub(justified);
            if beyond > 0 && self.clock.wall.since(ready_at) >= min_wait {
                demand.push(UnschedulableTasks { count: beyond, justifies_scale_out: false, ..tasks.clone() });
            }
            tasks.count -= beyond;
            missing_cpus -= tasks.count as f64 * tasks.spec.cpus;
            if tasks.count > 0 {
                demand.push(tasks);
            }
        }
        demand
    }

    /// Spare capacity for a few more tasks of the largest service, so that the next one starts at once: as far as neither
    /// the machines nor preemption can provide it.
    fn spare_demand(&self, jobs: &[&Job], shard: u32, machines: &mut [MachineCapacity]) -> Option<UnschedulableTasks> {
        let services = jobs.iter().filter(|job| job.spec.kind == JobKind::Service);
        let largest = services.max_by_key(|job| job.resources.cpus)?;
        let preemptible_cpus: u64 = jobs
            .iter()
            .filter(|job| job.spec.kind == JobKind::Array && job.spec.priority < Priority::High)
            .map(|job| job.resources.cpus * u64::from(job.attempts.occupying_count()))
            .sum();
        let preemptible_count = preemptible_cpus / largest.resources.cpus.max(1);
        let count = u64::from(self.policy.spare_tasks).saturating_sub(preemptible_count / PREEMPTIBLE_PER_SPARE);
        let mut spec = (*largest.spec).clone();
        spec.spread = false;
        spec.one_zone = false;
        let left = count - pack_tasks(&spec, count, machines, &mut TasksByZone::default());
        let zones = TasksByZone::default();
        (left > 0).then_some(UnschedulableTasks { shard, spec, count: left, justifies_scale_out: true, zones })
    }
}
