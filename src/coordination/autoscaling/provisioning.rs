//! Instances being provisioned: created or listed by the cloud, but not yet recorded as machines.

use crate::coordination::Controller;
use crate::coordination::autoscaling::bin_packing::MachineCapacity;
use crate::coordination::autoscaling::machine_types::{InstanceOffer, MachineTypeCatalog};
use crate::coordination::autoscaling::provisioning_history::{ProvisioningHistory, Reliability};
use crate::coordination::fleet::cordon::CordonCause;
use crate::protocol::cloud::{InstanceRequest, ListedMachine, ListedState};
use crate::storage::schema::CordonReason;
use crate::types::{MachineId, Micros};
use std::collections::{BTreeMap, HashMap};

/// Provisioning time assumed for a type that the cloud no longer lists, in seconds.
const DEFAULT_PROVISIONING_S: f64 = 60.0;
/// An instance counts as deleted when the listings lack it for this multiple of their lag plus the margin below.
const LISTING_LAG_FACTOR: f64 = 2.0;
/// Margin added to that time, in seconds.
const LISTING_MARGIN_S: f64 = 5.0;

/// An instance that was created or listed and has no machine record yet.
#[derive(Clone, Debug)]
pub(super) struct ProvisioningInstance {
    pub offer: InstanceOffer,
    requested_at: Micros,
    last_listed_at: Micros,
}

/// Instances being provisioned, and the history of earlier ones.
#[derive(Default)]
pub(super) struct Provisioning {
    instances: BTreeMap<MachineId, ProvisioningInstance>,
    history: ProvisioningHistory,
    /// Offers that the cloud had no capacity for, with the time before which they are not requested again.
    unavailable_until: HashMap<InstanceOffer, Micros>,
    request_count: u64,
}

impl Provisioning {
    /// Returns the number of the next request for instances, counted from 1.
    pub fn next_request_number(&mut self) -> u64 {
        self.request_count += 1;
        self.request_count
    }

    /// Returns the number of instances being provisioned.
    pub fn count(&self) -> u64 {
        self.instances.len() as u64
    }

    /// Returns the number of instances being provisioned in one zone.
    pub fn count_in_zone(&self, zone: &str) -> u32 {
        self.instances.values().filter(|instance| instance.offer.zone == zone).count() as u32
    }

    /// Forgets all instances. A new leader learns the existing ones from a listing.
    pub fn forget_instances(&mut self) {
        self.instances.clear();
    }

    /// Removes a deleted instance.
    pub fn remove(&mut self, id: &MachineId) {
        self.instances.remove(id);
    }

    /// Adds an instance that the cloud has created.
    fn add_created(&mut self, id: MachineId, offer: InstanceOffer, now: Micros) {
        let instance = ProvisioningInstance { offer, requested_at: now, last_listed_at: now };
        self.instances.entry(id).or_insert(instance);
    }

    /// Adds or refreshes an instance that the cloud lists and that has no record.
    fn add_listed(&mut self, machine: ListedMachine, now: Micros) {
        let ListedMachine { id, machine_type, zone, spot, age_s, .. } = machine;
        let instance = self.instances.entry(id).or_insert_with(|| ProvisioningInstance {
            offer: InstanceOffer { machine_type, zone, spot },
            requested_at: now - Micros::from_secs_f64(age_s),
            last_listed_at: now,
        });
        instance.last_listed_at = now;
    }

    /// Removes an instance that has sent its first heartbeat, and records its provisioning time.
    pub fn complete_startup(&mut self, id: &MachineId, now: Micros) {
        if let Some(instance) = self.instances.remove(id) {
            self.history.record_success(instance.offer, now.since(instance.requested_at), now);
        }
    }

    /// Records that an instance has not started before its timeout.
    fn record_timeout(&mut self, id: &MachineId, now: Micros) {
        if let Some(instance) = self.instances.get(id) {
            self.history.record_timeout(instance.offer.clone(), now);
        }
    }

    /// Forgets instances that are registered or no longer listed. Returns those past their timeout, which are kept
    /// until their deletion is confirmed.
    fn prune(
        &mut self,
        is_registered: impl Fn(&MachineId) -> bool,
        timeout: impl Fn(&InstanceOffer) -> Micros,
        listing_lag: Micros,
        now: Micros,
    ) -> Vec<MachineId> {
        let mut timed_out = Vec::new();
        self.instances.retain(|id, instance| {
            if is_registered(id) {
                return false;
            }
            if now.since(instance.requested_at) > timeout(&instance.offer) {
                timed_out.push(id.clone());
                return true;
            }
            now.since(instance.last_listed_at) < listing_lag
        });
        timed_out
    }

    /// Returns whether an instance takes longer to start than expected for its type.
    fn is_overdue(&self, instance: &ProvisioningInstance, types: &MachineTypeCatalog, now: Micros) -> bool {
        let machine_type = &instance.offer.machine_type;
        let max_span = self.history.max_expected_span(machine_type, types.provisioning_s(machine_type));
        now.since(instance.requested_at) > max_span
    }

