//! Disruption budget: limits on the voluntary moves of service replicas, for each job and in total.

use crate::settings::ZoneSettings;
use burlhatch_types::{JobId, Micros};
use std::collections::BTreeMap;

const MINUTE_S: f64 = 60.0;

/// A token bucket for all moves by one controller, and the time of each job's last move.
#[derive(Clone, Debug, Default)]
pub struct DisruptionBudget {
    tokens: f64,
    refilled_at: Micros,
    last_moved_at: BTreeMap<JobId, Micros>,
}

impl DisruptionBudget {
    /// Whether a replica of the job may be stopped now.
    pub fn allows(&mut self, job: &JobId, now: Micros, settings: &ZoneSettings) -> bool {
        self.refill(now, settings);
        let pause = Micros::from_millis(settings.move_pause_ms);
        self.tokens >= 1.0 && self.last_moved_at.get(job).is_none_or(|at| now.since(*at) >= pause)
    }

    /// Records that a replica of the job is stopped.
    pub fn spend(&mut self, job: &JobId, now: Micros, settings: &ZoneSettings) {
        self.refill(now, settings);
        self.tokens -= 1.0;
        self.last_moved_at.insert(job.clone(), now);
    }

    fn refill(&mut self, now: Micros, settings: &ZoneSettings) {
        let earned = now.since(self.refilled_at).secs() * settings.moves_per_minute / MINUTE_S;
        // The bucket holds one token, so unused tokens never add up to a burst of moves.
        self.tokens = (self.tokens + earned).min(1.0);
        self.refilled_at = now;
        let pause = Micros::from_millis(settings.move_pause_ms);
        self.last_moved_at.retain(|_, at| now.since(*at) < pause);
    }
}
