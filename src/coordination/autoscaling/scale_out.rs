//! Scale-out: chooses the instances to be created for unschedulable tasks, by offer and count.

use crate::coordination::Controller;
use crate::coordination::autoscaling::bin_packing::{MachineCapacity, UnschedulableTasks, pack_tasks, tasks_that_fit};
use crate::coordination::autoscaling::cloud_client::CloudRequest;
use crate::coordination::autoscaling::machine_types::{InstanceOffer, MachineTypeInfo};
use crate::coordination::autoscaling::provisioning_history::Reliability;
use crate::coordination::scheduling::zone_rules::TasksByZone;
use crate::protocol::cloud::InstanceRequest;
use crate::protocol::user::JobSpec;
use crate::storage::schema::Role;
use crate::types::Resources;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of instances in one request.
const MAX_INSTANCES_PER_REQUEST: u32 = 50;
/// Factor by which costs are scaled before they are truncated to integers for comparison.
const COST_SCALE: f64 = 1e6;

/// Inputs to the choice of an offer.
struct OfferCriteria {
    /// Number of recorded and planned machines by zone.
    machines_by_zone: BTreeMap<String, u64>,
    /// Zones in which no instance may be created now.
    closed_zones: BTreeSet<String>,
    reliability: Reliability,
}

/// An offer with the values by which it is compared with others.
struct PricedOffer {
    offer: InstanceOffer,
    resources: Resources,
    /// Cost for each task that fits on the instance, scaled by [`COST_SCALE`].
    cost: u64,
    /// Number of machines in the offer's zone. Among offers of equal cost the one with the fewest is chosen.
    machines_in_zone: u64,
}

/// The instances chosen so far.
struct ScaleOutPlan {
    criteria: OfferCriteria,
    new_machines: Vec<MachineCapacity>,
    counts: BTreeMap<InstanceOffer, u32>,
    /// Number of new instances by zone, for returning zones.
    counts_in_returning_zones: BTreeMap<String, u32>,
    /// Number of instances that may still be added.
    remaining: u64,
}

impl Controller {
    /// Returns whether an offer exists that can run one of these tasks and is not marked as out of capacity.
    pub(crate) fn can_scale_out_for(&self, tasks: &UnschedulableTasks) -> bool {
        let criteria = OfferCriteria {
            machines_by_zone: BTreeMap::new(),
            closed_zones: self.zones_closed_to_scale_out(&BTreeMap::new()),
            reliability: self.autoscaling.provisioning.settled_reliability(self.now()),
        };
        self.cheapest_offer(&tasks.spec, &tasks.zones, &criteria).is_some()
    }

    /// Requests instances for unschedulable tasks.
    pub(super) fn scale_out(&mut self, unschedulable: &[UnschedulableTasks]) {
        // Until requests in flight are answered, the number of coming instances is unknown.
        if self.autoscaling.cloud.is_creating_instances() {
            return;
        }
        let now = self.now();
        self.autoscaling.provisioning.forget_expired_unavailability(now);
        let counts = self.instances_to_create(unschedulable);
        self.request_instances(counts);
    }

    /// Returns how many more instances may be provisioned concurrently.
    fn remaining_provisioning(&self) -> u64 {
        let by_size = (self.store.replica.machines.len() as f64 * self.policy.boots_part) as u64;
        let max_count = u64::from(self.policy.boots_max).max(by_size);
        // Overdue instances may never start, so they don't count, but only up to the limit itself.
        let autoscaling = &self.autoscaling;
        let overdue_count = autoscaling.provisioning.overdue_count(&autoscaling.machine_types, self.now());
        max_count.saturating_sub(autoscaling.provisioning.count() - overdue_count.min(max_count))
    }

    fn instances_to_create(&self, unschedulable: &[UnschedulableTasks]) -> BTreeMap<InstanceOffer, u32> {
        let autoscaling = &self.autoscaling;
        let mut plan = ScaleOutPlan {
            criteria: OfferCriteria {
                // Counted once: an iteration over all machines for each new instance took most of a second.
                machines_by_zone: self.machines_by_zone(),
                closed_zones: self.zones_closed_to_scale_out(&BTreeMap::new()),
                reliability: autoscaling.provisioning.reliability(&autoscaling.machine_types, self.now()),
            },
            new_machines: Vec::new(),
            counts: BTreeMap::new(),
            counts_in_returning_zones: BTreeMap::new(),
            remaining: self.remaining_provisioning(),
        };
        for tasks in unschedulable {
            self.plan_instances_for(tasks, &mut plan);
        }
        plan.counts
    }

