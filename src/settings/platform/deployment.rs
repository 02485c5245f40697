//! What the controllers of a deployment serve together.

use super::{CloudLimits, Quota, StoreLimits};
use crate::types::Resources;
use serde::Deserialize;

/// Each of several controllers uses at most this part of a service's limit.
const MAX_PART_OF_LIMIT: f64 = 0.9;

/// A deployment: zones, teams, timing of the agents, and limits.
#[derive(Clone, Debug, Deserialize)]
pub struct Deployment {
    /// Number of controllers, which is the number of shards, too.
    #[serde(rename = "nodes")]
    pub controller_count: u32,
    /// All zones.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Bound of the error of the time of day.
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

/// A team with its quota; amounts of 0 mean none.
#[derive(Clone, Debug, Deserialize)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// Guaranteed CPUs.
    #[serde(rename = "cpus", default)]
    pub guaranteed_cpus: f64,
    /// Most CPUs at a time.
    #[serde(rename = "cpus_max", default)]
    pub max_cpus: f64,
    /// Guaranteed GPUs.
    #[serde(rename = "gpus", default)]
    pub guaranteed_gpus: f64,
    /// Most GPUs at a time.
    #[serde(rename = "gpus_max", default)]
    pub max_gpus: f64,
}

/// A service-level objective, as users state it.
#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    /// What is measured.
    pub kind: String,
    /// Class of the jobs.
    pub class: Option<String>,
    /// Within which time.
    pub within_s: Option<f64>,
    /// For which part of the jobs.
    #[serde(rename = "share")]
    pub fraction: Option<f64>,
}

/// Timing of the agents' protocol.
#[derive(Clone, Debug, Deserialize)]
pub struct AgentTiming {
    /// Time between two heartbeats.
    #[serde(rename = "report_s")]
    pub heartbeat_s: f64,
    /// Lease of an agent: without an answered heartbeat for so long it ends its tasks.
    pub lease_s: f64,
    /// How long a gang's task waits for the others.
    pub gang_wait_s: f64,
    /// How soon tasks of a gang detect that one of them is gone.
    pub gang_peer_s: f64,
    /// How soon all tasks of a cancelled job must be gone.
    pub cancel_s: f64,
}

impl Team {
    /// Whether it has a limit or a guarantee, which only a single shard can enforce.
    pub fn has_quota(&self) -> bool {
        [self.guaranteed_cpus, self.max_cpus, self.guaranteed_gpus, self.max_gpus].iter().any(|amount| *amount > 0.0)
    }

    /// Resources that the team is guaranteed.
    pub fn guaranteed_resources(&self) -> Resources {
        Resources::new(self.guaranteed_cpus, self.guaranteed_gpus, 0.0)
    }

    /// Resources that the team may use at a time; 0 means no limit.
    pub fn resource_limit(&self) -> Resources {
        Resources::new(self.max_cpus, self.max_gpus, 0.0)
    }
}

impl Deployment {
    /// Whether jobs of teams without quota are spread over the shards one by one. Where the teams make use of most
    /// shards they stay whole: the more parts, the more fragmented the free resources.
    pub fn shards_jobs_individually(&self) -> bool {
        self.teams.len() * 2 <= self.controller_count as usize
    }

    /// The part of a service's limit that one controller uses, when all together use so much of it.
    pub fn part_of_limit(&self, together: f64) -> f64 {
        (together / f64::from(self.controller_count.max(1))).min(MAX_PART_OF_LIMIT)
    }

    /// A team by its name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|team| team.name == name)
    }
}
