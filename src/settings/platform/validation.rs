//! Validation of the platform's settings. Messages name fields as they are called in the file.

use super::{Deployment, Platform, Team};
use crate::settings::{SettingsError, invalid};

const MAX_LABEL_BYTES: usize = 64;
const MAX_CONTROLLERS: u32 = 64;
/// Smallest accepted limit of writes in a transaction: a role and its fencing token, and a task's start with its
/// outcome.
const MIN_TXN_OPS: usize = 4;
/// Smallest accepted limit of a value's size in KiB.
const MIN_VALUE_KB: f64 = 2.0;
/// Smallest accepted limit of a controller's open files and sockets.
const MIN_SOCKETS: usize = 64;

impl Platform {
    pub(super) fn validate(&self) -> Result<(), SettingsError> {
        self.validate_labels()?;
        self.deployment.validate_limits()?;
        self.deployment.validate_teams()
    }

    fn validate_labels(&self) -> Result<(), SettingsError> {
        if self.label.is_empty() || self.label.contains(char::is_whitespace) || self.label.len() > MAX_LABEL_BYTES {
            return Err(invalid("label", "must be 1 to 64 characters without spaces"));
        }
        let mut labels = vec![&self.label];
        for sibling in &self.siblings {
            if labels.contains(&&sibling.label) {
                return Err(invalid("siblings.label", format!("'{}' occurs twice", sibling.label)));
            }
            labels.push(&sibling.label);
        }
        Ok(())
    }
}

impl Deployment {
    fn validate_limits(&self) -> Result<(), SettingsError> {
        if self.controller_count == 0 || self.controller_count > MAX_CONTROLLERS {
            return Err(invalid("deployment.nodes", "must be 1 to 64"));
        }
        for (field, value) in self.positive_fields() {
            if !(value.is_finite() && value > 0.0) {
                return Err(invalid(field, "must be a positive number"));
            }
        }
        if self.store.min_txn_ops() < MIN_TXN_OPS {
            return Err(invalid("deployment.state.txn_ops", "must be at least 4, also in `next`"));
        }
        if self.store.min_value_kb() < MIN_VALUE_KB {
            return Err(invalid("deployment.state.value_kb", "must be at least 2, also in `next`"));
        }
        if self.quota.fd_limit < MIN_SOCKETS {
            return Err(invalid("deployment.quota.fd_limit", "must be at least 64"));
        }
        if !is_non_negative(self.cloud.list_lag_s) {
            return Err(invalid("deployment.cloud.list_lag_s", "must not be negative"));
        }
        Ok(())
    }

    fn positive_fields(&self) -> [(&'static str, f64); 11] {
        [
            ("deployment.workers.report_s", self.agents.heartbeat_s),
            ("deployment.workers.lease_s", self.agents.lease_s),
            ("deployment.workers.gang_wait_s", self.agents.gang_wait_s),
            ("deployment.workers.gang_peer_s", self.agents.gang_peer_s),
            ("deployment.workers.cancel_s", self.agents.cancel_s),
            ("deployment.state.rps", self.store.rps),
            ("deployment.state.write_rps", self.store.write_rps),
            ("deployment.state.value_kb", self.store.value_kb),
            ("deployment.state.next.rps", self.store.min_rps()),
            ("deployment.state.next.write_rps", self.store.min_write_rps()),
            ("deployment.cloud.rps", self.cloud.rps),
        ]
    }

    fn validate_teams(&self) -> Result<(), SettingsError> {
        for (index, team) in self.teams.iter().enumerate() {
            for (field, value) in quota_fields(team) {
                if !is_non_negative(value) {
                    return Err(invalid(format!("deployment.teams[{index}].{field}"), "must not be negative"));
                }
            }
            if self.teams[..index].iter().any(|other| other.name == team.name) {
                return Err(invalid("deployment.teams.name", format!("'{}' occurs twice", team.name)));
            }
        }
        Ok(())
    }
}

fn quota_fields(team: &Team) -> [(&'static str, f64); 4] {
    [
        ("cpus", team.guaranteed_cpus),
        ("cpus_max", team.max_cpus),
        ("gpus", team.guaranteed_gpus),
        ("gpus_max", team.max_gpus),
    ]
}

fn is_non_negative(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}
