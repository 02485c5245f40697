//! The cloud: creates and deletes instances, and lists them with a delay.

use super::{Event, S, World};
use burlhatch::coordination::{CloudCall, CloudOutcome};
use burlhatch::protocol::cloud::{
    InstanceRequest, ListedMachine, ListedState, MachineList, MachineNames, MachineType, MachineTypes,
};
use burlhatch::types::MachineId;
use std::collections::{BTreeMap, BTreeSet};

/// Age of the listed state at least; it varies up to twice this value.
const LAG: u64 = 4 * S;
/// Machines on one page of the list.
const PAGE: usize = 100;

pub struct Instance {
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    since: u64,
    state: ListedState,
    deleted_at: Option<u64>,
}

pub struct Cloud {
    pub machines: BTreeMap<MachineId, Instance>,
    created_by_request: BTreeMap<String, Vec<MachineId>>,
    next: u64,
    /// Instances that can exist at the same time.
    pub capacity: usize,
    /// One in this many created instances never boots; 0 for none.
    pub never_up: u32,
    /// Zones in which no created instance boots.
    pub zones_never_booting: BTreeSet<String>,
    /// Whether no created spot instance boots.
    pub spot_never_boots: bool,
    /// Boot time in percent of the ordinary one.
    pub boot_percent: u64,
    /// Number of instances created so far: ordinary ones, then spot.
    pub created_instances: [usize; 2],
}

impl Cloud {
    pub fn new(capacity: usize) -> Cloud {
        Cloud {
            machines: BTreeMap::new(),
            created_by_request: BTreeMap::new(),
            next: 0,
            capacity,
            never_up: 15,
            zones_never_booting: BTreeSet::new(),
            spot_never_boots: false,
            boot_percent: 100,
            created_instances: [0; 2],
        }
    }

    /// Lists a machine as failed from now on.
    pub fn mark_failed(&mut self, id: &MachineId) {
        if let Some(machine) = self.machines.get_mut(id) {
            machine.state = ListedState::Failed;
        }
    }

    fn used(&self) -> usize {
        self.machines.values().filter(|m| m.deleted_at.is_none()).count()
    }
}

pub fn cpus_of(machine_type: &str) -> f64 {
    if machine_type == "small" { 4.0 } else { 8.0 }
}

impl World {
    /// Creates an instance whose agent starts after the delay.
    pub fn boot(&mut self, machine_type: &str, zone: &str, spot: bool, delay: u64) -> MachineId {
        self.cloud.next += 1;
        let id = MachineId::new(&format!("m-{:06}", self.cloud.next));
        let instance = Instance {
            machine_type: machine_type.into(),
            zone: zone.into(),
            spot,
            since: self.now,
            state: ListedState::Booting,
            deleted_at: None,
        };
        self.cloud.machines.insert(id.clone(), instance);
        self.schedule(delay, Event::Booted { machine: id.clone() });
        id
    }

    pub(super) fn cloud_request(&mut self, request: CloudCall) -> CloudOutcome {
        match request {
            CloudCall::Types => CloudOutcome::Types(self.machine_types()),
            CloudCall::CreateInstances(request) => self.create_instances(request),
            CloudCall::Delete(ids) => self.delete_machines(&ids),
            CloudCall::List { after } => CloudOutcome::List(self.list_machines(after.as_ref())),
        }
    }

    fn machine_types(&self) -> MachineTypes {
        let zones: Vec<String> = self.size.zones.iter().map(ToString::to_string).collect();
        let kind = |name: &str, cpus: f64, price: f64| MachineType {
            name: name.into(),
            cpus,
            gpus: 0.0,
            memory_gb: 32.0,
            cache_gb: 10.0,
            fetch_gb_per_s: 0.2,
            price,
            spot_price: Some(price / 3.0),
            typical_startup_s: 10.0,
            zones: zones.clone(),
        };
        MachineTypes { types: vec![kind("small", 4.0, 0.2), kind("large", 8.0, 0.4)] }
    }

    /// Creates instances; a repeated request gets the result of the first one.
    fn create_instances(&mut self, request: InstanceRequest) -> CloudOutcome {
        if let Some(names) = self.cloud.created_by_request.get(&request.request) {
            return CloudOutcome::InstancesCreated(MachineNames { machines: names.clone() });
        }
        let available = self.cloud.capacity.saturating_sub(self.cloud.used());
        if available == 0 {
            return CloudOutcome::NoCapacity;
        }
        let mut names = Vec::new();
        for _ in 0..available.min(request.count as usize) {
            let is_stuck = self.cloud.never_up > 0 && self.chance(self.cloud.never_up);
            let is_zone_failed = self.cloud.zones_never_booting.contains(&request.zone);
            let never_boots = is_stuck || is_zone_failed || (request.spot && self.cloud.spot_never_boots);
            let ordinary = (6 * S + self.pick(9 * S)) * self.cloud.boot_percent / 100;
            let delay = if never_boots { 1_000_000 * S } else { ordinary };
            self.cloud.created_instances[usize::from(request.spot)] += 1;
            names.push(self.boot(&request.machine_type, &request.zone, request.spot, delay));
        }
        self.cloud.created_by_request.insert(request.request, names.clone());
        CloudOutcome::InstancesCreated(MachineNames { machines: names })
    }

    fn delete_machines(&mut self, ids: &[MachineId]) -> CloudOutcome {
        for id in ids {
            if let Some(machine) = self.cloud.machines.get_mut(id) {
                machine.deleted_at.get_or_insert(self.now);
                self.agents.remove(id);
            }
        }
        CloudOutcome::Deleted
    }

    /// Returns a page of the list as it was some seconds ago.
    fn list_machines(&mut self, after: Option<&MachineId>) -> MachineList {
        let lag = LAG + self.pick(LAG);
        let then = self.now.saturating_sub(lag);
        let is_listed = |id: &MachineId, machine: &Instance| {
            after.is_none_or(|after| id > after)
                && machine.since <= then
                && machine.deleted_at.is_none_or(|deleted_at| deleted_at > then)
        };
        let mut machines: Vec<ListedMachine> = self
            .cloud
            .machines
            .iter()
            .filter(|(id, machine)| is_listed(id, machine))
            .take(PAGE + 1)
            .map(|(id, machine)| ListedMachine {
                id: id.clone(),
                addr: None,
                machine_type: machine.machine_type.clone(),
                zone: machine.zone.clone(),
                spot: machine.spot,
                state: machine.state,
                age_s: (then - machine.since) as f64 / 1e6,
            })
            .collect();
        let more = machines.len() > PAGE;
        machines.truncate(PAGE);
        MachineList { machines, more }
    }

    pub(super) fn machine_booted(&mut self, machine: MachineId) {
        let Some(instance) = self.cloud.machines.get_mut(&machine) else { return };
        if instance.deleted_at.is_some() {
            return;
        }
        instance.state = ListedState::Running;
        let (machine_type, zone, spot) = (instance.machine_type.clone(), instance.zone.clone(), instance.spot);
        self.start_agent(machine, machine_type, zone, spot);
    }
}
