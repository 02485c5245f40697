//! Scenarios on loopback: services and batch jobs run in three zones, one of which is lost and returns.

use crate::agent::Connectivity;
use crate::cloud::RunningTask;
use crate::cluster::{Cluster, ClusterConfig, ClusterError};
use crate::history::violations;
use crate::store::StoreSizeLimits;
use crate::users::SimulatedUsers;
use burlhatch::protocol::user::{JobKind, JobSpec, Priority};
use serde::Serialize;
use std::path::PathBuf;
use std::time::Duration;

/// A fault of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneFault {
    /// The zone's controllers and machines are killed. Later its controllers restart; its machines stay lost.
    Killed,
    /// The zone's machines are partitioned, and reconnected as soon as the first of them has been deleted, while tasks
    /// are still being moved to other zones.
    ReconnectedDuringEvacuation,
    /// The zone's machines are partitioned and reconnected twice within a minute.
    FlapsTwice,
}

/// Result of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Findings {
    /// Time from the fault until the tasks of all services ran in other zones, or in any zone if the fault reconnects
    /// the zone earlier; the longer time if there are two faults.
    pub restored_ms: u64,
    /// Number of tasks that run in the zone, counted every 500 ms from its return on.
    pub in_zone: Vec<usize>,
    /// Violations of rules.
    pub violations: Vec<String>,
    /// Number of writes committed by the store in the whole run.
    pub changes: u64,
}

/// The zone that is lost; it contains two of the five controllers.
const LOST_ZONE: &str = "quay";
const SERVICE_COUNT: usize = 10;
const TASKS_PER_SERVICE: u32 = 2;
const SERVICE_TASK_COUNT: usize = SERVICE_COUNT * TASKS_PER_SERVICE as usize;
const BATCH_COUNT: usize = 5;
const TASKS_PER_BATCH: u32 = 6;
/// A job that may run only in the lost zone.
const ZONE_BOUND_JOB: &str = "wk-invoice-quay";
const SERVICE_ID_PREFIX: &str = "wk-bid-";
/// Time within which all services must run again after a fault.
pub const RESTORE_LIMIT: Duration = Duration::from_secs(30);
const START_LIMIT: Duration = Duration::from_secs(40);
const END_LIMIT: Duration = Duration::from_secs(90);
const RETURN_LIMIT: Duration = Duration::from_secs(40);
/// Interval between two counts of the tasks in the zone.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

/// Returns the configuration of a cluster with five controllers and with four machines in each of three zones. Agents'
/// leases are longer than [`RESTORE_LIMIT`], so a scheduler that waits for them to expire fails.
pub fn cluster_config(program: PathBuf, directory: PathBuf, policy: &str) -> ClusterConfig {
    let names = |names: &[&str]| names.iter().map(std::string::ToString::to_string).collect();
    ClusterConfig {
        program,
        directory,
        controller_zones: names(&[LOST_ZONE, LOST_ZONE, "market", "market", "hill"]),
        zones: names(&[LOST_ZONE, "market", "hill"]),
        machines_per_zone: 4,
        max_machines: 30,
        policy: policy.to_string(),
        lease: Duration::from_secs(45),
        cancel_limit: Duration::from_secs(65),
        heartbeat_interval: Duration::from_secs(1),
        store_limits: StoreSizeLimits::default(),
    }
}

/// Returns the description of a small job.
pub(crate) fn job_spec(kind: JobKind, team: &str, tasks: u32) -> JobSpec {
    JobSpec {
        class: team.into(),
        team: Some(team.into()),
        kind,
        priority: if kind == JobKind::Service { Priority::Production } else { Priority::Normal },
        tasks,
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 1.0,
        image: format!("{team}-image"),
        image_gb: 0.5,
        types: None,
        zone: None,
        one_zone: false,
        spread: kind == JobKind::Service,
        spot: false,
        estimated_runtime_s: if kind == JobKind::Service { 0.0 } else { 3.0 },
        checkpoint_interval_s: 0.0,
        checkpoint_duration_s: 0.0,
        deadline_s: None,
        depends_on: Vec::new(),
    }
}

fn service_id(n: usize) -> String {
    format!("{SERVICE_ID_PREFIX}{n:03}")
}

fn batch_id(n: usize) -> String {
    format!("wk-invoice-{n:03}")
}

/// Returns the number of service tasks that run outside the given zone.
fn service_tasks_outside(cluster: &Cluster, zone: &str) -> usize {
    let is_counted = |running: &RunningTask| running.task.starts_with(SERVICE_ID_PREFIX) && running.zone != zone;
    cluster.cloud.running_tasks().iter().filter(|running| is_counted(running)).count()
}

/// Returns the number of service tasks that run in any zone.
fn service_tasks(cluster: &Cluster) -> usize {
    service_tasks_outside(cluster, "")
}

/// Runs the scenario of one fault and checks the history of the run.
pub async fn run_zone_scenario(config: ClusterConfig, fault: ZoneFault) -> Result<Findings, ClusterError> {
    let mut cluster = Cluster::start(config).await?;
    let mut users = SimulatedUsers::new(&cluster);
    start_load(&cluster, &mut users).await?;
    let restored = cause_fault(&mut cluster, &users, fault).await?;
    let in_zone = observe_return(&mut cluster, &mut users, fault).await?;
    for n in 0..SERVICE_COUNT {
        users.cancel(&service_id(n)).await;
    }
    let ids = users.job_ids();
    cluster.wait_for("all jobs to finish", END_LIMIT, |_| ids.iter().all(|id| users.is_finished(id))).await?;
    let is_idle = |cluster: &Cluster| cluster.cloud.running_tasks().is_empty();
    cluster.wait_for("all tasks to end", END_LIMIT, is_idle).await?;
    let mut violations = violations(&cluster.environment.history.events(), users.task_counts());
    violations.extend(cluster.store.oversized_transactions());
    let changes = cluster.store.write_count();
    Ok(Findings { restored_ms: restored.as_millis() as u64, in_zone, violations, changes })
}