    fn overdue<'a>(
        &'a self,
        types: &'a MachineTypeCatalog,
        now: Micros,
    ) -> impl Iterator<Item = &'a ProvisioningInstance> {
        self.instances.values().filter(move |instance| self.is_overdue(instance, types, now))
    }

    /// Returns the number of overdue instances.
    pub fn overdue_count(&self, types: &MachineTypeCatalog, now: Micros) -> u64 {
        self.overdue(types, now).count() as u64
    }

    /// Returns the capacity to be expected: that of the instances that are not overdue.
    pub fn expected_capacity(&self, types: &MachineTypeCatalog, now: Micros) -> Vec<MachineCapacity> {
        let expected = self.instances.values().filter(|instance| !self.is_overdue(instance, types, now));
        expected
            .map(|instance| {
                let resources = types.resources(&instance.offer.machine_type);
                MachineCapacity::of_new_machine(instance.offer.clone(), resources)
            })
            .collect()
    }

    /// Returns the success rates of the offers. Instances that are overdue now count as failed.
    pub fn reliability(&self, types: &MachineTypeCatalog, now: Micros) -> Reliability {
        self.history.reliability(self.overdue(types, now), now)
    }

    /// Returns the success rates of the offers. Overdue instances don't count.
    pub fn settled_reliability(&self, now: Micros) -> Reliability {
        self.history.reliability(std::iter::empty(), now)
    }

    /// Returns whether the cloud recently had no capacity for an offer.
    pub fn is_unavailable(&self, offer: &InstanceOffer) -> bool {
        self.unavailable_until.contains_key(offer)
    }

    /// Allows new requests for offers whose time of unavailability has passed.
    pub fn forget_expired_unavailability(&mut self, now: Micros) {
        self.unavailable_until.retain(|_, until| *until > now);
    }
}

impl MachineTypeCatalog {
    /// Returns the typical startup time of a type as stated by the cloud, in seconds.
    fn provisioning_s(&self, machine_type: &str) -> f64 {
        self.get(machine_type).map_or(DEFAULT_PROVISIONING_S, |info| info.wire.typical_startup_s)
    }
}

impl Controller {
    /// Handles the cloud's answer to a request for instances: the IDs of those it created.
    pub(super) fn instances_created(&mut self, request: &InstanceRequest, ids: Vec<MachineId>) {
        let now = self.now();
        let InstanceRequest { machine_type, zone, spot, count, .. } = request;
        let offer = InstanceOffer { machine_type: machine_type.clone(), zone: zone.clone(), spot: *spot };
        tracing::info!(
            machine_type,
            zone,
            spot,
            requested_count = count,
            created_count = ids.len(),
            "instances created"
        );
        if (ids.len() as u32) < *count {
            self.mark_unavailable(offer.clone());
        }
        for id in ids {
            if !self.store.replica.machines.contains_key(&id) {
                self.autoscaling.provisioning.add_created(id, offer.clone(), now);
            }
        }
    }

    /// Marks an offer as out of capacity and schedules a new plan at once, which chooses other offers.
    pub(super) fn mark_unavailable(&mut self, offer: InstanceOffer) {
        let now = self.now();
        let until = now + Micros::from_millis(self.policy.refused_pause_ms);
        self.autoscaling.provisioning.unavailable_until.insert(offer, until);
        self.autoscaling.plan.schedule_at_once(now);
    }

    /// Handles a complete listing of the cloud's machines.
    pub(super) fn machines_listed(&mut self, machines: Vec<ListedMachine>) {
        let now = self.now();
        let mut failed = Vec::new();
        for machine in machines {
            let id = &machine.id;
            let is_recorded = self.store.replica.machines.contains_key(id);
            if machine.state == ListedState::Failed {
                if is_recorded {
                    self.cordon_as_leader(id, CordonReason::ForceDelete, CordonCause::ListedAsFailed);
                } else if !self.autoscaling.was_deleted(id) {
                    // The listing lags and may show a deleted machine as failed for a while.
                    failed.push(id.clone());
                }
                continue;
            }
            let is_machine_deleted = self.autoscaling.was_deleted(id) || self.store.replica.is_machine_deleted(id);
            if !is_recorded && !is_machine_deleted {
                self.autoscaling.provisioning.add_listed(machine, now);
            }
        }
        self.delete_machines(failed);
    }

    /// Deletes instances that have not started before their timeout.
    pub(super) fn enforce_provisioning_timeout(&mut self) {
        let now = self.now();
        let lag_s = self.platform.deployment.cloud.list_lag_s * LISTING_LAG_FACTOR + LISTING_MARGIN_S;
        let timeout_factor = self.policy.boot_patience;
        let (types, recorded) = (&self.autoscaling.machine_types, &self.store.replica.machines);
        let timed_out = self.autoscaling.provisioning.prune(
            |id| recorded.contains_key(id),
            |offer| Micros::from_secs_f64(types.provisioning_s(&offer.machine_type) * timeout_factor),
            Micros::from_secs_f64(lag_s),
            now,
        );
        for id in &timed_out {
            if !self.autoscaling.is_deleting(id) {
                tracing::info!(machine = %id, "provisioning timed out");
                self.autoscaling.provisioning.record_timeout(id, now);
            }
        }
        self.delete_machines(timed_out);
    }
}
