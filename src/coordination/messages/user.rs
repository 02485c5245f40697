//! Client requests and their answers.

use crate::protocol::user::{JobStatus, Submission};
use crate::types::JobId;

/// A client's request.
#[derive(Clone, Debug)]
pub enum UserRequest {
    /// Submits a job.
    Submit(Box<Submission>),
    /// Asks for the status of a job.
    Get(JobId),
    /// Cancels a job.
    Cancel(JobId),
}

/// The answer to a client's request.
#[derive(Clone, Debug, PartialEq)]
pub enum UserAnswer {
    /// The job is accepted and has not ended.
    Accepted(JobId),
    /// The status of the job.
    Status(JobStatus),
    /// The request is malformed.
    Malformed,
    /// The job can never run, for this reason.
    CanNeverRun(&'static str),
    /// No such job was ever accepted.
    NotFound,
    /// The request can't be answered now; the client should retry.
    Unavailable {
        /// The time after which the client should retry.
        retry_after_s: u32,
    },
}
