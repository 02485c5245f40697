//! Scenarios on loopback: services and batch jobs in three zones, one of which is lost and comes back.

use crate::agent::Connectivity;
use crate::cloud::RunningTask;
use crate::cluster::{Cluster, ClusterConfig, ClusterError};
use crate::history::violations;
use crate::users::SimulatedUsers;
use burlhatch::protocol::user::{JobKind, JobSpec, Priority};
use serde::Serialize;
use std::path::PathBuf;
use std::time::Duration;

/// What happens to a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneFault {
    /// It is lost with its controllers and machines, and comes back later, empty.
    Killed,
    /// Its machines are partitioned off, and reachable again while work is moving away.
    BackInMidMove,
    /// Its machines are partitioned off twice within a minute.
    FlapsTwice,
}

/// What a run showed.
#[derive(Clone, Debug, Serialize)]
pub struct Findings {
    /// Time from the fault until all tasks of all services ran elsewhere, or ran at all where the zone came back
    /// meanwhile.
    pub restored_ms: u64,
    /// Tasks that ran in the zone, counted twice a second from its return on.
    pub in_zone: Vec<usize>,
    /// Rules that were broken.
    pub violations: Vec<String>,
    /// Number of writes to the store in the whole run.
    pub changes: u64,
}

/// The zone that is lost; two of five controllers are in it.
const LOST_ZONE: &str = "quay";
const SERVICE_COUNT: usize = 10;
const TASKS_PER_SERVICE: u32 = 2;
const SERVICE_TASK_COUNT: usize = SERVICE_COUNT * TASKS_PER_SERVICE as usize;
const BATCH_COUNT: usize = 5;
const TASKS_PER_BATCH: u32 = 6;
/// A job that may run only in the lost zone.
const ZONE_BOUND_JOB: &str = "wk-invoice-quay";
const SERVICE_ID_PREFIX: &str = "wk-bid-";
/// Services must run again within this time.
pub const RESTORE_LIMIT: Duration = Duration::from_secs(30);
const START_LIMIT: Duration = Duration::from_secs(40);
const END_LIMIT: Duration = Duration::from_secs(90);
const RETURN_LIMIT: Duration = Duration::from_secs(40);
/// Time between two counts of the tasks in the zone.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

/// Five controllers and four machines in each zone. The agents' lease is longer than services may be down, so that
/// waiting for its expiry would not do.
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
    }
}

