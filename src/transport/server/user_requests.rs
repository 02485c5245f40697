//! Handlers of users' requests: submission, status and cancellation of jobs.

use super::ServerContext;
use super::routes::{Origin, ReceivedRequest};
use crate::coordination::{UserAnswer, UserRequest};
use crate::protocol::encode;
use crate::protocol::user::{self, ABORT_SUFFIX, JOB_PATH_PREFIX, JOBS_PATH, JobState, JobStatus};
use crate::transport::reply::Reply;
use crate::transport::request_queue::QueueError;
use crate::types::JobId;
use hyper::{Method, StatusCode};

/// `Retry-After` when the queue of requests is full.
const RETRY_AFTER_FULL_QUEUE_S: u32 = 2;
/// `Retry-After` when the controller did not answer in time.
const RETRY_AFTER_UNANSWERED_S: u32 = 1;

/// Passes a user's request to the controller and replies with its answer, or with that of a sibling if this controller
/// can't serve it.
pub(super) async fn handle(context: &ServerContext, request: ReceivedRequest<'_>, origin: Origin) -> Reply {
    let ReceivedRequest { method, path, body } = request;
    let user_request = match parse(method, path, body) {
        Ok(user_request) => user_request,
        Err(refusal) => return refusal,
    };
    let answer = match context.user_requests.try_request(user_request).await {
        Ok(answer) => answer,
        Err(QueueError::Full) => return Reply::unavailable(RETRY_AFTER_FULL_QUEUE_S),
        Err(QueueError::Unanswered) => return Reply::unavailable(RETRY_AFTER_UNANSWERED_S),
    };
    if origin == Origin::Client && matches!(answer, UserAnswer::Unavailable { .. }) {
        let candidates = context.health.siblings_with_store();
        if let Some(reply) = context.siblings.forward_user_request(candidates, method, path, body).await {
            return reply;
        }
    }
    reply_for(answer)
}

/// Parses a user's request, or returns the reply that refuses it.
fn parse(method: &Method, path: &str, body: &[u8]) -> Result<UserRequest, Reply> {
    if path == JOBS_PATH {
        return parse_submission(method, body);
    }
    let Some(rest) = path.strip_prefix(JOB_PATH_PREFIX) else {
        return Err(Reply::no_such_path());
    };
    match rest.strip_suffix(ABORT_SUFFIX) {
        Some(id) => Ok(UserRequest::Cancel(parse_job_id(id, method, &Method::POST)?)),
        None => Ok(UserRequest::Get(parse_job_id(rest, method, &Method::GET)?)),
    }
}

fn parse_submission(method: &Method, body: &[u8]) -> Result<UserRequest, Reply> {
    if method != Method::POST {
        return Err(Reply::method_not_allowed());
    }
    let submission = user::submission(body);
    if submission.id.is_none() {
        return Err(Reply::malformed());
    }
    Ok(UserRequest::Submit(Box::new(submission)))
}

fn parse_job_id(id: &str, method: &Method, allowed_method: &Method) -> Result<JobId, Reply> {
    if id.is_empty() || id.contains('/') {
        return Err(Reply::no_such_path());
    }
    if method != allowed_method {
        return Err(Reply::method_not_allowed());
    }
    if !user::is_valid_job_id(id) {
        return Err(no_such_job());
    }
    Ok(JobId::new(id))
}

fn reply_for(answer: UserAnswer) -> Reply {
    match answer {
        UserAnswer::Accepted(id) => {
            let status = JobStatus { id, state: JobState::Queued, done: None, running: None };
            Reply::new(StatusCode::CREATED, encode(&status))
        }
        UserAnswer::Status(status) => Reply::new(StatusCode::OK, encode(&status)),
        UserAnswer::Malformed => Reply::malformed(),
        UserAnswer::CanNeverRun(reason) => Reply::error(StatusCode::UNPROCESSABLE_ENTITY, reason),
        UserAnswer::NotFound => no_such_job(),
        UserAnswer::Unavailable { retry_after_s } => Reply::unavailable(retry_after_s),
    }
}

fn no_such_job() -> Reply {
    Reply::error(StatusCode::NOT_FOUND, "no such job")
}
