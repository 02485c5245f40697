//! The HTTP side that users, workers and siblings see.

use super::client::Client;
use crate::coordination::{UserAnswer, UserRequest, WorkerAnswer};
use crate::protocol::peer::{CANCELLED_PATH, CancellationAck, Cancelled, Relay, Relayed};
use crate::protocol::user::{self, JobState, JobStatus, Refusal};
use crate::protocol::worker::{Orders, Redirect, Report};
use crate::protocol::{BODY_LIMIT, decode, encode};
use crate::units::{JobId, MachineId, Term};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout};

/// A user's request for the owner of all state, with the way back.
pub struct UserAsk {
    /// What the user asks for.
    pub request: UserRequest,
    /// Where the answer goes.
    pub back: oneshot::Sender<UserAnswer>,
}

/// A worker's report for the owner of all state, with the way back.
pub struct WorkerAsk {
    /// What the worker says.
    pub report: Report,
    /// Whether it came through a sibling.
    pub relayed: bool,
    /// Where the answer goes.
    pub back: oneshot::Sender<WorkerAnswer>,
}

/// What a sibling tells, with the way back.
pub struct PeerAsk {
    /// What the sibling tells.
    pub message: Cancelled,
    /// Where the answer goes.
    pub back: oneshot::Sender<CancellationAck>,
}

/// Users give up after 5 s and workers after 4 s.
const ANSWER_LIMIT: Duration = Duration::from_millis(3500);
const BODY_TIME: Duration = Duration::from_secs(5);
const HEAD_TIME: Duration = Duration::from_secs(75);
const HEAD_TIME_CROWDED: Duration = Duration::from_secs(2);
const RELAY_LIMIT: Duration = Duration::from_millis(1500);
const TELL_LIMIT: Duration = Duration::from_millis(700);
const STANDING_PATH: &str = "/standing";
const LOOK_EVERY: Duration = Duration::from_millis(500);
const LOOK_LIMIT: Duration = Duration::from_millis(700);

/// Siblings asked in vain before the user is refused.
const RELAYS_MOST: usize = 2;

/// A worker that comes back so soon after it was sent to its owner could not reach it. After this
/// time it is sent there again.
const RELAY_SPAN: Duration = Duration::from_secs(30);
const BOUNCES_KEPT: usize = 4096;

/// Workers sent on to another controller, with when that was.
#[derive(Default)]
pub struct Bounces(Mutex<HashMap<MachineId, Instant>>);

impl Bounces {
    /// Whether the worker was sent on a short while ago. If not, it is noted that it is now.
    fn came_back(&self, id: &MachineId) -> bool {
        let now = Instant::now();
        let mut map = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if map.len() >= BOUNCES_KEPT {
            map.retain(|_, at| now.duration_since(*at) < RELAY_SPAN);
        }
        match map.get(id).map(|at| now.duration_since(*at)) {
            Some(age) if age < RELAY_SPAN => true,
            _ => {
                map.insert(id.clone(), now);
                false
            }
        }
    }
}

/// How this controller stands, for itself, its siblings and the load balancer.
#[derive(Default)]
pub struct Standing {
    /// It has read the stored records.
    pub ready: AtomicBool,
    /// Whether the state service serves this controller.
    pub reaches_state: AtomicBool,
    /// Only this controller can't reach the state service, so users had better go elsewhere.
    alone: AtomicBool,
    /// Siblings that reach the state service while this controller does not.
    helpers: Mutex<Vec<SocketAddr>>,
}

impl Standing {
    fn healthy(&self) -> bool {
        self.ready.load(Ordering::Relaxed) && !self.alone.load(Ordering::Relaxed)
    }

