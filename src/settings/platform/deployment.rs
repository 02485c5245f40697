//! Settings that all controllers of a deployment share.

use super::{CloudLimits, Quota, StoreLimits};
use crate::types::Resources;
use serde::Deserialize;

/// Fraction of a service's limit that a single controller uses at most.
const MAX_PART_OF_LIMIT: f64 = 0.9;

/// A deployment: zones, teams, timing of the agents, and limits.
#[derive(Clone, Debug, Deserialize)]
pub struct Deployment {
    /// Number of controllers, which equals the number of shards.
    #[serde(rename = "nodes")]
    pub controller_count: u32,
    /// All zones.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Maximum error of the controllers' wall clocks.
    #[serde(default)]
    pub time_bound_ms: f64,
    /// Teams with their quotas.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Timing of the agents' protocol.
    #[serde(rename = "workers")]
    pub agents: AgentTiming,
    /// Limits of the store.
    #[serde(rename = "state")]
    pub store: StoreLimits,
    /// Limits of the cloud's API.
    pub cloud: CloudLimits,
    /// Resources of one controller's process.
    pub quota: Quota,
}

/// A team with its quota. An amount of 0 means that there is no guarantee or no limit.
#[derive(Clone, Debug, Deserialize)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// Guaranteed CPUs.
    #[serde(rename = "cpus", default)]
    pub guaranteed_cpus: f64,
    /// Maximum number of CPUs in use at a time; 0 means no limit.
    #[serde(rename = "cpus_max", default)]
    pub max_cpus: f64,
    /// Guaranteed GPUs.
    #[serde(rename = "gpus", default)]
    pub guaranteed_gpus: f64,
    /// Maximum number of GPUs in use at a time; 0 means no limit.
    #[serde(rename = "gpus_max", default)]
    pub max_gpus: f64,
}

/// A service-level objective, as users state it.
#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    /// Quantity that is measured.
    pub kind: String,
    /// Class of the jobs that it applies to.
    pub class: Option<String>,
    /// Maximum time that meets the objective.
    pub within_s: Option<f64>,
    /// Fraction of the jobs that must meet it.
    #[serde(rename = "share")]
    pub fraction: Option<f64>,
}

/// Timing of the agents' protocol.
#[derive(Clone, Debug, Deserialize)]
pub struct AgentTiming {
    /// Time between two heartbeats.
    #[serde(rename = "report_s")]
    pub heartbeat_s: f64,
    /// Duration of an agent's lease: the time without an answered heartbeat after which an agent ends its tasks.
    pub lease_s: f64,
    /// Maximum time that a gang's task waits for the others.
    pub gang_wait_s: f64,
    /// Time within which the tasks of a gang detect that one of them is gone.
    pub gang_peer_s: f64,
    /// Time after a cancellation within which all tasks of the job must be gone.
    pub cancel_s: f64,
}

impl Team {
    /// Whether the team has a limit or a guarantee. Only a single shard can enforce these.
    pub fn has_quota(&self) -> bool {
        [self.guaranteed_cpus, self.max_cpus, self.guaranteed_gpus, self.max_gpus].iter().any(|amount| *amount > 0.0)
    }

    /// Returns the resources that the team is guaranteed.
    pub fn guaranteed_resources(&self) -> Resources {
        Resources::new(self.guaranteed_cpus, self.guaranteed_gpus, 0.0)
    }

    /// Returns the resources that the team may use at a time; 0 means no limit.
    pub fn resource_limit(&self) -> Resources {
        Resources::new(self.max_cpus, self.max_gpus, 0.0)
    }
}

impl Deployment {
    /// Whether the jobs of a team without quota are distributed individually over the shards. If there are enough teams
    /// to use most shards, each team stays in one shard, because splitting teams fragments the free resources.
    pub fn shards_jobs_individually(&self) -> bool {
        self.teams.len() * 2 <= self.controller_count as usize
    }

    /// Returns the fraction of a service's limit that one controller uses, given the multiple of the limit that all
    /// controllers use together.
    pub fn part_of_limit(&self, combined: f64) -> f64 {
        (combined / f64::from(self.controller_count.max(1))).min(MAX_PART_OF_LIMIT)
    }

    /// Returns the team with a name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|team| team.name == name)
    }
}
