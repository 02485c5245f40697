//! What is rented: which kind of machine, and how many, for tasks that find no resources.

use crate::coordination::Controller;
use crate::coordination::autoscaling::capacity::{Slot, Unmet, count_in, fit};
use crate::coordination::autoscaling::leader::{Boot, Call, Offer};
use crate::coordination::autoscaling::provisioning::{Reliability, overdue};
use crate::protocol::cloud::InstanceRequest;
use crate::protocol::user::JobSpec;
use crate::storage::schema::Role;
use crate::types::{Micros, Resources};
use std::collections::{BTreeMap, BTreeSet};

/// Machines that one request may ask for.
const RENTAL_MOST: u32 = 50;
/// Boot time of a type that the cloud does not list any more, in seconds.
const USUAL_BOOT_S: f64 = 60.0;

/// What is known of the offers when one is chosen.
struct Market<'a> {
    /// Machines that there are and are to be, by zone.
    by_zone: &'a BTreeMap<String, u64>,
    /// Zones in which nothing may be rented now.
    closed: &'a BTreeSet<String>,
    reliability: &'a Reliability,
}

impl Controller {
    /// When a machine that boots should be up.
    fn boot_span(&self, boot: &Boot) -> Micros {
        let usual_s =
            self.autoscaling.types.get(&boot.machine_type).map_or(USUAL_BOOT_S, |info| info.wire.typical_startup_s);
        self.autoscaling.leader.boot_history.ordinary_span(&boot.machine_type, usual_s)
    }

    /// Machines that boot and should be up by now.
    fn overdue_boots(&self) -> impl Iterator<Item = &Boot> {
        overdue(&self.autoscaling.leader.boots, |boot| self.boot_span(boot), self.now())
    }

    /// Machines that boot and can be counted on.
    pub(crate) fn boot_slots(&self) -> Vec<Slot> {
        let now = self.now();
        let likely =
            self.autoscaling.leader.boots.values().filter(|boot| now.since(boot.since) <= self.boot_span(boot));
        likely
            .map(|b| Slot {
                id: None,
                machine_type: b.machine_type.clone(),
                zone: b.zone.clone(),
                spot: b.spot,
                free: self.autoscaling.types.get(&b.machine_type).map(|t| t.resources).unwrap_or_default(),
                untouched: true,
            })
            .collect()
    }

    /// Whether any kind of machine that takes such a task is not known to be sold out.
    pub(crate) fn can_rent_for(&self, unmet: &Unmet) -> bool {
        let reliability = self.autoscaling.leader.boot_history.reliability(std::iter::empty(), self.now());
        let closed = self.zones_closed_to_rentals(&BTreeMap::new());
        let market = Market { by_zone: &BTreeMap::new(), closed: &closed, reliability: &reliability };
        self.cheapest(&unmet.spec, &unmet.zones, &market).is_some()
    }

    pub(crate) fn rent_for(&mut self, unmet: &[Unmet]) {
        let now = self.now();
        let in_flight =
            self.autoscaling.leader.calls.values().chain(self.autoscaling.leader.again.iter().map(|(_, c)| c));
        // Until the answer is here it isn't known what is coming.
        if in_flight.into_iter().any(|c| matches!(c, Call::Rent(..))) {
            return;
        }
        self.autoscaling.leader.refused.retain(|_, until| *until > now);
        let by_size = (self.store.replica.machines.len() as f64 * self.policy.boots_part) as u64;
        let most = u64::from(self.policy.boots_max).max(by_size);
        // Those that may never come up leave room for others, but not without bound.
        let (all, late) = (self.autoscaling.leader.boots.len() as u64, self.overdue_boots().count() as u64);
        let room_left = most.saturating_sub(all - late.min(most));
        let commands = self.offers_for(unmet, room_left);
        self.send_rentals(commands);
    }

