//! Gradual return: limits on the task attempts that a zone gets in each step after it has recovered.
//!
//! The allowance follows slow start and additive increase with multiplicative decrease, as in TCP's congestion control,
//! counted in attempts per step instead of packets in flight. After a step that used at least half of its allowance,
//! with at least half of its attempts running, the allowance doubles up to a threshold and grows by a constant above
//! it. After a step with less demand it grows by the constant. Losses halve it at once.

use crate::settings::ZoneSettings;
use burlhatch_types::Micros;

/// Fraction of a step's allowance that must have been used, and fraction of the step's attempts that must be running at
/// its end, for the allowance to double.
const DOUBLING_MIN_PART: f64 = 0.5;

/// Attempts lost in one step, as a fraction of its allowance, above which the allowance halves.
const MAX_LOST_PART: f64 = 0.25;

/// The gradual return of one zone, for the task attempts that one controller starts there.
#[derive(Clone, Debug, PartialEq)]
pub struct Ramp {
    allowance: f64,
    threshold: f64,
    step_started_at: Micros,
    started_count: u32,
    succeeded_count: u32,
    lost_count: u32,
    has_backed_off: bool,
}

impl Ramp {
    /// Creates the state at the beginning of the return.
    pub fn new(now: Micros, settings: &ZoneSettings) -> Ramp {
        Ramp {
            allowance: f64::from(settings.ramp_initial),
            threshold: f64::from(settings.ramp_full),
            step_started_at: now,
            started_count: 0,
            succeeded_count: 0,
            lost_count: 0,
            has_backed_off: false,
        }
    }

    /// Returns the number of starts currently allowed in one step.
    pub fn allowance(&self) -> u32 {
        self.allowance as u32
    }

    /// Whether one more start may be made in this step.
    pub fn admits(&self, settings: &ZoneSettings) -> bool {
        self.is_complete(settings) || self.started_count < self.allowance()
    }

    /// Records that a task attempt was decided.
    pub fn started(&mut self) {
        self.started_count += 1;
    }

    /// Records that a decided task attempt was withdrawn.
    pub fn withdrawn(&mut self) {
        self.started_count = self.started_count.saturating_sub(1);
    }

    /// Records that a task attempt is running.
    pub fn succeeded(&mut self) {
        self.succeeded_count += 1;
    }

    /// Records the loss of a task attempt that ran since the zone's return. Halves the allowance, at most once per
    /// step, if the losses of the step exceed `MAX_LOST_PART`: they are assumed to have one cause, whereas failures of
    /// single machines are normal in a large zone.
    pub fn lost(&mut self, settings: &ZoneSettings) {
        self.lost_count += 1;
        if self.has_backed_off || f64::from(self.lost_count) <= self.allowance * MAX_LOST_PART {
            return;
        }
        self.has_backed_off = true;
        let min_allowance = f64::from(settings.ramp_initial);
        self.threshold = (self.allowance / 2.0).max(min_allowance);
        self.allowance = self.threshold;
    }

    /// Starts the next step if the current one has ended. `may_double` is false while the zone is distrusted.
    pub fn advance(&mut self, now: Micros, may_double: bool, settings: &ZoneSettings) {
        if now.since(self.step_started_at) < settings.ramp_step() {
            return;
        }
        if !self.has_backed_off {
            self.allowance = self.next_allowance(may_double, settings).min(f64::from(settings.ramp_full));
        }
        self.step_started_at = now;
        self.started_count = 0;
        self.succeeded_count = 0;
        self.lost_count = 0;
        self.has_backed_off = false;
    }

    /// Returns the allowance of the next step: at most double, so that the number of concurrent starts is bounded by
    /// the number that has succeeded before.
    fn next_allowance(&self, may_double: bool, settings: &ZoneSettings) -> f64 {
        let is_used = f64::from(self.started_count) >= self.allowance * DOUBLING_MIN_PART;
        let is_successful = f64::from(self.succeeded_count) >= f64::from(self.started_count) * DOUBLING_MIN_PART;
        if is_used && !is_successful {
            // Attempts that are not running yet have neither succeeded nor failed, so the allowance stays.
            return self.allowance;
        }
        let double = self.allowance * 2.0;
        let is_slow_start = is_used && may_double && self.allowance < self.threshold;
        let next = if is_slow_start { self.threshold } else { self.allowance + f64::from(settings.ramp_increase) };
        next.min(double)
    }

    /// Whether the return is complete and starts in the zone are no longer limited.
    pub fn is_complete(&self, settings: &ZoneSettings) -> bool {
        self.allowance >= f64::from(settings.ramp_full)
    }
}
