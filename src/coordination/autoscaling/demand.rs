//! Demand of a shard: waiting tasks that find no capacity on its machines, and which of them justify new instances.

use crate::coordination::Controller;
use crate::coordination::autoscaling::bin_packing::{MachineCapacity, UnschedulableTasks, pack_tasks};
use crate::coordination::jobs::job::Job;
use crate::coordination::scheduling::quota::TeamQuota;
use crate::coordination::scheduling::zone_rules::TasksByZone;
use crate::protocol::user::{JobKind, Priority};
use crate::types::{Micros, Resources};
use std::collections::HashMap;

/// Lower bound for estimates of a task's run time, in seconds.
const MIN_ESTIMATE_S: f64 = 5.0;
/// Lower bound for the CPUs of a task, to avoid a division by zero.
const MIN_TASK_CPUS: f64 = 0.01;
/// Number of preemptible tasks that count as spare capacity for one task of a service.
const PREEMPTIBLE_PER_SPARE: u64 = 2;

/// Waiting batch work of a shard.
#[derive(Default)]
struct BatchBacklog {
    cpu_seconds: f64,
    unschedulable: Vec<BacklogEntry>,
}

/// Tasks of a job array that find no capacity now, and the time since which they could have run.
struct BacklogEntry {
    tasks: UnschedulableTasks,
    ready_at: Micros,
}

impl BatchBacklog {
    fn add(&mut self, job: &Job, task_count: u64) {
        self.cpu_seconds += task_count as f64 * job.spec.cpus * job.spec.estimated_runtime_s.max(MIN_ESTIMATE_S);
    }
}

/// Resources by team that are in use or given to the team by the plan.
type PlannedUsage<'a> = HashMap<&'a str, Resources>;

impl Controller {
    /// Packs the waiting tasks of a shard and its spare capacity into its machines, and adds to `unschedulable` what finds
    /// no capacity.
    pub(super) fn pack_waiting_jobs(
        &self,
        shard: u32,
        machines: &mut [MachineCapacity],
        unschedulable: &mut Vec<UnschedulableTasks>,
    ) {
        let jobs = self.open_jobs_by_urgency(shard);
        let backlog = self.pack_jobs(&jobs, shard, machines, unschedulable);
        unschedulable.extend(self.spare_demand(&jobs, shard, machines));
        unschedulable.extend(self.backlog_demand(backlog, &jobs));
    }

    /// Returns the capacity of a shard's machines that its waiting tasks leave free.
    pub(crate) fn capacity_beside_waiting_jobs(&self, shard: u32) -> Vec<MachineCapacity> {
        let mut machines = self.capacity_of_shard(shard);
        self.pack_jobs(&self.open_jobs_by_urgency(shard), shard, &mut machines, &mut Vec::new());
        machines
    }

