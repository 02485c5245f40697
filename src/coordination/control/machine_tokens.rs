//! Renewal of the fencing tokens of machines. A heartbeat that carries a new token proves that commands sent under
//! earlier tokens can no longer take effect.

use crate::coordination::Controller;
use crate::coordination::store_sync::{MachineChange, ProposedTxn, TxnPurpose};
use crate::storage::schema::{Key, Role, to_value};
use crate::types::{FencingToken, MachineId, Micros};
use rand::Rng;
use std::collections::BTreeMap;

/// Maximum number of machines of a shard whose records get a new fencing token; for more, the shard's token is renewed.
const MAX_MACHINE_TOKENS: usize = 3;
/// Mean interval between new fencing tokens for machines with unacknowledged commands.
const RENEWAL_INTERVAL: Micros = Micros::from_millis(1000);
/// Number of heartbeat intervals within which a machine must have been seen to be given a new fencing token.
const RECENT_HEARTBEAT_INTERVALS: f64 = 2.0;

/// Numbers of a shard's machines and of the exited tasks that their agents still report.
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
    /// Issues a new fencing token for machines that send heartbeats but have not acknowledged a command: a heartbeat
    /// that carries the new token proves that the command is superseded. For a few machines the token goes into their
    /// records; for many machines of a shard the shard's token is renewed, which takes two writes for any number.
    pub(crate) fn renew_fencing_tokens(&mut self, own_machines: &[MachineId]) {
        let now = self.now();
        if now < self.control.next_token_renewal_at {
            return;
        }
        let by_shard = self.machines_with_unacknowledged_commands(own_machines);
        let Some((shard, ids)) = by_shard.into_iter().max_by_key(|(_, ids)| ids.len()) else {
            return self.supersede_exited_tasks(own_machines);
        };
        // All controllers draw tokens from the same counter; random pauses make conflicts rare.
        let pause = self.rng.random_range(RENEWAL_INTERVAL.0 / 2..RENEWAL_INTERVAL.0 * 3 / 2);
        self.control.next_token_renewal_at = now + Micros(pause);
        let unacknowledged = ids.iter().filter_map(|id| self.fleet.machine(id)?.commands.unacknowledged_token());
        let highest = unacknowledged.max().unwrap_or_default();
        let fencing_token = FencingToken(self.store.replica.latest_fencing_token().0.max(highest.0) + 1);
        if ids.len() > MAX_MACHINE_TOKENS {
            self.renew_shard_token(shard, fencing_token);
        } else {
            self.renew_machine_tokens(shard, ids, fencing_token);
        }
    }

    /// Returns the recently seen machines that may still execute an unacknowledged command under their current fencing
    /// token, by shard.
    fn machines_with_unacknowledged_commands(&self, own_machines: &[MachineId]) -> BTreeMap<u32, Vec<MachineId>> {
        let now = self.now();
        let recent = Micros::from_secs_f64(self.platform.deployment.agents.heartbeat_s * RECENT_HEARTBEAT_INTERVALS);
        let mut by_shard: BTreeMap<u32, Vec<MachineId>> = BTreeMap::new();
        for id in own_machines {
            let fencing_token = self.fencing_token(id).unwrap_or_default();
            let Some(machine) = self.fleet.machine(id) else { continue };
            let Some(shard) = machine.ownership.shard() else { continue };
            let may_execute = machine.commands.may_execute_under(fencing_token);
            if may_execute
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

    /// Renews the lease of the shard whose agents report the most exited tasks per machine, if the mean exceeds the
    /// `exited_mean` setting. Agents report an exited task in every heartbeat until a new fencing token lets them
    /// forget it; where exited tasks make up most of the heartbeats, reading them costs more than a new token.
    fn supersede_exited_tasks(&mut self, own_machines: &[MachineId]) {
        let mut by_shard: BTreeMap<u32, ExitedTasks> = BTreeMap::new();
        for machine in own_machines.iter().filter_map(|id| self.fleet.machine(id)) {
            if let Some(shard) = machine.ownership.shard() {
                let exited = by_shard.entry(shard).or_default();
                exited.task_count += machine.unrecorded.retained_exited_count();
                exited.machine_count += 1;
            }
        }
        let most_exited = by_shard.into_iter().max_by(|a, b| a.1.mean().total_cmp(&b.1.mean()));
        let Some((shard, exited)) = most_exited.filter(|(_, exited)| exited.mean() > self.policy.exited_mean) else {
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
