//! Settings for zone failures, with their defaults and bounds.

use burlhatch_types::Micros;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A value that is out of range or contradicts another.
#[derive(Debug, thiserror::Error, PartialEq)]
#[error("zones.{field}: {message}")]
pub struct SettingsError {
    /// Name of the field within `zones`.
    pub field: &'static str,
    /// What is wrong with it.
    pub message: String,
}

/// Handling of failures of whole zones. Disabled unless `enabled` is set.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct ZoneSettings {
    /// Whether the conditions of zones are evaluated and failures of whole zones are handled.
    pub enabled: bool,
    /// Time without contact after which a machine counts as silent, if it has failed to answer a probe meanwhile.
    pub silent_after_ms: u64,
    /// Fraction of silent machines above which a shard's holder votes against their zone.
    pub silent_part: f64,
    /// Minimum number of machines, of all shards, with which a zone can be considered lost.
    pub least_machines: u32,
    /// Fraction of a zone's machines, in shards that vote against it, above which the zone is considered lost.
    pub agree_part: f64,
    /// Time for which a zone must exceed `agree_part` without interruption before it is considered lost.
    pub confirm_ms: u64,
    /// Fraction of a lost zone's machines, in shards that vote against it, up to which the zone returns.
    pub return_part: f64,
    /// Time for which a lost zone must stay within `return_part` without interruption before it returns.
    pub return_after_ms: u64,
    /// Time after which a lost zone without machines returns, so that it gets machines again, a few at a time.
    pub empty_return_ms: u64,
    /// Whether machines of a lost zone that run services are deleted, so that their tasks are proven absent before
    /// their leases expire.
    pub evacuate: bool,
    /// Time for which a zone must have been lost before its machines are deleted.
    pub evacuate_after_ms: u64,
    /// Duration of the restoration after a loss, in which services precede all other work and image fetches are
    /// limited.
    pub restore_for_ms: u64,
    /// Waiting time after which a batch job that has not started any task gets a turn among the services during
    /// restoration, with one task.
    pub starved_after_ms: u64,
    /// Number of services after which one starved batch job gets its turn during restoration.
    pub services_per_starved: u32,
    /// Images that a machine may have waiting to be fetched during restoration; 0 for no limit.
    pub fetches_per_machine: u32,
    /// Images that all machines of one shard in a zone may have waiting to be fetched during restoration; 0 for no
    /// limit.
    pub fetches_per_zone: u32,
    /// Length of one step of a zone's gradual return.
    pub ramp_step_ms: u64,
    /// Allowance of the first step: task starts that each controller may make in the zone.
    pub ramp_initial: u32,
    /// Starts by which the allowance grows after a step in which it does not double. It doubles after each successful
    /// step; after a failure only up to half of the allowance at that time.
    pub ramp_increase: u32,
    /// Allowance of starts per step at which the return is complete.
    pub ramp_full: u32,
    /// Machines that may boot at the same time in a returning zone.
    pub return_boots: u32,
    /// Penalty added to a zone each time it is lost.
    pub penalty_per_loss: f64,
    /// Time in which a zone's penalty halves.
    pub penalty_half_life_ms: u64,
    /// Penalty above which a zone is not trusted with all replicas of a service, and its allowance never doubles.
    pub distrust_above: f64,
    /// Penalty below which a zone is trusted again.
    pub trust_below: f64,
    /// Maximum of a zone's penalty, which limits the time for which the zone is not trusted.
    pub penalty_most: f64,
    /// Time after which a replica that finds capacity only in zones that are not trusted is placed there.
    pub distrust_wait_ms: u64,
    /// Whether a replica is moved when all replicas of its service run in one zone and another zone has capacity.
    pub rebalance: bool,
    /// Replicas that each controller may move voluntarily per minute.
    pub moves_per_minute: f64,
    /// Minimum time between voluntary moves of two replicas of the same service.
    pub move_pause_ms: u64,
    /// Time after which replicas in a zone on hold may also move to machines that lack their image.
    pub hold_wait_ms: u64,
}

impl Default for ZoneSettings {
    fn default() -> ZoneSettings {
        ZoneSettings {
            enabled: false,
            silent_after_ms: 3000,
            silent_part: 0.5,
            least_machines: 3,
            agree_part: 0.5,
            confirm_ms: 1000,
            return_part: 0.25,
            return_after_ms: 5000,
            empty_return_ms: 60_000,
            evacuate: true,
            evacuate_after_ms: 2000,
            restore_for_ms: 120_000,
            starved_after_ms: 60_000,
            services_per_starved: 8,
            fetches_per_machine: 2,
            fetches_per_zone: 0,
            ramp_step_ms: 5000,
            ramp_initial: 2,
            ramp_increase: 8,
            ramp_full: 64,
            return_boots: 2,
            penalty_per_loss: 1000.0,
            penalty_half_life_ms: 300_000,
            distrust_above: 1500.0,
            trust_below: 750.0,
            penalty_most: 4000.0,
            distrust_wait_ms: 20_000,
            rebalance: false,
            moves_per_minute: 6.0,
            move_pause_ms: 600_000,
            hold_wait_ms: 30_000,
        }
    }
}

