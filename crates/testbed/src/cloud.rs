//! A stand-in for the cloud: it provisions machines by zone, lists them, and deletes them with all that is on them.

use crate::agent::{AgentFault, Connectivity, Environment, Machine, RunningMachine, ZoneNetwork};
use crate::http::{ReceivedRequest, Reply, serve};
use crate::listener::Server;
use burlhatch::protocol::cloud::{DELETE_PATH, INSTANCES_PATH, InstanceRequest, MachineNames, NO_CAPACITY, TYPES_PATH};
use burlhatch::protocol::decode;
use burlhatch::types::MachineId;
use hyper::Method;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The only type of machine.
const MACHINE_TYPE: &str = "four";
/// CPUs of each machine.
const CPUS: f64 = 4.0;
/// Time from a request until the machine runs.
const STARTUP_TIME: Duration = Duration::from_millis(1500);

struct ProvisionedMachine {
    machine: Machine,
    requested_at: Instant,
    running: Option<RunningMachine>,
    has_failed: bool,
}

#[derive(Default)]
struct CloudState {
    machines: BTreeMap<MachineId, ProvisionedMachine>,
    /// Machines of each request, so that a repeated one gets the same.
    requests: BTreeMap<String, Vec<MachineId>>,
    last_number: u32,
    max_machines: usize,
    failed_zones: BTreeSet<String>,
    is_unavailable: bool,
}

impl CloudState {
    fn running(&self) -> impl Iterator<Item = &RunningMachine> {
        self.machines.values().filter_map(|provisioned| provisioned.running.as_ref())
    }

    /// Whether a machine can start, or has failed or been deleted meanwhile.
    fn can_start(&self, id: &MachineId) -> bool {
        let is_startable = |m: &ProvisionedMachine| !m.has_failed && !self.failed_zones.contains(&m.machine.zone);
        self.machines.get(id).is_some_and(is_startable)
    }
}

/// A task that runs, and the zone of its machine.
pub struct RunningTask {
    /// Id of the task.
    pub task: String,
    /// Zone of its machine.
    pub zone: String,
}

/// The cloud, and a handle on it for scenarios.
#[derive(Clone)]
pub struct Cloud {
    state: Arc<Mutex<CloudState>>,
    networks: Arc<BTreeMap<String, ZoneNetwork>>,
    environment: Environment,
}

impl Cloud {
    /// A cloud with these zones that provisions at most so many machines at a time.
    pub fn new(zones: &[String], max_machines: usize, environment: Environment) -> Cloud {
        let networks = zones.iter().map(|zone| (zone.clone(), ZoneNetwork::default())).collect();
        let state = CloudState { max_machines, ..CloudState::default() };
        Cloud { state: Arc::new(Mutex::new(state)), networks: Arc::new(networks), environment }
    }

    fn locked(&self) -> MutexGuard<'_, CloudState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Refuses everybody, or serves again.
    pub fn set_unavailable(&self, is_unavailable: bool) {
        self.locked().is_unavailable = is_unavailable;
    }

    /// Lets the agents of one in so many running machines, beginning with the first, have a fault.
    pub fn inject_agent_fault(&self, one_in: usize, fault: AgentFault, duration: Duration) {
        let state = self.locked();
        state.running().step_by(one_in.max(1)).for_each(|machine| machine.inject_fault(fault, duration));
    }

    /// Starts to serve.
    pub(crate) async fn start(&self) -> io::Result<Server> {
        let cloud = self.clone();
        serve(move |request| {
            let cloud = cloud.clone();
            async move { cloud.answer(&request) }
        })
        .await
    }

    /// Partitions a zone's machines off, or connects them again.
    pub fn set_connectivity(&self, zone: &str, connectivity: Connectivity) {
        if let Some(network) = self.networks.get(zone) {
            network.set(connectivity);
        }
    }

    /// All machines of a zone are gone at once, and none starts there until it is restored.
    pub fn kill_zone(&self, zone: &str) {
        let mut state = self.locked();
        state.failed_zones.insert(zone.to_string());
        for provisioned in state.machines.values_mut().filter(|provisioned| provisioned.machine.zone == zone) {
            provisioned.running = None;
            provisioned.has_failed = true;
        }
    }

    /// Machines start in a zone again.
    pub fn restore_zone(&self, zone: &str) {
        self.locked().failed_zones.remove(zone);
    }

    /// All tasks that run.
    pub fn running_tasks(&self) -> Vec<RunningTask> {
        let state = self.locked();
        let tasks_of = |machine: &RunningMachine| {
            let zone = machine.zone().to_string();
            machine.running_tasks().into_iter().map(move |task| RunningTask { task, zone: zone.clone() })
        };
        state.running().flat_map(tasks_of).collect()
    }

