//! The part of the store's change limit that this controller lets itself use.
//!
//! The limit holds for all controllers together, and none knows what the others need. So each
//! begins with more than an equal part, grows while it is not refused, and slows down when it is.

use crate::types::Micros;
use std::collections::BTreeMap;

/// Growth per second, and what is left after a refusal, as parts of the limit and of the rate.
const GROWTH: f64 = 0.01;
const AFTER_REFUSAL: f64 = 0.85;
/// Part of an equal share of the limit that is always allowed.
const LEAST: f64 = 0.9;
/// The first rate, in equal shares.
const START: f64 = 1.2;
/// Refusals within this time count as one.
const REFUSAL_SPAN: Micros = Micros::from_millis(250);
/// For so long after a refusal changes are taken to be short for all controllers.
const SHORT_AFTER_REFUSAL: Micros = Micros::from_millis(10_000);
/// Part of the burst that is left while there is little to do.
const IDLE_LEVEL: f64 = 0.6;
/// Users wait for their submissions.
const BATCH_GAP_MOST: Micros = Micros::from_millis(250);
/// Never more than this part of the limit, which leaves something for takeovers.
const MOST: f64 = 0.9;

/// The changes that may go, and how many there may be in a second.
#[derive(Debug)]
pub struct Budget {
    limit: f64,
    least: f64,
    rate: f64,
    burst: f64,
    /// Changes that may go now; below zero after a transaction that took more.
    level: f64,
    at: Micros,
    refused_at: Option<Micros>,
    /// Changes sent by what they were for, and refusals, since the last account.
    counts: BTreeMap<&'static str, usize>,
    /// Of these those that conflicted, which the service counts all the same.
    conflicts: BTreeMap<&'static str, usize>,
    counted_from: Micros,
}

/// How often the log tells what changes were for.
const ACCOUNT_EVERY: Micros = Micros::from_millis(10_000);

impl Budget {
    /// `together`: how many times the limit all controllers may ask for in sum at one moment.
    /// `least`: what the limit may be lowered to without notice.
    pub fn new(limit: f64, least: f64, controllers: u32, together: f64) -> Budget {
        let part = limit / f64::from(controllers.max(1));
        let burst = (part * together).min(limit * MOST);
        let rate = (part * START).min(limit * MOST);
        Budget {
            limit,
            least: least.min(limit) / f64::from(controllers.max(1)) * LEAST,
            rate,
            burst,
            level: burst,
            at: Micros::ZERO,
            refused_at: None,
            counts: BTreeMap::new(),
            conflicts: BTreeMap::new(),
            counted_from: Micros::ZERO,
        }
    }

    fn refill(&mut self, now: Micros) {
        let span = now.since(self.at).secs();
        self.at = self.at.max(now);
        // It grows only while it is what holds things up.
        if self.level < 1.0 {
            self.rate = (self.rate + span * self.limit * GROWTH).min(self.limit * MOST);
        }
        self.level = (self.level + span * self.rate).min(self.burst);
    }

    /// Counts changes by what they are for.
    pub fn count(&mut self, what: &'static str, changes: usize) {
        *self.counts.entry(what).or_default() += changes;
    }

    /// Counts changes that were refused as conflicts.
    pub fn count_conflict(&mut self, what: &'static str, changes: usize) {
        *self.conflicts.entry(what).or_default() += changes;
    }

    /// Tells every so often what the changes were for.
    pub fn account(&mut self, now: Micros) {
        if now.since(self.counted_from) >= ACCOUNT_EVERY {
            self.counted_from = now;
            let counts = std::mem::take(&mut self.counts);
            let conflicts = std::mem::take(&mut self.conflicts);
            if !counts.is_empty() {
                tracing::debug!(?counts, ?conflicts, rate = self.rate, "changes sent");
            }
        }
    }

    /// Pause between two batches of submissions. They don't wait for the budget, so the pause leaves
    /// changes to others.
    pub fn batch_gap(&self) -> Micros {
        Micros::from_secs_f64(1.0 / self.rate.max(0.1)).min(BATCH_GAP_MOST)
    }

    /// Whether a transaction may go now.
    pub fn allows(&mut self, now: Micros) -> bool {
        self.refill(now);
        self.level >= 1.0
    }

    /// Whether there is little else to do with it, here and at the other controllers: they share the limit, and
    /// refusals are all that this one hears of their needs.
    pub fn is_idle(&mut self, now: Micros) -> bool {
        self.refill(now);
        let short = self.refused_at.is_some_and(|at| now.since(at) < SHORT_AFTER_REFUSAL);
        !short && self.level >= self.burst * IDLE_LEVEL
    }

    /// Takes changes that are sent off what may go.
    pub fn spend(&mut self, now: Micros, changes: usize) {
        self.refill(now);
        self.level -= changes as f64;
    }

    /// The service has refused a transaction for its limit.
    pub fn refused(&mut self, now: Micros) {
        self.count("refused", 1);
        if self.refused_at.is_none_or(|at| now.since(at) >= REFUSAL_SPAN) {
            self.rate = (self.rate * AFTER_REFUSAL).max(self.least);
            self.refused_at = Some(now);
        }
        self.level = self.level.min(0.0);
    }
}
