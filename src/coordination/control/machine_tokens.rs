//! New fencing tokens for machines, which prove older commands void.

use crate::coordination::Controller;
use crate::coordination::store_sync::txns::{MachineChange, ProposedTxn, Purpose};
use crate::storage::schema::{Key, Role, to_value};
use crate::types::{FencingToken, MachineId, Micros};
use rand::Rng;
use std::collections::BTreeMap;

/// Machines in doubt that get a fencing token each; more of one shard get a common one.
const OWN_TERMS_MOST: usize = 3;
/// Usual pause between new fencing tokens for machines in doubt.
const RENEW_EVERY: Micros = Micros::from_millis(1000);

impl Controller {
    /// Machines with a direct command in doubt get a new fencing token once they are heard again: a heartbeat
    /// that carries it proves the command void. For a few each gets one of its own; many in one
    /// shard get the shard's, which costs two changes however many they are.
    pub(crate) fn renew_fencing_tokens(&mut self, ours: &[MachineId]) {
        let now = self.now();
        if now < self.control.next_token_renewal_at {
            return;
        }
        let recent = Micros::from_secs_f64(self.platform.deployment.workers.heartbeat_s * 2.0);
        let mut unacknowledged: BTreeMap<u32, Vec<MachineId>> = BTreeMap::new();
        for id in ours {
            let fencing_token = self.fencing_token(id).unwrap_or_default();
            let Some(machine) = self.fleet.machine(id) else { continue };
            let Some(shard) = machine.ownership.shard() else { continue };
            let in_doubt = machine.commands.may_execute_under(fencing_token);
            if in_doubt
                && !machine.is_record_changing()
                && !machine.commands.is_in_flight()
                && machine.contact.silence(now) < recent
            {
                unacknowledged.entry(shard).or_default().push(id.clone());
            }
        }
        let Some((shard, ids)) = unacknowledged.into_iter().max_by_key(|(_, ids)| ids.len()) else {
            return self.clear_exited(ours);
        };
        // All controllers draw from one counter: at random times they rarely meet.
        let pause = self.rng.random_range(RENEW_EVERY.0 / 2..RENEW_EVERY.0 * 3 / 2);
        self.control.next_token_renewal_at = now + Micros(pause);
        let worst = ids
            .iter()
            .filter_map(|id| self.fleet.machine(id)?.commands.unacknowledged_token())
            .max()
            .unwrap_or_default();
        let fencing_token = FencingToken(self.store.replica.latest_fencing_token().0.max(worst.0) + 1);
        if ids.len() > OWN_TERMS_MOST {
            self.renew_shard(shard, fencing_token);
            return;
        }
        let mut proposal = ProposedTxn::default();
        proposal.unchanged(&self.store.replica, Key::FencingToken);
        proposal.unchanged(&self.store.replica, Key::Role(Role::Shard(shard)));
        proposal.put(Key::FencingToken, to_value(&fencing_token));
        for id in &ids {
            let Some(held) = self.store.replica.machines.get(id) else { continue };
            let mut record = held.value.clone();
            record.fencing_token = fencing_token;
            proposal.unchanged(&self.store.replica, Key::Machine(id.clone()));
            proposal.put(Key::Machine(id.clone()), to_value(&record));
            if let Some(machine) = self.fleet.machine_mut(id) {
                machine.record_change_started();
            }
        }
        self.submit_txn(proposal, Purpose::Machines(MachineChange::FencingToken, ids));
    }

    /// Workers name exited tasks in every message until they may forget them, which takes a new fencing token. Where
    /// that makes up most of the messages, reading them costs more than the fencing token.
    fn clear_exited(&mut self, ours: &[MachineId]) {
        let mut kept: BTreeMap<u32, (usize, usize)> = BTreeMap::new();
        for machine in ours.iter().filter_map(|id| self.fleet.machine(id)) {
            if let Some(shard) = machine.ownership.shard() {
                let usage = kept.entry(shard).or_default();
                *usage = (usage.0 + machine.unrecorded.retained_exited_count(), usage.1 + 1);
            }
        }
        let mean = |(exited, machines): (usize, usize)| exited as f64 / machines.max(1) as f64;
        let worst = kept.into_iter().max_by(|a, b| mean(a.1).total_cmp(&mean(b.1)));
        if let Some((shard, usage)) = worst.filter(|(_, usage)| mean(*usage) > self.policy.exited_mean) {
            tracing::debug!(
                shard,
                exited = usage.0,
                machines = usage.1,
                "new fencing token, so that exited tasks may be forgotten"
            );
            self.control.next_token_renewal_at = self.now() + Micros::from_millis(self.policy.exited_every_ms);
            self.renew_shard(shard, FencingToken(self.store.replica.latest_fencing_token().0 + 1));
        }
    }
}
