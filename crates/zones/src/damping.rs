//! Flap damping: a penalty that grows with each loss of a zone and decays exponentially, as in BGP route flap damping
//! (RFC 2439).

use crate::settings::ZoneSettings;
use burlhatch_types::Micros;

/// An amount that decays with the half-life of penalties.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct DecayingAmount {
    amount: f64,
    as_of: Micros,
}

impl DecayingAmount {
    fn value(&self, now: Micros, settings: &ZoneSettings) -> f64 {
        self.amount * decay(now.since(self.as_of), settings)
    }

    fn set(&mut self, amount: f64, now: Micros, settings: &ZoneSettings) {
        self.amount = if amount.is_finite() { amount.clamp(0.0, settings.penalty_most) } else { 0.0 };
        self.as_of = now;
    }
}

/// Returns the fraction of a penalty that remains after `span`.
pub fn decay(span: Micros, settings: &ZoneSettings) -> f64 {
    0.5f64.powf(span.secs() / Micros::from_millis(settings.penalty_half_life_ms).secs())
}

/// The penalty of one zone, and whether it makes the zone distrusted.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Penalty {
    /// Penalty for the losses counted by this controller or by its previous process.
    own: DecayingAmount,
    /// Highest penalty reported by other controllers. It is never added to `own`, as all controllers count the same
    /// losses.
    remote: DecayingAmount,
    is_distrusted: bool,
}

impl Penalty {
    /// Returns the penalty as decayed until now.
    pub fn value(&self, now: Micros, settings: &ZoneSettings) -> f64 {
        self.own.value(now, settings).max(self.remote.value(now, settings))
    }

    /// Adds the penalty for one more loss of the zone.
    pub fn add_loss(&mut self, now: Micros, settings: &ZoneSettings) {
        let amount = self.own.value(now, settings) + settings.penalty_per_loss;
        self.own.set(amount, now, settings);
        self.update_distrust(now, settings);
    }

    /// Adopts a stored penalty as this controller's own if it is the higher one.
    pub fn inherit(&mut self, amount: f64, now: Micros, settings: &ZoneSettings) {
        if amount > self.own.value(now, settings) {
            self.own.set(amount, now, settings);
        }
        self.update_distrust(now, settings);
    }

    /// Merges the penalty that another controller reports.
    pub fn merge_remote(&mut self, amount: f64, now: Micros, settings: &ZoneSettings) {
        if amount > self.remote.value(now, settings) {
            self.remote.set(amount, now, settings);
        }
        self.update_distrust(now, settings);
    }

    /// Applies hysteresis: the zone becomes trusted again at a lower penalty than the one that makes it distrusted, so
    /// that its trust does not flap.
    fn update_distrust(&mut self, now: Micros, settings: &ZoneSettings) {
        let value = self.value(now, settings);
        self.is_distrusted =
            if self.is_distrusted { value >= settings.trust_below } else { value > settings.distrust_above };
    }

    /// Whether the zone has failed too often recently.
    pub fn is_distrusted(&mut self, now: Micros, settings: &ZoneSettings) -> bool {
        self.update_distrust(now, settings);
        self.is_distrusted
    }
}
