//! The machines of a shard that take work, as one scheduling cycle sees them.

use crate::coordination::Controller;
use crate::coordination::fleet::machine::Machine;
use crate::coordination::jobs::job::Job;
use crate::protocol::user::Priority;
use crate::storage::schema::MachineRecord;
use crate::types::{JobId, MachineId, Micros, Resources};
use burlhatch_zones::fetches::FetchQueues;
use std::collections::BTreeSet;

/// A machine takes work only if it was seen within this multiple of the interval of heartbeats.
const RECENT_HEARTBEAT_FACTOR: f64 = 1.7;

/// A machine that may take tasks.
pub(crate) struct CandidateMachine {
    pub id: MachineId,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub free: Resources,
    /// Part of it that batch work leaves to the services that may come next.
    reserved: Resources,
    pub incarnation: u64,
    /// Jobs whose tasks failed there a short while ago.
    pub recently_failed_jobs: Vec<JobId>,
    /// Whether its zone came back a short while ago and gets work step by step.
    pub is_zone_returning: bool,
    /// Images that wait to be fetched there; counted only while fetches are limited.
    pub pending_fetch_count: u32,
}

impl CandidateMachine {
    /// What is kept free of batch work.
    pub fn reserved(&self) -> Resources {
        self.reserved
    }

    /// What is free and not reserved.
    pub fn unreserved(&self) -> Resources {
        self.free.minus(&self.reserved)
    }

    /// Keeps resources free of batch work.
    pub fn reserve(&mut self, resources: &Resources) {
        self.reserved = self.reserved.plus(resources);
    }

    /// Gives back what was reserved.
    pub fn unreserve(&mut self, resources: &Resources) {
        self.reserved = self.reserved.minus(resources);
    }

    /// Forgets all reservations.
    pub fn clear_reserved(&mut self) {
        self.reserved = Resources::default();
    }

    /// Whether a task of a job finds the resources that it needs there.
    pub fn has_capacity_for(&self, job: &Job) -> bool {
        let available = if job.spec.priority > Priority::Normal { self.free } else { self.unreserved() };
        job.resources.fits_in(&available)
    }
}

/// The machines of one shard that take work, as one scheduling cycle sees them.
pub(crate) struct ShardView {
    pub machines: Vec<CandidateMachine>,
    /// Fetches in each zone, while they are limited.
    pub fetch_queues: Option<FetchQueues>,
    /// Zones that have failed too often lately.
    pub distrusted_zones: BTreeSet<String>,
}

impl ShardView {
    /// The zones that have machines, in order.
    pub fn zones(&self) -> BTreeSet<String> {
        self.machines.iter().map(|machine| machine.zone.clone()).collect()
    }

    /// Saves what placing a task changes, so that a gang that does not fit leaves nothing behind.
    pub fn snapshot(&self) -> ShardViewSnapshot {
        let machines = self
            .machines
            .iter()
            .map(|machine| MachineSnapshot { free: machine.free, pending_fetch_count: machine.pending_fetch_count });
        ShardViewSnapshot { machines: machines.collect(), fetch_queues: self.fetch_queues.clone() }
    }

    /// Undoes what was placed since the snapshot.
    pub fn restore(&mut self, snapshot: ShardViewSnapshot) {
        for (machine, saved) in self.machines.iter_mut().zip(snapshot.machines) {
            machine.free = saved.free;
            machine.pending_fetch_count = saved.pending_fetch_count;
        }
        self.fetch_queues = snapshot.fetch_queues;
    }
}

/// What placing a task changes of a [`ShardView`].
pub(crate) struct ShardViewSnapshot {
    machines: Vec<MachineSnapshot>,
    fetch_queues: Option<FetchQueues>,
}

struct MachineSnapshot {
    free: Resources,
    pending_fetch_count: u32,
}

impl Controller {
    /// Machines of a shard that take work now.
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

    /// Whether a machine was seen a short while ago and may be given new work.
    fn is_schedulable(&self, machine: &Machine) -> bool {
        let now = self.now();
        let recent = Micros::from_secs_f64(self.platform.deployment.agents.heartbeat_s * RECENT_HEARTBEAT_FACTOR);
        let seen_recently = machine.contact.silence(now) <= recent
            && !machine.contact.is_missing_heartbeats(now, self.missing_heartbeats_span());
        let is_excluded = !machine.ownership.is_token_confirmed() || machine.has_termination_notice;
        !is_excluded && seen_recently && machine.is_responsive()
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

    /// A shard as a new scheduling cycle sees it.
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
