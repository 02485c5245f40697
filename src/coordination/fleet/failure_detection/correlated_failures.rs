//! Times at which many machines seemed to fail together, which independent failures can't explain.

use crate::types::Micros;
use std::collections::BTreeMap;

/// Times at which more machines seemed to fail than is likely for independent failures. For a while afterwards no
/// machine is evaluated, as machines are seen again one by one when such a failure ends.
#[derive(Default)]
pub(in crate::coordination::fleet) struct CorrelatedFailures {
    unreachable_at: Option<Micros>,
    missing_heartbeats_at: Option<Micros>,
    zones_cut_off_at: BTreeMap<String, Micros>,
}

impl CorrelatedFailures {
    /// Records that many machines fail to answer.
    pub(super) fn record_many_unreachable(&mut self, now: Micros) {
        self.unreachable_at = Some(now);
    }

    /// Returns whether many machines failed to answer within the last `span`.
    pub(super) fn were_many_unreachable(&self, now: Micros, span: Micros) -> bool {
        self.unreachable_at.is_some_and(|at| now.since(at) < span)
    }

    /// Records that the heartbeats of many machines are missing.
    pub(super) fn record_many_missing_heartbeats(&mut self, now: Micros) {
        self.missing_heartbeats_at = Some(now);
    }

    /// Returns whether the heartbeats of many machines were missing within the last `span`.
    pub(super) fn were_many_missing_heartbeats(&self, now: Micros, span: Micros) -> bool {
        self.missing_heartbeats_at.is_some_and(|at| now.since(at) < span)
    }

    /// Records that most machines of a zone are silent together.
    pub(super) fn record_zone_cut_off(&mut self, zone: String, now: Micros) {
        self.zones_cut_off_at.insert(zone, now);
    }

    /// Returns whether most machines of a zone were silent together within the last `span`.
    pub(super) fn was_zone_cut_off(&self, zone: &str, now: Micros, span: Micros) -> bool {
        self.zones_cut_off_at.get(zone).is_some_and(|at| now.since(*at) < span)
    }

    /// Accounts for a stall of this process: the time since such a failure starts anew.
    pub(in crate::coordination::fleet) fn discount_stall(&mut self, now: Micros) {
        self.unreachable_at = self.unreachable_at.map(|_| now);
        self.missing_heartbeats_at = self.missing_heartbeats_at.map(|_| now);
    }
}
