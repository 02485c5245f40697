//! Messages of users: submissions, and the status of jobs.
//!
//! A job's description is stored as received, so its field names on the wire are also those in the stored records.

use super::{WireError, decode, number, optional_number};
use crate::types::{JobId, Micros, Resources};
use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize};

/// Path of submissions.
pub const JOBS_PATH: &str = "/api/jobs";
/// Path prefix that precedes a job's id.
pub const JOB_PATH_PREFIX: &str = "/api/jobs/";
/// Path suffix that follows a job's id in the path of its cancellation.
pub const ABORT_SUFFIX: &str = "/abort";

const MAX_TASKS: u64 = 100_000;
const MAX_TEXT_BYTES: usize = 200;
/// Upper bound of all amounts and times in a job's description.
const MAX_AMOUNT: f64 = 1e9;
const MAX_MACHINE_TYPES: usize = 32;
const MAX_MACHINE_TYPE_BYTES: usize = 64;
const JOB_ID_PREFIX: &str = "wk-";
const MAX_JOB_ID_BYTES: usize = 64;

/// Kind of a job, which defines how its tasks run together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// A job array: independent tasks that run to completion.
    #[serde(rename = "array")]
    Array,
    /// A gang: all tasks run at the same time or none does.
    #[serde(rename = "ensemble")]
    Gang,
    /// A service: tasks run until the job is cancelled.
    #[serde(rename = "daemon")]
    Service,
}

/// Priority of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    /// Runs on resources that no other work needs, and is preempted for other work.
    #[serde(rename = "low")]
    Low,
    /// The usual priority.
    #[serde(rename = "standard")]
    Normal,
    /// Scheduled before normal work.
    #[serde(rename = "high")]
    High,
    /// Scheduled before all other work.
    #[serde(rename = "prod")]
    Production,
}

/// A job's description as submitted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Class of the job, which service-level objectives refer to.
    #[serde(rename = "lot")]
    pub class: String,
    /// Team whose quota applies.
    #[serde(rename = "crew", default, skip_serializing_if = "Option::is_none")]
    pub team: Option<String>,
    /// Kind of the job.
    #[serde(rename = "shape")]
    pub kind: JobKind,
    /// Its priority.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(rename = "pieces")]
    pub tasks: u32,
    /// CPUs of each task.
    #[serde(rename = "cores", deserialize_with = "number")]
    pub cpus: f64,
    /// GPUs of each task.
    #[serde(deserialize_with = "number")]
    pub gpus: f64,
    /// Memory of each task in GB.
    #[serde(deserialize_with = "number")]
    pub memory_gb: f64,
    /// Image that a machine fetches before it starts a task.
    #[serde(rename = "bundle")]
    pub image: String,
    /// Size of the image in GB.
    #[serde(rename = "pull_gb", deserialize_with = "number")]
    pub image_gb: f64,
    /// Allowed machine types; without a list, any type is allowed.
    #[serde(rename = "hulls", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// The only allowed zone; if none is given, any zone is allowed.
    #[serde(rename = "berth", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Whether all tasks must be in one zone.
    pub one_zone: bool,
    /// Whether at most half of the tasks may be in one zone.
    pub spread: bool,
    /// Whether the job may run on spot instances.
    #[serde(rename = "driftwood")]
    pub spot: bool,
    /// The user's estimate of a task's run time.
    #[serde(rename = "expect_s", deserialize_with = "number")]
    pub estimated_runtime_s: f64,
    /// Interval between checkpoints; 0 if the task writes none.
    #[serde(rename = "stow_every_s", deserialize_with = "number")]
    pub checkpoint_interval_s: f64,
    /// Time to write a checkpoint when the task is stopped.
    #[serde(rename = "stow_s", deserialize_with = "number")]
    pub checkpoint_duration_s: f64,
    /// Deadline, in seconds after the job's submission.
    #[serde(rename = "due_s", default, deserialize_with = "optional_number", skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    /// Jobs that must be done before any of this job's tasks starts, sorted and without duplicates.
    #[serde(rename = "awaits", default, deserialize_with = "job_ids", skip_serializing_if = "Vec::is_empty")]
    pub depends_on: Vec<JobId>,
}

fn job_ids<'de, D: Deserializer<'de>>(d: D) -> Result<Vec<JobId>, D::Error> {
    let ids: Option<Vec<String>> = Deserialize::deserialize(d)?;
    let mut ids = ids.unwrap_or_default();
    if !ids.iter().all(|id| is_valid_job_id(id)) {
        return Err(D::Error::custom("not a job's id"));
    }
    ids.sort_unstable();
    ids.dedup();
    Ok(ids.into_iter().map(JobId::from).collect())
}

