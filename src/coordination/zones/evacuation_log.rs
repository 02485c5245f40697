//! Logging of the machines in lost zones that run services and are not evacuated yet, with the reason for each.
//!
//! A line is written when a machine's reason changes, not in each evaluation. A periodic summary counts the machines by
//! reason, and the lines that the rate limit left out.

use crate::coordination::log_limit::LogLimit;
use crate::types::{MachineId, Micros};
use std::collections::BTreeMap;

/// Interval between summaries while machines are held back.
const SUMMARY_INTERVAL: Micros = Micros::from_millis(10_000);

/// Reason that holds back the deletion of a machine in a lost zone that runs services.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvacuationBlock {
    /// Its zone has not been lost for long enough.
    ZoneJustLost,
    /// It was seen recently.
    SeenLately,
    /// It was not seen recently, but no probe of it has failed since.
    NotProbed,
    /// A change of its stored record has no outcome yet.
    RecordChanging,
    /// As many deletions as the store's write rate permits are in progress.
    TooManyInFlight,
    /// The machines that accept work have no capacity for one of its services.
    NoCapacity,
}

/// The machines held back at one evaluation.
pub(super) type BlockedMachines = BTreeMap<MachineId, EvacuationBlock>;

/// The machines that were held back at the last evaluation, for the log.
#[derive(Debug, Default)]
pub(super) struct EvacuationLog {
    blocked: BlockedMachines,
    limit: LogLimit,
    summarized_at: Micros,
}

impl EvacuationLog {
    /// Records the machines held back at this evaluation, and logs the changes.
    pub(super) fn update(&mut self, blocked: BlockedMachines, now: Micros) {
        for (machine, reason) in &blocked {
            if self.blocked.get(machine) != Some(reason) && self.limit.admits_line(now) {
                tracing::info!(%machine, ?reason, "evacuation held back");
            }
        }
        self.blocked = blocked;
        self.log_summary(now);
    }

    fn log_summary(&mut self, now: Micros) {
        if self.blocked.is_empty() || now.since(self.summarized_at) < SUMMARY_INTERVAL {
            return;
        }
        self.summarized_at = now;
        let left_out_count = self.limit.take_left_out_count();
        let mut counts: BTreeMap<EvacuationBlock, usize> = BTreeMap::new();
        for reason in self.blocked.values() {
            *counts.entry(*reason).or_default() += 1;
        }
        tracing::info!(?counts, left_out_count, "machines of lost zones held back from evacuation");
    }
}
