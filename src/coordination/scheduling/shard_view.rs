//! The machines of a shard that take work, as seen by one scheduling cycle.

use crate::coordination::Controller;
use crate::coordination::fleet::machine::Machine;
use crate::coordination::jobs::job::Job;
use crate::protocol::user::Priority;
use crate::storage::schema::MachineRecord;
use crate::types::{JobId, MachineId, Micros, Resources};
use burlhatch_zones::fetches::FetchQueues;
use std::collections::BTreeSet;

/// Maximum age of the last heartbeat of a machine that is given work, as a multiple of the heartbeat interval.
const RECENT_HEARTBEAT_FACTOR: f64 = 1.7;

/// A machine to which tasks may be assigned.
pub(crate) struct CandidateMachine {
    pub id: MachineId,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub free: Resources,
    /// Part of the free resources that batch work leaves to expected services.
    reserved: Resources,
    pub incarnation: u64,
    /// Jobs whose tasks recently failed on the machine.
    pub recently_failed_jobs: Vec<JobId>,
    /// Whether the machine's zone is returning after its loss and gets work gradually.
    pub is_zone_returning: bool,
    /// Number of images that the machine has still to fetch. Counted only while fetches are limited.
    pub pending_fetch_count: u32,
}

impl CandidateMachine {
    /// Returns the resources kept free of batch work.
    pub fn reserved(&self) -> Resources {
        self.reserved
    }

    /// Returns the resources that are free and not reserved.
    pub fn unreserved(&self) -> Resources {
        self.free.minus(&self.reserved)
    }

    /// Reserves resources, which keeps them free of batch work.
    pub fn reserve(&mut self, resources: &Resources) {
        self.reserved = self.reserved.plus(resources);
    }

    /// Releases reserved resources.
    pub fn unreserve(&mut self, resources: &Resources) {
        self.reserved = self.reserved.minus(resources);
    }

    /// Releases all reserved resources.
    pub fn clear_reserved(&mut self) {
        self.reserved = Resources::default();
    }

    /// Returns whether the machine has the resources for a task of a job.
    pub fn has_capacity_for(&self, job: &Job) -> bool {
        let available = if job.spec.priority > Priority::Normal { self.free } else { self.unreserved() };
        job.resources.fits_in(&available)
    }
}

/// Machines of one shard that take work, as seen by one scheduling cycle.
pub(crate) struct ShardView {
    pub machines: Vec<CandidateMachine>,
    /// Number of pending fetches in each zone, while fetches are limited.
    pub fetch_queues: Option<FetchQueues>,
    /// Zones that recently failed too often.
    pub distrusted_zones: BTreeSet<String>,
}

impl ShardView {
    /// Returns the zones of the machines, sorted by name.
    pub fn zones(&self) -> BTreeSet<String> {
        self.machines.iter().map(|machine| machine.zone.clone()).collect()
    }

    /// Saves the values that the placement of a task changes, so that the placements of a gang that does not fit can be
    /// undone.
    pub fn snapshot(&self) -> ShardViewSnapshot {
        let machines = self
            .machines
            .iter()
            .map(|machine| MachineSnapshot { free: machine.free, pending_fetch_count: machine.pending_fetch_count });
        ShardViewSnapshot { machines: machines.collect(), fetch_queues: self.fetch_queues.clone() }
    }

    /// Undoes the placements since the snapshot.
    pub fn restore(&mut self, snapshot: ShardViewSnapshot) {
        for (machine, saved) in self.machines.iter_mut().zip(snapshot.machines) {
            machine.free = saved.free;
            machine.pending_fetch_count = saved.pending_fetch_count;
        }
        self.fetch_queues = snapshot.fetch_queues;
    }
}

/// Values of a [`ShardView`] that the placement of a task changes.
pub(crate) struct ShardViewSnapshot {
    machines: Vec<MachineSnapshot>,
    fetch_queues: Option<FetchQueues>,
}

struct MachineSnapshot {
    free: Resources,
    pending_fetch_count: u32,
}

impl Controller {
    /// Returns the machines of a shard that take work now.
    pub(crate) fn schedulable_machines(&self, shard: u32) -> Vec<CandidateMachine> {
        let mut machines: Vec<CandidateMachine> = self
            .store
            .replica
            .machines
            .iter()
            .map(|(id, versioned)| (id, &versioned.value))
            .filter(|(_, record)| record.shard == shard && record.cordon.is_none())
            .filter(|(id, record)| !self.is_deleted_for_cancellation(id) && self.zone_takes_work(&record.zone))
            .filter_map(|(id, record)| {
                let machine = self.fleet.machine(id).filter(|machine| self.is_schedulable(machine))?;
                Some(self.candidate_machine(id, record, machine))
            })
            .collect();
        self.reserve_for_services(shard, &mut machines);
        machines
    }

    /// Returns whether a machine sent a recent heartbeat and may be given new work.
    fn is_schedulable(&self, machine: &Machine) -> bool {
        let now = self.now();
        let max_silence = Micros::from_secs_f64(self.platform.deployment.agents.heartbeat_s * RECENT_HEARTBEAT_FACTOR);
        let has_recent_heartbeats = machine.contact.silence(now) <= max_silence
            && !machine.contact.is_missing_heartbeats(now, self.missing_heartbeats_span());
        let is_excluded = !machine.ownership.is_token_confirmed() || machine.has_termination_notice;
        !is_excluded && has_recent_heartbeats && machine.is_responsive()
    }

    fn candidate_machine(&self, id: &MachineId, record: &MachineRecord, machine: &Machine) -> CandidateMachine {
        let (now, pause) = (self.now(), Micros::from_millis(self.policy.retry_max_ms));
        CandidateMachine {
            id: id.clone(),
            machine_type: record.machine_type.clone(),
            zone: record.zone.clone(),
            spot: record.spot,
            free: self.free_resources(id),
            reserved: Resources::default(),
            incarnation: machine.incarnation(),
            recently_failed_jobs: machine.task_failures.recently_failed_jobs(now, pause).cloned().collect(),
            is_zone_returning: self.zone_is_returning(&record.zone),
            pending_fetch_count: 0,
        }
    }

    /// Returns the view of a shard for a scheduling cycle.
    pub(super) fn shard_view(&mut self, shard: u32) -> ShardView {
        let mut machines = self.schedulable_machines(shard);
        if !self.handles_zone_failures() {
            return ShardView { machines, fetch_queues: None, distrusted_zones: BTreeSet::new() };
        }
        self.reserve_for_displaced(shard, &mut machines);
        let fetch_queues = self.is_restoring().then(|| self.count_fetches(&mut machines));
        let distrusted_zones = self.distrusted_zones(&machines);
        ShardView { machines, fetch_queues, distrusted_zones }
    }
}
