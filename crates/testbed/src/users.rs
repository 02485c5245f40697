//! Users: they submit jobs, ask about them again and again at all controllers, and call some off.

use crate::cluster::Cluster;
use crate::history::{Event, History};
use burlhatch::protocol::user::JobSpec;
use burlhatch::protocol::{decode, encode};
use burlhatch::transport::client::Client;
use burlhatch::types::JobId;
use hyper::Method;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::task::JoinSet;

const CALL_LIMIT: Duration = Duration::from_secs(5);
const RETRY: Duration = Duration::from_millis(300);
const TRIES: usize = 200;
/// One question every so often.
const ASK_EVERY: Duration = Duration::from_millis(40);

/// The users of one cluster, with the last status that each job was told to have.
pub struct Users {
    client: Client,
    jobs: BTreeMap<String, u32>,
    told: Arc<Mutex<BTreeMap<String, String>>>,
    /// Where they ask.
    targets: Arc<Mutex<Vec<SocketAddr>>>,
    history: History,
    asking: JoinSet<()>,
}

impl Users {
    /// Users who ask about every job that they have submitted.
    pub fn new(cluster: &Cluster) -> Users {
        let told: Arc<Mutex<BTreeMap<String, String>>> = Arc::default();
        let targets = Arc::new(Mutex::new(cluster.addresses()));
        let history = cluster.around.history.clone();
        let mut asking = JoinSet::new();
        asking.spawn(ask_on(told.clone(), targets.clone(), history.clone()));
        Users { client: Client::default(), jobs: BTreeMap::new(), told, targets, history, asking }
    }

    /// Controllers have come or gone: users are sent to those that run.
    pub fn follow(&self, cluster: &Cluster) {
        *self.targets.lock().unwrap_or_else(PoisonError::into_inner) = cluster.addresses();
    }

    /// Submits a job and repeats that until it is accepted; says whether it was in time.
    pub async fn submit(&mut self, cluster: &Cluster, id: &str, spec: JobSpec) -> bool {
        let body = self.upload(cluster, id, spec);
        self.repeat("/api/jobs", &body, id).await
    }

    /// Uploads a job's description to where workers find it; returns the body of its submission.
    fn upload(&mut self, cluster: &Cluster, id: &str, spec: JobSpec) -> Vec<u8> {
        let mut body = serde_json::to_value(&spec).unwrap_or(Value::Null);
        body["id"] = json!(id);
        self.jobs.insert(id.to_string(), spec.tasks);
        cluster.around.jobs.lock().unwrap_or_else(PoisonError::into_inner).insert(JobId::new(id), spec);
        encode(&body)
    }

    /// Calls a job off and repeats that until it is confirmed.
    pub async fn cancel(&self, id: &str) -> bool {
        self.repeat(&format!("/api/jobs/{id}/abort"), &encode(&Value::Null), id).await
    }

    /// Submits a job without waiting for the answer.
    pub fn ask_to_take(&mut self, cluster: &Cluster, id: &str, spec: JobSpec) {
        let body = self.upload(cluster, id, spec);
        self.repeat_aside("/api/jobs".into(), body, id, Duration::from_secs(60));
    }

    /// Calls a job off without waiting for the answer, and repeats that for so long.
    pub fn ask_to_cancel(&mut self, id: &str, patience: Duration) {
        self.repeat_aside(format!("/api/jobs/{id}/abort"), encode(&Value::Null), id, patience);
    }

    fn repeat_aside(&mut self, path: String, body: Vec<u8>, id: &str, patience: Duration) {
        let (asker, id) = (self.asker(), id.to_string());
        while self.asking.try_join_next().is_some() {}
        self.asking.spawn(async move {
            let _ = tokio::time::timeout(patience, asker.repeat(&path, &body, &id)).await;
        });
    }

    fn asker(&self) -> Asker {
        Asker {
            client: self.client.clone(),
            told: self.told.clone(),
            targets: self.targets.clone(),
            history: self.history.clone(),
        }
    }

    async fn repeat(&self, path: &str, body: &[u8], id: &str) -> bool {
        self.asker().repeat(path, body, id).await
    }

    /// The last status that was told of a job.
    pub fn status(&self, id: &str) -> Option<String> {
        self.told.lock().unwrap_or_else(PoisonError::into_inner).get(id).cloned()
    }

    /// Tasks of each job.
    pub fn tasks(&self) -> &BTreeMap<String, u32> {
        &self.jobs
    }
}

/// One user who repeats a request until it is answered.
struct Asker {
    client: Client,
    told: Arc<Mutex<BTreeMap<String, String>>>,
    targets: Arc<Mutex<Vec<SocketAddr>>>,
    history: History,
}

impl Asker {
    async fn repeat(&self, path: &str, body: &[u8], id: &str) -> bool {
        for n in 0..TRIES {
            let targets = self.targets.lock().unwrap_or_else(PoisonError::into_inner).clone();
            if let Some(target) = targets.get(n % targets.len().max(1)) {
                let asked_us = self.history.now_us();
                if let Ok(answer) = self.client.call(*target, Method::POST, path, body.to_vec(), CALL_LIMIT).await
                    && matches!(answer.status.as_u16(), 200 | 201)
                {
                    note(&self.told, &self.history, id, 200, &answer.body, asked_us);
                    return true;
                }
            }
            tokio::time::sleep(RETRY).await;
        }
        false
    }
}

fn note(told: &Mutex<BTreeMap<String, String>>, history: &History, id: &str, status: u16, body: &[u8], asked_us: u64) {
    let body: Value = decode(body).unwrap_or(Value::Null);
    let status = if status == 404 { Some("unknown") } else { body["status"].as_str() };
    let Some(status) = status else { return };
    history.add(Event::Told { job: id.to_string(), status: status.to_string(), asked_us });
    told.lock().unwrap_or_else(PoisonError::into_inner).insert(id.to_string(), status.to_string());
}

async fn ask_on(told: Arc<Mutex<BTreeMap<String, String>>>, targets: Arc<Mutex<Vec<SocketAddr>>>, history: History) {
    let client = Client::default();
    for n in 0.. {
        tokio::time::sleep(ASK_EVERY).await;
        let ids: Vec<String> = told.lock().unwrap_or_else(PoisonError::into_inner).keys().cloned().collect();
        let targets = targets.lock().unwrap_or_else(PoisonError::into_inner).clone();
        if ids.is_empty() || targets.is_empty() {
            continue;
        }
        let (id, target) = (&ids[n % ids.len()], targets[n % targets.len()]);
        let asked_us = history.now_us();
        let path = format!("/api/jobs/{id}");
        let call = client.call(target, Method::GET, &path, Vec::new(), Duration::from_secs(2));
        if let Ok(answer) = call.await
            && matches!(answer.status.as_u16(), 200 | 404)
        {
            note(&told, &history, id, answer.status.as_u16(), &answer.body, asked_us);
        }
    }
}
