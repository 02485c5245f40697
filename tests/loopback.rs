//! One controller over real sockets on loopback, with fakes for the store, the cloud and an agent.

use burlhatch::protocol::agent::{AgentCommand, DirectCommands, HeartbeatResponse};
use burlhatch::protocol::store::{Txn, Write};
use burlhatch::protocol::{decode, encode};
use burlhatch::settings::{Platform, Policy};
use burlhatch::transport::client::{CallError, Client, HttpResponse};
use burlhatch::transport::daemon;
use burlhatch_testbed::listener::free_address;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

/// In-memory store.
#[derive(Default)]
struct FakeStore {
    revision: u64,
    keys: BTreeMap<String, (Value, u64)>,
    log: Vec<Value>,
}

impl FakeStore {
    fn txn(&mut self, txn: &Txn) -> (u16, Value) {
        if txn.preconditions.iter().any(|c| self.keys.get(&c.key).map_or(0, |(_, v)| *v) != c.version) {
            return (409, json!({"failed": [], "ledger": self.revision}));
        }
        self.revision += 1;
        for write in &txn.writes {
            match write {
                Write::Put { key, value, .. } => {
                    let value: Value = value.deserialized().expect("plain data");
                    self.log.push(json!({"write": key, "v": value, "mark": self.revision}));
                    self.keys.insert(key.clone(), (value, self.revision));
                }
                Write::Delete { key } => {
                    self.keys.remove(key);
                    self.log.push(json!({"remove": key, "mark": self.revision}));
                }
            }
        }
        (200, json!({"ledger": self.revision}))
    }

    fn changes(&self, after: u64) -> Vec<Value> {
        self.log.iter().filter(|e| e["mark"].as_u64() > Some(after)).cloned().collect()
    }
}

