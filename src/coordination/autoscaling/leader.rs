//! The leader's work: takes machines into the stored records, plans which shard gets which, rents and returns.

use crate::coordination::autoscaling::TypeInfo;
use crate::coordination::autoscaling::capacity::Unmet;
use crate::coordination::autoscaling::provisioning::BootHistory;
use crate::coordination::store_sync::txns::{MachineChange, ProposedTxn, Purpose};
use crate::coordination::{CloudCall, CloudOutcome, Controller, Effect};
use crate::protocol::cloud::{InstanceRequest, ListedMachine, ListedState, MachineList, MachineTypes};
use crate::storage::schema::{CordonReason, Key, MachineRecord, to_value};
use crate::types::{MachineId, Micros, Resources};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A machine rented or listed that has no record yet.
#[derive(Clone, Debug)]
pub(crate) struct Boot {
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub since: Micros,
    pub last_listed: Micros,
}

impl Boot {
    pub fn offer(&self) -> Offer {
        (self.machine_type.clone(), self.zone.clone(), self.spot)
    }
}

#[derive(Clone, Debug)]
pub(crate) enum Call {
    Types,
    List,
    Rent(InstanceRequest, u32),
    Delete(Vec<MachineId>),
    /// By their shard's holder, as nothing else proved in time that cancelled tasks are gone.
    Clear(Vec<MachineId>),
}

/// A kind of machine as the cloud rents it out: type, zone, spot or not.
pub(crate) type Offer = (String, String, bool);

#[derive(Default)]
pub(crate) struct Leader {
    pub calls: BTreeMap<u64, Call>,
    /// Calls to be made again, with what they were.
    pub again: Vec<(Micros, Call)>,
    pub page: Vec<ListedMachine>,
    pub next_list: Micros,
    pub listing: bool,
    pub listed_once: bool,
    pub boots: BTreeMap<MachineId, Boot>,
    /// How those before them came up.
    pub boot_history: BootHistory,
    pub refused: HashMap<Offer, Micros>,
    pub deleting: BTreeSet<MachineId>,
    /// Machines whose deletion was confirmed; late heartbeats of theirs count for nothing.
    pub deleted: BTreeMap<MachineId, Micros>,
    pub next_plan: Micros,
    pub next_tidy: Micros,
    /// Machines not in the stored records that answered when they were asked.
    pub alive: BTreeMap<MachineId, Micros>,
    /// Busy machines asked for on behalf of more urgent work, and when.
    pub reclaimed: BTreeMap<MachineId, Micros>,
    /// What the shards lacked in the last plan, most urgent first.
    pub need: Vec<Unmet>,
    pub rental_requests: u64,
    /// Since when lists of submissions were seen that no job names.
    pub unnamed: HashMap<String, Micros>,
}

/// Tries to learn what became of a rental without an answer, and the pause between them.
const RENT_TRIES: u32 = 8;
const RENT_AGAIN: Micros = Micros::from_millis(1000);
/// A deletion that failed is asked for again after this.
const DELETE_AGAIN: Micros = Micros::from_millis(500);
const LIST_EVERY: Micros = Micros::from_millis(2500);
const TYPES_EVERY: Micros = Micros::from_millis(60_000);
/// How often capacity is planned.
pub(crate) const PLAN_EVERY: Micros = Micros::from_millis(500);

impl Controller {
    pub(crate) fn cloud(&mut self, call: Call) {
        let request = match &call {
            Call::Types => CloudCall::Types,
            Call::List => CloudCall::List { after: self.autoscaling.leader.page.last().map(|m| m.id.clone()) },
            Call::Rent(rental, _) => CloudCall::Rent(rental.clone()),
            Call::Delete(ids) | Call::Clear(ids) => CloudCall::Delete(ids.clone()),
        };
        let number = self.autoscaling.next_call;
        self.autoscaling.next_call += 1;
        self.autoscaling.leader.calls.insert(number, call);
        self.out.push(Effect::Cloud { call: number, request });
    }

    pub(crate) fn tick_types(&mut self) {
        let now = self.now();
        let due = if self.autoscaling.types.is_empty() { Micros::from_millis(1000) } else { TYPES_EVERY };
        if self.autoscaling.types_requested_at == Micros::ZERO || now.since(self.autoscaling.types_requested_at) >= due
        {
            self.autoscaling.types_requested_at = now.max(Micros(1));
            self.cloud(Call::Types);
        }
    }

    pub(crate) fn leader_changed(&mut self) {
        if self.is_leader() {
            self.autoscaling.leader.listed_once = false;
            self.autoscaling.leader.next_list = self.now();
            self.autoscaling.leader.boots.clear();
            self.autoscaling.leader.deleting.clear();
            self.autoscaling.leader.next_plan = self.now() + PLAN_EVERY;
        }
    }