    /// Number of machines that run in a zone.
    pub fn machine_count(&self, zone: &str) -> usize {
        self.locked().running().filter(|machine| machine.zone() == zone).count()
    }

    /// Provisions machines, as far as there is capacity; they run a while later.
    pub fn provision(&self, zone: &str, spot: bool, count: u32) -> Vec<MachineId> {
        let mut state = self.locked();
        let used = state.machines.values().filter(|provisioned| !provisioned.has_failed).count();
        let count = state.max_machines.saturating_sub(used).min(count as usize);
        let mut names = Vec::new();
        for _ in 0..count {
            state.last_number += 1;
            let id = MachineId::new(&format!("m-{:06}", state.last_number));
            let (machine_type, zone) = (MACHINE_TYPE.into(), zone.into());
            let machine = Machine { id: id.clone(), machine_type, zone, spot, cpus: CPUS };
            let provisioned =
                ProvisionedMachine { machine, requested_at: Instant::now(), running: None, has_failed: false };
            state.machines.insert(id.clone(), provisioned);
            tokio::spawn(self.clone().start_machine(id.clone()));
            names.push(id);
        }
        names
    }

    async fn start_machine(self, id: MachineId) {
        tokio::time::sleep(STARTUP_TIME).await;
        let machine = {
            let state = self.locked();
            state.machines.get(&id).filter(|_| state.can_start(&id)).map(|provisioned| provisioned.machine.clone())
        };
        let Some(machine) = machine else { return };
        let network = self.networks.get(&machine.zone).cloned().unwrap_or_default();
        let Ok(running) = RunningMachine::start(machine, network, self.environment.clone()).await else { return };
        let mut state = self.locked();
        if state.can_start(&id)
            && let Some(provisioned) = state.machines.get_mut(&id)
        {
            provisioned.running = Some(running);
        }
    }

    fn answer(&self, request: &ReceivedRequest) -> Reply {
        if self.locked().is_unavailable {
            return Some((503, json!({"error": "trouble"})));
        }
        let reply = match (&request.method, request.path.as_str()) {
            (&Method::GET, TYPES_PATH) => (200, self.types()),
            (&Method::GET, INSTANCES_PATH) => (200, self.list(request.query.get("after").map_or("", String::as_str))),
            (&Method::POST, INSTANCES_PATH) => match decode::<InstanceRequest>(&request.body) {
                Ok(instance_request) => self.answer_instance_request(instance_request),
                Err(_) => (400, Value::Null),
            },
            (&Method::POST, DELETE_PATH) => match decode::<MachineNames>(&request.body) {
                Ok(names) => self.delete(&names),
                Err(_) => (400, Value::Null),
            },
            _ => (404, json!({"error": "unknown"})),
        };
        Some(reply)
    }

    /// A repeated request gets the machines of the first one.
    fn answer_instance_request(&self, request: InstanceRequest) -> (u16, Value) {
        let earlier = self.locked().requests.get(&request.request).cloned();
        let names = earlier.unwrap_or_else(|| self.provision(&request.zone, request.spot, request.count));
        if names.is_empty() {
            return (503, json!({"error": NO_CAPACITY}));
        }
        self.locked().requests.insert(request.request, names.clone());
        (200, json!({"hosts": names}))
    }

    fn delete(&self, names: &MachineNames) -> (u16, Value) {
        let mut state = self.locked();
        for id in &names.machines {
            state.machines.remove(id);
        }
        (200, json!({}))
    }

    fn types(&self) -> Value {
        let zones: Vec<&String> = self.networks.keys().collect();
        json!({"hulls": [{"sku": MACHINE_TYPE, "cores": CPUS, "gpus": 0, "memory_gb": 32, "cache_gb": 50,
            "pull_gb_per_s": 0.5, "hourly": 1.0, "market_price": 0.4, "startup_s": 1.5, "berths": zones}]})
    }

    fn list(&self, after: &str) -> Value {
        let state = self.locked();
        let listed = state.machines.iter().filter(|(id, _)| id.as_str() > after);
        let machines: Vec<Value> = listed.map(|(id, provisioned)| listed_machine(id, provisioned)).collect();
        json!({"hosts": machines, "more": false})
    }
}

fn listed_machine(id: &MachineId, provisioned: &ProvisionedMachine) -> Value {
    let status = match (provisioned.has_failed, &provisioned.running) {
        (true, _) => "failed",
        (false, Some(_)) => "running",
        (false, None) => "starting",
    };
    let machine = &provisioned.machine;
    json!({"id": id, "addr": null, "hull": machine.machine_type, "berth": machine.zone, "driftwood": machine.spot,
        "status": status, "held_s": provisioned.requested_at.elapsed().as_secs_f64()})
}
