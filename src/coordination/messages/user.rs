//! Requests of users, and their answers.

use crate::protocol::user::{JobStatus, Submission};
use crate::types::JobId;

/// What a user asks for.
#[derive(Clone, Debug)]
pub enum UserRequest {
    /// To accept a job.
    Submit(Box<Submission>),
    /// The status of a job.
    Get(JobId),
    /// To cancel a job.
    Cancel(JobId),
}

/// The answer to a user's request.
#[derive(Clone, Debug, PartialEq)]
pub enum UserAnswer {
    /// The job is accepted, and not over.
    Accepted(JobId),
    /// The status of the job.
    Status(JobStatus),
    /// The request is malformed.
    Malformed,
    /// The job can never run, for this reason.
    CanNeverRun(&'static str),
    /// No such job was ever accepted.
    NotFound,
    /// Not now; the client is told when to try again.
    Unavailable {
        /// When to try again.
        retry_after_s: u32,
    },
}
