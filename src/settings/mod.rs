//! The platform's settings file (TOML) and the operators' own settings (JSON).

mod platform;
mod policy;

pub use burlhatch_zones::ZoneSettings;
pub use platform::{
    CloudLimits, Deployment, External, NextLimits, Objective, Platform, Quota, Sibling, StoreLimits, Team, Workers,
};
pub use policy::Policy;

use std::path::Path;

/// Why settings can't be taken.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    #[error("{path}: {source}")]
    /// A file can't be read.
    Read {
        /// Which file.
        path: String,
        /// Why not.
        source: std::io::Error,
    },
    #[error("{path}: {message}")]
    /// A file has another form.
    Parse {
        /// Which file.
        path: String,
        /// What is wrong with it.
        message: String,
    },
    #[error("{field}: {message}")]
    /// A value is impossible.
    Invalid {
        /// Of which field.
        field: String,
        /// Why.
        message: String,
    },
}

fn invalid(field: impl Into<String>, message: impl Into<String>) -> SettingsError {
    SettingsError::Invalid { field: field.into(), message: message.into() }
}

fn read_file(path: &Path) -> Result<String, SettingsError> {
    let shown = path.display().to_string();
    std::fs::read_to_string(path).map_err(|source| SettingsError::Read { path: shown, source })
}
