//! Gradual return: how many starts a zone gets in each step after it came back.
//!
//! Slow start and additive increase with multiplicative decrease, as in TCP's congestion control, counted in starts a
//! step instead of packets in flight. A step that used most of its allowance, with most of its starts at work, doubles
//! the allowance up to a threshold and adds to it beyond; a step with little demand adds to it; losses halve it at
//! once.

use crate::settings::ZoneSettings;
use burlhatch_types::Micros;

/// Part of a step's allowance that must have been used, and part of the starts that must be at work by then, for the
/// allowance to double.
const PROVEN_PART: f64 = 0.5;

/// Starts lost in one step, as a part of its allowance, above which the allowance halves.
const LOST_PART: f64 = 0.25;

/// The return of one zone, as far as one controller makes starts there.
#[derive(Clone, Debug, PartialEq)]
pub struct Ramp {
    allowance: f64,
    threshold: f64,
    step_began: Micros,
    started: u32,
    succeeded: u32,
    lost: u32,
    backed_off: bool,
}

impl Ramp {
    /// At the beginning of the return.
    pub fn new(now: Micros, settings: &ZoneSettings) -> Ramp {
        Ramp {
            allowance: f64::from(settings.ramp_initial),
            threshold: f64::from(settings.ramp_full),
            step_began: now,
            started: 0,
            succeeded: 0,
            lost: 0,
            backed_off: false,
        }
    }

    /// Starts that one step may make at present.
    pub fn allowance(&self) -> u32 {
        self.allowance as u32
    }

    /// Whether one more start may be made in this step.
    pub fn admits(&self, settings: &ZoneSettings) -> bool {
        self.is_complete(settings) || self.started < self.allowance()
    }

    /// A start was decided.
    pub fn started(&mut self) {
        self.started += 1;
    }

    /// A start that was decided is not made after all.
    pub fn withdrawn(&mut self) {
        self.started = self.started.saturating_sub(1);
    }

    /// A start has come to work.
    pub fn succeeded(&mut self) {
        self.succeeded += 1;
    }

    /// A start made since the return was lost. With too many of them in a step the allowance halves, once: they have
    /// one cause. Single machines that fail are ordinary in a large zone.
    pub fn lost(&mut self, settings: &ZoneSettings) {
        self.lost += 1;
        if self.backed_off || f64::from(self.lost) <= self.allowance * LOST_PART {
            return;
        }
        self.backed_off = true;
        let least = f64::from(settings.ramp_initial);
        self.threshold = (self.allowance / 2.0).max(least);
        self.allowance = self.threshold;
    }

    /// Goes on to the next step if this one is over. `may_double`: not while the zone is distrusted.
    pub fn advance(&mut self, now: Micros, may_double: bool, settings: &ZoneSettings) {
        if now.since(self.step_began) < settings.ramp_step() {
            return;
        }
        if !self.backed_off {
            self.allowance = self.next_allowance(may_double, settings).min(f64::from(settings.ramp_full));
        }
        self.step_began = now;
        self.started = 0;
        self.succeeded = 0;
        self.lost = 0;
        self.backed_off = false;
    }

    /// Never more than double, so that what comes back at once is bounded by what has proved to work.
    fn next_allowance(&self, may_double: bool, settings: &ZoneSettings) -> f64 {
        let used = f64::from(self.started) >= self.allowance * PROVEN_PART;
        let proven = f64::from(self.succeeded) >= f64::from(self.started) * PROVEN_PART;
        if used && !proven {
            // Starts that are not at work yet prove nothing: neither growth nor a step back.
            return self.allowance;
        }
        let double = self.allowance * 2.0;
        let slow_start = used && may_double && self.allowance < self.threshold;
        let next = if slow_start { self.threshold } else { self.allowance + f64::from(settings.ramp_increase) };
        next.min(double)
    }

    /// Whether the zone takes all work again.
    pub fn is_complete(&self, settings: &ZoneSettings) -> bool {
        self.allowance >= f64::from(settings.ramp_full)
    }
}
