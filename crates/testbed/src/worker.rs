//! A stand-in machine: its worker reports, keeps a lease, obeys the highest fencing token and runs tasks that only wait.

use crate::history::{Event, History};
use crate::http::{Call, Reply, serve};
use burlhatch::protocol::user::{JobKind, JobSpec};
use burlhatch::protocol::worker::{
    AgentCommand, DirectCommands, ExitCause, Heartbeat, HeartbeatResponse, TaskState, TaskStatus,
};
use burlhatch::protocol::{decode, encode};
use burlhatch::transport::client::Client;
use burlhatch::types::{FencingToken, JobId, MachineId, TaskId};
use hyper::Method;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

const STEP: Duration = Duration::from_millis(50);
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(4);
const RETRY: Duration = Duration::from_millis(1000);
const LEAST_PAUSE: Duration = Duration::from_millis(500);
/// Time that fetching any image takes.
const FETCH: Duration = Duration::from_millis(400);

/// How a zone's machines are connected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    /// All is well.
    Up,
    /// Nothing gets through; machines work on.
    Cut,
}

/// The connection of one zone, changed by scenarios.
#[derive(Clone, Default)]
pub struct ZoneLink(Arc<AtomicU8>);

impl ZoneLink {
    /// Cuts or mends it.
    pub fn set(&self, link: Link) {
        self.0.store(u8::from(link == Link::Cut), Ordering::SeqCst);
    }

    fn is_cut(&self) -> bool {
        self.0.load(Ordering::SeqCst) != 0
    }
}

/// What happens to one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerTrouble {
    /// It stands still, and goes on with what has come meanwhile if its lease lasts.
    Hung,
    /// Its heartbeats arrive; answers and direct commands don't.
    Deaf,
    /// Its heartbeats reach nobody; direct commands do.
    Mute,
    /// Direct commands don't reach it; answers to its heartbeats do.
    Unreachable,
    /// Direct commands are held up on their way, unanswered, and carried out when the trouble is over.
    LateCommands,
}

/// Until when each trouble lasts.
#[derive(Default)]
struct Troubles(Mutex<Vec<(WorkerTrouble, Instant)>>);

impl Troubles {
    fn add(&self, trouble: WorkerTrouble, duration: Duration) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push((trouble, Instant::now() + duration));
    }

    fn until(&self, trouble: WorkerTrouble) -> Option<Instant> {
        let now = Instant::now();
        let troubles = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        troubles.iter().filter(|(kind, until)| *kind == trouble && *until > now).map(|(_, until)| *until).max()
    }

    fn has(&self, trouble: WorkerTrouble) -> bool {
        self.until(trouble).is_some()
    }

    /// Waits until a trouble is over.
    async fn outlast(&self, trouble: WorkerTrouble) {
        while let Some(until) = self.until(trouble) {
            tokio::time::sleep_until(until.into()).await;
        }
    }
}

/// What all machines of a run share.
#[derive(Clone)]
pub struct Surroundings {
    /// Where controllers listen, by label.
    pub controllers: BTreeMap<String, SocketAddr>,
    /// Jobs that users have uploaded.
    pub jobs: Arc<Mutex<BTreeMap<JobId, JobSpec>>>,
    /// What happens.
    pub history: History,
    /// Time between heartbeats.
    pub heartbeat_interval: Duration,
    /// Without an answered heartbeat for so long a worker ends its tasks.
    pub lease: Duration,
}

/// What a machine is.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Its name.
    pub id: MachineId,
    /// Its type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Whether it may be taken back.
    pub spot: bool,
    /// Processors that it has.
    pub cpus: f64,
}

#[derive(Clone, Debug)]
struct Task {
    attempt: u64,
    state: TaskState,
    due: Option<Instant>,
}

struct WorkerState {
    incarnation: u64,
    seq: u64,
    fencing_token: FencingToken,
    renewed: Instant,
    tasks: BTreeMap<String, Task>,
    exited: BTreeMap<(String, u64), ExitCause>,
    images: BTreeSet<String>,
    changed: bool,
    /// When a higher fencing token last counted as a change.
    token_change: Option<Instant>,
}

