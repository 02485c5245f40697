//! New fencing tokens for machines. A heartbeat that carries one proves that no command with an earlier token can take
//! effect any more.

use crate::coordination::Controller;
use crate::coordination::store_sync::{MachineChange, ProposedTxn, TxnPurpose};
use crate::storage::schema::{Key, Role, to_value};
use crate::types::{FencingToken, MachineId, Micros};
use rand::Rng;
use std::collections::BTreeMap;

/// Up to so many machines get a fencing token each; more of one shard get the shard's.
const MAX_OWN_TOKENS: usize = 3;
/// Usual pause between new fencing tokens for machines with in-flight commands.
const RENEWAL_INTERVAL: Micros = Micros::from_millis(1000);
/// A machine counts as seen lately if it was within so many heartbeat intervals.
const RECENT_HEARTBEATS: f64 = 2.0;

/// Exited tasks that a shard's agents still report.
#[derive(Clone, Copy, Default)]
struct ExitedTasks {
    task_count: usize,
    machine_count: usize,
}

impl ExitedTasks {
    fn mean(self) -> f64 {
        self.task_count as f64 / self.machine_count.max(1) as f64
    }
}

impl Controller {
    /// Machines with an in-flight command get a new fencing token once they are heard again: a heartbeat that carries
    /// it proves the command superseded. A few get one each; for many in one shard it is the shard's, which costs two
    /// writes however many they are.
    pub(crate) fn renew_fencing_tokens(&mut self, own_machines: &[MachineId]) {
        let now = self.now();
        if now < self.control.next_token_renewal_at {
            return;
        }
        let by_shard = self.machines_with_in_flight_commands(own_machines);
        let Some((shard, ids)) = by_shard.into_iter().max_by_key(|(_, ids)| ids.len()) else {
            return self.supersede_exited_tasks(own_machines);
        };
        // All controllers draw from one counter: at random times they rarely conflict.
        let pause = self.rng.random_range(RENEWAL_INTERVAL.0 / 2..RENEWAL_INTERVAL.0 * 3 / 2);
        self.control.next_token_renewal_at = now + Micros(pause);
        let in_flight = ids.iter().filter_map(|id| self.fleet.machine(id)?.commands.unacknowledged_token());
        let highest = in_flight.max().unwrap_or_default();
        let fencing_token = FencingToken(self.store.replica.latest_fencing_token().0.max(highest.0) + 1);
        if ids.len() > MAX_OWN_TOKENS {
            self.renew_shard_token(shard, fencing_token);
        } else {
            self.renew_machine_tokens(shard, ids, fencing_token);
        }
    }

    /// Machines seen lately that may not have received a command sent under their present fencing token, by shard.
    fn machines_with_in_flight_commands(&self, own_machines: &[MachineId]) -> BTreeMap<u32, Vec<MachineId>> {
        let now = self.now();
        let recent = Micros::from_secs_f64(self.platform.deployment.agents.heartbeat_s * RECENT_HEARTBEATS);
        let mut by_shard: BTreeMap<u32, Vec<MachineId>> = BTreeMap::new();
        for id in own_machines {
            let fencing_token = self.fencing_token(id).unwrap_or_default();
            let Some(machine) = self.fleet.machine(id) else { continue };
            let Some(shard) = machine.ownership.shard() else { continue };
            let in_doubt = machine.commands.may_execute_under(fencing_token);
            if in_doubt
                && !machine.is_record_changing()
                && !machine.commands.is_in_flight()
                && machine.contact.silence(now) < recent
            {
                by_shard.entry(shard).or_default().push(id.clone());
            }
        }
        by_shard
    }

    /// Writes a new fencing token into the records of some machines of a shard.
    fn renew_machine_tokens(&mut self, shard: u32, ids: Vec<MachineId>, fencing_token: FencingToken) {
        let mut proposal = ProposedTxn::default();
        proposal.unchanged(&self.store.replica, Key::FencingToken);
        proposal.unchanged(&self.store.replica, Key::Role(Role::Shard(shard)));
        proposal.put(Key::FencingToken, to_value(&fencing_token));
        for id in &ids {
            let Some(stored) = self.store.replica.machines.get(id) else { continue };
            let mut record = stored.value.clone();
            record.fencing_token = fencing_token;
            proposal.unchanged(&self.store.replica, Key::Machine(id.clone()));
            proposal.put(Key::Machine(id.clone()), to_value(&record));
            if let Some(machine) = self.fleet.machine_mut(id) {
                machine.record_change_started();
            }
        }
        self.submit_txn(proposal, TxnPurpose::Machines(MachineChange::FencingToken, ids));
    }

    /// Agents report exited tasks in every heartbeat until these may be forgotten, which takes a new fencing token.
    /// Where they make up most of the heartbeats, reading them costs more than the fencing token.
    fn supersede_exited_tasks(&mut self, own_machines: &[MachineId]) {
        let mut by_shard: BTreeMap<u32, ExitedTasks> = BTreeMap::new();
        for machine in own_machines.iter().filter_map(|id| self.fleet.machine(id)) {
            if let Some(shard) = machine.ownership.shard() {
                let exited = by_shard.entry(shard).or_default();
                exited.task_count += machine.unrecorded.retained_exited_count();
                exited.machine_count += 1;
            }
        }
        let highest = by_shard.into_iter().max_by(|a, b| a.1.mean().total_cmp(&b.1.mean()));
        let Some((shard, exited)) = highest.filter(|(_, exited)| exited.mean() > self.policy.exited_mean) else {
            return;
        };
        tracing::debug!(
            shard,
            exited_task_count = exited.task_count,
            machine_count = exited.machine_count,
            "shard lease renewed so that agents may forget exited tasks"
        );
        self.control.next_token_renewal_at = self.now() + Micros::from_millis(self.policy.exited_every_ms);
        self.renew_shard_token(shard, self.store.replica.next_fencing_token());
    }
}
