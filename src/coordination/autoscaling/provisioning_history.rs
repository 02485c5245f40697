//! How instances came up in the past: how long that takes by machine type, and which offers fail to.
//!
//! An instance that takes longer than its type usually does is not counted on any more: more instances are created in its
//! place, of another offer if need be. It is still used if it comes up, and deleted after the timeout that the setting
//! `boot_patience` gives.

use crate::coordination::autoscaling::machine_types::InstanceOffer;
use crate::coordination::autoscaling::provisioning::ProvisioningInstance;
use crate::types::Micros;
use std::collections::BTreeMap;

/// Weights of the newest sample in the running mean and deviation, and deviations allowed above the mean: as TCP
/// estimates its retransmission timeout.
const MEAN_GAIN: f64 = 0.125;
const DEVIATION_GAIN: f64 = 0.25;
const DEVIATIONS: f64 = 4.0;
/// An instance is expected to come up within this multiple of the time that the cloud names.
const EXPECTED_SPREAD: f64 = 1.6;
/// An outcome that is so old counts half.
const HALF_LIFE_S: f64 = 120.0;
/// The expected success rate of an offer weighs as much as so many instances of it.
const PRIOR_WEIGHT: f64 = 2.0;

/// Provisioning times of one machine type, in seconds.
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
        self.mean + DEVIATIONS * self.deviation
    }
}

/// Outcomes of the instances of one offer, which count the less the older they are.
#[derive(Clone, Copy, Debug, Default)]
struct Outcomes {
    succeeded: f64,
    failed: f64,
    as_of: Micros,
}

impl Outcomes {
    fn decayed(&self, now: Micros) -> Outcomes {
        let part = 0.5f64.powf(now.since(self.as_of).secs() / HALF_LIFE_S);
        Outcomes { succeeded: self.succeeded * part, failed: self.failed * part, as_of: now }
    }

    /// The part that came up, drawn towards the expected one where there are few samples.
    fn success_rate(&self, expected: f64) -> f64 {
        (self.succeeded + PRIOR_WEIGHT * expected) / (self.succeeded + self.failed + PRIOR_WEIGHT)
    }
}

/// Outcomes and durations of provisioning so far.
#[derive(Debug, Default)]
pub(super) struct ProvisioningHistory {
    times: BTreeMap<String, ProvisioningTime>,
    outcomes: BTreeMap<InstanceOffer, Outcomes>,
}

impl ProvisioningHistory {
    /// An instance has come up so long after it was requested.
    pub fn came_up(&mut self, offer: InstanceOffer, took: Micros, now: Micros) {
        let seconds = took.secs();
        let first = ProvisioningTime::of_first_sample(seconds);
        self.times.entry(offer.machine_type.clone()).or_insert(first).add_sample(seconds);
        self.outcomes_of(offer, now).succeeded += 1.0;
    }

    /// An instance has not come up before its timeout.
    pub fn timed_out(&mut self, offer: InstanceOffer, now: Micros) {
        self.outcomes_of(offer, now).failed += 1.0;
    }

    fn outcomes_of(&mut self, offer: InstanceOffer, now: Micros) -> &mut Outcomes {
        let outcomes = self.outcomes.entry(offer).or_default();
        *outcomes = outcomes.decayed(now);
        outcomes
    }

    /// How long an instance of a type may take before it is not counted on any more. `named_s` is what the cloud names.
    /// Short times shorten nothing: later instances may take the named time again.
    pub fn max_expected_span(&self, machine_type: &str, named_s: f64) -> Micros {
        let seen_s = self.times.get(machine_type).map_or(0.0, ProvisioningTime::upper_bound);
        Micros::from_secs_f64(seen_s.max(named_s * EXPECTED_SPREAD))
    }

    /// What part of the instances of each offer comes up in time. `overdue` instances count as failed.
    pub fn reliability<'a>(&self, overdue: impl Iterator<Item = &'a ProvisioningInstance>, now: Micros) -> Reliability {
        let mut by_offer: BTreeMap<InstanceOffer, Outcomes> =
            self.outcomes.iter().map(|(offer, outcomes)| (offer.clone(), outcomes.decayed(now))).collect();
        for instance in overdue {
            by_offer.entry(instance.offer.clone()).or_default().failed += 1.0;
        }
        let mut pooled = [Outcomes::default(); 2];
        for (offer, outcomes) in &by_offer {
            let pool = &mut pooled[usize::from(offer.spot)];
            pool.succeeded += outcomes.succeeded;
            pool.failed += outcomes.failed;
        }
        Reliability { expected_rates: pooled.map(|pool| pool.success_rate(1.0)), by_offer }
    }
}

/// What part of the instances of each offer comes up in time.
pub(super) struct Reliability {
    by_offer: BTreeMap<InstanceOffer, Outcomes>,
    /// Of on-demand instances and of spot instances as a whole: what is expected of an offer without samples.
    expected_rates: [f64; 2],
}

impl Reliability {
    /// The success rate of one offer.
    pub fn success_rate(&self, offer: &InstanceOffer) -> f64 {
        let expected = self.expected_rates[usize::from(offer.spot)];
        self.by_offer.get(offer).map_or(expected, |outcomes| outcomes.success_rate(expected))
    }
}
