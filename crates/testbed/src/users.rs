//! Simulated users, who submit jobs, poll their status at all controllers, and cancel some of them.

use crate::cluster::Cluster;
use crate::history::{Event, History};
use burlhatch::protocol::user::{ABORT_SUFFIX, JOB_PATH_PREFIX, JOBS_PATH, JobSpec};
use burlhatch::protocol::{decode, encode};
use burlhatch::transport::client::{Client, HttpResponse};
use burlhatch::types::JobId;
use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::task::JoinSet;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const RETRY_PAUSE: Duration = Duration::from_millis(300);
const MAX_ATTEMPTS: usize = 200;
/// Time during which a submission in the background is retried.
const SUBMISSION_LIMIT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(40);
const POLL_TIMEOUT: Duration = Duration::from_secs(2);

/// The users of one cluster.
pub struct SimulatedUsers {
    context: UserContext,
    /// Number of tasks of each submitted job.
    task_counts: BTreeMap<String, u32>,
    background_tasks: JoinSet<()>,
}

/// State that all users share.
#[derive(Clone)]
struct UserContext {
    client: Client,
    /// The last status that a user received for each job.
    statuses: Arc<Mutex<BTreeMap<String, String>>>,
    /// Public addresses of the running controllers.
    targets: Arc<Mutex<Vec<SocketAddr>>>,
    history: History,
}

impl SimulatedUsers {
    /// Creates the users and starts to poll the status of every job for which they have received one.
    pub fn new(cluster: &Cluster) -> SimulatedUsers {
        let context = UserContext {
            client: Client::default(),
            statuses: Arc::default(),
            targets: Arc::new(Mutex::new(cluster.addresses())),
            history: cluster.environment.history.clone(),
        };
        let mut background_tasks = JoinSet::new();
        background_tasks.spawn(context.clone().poll_statuses());
        SimulatedUsers { context, task_counts: BTreeMap::new(), background_tasks }
    }

    /// Updates the controllers to which users send requests, after controllers have started or ended.
    pub fn update_targets(&self, cluster: &Cluster) {
        *self.context.targets.lock().unwrap_or_else(PoisonError::into_inner) = cluster.addresses();
    }

    /// Submits a job, and retries until it is accepted. Returns false after `MAX_ATTEMPTS` failed attempts.
    pub async fn submit(&mut self, cluster: &Cluster, id: &str, spec: JobSpec) -> bool {
        let body = self.register(cluster, id, spec);
        self.context.post_until_accepted(JOBS_PATH, &body, id).await
    }

    /// Cancels a job, and retries until the cancellation is confirmed. Returns false after `MAX_ATTEMPTS` failed
    /// attempts.
    pub async fn cancel(&self, id: &str) -> bool {
        self.context.post_until_accepted(&abort_path(id), &encode(&Value::Null), id).await
    }

    /// Submits a job in the background, with retries for `SUBMISSION_LIMIT`.
    pub fn submit_in_background(&mut self, cluster: &Cluster, id: &str, spec: JobSpec) {
        let body = self.register(cluster, id, spec);
        self.post_in_background(JOBS_PATH.into(), body, id, SUBMISSION_LIMIT);
    }

    /// Cancels a job in the background, with retries for `limit`.
    pub fn cancel_in_background(&mut self, id: &str, limit: Duration) {
        self.post_in_background(abort_path(id), encode(&Value::Null), id, limit);
    }

    /// Returns the last status that a user received for a job.
    pub fn status(&self, id: &str) -> Option<String> {
        self.context.statuses.lock().unwrap_or_else(PoisonError::into_inner).get(id).cloned()
    }

    /// Returns whether the last status that a user received says that the job is done or cancelled.
    pub fn is_finished(&self, id: &str) -> bool {
        self.status(id).is_some_and(|status| status == "done" || status == "withdrawn")
    }

    /// Returns the number of tasks of each submitted job.
    pub fn task_counts(&self) -> &BTreeMap<String, u32> {
        &self.task_counts
    }

    /// Returns the ids of all submitted jobs.
    pub fn job_ids(&self) -> Vec<String> {
        self.task_counts.keys().cloned().collect()
    }

    /// Makes a job's description available to agents, and returns the body of its submission.
    fn register(&mut self, cluster: &Cluster, id: &str, spec: JobSpec) -> Vec<u8> {
        let mut body = serde_json::to_value(&spec).unwrap_or(Value::Null);
        body["id"] = json!(id);
        self.task_counts.insert(id.to_string(), spec.tasks);
        cluster.environment.jobs.lock().unwrap_or_else(PoisonError::into_inner).insert(JobId::new(id), spec);
        encode(&body)
    }

    fn post_in_background(&mut self, path: String, body: Vec<u8>, id: &str, limit: Duration) {
        let (context, id) = (self.context.clone(), id.to_string());
        while self.background_tasks.try_join_next().is_some() {}
        self.background_tasks.spawn(async move {
            // A request that is not accepted in time is abandoned.
            let _ = tokio::time::timeout(limit, context.post_until_accepted(&path, &body, &id)).await;
        });
    }
}

fn abort_path(id: &str) -> String {
    format!("{JOB_PATH_PREFIX}{id}{ABORT_SUFFIX}")
}

impl UserContext {
    fn targets(&self) -> Vec<SocketAddr> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Sends a request to one controller after the other until it is accepted, and records the status in the response.
    /// Returns false after `MAX_ATTEMPTS` failed attempts.
    async fn post_until_accepted(&self, path: &str, body: &[u8], id: &str) -> bool {
        for attempt in 0..MAX_ATTEMPTS {
            let targets = self.targets();
            if let Some(target) = targets.get(attempt % targets.len().max(1)) {
                let asked_us = self.history.now_us();
                if let Ok(response) = self.client.call(*target, Method::POST, path, body.to_vec(), CALL_TIMEOUT).await
                    && matches!(response.status, StatusCode::OK | StatusCode::CREATED)
                {
                    self.record_status(id, &response, asked_us);
                    return true;
                }
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        false
    }

    /// Polls the known jobs in turn, each time at the next controller.
    async fn poll_statuses(self) {
        let client = Client::default();
        for n in 0.. {
            tokio::time::sleep(POLL_INTERVAL).await;
            let ids: Vec<String> =
                self.statuses.lock().unwrap_or_else(PoisonError::into_inner).keys().cloned().collect();
            let targets = self.targets();
            if ids.is_empty() || targets.is_empty() {
                continue;
            }
            let (id, target) = (&ids[n % ids.len()], targets[n % targets.len()]);
            let asked_us = self.history.now_us();
            let path = format!("{JOB_PATH_PREFIX}{id}");
            if let Ok(response) = client.call(target, Method::GET, &path, Vec::new(), POLL_TIMEOUT).await
                && matches!(response.status, StatusCode::OK | StatusCode::NOT_FOUND)
            {
                self.record_status(id, &response, asked_us);
            }
        }
    }

    fn record_status(&self, id: &str, response: &HttpResponse, asked_us: u64) {
        let body: Value = decode(&response.body).unwrap_or(Value::Null);
        let is_unknown = response.status == StatusCode::NOT_FOUND;
        let status = if is_unknown { Some("unknown") } else { body["status"].as_str() };
        let Some(status) = status else { return };
        self.history.add(Event::StatusReceived { job: id.to_string(), status: status.to_string(), asked_us });
        let mut statuses = self.statuses.lock().unwrap_or_else(PoisonError::into_inner);
        statuses.insert(id.to_string(), status.to_string());
    }
}
