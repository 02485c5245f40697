//! Reads a request's body and routes it by listener, path and method.

use super::{ListenerKind, ServerContext, heartbeats, peer_requests, user_requests};
use crate::protocol::agent::HEARTBEAT_PATH;
use crate::protocol::peer::{CANCELLED_PATH, RELAY_PATH, STORE_REACHABILITY_PATH};
use crate::protocol::{BODY_LIMIT, HEALTH_PATH, encode};
use crate::transport::reply::Reply;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use std::time::Duration;
use tokio::time::timeout;

const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Limit of siblings' messages, which contain the body of a request of a user or an agent and further fields.
const PEER_BODY_LIMIT: usize = BODY_LIMIT * 2;

/// A request with its body read in full.
pub(super) struct ReceivedRequest<'a> {
    pub(super) method: &'a Method,
    pub(super) path: &'a str,
    pub(super) body: &'a [u8],
}

/// Sender from which this controller received a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// The client itself. If this controller can't serve the request, it may forward it to a sibling.
    Client,
    /// A sibling that forwarded the request. It is not forwarded again.
    Sibling,
}

/// Serves one request.
pub(super) async fn handle(context: &ServerContext, request: Request<Incoming>, kind: ListenerKind) -> Reply {
    let method = request.method().clone();
    let path = request.uri().path().to_string();
    if method == Method::GET && path == HEALTH_PATH {
        return health(context);
    }
    match kind {
        ListenerKind::Public => {
            let body = match read_body(request, BODY_LIMIT).await {
                Ok(body) => body,
                Err(refusal) => return refusal,
            };
            route(context, ReceivedRequest { method: &method, path: &path, body: &body }, Origin::Client).await
        }
        ListenerKind::Peers if path == STORE_REACHABILITY_PATH => peer_requests::store_reachability(context),
        ListenerKind::Peers => {
            let body = match read_body(request, PEER_BODY_LIMIT).await {
                Ok(body) => body,
                Err(refusal) => return refusal,
            };
            route_peer(context, ReceivedRequest { method: &method, path: &path, body: &body }).await
        }
    }
}

fn health(context: &ServerContext) -> Reply {
    if context.health.is_healthy() { Reply::new(StatusCode::OK, encode(&true)) } else { Reply::unavailable(1) }
}

async fn read_body(request: Request<Incoming>, max_bytes: usize) -> Result<Bytes, Reply> {
    match timeout(BODY_TIMEOUT, Limited::new(request.into_body(), max_bytes).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(_)) => Err(Reply::error(StatusCode::BAD_REQUEST, "the body can't be read or is too large")),
        Err(_) => Err(Reply::error(StatusCode::REQUEST_TIMEOUT, "the body took too long")),
    }
}

async fn route_peer(context: &ServerContext, request: ReceivedRequest<'_>) -> Reply {
    match request.path {
        RELAY_PATH => peer_requests::relayed_request(context, request.body).await,
        CANCELLED_PATH => peer_requests::cancellation_notice(context, request.body).await,
        _ => route(context, request, Origin::Sibling).await,
    }
}

/// Routes a request of a user or an agent.
pub(super) async fn route(context: &ServerContext, request: ReceivedRequest<'_>, origin: Origin) -> Reply {
    match request.path {
        HEARTBEAT_PATH if request.method == Method::POST => heartbeats::handle(context, request.body, origin).await,
        HEARTBEAT_PATH | HEALTH_PATH => Reply::method_not_allowed(),
        _ => user_requests::handle(context, request, origin).await,
    }
}
