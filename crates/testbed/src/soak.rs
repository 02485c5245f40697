//! Soak runs: users submit, poll and cancel jobs at all controllers while overlapping faults are injected. Jobs and
//! requests are drawn from a seed. The history of each run is checked; the logs of a run with violations are kept, with
//! its plan and events in `timeline.txt`.

use crate::cluster::{Cluster, ClusterConfig, ClusterError};
use crate::faults::{FaultPhase, PlannedFault, apply_fault};
use crate::history::{CancellationSummary, Event, TimedEvent, summarize_cancellations, violations};
use crate::scenarios::job_spec;
use crate::store::StoreSizeLimits;
use crate::users::SimulatedUsers;
use burlhatch::protocol::user::{JobKind, JobSpec};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use std::path::PathBuf;
use std::time::Duration;
use tokio::time::Instant;

/// Timing of the agents' protocol in a run; the values have the same proportions as in a real deployment.
#[derive(Clone, Copy, Debug)]
pub struct AgentTiming {
    /// Time between heartbeats.
    pub heartbeat_interval: Duration,
    /// Duration of an agent's lease.
    pub lease: Duration,
    /// Time within which all tasks of a cancelled job must have ended.
    pub cancel_limit: Duration,
}

/// Timings of two kinds of deployments, scaled down: long leases with infrequent heartbeats, and short leases with
/// little time for a cancellation.
pub const TIMING_PROFILES: [AgentTiming; 2] = [
    AgentTiming {
        heartbeat_interval: Duration::from_millis(2000),
        lease: Duration::from_millis(9000),
        cancel_limit: Duration::from_millis(15_000),
    },
    AgentTiming {
        heartbeat_interval: Duration::from_millis(600),
        lease: Duration::from_millis(5000),
        cancel_limit: Duration::from_millis(14_000),
    },
];

/// Configuration of one run.
#[derive(Clone, Debug)]
pub struct SoakRun {
    /// Path of the controller's executable.
    pub program: PathBuf,
    /// Directory for settings and logs.
    pub directory: PathBuf,
    /// Seed from which the users' requests and jobs are drawn.
    pub seed: u64,
    /// Number of controllers, 3 or 5.
    pub controllers: usize,
    /// Number of machines that are provisioned at the start.
    pub machines: u32,
    /// Timing of the agents' protocol.
    pub timing: AgentTiming,
    /// Time during which jobs are submitted and cancelled. Faults of the plan may go on for longer.
    pub span: Duration,
    /// Faults to inject.
    pub plan: Vec<PlannedFault>,
}

/// Result of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Findings {
    /// Seed of the run.
    pub seed: u64,
    /// Violations of rules.
    pub violations: Vec<String>,
    /// Number of jobs for which a user received the status of a cancelled job.
    pub cancelled: usize,
    /// Number of tasks of these jobs that started after a user had received that status.
    pub begun_after: usize,
    /// The longest time from the receipt of that status until a task left its machine.
    pub longest_ms: u64,
    /// Number of all task starts.
    pub begun: usize,
    /// Number of accepted copies of direct commands that had been executed and answered before.
    pub repeated: usize,
    /// Number of log lines about agents' leases that controllers did not renew because of cancelled tasks.
    pub withheld: usize,
    /// Number of log lines about machines that controllers deleted because of cancelled tasks.
    pub deletions: usize,
    /// Labels of controllers whose processes exited without having been killed by the testbed.
    pub ended: Vec<String>,
    /// Duration of the run in seconds.
    pub seconds: u64,
}

/// Text that controllers log when they don't renew an agent's lease because of a cancelled task.
const LEASE_WITHHELD_LOG: &str = "lease renewal withheld";
/// Text that controllers log when they delete machines because of cancelled tasks.
const DELETION_LOG: &str = "machines deleted to enforce cancellation deadline";

const INITIAL_JOBS: usize = 6;
const START_LIMIT: Duration = Duration::from_secs(60);
const END_LIMIT: Duration = Duration::from_secs(150);
const FINAL_CANCEL_LIMIT: Duration = Duration::from_secs(30);
const CANCEL_LIMIT: Duration = Duration::from_secs(60);
const STEP_INTERVAL: Duration = Duration::from_millis(50);
/// Time allowed beyond the cancellation limit until all tasks must have ended.
const SETTLE_TIME: Duration = Duration::from_secs(6);