/// Upper bound of settings that are times.
const MAX_TIME_MS: u64 = 86_400_000;
/// Upper bound of settings that are counts, penalties or rates.
const MAX_COUNT: u32 = 1_000_000;

fn invalid(field: &'static str, message: impl Into<String>) -> Result<(), SettingsError> {
    Err(SettingsError { field, message: message.into() })
}

impl ZoneSettings {
    /// Checks that all values are within their bounds and consistent with each other.
    pub fn check(&self) -> Result<(), SettingsError> {
        self.check_times()?;
        self.check_parts()?;
        self.check_counts()?;
        self.check_consistency()
    }

    fn check_times(&self) -> Result<(), SettingsError> {
        let times = [
            ("silent_after_ms", self.silent_after_ms, 100),
            ("confirm_ms", self.confirm_ms, 0),
            ("return_after_ms", self.return_after_ms, 0),
            ("empty_return_ms", self.empty_return_ms, 1000),
            ("evacuate_after_ms", self.evacuate_after_ms, 0),
            ("restore_for_ms", self.restore_for_ms, 0),
            ("starved_after_ms", self.starved_after_ms, 1000),
            ("ramp_step_ms", self.ramp_step_ms, 100),
            ("penalty_half_life_ms", self.penalty_half_life_ms, 1000),
            ("distrust_wait_ms", self.distrust_wait_ms, 0),
            ("move_pause_ms", self.move_pause_ms, 1000),
            ("hold_wait_ms", self.hold_wait_ms, 0),
        ];
        for (field, value, min) in times {
            if !(min..=MAX_TIME_MS).contains(&value) {
                return invalid(field, format!("must be {min} to {MAX_TIME_MS}, is {value}"));
            }
        }
        Ok(())
    }

    fn check_parts(&self) -> Result<(), SettingsError> {
        let parts =
            [("silent_part", self.silent_part), ("agree_part", self.agree_part), ("return_part", self.return_part)];
        for (field, value) in parts {
            if !(0.0..1.0).contains(&value) {
                return invalid(field, format!("must be at least 0 and below 1, is {value}"));
            }
        }
        let amounts = [
            ("penalty_per_loss", self.penalty_per_loss),
            ("distrust_above", self.distrust_above),
            ("trust_below", self.trust_below),
            ("penalty_most", self.penalty_most),
            ("moves_per_minute", self.moves_per_minute),
        ];
        for (field, value) in amounts {
            if !(value.is_finite() && (0.0..=f64::from(MAX_COUNT)).contains(&value)) {
                return invalid(field, format!("must be 0 to {MAX_COUNT}, is {value}"));
            }
        }
        Ok(())
    }

    fn check_counts(&self) -> Result<(), SettingsError> {
        let counts = [
            ("least_machines", self.least_machines, 1),
            ("services_per_starved", self.services_per_starved, 1),
            ("fetches_per_machine", self.fetches_per_machine, 0),
            ("fetches_per_zone", self.fetches_per_zone, 0),
            ("ramp_initial", self.ramp_initial, 1),
            ("ramp_increase", self.ramp_increase, 1),
            ("ramp_full", self.ramp_full, 1),
            ("return_boots", self.return_boots, 1),
        ];
        for (field, value, min) in counts {
            if !(min..=MAX_COUNT).contains(&value) {
                return invalid(field, format!("must be {min} to {MAX_COUNT}, is {value}"));
            }
        }
        Ok(())
    }

    /// Checks that no values contradict each other.
    fn check_consistency(&self) -> Result<(), SettingsError> {
        if self.return_part > self.agree_part {
            return invalid(
                "return_part",
                "must not exceed zones.agree_part, or a zone would be lost and return at once",
            );
        }
        if self.trust_below > self.distrust_above {
            return invalid("trust_below", "must not exceed zones.distrust_above");
        }
        if self.penalty_most < self.distrust_above {
            return invalid("penalty_most", "must not be less than zones.distrust_above");
        }
        if self.ramp_initial > self.ramp_full {
            return invalid("ramp_initial", "must not exceed zones.ramp_full");
        }
        Ok(())
    }

    /// Returns the length of one step of a zone's gradual return.
    pub fn ramp_step(&self) -> Micros {
        Micros::from_millis(self.ramp_step_ms)
    }
}
