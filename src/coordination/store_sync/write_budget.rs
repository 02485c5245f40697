//! The share of the store's write limit that this controller uses.
//!
//! The limit applies to all controllers together, and no controller knows the needs of its siblings. Each starts with
//! more than an equal share, raises its rate while the store accepts its writes, and lowers it after a refusal.

use crate::types::Micros;
use std::collections::BTreeMap;

/// Growth of the rate per second, as a fraction of the limit.
const GROWTH_PER_SECOND: f64 = 0.01;
/// Factor applied to the rate after a refusal.
const REFUSAL_RATE_FACTOR: f64 = 0.85;
/// Minimum rate, as a fraction of an equal share of the limit.
const MIN_EQUAL_SHARE_FRACTION: f64 = 0.9;
/// Initial rate, in equal shares of the limit.
const INITIAL_EQUAL_SHARES: f64 = 1.2;
/// Upper bound of the rate and the burst, as a fraction of the limit. The remainder is reserved for failovers.
const MAX_LIMIT_FRACTION: f64 = 0.9;
/// Time within which several refusals count as one.
const REFUSAL_WINDOW: Micros = Micros::from_millis(250);
/// Time after a refusal during which writes count as scarce for all controllers.
const SCARCITY_AFTER_REFUSAL: Micros = Micros::from_millis(10_000);
/// Fraction of the burst from which on the level indicates that there is little to write.
const IDLE_BURST_FRACTION: f64 = 0.6;
/// Maximum interval between two batches of submissions, as users wait for them.
const MAX_BATCH_INTERVAL: Micros = Micros::from_millis(250);
/// Interval between log lines about the writes by purpose.
const USAGE_LOG_INTERVAL: Micros = Micros::from_millis(10_000);

/// A token bucket of writes, whose rate follows the store's refusals.
#[derive(Debug)]
pub struct WriteBudget {
    limit: f64,
    min_rate: f64,
    rate: f64,
    burst: f64,
    /// Writes that may be sent now; below zero after a transaction that took more.
    level: f64,
    refilled_at: Micros,
    refused_at: Option<Micros>,
    usage: Usage,
}

/// Numbers of writes by purpose since the last log line about them.
#[derive(Debug, Default)]
struct Usage {
    writes: BTreeMap<&'static str, usize>,
    /// Writes among these that conflicted. The store counts them against its limit all the same.
    conflicts: BTreeMap<&'static str, usize>,
    logged_at: Micros,
}

impl WriteBudget {
    /// Creates a full budget. `burst_factor` is the sum of the bursts of all controllers as a multiple of the limit;
    /// `min_limit` is the value to which the limit may be lowered without notice.
    pub fn new(limit: f64, min_limit: f64, controllers: u32, burst_factor: f64) -> WriteBudget {
        let equal_share = limit / f64::from(controllers.max(1));
        let burst = (equal_share * burst_factor).min(limit * MAX_LIMIT_FRACTION);
        let rate = (equal_share * INITIAL_EQUAL_SHARES).min(limit * MAX_LIMIT_FRACTION);
        WriteBudget {
            limit,
            min_rate: min_limit.min(limit) / f64::from(controllers.max(1)) * MIN_EQUAL_SHARE_FRACTION,
            rate,
            burst,
            level: burst,
            refilled_at: Micros::ZERO,
            refused_at: None,
            usage: Usage::default(),
        }
    }

    fn refill(&mut self, now: Micros) {
        let elapsed_s = now.since(self.refilled_at).secs();
        self.refilled_at = self.refilled_at.max(now);
        // The rate grows only while it is what delays writes.
        if self.level < 1.0 {
            self.rate = (self.rate + elapsed_s * self.limit * GROWTH_PER_SECOND).min(self.limit * MAX_LIMIT_FRACTION);
        }
        self.level = (self.level + elapsed_s * self.rate).min(self.burst);
    }

    /// Counts writes by their purpose.
    pub fn count_writes(&mut self, purpose: &'static str, write_count: usize) {
        *self.usage.writes.entry(purpose).or_default() += write_count;
    }

    /// Counts writes that were refused as conflicts.
    pub fn count_conflict(&mut self, purpose: &'static str, write_count: usize) {
        *self.usage.conflicts.entry(purpose).or_default() += write_count;
    }

    /// Logs the writes by purpose, at regular intervals.
    pub fn log_usage(&mut self, now: Micros) {
        if now.since(self.usage.logged_at) < USAGE_LOG_INTERVAL {
            return;
        }
        let Usage { writes, conflicts, .. } =
            std::mem::replace(&mut self.usage, Usage { logged_at: now, ..Usage::default() });
        if !writes.is_empty() {
            tracing::debug!(?writes, ?conflicts, rate_per_s = self.rate, "writes sent");
        }
    }

    /// Returns the interval between two batches of submissions. Submissions don't wait for the budget, so the interval
    /// leaves part of it to other writes.
    pub fn batch_interval(&self) -> Micros {
        Micros::from_secs_f64(1.0 / self.rate.max(0.1)).min(MAX_BATCH_INTERVAL)
    }

    /// Returns whether a transaction may be sent now.
    pub fn allows(&mut self, now: Micros) -> bool {
        self.refill(now);
        self.level >= 1.0
    }

    /// Returns whether there is little else to write, on this controller and on its siblings. The siblings share the
    /// limit, and this controller learns of their needs only through refusals.
    pub fn is_idle(&mut self, now: Micros) -> bool {
        self.refill(now);
        let is_scarce = self.refused_at.is_some_and(|at| now.since(at) < SCARCITY_AFTER_REFUSAL);
        !is_scarce && self.level >= self.burst * IDLE_BURST_FRACTION
    }

    /// Deducts writes that are being sent from the level.
    pub fn spend(&mut self, now: Micros, write_count: usize) {
        self.refill(now);
        self.level -= write_count as f64;
    }

    /// Records that the store has refused a transaction because of its limit, and lowers the rate.
    pub fn record_refusal(&mut self, now: Micros) {
        self.count_writes("refused", 1);
        if self.refused_at.is_none_or(|at| now.since(at) >= REFUSAL_WINDOW) {
            self.rate = (self.rate * REFUSAL_RATE_FACTOR).max(self.min_rate);
            self.refused_at = Some(now);
        }
        self.level = self.level.min(0.0);
    }
}
