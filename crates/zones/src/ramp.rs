//! Gradual return: how many task attempts a zone gets in each step after it came back.
//!
//! Slow start and additive increase with multiplicative decrease, as in TCP's congestion control, counted in attempts a
//! step instead of packets in flight. A step that used most of its allowance, with most of its attempts running, doubles
//! the allowance up to a threshold and adds to it beyond; a step with little demand adds to it; losses halve it at
//! once.

use crate::settings::ZoneSettings;
use burlhatch_types::Micros;

/// Part of a step's allowance that must have been used, and part of the attempts that must run by then, for the
/// allowance to double.
const PROVEN_PART: f64 = 0.5;

/// Starts lost in one step, as a part of its allowance, above which the allowance halves.
const LOST_PART: f64 = 0.25;

/// The return of one zone, as far as one controller makes starts there.
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
    /// At the beginning of the return.
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

    /// Starts that one step may make at present.
    pub fn allowance(&self) -> u32 {
        self.allowance as u32
    }

    /// Whether one more start may be made in this step.
    pub fn admits(&self, settings: &ZoneSettings) -> bool {
        self.is_complete(settings) || self.started_count < self.allowance()
    }

    /// A task attempt was decided.
    pub fn started(&mut self) {
        self.started_count += 1;
    }

    /// A task attempt that was decided is not made after all.
    pub fn withdrawn(&mut self) {
        self.started_count = self.started_count.saturating_sub(1);
    }

    /// A task attempt has come to run.
    pub fn succeeded(&mut self) {
        self.succeeded_count += 1;
    }

    /// A task attempt made since the return was lost. With too many of them in a step the allowance halves, once: they have
    /// one cause. Single machines that fail are ordinary in a large zone.
    pub fn lost(&mut self, settings: &ZoneSettings) {
        self.lost_count += 1;
        if self.has_backed_off || f64::from(self.lost_count) <= self.allowance * LOST_PART {
            return;
        }
        self.has_backed_off = true;
        let min_allowance = f64::from(settings.ramp_initial);
        self.threshold = (self.allowance / 2.0).max(min_allowance);
        self.allowance = self.threshold;
    }

    /// Goes on to the next step if this one is over. `may_double`: not while the zone is distrusted.
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

    /// Never more than double, so that what comes back at once is bounded by what has proved to work.
    fn next_allowance(&self, may_double: bool, settings: &ZoneSettings) -> f64 {
        let is_used = f64::from(self.started_count) >= self.allowance * PROVEN_PART;
        let is_proven = f64::from(self.succeeded_count) >= f64::from(self.started_count) * PROVEN_PART;
        if is_used && !is_proven {
            // Attempts that do not run yet prove nothing: neither growth nor a step back.
            return self.allowance;
        }
        let double = self.allowance * 2.0;
        let is_slow_start = is_used && may_double && self.allowance < self.threshold;
        let next = if is_slow_start { self.threshold } else { self.allowance + f64::from(settings.ramp_increase) };
        next.min(double)
    }

    /// Whether the zone takes all work again.
    pub fn is_complete(&self, settings: &ZoneSettings) -> bool {
        self.allowance >= f64::from(settings.ramp_full)
    }
}
