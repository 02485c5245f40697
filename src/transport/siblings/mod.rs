//! Calls to the other controllers.
//!
//! Owns: the siblings' addresses, the results of checks whether they reach the store (`health`), and the agents that
//! were recently redirected to them (`redirects`). Guarantees: a sibling's answer is returned unchanged, so that it
//! contains the sibling's fencing token.

mod health;
mod redirects;

pub(super) use health::{NodeHealth, monitor_store_reachability};
use redirects::RedirectHistory;

use super::client::{Client, HttpResponse};
use super::reply::Reply;
use crate::protocol::agent::HEARTBEAT_PATH;
use crate::protocol::peer::{
    CANCELLED_PATH, CancellationAck, CancellationNotice, RELAY_PATH, RelayedRequest, RelayedResponse,
};
use crate::settings::Sibling;
use crate::types::MachineId;
use hyper::{Method, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;

const RELAY_TIMEOUT: Duration = Duration::from_millis(1500);
const CANCELLATION_NOTICE_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum number of siblings to which a user's request is forwarded before it is refused.
const MAX_RELAY_ATTEMPTS: usize = 2;

/// Client of the other controllers.
pub(super) struct Siblings {
    client: Client,
    /// Siblings in the order of the settings.
    peers: Vec<Sibling>,
    redirects: RedirectHistory,
}

impl Siblings {
    /// Creates a client of the siblings that the settings name.
    pub(super) fn new(peers: Vec<Sibling>, client: Client) -> Siblings {
        Siblings { client, peers, redirects: RedirectHistory::default() }
    }

    fn address_of(&self, label: &str) -> Option<SocketAddr> {
        self.peers.iter().find(|sibling| sibling.label == label).map(|sibling| sibling.address)
    }

    /// Notifies a sibling of cancelled jobs. Returns `None` if no valid answer is received; the sibling may have
    /// received the notice nevertheless.
    pub(super) async fn notify_of_cancellations(
        &self,
        label: &str,
        notice: &CancellationNotice,
    ) -> Option<CancellationAck> {
        let address = self.address_of(label)?;
        let body = bitcode::encode(notice);
        let call = self.client.call(address, Method::POST, CANCELLED_PATH, body, CANCELLATION_NOTICE_TIMEOUT);
        let response = call.await.ok()?;
        if response.status == StatusCode::OK { bitcode::decode(&response.body).ok() } else { None }
    }

    /// Forwards a heartbeat to the controller that owns the machine if the agent was recently redirected there and came
    /// back. Such an agent can't reach the owner, but both reach this controller; without forwarding, the agent's lease
    /// would expire.
    pub(super) async fn forward_heartbeat(&self, machine: &MachineId, owner: &str, body: &[u8]) -> Option<Reply> {
        if !self.redirects.was_redirected_recently(machine) {
            return None;
        }
        let address = self.address_of(owner)?;
        let relay = RelayedRequest { path: HEARTBEAT_PATH.to_string(), is_post: true, body: body.to_vec() };
        let response = self.relay(address, bitcode::encode(&relay)).await?;
        let relayed = bitcode::decode::<RelayedResponse>(&response.body).ok()?;
        let is_answered = response.status == StatusCode::OK && relayed.status == StatusCode::OK.as_u16();
        is_answered.then(|| Reply::new(StatusCode::OK, relayed.body))
    }

    /// Forwards a user's request to the candidates in turn until one serves it. Returns `None` if none does.
    pub(super) async fn forward_user_request(
        &self,
        candidates: Vec<SocketAddr>,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Option<Reply> {
        let relay = RelayedRequest { path: path.to_string(), is_post: method == Method::POST, body: body.to_vec() };
        let message = bitcode::encode(&relay);
        for address in candidates.into_iter().take(MAX_RELAY_ATTEMPTS) {
            let Some(response) = self.relay(address, message.clone()).await else { continue };
            let Ok(relayed) = bitcode::decode::<RelayedResponse>(&response.body) else { continue };
            if response.status == StatusCode::OK && relayed.status != StatusCode::SERVICE_UNAVAILABLE.as_u16() {
                return Some(relayed.into());
            }
        }
        None
    }

    async fn relay(&self, address: SocketAddr, message: Vec<u8>) -> Option<HttpResponse> {
        self.client.call(address, Method::POST, RELAY_PATH, message, RELAY_TIMEOUT).await.ok()
    }
}