    fn helpers(&self) -> Vec<SocketAddr> {
        self.helpers.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// While the state service can't be reached, finds out from the siblings whether that is an
/// outage, in which all are as well off as any, or whether this controller is the one cut off.
pub async fn look_at_siblings(gate: Arc<Gate>) {
    loop {
        tokio::time::sleep(LOOK_EVERY).await;
        let standing = &gate.standing;
        let mut helpers = Vec::new();
        let mut alone = false;
        if !standing.reaches_state.load(Ordering::Relaxed) && !gate.siblings.is_empty() {
            let answers: Vec<_> = gate
                .siblings
                .iter()
                .map(|(_, addr)| (*addr, tokio::spawn(reaches_state(gate.client.clone(), *addr))))
                .collect();
            // Cut off from all of them too, it knows nothing of any outage.
            alone = true;
            for (addr, answer) in answers {
                match answer.await {
                    Ok(Some(true)) => helpers.push(addr),
                    Ok(Some(false)) => alone = false,
                    _ => {}
                }
            }
            alone |= !helpers.is_empty();
        }
        if standing.alone.swap(alone, Ordering::Relaxed) != alone {
            tracing::info!(alone, "whether only this controller can't reach the state service");
        }
        *standing.helpers.lock().unwrap_or_else(PoisonError::into_inner) = helpers;
    }
}

async fn reaches_state(client: Client, sibling: SocketAddr) -> Option<bool> {
    let answer = client.call(sibling, Method::GET, STANDING_PATH, Vec::new(), LOOK_LIMIT).await.ok()?;
    bitcode::decode(&answer.body).ok()
}

/// What all connections share.
pub struct Gate {
    /// Workers that come back although they were sent elsewhere.
    pub bounces: Bounces,
    /// Users' requests.
    pub users: mpsc::Sender<UserAsk>,
    /// Workers' reports.
    pub workers: mpsc::Sender<WorkerAsk>,
    /// Siblings' messages.
    pub peers: mpsc::Sender<PeerAsk>,
    /// How this controller stands.
    pub standing: Standing,
    /// The other controllers, by label.
    pub siblings: Vec<(String, SocketAddr)>,
    /// For what is passed on to them.
    pub client: Client,
}

/// An answer before it becomes a response.
struct Plain {
    status: u16,
    retry_after_s: Option<u32>,
    body: Vec<u8>,
}

impl Plain {
    fn new(status: u16, body: Vec<u8>) -> Plain {
        Plain { status, retry_after_s: None, body }
    }

    fn error(status: u16, error: &str) -> Plain {
        Plain::new(status, encode(&Refusal { error }))
    }

    fn unavailable(retry_after_s: u32) -> Plain {
        Plain { retry_after_s: Some(retry_after_s), ..Plain::error(503, "not now") }
    }

    fn response(self) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::new(Bytes::from(self.body)));
        *response.status_mut() = hyper::StatusCode::from_u16(self.status).unwrap_or(hyper::StatusCode::BAD_GATEWAY);
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/cbor"));
        if let Some(s) = self.retry_after_s {
            response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(s));
        }
        response
    }
}

/// Connections open on one listener, and how many there may be.
struct Crowd {
    open: AtomicUsize,
    most: usize,
}

/// Counts one connection for as long as it lives.
struct Place(Arc<Crowd>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Crowd {
    /// A place for one more connection, if there is any.
    fn enter(self: &Arc<Crowd>) -> Option<Place> {
        let open = self.open.fetch_add(1, Ordering::Relaxed) + 1;
        let place = Place(self.clone());
        (open <= self.most).then_some(place)
    }

    /// Above half workers are asked to connect anew for their next report, which is seconds away.
    fn workers_make_way(&self) -> bool {
        self.open.load(Ordering::Relaxed) * 2 > self.most
    }

    /// Above three quarters users are, too.
    fn users_make_way(&self) -> bool {
        self.open.load(Ordering::Relaxed) * 4 > self.most * 3
    }

    /// The last eighth is for workers and the health check: users are told to come back, at once.
    fn is_full(&self) -> bool {
        self.open.load(Ordering::Relaxed) * 8 > self.most * 7
    }

    /// How long a connection may stay without a request.
    fn head_time(&self) -> Duration {
        if self.users_make_way() { HEAD_TIME_CROWDED } else { HEAD_TIME }
    }
}

/// Accepts connections for as long as the process lives; at most `most` at a time. What is beyond
/// is closed at once: if it waited to be accepted, so would the health check, and the load balancer
/// would take the controller out just when it is busiest.
pub async fn serve(listener: TcpListener, gate: Arc<Gate>, most: usize, peers: bool) {
    let crowd = Arc::new(Crowd { open: AtomicUsize::new(0), most });
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                // Out of sockets, mostly: wait for some to close.
                tracing::debug!(error = %e, "accept failed");
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        let Some(place) = crowd.enter() else { continue };
        let _ = stream.set_nodelay(true);
        let (gate, crowd) = (gate.clone(), crowd.clone());
        tokio::spawn(async move {
            let head_time = crowd.head_time();
            let service = service_fn(move |request| {
                let (gate, crowd) = (gate.clone(), crowd.clone());
                async move { Ok::<_, Infallible>(answer(&gate, &crowd, request, peers).await) }
            });
            let mut builder = http1::Builder::new();
            builder.timer(TokioTimer::new()).header_read_timeout(head_time).max_buf_size(32 * 1024);
            let _ = builder.serve_connection(TokioIo::new(stream), service).await;
            drop(place);
        });
    }
}

