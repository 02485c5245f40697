//! The HTTP side that users, workers and siblings see.

use super::client::Client;
use super::siblings::{
    NodeStatus, RedirectedWorkers, STATUS_PATH, cancellation_noticed, forward_heartbeat, pass_on, relayed,
};
use crate::coordination::{UserAnswer, UserRequest, WorkerAnswer};
use crate::protocol::peer::{CANCELLED_PATH, CancellationAck, Cancelled};
use crate::protocol::user::{self, JobState, JobStatus, Refusal};
use crate::protocol::worker::{Heartbeat, HeartbeatResponse, Redirect};
use crate::protocol::{BODY_LIMIT, decode, encode};
use crate::types::{FencingToken, JobId};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// A user's request for the owner of all state, with the way back.
pub struct UserAsk {
    /// What the user asks for.
    pub request: UserRequest,
    /// Where the answer goes.
    pub back: oneshot::Sender<UserAnswer>,
}

/// A worker's heartbeat for the owner of all state, with the way back.
pub struct WorkerAsk {
    /// What the worker says.
    pub heartbeat: Heartbeat,
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
pub(super) const ANSWER_LIMIT: Duration = Duration::from_millis(3500);
const BODY_TIME: Duration = Duration::from_secs(5);
const HEAD_TIME: Duration = Duration::from_secs(75);
const HEAD_TIME_CROWDED: Duration = Duration::from_secs(2);

/// What all connections share.
pub struct Gate {
    /// Workers that come back although they were sent elsewhere.
    pub redirected: RedirectedWorkers,
    /// Users' requests.
    pub users: mpsc::Sender<UserAsk>,
    /// Workers' heartbeats.
    pub workers: mpsc::Sender<WorkerAsk>,
    /// Siblings' messages.
    pub peers: mpsc::Sender<PeerAsk>,
    /// What this controller can do.
    pub status: NodeStatus,
    /// The other controllers, by label.
    pub siblings: Vec<(String, SocketAddr)>,
    /// For what is passed on to them.
    pub client: Client,
}

/// An answer before it becomes a response.
pub(super) struct Plain {
    pub status: u16,
    pub retry_after_s: Option<u32>,
    pub body: Vec<u8>,
}

impl Plain {
    pub fn new(status: u16, body: Vec<u8>) -> Plain {
        Plain { status, retry_after_s: None, body }
    }

    pub fn error(status: u16, error: &str) -> Plain {
        Plain::new(status, encode(&Refusal { error }))
    }

    pub fn unavailable(retry_after_s: u32) -> Plain {
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

    /// Above half workers are asked to connect anew for their next heartbeat, which is seconds away.
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
        return if gate.status.healthy() { Plain::new(200, encode(&true)) } else { Plain::unavailable(1) };
    }
    if peers && path == STATUS_PATH {
        let reaches = gate.status.reaches_store.load(Ordering::Relaxed);
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
        return cancellation_noticed(gate, &body).await;
    }
    route(gate, &method, &path, &body, !peers).await
}

/// `relay`: what can't be served here may be passed to a sibling.
pub(super) async fn route(gate: &Gate, method: &Method, path: &str, body: &[u8], relay: bool) -> Plain {
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
    let Ok(heartbeat) = decode::<Heartbeat>(body) else {
        return Plain::error(400, "malformed");
    };
    let machine = heartbeat.machine.clone();
    let (back, answer) = oneshot::channel();
    if gate.workers.send(WorkerAsk { heartbeat, relayed: !relay, back }).await.is_err() {
        return Plain::unavailable(1);
    }
    match timeout(ANSWER_LIMIT, answer).await {
        Ok(Ok(WorkerAnswer::Response(HeartbeatResponse { fencing_token, commands }))) => {
            debug_assert!(fencing_token > FencingToken(0));
            Plain::new(200, encode(&HeartbeatResponse { fencing_token, commands }))
        }
        Ok(Ok(WorkerAnswer::Redirect(controller))) => {
            if relay
                && let Some(owner) = &controller
                && gate.redirected.came_back(&machine)
                && let Some(answer) = forward_heartbeat(gate, owner, body).await
            {
                return answer;
            }
            Plain::new(421, encode(&Redirect { controller }))
        }
        _ => Plain::unavailable(1),
    }
}
