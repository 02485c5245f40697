//! Handlers of siblings' requests: forwarded requests, cancellation notices, and checks of store reachability.

use super::ServerContext;
use super::routes::{Origin, ReceivedRequest, route};
use crate::protocol::peer::{CancellationNotice, RelayedRequest, RelayedResponse};
use crate::transport::reply::Reply;
use hyper::{Method, StatusCode};

/// Replies whether this controller reaches the store.
pub(super) fn store_reachability(context: &ServerContext) -> Reply {
    Reply::new(StatusCode::OK, bitcode::encode(&context.health.reaches_store()))
}

/// Serves a request that a sibling forwarded.
pub(super) async fn relayed_request(context: &ServerContext, body: &[u8]) -> Reply {
    let Ok(relay) = bitcode::decode::<RelayedRequest>(body) else {
        return Reply::malformed();
    };
    let method = if relay.is_post { Method::POST } else { Method::GET };
    let request = ReceivedRequest { method: &method, path: &relay.path, body: &relay.body };
    let reply = route(context, request, Origin::Sibling).await;
    Reply::new(StatusCode::OK, bitcode::encode(&RelayedResponse::from(reply)))
}

/// Passes a sibling's notice of cancelled jobs to the controller and replies with its acknowledgement.
pub(super) async fn cancellation_notice(context: &ServerContext, body: &[u8]) -> Reply {
    let Ok(notice) = bitcode::decode::<CancellationNotice>(body) else {
        return Reply::malformed();
    };
    match context.cancellation_notices.try_request(notice).await {
        Ok(acknowledgement) => Reply::new(StatusCode::OK, bitcode::encode(&acknowledgement)),
        Err(_) => Reply::unavailable(1),
    }
}