    /// What to rent for tasks that find no resources, and how many of each, up to so many machines.
    fn offers_for(&self, unmet: &[Unmet], mut room_left: u64) -> BTreeMap<Offer, u32> {
        let mut commands: BTreeMap<Offer, u32> = BTreeMap::new();
        // Counted once: a walk over all machines for each one to be rented took most of a second.
        let mut by_zone: BTreeMap<String, u64> = BTreeMap::new();
        for record in self.store.replica.machines.values() {
            match by_zone.get_mut(&record.value.zone) {
                Some(count) => *count += 1,
                None => *by_zone.entry(record.value.zone.clone()).or_default() = 1,
            }
        }
        let reliability = self.autoscaling.leader.boot_history.reliability(self.overdue_boots(), self.now());
        let mut fresh: Vec<Slot> = Vec::new();
        let mut ordered: BTreeMap<String, u32> = BTreeMap::new();
        let mut closed = self.zones_closed_to_rentals(&ordered);
        for u in unmet {
            let mut zones = u.zones.clone();
            let mut count = u.count - fit(&u.spec, u.count, &mut fresh, &mut zones);
            while count > 0 && room_left > 0 {
                let market = Market { by_zone: &by_zone, closed: &closed, reliability: &reliability };
                let Some((offer, resources)) = self.cheapest(&u.spec, &zones, &market) else { break };
                let mut slot = Slot {
                    id: None,
                    machine_type: offer.0.clone(),
                    zone: offer.1.clone(),
                    spot: offer.2,
                    free: resources,
                    untouched: true,
                };
                let taken = fit(&u.spec, count, std::slice::from_mut(&mut slot), &mut zones);
                if taken == 0 {
                    break;
                }
                count -= taken;
                fresh.push(slot);
                *by_zone.entry(offer.1.clone()).or_default() += 1;
                if self.zone_is_returning(&offer.1) {
                    *ordered.entry(offer.1.clone()).or_default() += 1;
                    closed = self.zones_closed_to_rentals(&ordered);
                }
                *commands.entry(offer).or_default() += 1;
                room_left -= 1;
            }
        }
        commands
    }

    fn send_rentals(&mut self, commands: BTreeMap<Offer, u32>) {
        let fencing_token = self.role_token(Role::Leader).unwrap_or_default();
        for (offer, count) in commands {
            self.autoscaling.leader.rental_requests += 1;
            // The fencing token is this process's alone, so the name never comes again.
            let request = format!("r-{}-{}", fencing_token.0, self.autoscaling.leader.rental_requests);
            let (machine_type, zone, spot) = offer;
            let rental = InstanceRequest { request, machine_type, zone, spot, count: count.min(RENTAL_MOST) };
            self.cloud(Call::Rent(rental, 0));
        }
    }

    /// The offer with the lowest price for each task it can hold. One that fails costs its boot and the time of those
    /// who wait for it.
    fn cheapest(&self, spec: &JobSpec, zones: &BTreeMap<String, u64>, market: &Market) -> Option<(Offer, Resources)> {
        let need = spec.resources();
        let most = u64::from(spec.tasks.div_ceil(2));
        let zone_allowed = |zone: &String| {
            !market.closed.contains(zone)
                && spec.zone.as_ref().is_none_or(|want| want == zone)
                && (!spec.one_zone || zones.keys().all(|z| z == zone))
                && (!spec.spread || zones.get(zone).copied().unwrap_or(0) < most)
        };
        let mut best: Option<((u64, u64), Offer, Resources)> = None;
        for info in self.autoscaling.types.values() {
            if spec.types.as_ref().is_some_and(|t| !t.contains(&info.wire.name)) || !need.fits_in(&info.resources) {
                continue;
            }
            let tasks = count_in(&need, &info.resources).max(1);
            for zone in info.wire.zones.iter().filter(|z| zone_allowed(z)) {
                for spot in [false, true] {
                    let offer = (info.wire.name.clone(), zone.clone(), spot);
                    if (spot && !spec.spot) || self.autoscaling.leader.refused.contains_key(&offer) {
                        continue;
                    }
                    let price = if spot { info.wire.spot_price.unwrap_or(info.wire.price) } else { info.wire.price };
                    let comes_up = market.reliability.of(&offer);
                    let cost = (price / tasks as f64 / (comes_up * comes_up) * 1e6) as u64;
                    // Among equals the zone with the fewest machines.
                    let here = market.by_zone.get(zone).copied().unwrap_or(0);
                    if best.as_ref().is_none_or(|(b, ..)| (cost, here) < *b) {
                        best = Some(((cost, here), offer, info.resources));
                    }
                }
            }
        }
        best.map(|(_, offer, resources)| (offer, resources))
    }
}
