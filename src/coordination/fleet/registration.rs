//! Registration of machines that send heartbeats and have no record, as they have just started or come back.

use crate::coordination::api::batches::VALUE_FILL_RATIO;
use crate::coordination::autoscaling::bin_packing::MachineCapacity;
use crate::coordination::autoscaling::machine_types::InstanceOffer;
use crate::coordination::fleet::machine::Machine;
use crate::coordination::store_sync::{MachineChange, PRECONDITIONS_PER_WRITE, ProposedTxn, TxnPurpose};
use crate::coordination::{AgentAnswer, Controller, Effect};
use crate::protocol::agent::Heartbeat;
use crate::settings::StoreLimits;
use crate::storage::schema::{Key, MachineBatchMember, MachineRecord, Role, to_value};
use crate::types::{FencingToken, MachineId, Micros};

/// Time for which a machine's answer to a probe proves that the machine exists.
const ANSWER_VALIDITY: Micros = Micros::from_millis(5000);
/// CPUs assumed for a machine whose type is not known, in millionths.
const CPUS_OF_UNKNOWN_TYPE: u64 = 1_000_000;

/// Status of a machine that sends heartbeats.
enum RegistrationStatus {
    /// It has a record, or one is being written.
    Known,
    /// It was deleted: either the heartbeat is old, or the deletion missed the machine.
    Deleted,
    /// It has to answer a probe first, as the heartbeat may be a late copy from a machine that no longer exists.
    Unproven,
    /// It answered a probe recently.
    Alive,
}

/// Machines that one transaction registers, as many as its limits allow.
struct RegistrationBatch {
    members: Vec<MachineBatchMember>,
    bytes: usize,
    max_bytes: usize,
    max_members: usize,
}

impl RegistrationBatch {
    fn new(limits: &StoreLimits) -> RegistrationBatch {
        RegistrationBatch {
            members: Vec::new(),
            bytes: 0,
            max_bytes: (limits.min_value_kb() * 1024.0 * VALUE_FILL_RATIO) as usize,
            // Two preconditions are for the role and the batch's own record.
            max_members: limits.min_txn_ops() * PRECONDITIONS_PER_WRITE - 2,
        }
    }

    fn contains(&self, id: &MachineId) -> bool {
        self.members.iter().any(|member| member.id == *id)
    }

    /// Adds a machine. Returns false if that would exceed the limits.
    fn add(&mut self, member: MachineBatchMember) -> bool {
        let added_bytes = serde_json::to_string(&member).map_or(self.max_bytes, |text| text.len() + 1);
        if self.bytes + added_bytes > self.max_bytes || self.members.len() == self.max_members {
            return false;
        }
        self.bytes += added_bytes;
        self.members.push(member);
        true
    }
}

impl Controller {
    /// Registers machines that send heartbeats and have no record, each in the shard that needs it most.
    pub(crate) fn register_machines(&mut self) {
        let heartbeats: Vec<Heartbeat> =
            self.fleet.unregistered.iter().map(|unregistered| unregistered.heartbeat.clone()).collect();
        let now = self.now();
        self.fleet.unregistered_alive_at.retain(|_, at| now.since(*at) < ANSWER_VALIDITY);
        let mut batch = RegistrationBatch::new(&self.platform.deployment.store);
        let mut refused = Vec::new();
        for heartbeat in heartbeats {
            let id = &heartbeat.machine;
            if batch.contains(id) {
                continue;
            }
            match self.registration(id) {
                RegistrationStatus::Known => continue,
                RegistrationStatus::Deleted => refused.push(id.clone()),
                RegistrationStatus::Unproven => self.probe_unregistered(id, heartbeat.addr.as_deref()),
                RegistrationStatus::Alive => {
                    let member = self.new_member(&heartbeat, &batch.members);
                    if !batch.add(member) {
                        break;
                    }
                }
            }
        }
        if !batch.members.is_empty() {
            self.record_registrations(batch.members);
        }
        self.refuse_heartbeats_of(&refused);
    }

    fn registration(&self, id: &MachineId) -> RegistrationStatus {
        if self.store.replica.machines.contains_key(id) {
            return RegistrationStatus::Known;
        }
        let is_deleted = self.autoscaling.is_deleting(id) || self.autoscaling.was_deleted(id);
        if is_deleted || self.store.replica.is_machine_deleted(id) {
            return RegistrationStatus::Deleted;
        }
        if self.fleet.machine(id).is_some_and(Machine::is_registering) {
            return RegistrationStatus::Known;
        }
        if self.fleet.unregistered_alive_at.contains_key(id) {
            RegistrationStatus::Alive
        } else {
            RegistrationStatus::Unproven
        }
    }

    fn new_member(&mut self, heartbeat: &Heartbeat, members: &[MachineBatchMember]) -> MachineBatchMember {
        let record = MachineRecord {
            shard: self.shard_for_new_machine(heartbeat, members),
            fencing_token: FencingToken(0),
            machine_type: heartbeat.machine_type.clone(),
            zone: heartbeat.zone.clone(),
            spot: heartbeat.spot,
            addr: heartbeat.addr.clone().unwrap_or_default(),
            cordon: None,
        };
        MachineBatchMember { id: heartbeat.machine.clone(), record }
    }

