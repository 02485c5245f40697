//! Requests that the controller has received and not answered yet.

use crate::coordination::{AgentAnswer, Input, RequestId, UserAnswer};
use crate::protocol::peer::CancellationAck;
use crate::transport::request_queue::{
    QueuedCancellationNotice, QueuedHeartbeat, QueuedUserRequest, ReceivedHeartbeat,
};
use std::collections::HashMap;
use tokio::sync::oneshot;

/// Channels for the answers, by request id.
#[derive(Default)]
pub(super) struct PendingResponses {
    last_request_id: RequestId,
    users: HashMap<RequestId, oneshot::Sender<UserAnswer>>,
    agents: HashMap<RequestId, oneshot::Sender<AgentAnswer>>,
    peers: HashMap<RequestId, oneshot::Sender<CancellationAck>>,
}

impl PendingResponses {
    /// Registers a user's request and returns it as an input for the controller.
    pub(super) fn register_user_request(&mut self, queued: QueuedUserRequest) -> Input {
        let request_id = self.next_request_id();
        self.users.insert(request_id, queued.reply_to);
        Input::User(request_id, queued.request)
    }

    /// Registers a heartbeat and returns it as an input for the controller.
    pub(super) fn register_heartbeat(&mut self, queued: QueuedHeartbeat) -> Input {
        let request_id = self.next_request_id();
        self.agents.insert(request_id, queued.reply_to);
        let ReceivedHeartbeat { heartbeat, is_relayed } = queued.request;
        Input::Heartbeat { request_id, heartbeat, relayed: is_relayed }
    }

    /// Registers a sibling's cancellation notice and returns it as an input for the controller.
    pub(super) fn register_notice(&mut self, queued: QueuedCancellationNotice) -> Input {
        let request_id = self.next_request_id();
        self.peers.insert(request_id, queued.reply_to);
        Input::Peer(request_id, queued.request)
    }

    /// Answers a user.
    pub(super) fn answer_user(&mut self, request_id: RequestId, answer: UserAnswer) {
        send(self.users.remove(&request_id), answer);
    }

    /// Answers an agent.
    pub(super) fn answer_agent(&mut self, request_id: RequestId, answer: AgentAnswer) {
        send(self.agents.remove(&request_id), answer);
    }

    /// Answers a sibling.
    pub(super) fn answer_peer(&mut self, request_id: RequestId, answer: CancellationAck) {
        send(self.peers.remove(&request_id), answer);
    }

    fn next_request_id(&mut self) -> RequestId {
        self.last_request_id += 1;
        self.last_request_id
    }
}

fn send<Answer>(reply_to: Option<oneshot::Sender<Answer>>, answer: Answer) {
    if let Some(reply_to) = reply_to {
        // Fails if the request has timed out or the client has disconnected; the answer is then dropped.
        let _ = reply_to.send(answer);
    }
}