/// Executes a run and checks its history.
pub async fn run_soak(run: &SoakRun) -> Result<Findings, ClusterError> {
    let started_at = Instant::now();
    let mut cluster = Cluster::start(cluster_config(run)).await?;
    let mut users = SimulatedUsers::new(&cluster);
    let mut load = LoadGenerator { rng: StdRng::seed_from_u64(run.seed), last_job: 0 };
    for _ in 0..INITIAL_JOBS {
        load.submit(&cluster, &mut users).await;
    }
    cluster.wait_for("the first task to run", START_LIMIT, |cluster| !cluster.cloud.running_tasks().is_empty()).await?;
    let mut crashed = inject_faults(run, &mut cluster, &mut users, &mut load).await?;
    let mut violations = finish(run, &cluster, &mut users).await;
    crashed.extend(cluster.crashed_controllers());
    let events = cluster.environment.history.events();
    let cancellations = summarize_cancellations(&events, run.timing.cancel_limit);
    violations.extend(check_history(&events, &users, &cancellations, &crashed));
    violations.extend(cluster.store.oversized_transactions());
    if !violations.is_empty() {
        std::fs::write(run.directory.join("timeline.txt"), render_timeline(run, &events))?;
    }
    let logs = read_logs(run);
    Ok(Findings {
        seed: run.seed,
        violations,
        cancelled: cancellations.cancelled_jobs,
        begun_after: cancellations.started_after,
        longest_ms: cancellations.longest_us / 1000,
        begun: events.iter().filter(|(_, event)| matches!(event, Event::TaskStarted { .. })).count(),
        repeated: events.iter().filter(|(_, event)| matches!(event, Event::CommandsRepeated { .. })).count(),
        withheld: logs.matches(LEASE_WITHHELD_LOG).count(),
        deletions: logs.matches(DELETION_LOG).count(),
        ended: crashed,
        seconds: started_at.elapsed().as_secs(),
    })
}

/// Cancels all jobs that are not done and waits until all tasks have ended. Returns the violations found meanwhile.
async fn finish(run: &SoakRun, cluster: &Cluster, users: &mut SimulatedUsers) -> Vec<String> {
    let mut violations = Vec::new();
    let ids = users.job_ids();
    for id in &ids {
        if users.status(id).is_none_or(|status| status != "done") {
            users.cancel_in_background(id, FINAL_CANCEL_LIMIT);
        }
    }
    let all_finished = |_: &Cluster| ids.iter().all(|id| users.is_finished(id));
    if cluster.wait_for("all jobs to finish", END_LIMIT, all_finished).await.is_err() {
        let open: Vec<_> = ids.iter().filter(|id| !users.is_finished(id)).map(|id| (id, users.status(id))).collect();
        violations.push(format!("jobs not finished after the end of all faults: {open:?}"));
    }
    let is_idle = |cluster: &Cluster| cluster.cloud.running_tasks().is_empty();
    if cluster.wait_for("all tasks to end", run.timing.cancel_limit + SETTLE_TIME, is_idle).await.is_err() {
        let running: Vec<String> = cluster.cloud.running_tasks().into_iter().map(|running| running.task).collect();
        violations.push(format!("tasks still running after the cancellation limit: {running:?}"));
    }
    violations
}

fn check_history(
    events: &[TimedEvent],
    users: &SimulatedUsers,
    cancellations: &CancellationSummary,
    crashed: &[String],
) -> Vec<String> {
    let mut all_violations = violations(events, users.task_counts());
    all_violations.extend(cancellations.late.iter().cloned());
    all_violations.extend(crashed.iter().map(|label| format!("{label} exited unexpectedly")));
    all_violations
}

fn cluster_config(run: &SoakRun) -> ClusterConfig {
    let zone = "shore".to_string();
    ClusterConfig {
        program: run.program.clone(),
        directory: run.directory.clone(),
        controller_zones: vec![zone.clone(); run.controllers],
        zones: vec![zone],
        machines_per_zone: run.machines,
        max_machines: run.machines as usize * 3 / 2,
        policy: r#"{"idle_return_ms": 86400000}"#.into(),
        lease: run.timing.lease,
        cancel_limit: run.timing.cancel_limit,
        heartbeat_interval: run.timing.heartbeat_interval,
        store_limits: StoreSizeLimits::default(),
    }
}

/// The beginning or end of a fault.
struct FaultTransition {
    at: Duration,
    phase: FaultPhase,
    planned: PlannedFault,
}