impl WorkerState {
    /// Keeps the highest fencing token. A higher one is reported at once, though only one time within half a lease.
    fn take_token(&mut self, fencing_token: FencingToken, lease: Duration) {
        if fencing_token <= self.fencing_token {
            return;
        }
        self.fencing_token = fencing_token;
        if self.token_change.is_none_or(|at| at.elapsed() >= lease / 2) {
            self.token_change = Some(Instant::now());
            self.changed = true;
        }
    }
}

struct Worker {
    machine: Machine,
    link: ZoneLink,
    troubles: Troubles,
    around: Surroundings,
    state: Mutex<WorkerState>,
}

/// A machine that is up; gone, with all that was on it, when this is dropped.
pub struct RunningMachine {
    worker: Arc<Worker>,
    _tasks: JoinSet<()>,
    _server: JoinSet<()>,
}

impl RunningMachine {
    /// Tasks at work there.
    pub fn at_work(&self) -> Vec<String> {
        let state = self.worker.locked();
        state.tasks.iter().filter(|(_, task)| task.state == TaskState::Running).map(|(name, _)| name.clone()).collect()
    }

    /// Something happens to its worker.
    pub fn trouble(&self, trouble: WorkerTrouble, duration: Duration) {
        self.worker.troubles.add(trouble, duration);
    }

    /// Its zone.
    pub fn zone(&self) -> &str {
        &self.worker.machine.zone
    }
}

impl Drop for RunningMachine {
    fn drop(&mut self) {
        let mut state = self.worker.locked();
        self.worker.end_all(&mut state);
        // What still runs of it may not begin anything any more.
        state.incarnation = u64::MAX;
    }
}

/// Brings a machine up.
pub async fn start(machine: Machine, link: ZoneLink, around: Surroundings) -> io::Result<RunningMachine> {
    let state = WorkerState {
        incarnation: 1,
        seq: 0,
        fencing_token: FencingToken(0),
        renewed: Instant::now(),
        tasks: BTreeMap::new(),
        exited: BTreeMap::new(),
        images: BTreeSet::new(),
        changed: true,
        token_change: None,
    };
    let worker = Arc::new(Worker { machine, link, troubles: Troubles::default(), around, state: Mutex::new(state) });
    let commands = worker.clone();
    let (address, server) = serve(move |call| {
        let worker = commands.clone();
        async move {
            if worker.troubles.has(WorkerTrouble::Deaf) || worker.troubles.has(WorkerTrouble::Unreachable) {
                return None;
            }
            let late = worker.troubles.has(WorkerTrouble::LateCommands);
            worker.troubles.outlast(WorkerTrouble::LateCommands).await;
            worker.troubles.outlast(WorkerTrouble::Hung).await;
            worker.direct(&call).filter(|_| !late)
        }
    })
    .await?;
    let mut tasks = JoinSet::new();
    tasks.spawn(step_on(worker.clone()));
    tasks.spawn(send_heartbeats(worker.clone(), address));
    Ok(RunningMachine { worker, _tasks: tasks, _server: server })
}

async fn step_on(worker: Arc<Worker>) {
    loop {
        tokio::time::sleep(STEP).await;
        worker.step();
    }
}

