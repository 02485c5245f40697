//! History of provisioning: startup times by machine type, and success rates by offer.
//!
//! An instance that takes longer than usual for its type is overdue and no longer counts as expected capacity: others
//! are created in its place, from another offer if necessary. It is still used if it starts after all, and deleted
//! after the timeout given by the setting `boot_patience`.

use crate::coordination::autoscaling::machine_types::InstanceOffer;
use crate::coordination::autoscaling::provisioning::ProvisioningInstance;
use crate::types::Micros;
use std::collections::BTreeMap;

/// Weight of the newest sample in the smoothed mean. This and the next two constants are those of TCP's estimate of the
/// retransmission timeout.
const MEAN_GAIN: f64 = 0.125;
/// Weight of the newest sample in the smoothed deviation.
const DEVIATION_GAIN: f64 = 0.25;
/// Multiple of the deviation that is allowed above the mean.
const DEVIATION_FACTOR: f64 = 4.0;
/// Multiple of the typical startup time stated by the cloud before which no instance is overdue.
const TYPICAL_STARTUP_FACTOR: f64 = 1.6;
/// Half-life of the weight of an outcome, in seconds.
const HALF_LIFE_S: f64 = 120.0;
/// Weight of an offer's prior success rate, as a number of instances.
const PRIOR_WEIGHT: f64 = 2.0;

/// Smoothed mean and deviation of one machine type's provisioning times, in seconds.
#[derive(Clone, Copy, Debug)]
struct ProvisioningTime {
    mean: f64,
    deviation: f64,
}

impl ProvisioningTime {
    fn of_first_sample(seconds: f64) -> ProvisioningTime {
        ProvisioningTime { mean: seconds, deviation: seconds / 2.0 }
    }

    fn add_sample(&mut self, seconds: f64) {
        let error = seconds - self.mean;
        self.mean += MEAN_GAIN * error;
        self.deviation += DEVIATION_GAIN * (error.abs() - self.deviation);
    }

    fn upper_bound(&self) -> f64 {
        self.mean + DEVIATION_FACTOR * self.deviation
    }
}

/// Counts of successful and failed instances of one offer, with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
struct ProvisioningOutcomes {
    succeeded: f64,
    failed: f64,
    as_of: Micros,
}

impl ProvisioningOutcomes {
    fn decayed(&self, now: Micros) -> ProvisioningOutcomes {
        let weight = 0.5f64.powf(now.since(self.as_of).secs() / HALF_LIFE_S);
        ProvisioningOutcomes { succeeded: self.succeeded * weight, failed: self.failed * weight, as_of: now }
    }

    /// Returns the success rate, weighted towards the expected rate if there are few samples.
    fn success_rate(&self, expected: f64) -> f64 {
        (self.succeeded + PRIOR_WEIGHT * expected) / (self.succeeded + self.failed + PRIOR_WEIGHT)
    }
}

/// Provisioning times by machine type and outcomes by offer.
#[derive(Debug, Default)]
pub(super) struct ProvisioningHistory {
    times: BTreeMap<String, ProvisioningTime>,
    outcomes: BTreeMap<InstanceOffer, ProvisioningOutcomes>,
}

impl ProvisioningHistory {
    /// Records that an instance has started, with the time since its request.
    pub fn record_success(&mut self, offer: InstanceOffer, took: Micros, now: Micros) {
        let seconds = took.secs();
        let first = ProvisioningTime::of_first_sample(seconds);
        self.times.entry(offer.machine_type.clone()).or_insert(first).add_sample(seconds);
        self.outcomes_of(offer, now).succeeded += 1.0;
    }

    /// Records that an instance has not started before its timeout.
    pub fn record_timeout(&mut self, offer: InstanceOffer, now: Micros) {
        self.outcomes_of(offer, now).failed += 1.0;
    }

    fn outcomes_of(&mut self, offer: InstanceOffer, now: Micros) -> &mut ProvisioningOutcomes {
        let outcomes = self.outcomes.entry(offer).or_default();
        *outcomes = outcomes.decayed(now);
        outcomes
    }

    /// Returns the time after which an instance of a type is overdue. Observed times below the cloud's typical startup
    /// time don't shorten it, as later instances may take the typical time again.
    pub fn max_expected_span(&self, machine_type: &str, typical_startup_s: f64) -> Micros {
        let observed_s = self.times.get(machine_type).map_or(0.0, ProvisioningTime::upper_bound);
        Micros::from_secs_f64(observed_s.max(typical_startup_s * TYPICAL_STARTUP_FACTOR))
    }

    /// Returns the success rates of the offers. `overdue` instances count as failed.
    pub fn reliability<'a>(&self, overdue: impl Iterator<Item = &'a ProvisioningInstance>, now: Micros) -> Reliability {
        let mut by_offer: BTreeMap<InstanceOffer, ProvisioningOutcomes> =
            self.outcomes.iter().map(|(offer, outcomes)| (offer.clone(), outcomes.decayed(now))).collect();
        for instance in overdue {
            by_offer.entry(instance.offer.clone()).or_default().failed += 1.0;
        }
        let mut pooled = [ProvisioningOutcomes::default(); 2];
        for (offer, outcomes) in &by_offer {
            let pool = &mut pooled[usize::from(offer.spot)];
            pool.succeeded += outcomes.succeeded;
            pool.failed += outcomes.failed;
        }
        Reliability { expected_rates: pooled.map(|pool| pool.success_rate(1.0)), by_offer }
    }
}

/// Success rates: the fraction of each offer's instances that start in time.
pub(super) struct Reliability {
    by_offer: BTreeMap<InstanceOffer, ProvisioningOutcomes>,
    /// Success rates of all on-demand and of all spot instances: the prior rates of their offers.
    expected_rates: [f64; 2],
}

impl Reliability {
    /// Returns the success rate of one offer.
    pub fn success_rate(&self, offer: &InstanceOffer) -> f64 {
        let expected = self.expected_rates[usize::from(offer.spot)];
        self.by_offer.get(offer).map_or(expected, |outcomes| outcomes.success_rate(expected))
    }
}