async fn answer(gate: &Gate, crowd: &Crowd, request: Request<Incoming>, peers: bool) -> Response<Full<Bytes>> {
    let path = request.uri().path();
    let (worker, health) = (path == "/checkin", path == "/healthz");
    let plain = if !worker && !health && !peers && crowd.is_full() {
        Plain::unavailable(1)
    } else {
        plain_answer(gate, request, peers).await
    };
    let mut response = plain.response();
    let close = !peers && if worker { crowd.workers_make_way() } else { crowd.users_make_way() };
    if close {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn plain_answer(gate: &Gate, request: Request<Incoming>, peers: bool) -> Plain {
    let method = request.method().clone();
    let path = request.uri().path().to_string();
    if method == Method::GET && path == "/healthz" {
        return if gate.standing.healthy() { Plain::new(200, encode(&true)) } else { Plain::unavailable(1) };
    }
    if peers && path == STANDING_PATH {
        let reaches = gate.standing.reaches_state.load(Ordering::Relaxed);
        return Plain::new(200, bitcode::encode(&reaches));
    }
    let limit = if peers { BODY_LIMIT * 2 } else { BODY_LIMIT };
    let body = match timeout(BODY_TIME, Limited::new(request.into_body(), limit).collect()).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(_)) => return Plain::error(400, "the body can't be read or is too large"),
        Err(_) => return Plain::error(408, "the body took too long"),
    };
    if peers && path == "/relay" {
        return relayed(gate, &body).await;
    }
    if peers && path == CANCELLED_PATH {
        return told(gate, &body).await;
    }
    route(gate, &method, &path, &body, !peers).await
}

/// A sibling tells of cancelled jobs and waits to hear whether we see to them.
async fn told(gate: &Gate, body: &[u8]) -> Plain {
    let Ok(message) = bitcode::decode::<Cancelled>(body) else {
        return Plain::error(400, "malformed");
    };
    let (back, answer) = oneshot::channel();
    if gate.peers.try_send(PeerAsk { message, back }).is_err() {
        return Plain::unavailable(1);
    }
    match timeout(ANSWER_LIMIT, answer).await {
        Ok(Ok(knows)) => Plain::new(200, bitcode::encode(&knows)),
        _ => Plain::unavailable(1),
    }
}

/// `relay`: what can't be served here may be passed to a sibling.
async fn route(gate: &Gate, method: &Method, path: &str, body: &[u8], relay: bool) -> Plain {
    if path == "/checkin" {
        if method != Method::POST {
            return Plain::error(405, "method not allowed");
        }
        return checkin(gate, body, relay).await;
    }
    if path == "/healthz" {
        return Plain::error(405, "method not allowed");
    }
    let request = match user_request(method, path, body) {
        Ok(request) => request,
        Err(refusal) => return refusal,
    };
    let (back, answer) = oneshot::channel();
    if gate.users.try_send(UserAsk { request, back }).is_err() {
        return Plain::unavailable(2);
    }
    let Ok(Ok(answer)) = timeout(ANSWER_LIMIT, answer).await else {
        return Plain::unavailable(1);
    };
    if relay
        && matches!(answer, UserAnswer::Unavailable { .. })
        && let Some(answer) = pass_on(gate, method, path, body).await
    {
        return answer;
    }
    user_answer(answer)
}

/// What a user asks for, or why that is no request.
fn user_request(method: &Method, path: &str, body: &[u8]) -> Result<UserRequest, Plain> {
    if path == "/api/jobs" {
        if method != Method::POST {
            return Err(Plain::error(405, "method not allowed"));
        }
        let submission = user::submission(body);
        if submission.id.is_none() {
            return Err(Plain::error(400, "malformed"));
        }
        return Ok(UserRequest::Submit(Box::new(submission)));
    }
    let Some(rest) = path.strip_prefix("/api/jobs/") else {
        return Err(Plain::error(404, "no such path"));
    };
    let (id, abort) = match rest.strip_suffix("/abort") {
        Some(id) => (id, true),
        None => (rest, false),
    };
    if id.is_empty() || id.contains('/') {
        return Err(Plain::error(404, "no such path"));
    }
    if *method != if abort { Method::POST } else { Method::GET } {
        return Err(Plain::error(405, "method not allowed"));
    }
    if !user::valid_id(id) {
        return Err(Plain::error(404, "no such job"));
    }
    let id = JobId::new(id);
    Ok(if abort { UserRequest::Cancel(id) } else { UserRequest::Get(id) })
}