/// Returns the beginnings and ends of all faults in the order of time.
fn fault_transitions(plan: &[PlannedFault]) -> Vec<FaultTransition> {
    let mut due = Vec::new();
    for planned in plan {
        let begins_at = Duration::from_millis(planned.begins_at_ms);
        let ends_at = begins_at + Duration::from_millis(planned.duration_ms);
        due.push(FaultTransition { at: begins_at, phase: FaultPhase::Begin, planned: *planned });
        due.push(FaultTransition { at: ends_at, phase: FaultPhase::End, planned: *planned });
    }
    due.sort_by_key(|due| due.at);
    due
}

/// Injects the faults of the plan while users submit and cancel jobs. Returns the controllers that crashed.
async fn inject_faults(
    run: &SoakRun,
    cluster: &mut Cluster,
    users: &mut SimulatedUsers,
    load: &mut LoadGenerator,
) -> Result<Vec<String>, ClusterError> {
    let started_at = Instant::now();
    let mut due = fault_transitions(&run.plan).into_iter().peekable();
    let mut crashed = Vec::new();
    let mut next_request_at = Duration::ZERO;
    while due.peek().is_some() || started_at.elapsed() < run.span {
        let now = started_at.elapsed();
        while let Some(FaultTransition { phase, planned, .. }) = due.next_if(|due| due.at <= now) {
            crashed.extend(cluster.crashed_controllers());
            apply_fault(cluster, &planned, phase)?;
            users.update_targets(cluster);
        }
        if now >= next_request_at && now < run.span {
            next_request_at = now + Duration::from_millis(load.rng.random_range(100..900));
            load.submit_or_cancel(cluster, users);
        }
        tokio::time::sleep(STEP_INTERVAL).await;
    }
    // Faults that overlapped may have ended one another early or late, so all of them are ended once more.
    for planned in &run.plan {
        apply_fault(cluster, planned, FaultPhase::End)?;
    }
    users.update_targets(cluster);
    Ok(crashed)
}

/// Generator of the users' requests, drawn from the seed.
struct LoadGenerator {
    rng: StdRng,
    last_job: u32,
}

impl LoadGenerator {
    fn draw_job(&mut self) -> (String, JobSpec) {
        self.last_job += 1;
        let id = format!("wk-soak-{:04}", self.last_job);
        let tasks = self.rng.random_range(1..5);
        let spec = match self.rng.random_range(0..3) {
            0 => JobSpec { spread: false, ..job_spec(JobKind::Service, "auction", tasks.min(2)) },
            1 => JobSpec { estimated_runtime_s: 60.0, ..job_spec(JobKind::Array, "invoices", tasks) },
            _ => JobSpec { estimated_runtime_s: 2.0, ..job_spec(JobKind::Array, "invoices", tasks) },
        };
        (id, spec)
    }

    async fn submit(&mut self, cluster: &Cluster, users: &mut SimulatedUsers) {
        let (id, spec) = self.draw_job();
        users.submit(cluster, &id, spec).await;
    }

    /// Submits a new job or cancels an open one.
    fn submit_or_cancel(&mut self, cluster: &Cluster, users: &mut SimulatedUsers) {
        if self.rng.random_range(0..2) == 0 {
            let (id, spec) = self.draw_job();
            return users.submit_in_background(cluster, &id, spec);
        }
        let is_open = |id: &String| users.status(id).is_some_and(|status| status == "queued" || status == "running");
        let open: Vec<String> = users.job_ids().into_iter().filter(is_open).collect();
        if !open.is_empty() {
            let id = &open[self.rng.random_range(0..open.len())];
            users.cancel_in_background(id, CANCEL_LIMIT);
        }
    }
}

fn read_logs(run: &SoakRun) -> String {
    let paths = (0..run.controllers).map(|number| run.directory.join(format!("node-{number}.log")));
    paths.filter_map(|path| std::fs::read_to_string(path).ok()).collect()
}

/// Renders the plan and all events as text.
fn render_timeline(run: &SoakRun, events: &[TimedEvent]) -> String {
    let plan = serde_json::to_string(&run.plan).unwrap_or_default();
    let lines = events.iter().map(|(at, event)| format!("{:>10.3} {event:?}\n", *at as f64 / 1e6));
    std::iter::once(format!("seed {}\nplan {plan}\n", run.seed)).chain(lines).collect()
}
