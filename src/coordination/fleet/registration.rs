//! Registering machines: those that report and have no record yet, which have come up or come back.

use crate::coordination::api::submissions::VALUE_FILL;
use crate::coordination::autoscaling::capacity::{Slot, fit};
use crate::coordination::store_sync::txns::{MachineChange, PRECONDITIONS_PER_WRITE, ProposedTxn, Purpose};
use crate::coordination::{Controller, Effect};
use crate::protocol::worker::Heartbeat;
use crate::storage::schema::{FleetMember, Key, MachineRecord, Role, to_value};
use crate::types::{FencingToken, MachineId, Micros};

/// So long a machine's answer counts as a sign that it exists.
const ALIVE_SPAN: Micros = Micros::from_millis(5000);

/// How a machine stands that reports.
enum Registration {
    /// It has a record, or one is on its way.
    Known,
    /// It heartbeats after its deletion: an old heartbeat, or the deletion missed it.
    Deleted,
    /// A heartbeat may be a late copy, and its machine long gone: it has to answer first.
    Unproven,
    /// It answered when it was asked a moment ago.
    Alive,
}

impl Controller {
    /// Machines that report and have no record get one, in the shard that needs them most.
    pub(crate) fn register_machines(&mut self) {
        let limits = self.platform.deployment.store.clone();
        let value_bytes = (limits.min_value_kb() * 1024.0 * VALUE_FILL) as usize;
        let heartbeats: Vec<_> = self.fleet.unregistered.iter().map(|held| held.heartbeat.clone()).collect();
        let now = self.now();
        self.autoscaling.leader.alive.retain(|_, at| now.since(*at) < ALIVE_SPAN);
        let mut members: Vec<FleetMember> = Vec::new();
        let mut refused = Vec::new();
        let mut size = 0;
        for heartbeat in heartbeats {
            let id = &heartbeat.machine;
            if members.iter().any(|m| m.id == *id) {
                continue;
            }
            match self.registration(id) {
                Registration::Known => continue,
                Registration::Deleted => refused.push(id.clone()),
                Registration::Unproven => self.ask_for_life(id, heartbeat.addr.as_deref()),
                Registration::Alive => {
                    let member = self.new_member(&heartbeat, &members);
                    let more = serde_json::to_string(&member).map_or(value_bytes, |text| text.len() + 1);
                    // The role's condition and the fleet's own leave room for so many machines'.
                    if size + more > value_bytes || members.len() + 2 == limits.min_txn_ops() * PRECONDITIONS_PER_WRITE
                    {
                        break;
                    }
                    size += more;
                    members.push(member);
                }
            }
        }
        if !members.is_empty() {
            self.record_registrations(members);
        }
        self.refuse_heartbeats_of(&refused);
    }

    fn registration(&self, id: &MachineId) -> Registration {
        if self.store.replica.machines.contains_key(id) {
            return Registration::Known;
        }
        let deleted = self.autoscaling.leader.deleting.contains(id) || self.autoscaling.leader.deleted.contains_key(id);
        if deleted || self.store.replica.is_machine_deleted(id) {
            return Registration::Deleted;
        }
        if self.fleet.machines.get(id).is_some_and(|m| m.registering) {
            return Registration::Known;
        }
        if self.autoscaling.leader.alive.contains_key(id) { Registration::Alive } else { Registration::Unproven }
    }

    fn new_member(&mut self, heartbeat: &Heartbeat, members: &[FleetMember]) -> FleetMember {
        let record = MachineRecord {
            shard: self.neediest_shard(heartbeat, members),
            fencing_token: FencingToken(0),
            machine_type: heartbeat.machine_type.clone(),
            zone: heartbeat.zone.clone(),
            spot: heartbeat.spot,
            addr: heartbeat.addr.clone().unwrap_or_default(),
            cordon: None,
        };
        FleetMember { id: heartbeat.machine.clone(), record }
    }

