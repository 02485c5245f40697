//! A cloud: rents machines by zone, lists them, deletes them with all that is on them.

use crate::http::{Call, Reply, serve};
use crate::worker::{Link, Machine, RunningMachine, Surroundings, WorkerTrouble, ZoneLink, start};
use burlhatch::protocol::cloud::{InstanceRequest, MachineNames};
use burlhatch::protocol::decode;
use burlhatch::types::MachineId;
use hyper::Method;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// The one type of machine that there is.
const MACHINE_TYPE: &str = "four";
/// Processors of each.
const CPUS: f64 = 4.0;
/// Time a machine takes to come up.
const BOOT: Duration = Duration::from_millis(1500);

struct Rented {
    machine: Machine,
    since: Instant,
    running: Option<RunningMachine>,
    failed: bool,
}

#[derive(Default)]
struct State {
    rented: BTreeMap<MachineId, Rented>,
    requests: BTreeMap<String, Vec<MachineId>>,
    next: u32,
    capacity: usize,
    dead_zones: BTreeSet<String>,
    is_down: bool,
}

/// The service, and a handle on it for scenarios.
#[derive(Clone)]
pub struct Cloud {
    state: Arc<Mutex<State>>,
    links: Arc<BTreeMap<String, ZoneLink>>,
    around: Surroundings,
}

impl Cloud {
    /// A cloud with these zones that rents out so many machines at a time.
    pub fn new(zones: &[String], capacity: usize, around: Surroundings) -> Cloud {
        let links = zones.iter().map(|zone| (zone.clone(), ZoneLink::default())).collect();
        let state = State { capacity, ..State::default() };
        Cloud { state: Arc::new(Mutex::new(state)), links: Arc::new(links), around }
    }

