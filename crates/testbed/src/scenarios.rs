//! Scenarios on loopback: the morning's load in three zones, one of which is lost and comes back.

use crate::cluster::{Cluster, ClusterError, ClusterPlan};
use crate::history::violations;
use crate::users::Users;
use crate::worker::Link;
use burlhatch::protocol::user::{JobKind, JobSpec, Priority};
use serde::Serialize;
use std::path::PathBuf;
use std::time::Duration;

/// What happens to the zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneTrouble {
    /// It is gone with its controllers and machines, and is there again later, empty.
    Killed,
    /// Its machines are cut off, and heard again while work is moving away.
    BackInMidMove,
    /// Its machines are cut off twice within a minute.
    FlapsTwice,
}

/// What a run showed.
#[derive(Clone, Debug, Serialize)]
pub struct Findings {
    /// Time from the trouble until all replicas of all services were at work elsewhere, or were at work at all where the
    /// zone came back meanwhile.
    pub restored_ms: u64,
    /// Tasks at work in the zone, looked at twice a second from its return on.
    pub in_zone: Vec<usize>,
    /// Rules that were broken.
    pub violations: Vec<String>,
    /// Changes of the store in the whole run.
    pub changes: u64,
}

/// The zone that is lost; two of five controllers are in it.
const LOST: &str = "quay";
const SERVICES: usize = 10;
const BATCHES: usize = 5;
/// Services are to be at work again within this.
pub const RESTORE_LIMIT: Duration = Duration::from_secs(30);
const START_LIMIT: Duration = Duration::from_secs(40);
const END_LIMIT: Duration = Duration::from_secs(90);
const RETURN_LIMIT: Duration = Duration::from_secs(40);

/// Five controllers and four machines a zone. The lease is longer than services may be away in the cut variants, so that
/// waiting for it would not do.
pub fn plan(program: PathBuf, directory: PathBuf, policy: &str) -> ClusterPlan {
    let names = |names: &[&str]| names.iter().map(std::string::ToString::to_string).collect();
    ClusterPlan {
        program,
        directory,
        sites: names(&[LOST, LOST, "market", "market", "hill"]),
        zones: names(&[LOST, "market", "hill"]),
        machines_each: 4,
        capacity: 30,
        policy: policy.to_string(),
        lease: Duration::from_secs(45),
        cancel: Duration::from_secs(65),
        heartbeat_interval: Duration::from_secs(1),
    }
}

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

fn service(n: usize) -> String {
    format!("wk-bid-{n:03}")
}

fn batch(n: usize) -> String {
    format!("wk-invoice-{n:03}")
}

/// Replicas of services at work, in other zones than that.
fn replicas_outside(cluster: &Cluster, zone: &str) -> usize {
    cluster.cloud.at_work().iter().filter(|(task, at)| task.starts_with("wk-bid-") && at != zone).count()
}

/// Plays one trouble and checks what happened.
pub async fn play(plan: ClusterPlan, trouble: ZoneTrouble) -> Result<Findings, ClusterError> {
    let mut cluster = Cluster::start(plan).await?;
    let mut users = Users::new(&cluster);
    for n in 0..SERVICES {
        users.submit(&cluster, &service(n), spec(JobKind::Service, "auction", 2)).await;
    }
    let all = |cluster: &Cluster| replicas_outside(cluster, "") == SERVICES * 2;
    cluster.wait_for("all services at work", START_LIMIT, all).await?;
    let machines = |cluster: &Cluster| {
        cluster.state.keys("bh/").iter().any(|key| key.contains("fleet") || key.contains("machine"))
    };
    cluster.wait_for("machines recorded", START_LIMIT, machines).await?;
    for n in 0..BATCHES {
        users.submit(&cluster, &batch(n), spec(JobKind::Array, "invoices", 6)).await;
    }
    let restored = cause(&mut cluster, &mut users, trouble).await?;
    let in_zone = watch_return(&mut cluster, &mut users, trouble).await?;
    for n in 0..SERVICES {
        users.cancel(&service(n)).await;
    }
    let over = |users: &Users, id: &str| users.status(id).is_some_and(|s| s == "done" || s == "withdrawn");
    let ids: Vec<String> = users.tasks().keys().cloned().collect();
    cluster.wait_for("all jobs over", END_LIMIT, |_| ids.iter().all(|id| over(&users, id))).await?;
    let empty = |cluster: &Cluster| cluster.cloud.at_work().is_empty();
    cluster.wait_for("nothing at work", END_LIMIT, empty).await?;
    let violations = violations(&cluster.around.history.events(), users.tasks());
    let changes = cluster.state.writes();
    Ok(Findings { restored_ms: restored.as_millis() as u64, in_zone, violations, changes })
}

