//! When many machines seemed to fail together, which single failures can't explain.

use crate::types::Micros;
use std::collections::BTreeMap;

/// Moments at which more machines seemed to fail than could well fail independently. For a while after, none is judged:
/// when such a time ends, machines are seen again one by one.
#[derive(Default)]
pub(in crate::coordination::fleet) struct CorrelatedFailures {
    unreachable_at: Option<Micros>,
    missing_heartbeats_at: Option<Micros>,
    zones_cut_off_at: BTreeMap<String, Micros>,
}

impl CorrelatedFailures {
    /// Many machines fail to answer.
    pub(super) fn many_unreachable(&mut self, now: Micros) {
        self.unreachable_at = Some(now);
    }

    /// Whether many machines failed to answer within that span.
    pub(super) fn were_many_unreachable(&self, now: Micros, span: Micros) -> bool {
        self.unreachable_at.is_some_and(|at| now.since(at) < span)
    }

    /// The heartbeats of many machines are missing.
    pub(super) fn many_missing_heartbeats(&mut self, now: Micros) {
        self.missing_heartbeats_at = Some(now);
    }

    /// Whether the heartbeats of many machines were missing within that span.
    pub(super) fn were_many_missing_heartbeats(&self, now: Micros, span: Micros) -> bool {
        self.missing_heartbeats_at.is_some_and(|at| now.since(at) < span)
    }

    /// Most machines of a zone are silent together.
    pub(super) fn zone_cut_off(&mut self, zone: String, now: Micros) {
        self.zones_cut_off_at.insert(zone, now);
    }

    /// Whether most machines of a zone were silent together within that span.
    pub(super) fn was_zone_cut_off(&self, zone: &str, now: Micros, span: Micros) -> bool {
        self.zones_cut_off_at.get(zone).is_some_and(|at| now.since(*at) < span)
    }

    /// This process was stalled: the time after such a failure starts anew.
    pub(in crate::coordination::fleet) fn discount_stall(&mut self, now: Micros) {
        self.unreachable_at = self.unreachable_at.map(|_| now);
        self.missing_heartbeats_at = self.missing_heartbeats_at.map(|_| now);
    }
}
