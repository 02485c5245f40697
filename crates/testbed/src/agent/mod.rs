//! A stand-in for a machine with its agent: it sends heartbeats, holds a lease, accepts commands only under the highest
//! fencing token that it has received, and runs simulated tasks, which only wait.
//!
//! * `faults`: faults injected into the agent;
//! * `heartbeats`: heartbeats and the handling of their responses;
//! * `repeated_commands`: late copies of direct commands that were executed and answered;
//! * `tasks`: tasks and the commands that start and stop them.

mod faults;
mod heartbeats;
mod repeated_commands;
mod tasks;

pub use faults::AgentFault;

use crate::history::History;
use crate::http::serve;
use crate::listener::Server;
use burlhatch::protocol::agent::TaskState;
use burlhatch::protocol::user::JobSpec;
use burlhatch::types::{JobId, MachineId};
use faults::ActiveFaults;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tasks::AgentState;
use tokio::task::JoinSet;

const STEP_INTERVAL: Duration = Duration::from_millis(50);

/// Whether the machines of a zone can communicate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connectivity {
    /// The machines reach all controllers and are reached by them.
    Connected,
    /// No message reaches or leaves the machines; their tasks continue to run.
    Partitioned,
}

/// The network of the machines in one zone, controlled by scenarios. Clones share its state.
#[derive(Clone, Default)]
pub struct ZoneNetwork {
    is_partitioned: Arc<AtomicBool>,
}

impl ZoneNetwork {
    /// Partitions the zone's machines from the controllers, or reconnects them.
    pub fn set(&self, connectivity: Connectivity) {
        self.is_partitioned.store(connectivity == Connectivity::Partitioned, Ordering::SeqCst);
    }

    fn is_partitioned(&self) -> bool {
        self.is_partitioned.load(Ordering::SeqCst)
    }
}

/// Data and settings that all machines of a run share.
#[derive(Clone)]
pub struct Environment {
    /// Addresses at which agents reach the controllers, by label.
    pub controllers: BTreeMap<String, SocketAddr>,
    /// Descriptions of the jobs that users have submitted.
    pub jobs: Arc<Mutex<BTreeMap<JobId, JobSpec>>>,
    /// Record of events of the run.
    pub history: History,
    /// Time between heartbeats.
    pub heartbeat_interval: Duration,
    /// Duration of an agent's lease. The agent ends its tasks after this time without an answered heartbeat.
    pub lease: Duration,
}

/// A machine's properties.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Id of the machine.
    pub id: MachineId,
    /// Name of the machine type.
    pub machine_type: String,
    /// Zone of the machine.
    pub zone: String,
    /// Whether the machine is a spot instance.
    pub spot: bool,
    /// Number of CPUs.
    pub cpus: f64,
}

struct Agent {
    machine: Machine,
    network: ZoneNetwork,
    faults: ActiveFaults,
    environment: Environment,
    state: Mutex<AgentState>,
}

impl Agent {
    fn locked(&self) -> MutexGuard<'_, AgentState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running machine. Dropping it terminates the machine with all its tasks.
pub struct RunningMachine {
    agent: Arc<Agent>,
    _loops: JoinSet<()>,
    _server: Server,
}

impl RunningMachine {
    /// Starts a machine with its agent.
    pub async fn start(machine: Machine, network: ZoneNetwork, environment: Environment) -> io::Result<RunningMachine> {
        let (faults, state) = (ActiveFaults::default(), Mutex::new(AgentState::new()));
        let agent = Arc::new(Agent { machine, network, faults, environment, state });
        let receiver = agent.clone();
        let server = serve(move |request| {
            let agent = receiver.clone();
            async move { agent.receive_direct_commands(&request).await }
        })
        .await?;
        let mut loops = JoinSet::new();
        loops.spawn(step_loop(agent.clone()));
        loops.spawn(heartbeats::heartbeat_loop(agent.clone(), server.address));
        Ok(RunningMachine { agent, _loops: loops, _server: server })
    }

    /// Returns the ids of the tasks that run on the machine.
    pub fn running_tasks(&self) -> Vec<String> {
        let state = self.agent.locked();
        let running = state.tasks.iter().filter(|(_, task)| task.state == TaskState::Running);
        running.map(|(id, _)| id.clone()).collect()
    }

    /// Injects a fault into the machine's agent for the given time.
    pub fn inject_fault(&self, fault: AgentFault, duration: Duration) {
        self.agent.faults.add(fault, duration);
    }

    /// Returns the zone of the machine.
    pub fn zone(&self) -> &str {
        &self.agent.machine.zone
    }
}

impl Drop for RunningMachine {
    fn drop(&mut self) {
        let mut state = self.agent.locked();
        self.agent.end_all_tasks(&mut state);
        // Requests that are still being handled must not start tasks after this.
        state.has_terminated = true;
    }
}

async fn step_loop(agent: Arc<Agent>) {
    loop {
        tokio::time::sleep(STEP_INTERVAL).await;
        agent.step();
        agent.execute_due_repeats();
    }
}