fn user_answer(answer: UserAnswer) -> Plain {
    match answer {
        UserAnswer::Accepted(id) => {
            let status = JobStatus { id, state: JobState::Queued, done: None, running: None };
            Plain::new(201, encode(&status))
        }
        UserAnswer::Status(status) => Plain::new(200, encode(&status)),
        UserAnswer::Malformed => Plain::error(400, "malformed"),
        UserAnswer::CanNeverRun(why) => Plain::error(422, why),
        UserAnswer::NotFound => Plain::error(404, "no such job"),
        UserAnswer::Unavailable { retry_after_s } => Plain::unavailable(retry_after_s),
    }
}

async fn checkin(gate: &Gate, body: &[u8], relay: bool) -> Plain {
    let Ok(report) = decode::<Report>(body) else {
        return Plain::error(400, "malformed");
    };
    let machine = report.machine.clone();
    let (back, answer) = oneshot::channel();
    if gate.workers.send(WorkerAsk { report, relayed: !relay, back }).await.is_err() {
        return Plain::unavailable(1);
    }
    match timeout(ANSWER_LIMIT, answer).await {
        Ok(Ok(WorkerAnswer::Orders(Orders { token, orders }))) => {
            debug_assert!(token > Term(0));
            Plain::new(200, encode(&Orders { token, orders }))
        }
        Ok(Ok(WorkerAnswer::Redirect(report_to))) => {
            if relay
                && let Some(owner) = &report_to
                && gate.bounces.came_back(&machine)
                && let Some(answer) = pass_report(gate, owner, body).await
            {
                return answer;
            }
            Plain::new(421, encode(&Redirect { report_to }))
        }
        _ => Plain::unavailable(1),
    }
}

/// Tells a sibling of cancelled jobs. Without an answer nothing is known.
pub async fn tell_sibling(gate: &Gate, label: &str, message: &Cancelled) -> Option<CancellationAck> {
    let (_, addr) = gate.siblings.iter().find(|(sibling, _)| sibling == label)?;
    let body = bitcode::encode(message);
    let answer = gate.client.call(*addr, Method::POST, CANCELLED_PATH, body, TELL_LIMIT).await.ok()?;
    if answer.status == 200 { bitcode::decode(&answer.body).ok() } else { None }
}

/// The worker can't reach its owner but both reach us: without this its lease would run out. The
/// owner's answer carries the owner's token.
async fn pass_report(gate: &Gate, owner: &str, body: &[u8]) -> Option<Plain> {
    let (_, addr) = gate.siblings.iter().find(|(label, _)| label == owner)?;
    let relay = Relay { path: "/checkin".to_string(), post: true, body: body.to_vec() };
    let answer = gate.client.call(*addr, Method::POST, "/relay", bitcode::encode(&relay), RELAY_LIMIT).await.ok()?;
    let relayed = bitcode::decode::<Relayed>(&answer.body).ok()?;
    (answer.status == 200 && relayed.status == 200).then(|| Plain::new(200, relayed.body))
}

/// This controller can't reach the state service; a sibling that is known to is asked instead. The
/// user hears the refusal at once if there is none.
async fn pass_on(gate: &Gate, method: &Method, path: &str, body: &[u8]) -> Option<Plain> {
    let relay = Relay { path: path.to_string(), post: method == Method::POST, body: body.to_vec() };
    let message = bitcode::encode(&relay);
    for addr in gate.standing.helpers().into_iter().take(RELAYS_MOST) {
        let answer = gate.client.call(addr, Method::POST, "/relay", message.clone(), RELAY_LIMIT).await;
        let Ok(answer) = answer else { continue };
        let Ok(relayed) = bitcode::decode::<Relayed>(&answer.body) else { continue };
        if answer.status == 200 && relayed.status != 503 {
            return Some(Plain { status: relayed.status, retry_after_s: relayed.retry_after_s, body: relayed.body });
        }
    }
    None
}

async fn relayed(gate: &Gate, body: &[u8]) -> Plain {
    let Ok(relay) = bitcode::decode::<Relay>(body) else {
        return Plain::error(400, "malformed");
    };
    let method = if relay.post { Method::POST } else { Method::GET };
    let answer = Box::pin(route(gate, &method, &relay.path, &relay.body, false)).await;
    let relayed = Relayed { status: answer.status, retry_after_s: answer.retry_after_s, body: answer.body };
    Plain::new(200, bitcode::encode(&relayed))
}
