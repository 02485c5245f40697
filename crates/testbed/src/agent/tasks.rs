//! An agent's tasks and the commands that start and stop them.

use super::Agent;
use super::faults::AgentFault;
use super::repeated_commands::RepeatedCommands;
use crate::history::Event;
use crate::http::{ReceivedRequest, Reply};
use burlhatch::protocol::agent::{AgentCommand, DirectCommands, ExitCause, TaskState};
use burlhatch::protocol::decode;
use burlhatch::protocol::user::{JobKind, JobSpec};
use burlhatch::types::{FencingToken, TaskId};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::PoisonError;
use std::time::{Duration, Instant};

/// Time to fetch an image, whatever its size.
const IMAGE_FETCH_TIME: Duration = Duration::from_millis(400);
/// Tolerance for rounding errors in sums of CPUs.
const CPU_TOLERANCE: f64 = 1e-9;

#[derive(Clone, Debug)]
pub(super) struct Task {
    pub(super) attempt: u64,
    pub(super) state: TaskState,
    /// The time at which the image is fetched or the running task completes; `None` for a task that runs until it is
    /// stopped.
    next_step_at: Option<Instant>,
}

pub(super) struct AgentState {
    pub(super) incarnation: u64,
    pub(super) seq: u64,
    pub(super) fencing_token: FencingToken,
    pub(super) lease_renewed_at: Instant,
    pub(super) tasks: BTreeMap<String, Task>,
    /// Causes of exited tasks, by task id and attempt, kept until a command removes them.
    pub(super) exited: BTreeMap<(String, u64), ExitCause>,
    images: BTreeSet<String>,
    /// Whether anything has changed since the last heartbeat, so that the next one is due early.
    pub(super) has_unsent_changes: bool,
    /// The last time that a higher fencing token was treated as a change to report.
    token_changed_at: Option<Instant>,
    /// Copies of executed direct commands that arrive later.
    pub(super) repeats: Vec<RepeatedCommands>,
    /// Whether the machine has been deleted or lost.
    pub(super) has_terminated: bool,
}

impl AgentState {
    pub(super) fn new() -> AgentState {
        AgentState {
            incarnation: 1,
            seq: 0,
            fencing_token: FencingToken(0),
            lease_renewed_at: Instant::now(),
            tasks: BTreeMap::new(),
            exited: BTreeMap::new(),
            images: BTreeSet::new(),
            has_unsent_changes: true,
            token_changed_at: None,
            repeats: Vec::new(),
            has_terminated: false,
        }
    }

    /// Stores the highest fencing token received. A higher one makes the next heartbeat due early, but at most once in
    /// half a lease.
    pub(super) fn update_fencing_token(&mut self, fencing_token: FencingToken, lease: Duration) {
        if fencing_token <= self.fencing_token {
            return;
        }
        self.fencing_token = fencing_token;
        if self.token_changed_at.is_none_or(|at| at.elapsed() >= lease / 2) {
            self.token_changed_at = Some(Instant::now());
            self.has_unsent_changes = true;
        }
    }
}

impl Agent {
    /// Receives direct commands: drops or delays them if the agent's faults say so, and handles the others.
    pub(super) async fn receive_direct_commands(&self, request: &ReceivedRequest) -> Reply {
        if self.faults.has(AgentFault::ReceivesNothing) || self.faults.has(AgentFault::LosesCommands) {
            return None;
        }
        let is_delayed = self.faults.has(AgentFault::DelaysCommands);
        self.faults.wait_until_ended(AgentFault::DelaysCommands).await;
        self.faults.wait_until_ended(AgentFault::Stalled).await;
        let reply = self.handle_direct_commands(request).filter(|_| !is_delayed);
        if reply.as_ref().is_some_and(|(status, _)| *status == 200) {
            self.schedule_repeats(request);
        }
        reply
    }

    fn handle_direct_commands(&self, request: &ReceivedRequest) -> Reply {
        if self.network.is_partitioned() {
            return None;
        }
        let Ok(message) = decode::<DirectCommands>(&request.body) else {
            return Some((400, json!({"error": "malformed"})));
        };
        let mut state = self.locked();
        if state.has_terminated {
            return None;
        }
        let is_accepted = self.execute_if_current(&mut state, &message);
        let heartbeat = self.heartbeat(&mut state, None);
        let body = serde_json::to_value(&heartbeat).unwrap_or(Value::Null);
        Some((if is_accepted { 200 } else { 409 }, body))
    }

    /// Executes commands if their fencing token and session match. Returns whether they do.
    pub(super) fn execute_if_current(&self, state: &mut AgentState, message: &DirectCommands) -> bool {
        let is_accepted = message.fencing_token >= state.fencing_token && message.incarnation == state.incarnation;
        if is_accepted {
            state.update_fencing_token(message.fencing_token, self.environment.lease);
            self.execute(state, &message.commands);
        }
        is_accepted
    }