    fn refuse_heartbeats_of(&mut self, refused: &[MachineId]) {
        self.fleet.unregistered.retain(|held| {
            let keep = !refused.contains(&held.heartbeat.machine);
            if !keep {
                self.out.push(Effect::AnswerWorker(held.waiter, crate::coordination::WorkerAnswer::Unavailable));
            }
            keep
        });
    }

    /// Writes down machines that are not in the stored records, all in one value unless it is a single one.
    fn record_registrations(&mut self, members: Vec<FleetMember>) {
        let mut proposal = ProposedTxn::default();
        proposal.unchanged(&self.store.replica, Key::Role(Role::Leader));
        let ids: Vec<MachineId> = members.iter().map(|m| m.id.clone()).collect();
        for id in &ids {
            self.fleet.machines.entry(id.clone()).or_default().registering = true;
            self.boot_over(id);
            proposal.unchanged(&self.store.replica, Key::Machine(id.clone()));
        }
        match &members[..] {
            [single] => proposal.put(Key::Machine(single.id.clone()), to_value(&single.record)),
            _ => {
                let name = Key::Fleet(format!("{:x}", self.nonce()));
                proposal.unchanged(&self.store.replica, name.clone());
                proposal.put(name, to_value(&members));
            }
        }
        self.submit_txn(proposal, Purpose::Machines(MachineChange::Register, ids));
    }

    /// A machine that was rented has come up.
    fn boot_over(&mut self, id: &MachineId) {
        let now = self.now();
        if let Some(boot) = self.autoscaling.leader.boots.remove(id) {
            self.autoscaling.leader.boot_history.came_up(boot.offer(), now.since(boot.since), now);
        }
    }

    /// The shard with the most unmet need, else the one with the least room for its teams.
    fn neediest_shard(&mut self, heartbeat: &Heartbeat, registered: &[FleetMember]) -> u32 {
        let cpus = self.autoscaling.types.get(&heartbeat.machine_type).map_or(1_000_000, |t| t.resources.cpus);
        // The most urgent tasks that it can really take decide, wherever else room is lacking.
        let mut slot = Slot {
            id: None,
            machine_type: heartbeat.machine_type.clone(),
            zone: heartbeat.zone.clone(),
            spot: heartbeat.spot,
            free: self.autoscaling.types.get(&heartbeat.machine_type).map(|t| t.resources).unwrap_or_default(),
            untouched: true,
        };
        let mut chosen = None;
        for need in &mut self.autoscaling.leader.need {
            if chosen.is_none_or(|shard| shard == need.shard) {
                let taken = fit(&need.spec, need.count, std::slice::from_mut(&mut slot), &mut need.zones);
                need.count -= taken;
                if taken > 0 {
                    chosen = Some(need.shard);
                }
            }
        }
        if let Some(shard) = chosen {
            return shard;
        }
        let shards = self.shard_count();
        let mut teams = vec![0u64; shards as usize];
        for (i, team) in self.platform.deployment.teams.iter().enumerate() {
            // One without limit or guarantee may be parted over all of them.
            if team.has_quota() || !self.platform.deployment.shards_jobs_individually() {
                teams[i % shards as usize] += u64::from(shards);
            } else {
                teams.iter_mut().for_each(|weight| *weight += 1);
            }
        }
        if teams.iter().all(|n| *n == 0) {
            teams.fill(1);
        }
        let mut have = vec![0u64; shards as usize];
        let recorded = self.store.replica.machines.values().map(|held| &held.value);
        for record in recorded.chain(registered.iter().map(|m| &m.record)) {
            if let Some(sum) = have.get_mut(record.shard as usize) {
                *sum += self.autoscaling.types.get(&record.machine_type).map_or(1_000_000, |t| t.resources.cpus);
            }
        }
        (0..shards)
            .filter(|s| teams[*s as usize] > 0)
            .min_by_key(|s| (have[*s as usize] + cpus) / teams[*s as usize])
            .unwrap_or(0)
    }
}
