//! Handler of agents' heartbeats.

use super::ServerContext;
use super::routes::Origin;
use crate::coordination::AgentAnswer;
use crate::protocol::agent::{Heartbeat, HeartbeatResponse, Redirect};
use crate::protocol::{decode, encode};
use crate::transport::reply::Reply;
use crate::transport::request_queue::ReceivedHeartbeat;
use crate::types::{FencingToken, MachineId};
use hyper::StatusCode;

/// Passes a heartbeat to the controller and replies with its answer. If another controller owns the machine, replies
/// with a redirect, or with the answer of the owner if the heartbeat is forwarded.
pub(super) async fn handle(context: &ServerContext, body: &[u8], origin: Origin) -> Reply {
    let Ok(heartbeat) = decode::<Heartbeat>(body) else {
        return Reply::malformed();
    };
    let machine = heartbeat.machine.clone();
    let received = ReceivedHeartbeat { heartbeat, is_relayed: origin == Origin::Sibling };
    match context.heartbeats.request(received).await {
        Ok(AgentAnswer::Response(response)) => success_reply(&response),
        Ok(AgentAnswer::Redirect(owner)) => {
            if let Some(reply) = forward_to_owner(context, &machine, owner.as_deref(), body, origin).await {
                return reply;
            }
            Reply::new(StatusCode::MISDIRECTED_REQUEST, encode(&Redirect { controller: owner }))
        }
        Ok(AgentAnswer::Unavailable) | Err(_) => Reply::unavailable(1),
    }
}

fn success_reply(response: &HeartbeatResponse) -> Reply {
    debug_assert!(response.fencing_token > FencingToken(0));
    Reply::new(StatusCode::OK, encode(response))
}

async fn forward_to_owner(
    context: &ServerContext,
    machine: &MachineId,
    owner: Option<&str>,
    body: &[u8],
    origin: Origin,
) -> Option<Reply> {
    match (origin, owner) {
        (Origin::Client, Some(owner)) => context.siblings.forward_heartbeat(machine, owner, body).await,
        (Origin::Client, None) | (Origin::Sibling, _) => None,
    }
}
