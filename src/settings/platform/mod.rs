//! The platform's settings file (TOML): the controller's identity and addresses, the services that it calls, and the
//! deployment with its limits.
//!
//! Fields whose names differ from those in the file are mapped by `serde(rename)`; error messages name the file's
//! fields.

mod deployment;
mod limits;
mod validation;

pub use deployment::{AgentTiming, Deployment, Objective, Team};
pub use limits::{CloudLimits, Quota, StoreLimits, UpcomingLimits};

use super::{SettingsError, read_file};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

/// The platform's settings. Unknown fields of the file are ignored.
#[derive(Clone, Debug, Deserialize)]
pub struct Platform {
    /// Label of this controller, unique in the deployment.
    pub label: String,
    /// Zone in which this controller runs.
    #[serde(rename = "site", default)]
    pub zone: String,
    /// Address at which it listens for users, agents and health checks.
    pub public_addr: SocketAddr,
    /// Address at which it listens for siblings.
    #[serde(rename = "back")]
    pub peer_addr: SocketAddr,
    /// The other controllers.
    #[serde(default)]
    pub siblings: Vec<Sibling>,
    /// Services that it calls.
    pub external: ExternalServices,
    /// Settings that all controllers share.
    pub deployment: Deployment,
}

/// Another controller.
#[derive(Clone, Debug, Deserialize)]
pub struct Sibling {
    /// Label of the sibling.
    pub label: String,
    /// Zone in which the sibling runs.
    #[serde(rename = "site", default)]
    pub zone: String,
    /// Address at which it listens for siblings.
    pub address: SocketAddr,
}

/// Services that a controller calls.
#[derive(Clone, Debug, Deserialize)]
pub struct ExternalServices {
    /// Address of the cloud's API.
    pub cloud: SocketAddr,
    /// Address of the store.
    #[serde(rename = "state")]
    pub store: SocketAddr,
}

impl Platform {
    /// Reads and validates the file.
    pub fn load(path: &Path) -> Result<Platform, SettingsError> {
        let text = read_file(path)?;
        Platform::parse(&text).map_err(|error| match error {
            SettingsError::Parse { message, .. } => SettingsError::Parse { path: path.display().to_string(), message },
            SettingsError::Read { .. } | SettingsError::Invalid { .. } => error,
        })
    }

    /// Parses and validates the file's text.
    pub fn parse(text: &str) -> Result<Platform, SettingsError> {
        let platform: Platform = toml::from_str(text).map_err(|error| SettingsError::Parse {
            path: "settings".into(),
            message: error.to_string().trim().to_string(),
        })?;
        platform.validate()?;
        Ok(platform)
    }
}
