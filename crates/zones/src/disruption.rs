//! Disruption budget: how many replicas may be stopped without need, for each job and in total.

use crate::settings::ZoneSettings;
use burlhatch_types::{JobId, Micros};
use std::collections::BTreeMap;

const MINUTE_S: f64 = 60.0;

/// What is left of the budget, and when each job last had to give.
#[derive(Clone, Debug, Default)]
pub struct DisruptionBudget {
    level: f64,
    at: Micros,
    moved: BTreeMap<JobId, Micros>,
}

impl DisruptionBudget {
    /// Whether a replica of the job may be stopped now.
    pub fn allows(&mut self, job: &JobId, now: Micros, settings: &ZoneSettings) -> bool {
        self.refill(now, settings);
        let pause = Micros::from_millis(settings.move_pause_ms);
        self.level >= 1.0 && self.moved.get(job).is_none_or(|at| now.since(*at) >= pause)
    }

    /// A replica of the job is stopped.
    pub fn spend(&mut self, job: &JobId, now: Micros, settings: &ZoneSettings) {
        self.refill(now, settings);
        self.level -= 1.0;
        self.moved.insert(job.clone(), now);
    }

    fn refill(&mut self, now: Micros, settings: &ZoneSettings) {
        let earned = now.since(self.at).secs() * settings.moves_per_minute / MINUTE_S;
        // Bursts of one move: what was not used is not saved up.
        self.level = (self.level + earned).min(1.0);
        self.at = now;
        let pause = Micros::from_millis(settings.move_pause_ms);
        self.moved.retain(|_, at| now.since(*at) < pause);
    }
}
