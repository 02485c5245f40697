//! An agent's heartbeats: the choice of the controller that receives them, and the handling of its responses.

use super::faults::AgentFault;
use super::tasks::AgentState;
use super::{Agent, STEP_INTERVAL};
use burlhatch::protocol::agent::{
    ExitCause, HEARTBEAT_PATH, Heartbeat, HeartbeatResponse, Redirect, TaskState, TaskStatus,
};
use burlhatch::protocol::encode;
use burlhatch::transport::client::{Client, HttpResponse};
use hyper::{Method, StatusCode};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(4);
/// Pause between a failed heartbeat and the next one, which goes to another controller.
const RETRY_PAUSE: Duration = Duration::from_millis(1000);
/// Pause between a redirect and the heartbeat to the controller that it names.
const REDIRECT_PAUSE: Duration = Duration::from_millis(50);
/// Minimum time between two heartbeats when a change makes the second one due early.
const MIN_HEARTBEAT_PAUSE: Duration = Duration::from_millis(500);

/// Sends heartbeats until the task is dropped.
pub(super) async fn heartbeat_loop(agent: Arc<Agent>, own_address: SocketAddr) {
    let client = Client::default();
    let mut target = TargetController::new(&agent);
    loop {
        agent.faults.wait_until_ended(AgentFault::Stalled).await;
        let sent_at = Instant::now();
        let heartbeat = agent.next_heartbeat(own_address);
        let response = agent.send(&client, target.address(&agent), &heartbeat).await;
        agent.faults.wait_until_ended(AgentFault::Stalled).await;
        let response = response.filter(|_| !agent.loses_response(sent_at));
        let pause = match response {
            Some(response) if response.status == StatusCode::OK => {
                if let Ok(response) = response.decode() {
                    agent.handle_response(&response, sent_at, heartbeat.incarnation);
                }
                agent.environment.heartbeat_interval
            }
            Some(response) if response.status == StatusCode::MISDIRECTED_REQUEST => target.redirect(&response),
            _ => {
                target.switch_to_next();
                RETRY_PAUSE
            }
        };
        agent.wait_for_change(pause).await;
    }
}

/// The controller that an agent sends its heartbeats to.
struct TargetController {
    labels: Vec<String>,
    position: usize,
}

impl TargetController {
    fn new(agent: &Agent) -> TargetController {
        TargetController { labels: agent.environment.controllers.keys().cloned().collect(), position: 0 }
    }

    fn address(&self, agent: &Agent) -> SocketAddr {
        agent.environment.controllers[&self.labels[self.position % self.labels.len()]]
    }

    fn switch_to_next(&mut self) {
        self.position += 1;
    }

    /// Switches to the controller that a redirect names, or to the next one if it names no other known controller.
    /// Returns the pause before the next heartbeat.
    fn redirect(&mut self, response: &HttpResponse) -> Duration {
        let owner = response.decode::<Redirect>().ok().and_then(|redirect| redirect.controller);
        let named = owner.and_then(|owner| self.labels.iter().position(|label| *label == owner));
        match named.filter(|position| *position != self.position % self.labels.len()) {
            Some(position) => {
                self.position = position;
                REDIRECT_PAUSE
            }
            None => {
                self.switch_to_next();
                RETRY_PAUSE
            }
        }
    }
}

impl Agent {
    /// Sends a heartbeat and returns the response. While the network or a fault loses heartbeats, waits for the timeout
    /// instead.
    async fn send(&self, client: &Client, controller: SocketAddr, heartbeat: &Heartbeat) -> Option<HttpResponse> {
        if self.network.is_partitioned() || self.faults.has(AgentFault::LosesHeartbeats) {
            tokio::time::sleep(HEARTBEAT_TIMEOUT).await;
            return None;
        }
        client.call(controller, Method::POST, HEARTBEAT_PATH, encode(heartbeat), HEARTBEAT_TIMEOUT).await.ok()
    }

    fn loses_response(&self, sent_at: Instant) -> bool {
        self.network.is_partitioned()
            || self.faults.has(AgentFault::ReceivesNothing)
            || sent_at.elapsed() > HEARTBEAT_TIMEOUT
    }

    fn next_heartbeat(&self, own_address: SocketAddr) -> Heartbeat {
        let mut state = self.locked();
        state.has_unsent_changes = false;
        self.heartbeat(&mut state, Some(own_address))
    }

    pub(super) fn heartbeat(&self, state: &mut AgentState, own_address: Option<SocketAddr>) -> Heartbeat {
        state.seq += 1;
        Heartbeat {
            machine: self.machine.id.clone(),
            addr: own_address.map(|address| address.to_string()),
            machine_type: self.machine.machine_type.clone(),
            zone: self.machine.zone.clone(),
            spot: self.machine.spot,
            incarnation: state.incarnation,
            seq: state.seq,
            fencing_token: state.fencing_token,
            termination_notice_s: None,
            tasks: task_statuses(state),
        }
    }

    /// Waits until the next heartbeat is due: after `pause`, or earlier if there are unsent changes.
    async fn wait_for_change(&self, pause: Duration) {
        let started_at = Instant::now();
        while started_at.elapsed() < pause {
            tokio::time::sleep(STEP_INTERVAL).await;
            if self.locked().has_unsent_changes && started_at.elapsed() >= MIN_HEARTBEAT_PAUSE {
                return;
            }
        }
    }

    fn handle_response(&self, response: &HeartbeatResponse, sent_at: Instant, incarnation: u64) {
        let mut state = self.locked();
        if response.fencing_token < state.fencing_token || incarnation != state.incarnation || state.has_terminated {
            return;
        }
        state.update_fencing_token(response.fencing_token, self.environment.lease);
        state.lease_renewed_at = state.lease_renewed_at.max(sent_at);
        self.execute(&mut state, &response.commands);
    }
}

fn task_statuses(state: &AgentState) -> Vec<TaskStatus> {
    let status = |task: &String, attempt: u64, state: TaskState, exit_cause: Option<ExitCause>| TaskStatus {
        task: task.clone(),
        attempt,
        state,
        exit_cause,
        checkpointed: None,
    };
    let present = state.tasks.iter().map(|(id, task)| status(id, task.attempt, task.state, None));
    let exited =
        state.exited.iter().map(|((id, attempt), cause)| status(id, *attempt, TaskState::Exited, Some(*cause)));
    present.chain(exited).collect()
}