    fn refuse_heartbeats_of(&mut self, refused: &[MachineId]) {
        self.fleet.unregistered.retain(|unregistered| {
            let is_kept = !refused.contains(&unregistered.heartbeat.machine);
            if !is_kept {
                self.out.push(Effect::AnswerAgent(unregistered.request_id, AgentAnswer::Unavailable));
            }
            is_kept
        });
    }

    /// Writes the records of new machines, all in one value unless there is only one machine.
    fn record_registrations(&mut self, members: Vec<MachineBatchMember>) {
        let now = self.now();
        let mut proposal = ProposedTxn::default();
        proposal.unchanged(&self.store.replica, Key::Role(Role::Leader));
        let ids: Vec<MachineId> = members.iter().map(|m| m.id.clone()).collect();
        for id in &ids {
            self.fleet.machine_or_insert(id).registration_started();
            self.autoscaling.instance_came_up(id, now);
            proposal.unchanged(&self.store.replica, Key::Machine(id.clone()));
        }
        match &members[..] {
            [single] => proposal.put(Key::Machine(single.id.clone()), to_value(&single.record)),
            _ => {
                let name = Key::MachineBatch(format!("{:x}", self.nonce()));
                proposal.unchanged(&self.store.replica, name.clone());
                proposal.put(name, to_value(&members));
            }
        }
        self.submit_txn(proposal, TxnPurpose::Machines(MachineChange::Register, ids));
    }

    /// Returns the shard with the most urgent tasks that the machine can take, or else the one with the fewest CPUs for
    /// its teams.
    fn shard_for_new_machine(&mut self, heartbeat: &Heartbeat, registered: &[MachineBatchMember]) -> u32 {
        match self.assign_to_unschedulable_tasks(heartbeat) {
            Some(shard) => shard,
            None => self.shard_with_fewest_cpus(heartbeat, registered),
        }
    }

    /// Assigns the machine to the shard with the most urgent tasks that it can take, and subtracts what fits on it from
    /// the need of that shard. Tasks that don't fit on the machine don't count, however urgent they are.
    fn assign_to_unschedulable_tasks(&mut self, heartbeat: &Heartbeat) -> Option<u32> {
        let offer = InstanceOffer {
            machine_type: heartbeat.machine_type.clone(),
            zone: heartbeat.zone.clone(),
            spot: heartbeat.spot,
        };
        let resources = self.autoscaling.resources_of_type(&heartbeat.machine_type);
        self.autoscaling.assign_new_machine(MachineCapacity::of_new_machine(offer, resources))
    }

    /// Returns the shard that would have the fewest CPUs for its teams if it got the machine.
    fn shard_with_fewest_cpus(&self, heartbeat: &Heartbeat, registered: &[MachineBatchMember]) -> u32 {
        let added_cpus = self.cpus_of_type(&heartbeat.machine_type);
        let weights = self.team_weights();
        let cpus = self.cpus_of_shards(registered);
        let is_weighted = |shard: &usize| weights[*shard] > 0;
        let cpus_per_weight = |shard: &usize| (cpus[*shard] + added_cpus) / weights[*shard];
        (0..weights.len()).filter(is_weighted).min_by_key(cpus_per_weight).unwrap_or(0) as u32
    }

    fn cpus_of_type(&self, machine_type: &str) -> u64 {
        self.autoscaling.machine_type(machine_type).map_or(CPUS_OF_UNKNOWN_TYPE, |t| t.resources.cpus)
    }

    /// Returns the number of teams of each shard, multiplied by the number of shards.
    fn team_weights(&self) -> Vec<u64> {
        let shards = self.shard_count();
        let deployment = &self.platform.deployment;
        let mut weights = vec![0u64; shards as usize];
        for (i, team) in deployment.teams.iter().enumerate() {
            // Jobs of a team without a quota or a guarantee may be spread over all shards.
            if team.has_quota() || !deployment.shards_jobs_individually() {
                weights[i % shards as usize] += u64::from(shards);
            } else {
                weights.iter_mut().for_each(|weight| *weight += 1);
            }
        }
        if weights.iter().all(|weight| *weight == 0) {
            weights.fill(1);
        }
        weights
    }

    /// Returns the CPUs of each shard's machines, both those with a record and those that are being registered.
    fn cpus_of_shards(&self, registered: &[MachineBatchMember]) -> Vec<u64> {
        let mut cpus = vec![0u64; self.shard_count() as usize];
        let recorded = self.store.replica.machines.values().map(|stored| &stored.value);
        for record in recorded.chain(registered.iter().map(|member| &member.record)) {
            if let Some(sum) = cpus.get_mut(record.shard as usize) {
                *sum += self.cpus_of_type(&record.machine_type);
            }
        }
        cpus
    }
}