    pub(crate) fn cloud_outcome(&mut self, number: u64, outcome: CloudOutcome) {
        let Some(call) = self.autoscaling.leader.calls.remove(&number) else { return };
        let now = self.now();
        match (call, outcome) {
            (Call::Types, CloudOutcome::Types(types)) => self.types_listed(types),
            (Call::Types, _) => {}
            (Call::List, CloudOutcome::List(list)) => self.page_listed(list),
            (Call::List, _) => {
                self.autoscaling.leader.listing = false;
                self.autoscaling.leader.page.clear();
            }
            (Call::Rent(rental, _), CloudOutcome::Rented(names)) => self.rented(rental, names.machines),
            (Call::Rent(rental, _), CloudOutcome::NoCapacity) => {
                let offer = (rental.machine_type, rental.zone, rental.spot);
                tracing::info!(offer = ?offer, "no capacity");
                self.refuse(offer, now);
            }
            (Call::Rent(rental, tries), _) => {
                // It may have been carried out: the same name again tells what it brought.
                if tries < RENT_TRIES {
                    self.autoscaling.leader.again.push((now + RENT_AGAIN, Call::Rent(rental, tries + 1)));
                }
            }
            (Call::Delete(ids), CloudOutcome::Deleted) => self.deleted(ids),
            (Call::Clear(ids), CloudOutcome::Deleted) => self.machines_cleared(ids),
            (Call::Clear(ids), _) => self.clearing_failed(&ids),
            (Call::Delete(ids), _) => self.autoscaling.leader.again.push((now + DELETE_AGAIN, Call::Delete(ids))),
        }
    }

    fn types_listed(&mut self, types: MachineTypes) {
        let with_resources = types.types.into_iter().map(|wire| {
            let resources = Resources::new(wire.cpus, wire.gpus, wire.memory_gb);
            (wire.name.clone(), TypeInfo { wire, resources })
        });
        self.autoscaling.types = with_resources.collect();
        self.scheduling.cycle_wanted = true;
    }

    fn page_listed(&mut self, list: MachineList) {
        self.autoscaling.leader.listing = false;
        let more = list.more && !list.machines.is_empty();
        self.autoscaling.leader.page.extend(list.machines);
        if more && self.is_leader() {
            self.autoscaling.leader.listing = true;
            self.cloud(Call::List);
        } else {
            let machines = std::mem::take(&mut self.autoscaling.leader.page);
            self.take_list(machines);
        }
    }

    /// Machines that were rented boot now.
    fn rented(&mut self, rental: InstanceRequest, machines: Vec<MachineId>) {
        let now = self.now();
        let offer = (rental.machine_type.clone(), rental.zone.clone(), rental.spot);
        tracing::info!(offer = ?offer, asked = rental.count, got = machines.len(), "rented");
        if (machines.len() as u32) < rental.count {
            self.refuse(offer, now);
        }
        for id in machines {
            if !self.store.replica.machines.contains_key(&id) {
                let boot = Boot {
                    machine_type: rental.machine_type.clone(),
                    zone: rental.zone.clone(),
                    spot: rental.spot,
                    since: now,
                    last_listed: now,
                };
                self.autoscaling.leader.boots.entry(id).or_insert(boot);
            }
        }
    }

    fn deleted(&mut self, ids: Vec<MachineId>) {
        let now = self.now();
        let mut recorded = Vec::new();
        for id in ids {
            tracing::info!(machine = %id, "machine deleted");
            self.autoscaling.leader.boots.remove(&id);
            self.autoscaling.leader.deleted.insert(id.clone(), now);
            if self.store.replica.machines.contains_key(&id) {
                recorded.push(id);
            } else {
                self.autoscaling.leader.deleting.remove(&id);
            }
        }
        self.strike_out(recorded);
    }

    /// Takes deleted machines out of the stored records, which proves to their shards that nothing is left
    /// on them.
    pub(crate) fn strike_out(&mut self, ids: Vec<MachineId>) {
        let returned = |id: &MachineId| {
            self.store.replica.machines.get(id).is_some_and(|held| held.value.cordon == Some(CordonReason::Retire))
        };
        let (returned, lost): (Vec<_>, Vec<_>) = ids.into_iter().partition(returned);
        self.strike_out_as(MachineChange::Return, returned);
        self.strike_out_as(MachineChange::Replace, lost);
    }

    fn strike_out_as(&mut self, change: MachineChange, ids: Vec<MachineId>) {
        let most = self.platform.deployment.store.min_txn_ops();
        for ids in ids.chunks(most) {
            let mut proposal = ProposedTxn::default();
            for id in ids {
                let key = Key::Machine(id.clone());
                proposal.unchanged(&self.store.replica, key.clone());
                // As long as a fleet names it, a note must say that it is gone.
                match (self.store.replica.fleet_of(id), self.store.replica.machines.get(id)) {
                    (Some(_), Some(held)) => {
                        let record = MachineRecord { cordon: Some(CordonReason::Deleted), ..held.value.clone() };
                        proposal.put(key, to_value(&record));
                    }
                    _ => proposal.delete(key),
                }
            }
            self.submit_txn(proposal, Purpose::Machines(change, ids.to_vec()));
        }
    }

