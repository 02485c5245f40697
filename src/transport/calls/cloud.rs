//! Calls to the cloud.

use super::decode_or_log;
use crate::coordination::{CloudCall, CloudOutcome, Input};
use crate::protocol::{cloud, encode};
use crate::transport::client::{Client, HttpResponse};
use crate::transport::rate_limit::{CallPriority, RateLimiter};
use hyper::{Method, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of a call, and of its wait for the rate limiter.
const CLOUD_TIMEOUT: Duration = Duration::from_millis(5000);

/// Calls the cloud within a rate limit.
pub(in crate::transport) struct CloudClient {
    client: Client,
    address: SocketAddr,
    rate_limiter: RateLimiter,
}

impl CloudClient {
    /// Creates a client of the cloud at an address, limited to `calls_per_second`.
    pub(in crate::transport) fn new(client: Client, address: SocketAddr, calls_per_second: f64) -> CloudClient {
        CloudClient { client, address, rate_limiter: RateLimiter::new(calls_per_second, calls_per_second) }
    }

    /// Makes a call and returns its outcome as an input.
    pub(in crate::transport) async fn call(&self, call: u64, request: CloudCall) -> Input {
        let outcome = self.outcome(&request).await;
        Input::Cloud { call, outcome }
    }

    async fn outcome(&self, request: &CloudCall) -> CloudOutcome {
        if !self.rate_limiter.acquire(1.0, priority(request), CLOUD_TIMEOUT).await {
            return CloudOutcome::Failed;
        }
        let CloudRequest { method, path, body } = CloudRequest::from(request);
        match self.client.call(self.address, method, &path, body, CLOUD_TIMEOUT).await {
            Ok(response) => outcome_of(request, &response).unwrap_or(CloudOutcome::Failed),
            Err(_) => CloudOutcome::Failed,
        }
    }
}

fn priority(request: &CloudCall) -> CallPriority {
    match request {
        CloudCall::Delete(_) => CallPriority::Critical,
        CloudCall::CreateInstances(_) => CallPriority::Write,
        CloudCall::Types | CloudCall::List { .. } => CallPriority::Read,
    }
}

/// A call as an HTTP request.
struct CloudRequest {
    method: Method,
    path: String,
    body: Vec<u8>,
}

impl From<&CloudCall> for CloudRequest {
    fn from(call: &CloudCall) -> CloudRequest {
        let get = |path: String| CloudRequest { method: Method::GET, path, body: Vec::new() };
        let post = |path: &str, body| CloudRequest { method: Method::POST, path: path.to_string(), body };
        match call {
            CloudCall::Types => get(cloud::TYPES_PATH.to_string()),
            CloudCall::List { after } => get(cloud::list_path(after.as_ref())),
            CloudCall::CreateInstances(request) => post(cloud::INSTANCES_PATH, encode(request)),
            CloudCall::Delete(machines) => {
                post(cloud::DELETE_PATH, encode(&cloud::MachineNames { machines: machines.clone() }))
            }
        }
    }
}

/// Returns the outcome that a response reports, or `None` if the response is unexpected.
fn outcome_of(request: &CloudCall, response: &HttpResponse) -> Option<CloudOutcome> {
    match (request, response.status) {
        (CloudCall::Types, StatusCode::OK) => decode_or_log(response).map(CloudOutcome::Types),
        (CloudCall::List { .. }, StatusCode::OK) => decode_or_log(response).map(CloudOutcome::List),
        (CloudCall::CreateInstances(_), StatusCode::OK) => decode_or_log(response).map(CloudOutcome::InstancesCreated),
        (CloudCall::CreateInstances(_), StatusCode::SERVICE_UNAVAILABLE)
            if response.body_contains(cloud::NO_CAPACITY) =>
        {
            Some(CloudOutcome::NoCapacity)
        }
        (CloudCall::Delete(_), StatusCode::OK) => Some(CloudOutcome::Deleted),
        _ => None,
    }
}