/// Answers a request to the store or the cloud; both have the same address.
async fn answer_service_request(store: Arc<Mutex<FakeStore>>, request: Request<Incoming>) -> (u16, Value) {
    let method = request.method().clone();
    let uri = request.uri().clone();
    let body = request.into_body().collect().await.expect("body").to_bytes();
    let query: BTreeMap<String, String> = uri
        .query()
        .unwrap_or("")
        .split('&')
        .filter_map(|p| p.split_once('=').map(|(k, v)| (k.to_string(), v.to_string())))
        .collect();
    let number = |name: &str| query.get(name).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
    match (method, uri.path()) {
        (Method::POST, "/txn") => store.lock().expect("store").txn(&decode(&body).expect("a transaction")),
        (Method::POST, "/leases") => (200, json!({"tether": 7})),
        (Method::POST, "/leases/7/touch") => (200, json!({"tether": 7})),
        (Method::GET, "/store") => {
            let store = store.lock().expect("store");
            let rows: Vec<Value> =
                store.keys.iter().map(|(k, (v, mark))| json!({"k": k, "v": v, "mark": mark})).collect();
            (200, json!({"rows": rows, "more": false, "ledger": store.revision}))
        }
        (Method::GET, "/changes") => {
            let (after, mut wait) = (number("after"), number("block_ms"));
            loop {
                {
                    let store = store.lock().expect("store");
                    let log = store.changes(after);
                    if !log.is_empty() || wait == 0 {
                        return (200, json!({"ledger": store.revision, "log": log}));
                    }
                }
                wait = wait.saturating_sub(5);
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        }
        (Method::GET, "/flavors") => (
            200,
            json!({"hulls": [{"sku": "s", "cores": 4, "gpus": 0, "memory_gb": 8, "cache_gb": 10, "pull_gb_per_s": 1,
                "hourly": 1.0, "market_price": 0.5, "startup_s": 5, "berths": ["a"]}]}),
        ),
        (Method::GET, "/rentals") => (200, json!({"hosts": [], "more": false})),
        (Method::POST, "/rentals") => (503, json!({"error": "no capacity"})),
        _ => (404, json!({"error": "unknown"})),
    }
}

async fn serve(listener: TcpListener, store: Arc<Mutex<FakeStore>>) {
    while let Ok((stream, _)) = listener.accept().await {
        let store = store.clone();
        let service = service_fn(move |request| {
            let store = store.clone();
            async move {
                let (status, body) = answer_service_request(store, request).await;
                let response = Response::builder().status(status).body(Full::new(Bytes::from(encode(&body))));
                Ok::<_, Infallible>(response.expect("a response"))
            }
        });
        tokio::spawn(hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}

/// State of a fake agent, whose tasks complete at once.
#[derive(Default)]
struct FakeAgent {
    exited: BTreeMap<String, u64>,
    fencing_token: u64,
    seq: u64,
}

impl FakeAgent {
    fn heartbeat(&mut self, addr: SocketAddr) -> Value {
        self.seq += 1;
        let pieces: Vec<Value> = self
            .exited
            .iter()
            .map(|(piece, attempt)| json!({"piece": piece, "try": attempt, "status": "ended", "cause": "done"}))
            .collect();
        json!({"host": "m-000001", "addr": addr.to_string(), "hull": "s", "berth": "a", "driftwood": false,
            "watch": 1, "tally": self.seq, "helm": self.fencing_token, "warning_s": null, "pieces": pieces})
    }

    fn carry_out(&mut self, commands: Vec<AgentCommand>) {
        for command in commands {
            match command {
                AgentCommand::Start { task, attempt } => drop(self.exited.insert(task, attempt)),
                AgentCommand::Forget { task, .. } => drop(self.exited.remove(&task)),
                AgentCommand::Stop { .. } => {}
            }
        }
    }
}

/// Sends heartbeats to the controller and carries out the commands in its responses.
async fn run_agent(client: Client, controller: SocketAddr) {
    let state = Arc::new(Mutex::new(FakeAgent::default()));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("its address");
    tokio::spawn(serve_direct_commands(listener, state.clone(), addr));
    loop {
        let heartbeat = state.lock().expect("no panic").heartbeat(addr);
        let answer = call(&client, controller, Method::POST, "/checkin", &heartbeat).await;
        if let Some(accepted) = answer.ok().filter(|answer| answer.status == 200) {
            let commands: HeartbeatResponse = accepted.decode().expect("orders");
            let mut state = state.lock().expect("no panic");
            state.fencing_token = commands.fencing_token.0;
            state.carry_out(commands.commands);
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Serves the agent's own address, to which a controller sends direct commands.
async fn serve_direct_commands(listener: TcpListener, state: Arc<Mutex<FakeAgent>>, addr: SocketAddr) {
    while let Ok((stream, _)) = listener.accept().await {
        let state = state.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let state = state.clone();
            async move {
                let body = request.into_body().collect().await.expect("a body").to_bytes();
                let commands: DirectCommands = decode(&body).expect("orders");
                let mut state = state.lock().expect("no panic");
                let is_accepted = commands.fencing_token.0 >= state.fencing_token && commands.incarnation == 1;
                if is_accepted {
                    state.fencing_token = commands.fencing_token.0;
                    state.carry_out(commands.commands);
                }
                let body = Full::new(Bytes::from(encode(&state.heartbeat(addr))));
                let status = if is_accepted { 200 } else { 409 };
                Ok::<_, Infallible>(Response::builder().status(status).body(body).expect("a response"))
            }
        });
        tokio::spawn(hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}

async fn call(
    client: &Client,
    to: SocketAddr,
    method: Method,
    path: &str,
    body: &Value,
) -> Result<HttpResponse, CallError> {
    let body = if body.is_null() { Vec::new() } else { encode(body) };
    client.call(to, method, path, body, Duration::from_secs(4)).await
}

/// Returns the settings of a single controller whose store and cloud have the same address.
fn settings(public: SocketAddr, back: SocketAddr, services: SocketAddr, fd_limit: usize) -> Platform {
    let text = format!(
        "label = \"solo\"\npublic_addr = \"{public}\"\nback = \"{back}\"\n[external]\ncloud = \"{services}\"\n\
         state = \"{services}\"\n[deployment]\nnodes = 1\n[deployment.workers]\nreport_s = 3.0\nlease_s = 20.0\n\
         gang_wait_s = 30.0\ngang_peer_s = 5.0\ncancel_s = 40.0\n[deployment.state]\nrps = 500.0\nwrite_rps = 200.0\n\
         value_kb = 4.0\ntxn_ops = 12\n[deployment.cloud]\nrps = 50.0\nlist_lag_s = 1.0\n\
         [deployment.quota]\nfd_limit = {fd_limit}\n"
    );
    Platform::parse(&text).expect("valid settings")
}

/// Starts a controller that may use `fd_limit` sockets, and fakes for its services. Returns its public address.
async fn start_controller(fd_limit: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let services = listener.local_addr().expect("its address");
    tokio::spawn(serve(listener, Arc::default()));
    let free = || free_address().expect("a free port");
    let (public, back) = (free(), free());
    tokio::spawn(daemon::run(settings(public, back, services, fd_limit), Policy::default()));
    public
}

/// Polls the health check until it succeeds. Returns false if none of 100 attempts succeeds.
async fn becomes_healthy(client: &Client, public: SocketAddr) -> bool {
    for _ in 0..100 {
        let answer = call(client, public, Method::GET, "/healthz", &Value::Null).await;
        if answer.is_ok_and(|a| a.status == 200) {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    false
}

/// Guards against a controller that stops responding when its connections are exhausted. While clients hold nearly all
/// of them, it still answers health checks and heartbeats and refuses users at once; connections beyond the limit are
/// closed without a delay.
#[tokio::test]
async fn with_connections_exhausted_health_checks_are_answered_and_users_refused_at_once() {
    // Of 80 sockets, 16 are for idle connections, 8 for direct messages and 2 * 10 for siblings; 36 remain.
    let public = start_controller(80).await;
    let client = Client::default();
    assert!(becomes_healthy(&client, public).await);
    let mut held = Vec::new();
    for _ in 0..33 {
        held.push(TcpStream::connect(public).await.expect("below the limit"));
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    let began = Instant::now();
    let health = call(&client, public, Method::GET, "/healthz", &Value::Null).await.expect("an answer");
    assert_eq!(health.status, 200);
    let user = call(&client, public, Method::GET, "/api/jobs/wk-000001", &Value::Null).await.expect("an answer");
    assert_eq!((user.status.as_u16(), user.retry_after_s), (503, Some(1)));
    let heartbeat = json!({"host": "m-000009", "addr": "127.0.0.1:1", "hull": "s", "berth": "a", "driftwood": false,
        "watch": 1, "tally": 1, "helm": 0, "warning_s": null, "pieces": []});
    let agent = call(&client, public, Method::POST, "/checkin", &heartbeat).await.expect("an answer");
    assert!(matches!(agent.status.as_u16(), 200 | 421 | 503), "{}", agent.status);
    for _ in 0..10 {
        held.push(TcpStream::connect(public).await.expect("accepted or queued"));
    }
    let last = held.last_mut().expect("a connection");
    let mut byte = [0u8; 1];
    let read = tokio::time::timeout(Duration::from_secs(2), last.read(&mut byte)).await.expect("closed at once");
    assert!(read.is_err() || read.is_ok_and(|n| n == 0));
    assert!(began.elapsed() < Duration::from_secs(4));
    drop(held);
    tokio::time::sleep(Duration::from_millis(200)).await;
    let user = call(&client, public, Method::GET, "/api/jobs/wk-000001", &Value::Null).await.expect("an answer");
    assert_eq!(user.status, 404);
}

/// Guards against a number of idle connections that grows with the number of machines called: no more are kept than
/// allowed, and the most recently used ones stay.
#[tokio::test]
async fn idle_connections_stay_within_their_limit() {
    let client = Client::with_max_idle_connections(4);
    let mut addresses = Vec::new();
    for _ in 0..10 {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        addresses.push(listener.local_addr().expect("its address"));
        tokio::spawn(serve(listener, Arc::default()));
    }
    for _ in 0..3 {
        for addr in &addresses {
            let answer = call(&client, *addr, Method::GET, "/rentals", &Value::Null).await;
            assert_eq!(answer.expect("an answer").status, 200);
            assert!(client.idle_connection_count() <= 4, "{} idle", client.idle_connection_count());
        }
    }
    assert_eq!(client.idle_connection_count(), 4);
}

/// Submits a job, runs it to its end and asks for it again; invalid requests get the right status codes.
#[tokio::test]
async fn a_job_is_accepted_run_and_still_known_when_done() {
    let public = start_controller(500).await;
    let client = Client::default();
    tokio::spawn(run_agent(client.clone(), public));
    let ask = |method: Method, path: &'static str, body: Value| {
        let client = client.clone();
        async move {
            let answer = call(&client, public, method, path, &body).await;
            answer.map_or((0, Value::Null), |a| (a.status.as_u16(), decode::<Value>(&a.body).unwrap_or(Value::Null)))
        }
    };
    assert!(becomes_healthy(&client, public).await);
    let job = json!({"id": "wk-000001", "lot": "c", "shape": "array", "rank": "standard", "pieces": 3, "cores": 1.0,
        "gpus": 0.0, "memory_gb": 1.0, "bundle": "i", "pull_gb": 0.1, "one_zone": false, "spread": false,
        "driftwood": false, "expect_s": 1.0, "stow_every_s": 0.0, "stow_s": 0.0});
    let mut accepted = (0, Value::Null);
    for _ in 0..40 {
        accepted = ask(Method::POST, "/api/jobs", job.clone()).await;
        if accepted.0 == 201 {
            break;
        }
        // The controller can't accept jobs before it knows the machine types.
        assert_eq!(accepted.0, 503);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(accepted, (201, json!({"id": "wk-000001", "status": "queued"})));
    let mut state = Value::Null;
    for _ in 0..100 {
        let (status, body) = ask(Method::GET, "/api/jobs/wk-000001", Value::Null).await;
        assert_eq!(status, 200);
        state = body["status"].clone();
        if state == "done" {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(state, "done");
    let done = json!({"id": "wk-000001", "status": "done"});
    assert_eq!(ask(Method::POST, "/api/jobs", job).await, (200, done.clone()));
    assert_eq!(ask(Method::POST, "/api/jobs/wk-000001/abort", Value::Null).await, (200, done));
    assert_eq!(ask(Method::GET, "/api/jobs/wk-000002", Value::Null).await.0, 404);
    assert_eq!(ask(Method::POST, "/api/jobs", json!({"id": "wk-000003"})).await.0, 400);
    assert_eq!(ask(Method::POST, "/api/jobs", json!([1])).await.0, 400);
    assert_eq!(ask(Method::GET, "/nowhere", Value::Null).await.0, 404);
    assert_eq!(ask(Method::GET, "/checkin", Value::Null).await.0, 405);
}
