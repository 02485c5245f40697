//! A stand-in for a machine with its agent: it sends heartbeats, keeps a lease, obeys the highest fencing token, and
//! runs tasks that only wait.
//!
//! * `faults`: what goes wrong with it;
//! * `heartbeats`: its heartbeats and what their responses bring;
//! * `tasks`: its tasks and the commands that start and stop them.

mod faults;
mod heartbeats;
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

/// How a zone's machines are connected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connectivity {
    /// They reach everybody.
    Connected,
    /// Nothing gets through; their tasks go on.
    Partitioned,
}

/// The network of one zone's machines, changed by scenarios. Clones share it.
#[derive(Clone, Default)]
pub struct ZoneNetwork {
    is_partitioned: Arc<AtomicBool>,
}

impl ZoneNetwork {
    /// Partitions the zone off, or connects it again.
    pub fn set(&self, connectivity: Connectivity) {
        self.is_partitioned.store(connectivity == Connectivity::Partitioned, Ordering::SeqCst);
    }

    fn is_partitioned(&self) -> bool {
        self.is_partitioned.load(Ordering::SeqCst)
    }
}

/// What all machines of a run share.
#[derive(Clone)]
pub struct Environment {
    /// Addresses of the controllers, by label.
    pub controllers: BTreeMap<String, SocketAddr>,
    /// Descriptions of the jobs that users have submitted.
    pub jobs: Arc<Mutex<BTreeMap<JobId, JobSpec>>>,
    /// Record of what happens.
    pub history: History,
    /// Time between heartbeats.
    pub heartbeat_interval: Duration,
    /// Lease of an agent: without an answered heartbeat for so long it ends its tasks.
    pub lease: Duration,
}

/// A machine's properties.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Its name.
    pub id: MachineId,
    /// Name of its type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot instance.
    pub spot: bool,
    /// Its CPUs.
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

/// A machine that runs; gone, with all its tasks, when this is dropped.
pub struct RunningMachine {
    agent: Arc<Agent>,
    _loops: JoinSet<()>,
    _server: Server,
}

impl RunningMachine {
    /// Starts a machine.
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

    /// Ids of the tasks that run there.
    pub fn running_tasks(&self) -> Vec<String> {
        let state = self.agent.locked();
        let running = state.tasks.iter().filter(|(_, task)| task.state == TaskState::Running);
        running.map(|(id, _)| id.clone()).collect()
    }

    /// Lets its agent have a fault for a while.
    pub fn inject_fault(&self, fault: AgentFault, duration: Duration) {
        self.agent.faults.add(fault, duration);
    }

    /// Its zone.
    pub fn zone(&self) -> &str {
        &self.agent.machine.zone
    }
}

impl Drop for RunningMachine {
    fn drop(&mut self) {
        let mut state = self.agent.locked();
        self.agent.end_all_tasks(&mut state);
        // Calls that are still running may not start anything any more.
        state.has_terminated = true;
    }
}

async fn step_loop(agent: Arc<Agent>) {
    loop {
        tokio::time::sleep(STEP_INTERVAL).await;
        agent.step();
    }
}
