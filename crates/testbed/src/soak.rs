//! Soak: users submit, ask and call off jobs at all controllers while troubles meet, drawn from a seed. What workers,
//! users and the services saw is checked; a run that breaks a rule keeps its logs and names its seed and plan.

use crate::cluster::{Cluster, ClusterError, ClusterPlan};
use crate::history::{Cancellations, Event, Timed, cancellations, violations};
use crate::scenarios::spec;
use crate::troubles::{Planned, bring_about};
use crate::users::Users;
use burlhatch::protocol::user::{JobKind, JobSpec};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use std::path::PathBuf;
use std::time::Duration;
use tokio::time::Instant;

/// The workers' times of a run, in the relation of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// Time between heartbeats.
    pub heartbeat: Duration,
    /// Lease of a worker.
    pub lease: Duration,
    /// Time for a cancellation.
    pub cancel: Duration,
}

/// Long leases with rare heartbeats, and short ones with little time for a cancellation; shortened.
pub const SHAPES: [Times; 2] = [
    Times {
        heartbeat: Duration::from_millis(2000),
        lease: Duration::from_millis(9000),
        cancel: Duration::from_millis(15_000),
    },
    Times {
        heartbeat: Duration::from_millis(600),
        lease: Duration::from_millis(5000),
        cancel: Duration::from_millis(14_000),
    },
];

/// One run.
#[derive(Clone, Debug)]
pub struct Soak {
    /// The built controller.
    pub program: PathBuf,
    /// Where settings and logs go.
    pub directory: PathBuf,
    /// From which users and their jobs are drawn.
    pub seed: u64,
    /// Controllers, 3 or 5.
    pub controllers: usize,
    /// Machines up at the start.
    pub machines: u32,
    /// The workers' times.
    pub times: Times,
    /// How long troubles go on.
    pub span: Duration,
    /// What goes wrong.
    pub plan: Vec<Planned>,
}

/// What a run showed.
#[derive(Clone, Debug, Serialize)]
pub struct Findings {
    /// The seed.
    pub seed: u64,
    /// Rules that were broken.
    pub violations: Vec<String>,
    /// Cancellations that users were told.
    pub cancelled: usize,
    /// Tasks that came to their machines after that, and the longest time that any stayed.
    pub begun_after: usize,
    /// The longest time after the answer until a cancelled task was gone.
    pub longest_ms: u64,
    /// Tasks that were at work at any time.
    pub begun: usize,
    /// How often controllers renewed no lease, or asked for a deletion, on account of cancelled tasks.
    pub withheld: usize,
    /// The same for deletions.
    pub deletions: usize,
    /// Processes that ended by themselves.
    pub ended: Vec<String>,
    /// Seconds that the run took.
    pub seconds: u64,
}

const START_LIMIT: Duration = Duration::from_secs(60);
const END_LIMIT: Duration = Duration::from_secs(150);
const STEP: Duration = Duration::from_millis(50);
const SETTLE: Duration = Duration::from_secs(6);

/// Plays a run and checks what happened.
pub async fn play(soak: &Soak) -> Result<Findings, ClusterError> {
    let began = Instant::now();
    let mut cluster = Cluster::start(cluster_plan(soak)).await?;
    let mut users = Users::new(&cluster);
    let mut load = Load { rng: StdRng::seed_from_u64(soak.seed), next: 0 };
    for _ in 0..6 {
        load.submit(&cluster, &mut users).await;
    }
    cluster.wait_for("work", START_LIMIT, |cluster| !cluster.cloud.at_work().is_empty()).await?;
    let mut ended = trouble_on(soak, &mut cluster, &mut users, &mut load).await?;
    let limit = Duration::from_secs(30);
    for id in users.tasks().keys().cloned().collect::<Vec<_>>() {
        if users.status(&id).is_none_or(|status| status != "done") {
            users.ask_to_cancel(&id, limit);
        }
    }
    let mut found = Vec::new();
    let ids: Vec<String> = users.tasks().keys().cloned().collect();
    let is_over = |id: &String| users.status(id).is_some_and(|status| status == "done" || status == "withdrawn");
    if cluster.wait_for("all jobs over", END_LIMIT, |_| ids.iter().all(is_over)).await.is_err() {
        let open: Vec<_> = ids.iter().filter(|id| !is_over(id)).map(|id| (id, users.status(id))).collect();
        found.push(format!("not over when all was quiet: {open:?}"));
    }
    let nothing = |cluster: &Cluster| cluster.cloud.at_work().is_empty();
    if cluster.wait_for("nothing at work", soak.times.cancel + SETTLE, nothing).await.is_err() {
        found.push(format!("still at work: {:?}", cluster.cloud.at_work()));
    }
    ended.extend(cluster.ended_by_themselves());
    let events = cluster.around.history.events();
    let Cancellations { told, begun_after, longest_us, late } = cancellations(&events, soak.times.cancel);
    found.extend(violations(&events, users.tasks()));
    found.extend(late);
    found.extend(ended.iter().map(|label| format!("{label} ended by itself")));
    let begun = events.iter().filter(|(_, event)| matches!(event, Event::Begun { .. })).count();
    let logs = logs_of(soak);
    if !found.is_empty() {
        std::fs::write(soak.directory.join("timeline.txt"), timeline(soak, &events))?;
    }
    Ok(Findings {
        seed: soak.seed,
        violations: found,
        cancelled: told,
        begun_after,
        longest_ms: longest_us / 1000,
        begun,
        withheld: logs.matches("lease not renewed").count(),
        deletions: logs.matches("deletion asked for").count(),
        ended,
        seconds: began.elapsed().as_secs(),
    })
}

