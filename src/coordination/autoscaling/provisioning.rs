//! How rented machines come up: how long that takes, and which kinds of machine fail to.
//!
//! A machine that boots for longer than its kind usually takes is not counted on any more: more machines are rented in
//! its place, if need be of another kind. It is still used if it comes, and given up after the time that
//! `boot_patience` allows.

use crate::coordination::autoscaling::leader::{Boot, Offer};
use crate::types::{MachineId, Micros};
use std::collections::BTreeMap;

/// Weights of the newest boot in the running mean and deviation, and deviations allowed above the mean: as TCP
/// estimates its retransmission timeout.
const MEAN_GAIN: f64 = 0.125;
const DEVIATION_GAIN: f64 = 0.25;
const DEVIATIONS: f64 = 4.0;
/// A boot of ordinary length takes up to this multiple of the time that the cloud names.
const ORDINARY_SPREAD: f64 = 1.6;
/// What happened so long ago counts half.
const HALF_LIFE_S: f64 = 120.0;
/// What is expected of a kind weighs as much as so many boots of it.
const PRIOR: f64 = 2.0;

/// Boot times of one machine type, in seconds.
#[derive(Clone, Copy, Debug)]
struct BootTime {
    mean: f64,
    deviation: f64,
}

/// Boots of one kind of machine, the older the less they count.
#[derive(Clone, Copy, Debug, Default)]
struct Outcomes {
    up: f64,
    failed: f64,
    at: Micros,
}

impl Outcomes {
    fn decayed(&self, now: Micros) -> Outcomes {
        let part = 0.5f64.powf(now.since(self.at).secs() / HALF_LIFE_S);
        Outcomes { up: self.up * part, failed: self.failed * part, at: now }
    }

    /// The part that came up, drawn towards what is expected where little was seen.
    fn rate(&self, expected: f64) -> f64 {
        (self.up + PRIOR * expected) / (self.up + self.failed + PRIOR)
    }
}

/// What was seen of boots.
#[derive(Debug, Default)]
pub struct BootHistory {
    times: BTreeMap<String, BootTime>,
    outcomes: BTreeMap<Offer, Outcomes>,
}

impl BootHistory {
    /// A machine has come up so long after it was rented.
    pub fn came_up(&mut self, offer: Offer, took: Micros, now: Micros) {
        let seconds = took.secs();
        let first = BootTime { mean: seconds, deviation: seconds / 2.0 };
        let time = self.times.entry(offer.0.clone()).or_insert(first);
        let error = seconds - time.mean;
        time.mean += MEAN_GAIN * error;
        time.deviation += DEVIATION_GAIN * (error.abs() - time.deviation);
        self.note(offer, now).up += 1.0;
    }

    /// A machine was given up before it came up.
    pub fn given_up(&mut self, offer: Offer, now: Micros) {
        self.note(offer, now).failed += 1.0;
    }

    fn note(&mut self, offer: Offer, now: Micros) -> &mut Outcomes {
        let outcomes = self.outcomes.entry(offer).or_default();
        *outcomes = outcomes.decayed(now);
        outcomes
    }

    /// How long a boot may take before it is not counted on any more. `usual_s` is what the cloud names. Short boots
    /// shorten nothing: those that follow may take the usual time again.
    pub fn ordinary_span(&self, machine_type: &str, usual_s: f64) -> Micros {
        let seen = self.times.get(machine_type).map_or(0.0, |time| time.mean + DEVIATIONS * time.deviation);
        Micros::from_secs_f64(seen.max(usual_s * ORDINARY_SPREAD))
    }

    /// What part of the machines of each kind comes up in time. `overdue`: those that still boot and should be up.
    pub fn reliability<'a>(&self, overdue: impl Iterator<Item = &'a Boot>, now: Micros) -> Reliability {
        let mut seen: BTreeMap<Offer, Outcomes> =
            self.outcomes.iter().map(|(offer, outcomes)| (offer.clone(), outcomes.decayed(now))).collect();
        for boot in overdue {
            seen.entry(boot.offer()).or_default().failed += 1.0;
        }
        let mut pooled = [Outcomes::default(); 2];
        for ((_, _, spot), outcomes) in &seen {
            let pool = &mut pooled[usize::from(*spot)];
            (pool.up, pool.failed) = (pool.up + outcomes.up, pool.failed + outcomes.failed);
        }
        Reliability { pooled: pooled.map(|pool| pool.rate(1.0)), seen }
    }
}

/// What part of the machines of each kind comes up.
pub struct Reliability {
    seen: BTreeMap<Offer, Outcomes>,
    /// Of ordinary machines and of spot ones as a whole: what is expected of a kind before any of it was seen.
    pooled: [f64; 2],
}

impl Reliability {
    /// Of one kind.
    pub fn of(&self, offer: &Offer) -> f64 {
        let expected = self.pooled[usize::from(offer.2)];
        self.seen.get(offer).map_or(expected, |outcomes| outcomes.rate(expected))
    }
}

/// Machines that boot and should be up by now.
pub fn overdue<'a>(
    boots: &'a BTreeMap<MachineId, Boot>,
    span: impl Fn(&Boot) -> Micros + 'a,
    now: Micros,
) -> impl Iterator<Item = &'a Boot> {
    boots.values().filter(move |boot| now.since(boot.since) > span(boot))
}