/// Brings the trouble about and waits until the services are at work again.
async fn cause(cluster: &mut Cluster, users: &mut Users, trouble: ZoneTrouble) -> Result<Duration, ClusterError> {
    let outside = |cluster: &Cluster| replicas_outside(cluster, LOST) == SERVICES * 2;
    let everywhere = |cluster: &Cluster| replicas_outside(cluster, "") >= SERVICES * 2;
    match trouble {
        ZoneTrouble::Killed => {
            cluster.kill_zone(LOST);
            users.follow(cluster);
            cluster.wait_for("services at work elsewhere", RESTORE_LIMIT, outside).await
        }
        ZoneTrouble::BackInMidMove => {
            let before = cluster.cloud.machines_in(LOST);
            cluster.cloud.set_link(LOST, Link::Cut);
            let moving = |cluster: &Cluster| cluster.cloud.machines_in(LOST) < before;
            let first = cluster.wait_for("the first machine deleted", RESTORE_LIMIT, moving).await?;
            cluster.cloud.set_link(LOST, Link::Up);
            Ok(first + cluster.wait_for("services at work", RESTORE_LIMIT, everywhere).await?)
        }
        ZoneTrouble::FlapsTwice => {
            let mut slowest = Duration::ZERO;
            for _ in 0..2 {
                cluster.cloud.set_link(LOST, Link::Cut);
                slowest = slowest.max(cluster.wait_for("services elsewhere", RESTORE_LIMIT, outside).await?);
                cluster.cloud.set_link(LOST, Link::Up);
                let returning = |cluster: &Cluster| is_in_condition(cluster, "returning");
                cluster.wait_for("the zone to return", RETURN_LIMIT, returning).await?;
            }
            Ok(slowest)
        }
    }
}

/// Whether all shards' views of the lost zone name a condition.
fn is_in_condition(cluster: &Cluster, condition: &str) -> bool {
    let keys = cluster.state.keys(&format!("bh/zone/{LOST}/"));
    let views: Vec<_> = keys.iter().filter_map(|key| cluster.state.get(key)).collect();
    !views.is_empty() && views.iter().all(|view| view["c"] == condition)
}

/// The zone returns, with work waiting that is bound to it.
async fn watch_return(
    cluster: &mut Cluster,
    users: &mut Users,
    trouble: ZoneTrouble,
) -> Result<Vec<usize>, ClusterError> {
    if trouble == ZoneTrouble::Killed {
        cluster.revive_zone(LOST)?;
        users.follow(cluster);
    }
    let bound = JobSpec { zone: Some(LOST.into()), estimated_runtime_s: 1.5, ..spec(JobKind::Array, "invoices", 16) };
    users.submit(cluster, "wk-invoice-quay", bound).await;
    let mut in_zone = Vec::new();
    let mut next = tokio::time::Instant::now();
    let done = |users: &Users| users.status("wk-invoice-quay").is_some_and(|status| status == "done");
    cluster
        .wait_for("the work bound to the zone", END_LIMIT, |cluster| {
            if tokio::time::Instant::now() >= next {
                next += Duration::from_millis(500);
                in_zone.push(cluster.cloud.at_work().iter().filter(|(_, zone)| zone == LOST).count());
            }
            done(users)
        })
        .await?;
    Ok(in_zone)
}