fn cluster_plan(soak: &Soak) -> ClusterPlan {
    let zone = "shore".to_string();
    ClusterPlan {
        program: soak.program.clone(),
        directory: soak.directory.clone(),
        sites: vec![zone.clone(); soak.controllers],
        zones: vec![zone],
        machines_each: soak.machines,
        capacity: soak.machines as usize * 3 / 2,
        policy: r#"{"idle_return_ms": 86400000}"#.into(),
        lease: soak.times.lease,
        cancel: soak.times.cancel,
        heartbeat_interval: soak.times.heartbeat,
    }
}

/// Brings the plan about while users go on; says which controllers ended by themselves.
async fn trouble_on(
    soak: &Soak,
    cluster: &mut Cluster,
    users: &mut Users,
    load: &mut Load,
) -> Result<Vec<String>, ClusterError> {
    let began = Instant::now();
    let mut due: Vec<(Duration, bool, Planned)> = Vec::new();
    for planned in &soak.plan {
        let begins = Duration::from_millis(planned.at_ms);
        due.push((begins, true, *planned));
        due.push((begins + Duration::from_millis(planned.for_ms), false, *planned));
    }
    due.sort_by_key(|(at, ..)| *at);
    let mut due = due.into_iter().peekable();
    let mut ended = Vec::new();
    let mut next_job = Duration::ZERO;
    while due.peek().is_some() || began.elapsed() < soak.span {
        let now = began.elapsed();
        while let Some((_, begins, planned)) = due.next_if(|(at, ..)| *at <= now) {
            ended.extend(cluster.ended_by_themselves());
            bring_about(cluster, &planned, begins)?;
            users.follow(cluster);
        }
        if now >= next_job && now < soak.span {
            next_job = now + Duration::from_millis(load.rng.random_range(100..900));
            load.go_on(cluster, users);
        }
        tokio::time::sleep(STEP).await;
    }
    // Troubles that overlapped may have ended one another's early or late: now all is well.
    for planned in &soak.plan {
        bring_about(cluster, planned, false)?;
    }
    users.follow(cluster);
    Ok(ended)
}

/// What users do, drawn from the seed.
struct Load {
    rng: StdRng,
    next: u32,
}

impl Load {
    fn draw(&mut self) -> (String, JobSpec) {
        self.next += 1;
        let id = format!("wk-soak-{:04}", self.next);
        let tasks = self.rng.random_range(1..5);
        let spec = match self.rng.random_range(0..3) {
            0 => JobSpec { spread: false, ..spec(JobKind::Service, "auction", tasks.min(2)) },
            1 => JobSpec { estimated_runtime_s: 60.0, ..spec(JobKind::Array, "invoices", tasks) },
            _ => JobSpec { estimated_runtime_s: 2.0, ..spec(JobKind::Array, "invoices", tasks) },
        };
        (id, spec)
    }

    async fn submit(&mut self, cluster: &Cluster, users: &mut Users) {
        let (id, spec) = self.draw();
        users.submit(cluster, &id, spec).await;
    }

    /// A new job, or one called off.
    fn go_on(&mut self, cluster: &Cluster, users: &mut Users) {
        if self.rng.random_range(0..2) == 0 {
            let (id, spec) = self.draw();
            return users.ask_to_take(cluster, &id, spec);
        }
        let open = |users: &Users, id: &String| users.status(id).is_some_and(|s| s == "queued" || s == "running");
        let ids: Vec<String> = users.tasks().keys().filter(|id| open(users, id)).cloned().collect();
        if !ids.is_empty() {
            let id = &ids[self.rng.random_range(0..ids.len())];
            users.ask_to_cancel(id, Duration::from_secs(60));
        }
    }
}

fn logs_of(soak: &Soak) -> String {
    let paths = (0..soak.controllers).map(|n| soak.directory.join(format!("node-{n}.log")));
    paths.filter_map(|path| std::fs::read_to_string(path).ok()).collect()
}

/// Plan and events in one order.
fn timeline(soak: &Soak, events: &[Timed]) -> String {
    let plan = serde_json::to_string(&soak.plan).unwrap_or_default();
    let lines = events.iter().map(|(at, event)| format!("{:>10.3} {event:?}\n", *at as f64 / 1e6));
    std::iter::once(format!("seed {}\nplan {plan}\n", soak.seed)).chain(lines).collect()
}
