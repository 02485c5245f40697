//! Registration of machines that send heartbeats and have no record, as they have just started or come back.

use crate::coordination::api::batches::{LIST_OVERHEAD_BYTES, LIST_SEPARATOR_BYTES};
use crate::coordination::autoscaling::bin_packing::MachineCapacity;
use crate::coordination::autoscaling::machine_types::InstanceOffer;
use crate::coordination::fleet::machine::Machine;
use crate::coordination::store_sync::txn_limits::{TxnLimit, TxnLimits, TxnSize};
use crate::coordination::store_sync::{MachineChange, ProposedTxn, TxnPurpose};
use crate::coordination::{AgentAnswer, Controller, Effect};
use crate::protocol::agent::Heartbeat;
use crate::protocol::json_size;
use crate::storage::Replica;
use crate::storage::schema::{Key, MachineBatchMember, MachineRecord, Role, to_value};
use crate::types::{FencingToken, MachineId, Micros};

/// Time for which a machine's answer to a probe proves that the machine exists.
const ANSWER_VALIDITY: Micros = Micros::from_millis(5000);
/// CPUs assumed for a machine whose type is not known, in millionths.
const CPUS_OF_UNKNOWN_TYPE: u64 = 1_000_000;
/// Part of a value's maximum size that a new machine's record may take, so that later changes fit as well.
const MAX_RECORD_PART_OF_VALUE: usize = 2;

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

/// The machine's record can't be stored, because a field is too long or the machine's id is not valid in a key.
#[derive(Debug, thiserror::Error)]
#[error("the machine's record can't be stored: {0:?}")]
struct UnstorableMachine(TxnLimit);

/// Machines that one transaction registers, as many as its limits allow.
struct RegistrationBatch {
    name: Key,
    members: Vec<MachineBatchMember>,
    proposal: ProposedTxn,
    value_bytes: usize,
    limits: TxnLimits,
}

impl RegistrationBatch {
    /// Creates an empty batch with this name, under the precondition that this controller is the leader.
    fn new(name: String, replica: &Replica, limits: TxnLimits) -> RegistrationBatch {
        let name = Key::MachineBatch(name);
        let mut proposal = ProposedTxn::default();
        proposal.unchanged(replica, Key::Role(Role::Leader));
        proposal.unchanged(replica, name.clone());
        RegistrationBatch { name, members: Vec::new(), proposal, value_bytes: LIST_OVERHEAD_BYTES, limits }
    }

    fn contains(&self, id: &MachineId) -> bool {
        self.members.iter().any(|member| member.id == *id)
    }

    /// Adds a machine. Returns false if the batch is full.
    fn add(&mut self, member: MachineBatchMember, replica: &Replica) -> Result<bool, UnstorableMachine> {
        let record_bytes = json_size(&member);
        if record_bytes > self.limits.value_bytes / MAX_RECORD_PART_OF_VALUE {
            return Err(UnstorableMachine(TxnLimit::ValueBytes));
        }
        let mut precondition = ProposedTxn::default();
        precondition.unchanged(replica, Key::Machine(member.id.clone()));
        let value_bytes = self.value_bytes + record_bytes + LIST_SEPARATOR_BYTES;
        let size = self.proposal.size_with(&precondition).plus(TxnSize::of_value(&self.name.to_string(), value_bytes));
        match self.limits.exceeded_by(&size) {
            Some(limit) if self.members.is_empty() || limit == TxnLimit::Key => Err(UnstorableMachine(limit)),
            Some(_) => Ok(false),
            None => {
                self.proposal.append(precondition);
                self.value_bytes = value_bytes;
                self.members.push(member);
                Ok(true)
            }
        }
    }

    /// Returns the transaction, which writes all machines in one value unless there is only one machine.
    fn into_proposal(mut self) -> ProposedTxn {
        match &self.members[..] {
            [single] => self.proposal.put(Key::Machine(single.id.clone()), to_value(&single.record)),
            members => self.proposal.put(self.name, to_value(&members)),
        }
        self.proposal
    }
}

impl Controller {
    /// Registers machines that send heartbeats and have no record, each in the shard that needs it most.
    pub(crate) fn register_machines(&mut self) {
        let heartbeats: Vec<Heartbeat> =
            self.fleet.unregistered.iter().map(|unregistered| unregistered.heartbeat.clone()).collect();
        if heartbeats.is_empty() {
            return;
        }
        let now = self.now();
        self.fleet.unregistered_alive_at.retain(|_, at| now.since(*at) < ANSWER_VALIDITY);
        let name = format!("{:x}", self.nonce());
        let mut batch = RegistrationBatch::new(name, &self.store.replica, self.store.txn_limits());
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
                    match batch.add(member, &self.store.replica) {
                        Ok(true) => {}
                        Ok(false) => break,
                        Err(error) => {
                            tracing::warn!(machine = %id, %error, "machine refused");
                            refused.push(id.clone());
                        }
                    }
                }
            }
        }
        if !batch.members.is_empty() {
            self.record_registrations(batch);
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

    /// Writes the records of new machines.
    fn record_registrations(&mut self, batch: RegistrationBatch) {
        let now = self.now();
        let ids: Vec<MachineId> = batch.members.iter().map(|m| m.id.clone()).collect();
        for id in &ids {
            self.fleet.machine_or_insert(id).registration_started();
            self.autoscaling.instance_came_up(id, now);
        }
        self.submit_txn(batch.into_proposal(), TxnPurpose::Machines(MachineChange::Register, ids));
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
