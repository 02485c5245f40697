//! What the platform says: who this controller is, what it is to serve and within which limits.

use super::{SettingsError, invalid, read_file};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

/// Characters of a controller's name at most.
const LABEL_MOST: usize = 64;
/// Controllers at most.
const CONTROLLERS_MOST: u32 = 64;
/// Changes that a transaction must allow: a role and its fencing token, and a start with its outcome.
const OPS_LEAST: usize = 4;
/// Size that a value must allow, in KiB.
const VALUE_KB_LEAST: f64 = 2.0;
/// Sockets that a controller must have.
const SOCKETS_LEAST: usize = 64;

/// The file the platform hands over. Unknown fields are ignored.
#[derive(Clone, Debug, Deserialize)]
pub struct Platform {
    /// Name of this controller.
    pub label: String,
    /// Its zone.
    #[serde(default)]
    pub site: String,
    /// Where users, workers and health checks reach it.
    pub public_addr: SocketAddr,
    /// Where siblings reach it.
    pub back: SocketAddr,
    /// The other controllers.
    #[serde(default)]
    pub siblings: Vec<Sibling>,
    /// Services that it uses.
    pub external: External,
    /// What it is to serve.
    pub deployment: Deployment,
}

/// Another controller.
#[derive(Clone, Debug, Deserialize)]
pub struct Sibling {
    /// Its name.
    pub label: String,
    /// Its zone.
    #[serde(default)]
    pub site: String,
    /// Where it is reached.
    pub address: SocketAddr,
}

/// Services outside.
#[derive(Clone, Debug, Deserialize)]
pub struct External {
    /// Where machines are rented.
    pub cloud: SocketAddr,
    /// Where all that must outlive a process is kept.
    #[serde(rename = "state")]
    pub store: SocketAddr,
}

/// What the controllers serve together.
#[derive(Clone, Debug, Deserialize)]
pub struct Deployment {
    /// Number of controllers.
    pub nodes: u32,
    /// All zones.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Bound of the time of day's error.
    #[serde(default)]
    pub time_bound_ms: f64,
    /// Teams with their guarantees and limits.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// What users expect.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Times of the workers' protocol.
    pub workers: Workers,
    /// Limits of the store.
    #[serde(rename = "state")]
    pub store: StoreLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// What a controller may use.
    pub quota: Quota,
}

/// A team; amounts of 0 mean none.
#[derive(Clone, Debug, Deserialize)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// Guaranteed processors.
    #[serde(default)]
    pub cpus: f64,
    /// Most processors at a time.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Most GPUs at a time.
    #[serde(default)]
    pub gpus_max: f64,
}

/// An aim, as users state it.
#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    /// What is aimed at.
    pub kind: String,
    /// For which class of jobs.
    pub class: Option<String>,
    /// Within which time.
    pub within_s: Option<f64>,
    /// For which part of them.
    pub share: Option<f64>,
}

/// Times of the workers' protocol.
#[derive(Clone, Debug, Deserialize)]
pub struct Workers {
    /// Between two heartbeats.
    #[serde(rename = "report_s")]
    pub heartbeat_s: f64,
    /// Without an answered heartbeat for so long a worker ends its tasks.
    pub lease_s: f64,
    /// A gang's task waits so long for the others.
    pub gang_wait_s: f64,
    /// Gang tasks notice within this that one is gone.
    pub gang_peer_s: f64,
    /// Within this all tasks of a cancelled job have to be gone.
    pub cancel_s: f64,
}

/// Limits of the store.
#[derive(Clone, Debug, Deserialize)]
pub struct StoreLimits {
    /// Requests a second.
    pub rps: f64,
    /// Changes a second.
    pub write_rps: f64,
    /// Size of a value.
    pub value_kb: f64,
    /// Changes in a transaction.
    pub txn_ops: usize,
    /// What some of these become at a moment that nobody announces.
    #[serde(default)]
    pub next: Option<NextLimits>,
}

/// Limits that come later.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct NextLimits {
    /// Requests a second.
    pub rps: Option<f64>,
    /// Changes a second.
    pub write_rps: Option<f64>,
    /// Size of a value.
    pub value_kb: Option<f64>,
    /// Changes in a transaction.
    pub txn_ops: Option<usize>,
}

/// Part of the allowed size that a value is filled to.
const VALUE_PART: f64 = 0.97;

impl StoreLimits {
    fn next<T: Copy>(&self, of: impl Fn(&NextLimits) -> Option<T>) -> Option<T> {
        self.next.as_ref().and_then(of)
    }

    /// Changes in one transaction, now and later.
    pub fn ops(&self) -> usize {
        self.next(|n| n.txn_ops).map_or(self.txn_ops, |next| next.min(self.txn_ops))
    }

    /// Size of a value in KiB, now and later.
    pub fn least_value_kb(&self) -> f64 {
        self.next(|n| n.value_kb).map_or(self.value_kb, |next| next.min(self.value_kb))
    }

    /// Bytes that a value may have, with something to spare.
    pub fn value_bytes(&self) -> usize {
        (self.least_value_kb() * 1024.0 * VALUE_PART) as usize
    }

    /// Requests a second, now and later.
    pub fn least_rps(&self) -> f64 {
        self.next(|n| n.rps).map_or(self.rps, |next| next.min(self.rps))
    }

