//! Known machines: heartbeats, failure detection, commands to agents, lease renewal, cordon and drain.
//!
//! Owns what this controller knows of each machine beyond its stored record ([`machine::Machine`]), and the messages to
//! agents. Reads the stored records of machines, the roles held, and which task attempts are where.
//!
//! Promises: a task counts as gone only by a proof that its agent, its lease or the cloud gives; a machine is replaced on
//! account of silence only while its neighbours show that it is not this controller, the network or a zone that failed;
//! every answer that renews a lease stops what the machine has of cancelled jobs.

pub(crate) mod agent_commands;
pub(crate) mod cancellation_enforcement;
pub(crate) mod cordon;
pub(crate) mod direct_commands;
mod direct_queue;
pub(crate) mod draining;
pub(crate) mod failure_detection;
mod faulty_machines;
pub(crate) mod fleet_checks;
pub(crate) mod heartbeats;
pub(crate) mod lease_renewal;
pub(crate) mod machine;
pub(crate) mod machine_records;
pub(crate) mod registration;
pub(crate) mod shard_moves;
pub(crate) mod task_reconciliation;

use crate::coordination::RequestId;
use crate::protocol::agent::Heartbeat;
use crate::settings::{Platform, Policy};
use crate::types::{JobId, MachineId, Micros};
use cancellation_enforcement::CancellationEnforcement;
use direct_queue::DirectQueue;
use failure_detection::correlated_failures::CorrelatedFailures;
use failure_detection::probe_budget::ProbeBudget;
use machine::Machine;
use std::collections::BTreeMap;

/// A heartbeat of a machine that is not in the stored records yet.
pub(crate) struct UnregisteredHeartbeat {
    /// When it arrived.
    pub(crate) received_at: Micros,
    /// Who waits for its answer.
    pub(crate) request_id: RequestId,
    /// What the agent sent.
    pub(crate) heartbeat: Heartbeat,
}

/// The machines that this controller knows of.
pub(crate) struct Fleet {
    /// Machines without a record that answered when they were asked, and when.
    unregistered_alive_at: BTreeMap<MachineId, Micros>,
    machines: BTreeMap<MachineId, Machine>,
    direct_queue: DirectQueue,
    probe_budget: ProbeBudget,
    next_probe_log_at: Micros,
    next_check_at: Micros,
    correlated_failures: CorrelatedFailures,
    /// Heartbeats whose machines are just being registered.
    unregistered: Vec<UnregisteredHeartbeat>,
    /// By when machines of shards held here should move to others, if any are to.
    shard_moves_due_at: Option<Micros>,
    cancellation_enforcement: CancellationEnforcement,
}

impl Fleet {
    /// Knows no machine.
    pub(crate) fn new(platform: &Platform, policy: &Policy) -> Fleet {
        Fleet {
            machines: BTreeMap::new(),
            unregistered_alive_at: BTreeMap::new(),
            direct_queue: DirectQueue::new(platform.deployment.quota.part_of_sockets(policy.direct_part)),
            probe_budget: ProbeBudget::default(),
            next_probe_log_at: Micros::ZERO,
            next_check_at: Micros::ZERO,
            correlated_failures: CorrelatedFailures::default(),
            unregistered: Vec::new(),
            shard_moves_due_at: None,
            cancellation_enforcement: CancellationEnforcement::default(),
        }
    }

    /// One machine.
    pub(crate) fn machine(&self, id: &MachineId) -> Option<&Machine> {
        self.machines.get(id)
    }

    /// One machine, to be changed.
    pub(crate) fn machine_mut(&mut self, id: &MachineId) -> Option<&mut Machine> {
        self.machines.get_mut(id)
    }

    /// One machine, which is known from now on.
    pub(crate) fn machine_or_insert(&mut self, id: &MachineId) -> &mut Machine {
        self.machines.entry(id.clone()).or_default()
    }

    /// All machines.
    pub(crate) fn machines(&self) -> impl Iterator<Item = (&MachineId, &Machine)> {
        self.machines.iter()
    }

    /// Machines whose leases are not renewed, on account of cancelled tasks.
    pub(crate) fn renewals_withheld_count(&self) -> usize {
        self.machines.values().filter(|machine| machine.is_renewal_withheld).count()
    }

    /// By when machines of shards held here should move to others, if any are to.
    pub(crate) fn shard_moves_due_at(&self) -> Option<Micros> {
        self.shard_moves_due_at
    }

    /// A direct message is to be sent to a machine as soon as possible.
    pub(crate) fn queue_direct_message(&mut self, id: &MachineId) {
        if let Some(machine) = self.machines.get_mut(id) {
            machine.commands.request();
            self.direct_queue.push(id);
        }
    }

    /// A direct message is to be sent to a machine then, unless one is to be sent anyway or a heartbeat comes first, whose
    /// answer takes its place: machines with work send heartbeats often, and each direct message costs as much as one.
    pub(crate) fn queue_direct_message_at(&mut self, id: &MachineId, at: Micros) {
        if let Some(machine) = self.machines.get_mut(id)
            && !machine.commands.is_pending()
        {
            machine.commands.request_after(at);
            self.direct_queue.push_delayed(id, at);
        }
    }

    /// Cancelled jobs of which something may be left.
    pub(crate) fn unfinished_cancellations(&self) -> impl Iterator<Item = &JobId> {
        self.cancellation_enforcement.jobs()
    }

    /// Takes all heartbeats of machines that are not registered yet.
    pub(crate) fn take_unregistered(&mut self) -> Vec<UnregisteredHeartbeat> {
        std::mem::take(&mut self.unregistered)
    }

    /// Direct messages of a predecessor in this process are still open and take their sockets.
    pub(crate) fn adopt_open_direct_messages(&mut self, predecessor: &Fleet) {
        self.direct_queue.adopt_open_messages(&predecessor.direct_queue);
    }

    /// This process was stalled for so long: that nothing arrived meanwhile says nothing about machines. Their leases
    /// ran on, so when a heartbeat was last answered stays.
    pub(crate) fn discount_stall(&mut self, now: Micros, stall: Micros) {
        for machine in self.machines.values_mut() {
            machine.contact.discount_stall(now, stall);
        }
        self.correlated_failures.discount_stall(now);
    }
}