/// A small job of a team.
pub(crate) fn spec(kind: JobKind, team: &str, tasks: u32) -> JobSpec {
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

/// Number of services' tasks that run in other zones than the given one.
fn service_tasks_outside(cluster: &Cluster, zone: &str) -> usize {
    let is_counted = |running: &RunningTask| running.task.starts_with(SERVICE_ID_PREFIX) && running.zone != zone;
    cluster.cloud.running_tasks().iter().filter(|running| is_counted(running)).count()
}

/// Number of services' tasks that run.
fn service_tasks(cluster: &Cluster) -> usize {
    service_tasks_outside(cluster, "")
}

/// Plays one fault and checks what happened.
pub async fn play(config: ClusterConfig, fault: ZoneFault) -> Result<Findings, ClusterError> {
    let mut cluster = Cluster::start(config).await?;
    let mut users = SimulatedUsers::new(&cluster);
    start_load(&cluster, &mut users).await?;
    let restored = cause_fault(&mut cluster, &users, fault).await?;
    let in_zone = observe_return(&mut cluster, &mut users, fault).await?;
    for n in 0..SERVICE_COUNT {
        users.cancel(&service_id(n)).await;
    }
    let ids = users.job_ids();
    cluster.wait_for("all jobs over", END_LIMIT, |_| ids.iter().all(|id| users.is_over(id))).await?;
    let is_idle = |cluster: &Cluster| cluster.cloud.running_tasks().is_empty();
    cluster.wait_for("nothing at work", END_LIMIT, is_idle).await?;
    let violations = violations(&cluster.environment.history.events(), users.task_counts());
    let changes = cluster.store.write_count();
    Ok(Findings { restored_ms: restored.as_millis() as u64, in_zone, violations, changes })
}

/// Submits services and batch jobs, and waits until the services run on recorded machines.
async fn start_load(cluster: &Cluster, users: &mut SimulatedUsers) -> Result<(), ClusterError> {
    for n in 0..SERVICE_COUNT {
        users.submit(cluster, &service_id(n), spec(JobKind::Service, "auction", TASKS_PER_SERVICE)).await;
    }
    let all_run = |cluster: &Cluster| service_tasks(cluster) == SERVICE_TASK_COUNT;
    cluster.wait_for("all services at work", START_LIMIT, all_run).await?;
    let has_machine_records = |cluster: &Cluster| {
        cluster.store.keys("bh/").iter().any(|key| key.contains("fleet") || key.contains("machine"))
    };
    cluster.wait_for("machines recorded", START_LIMIT, has_machine_records).await?;
    for n in 0..BATCH_COUNT {
        users.submit(cluster, &batch_id(n), spec(JobKind::Array, "invoices", TASKS_PER_BATCH)).await;
    }
    Ok(())
}

/// Causes the fault and waits until the services run again; how long that took.
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
            cluster.wait_for("services at work elsewhere", RESTORE_LIMIT, run_elsewhere).await
        }
        ZoneFault::BackInMidMove => {
            let machines_before = cluster.cloud.machine_count(LOST_ZONE);
            cluster.cloud.set_connectivity(LOST_ZONE, Connectivity::Partitioned);
            let is_moving = |cluster: &Cluster| cluster.cloud.machine_count(LOST_ZONE) < machines_before;
            let until_first = cluster.wait_for("the first machine deleted", RESTORE_LIMIT, is_moving).await?;
            cluster.cloud.set_connectivity(LOST_ZONE, Connectivity::Connected);
            let all_run = |cluster: &Cluster| service_tasks(cluster) >= SERVICE_TASK_COUNT;
            Ok(until_first + cluster.wait_for("services at work", RESTORE_LIMIT, all_run).await?)
        }
        ZoneFault::FlapsTwice => {
            let mut slowest = Duration::ZERO;
            for _ in 0..2 {
                cluster.cloud.set_connectivity(LOST_ZONE, Connectivity::Partitioned);
                slowest = slowest.max(cluster.wait_for("services elsewhere", RESTORE_LIMIT, run_elsewhere).await?);
                cluster.cloud.set_connectivity(LOST_ZONE, Connectivity::Connected);
                let is_returning = |cluster: &Cluster| is_in_condition(cluster, "returning");
                cluster.wait_for("the zone to return", RETURN_LIMIT, is_returning).await?;
            }
            Ok(slowest)
        }
    }
}

/// Whether the records of all shards name a condition of the lost zone.
fn is_in_condition(cluster: &Cluster, condition: &str) -> bool {
    let keys = cluster.store.keys(&format!("bh/zone/{LOST_ZONE}/"));
    let records: Vec<_> = keys.iter().filter_map(|key| cluster.store.get(key)).collect();
    !records.is_empty() && records.iter().all(|record| record["c"] == condition)
}

/// Lets the zone return, with work waiting that may run only there; counts of tasks in the zone meanwhile.
async fn observe_return(
    cluster: &mut Cluster,
    users: &mut SimulatedUsers,
    fault: ZoneFault,
) -> Result<Vec<usize>, ClusterError> {
    if fault == ZoneFault::Killed {
        cluster.restore_zone(LOST_ZONE)?;
        users.update_targets(cluster);
    }
    let bound_to_zone =
        JobSpec { zone: Some(LOST_ZONE.into()), estimated_runtime_s: 1.5, ..spec(JobKind::Array, "invoices", 16) };
    users.submit(cluster, ZONE_BOUND_JOB, bound_to_zone).await;
    let mut in_zone = Vec::new();
    let mut next_sample_at = tokio::time::Instant::now();
    cluster
        .wait_for("the work bound to the zone", END_LIMIT, |cluster| {
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