    /// Changes a second, now and later.
    pub fn least_write_rps(&self) -> f64 {
        self.next(|n| n.write_rps).map_or(self.write_rps, |next| next.min(self.write_rps))
    }
}

/// Limits of the cloud.
#[derive(Clone, Debug, Deserialize)]
pub struct CloudLimits {
    /// Requests a second.
    pub rps: f64,
    /// Time by which its list may be late.
    pub list_lag_s: f64,
}

/// What a controller may use.
#[derive(Clone, Debug, Deserialize)]
pub struct Quota {
    /// Part of a core.
    #[serde(default)]
    pub cpu: f64,
    /// Memory.
    #[serde(default)]
    pub mem_mb: f64,
    /// Sockets and files.
    pub fd_limit: usize,
}

impl Team {
    /// Whether it has a limit or a guarantee, which only one shard can keep.
    pub fn is_bounded(&self) -> bool {
        [self.cpus, self.cpus_max, self.gpus, self.gpus_max].iter().any(|x| *x > 0.0)
    }
}

impl Quota {
    /// So many sockets, at least a few.
    pub fn part_of_sockets(&self, part: f64) -> usize {
        ((self.fd_limit as f64 * part) as usize).max(8)
    }
}

impl Deployment {
    /// Whether jobs of teams without limit and guarantee are parted over the shards one by one. Where the
    /// teams make use of most shards they stay whole: the more parts, the more scraps of resources.
    pub fn parts_by_job(&self) -> bool {
        self.teams.len() * 2 <= self.nodes as usize
    }

    /// Each of several equal controllers' part of a service's limit.
    pub fn part_of_limit(&self, together: f64) -> f64 {
        (together / f64::from(self.nodes.max(1))).min(0.9)
    }

    /// A team by its name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|t| t.name == name)
    }
}

impl Platform {
    /// Reads and checks the file.
    pub fn load(path: &Path) -> Result<Platform, SettingsError> {
        let text = read_file(path)?;
        Platform::parse(&text).map_err(|e| match e {
            SettingsError::Parse { message, .. } => SettingsError::Parse { path: path.display().to_string(), message },
            other => other,
        })
    }

    /// Reads and checks its text.
    pub fn parse(text: &str) -> Result<Platform, SettingsError> {
        let platform: Platform = toml::from_str(text)
            .map_err(|e| SettingsError::Parse { path: "settings".into(), message: e.to_string().trim().to_string() })?;
        platform.check()?;
        Ok(platform)
    }

    fn check(&self) -> Result<(), SettingsError> {
        self.check_labels()?;
        self.deployment.check_limits()?;
        self.deployment.check_teams()
    }

    fn check_labels(&self) -> Result<(), SettingsError> {
        if self.label.is_empty() || self.label.contains(char::is_whitespace) || self.label.len() > LABEL_MOST {
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
    fn check_limits(&self) -> Result<(), SettingsError> {
        if self.nodes == 0 || self.nodes > CONTROLLERS_MOST {
            return Err(invalid("deployment.nodes", "must be 1 to 64"));
        }
        let positive = [
            ("deployment.workers.report_s", self.workers.heartbeat_s),
            ("deployment.workers.lease_s", self.workers.lease_s),
            ("deployment.workers.gang_wait_s", self.workers.gang_wait_s),
            ("deployment.workers.gang_peer_s", self.workers.gang_peer_s),
            ("deployment.workers.cancel_s", self.workers.cancel_s),
            ("deployment.state.rps", self.store.rps),
            ("deployment.state.write_rps", self.store.write_rps),
            ("deployment.state.value_kb", self.store.value_kb),
            ("deployment.state.next.rps", self.store.least_rps()),
            ("deployment.state.next.write_rps", self.store.least_write_rps()),
            ("deployment.cloud.rps", self.cloud.rps),
        ];
        for (field, value) in positive {
            if !(value.is_finite() && value > 0.0) {
                return Err(invalid(field, "must be a positive number"));
            }
        }
        if self.store.ops() < OPS_LEAST {
            return Err(invalid("deployment.state.txn_ops", "must be at least 4, also in `next`"));
        }
        if self.store.least_value_kb() < VALUE_KB_LEAST {
            return Err(invalid("deployment.state.value_kb", "must be at least 2, also in `next`"));
        }
        if self.quota.fd_limit < SOCKETS_LEAST {
            return Err(invalid("deployment.quota.fd_limit", "must be at least 64"));
        }
        if !(self.cloud.list_lag_s.is_finite() && self.cloud.list_lag_s >= 0.0) {
            return Err(invalid("deployment.cloud.list_lag_s", "must not be negative"));
        }
        Ok(())
    }

    fn check_teams(&self) -> Result<(), SettingsError> {
        for (i, team) in self.teams.iter().enumerate() {
            for (name, value) in
                [("cpus", team.cpus), ("cpus_max", team.cpus_max), ("gpus", team.gpus), ("gpus_max", team.gpus_max)]
            {
                if !(value.is_finite() && value >= 0.0) {
                    return Err(invalid(format!("deployment.teams[{i}].{name}"), "must not be negative"));
                }
            }
            if self.teams[..i].iter().any(|t| t.name == team.name) {
                return Err(invalid("deployment.teams.name", format!("'{}' occurs twice", team.name)));
            }
        }
        Ok(())
    }
}