    pub(super) fn execute(&self, state: &mut AgentState, commands: &[AgentCommand]) {
        for command in commands {
            match command {
                AgentCommand::Start { task, attempt } => self.start_task(state, task, *attempt),
                AgentCommand::Stop { task, attempt, .. } => {
                    if state.tasks.get(task).is_some_and(|present| present.attempt == *attempt) {
                        self.exit(state, task, ExitCause::Stopped);
                    }
                }
                AgentCommand::Forget { task, attempt } => drop(state.exited.remove(&(task.clone(), *attempt))),
            }
        }
    }

    fn start_task(&self, state: &mut AgentState, id: &str, attempt: u64) {
        let has_exited = state.exited.contains_key(&(id.to_string(), attempt));
        if has_exited || state.tasks.get(id).is_some_and(|task| task.attempt == attempt) {
            return;
        }
        state.has_unsent_changes = true;
        if let Err(cause) = self.admit(state, id) {
            state.exited.insert((id.to_string(), attempt), cause);
            return;
        }
        let has_image = self.spec_of(id).is_some_and(|spec| state.images.contains(&spec.image));
        let fetched_at = Instant::now() + if has_image { Duration::ZERO } else { IMAGE_FETCH_TIME };
        let task = Task { attempt, state: TaskState::FetchingImage, next_step_at: Some(fetched_at) };
        state.tasks.insert(id.to_string(), task);
    }

    /// Checks whether a task can be started on this machine; the error is the cause with which it exits.
    fn admit(&self, state: &AgentState, id: &str) -> Result<(), ExitCause> {
        let spec = self.spec_of(id).ok_or(ExitCause::Unknown)?;
        if state.tasks.contains_key(id) {
            return Err(ExitCause::Busy);
        }
        let used: f64 = state.tasks.keys().filter_map(|task| self.spec_of(task)).map(|spec| spec.cpus).sum();
        if used + spec.cpus > self.machine.cpus + CPU_TOLERANCE {
            return Err(ExitCause::InsufficientResources);
        }
        Ok(())
    }

    fn spec_of(&self, task: &str) -> Option<JobSpec> {
        let job = TaskId::parse(task)?.job;
        self.environment.jobs.lock().unwrap_or_else(PoisonError::into_inner).get(&job).cloned()
    }

    /// Advances the agent to the current time: expires the lease if it is due, and moves due tasks to their next state.
    pub(super) fn step(&self) {
        let now = Instant::now();
        let mut state = self.locked();
        if state.has_terminated {
            return;
        }
        if now.duration_since(state.lease_renewed_at) > self.environment.lease {
            self.end_all_tasks(&mut state);
            state.incarnation += 1;
            state.lease_renewed_at = now;
            state.has_unsent_changes = true;
        }
        // The lease expires even while the agent is stalled, but its tasks make no progress.
        if self.faults.has(AgentFault::Stalled) {
            return;
        }
        let is_due = |task: &Task| task.next_step_at.is_some_and(|at| at <= now);
        let due: Vec<String> = state.tasks.iter().filter(|(_, task)| is_due(task)).map(|(id, _)| id.clone()).collect();
        for id in due {
            self.step_task(&mut state, id, now);
        }
    }

    fn step_task(&self, state: &mut AgentState, id: String, now: Instant) {
        let Some(spec) = self.spec_of(&id) else { return };
        state.has_unsent_changes = true;
        if state.tasks.get(&id).is_none_or(|task| task.state != TaskState::FetchingImage) {
            return self.exit(state, &id, ExitCause::Completed);
        }
        state.images.insert(spec.image.clone());
        let is_service = spec.kind == JobKind::Service;
        let done_at = (!is_service).then(|| now + Duration::from_secs_f64(spec.estimated_runtime_s));
        if let Some(task) = state.tasks.get_mut(&id) {
            (task.state, task.next_step_at) = (TaskState::Running, done_at);
        }
        self.environment.history.add(Event::TaskStarted { machine: self.machine.id.to_string(), task: id });
    }

    fn exit(&self, state: &mut AgentState, id: &str, cause: ExitCause) {
        let Some(task) = state.tasks.remove(id) else { return };
        state.has_unsent_changes = true;
        state.exited.insert((id.to_string(), task.attempt), cause);
        self.record_exit(id, &task, cause == ExitCause::Completed);
    }

    pub(super) fn end_all_tasks(&self, state: &mut AgentState) {
        for (id, task) in std::mem::take(&mut state.tasks) {
            self.record_exit(&id, &task, false);
        }
        state.exited.clear();
    }

    fn record_exit(&self, id: &str, task: &Task, is_done: bool) {
        if task.state != TaskState::FetchingImage {
            let machine = self.machine.id.to_string();
            self.environment.history.add(Event::TaskLeft { machine, task: id.to_string(), done: is_done });
        }
    }
}
