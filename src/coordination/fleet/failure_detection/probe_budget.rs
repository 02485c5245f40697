//! How many routine probes may be sent now.

use crate::types::Micros;

/// A token bucket for probes of machines that nothing speaks against. It holds what one second grants.
#[derive(Default)]
pub(in crate::coordination::fleet) struct ProbeBudget {
    available: f64,
    refilled_at: Micros,
}

impl ProbeBudget {
    /// Adds what the time since the last refill grants.
    pub(super) fn refill(&mut self, now: Micros, probes_per_s: f64) {
        self.available =
            (self.available + now.since(self.refilled_at).secs() * probes_per_s).min(probes_per_s.max(1.0));
        self.refilled_at = now;
    }

    /// Whether no probe may be sent.
    pub(super) fn is_exhausted(&self) -> bool {
        self.available < 1.0
    }

    /// One probe is sent.
    pub(super) fn spend(&mut self) {
        self.available -= 1.0;
    }
}
