//! Requests that the controller has taken in and not answered yet.

use crate::coordination::{Input, UserAnswer, Waiter, WorkerAnswer};
use crate::protocol::peer::CancellationAck;
use crate::transport::request_queue::{
    QueuedCancellationNotice, QueuedHeartbeat, QueuedUserRequest, ReceivedHeartbeat,
};
use std::collections::HashMap;
use tokio::sync::oneshot;

/// Where the answers go, by the number under which the controller knows each request.
#[derive(Default)]
pub(super) struct PendingResponses {
    last_waiter: Waiter,
    users: HashMap<Waiter, oneshot::Sender<UserAnswer>>,
    agents: HashMap<Waiter, oneshot::Sender<WorkerAnswer>>,
    peers: HashMap<Waiter, oneshot::Sender<CancellationAck>>,
}

impl PendingResponses {
    /// Registers a user's request; the input for the controller.
    pub(super) fn register_user_request(&mut self, queued: QueuedUserRequest) -> Input {
        let waiter = self.next_waiter();
        self.users.insert(waiter, queued.reply_to);
        Input::User(waiter, queued.request)
    }

    /// Registers a heartbeat; the input for the controller.
    pub(super) fn register_heartbeat(&mut self, queued: QueuedHeartbeat) -> Input {
        let waiter = self.next_waiter();
        self.agents.insert(waiter, queued.reply_to);
        let ReceivedHeartbeat { heartbeat, is_relayed } = queued.request;
        Input::Heartbeat { waiter, heartbeat, relayed: is_relayed }
    }

    /// Registers a sibling's cancellation notice; the input for the controller.
    pub(super) fn register_notice(&mut self, queued: QueuedCancellationNotice) -> Input {
        let waiter = self.next_waiter();
        self.peers.insert(waiter, queued.reply_to);
        Input::Peer(waiter, queued.request)
    }

    /// Answers a user.
    pub(super) fn answer_user(&mut self, waiter: Waiter, answer: UserAnswer) {
        send(self.users.remove(&waiter), answer);
    }

    /// Answers an agent.
    pub(super) fn answer_agent(&mut self, waiter: Waiter, answer: WorkerAnswer) {
        send(self.agents.remove(&waiter), answer);
    }

    /// Answers a sibling.
    pub(super) fn answer_peer(&mut self, waiter: Waiter, answer: CancellationAck) {
        send(self.peers.remove(&waiter), answer);
    }

    fn next_waiter(&mut self) -> Waiter {
        self.last_waiter += 1;
        self.last_waiter
    }
}

fn send<Answer>(reply_to: Option<oneshot::Sender<Answer>>, answer: Answer) {
    if let Some(reply_to) = reply_to {
        // Whoever asked may have hung up; then there is nobody to answer.
        let _ = reply_to.send(answer);
    }
}
