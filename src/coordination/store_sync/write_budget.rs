//! The part of the store's write limit that this controller lets itself use.
//!
//! The limit holds for all controllers together, and none knows what the others need. So each begins with more than an
//! equal part, grows while it is not refused, and slows down when it is.

use crate::types::Micros;
use std::collections::BTreeMap;

/// Growth per second, as a part of the limit.
const GROWTH_PER_SECOND: f64 = 0.01;
/// What is left of the rate after a refusal.
const RATE_AFTER_REFUSAL: f64 = 0.85;
/// Part of an equal share of the limit that is always allowed.
const MIN_PART_OF_EQUAL_SHARE: f64 = 0.9;
/// The first rate, in equal shares.
const INITIAL_EQUAL_SHARES: f64 = 1.2;
/// Never more than this part of the limit, which leaves something for failovers.
const MAX_PART_OF_LIMIT: f64 = 0.9;
/// Refusals within this time count as one.
const REFUSAL_SPAN: Micros = Micros::from_millis(250);
/// For so long after a refusal writes are taken to be scarce for all controllers.
const SCARCE_AFTER_REFUSAL: Micros = Micros::from_millis(10_000);
/// Part of the burst that is left while there is little to write.
const IDLE_LEVEL: f64 = 0.6;
/// Longest pause between two batches of submissions, as users wait for them.
const MAX_BATCH_INTERVAL: Micros = Micros::from_millis(250);
/// How often the log says what writes were for.
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

/// Writes sent by purpose, since the last log line about them.
#[derive(Debug, Default)]
struct Usage {
    writes: BTreeMap<&'static str, usize>,
    /// Of these those that conflicted, which the store counts all the same.
    conflicts: BTreeMap<&'static str, usize>,
    logged_at: Micros,
}

impl WriteBudget {
    /// `burst_factor`: how many times the limit all controllers may ask for in sum at one moment. `min_limit`: what the
    /// limit may be lowered to without notice.
    pub fn new(limit: f64, min_limit: f64, controllers: u32, burst_factor: f64) -> WriteBudget {
        let equal_share = limit / f64::from(controllers.max(1));
        let burst = (equal_share * burst_factor).min(limit * MAX_PART_OF_LIMIT);
        let rate = (equal_share * INITIAL_EQUAL_SHARES).min(limit * MAX_PART_OF_LIMIT);
        WriteBudget {
            limit,
            min_rate: min_limit.min(limit) / f64::from(controllers.max(1)) * MIN_PART_OF_EQUAL_SHARE,
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
        // The rate grows only while it is what holds writes up.
        if self.level < 1.0 {
            self.rate = (self.rate + elapsed_s * self.limit * GROWTH_PER_SECOND).min(self.limit * MAX_PART_OF_LIMIT);
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

    /// Logs every so often what the writes were for.
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

    /// Pause between two batches of submissions. They don't wait for the budget, so the pause leaves writes to others.
    pub fn batch_interval(&self) -> Micros {
        Micros::from_secs_f64(1.0 / self.rate.max(0.1)).min(MAX_BATCH_INTERVAL)
    }

    /// Whether a transaction may be sent now.
    pub fn allows(&mut self, now: Micros) -> bool {
        self.refill(now);
        self.level >= 1.0
    }

    /// Whether there is little else to write, here and at the other controllers: they share the limit, and refusals are
    /// all that this one learns of their needs.
    pub fn is_idle(&mut self, now: Micros) -> bool {
        self.refill(now);
        let is_scarce = self.refused_at.is_some_and(|at| now.since(at) < SCARCE_AFTER_REFUSAL);
        !is_scarce && self.level >= self.burst * IDLE_LEVEL
    }

    /// Takes writes that are sent off what may be sent.
    pub fn spend(&mut self, now: Micros, write_count: usize) {
        self.refill(now);
        self.level -= write_count as f64;
    }

    /// The store has refused a transaction for its limit.
    pub fn record_refusal(&mut self, now: Micros) {
        self.count_writes("refused", 1);
        if self.refused_at.is_none_or(|at| now.since(at) >= REFUSAL_SPAN) {
            self.rate = (self.rate * RATE_AFTER_REFUSAL).max(self.min_rate);
            self.refused_at = Some(now);
        }
        self.level = self.level.min(0.0);
    }
}
