//! Flap damping: a penalty that grows with each loss of a zone and decays, as for routes that come and go (RFC 2439).

use crate::settings::ZoneSettings;
use burlhatch_types::Micros;

/// An amount that halves in a set time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Decaying {
    amount: f64,
    as_of: Micros,
}

impl Decaying {
    fn value(&self, now: Micros, settings: &ZoneSettings) -> f64 {
        self.amount * decay(now.since(self.as_of), settings)
    }

    fn set(&mut self, amount: f64, now: Micros, settings: &ZoneSettings) {
        self.amount = if amount.is_finite() { amount.clamp(0.0, settings.penalty_most) } else { 0.0 };
        self.as_of = now;
    }
}

/// What is left of a penalty after so long.
pub fn decay(span: Micros, settings: &ZoneSettings) -> f64 {
    0.5f64.powf(span.secs() / Micros::from_millis(settings.penalty_half_life_ms).secs())
}

/// The penalty of one zone, and whether the zone is distrusted for it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Penalty {
    /// For losses that this controller counted itself, or took over from its predecessor.
    own: Decaying,
    /// As the other controllers have it. All count the same losses, so the two are never added up.
    remote: Decaying,
    is_distrusted: bool,
}

impl Penalty {
    /// What is left of it now.
    pub fn value(&self, now: Micros, settings: &ZoneSettings) -> f64 {
        self.own.value(now, settings).max(self.remote.value(now, settings))
    }

    /// The zone was lost once more.
    pub fn add_loss(&mut self, now: Micros, settings: &ZoneSettings) {
        let amount = self.own.value(now, settings) + settings.penalty_per_loss;
        self.own.set(amount, now, settings);
        self.update_distrust(now, settings);
    }

    /// Goes on from the penalty that a process before this one counted.
    pub fn inherit(&mut self, amount: f64, now: Micros, settings: &ZoneSettings) {
        if amount > self.own.value(now, settings) {
            self.own.set(amount, now, settings);
        }
        self.update_distrust(now, settings);
    }

    /// Another controller has counted so much.
    pub fn merge_remote(&mut self, amount: f64, now: Micros, settings: &ZoneSettings) {
        if amount > self.remote.value(now, settings) {
            self.remote.set(amount, now, settings);
        }
        self.update_distrust(now, settings);
    }

    /// Trust returns at a lower penalty than it was lost at, so that it does not come and go itself.
    fn update_distrust(&mut self, now: Micros, settings: &ZoneSettings) {
        let value = self.value(now, settings);
        self.is_distrusted =
            if self.is_distrusted { value >= settings.trust_below } else { value > settings.distrust_above };
    }

    /// Whether the zone has failed too often lately.
    pub fn is_distrusted(&mut self, now: Micros, settings: &ZoneSettings) -> bool {
        self.update_distrust(now, settings);
        self.is_distrusted
    }
}