impl JobSpec {
    /// Returns the resources of each task.
    pub fn resources(&self) -> Resources {
        Resources::new(self.cpus, self.gpus, self.memory_gb)
    }

    /// Whether machines of a type are allowed.
    pub fn allows_machine_type(&self, machine_type: &str) -> bool {
        self.types.as_ref().is_none_or(|types| types.iter().any(|allowed| allowed == machine_type))
    }

    /// Whether tasks may run on a machine with these properties, without regard to the machines of the job's other
    /// tasks.
    pub fn allows(&self, machine_type: &str, zone: &str, spot: bool) -> bool {
        self.allows_machine_type(machine_type)
            && self.zone.as_ref().is_none_or(|allowed| allowed == zone)
            && (self.spot || !spot)
    }

    /// Returns the user's estimate of a task's run time.
    pub fn estimate(&self) -> Micros {
        Micros::from_secs_f64(self.estimated_runtime_s)
    }

    fn check(&self) -> Result<(), WireError> {
        if self.tasks == 0 || u64::from(self.tasks) > MAX_TASKS {
            return Err(WireError::OutOfBounds("pieces out of range"));
        }
        if !self.amounts().iter().all(|amount| (0.0..=MAX_AMOUNT).contains(amount)) {
            return Err(WireError::OutOfBounds("an amount is out of range"));
        }
        let texts = [Some(&self.class), self.team.as_ref(), Some(&self.image), self.zone.as_ref()];
        if !texts.into_iter().flatten().all(|text| has_length_up_to(text, MAX_TEXT_BYTES)) {
            return Err(WireError::OutOfBounds("a text is empty or too long"));
        }
        if !self.types.as_deref().is_none_or(are_machine_types_in_bounds) {
            return Err(WireError::OutOfBounds("types out of range"));
        }
        Ok(())
    }

    fn amounts(&self) -> [f64; 8] {
        [
            self.cpus,
            self.gpus,
            self.memory_gb,
            self.image_gb,
            self.estimated_runtime_s,
            self.checkpoint_interval_s,
            self.checkpoint_duration_s,
            self.deadline_s.unwrap_or(0.0),
        ]
    }
}

fn are_machine_types_in_bounds(types: &[String]) -> bool {
    types.len() <= MAX_MACHINE_TYPES && types.iter().all(|name| has_length_up_to(name, MAX_MACHINE_TYPE_BYTES))
}

fn has_length_up_to(text: &str, max_bytes: usize) -> bool {
    (1..=max_bytes).contains(&text.len())
}

/// Whether a text has the form of a job's id. No job has an id of another form.
pub fn is_valid_job_id(id: &str) -> bool {
    id.len() > JOB_ID_PREFIX.len()
        && id.len() <= MAX_JOB_ID_BYTES
        && id.starts_with(JOB_ID_PREFIX)
        && id.bytes().all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.'))
}

/// A submission as far as it could be decoded. Id and description are decoded independently, because a repeated
/// submission of a known job is answered even if the rest of the message is invalid.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Id of the job, if it is valid.
    pub id: Option<JobId>,
    /// Description of the job, if it is complete and valid.
    pub spec: Option<JobSpec>,
}

/// Decodes a submission as far as possible.
pub fn submission(body: &[u8]) -> Submission {
    #[derive(Deserialize)]
    struct OnlyId {
        id: String,
    }
    let id = decode::<OnlyId>(body).ok().filter(|only| is_valid_job_id(&only.id)).map(|only| JobId::from(only.id));
    let depends_on_itself = |spec: &JobSpec| id.as_ref().is_some_and(|id| spec.depends_on.contains(id));
    let spec = decode::<JobSpec>(body).ok().filter(|spec| spec.check().is_ok() && !depends_on_itself(spec));
    Submission { id, spec }
}

/// State of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum JobState {
    /// No task runs.
    #[serde(rename = "queued")]
    Queued,
    /// At least one task runs.
    #[serde(rename = "running")]
    Running,
    /// All tasks have completed.
    #[serde(rename = "done")]
    Done,
    /// It was cancelled.
    #[serde(rename = "withdrawn")]
    Cancelled,
}

/// Status of a job, as a user sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct JobStatus {
    /// Id of the job.
    pub id: JobId,
    /// Its state.
    #[serde(rename = "status")]
    pub state: JobState,
    /// Number of tasks that are done.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// Number of tasks that are running.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}

impl JobStatus {
    /// Whether the state is final.
    pub fn is_final(&self) -> bool {
        matches!(self.state, JobState::Done | JobState::Cancelled)
    }
}

/// Body of a response that refuses a request.
#[derive(Serialize)]
pub struct ErrorBody<'a> {
    /// Reason for the refusal.
    pub error: &'a str,
}
