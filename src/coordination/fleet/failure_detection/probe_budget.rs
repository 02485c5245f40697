//! Rate limit for routine probes.

use crate::types::Micros;

/// A token bucket for probes of machines that show no sign of a fault. It holds the probes of one second.
#[derive(Default)]
pub(in crate::coordination::fleet) struct ProbeBudget {
    available: f64,
    refilled_at: Micros,
}

impl ProbeBudget {
    /// Adds the probes that are granted for the time since the last refill.
    pub(super) fn refill(&mut self, now: Micros, probes_per_s: f64) {
        self.available =
            (self.available + now.since(self.refilled_at).secs() * probes_per_s).min(probes_per_s.max(1.0));
        self.refilled_at = now;
    }

    /// Returns whether no probe may be sent.
    pub(super) fn is_exhausted(&self) -> bool {
        self.available < 1.0
    }

    /// Takes one probe from the budget.
    pub(super) fn spend(&mut self) {
        self.available -= 1.0;
    }
}
