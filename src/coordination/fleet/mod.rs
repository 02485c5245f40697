//! Known machines: heartbeats, failure detection, commands to agents, lease renewal, cordon and drain.
//!
//! Owns this controller's state of each machine beyond its stored record ([`machine::Machine`]), and the messages to
//! agents. Reads the stored records of machines, the roles held, and the machines of task attempts.
//!
//! Guarantees: a task counts as absent only if its agent, its lease or the cloud proves it; a machine is replaced
//! because of silence only while other machines show that neither this controller, nor the network, nor a zone has
//! failed; every answer that renews a lease stops all tasks of cancelled jobs on the machine.

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
    /// When the heartbeat arrived.
    pub(crate) received_at: Micros,
    /// Request that waits for the answer.
    pub(crate) request_id: RequestId,
    /// The heartbeat itself.
    pub(crate) heartbeat: Heartbeat,
}

/// The machines that this controller knows of.
pub(crate) struct Fleet {
    /// When machines without a record last answered a probe.
    unregistered_alive_at: BTreeMap<MachineId, Micros>,
    machines: BTreeMap<MachineId, Machine>,
    direct_queue: DirectQueue,
    probe_budget: ProbeBudget,
    next_probe_log_at: Micros,
    next_check_at: Micros,
    correlated_failures: CorrelatedFailures,
    /// Heartbeats whose machines are not registered yet.
    unregistered: Vec<UnregisteredHeartbeat>,
    /// Time by which machines of shards held here should move to other shards, if any are to move.
    shard_moves_due_at: Option<Micros>,
    cancellation_enforcement: CancellationEnforcement,
}

impl Fleet {
    /// Creates a fleet without machines.
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

    /// Returns a machine, if it is known.
    pub(crate) fn machine(&self, id: &MachineId) -> Option<&Machine> {
        self.machines.get(id)
    }

    /// Returns a machine to be changed, if it is known.
    pub(crate) fn machine_mut(&mut self, id: &MachineId) -> Option<&mut Machine> {
        self.machines.get_mut(id)
    }

    /// Returns a machine to be changed, and adds it if it is not known yet.
    pub(crate) fn machine_or_insert(&mut self, id: &MachineId) -> &mut Machine {
        self.machines.entry(id.clone()).or_default()
    }

    /// Returns all known machines.
    pub(crate) fn machines(&self) -> impl Iterator<Item = (&MachineId, &Machine)> {
        self.machines.iter()
    }

    /// Returns the number of machines whose leases are not renewed because of cancelled tasks.
    pub(crate) fn renewals_withheld_count(&self) -> usize {
        self.machines.values().filter(|machine| machine.is_renewal_withheld).count()
    }

    /// Returns the time by which machines of shards held here should move to other shards, if any are to move.
    pub(crate) fn shard_moves_due_at(&self) -> Option<Micros> {
        self.shard_moves_due_at
    }

    /// Queues a direct message that is to be sent to a machine as soon as possible.
    pub(crate) fn queue_direct_message(&mut self, id: &MachineId) {
        if let Some(machine) = self.machines.get_mut(id) {
            machine.commands.request();
            self.direct_queue.push(id);
        }
    }

    /// Queues a direct message that is to be sent to a machine at the given time, unless one is to be sent anyway. A
    /// heartbeat may come first, whose answer replaces the message: machines with work send heartbeats often, and each
    /// direct message costs as much as a heartbeat.
    pub(crate) fn queue_direct_message_at(&mut self, id: &MachineId, at: Micros) {
        if let Some(machine) = self.machines.get_mut(id)
            && !machine.commands.is_pending()
        {
            machine.commands.request_after(at);
            self.direct_queue.push_delayed(id, at);
        }
    }

    /// Returns the cancelled jobs that may still have tasks on machines.
    pub(crate) fn unfinished_cancellations(&self) -> impl Iterator<Item = &JobId> {
        self.cancellation_enforcement.jobs()
    }

    /// Removes and returns all heartbeats of machines that are not registered yet.
    pub(crate) fn take_unregistered(&mut self) -> Vec<UnregisteredHeartbeat> {
        std::mem::take(&mut self.unregistered)
    }

    /// Takes over the number of direct messages of a predecessor in this process, which are still open and occupy
    /// sockets.
    pub(crate) fn adopt_open_direct_messages(&mut self, predecessor: &Fleet) {
        self.direct_queue.adopt_open_messages(&predecessor.direct_queue);
    }

    /// Discounts a stall of this process: that nothing arrived during the stall says nothing about machines. Their
    /// leases continued to run, so the times when heartbeats were last answered stay unchanged.
    pub(crate) fn discount_stall(&mut self, now: Micros, stall: Micros) {
        for machine in self.machines.values_mut() {
            machine.contact.discount_stall(now, stall);
        }
        self.correlated_failures.discount_stall(now);
    }
}
