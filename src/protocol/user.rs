//! Messages of users.

use super::{WireError, decode, maybe_number, number};
use crate::units::{JobId, Micros, Room};
use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize};

const MAX_TASKS: u64 = 100_000;
const MAX_TEXT: usize = 200;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    #[serde(rename = "array")]
    Array,
    #[serde(rename = "ensemble")]
    Gang,
    #[serde(rename = "daemon")]
    Service,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    #[serde(rename = "low")]
    Low,
    #[serde(rename = "standard")]
    Normal,
    #[serde(rename = "high")]
    High,
    #[serde(rename = "prod")]
    Production,
}

/// A job as submitted. The wire's names double as the stored ones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    #[serde(rename = "lot")]
    pub class: String,
    #[serde(rename = "crew", default, skip_serializing_if = "Option::is_none")]
    pub team: Option<String>,
    #[serde(rename = "shape")]
    pub kind: Kind,
    #[serde(rename = "rank")]
    pub priority: Priority,
    #[serde(rename = "pieces")]
    pub tasks: u32,
    #[serde(rename = "cores", deserialize_with = "number")]
    pub cpus: f64,
    #[serde(deserialize_with = "number")]
    pub gpus: f64,
    #[serde(deserialize_with = "number")]
    pub memory_gb: f64,
    #[serde(rename = "bundle")]
    pub image: String,
    #[serde(rename = "pull_gb", deserialize_with = "number")]
    pub image_gb: f64,
    #[serde(rename = "hulls", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    #[serde(rename = "berth", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    pub one_zone: bool,
    pub spread: bool,
    #[serde(rename = "driftwood")]
    pub spot: bool,
    #[serde(rename = "expect_s", deserialize_with = "number")]
    pub estimate_s: f64,
    #[serde(rename = "stow_every_s", deserialize_with = "number")]
    pub checkpoint_s: f64,
    #[serde(rename = "stow_s", deserialize_with = "number")]
    pub save_s: f64,
    #[serde(rename = "due_s", default, deserialize_with = "maybe_number", skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    /// Jobs that have to be done before any of its tasks starts, each once.
    #[serde(default, deserialize_with = "job_ids", skip_serializing_if = "Vec::is_empty")]
    pub awaits: Vec<JobId>,
}

fn job_ids<'de, D: Deserializer<'de>>(d: D) -> Result<Vec<JobId>, D::Error> {
    let ids: Option<Vec<String>> = Deserialize::deserialize(d)?;
    let mut ids = ids.unwrap_or_default();
    if !ids.iter().all(|id| valid_id(id)) {
        return Err(D::Error::custom("not a job's id"));
    }
    ids.sort_unstable();
    ids.dedup();
    Ok(ids.into_iter().map(JobId::from).collect())
}

impl JobSpec {
    pub fn room(&self) -> Room {
        Room::new(self.cpus, self.gpus, self.memory_gb)
    }

    pub fn estimate(&self) -> Micros {
        Micros::from_secs_f64(self.estimate_s)
    }

    fn check(&self) -> Result<(), WireError> {
        let bad = |what: &str| Err(WireError::Malformed(what.to_string()));
        if self.tasks == 0 || u64::from(self.tasks) > MAX_TASKS {
            return bad("pieces out of range");
        }
        let amounts = [
            self.cpus,
            self.gpus,
            self.memory_gb,
            self.image_gb,
            self.estimate_s,
            self.checkpoint_s,
            self.save_s,
            self.deadline_s.unwrap_or(0.0),
        ];
        if amounts.iter().any(|x| !x.is_finite() || *x < 0.0 || *x > 1e9) {
            return bad("an amount is out of range");
        }
        let texts = [Some(&self.class), self.team.as_ref(), Some(&self.image), self.zone.as_ref()];
        if texts.into_iter().flatten().any(|t| t.is_empty() || t.len() > MAX_TEXT) {
            return bad("a text is empty or too long");
        }
        if let Some(types) = &self.types
            && (types.len() > 32 || types.iter().any(|t| t.is_empty() || t.len() > 64))
        {
            return bad("types out of range");
        }
        Ok(())
    }
}

/// Ids that could ever have been given to a job.
pub fn valid_id(id: &str) -> bool {
    id.len() > 3
        && id.len() <= 64
        && id.starts_with("wk-")
        && id.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_' || b == b'.')
}

/// A submission as far as it could be read: a known id is answered whatever the rest holds.
#[derive(Clone, Debug)]
pub struct Submission {
    pub id: Option<JobId>,
    pub spec: Option<JobSpec>,
}

pub fn submission(body: &[u8]) -> Submission {
    #[derive(Deserialize)]
    struct OnlyId {
        id: String,
    }
    let id = decode::<OnlyId>(body).ok().filter(|o| valid_id(&o.id)).map(|o| JobId::from(o.id));
    let itself = |s: &JobSpec| id.as_ref().is_some_and(|id| s.awaits.contains(id));
    let spec = decode::<JobSpec>(body).ok().filter(|s| s.check().is_ok() && !itself(s));
    Submission { id, spec }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum JobState {
    #[serde(rename = "queued")]
    Queued,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "withdrawn")]
    Cancelled,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct JobStatus {
    pub id: JobId,
    #[serde(rename = "status")]
    pub state: JobState,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}

#[derive(Serialize)]
pub struct Refusal<'a> {
    pub error: &'a str,
}