    fn locked(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Refuses everybody, or serves again.
    pub fn set_down(&self, is_down: bool) {
        self.locked().is_down = is_down;
    }

    /// Something happens to the workers of one in so many machines that are up, beginning with the first.
    pub fn trouble_one_in(&self, one_in: usize, trouble: WorkerTrouble, duration: Duration) {
        let state = self.locked();
        let running = state.rented.values().filter_map(|rented| rented.running.as_ref());
        running.step_by(one_in.max(1)).for_each(|machine| machine.trouble(trouble, duration));
    }

    /// Begins to serve; says where.
    pub async fn start(&self) -> io::Result<(SocketAddr, JoinSet<()>)> {
        let cloud = self.clone();
        serve(move |call| {
            let cloud = cloud.clone();
            async move { cloud.answer(&call) }
        })
        .await
    }

    /// Cuts a zone's machines off, or mends their connection.
    pub fn set_link(&self, zone: &str, link: Link) {
        if let Some(zone) = self.links.get(zone) {
            zone.set(link);
        }
    }

    /// All machines of a zone are gone at once, and none comes up there until it is revived.
    pub fn kill_zone(&self, zone: &str) {
        let mut state = self.locked();
        state.dead_zones.insert(zone.to_string());
        for rented in state.rented.values_mut().filter(|rented| rented.machine.zone == zone) {
            rented.running = None;
            rented.failed = true;
        }
    }

    /// Machines come up in a zone again.
    pub fn revive_zone(&self, zone: &str) {
        self.locked().dead_zones.remove(zone);
    }

    /// Tasks at work, with the zone of each.
    pub fn at_work(&self) -> Vec<(String, String)> {
        let state = self.locked();
        let running = state.rented.values().filter_map(|rented| rented.running.as_ref());
        running
            .flat_map(|machine| machine.at_work().into_iter().map(|task| (task, machine.zone().to_string())))
            .collect()
    }

    /// Machines that are up in a zone.
    pub fn machines_in(&self, zone: &str) -> usize {
        self.locked().rented.values().filter(|rented| rented.machine.zone == zone && rented.running.is_some()).count()
    }

    /// Rents machines, which come up a while later.
    pub fn rent(&self, zone: &str, spot: bool, count: u32) -> Vec<MachineId> {
        let mut state = self.locked();
        let used = state.rented.values().filter(|rented| !rented.failed).count();
        let count = state.capacity.saturating_sub(used).min(count as usize);
        let mut names = Vec::new();
        for _ in 0..count {
            state.next += 1;
            let id = MachineId::new(&format!("m-{:06}", state.next));
            let machine =
                Machine { id: id.clone(), machine_type: MACHINE_TYPE.into(), zone: zone.into(), spot, cpus: CPUS };
            let rented = Rented { machine, since: Instant::now(), running: None, failed: false };
            state.rented.insert(id.clone(), rented);
            tokio::spawn(self.clone().boot(id.clone()));
            names.push(id);
        }
        names
    }

    async fn boot(self, id: MachineId) {
        tokio::time::sleep(BOOT).await;
        let machine = {
            let state = self.locked();
            let dead = |zone: &String| state.dead_zones.contains(zone);
            state.rented.get(&id).filter(|r| !r.failed && !dead(&r.machine.zone)).map(|r| r.machine.clone())
        };
        let Some(machine) = machine else { return };
        let link = self.links.get(&machine.zone).cloned().unwrap_or_default();
        let Ok(running) = start(machine, link, self.around.clone()).await else { return };
        let mut state = self.locked();
        let dead = state.rented.get(&id).is_none_or(|r| r.failed || state.dead_zones.contains(&r.machine.zone));
        if let Some(rented) = state.rented.get_mut(&id).filter(|_| !dead) {
            rented.running = Some(running);
        }
    }

    fn answer(&self, call: &Call) -> Reply {
        if self.locked().is_down {
            return Some((503, json!({"error": "trouble"})));
        }
        match (&call.method, call.path.as_str()) {
            (&Method::GET, "/flavors") => Some((200, self.types())),
            (&Method::GET, "/rentals") => Some((200, self.list(call.query.get("after").map_or("", String::as_str)))),
            (&Method::POST, "/rentals") => {
                let Ok(rental) = decode::<InstanceRequest>(&call.body) else { return Some((400, Value::Null)) };
                Some(self.answer_rental(rental))
            }
            (&Method::POST, "/rentals/delete") => {
                let Ok(names) = decode::<MachineNames>(&call.body) else { return Some((400, Value::Null)) };
                let mut state = self.locked();
                names.machines.iter().for_each(|id| drop(state.rented.remove(id)));
                Some((200, json!({})))
            }
            _ => Some((404, json!({"error": "unknown"}))),
        }
    }

    fn answer_rental(&self, rental: InstanceRequest) -> (u16, Value) {
        let before = self.locked().requests.get(&rental.request).cloned();
        let names = before.unwrap_or_else(|| self.rent(&rental.zone, rental.spot, rental.count));
        if names.is_empty() {
            return (503, json!({"error": "no capacity"}));
        }
        self.locked().requests.insert(rental.request, names.clone());
        (200, json!({"hosts": names}))
    }

    fn types(&self) -> Value {
        let zones: Vec<&String> = self.links.keys().collect();
        json!({"hulls": [{"sku": MACHINE_TYPE, "cores": CPUS, "gpus": 0, "memory_gb": 32, "cache_gb": 50,
            "pull_gb_per_s": 0.5, "hourly": 1.0, "market_price": 0.4, "startup_s": 1.5, "berths": zones}]})
    }

    fn list(&self, after: &str) -> Value {
        let state = self.locked();
        let machines: Vec<Value> = state
            .rented
            .iter()
            .filter(|(id, _)| id.as_str() > after)
            .map(|(id, rented)| {
                let status = match (rented.failed, &rented.running) {
                    (true, _) => "failed",
                    (false, Some(_)) => "running",
                    (false, None) => "starting",
                };
                let machine = &rented.machine;
                json!({"id": id, "addr": null, "hull": machine.machine_type, "berth": machine.zone,
                    "driftwood": machine.spot, "status": status, "held_s": rented.since.elapsed().as_secs_f64()})
            })
            .collect();
        json!({"hosts": machines, "more": false})
    }
}