    /// Packs the waiting tasks of a shard's jobs into its machines. Adds to `unschedulable` the tasks of gangs and services
    /// that find no capacity, and returns the batch backlog.
    fn pack_jobs(
        &self,
        jobs: &[&Job],
        shard: u32,
        machines: &mut [MachineCapacity],
        unschedulable: &mut Vec<UnschedulableTasks>,
    ) -> BatchBacklog {
        let mut backlog = BatchBacklog::default();
        let mut usage = self.usage_by_team(jobs);
        for job in jobs {
            let is_batch = job.spec.kind == JobKind::Array;
            let wanted = self.tasks_needing_capacity(job, shard, machines);
            let count = self.charge_team_quota(job, wanted, &mut usage);
            // Tasks held back by the team's quota are also backlog: with more machines they would be done sooner.
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
        backlog
    }

    /// Returns the open jobs of a shard by priority and ready time, without those bound to a zone that takes no work.
    fn open_jobs_by_urgency(&self, shard: u32) -> Vec<&Job> {
        let has_usable_zone = |job: &Job| job.spec.zone.as_ref().is_none_or(|zone| self.zone_takes_work(zone));
        let is_open = |job: &&Job| {
            job.is_in_shard(shard) && job.recording.has_record && job.outcome.is_none() && has_usable_zone(job)
        };
        let mut jobs: Vec<&Job> = self.jobs.values().filter(is_open).collect();
        jobs.sort_by_key(|job| (std::cmp::Reverse(job.urgency.priority), job.ready_at));
        jobs
    }

    /// Returns the resources that the teams of these jobs use now, without those of displaced replicas.
    fn usage_by_team<'a>(&self, jobs: &[&'a Job]) -> PlannedUsage<'a> {
        let mut usage = PlannedUsage::new();
        for team in jobs.iter().filter_map(|job| job.spec.team.as_deref()) {
            usage.entry(team).or_insert_with(|| self.jobs.usage().used_by(team).minus(&self.displaced_resources(team)));
        }
        usage
    }

    /// Returns how many of a job's tasks its team's quota allows, up to `wanted`, and adds their resources to `usage`.
    fn charge_team_quota<'a>(&self, job: &'a Job, wanted: u64, usage: &mut PlannedUsage<'a>) -> u64 {
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

    /// Returns how many tasks of a job need capacity in a shard. Displaced replicas in lost zones need it elsewhere before they
    /// are proven absent, because provisioning takes as long as the proof.
    fn tasks_needing_capacity(&self, job: &Job, shard: u32, machines: &[MachineCapacity]) -> u64 {
        let displaced_count = if shard == job.shard { self.zones.displaced_count(job.attempts.job()) } else { 0 };
        self.waiting_tasks_needing_capacity(job, shard, machines) + u64::from(displaced_count)
    }

    /// Returns for how many waiting tasks of a job machines may be created or reassigned. A job that fails wherever it
    /// runs gets a single machine for another try, and only if no machine exists on which it may run.
    fn waiting_tasks_needing_capacity(&self, job: &Job, shard: u32, machines: &[MachineCapacity]) -> u64 {
        let waiting_count = job.waiting_count_in(shard);
        if !job.is_failing() {
            return u64::from(waiting_count);
        }
        let need = job.spec.resources();
        let could_hold = |machine: &MachineCapacity| {
            let resources = machine.machine.as_ref().map_or(machine.free, |id| self.machine_resources(id));
            machine.is_allowed_for(&job.spec) && need.fits_in(&resources)
        };
        u64::from(waiting_count > 0 && !machines.iter().any(could_hold))
    }

    /// Returns the demand of the batch backlog. Tasks that the shard's present capacity finishes within the time of
    /// `drain_ms` justify no instances; the others do. Tasks of the first kind that have waited for `shift_waiting_ms`
    /// are also returned, as they may use idle machines of other shards: no task should wait while a machine is idle.
    fn backlog_demand(&self, backlog: BatchBacklog, jobs: &[&Job]) -> Vec<UnschedulableTasks> {
        let target_s = Micros::from_millis(self.policy.drain_ms).secs();
        let running_cpus: f64 = jobs
            .iter()
            .filter(|job| job.spec.kind == JobKind::Array)
            .map(|job| job.spec.cpus * f64::from(job.attempts.occupying_count()))
            .sum();
        let mut missing_cpus = backlog.cpu_seconds / target_s - running_cpus;
        let min_wait = Micros::from_millis(self.policy.shift_waiting_ms);
        let mut demand = Vec::new();
        for BacklogEntry { mut tasks, ready_at } in backlog.unschedulable {
            let justified = (missing_cpus.max(0.0) / tasks.spec.cpus.max(MIN_TASK_CPUS)).ceil() as u64;
            let excess = tasks.count.saturating_sub(justified);
            if excess > 0 && self.clock.wall.since(ready_at) >= min_wait {
                demand.push(UnschedulableTasks { count: excess, justifies_scale_out: false, ..tasks.clone() });
            }
            tasks.count -= excess;
            missing_cpus -= tasks.count as f64 * tasks.spec.cpus;
            if tasks.count > 0 {
                demand.push(tasks);
            }
        }
        demand
    }

    /// Returns demand for spare capacity: a few more tasks of the service with the largest tasks, so that the next one
    /// starts at once. Tasks that fit on the shard's machines or can preempt other work are subtracted.
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
