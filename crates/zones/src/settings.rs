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

/// How failures of whole zones are handled. Off unless `enabled` is set.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct ZoneSettings {
    /// Whether zones are judged and handled as a whole at all.
    pub enabled: bool,
    /// Silence after which a machine counts as silent for its zone, if it failed to answer probes meanwhile.
    pub silent_after_ms: u64,
    /// A shard's holder speaks against a zone while more than this part of its machines there is silent.
    pub silent_part: f64,
    /// A zone with fewer machines of all shards is never judged as a whole.
    pub least_machines: u32,
    /// A zone is lost when shards with more than this part of its machines speak against it.
    pub agree_part: f64,
    /// For so long they must do so without a break.
    pub confirm_ms: u64,
    /// A lost zone returns when shards with no more than this part of its machines speak against it.
    pub return_part: f64,
    /// For so long it must have been heard again.
    pub return_after_ms: u64,
    /// A lost zone in which no machine is left gets machines again after this, a few at a time.
    pub empty_return_ms: u64,
    /// Whether machines of a lost zone that run services are deleted, which proves their tasks gone before their leases
    /// run out.
    pub evacuate: bool,
    /// A zone must have been lost for so long before.
    pub evacuate_after_ms: u64,
    /// For so long after a loss services go before all other work, and fetches of images are limited.
    pub restore_for_ms: u64,
    /// Batch work of which nothing has begun for so long gets a turn among the services meanwhile, with one task.
    pub starved_after_ms: u64,
    /// After so many services one such job has its turn.
    pub services_per_starved: u32,
    /// Images that a machine may have waiting to be fetched during restoration; 0 for no limit.
    pub fetches_per_machine: u32,
    /// The same for all machines of one shard in a zone; 0 for no limit.
    pub fetches_per_zone: u32,
    /// Length of one step of the return.
    pub ramp_step_ms: u64,
    /// Starts that each shard may make in the zone in the first step.
    pub ramp_initial: u32,
    /// The allowance doubles with each step that went well, after a failure only up to half of what it was then.
    /// Otherwise it grows by this.
    pub ramp_increase: u32,
    /// With an allowance of so many starts a step the return is complete.
    pub ramp_full: u32,
    /// Machines that may boot at a time in a zone that returns.
    pub return_boots: u32,
    /// Added to a zone's penalty each time it is lost.
    pub penalty_per_loss: f64,
    /// A zone's penalty halves in this time.
    pub penalty_half_life_ms: u64,
    /// Above this penalty a zone is not trusted with all replicas of a service, and its allowance never doubles.
    pub distrust_above: f64,
    /// It is trusted again once its penalty is below this.
    pub trust_below: f64,
    /// The penalty never exceeds this, which bounds how long a zone is not trusted.
    pub penalty_most: f64,
    /// A replica that finds room only in zones that are not trusted takes it after it has waited so long.
    pub distrust_wait_ms: u64,
    /// Whether replicas move without need: when all of a service are in one zone though another has resources.
    pub rebalance: bool,
    /// Replicas that may be moved without need in a minute, by each controller.
    pub moves_per_minute: f64,
    /// A service has no second replica moved before this time.
    pub move_pause_ms: u64,
    /// A replica leaves a zone on hold for a machine without its image once the zone has been on hold for so long.
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

/// The longest time that a setting may name.
const MAX_TIME_MS: u64 = 86_400_000;
/// The largest count that a setting may name.
const MAX_COUNT: u32 = 1_000_000;

fn invalid(field: &'static str, message: impl Into<String>) -> Result<(), SettingsError> {
    Err(SettingsError { field, message: message.into() })
}

impl ZoneSettings {
    /// Whether all values are possible and agree with each other.
    pub fn check(&self) -> Result<(), SettingsError> {
        self.check_times()?;
        self.check_parts()?;
        self.check_counts()?;
        self.check_agreement()
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

    /// Values that contradict each other.
    fn check_agreement(&self) -> Result<(), SettingsError> {
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

    /// Length of one step of the return.
    pub fn ramp_step(&self) -> Micros {
        Micros::from_millis(self.ramp_step_ms)
    }
}
