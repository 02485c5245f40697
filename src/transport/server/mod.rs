//! The HTTP server for users, agents, siblings and the load balancer.
//!
//! Owns: accepted connections and their limits (`admission`). Reads: [`NodeHealth`], written by the main loop. Routes
//! (`routes`) put requests into the request queues and convert answers to replies; requests that this controller can't
//! serve are forwarded to a sibling.

mod admission;
mod heartbeats;
mod peer_requests;
mod routes;
mod user_requests;

use super::reply::Reply;
use super::request_queue::{ReceivedHeartbeat, RequestQueue};
use super::siblings::{NodeHealth, Siblings};
use crate::coordination::{AgentAnswer, UserAnswer, UserRequest};
use crate::protocol::HEALTH_PATH;
use crate::protocol::agent::HEARTBEAT_PATH;
use crate::protocol::peer::{CancellationAck, CancellationNotice};
use admission::ConnectionLimit;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Pause after a failed accept, which usually means that the process has no free sockets until some are closed.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Maximum size of a connection's read buffer.
const MAX_CONNECTION_BUFFER_BYTES: usize = 32 * 1024;

/// Kind of a listener, by the clients that connect to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListenerKind {
    /// Users, agents and health checks.
    Public,
    /// The other controllers.
    Peers,
}

/// Context that all connections share.
pub(super) struct ServerContext {
    pub(super) user_requests: RequestQueue<UserRequest, UserAnswer>,
    pub(super) heartbeats: RequestQueue<ReceivedHeartbeat, AgentAnswer>,
    pub(super) cancellation_notices: RequestQueue<CancellationNotice, CancellationAck>,
    pub(super) health: Arc<NodeHealth>,
    pub(super) siblings: Arc<Siblings>,
}

/// A listener with its connection limit.
struct Listener {
    context: Arc<ServerContext>,
    connections: Arc<ConnectionLimit>,
    kind: ListenerKind,
}

/// Accepts connections until the process ends, at most `max_connections` at a time. Further connections are closed at
/// once. If they waited to be accepted, the health check would wait, too, and the load balancer would remove the
/// controller just when the load is highest.
pub(super) async fn serve(
    listener: TcpListener,
    context: Arc<ServerContext>,
    max_connections: usize,
    kind: ListenerKind,
) {
    let shared = Arc::new(Listener { context, connections: ConnectionLimit::new(max_connections), kind });
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::debug!(%error, "accept failed");
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                continue;
            }
        };
        let Some(permit) = shared.connections.try_acquire() else { continue };
        // An error is ignored because the option only reduces latency.
        let _ = stream.set_nodelay(true);
        let shared = shared.clone();
        tokio::spawn(async move {
            serve_connection(stream, shared).await;
            drop(permit);
        });
    }
}

async fn serve_connection(stream: TcpStream, listener: Arc<Listener>) {
    let header_timeout = listener.connections.header_timeout();
    let service = service_fn(move |request| {
        let listener = listener.clone();
        async move { Ok::<_, Infallible>(listener.respond(request).await) }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(header_timeout).max_buf_size(MAX_CONNECTION_BUFFER_BYTES);
    // Errors are ignored: a client may disconnect at any time.
    let _ = builder.serve_connection(TokioIo::new(stream), service).await;
}

impl Listener {
    async fn respond(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let path = request.uri().path();
        let is_heartbeat = path == HEARTBEAT_PATH;
        let is_user_request = self.kind == ListenerKind::Public && !is_heartbeat && path != HEALTH_PATH;
        let reply = if is_user_request && self.connections.refuses_users() {
            Reply::unavailable(1)
        } else {
            routes::handle(&self.context, request, self.kind).await
        };
        let mut response = Response::from(reply);
        if self.closes_after_response(is_heartbeat) {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    fn closes_after_response(&self, is_heartbeat: bool) -> bool {
        match self.kind {
            ListenerKind::Peers => false,
            ListenerKind::Public if is_heartbeat => self.connections.closes_agents_connections(),
            ListenerKind::Public => self.connections.closes_users_connections(),
        }
    }
}