    /// Packs tasks into the instances chosen so far, and chooses more instances for the remaining tasks.
    fn plan_instances_for(&self, tasks: &UnschedulableTasks, plan: &mut ScaleOutPlan) {
        let mut zones = tasks.zones.clone();
        let mut count = tasks.count - pack_tasks(&tasks.spec, tasks.count, &mut plan.new_machines, &mut zones);
        while count > 0 && plan.remaining > 0 {
            let Some(PricedOffer { offer, resources, .. }) = self.cheapest_offer(&tasks.spec, &zones, &plan.criteria)
            else {
                break;
            };
            let mut machine = MachineCapacity::of_new_machine(offer.clone(), resources);
            let packed_count = pack_tasks(&tasks.spec, count, std::slice::from_mut(&mut machine), &mut zones);
            if packed_count == 0 {
                break;
            }
            count -= packed_count;
            plan.new_machines.push(machine);
            *plan.criteria.machines_by_zone.entry(offer.zone.clone()).or_default() += 1;
            if self.zone_is_returning(&offer.zone) {
                *plan.counts_in_returning_zones.entry(offer.zone.clone()).or_default() += 1;
                plan.criteria.closed_zones = self.zones_closed_to_scale_out(&plan.counts_in_returning_zones);
            }
            *plan.counts.entry(offer).or_default() += 1;
            plan.remaining -= 1;
        }
    }

    fn machines_by_zone(&self) -> BTreeMap<String, u64> {
        let mut by_zone: BTreeMap<String, u64> = BTreeMap::new();
        for record in self.store.replica.machines.values() {
            // Looks the zone up by reference first, to avoid copying its name for each of thousands of machines.
            match by_zone.get_mut(&record.value.zone) {
                Some(count) => *count += 1,
                None => *by_zone.entry(record.value.zone.clone()).or_default() = 1,
            }
        }
        by_zone
    }

    fn request_instances(&mut self, counts: BTreeMap<InstanceOffer, u32>) {
        let fencing_token = self.role_token(Role::Leader).unwrap_or_default();
        for (offer, count) in counts {
            let number = self.autoscaling.provisioning.next_request_number();
            // No other process gets this fencing token, so the request name is unique.
            let request = InstanceRequest {
                request: format!("r-{}-{number}", fencing_token.0),
                machine_type: offer.machine_type,
                zone: offer.zone,
                spot: offer.spot,
                count: count.min(MAX_INSTANCES_PER_REQUEST),
            };
            self.send_cloud_request(CloudRequest::CreateInstances { request, retry_count: 0 });
        }
    }

    /// Returns the offer with the lowest cost for each task that fits on its instances.
    fn cheapest_offer(&self, spec: &JobSpec, zones: &TasksByZone, criteria: &OfferCriteria) -> Option<PricedOffer> {
        let need = spec.resources();
        let zone_allowed = |zone: &str| !criteria.closed_zones.contains(zone) && zones.remaining_in(spec, zone) > 0;
        let mut priced_offers = Vec::new();
        for info in self.autoscaling.machine_types().filter(|info| need.fits_in(&info.resources)) {
            for zone in info.wire.zones.iter().filter(|zone| zone_allowed(zone)) {
                for spot in [false, true] {
                    let offer = InstanceOffer { machine_type: info.wire.name.clone(), zone: zone.clone(), spot };
                    if spec.allows(&offer.machine_type, &offer.zone, spot)
                        && !self.autoscaling.provisioning.is_unavailable(&offer)
                    {
                        priced_offers.push(priced_offer(offer, info, &need, criteria));
                    }
                }
            }
        }
        priced_offers.into_iter().min_by_key(|priced| (priced.cost, priced.machines_in_zone))
    }
}

/// Returns an offer with its cost for each task that fits on an instance. A failed instance costs both its provisioning
/// and the time that tasks wait for it, so the cost is divided by the square of the success rate.
fn priced_offer(
    offer: InstanceOffer,
    info: &MachineTypeInfo,
    need: &Resources,
    criteria: &OfferCriteria,
) -> PricedOffer {
    let on_demand_price = info.wire.price;
    let price = if offer.spot { info.wire.spot_price.unwrap_or(on_demand_price) } else { on_demand_price };
    let task_count = tasks_that_fit(need, &info.resources).max(1);
    let success_rate = criteria.reliability.success_rate(&offer);
    PricedOffer {
        cost: (price / task_count as f64 / (success_rate * success_rate) * COST_SCALE) as u64,
        machines_in_zone: criteria.machines_by_zone.get(&offer.zone).copied().unwrap_or(0),
        resources: info.resources,
        offer,
    }
}