    fn refuse(&mut self, offer: Offer, now: Micros) {
        let until = now + Micros::from_millis(self.policy.refused_pause_ms);
        self.autoscaling.leader.refused.insert(offer, until);
        self.autoscaling.leader.next_plan = now;
    }

    fn take_list(&mut self, machines: Vec<ListedMachine>) {
        let now = self.now();
        self.autoscaling.leader.listed_once = true;
        let mut failed = Vec::new();
        for machine in machines {
            let id = machine.id.clone();
            if machine.state == ListedState::Failed {
                if self.store.replica.machines.contains_key(&id) {
                    self.set_hold_of(&id, CordonReason::ForceDelete);
                } else if !self.autoscaling.leader.deleted.contains_key(&id) {
                    // The list lags: one that was deleted stays on it as failed for a while.
                    failed.push(id);
                }
                continue;
            }
            let gone = self.autoscaling.leader.deleted.contains_key(&id) || self.store.replica.is_machine_deleted(&id);
            if self.store.replica.machines.contains_key(&id) || gone {
                continue;
            }
            let boot = self.autoscaling.leader.boots.entry(id).or_insert_with(|| Boot {
                machine_type: machine.machine_type,
                zone: machine.zone,
                spot: machine.spot,
                since: now - Micros::from_secs_f64(machine.age_s),
                last_listed: now,
            });
            boot.last_listed = now;
        }
        self.delete(failed);
    }

    pub(crate) fn set_hold_of(&mut self, id: &MachineId, hold: CordonReason) {
        self.fleet.machines.entry(id.clone()).or_default();
        self.set_hold(id, hold);
    }

    pub(crate) fn delete(&mut self, ids: Vec<MachineId>) {
        let ids: Vec<MachineId> =
            ids.into_iter().filter(|id| self.autoscaling.leader.deleting.insert(id.clone())).collect();
        for part in ids.chunks(100) {
            self.cloud(Call::Delete(part.to_vec()));
        }
    }

    pub(crate) fn tick_leader(&mut self) {
        let now = self.now();
        if !self.is_leader() {
            self.autoscaling.leader.again.clear();
            return;
        }
        if !self.has_valid_leadership_lease() {
            return;
        }
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.autoscaling.leader.again).into_iter().partition(|(at, _)| *at <= now);
        self.autoscaling.leader.again = later;
        for (_, call) in due {
            self.cloud(call);
        }
        if !self.autoscaling.leader.listing && now >= self.autoscaling.leader.next_list {
            self.autoscaling.leader.listing = true;
            self.autoscaling.leader.next_list = now + LIST_EVERY;
            self.cloud(Call::List);
        }
        self.autoscaling.leader.deleted.retain(|_, at| now.since(*at) < Micros::from_millis(600_000));
        self.register_machines();
        self.delete_held();
        self.give_up_boots();
        self.tidy();
        if now >= self.autoscaling.leader.next_plan
            && self.autoscaling.leader.listed_once
            && !self.autoscaling.types.is_empty()
        {
            self.autoscaling.leader.next_plan = now + PLAN_EVERY;
            self.plan();
        }
    }

    /// Machines that are to be returned are deleted: the lost ones at once, others with nothing recorded on them.
    fn delete_held(&mut self) {
        let mut ids = Vec::new();
        for (id, held) in &self.store.replica.machines {
            if self.autoscaling.leader.deleting.contains(id) {
                continue;
            }
            // The hold is seen by whoever records starts. One that crosses with it is lost with the machine, and
            // starts again elsewhere.
            let empty = self.store.replica.applied_revision.0 >= held.version && self.jobs.usage.is_empty(id);
            match held.value.cordon {
                Some(CordonReason::ForceDelete) => ids.push(id.clone()),
                Some(CordonReason::Retire) if empty => ids.push(id.clone()),
                _ => {}
            }
        }
        self.delete(ids);
    }

    fn give_up_boots(&mut self) {
        let now = self.now();
        let lag = Micros::from_secs_f64(self.platform.deployment.cloud.list_lag_s * 2.0 + 5.0);
        let patience = self.policy.boot_patience;
        let mut late = Vec::new();
        let (types, recorded) = (&self.autoscaling.types, &self.store.replica.machines);
        self.autoscaling.leader.boots.retain(|id, boot| {
            let usual = types.get(&boot.machine_type).map_or(60.0, |t| t.wire.typical_startup_s);
            let came_up = recorded.contains_key(id);
            let given_up = !came_up && now.since(boot.since) > Micros::from_secs_f64(usual * patience);
            if given_up {
                late.push(id.clone());
            }
            // One that is given up stays until its deletion is confirmed.
            given_up || !came_up && now.since(boot.last_listed) < lag
        });
        for id in &late {
            let Some(boot) =
                self.autoscaling.leader.boots.get(id).filter(|_| !self.autoscaling.leader.deleting.contains(id))
            else {
                continue;
            };
            tracing::info!(machine = %id, "did not come up, given up");
            let offer = boot.offer();
            self.autoscaling.leader.boot_history.given_up(offer, now);
        }
        self.delete(late);
    }
}