async fn send_heartbeats(worker: Arc<Worker>, address: SocketAddr) {
    let client = Client::default();
    let labels: Vec<String> = worker.around.controllers.keys().cloned().collect();
    let mut at = 0;
    loop {
        worker.troubles.outlast(WorkerTrouble::Hung).await;
        let sent = Instant::now();
        let heartbeat = worker.locked_heartbeat(address);
        let incarnation = heartbeat.incarnation;
        let controller = worker.around.controllers[&labels[at % labels.len()]];
        let answer = if worker.link.is_cut() || worker.troubles.has(WorkerTrouble::Mute) {
            tokio::time::sleep(HEARTBEAT_TIMEOUT).await;
            None
        } else {
            client.call(controller, Method::POST, "/checkin", encode(&heartbeat), HEARTBEAT_TIMEOUT).await.ok()
        };
        worker.troubles.outlast(WorkerTrouble::Hung).await;
        let lost =
            worker.link.is_cut() || worker.troubles.has(WorkerTrouble::Deaf) || sent.elapsed() > HEARTBEAT_TIMEOUT;
        let answer = answer.filter(|_| !lost);
        let pause = match answer {
            Some(answer) if answer.status == 200 => {
                if let Ok(commands) = decode::<HeartbeatResponse>(&answer.body) {
                    worker.take_answer(&commands, sent, incarnation);
                }
                worker.pause_until_next()
            }
            Some(answer) if answer.status == 421 => {
                let body: Value = decode(&answer.body).unwrap_or(Value::Null);
                let named = body["harbour"].as_str().and_then(|label| labels.iter().position(|known| known == label));
                let other = named.filter(|named| *named != at % labels.len());
                at = other.unwrap_or(at + 1);
                if other.is_some() { Duration::from_millis(50) } else { RETRY }
            }
            _ => {
                at += 1;
                RETRY
            }
        };
        worker.wait(pause).await;
    }
}