/// Submits services, waits until they run and the store contains machine records, and then submits batch jobs.
async fn start_load(cluster: &Cluster, users: &mut SimulatedUsers) -> Result<(), ClusterError> {
    for n in 0..SERVICE_COUNT {
        users.submit(cluster, &service_id(n), job_spec(JobKind::Service, "auction", TASKS_PER_SERVICE)).await;
    }
    let all_run = |cluster: &Cluster| service_tasks(cluster) == SERVICE_TASK_COUNT;
    cluster.wait_for("all services to run", START_LIMIT, all_run).await?;
    let has_machine_records = |cluster: &Cluster| {
        cluster.store.keys("bh/").iter().any(|key| key.contains("fleet") || key.contains("machine"))
    };
    cluster.wait_for("machine records in the store", START_LIMIT, has_machine_records).await?;
    for n in 0..BATCH_COUNT {
        users.submit(cluster, &batch_id(n), job_spec(JobKind::Array, "invoices", TASKS_PER_BATCH)).await;
    }
    Ok(())
}

/// Causes the fault and waits until the services run again. Returns the time that this took.
async fn cause_fault(
    cluster: &mut Cluster,
    users: &SimulatedUsers,
    fault: ZoneFault,
) -> Result<Duration, ClusterError> {
    let run_elsewhere = |cluster: &Cluster| service_tasks_outside(cluster, LOST_ZONE) == SERVICE_TASK_COUNT;
    match fault {
        ZoneFault::Killed => {
            cluster.kill_zone(LOST_ZONE);
            users.update_targets(cluster);
            cluster.wait_for("services to run elsewhere", RESTORE_LIMIT, run_elsewhere).await
        }
        ZoneFault::ReconnectedDuringEvacuation => {
            let machines_before = cluster.cloud.machine_count(LOST_ZONE);
            cluster.cloud.set_connectivity(LOST_ZONE, Connectivity::Partitioned);
            let is_moving = |cluster: &Cluster| cluster.cloud.machine_count(LOST_ZONE) < machines_before;
            let until_deletion = cluster.wait_for("a machine to be deleted", RESTORE_LIMIT, is_moving).await?;
            cluster.cloud.set_connectivity(LOST_ZONE, Connectivity::Connected);
            let all_run = |cluster: &Cluster| service_tasks(cluster) >= SERVICE_TASK_COUNT;
            Ok(until_deletion + cluster.wait_for("all services to run", RESTORE_LIMIT, all_run).await?)
        }
        ZoneFault::FlapsTwice => {
            let mut slowest = Duration::ZERO;
            for _ in 0..2 {
                cluster.cloud.set_connectivity(LOST_ZONE, Connectivity::Partitioned);
                slowest =
                    slowest.max(cluster.wait_for("services to run elsewhere", RESTORE_LIMIT, run_elsewhere).await?);
                cluster.cloud.set_connectivity(LOST_ZONE, Connectivity::Connected);
                let is_returning = |cluster: &Cluster| is_in_condition(cluster, "returning");
                cluster.wait_for("the zone to be recorded as returning", RETURN_LIMIT, is_returning).await?;
            }
            Ok(slowest)
        }
    }
}

/// Returns whether the zone records of all shards state this condition for the lost zone.
fn is_in_condition(cluster: &Cluster, condition: &str) -> bool {
    let keys = cluster.store.keys(&format!("bh/zone/{LOST_ZONE}/"));
    let records: Vec<_> = keys.iter().filter_map(|key| cluster.store.get(key)).collect();
    !records.is_empty() && records.iter().all(|record| record["c"] == condition)
}

/// Restores the zone, submits a job that may run only there, and waits until it is done. Returns the numbers of tasks
/// that ran in the zone meanwhile.
async fn observe_return(
    cluster: &mut Cluster,
    users: &mut SimulatedUsers,
    fault: ZoneFault,
) -> Result<Vec<usize>, ClusterError> {
    if fault == ZoneFault::Killed {
        cluster.restore_zone(LOST_ZONE)?;
        users.update_targets(cluster);
    }
    let zone_bound_job =
        JobSpec { zone: Some(LOST_ZONE.into()), estimated_runtime_s: 1.5, ..job_spec(JobKind::Array, "invoices", 16) };
    users.submit(cluster, ZONE_BOUND_JOB, zone_bound_job).await;
    let mut in_zone = Vec::new();
    let mut next_sample_at = tokio::time::Instant::now();
    cluster
        .wait_for("the job bound to the zone to finish", END_LIMIT, |cluster| {
            if tokio::time::Instant::now() >= next_sample_at {
                next_sample_at += SAMPLE_INTERVAL;
                let running = cluster.cloud.running_tasks();
                in_zone.push(running.iter().filter(|running| running.zone == LOST_ZONE).count());
            }
            users.status(ZONE_BOUND_JOB).is_some_and(|status| status == "done")
        })
        .await?;
    Ok(in_zone)
}
