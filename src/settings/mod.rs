//! Settings: the platform's file (TOML) and the operators' policy (JSON), read once when the process starts.
//!
//! Owns: defaults, bounds and validation. Guarantees: loaded settings are valid, and an error names the field as it is
//! called in the file.

mod platform;
mod policy;

pub use burlhatch_zones::ZoneSettings;
pub use platform::{
    AgentTiming, CloudLimits, Deployment, ExternalServices, Objective, Platform, Quota, Sibling, StoreLimits, Team,
    UpcomingLimits,
};
pub use policy::Policy;

use std::path::Path;

/// Error in the settings.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// A file can't be read.
    #[error("{path}: {source}")]
    Read {
        /// Path of the file.
        path: String,
        /// Error of the file system.
        source: std::io::Error,
    },
    /// A file is not well-formed, or a field is missing, unknown or of another type.
    #[error("{path}: {message}")]
    Parse {
        /// Path of the file.
        path: String,
        /// The parser's message.
        message: String,
    },
    /// A value is out of its bounds.
    #[error("{field}: {message}")]
    Invalid {
        /// Name of the field.
        field: String,
        /// Requirement that the value violates.
        message: String,
    },
}

fn invalid(field: impl Into<String>, message: impl Into<String>) -> SettingsError {
    SettingsError::Invalid { field: field.into(), message: message.into() }
}

fn read_file(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|source| SettingsError::Read { path: path.display().to_string(), source })
}
