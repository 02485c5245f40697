//! Messages of users.

use super::{WireError, decode, maybe_number, number};
use crate::types::{JobId, Micros, Resources};
use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize};

/// Path of submissions.
pub const JOBS_PATH: &str = "/api/jobs";
/// What precedes a job's id in the path of its status.
pub const JOB_PATH_PREFIX: &str = "/api/jobs/";
/// What follows a job's id in the path of its cancellation.
pub const ABORT_SUFFIX: &str = "/abort";

const MAX_TASKS: u64 = 100_000;
const MAX_TEXT: usize = 200;

/// Shape of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Independent tasks, each runs to completion.
    #[serde(rename = "array")]
    Array,
    /// All tasks run at the same time or none does.
    #[serde(rename = "ensemble")]
    Gang,
    /// Tasks run until the job is cancelled.
    #[serde(rename = "daemon")]
    Service,
}

/// Which work goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    /// Whenever there is room.
    #[serde(rename = "low")]
    Low,
    /// As a rule.
    #[serde(rename = "standard")]
    Normal,
    /// Before ordinary work.
    #[serde(rename = "high")]
    High,
    /// Before all other.
    #[serde(rename = "prod")]
    Production,
}

/// A job as submitted. The wire's names double as the stored ones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Class that aims are stated for.
    #[serde(rename = "lot")]
    pub class: String,
    /// Team whose guarantee and limit apply.
    #[serde(rename = "crew", default, skip_serializing_if = "Option::is_none")]
    pub team: Option<String>,
    /// Its shape.
    #[serde(rename = "shape")]
    pub kind: Kind,
    /// Which work it goes before.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(rename = "pieces")]
    pub tasks: u32,
    /// Processors of each task.
    #[serde(rename = "cores", deserialize_with = "number")]
    pub cpus: f64,
    /// GPUs of each task.
    #[serde(deserialize_with = "number")]
    pub gpus: f64,
    /// Memory of each task.
    #[serde(deserialize_with = "number")]
    pub memory_gb: f64,
    /// Image that a machine must have first.
    #[serde(rename = "bundle")]
    pub image: String,
    /// Size of the image.
    #[serde(rename = "pull_gb", deserialize_with = "number")]
    pub image_gb: f64,
    /// Allowed types of machines, or any.
    #[serde(rename = "hulls", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// The only allowed zone, or any.
    #[serde(rename = "berth", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// All tasks must be in one zone.
    pub one_zone: bool,
    /// At most half of the tasks may be in one zone.
    pub spread: bool,
    /// Whether it may run on machines that may be taken back at any moment.
    #[serde(rename = "driftwood")]
    pub spot: bool,
    /// The owner's estimate of a task's run time.
    #[serde(rename = "expect_s", deserialize_with = "number")]
    pub estimate_s: f64,
    /// Interval after which a task saves; 0 for never.
    #[serde(rename = "stow_every_s", deserialize_with = "number")]
    pub checkpoint_s: f64,
    /// Time it needs to save when it is stopped.
    #[serde(rename = "stow_s", deserialize_with = "number")]
    pub save_s: f64,
    /// When it should be complete, from its submission.
    #[serde(rename = "due_s", default, deserialize_with = "maybe_number", skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    /// Jobs that have to be done before any of its tasks starts, each once.
    #[serde(rename = "awaits", default, deserialize_with = "job_ids", skip_serializing_if = "Vec::is_empty")]
    pub depends_on: Vec<JobId>,
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
    /// What each task takes of its machine.
    pub fn resources(&self) -> Resources {
        Resources::new(self.cpus, self.gpus, self.memory_gb)
    }

    /// Whether a machine of that type, zone and kind is allowed, wherever the job's other tasks are.
    pub fn allows(&self, machine_type: &str, zone: &str, spot: bool) -> bool {
        self.types.as_ref().is_none_or(|types| types.iter().any(|allowed| allowed == machine_type))
            && self.zone.as_ref().is_none_or(|allowed| allowed == zone)
            && (self.spot || !spot)
    }

    /// The owner's estimate of a task's run time.
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
    /// The job's id, if it is a valid one.
    pub id: Option<JobId>,
    /// The job, if it is described in full.
    pub spec: Option<JobSpec>,
}

/// Reads a submission as far as it can be read.
pub fn submission(body: &[u8]) -> Submission {
    #[derive(Deserialize)]
    struct OnlyId {
        id: String,
    }
    let id = decode::<OnlyId>(body).ok().filter(|o| valid_id(&o.id)).map(|o| JobId::from(o.id));
    let itself = |s: &JobSpec| id.as_ref().is_some_and(|id| s.depends_on.contains(id));
    let spec = decode::<JobSpec>(body).ok().filter(|s| s.check().is_ok() && !itself(s));
    Submission { id, spec }
}

/// How a job stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum JobState {
    /// No task is running.
    #[serde(rename = "queued")]
    Queued,
    /// Some task is.
    #[serde(rename = "running")]
    Running,
    /// All tasks have completed.
    #[serde(rename = "done")]
    Done,
    /// Called off.
    #[serde(rename = "withdrawn")]
    Cancelled,
}

/// What a user is told of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct JobStatus {
    /// The job.
    pub id: JobId,
    /// How it stands.
    #[serde(rename = "status")]
    pub state: JobState,
    /// Tasks done.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// Tasks running.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}

impl JobStatus {
    /// Whether it can't change any more.
    pub fn is_final(&self) -> bool {
        matches!(self.state, JobState::Done | JobState::Cancelled)
    }
}

/// Why a request is refused.
#[derive(Serialize)]
pub struct Refusal<'a> {
    /// In a few words.
    pub error: &'a str,
}