impl Worker {
    fn locked(&self) -> MutexGuard<'_, WorkerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn locked_heartbeat(&self, address: SocketAddr) -> Heartbeat {
        let mut state = self.locked();
        state.changed = false;
        self.heartbeat(&mut state, Some(address))
    }

    fn heartbeat(&self, state: &mut WorkerState, address: Option<SocketAddr>) -> Heartbeat {
        state.seq += 1;
        let running = state.tasks.iter().map(|(name, task)| (name.clone(), task.attempt, task.state, None));
        let exited =
            state.exited.iter().map(|((name, attempt), why)| (name.clone(), *attempt, TaskState::Exited, Some(*why)));
        let tasks = running
            .chain(exited)
            .map(|(task, attempt, state, exit_cause)| TaskStatus {
                task,
                attempt,
                state,
                exit_cause,
                checkpointed: None,
            })
            .collect();
        Heartbeat {
            machine: self.machine.id.clone(),
            addr: address.map(|address| address.to_string()),
            machine_type: self.machine.machine_type.clone(),
            zone: self.machine.zone.clone(),
            spot: self.machine.spot,
            incarnation: state.incarnation,
            seq: state.seq,
            fencing_token: state.fencing_token,
            termination_notice_s: None,
            tasks,
        }
    }

    /// Until the next heartbeat is due, sooner if something changes.
    async fn wait(&self, pause: Duration) {
        let began = Instant::now();
        while began.elapsed() < pause {
            tokio::time::sleep(STEP).await;
            if self.locked().changed && began.elapsed() >= LEAST_PAUSE {
                return;
            }
        }
    }

    fn pause_until_next(&self) -> Duration {
        self.around.heartbeat_interval
    }

    fn take_answer(&self, commands: &HeartbeatResponse, sent: Instant, incarnation: u64) {
        let mut state = self.locked();
        if commands.fencing_token < state.fencing_token || incarnation != state.incarnation {
            return;
        }
        state.take_token(commands.fencing_token, self.around.lease);
        state.renewed = state.renewed.max(sent);
        self.obey(&mut state, &commands.commands);
    }

    /// A direct message.
    fn direct(&self, call: &Call) -> Reply {
        if self.link.is_cut() {
            return None;
        }
        let Ok(commands) = decode::<DirectCommands>(&call.body) else {
            return Some((400, json!({"error": "malformed"})));
        };
        let mut state = self.locked();
        let fits = commands.fencing_token >= state.fencing_token && commands.incarnation == state.incarnation;
        if fits {
            state.take_token(commands.fencing_token, self.around.lease);
            self.obey(&mut state, &commands.commands);
        }
        let heartbeat = self.heartbeat(&mut state, None);
        let body = serde_json::to_value(&heartbeat).unwrap_or(Value::Null);
        Some((if fits { 200 } else { 409 }, body))
    }

    fn obey(&self, state: &mut WorkerState, commands: &[AgentCommand]) {
        for order in commands {
            match order {
                AgentCommand::Start { task, attempt } => self.start_task(state, task, *attempt),
                AgentCommand::Stop { task, attempt, .. } => {
                    if state.tasks.get(task).is_some_and(|here| here.attempt == *attempt) {
                        self.exit(state, task, ExitCause::Stopped);
                    }
                }
                AgentCommand::Forget { task, attempt } => drop(state.exited.remove(&(task.clone(), *attempt))),
            }
        }
    }

    fn spec_of(&self, task: &str) -> Option<JobSpec> {
        let job = TaskId::parse(task)?.job;
        self.around.jobs.lock().unwrap_or_else(PoisonError::into_inner).get(&job).cloned()
    }

    fn start_task(&self, state: &mut WorkerState, name: &str, attempt: u64) {
        let known = state.exited.contains_key(&(name.to_string(), attempt));
        if known || state.tasks.get(name).is_some_and(|task| task.attempt == attempt) {
            return;
        }
        state.changed = true;
        let used: f64 = state.tasks.keys().filter_map(|task| self.spec_of(task)).map(|spec| spec.cpus).sum();
        let refusal = match self.spec_of(name) {
            None => Some(ExitCause::Unknown),
            Some(_) if state.tasks.contains_key(name) => Some(ExitCause::Busy),
            Some(spec) if used + spec.cpus > self.machine.cpus + 1e-9 => Some(ExitCause::InsufficientResources),
            Some(_) => None,
        };
        if let Some(why) = refusal {
            state.exited.insert((name.to_string(), attempt), why);
            return;
        }
        let held = self.spec_of(name).is_some_and(|spec| state.images.contains(&spec.image));
        let due = Instant::now() + if held { Duration::ZERO } else { FETCH };
        state.tasks.insert(name.to_string(), Task { attempt, state: TaskState::FetchingImage, due: Some(due) });
    }

    fn step(&self) {
        let now = Instant::now();
        let mut state = self.locked();
        if state.incarnation == u64::MAX {
            return;
        }
        if now.duration_since(state.renewed) > self.around.lease {
            self.end_all(&mut state);
            state.incarnation += 1;
            state.renewed = now;
            state.changed = true;
        }
        // Its lease runs out while it hangs, too; nothing else goes on.
        if self.troubles.has(WorkerTrouble::Hung) {
            return;
        }
        let due = state.tasks.iter().filter(|(_, task)| task.due.is_some_and(|due| due <= now));
        let due: Vec<String> = due.map(|(name, _)| name.clone()).collect();
        for name in due {
            let Some(spec) = self.spec_of(&name) else { continue };
            let fetched = state.tasks.get(&name).is_some_and(|task| task.state == TaskState::FetchingImage);
            state.changed = true;
            if !fetched {
                self.exit(&mut state, &name, ExitCause::Completed);
                continue;
            }
            state.images.insert(spec.image.clone());
            let runs = (spec.kind != JobKind::Service).then(|| now + Duration::from_secs_f64(spec.estimated_runtime_s));
            if let Some(task) = state.tasks.get_mut(&name) {
                (task.state, task.due) = (TaskState::Running, runs);
            }
            self.around.history.add(Event::Begun { machine: self.machine.id.to_string(), task: name });
        }
    }

    fn exit(&self, state: &mut WorkerState, name: &str, why: ExitCause) {
        let Some(task) = state.tasks.remove(name) else { return };
        state.changed = true;
        state.exited.insert((name.to_string(), task.attempt), why);
        self.note_left(name, &task, why == ExitCause::Completed);
    }

    fn note_left(&self, name: &str, task: &Task, done: bool) {
        if task.state != TaskState::FetchingImage {
            let machine = self.machine.id.to_string();
            self.around.history.add(Event::Left { machine, task: name.to_string(), done });
        }
    }

    fn end_all(&self, state: &mut WorkerState) {
        for (name, task) in std::mem::take(&mut state.tasks) {
            self.note_left(&name, &task, false);
        }
        state.exited.clear();
    }
}
