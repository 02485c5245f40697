//! Bounded queues between the server, which receives requests, and the main loop, which answers them.

use crate::coordination::{AgentAnswer, UserAnswer, UserRequest};
use crate::protocol::agent::Heartbeat;
use crate::protocol::peer::{CancellationAck, CancellationNotice};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// Users give up after 5 s and agents after 4 s, so an answer that takes longer is of no use.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(3500);

/// A request together with the channel for its answer.
pub(super) struct QueuedRequest<Request, Answer> {
    pub(super) request: Request,
    pub(super) reply_to: oneshot::Sender<Answer>,
}

/// A heartbeat as the server received it.
pub(super) struct ReceivedHeartbeat {
    pub(super) heartbeat: Heartbeat,
    /// Whether it came through a sibling.
    pub(super) is_relayed: bool,
}

/// A user's request with the channel for its answer.
pub(super) type QueuedUserRequest = QueuedRequest<UserRequest, UserAnswer>;
/// An agent's heartbeat with the channel for its answer.
pub(super) type QueuedHeartbeat = QueuedRequest<ReceivedHeartbeat, AgentAnswer>;
/// A sibling's cancellation notice with the channel for its answer.
pub(super) type QueuedCancellationNotice = QueuedRequest<CancellationNotice, CancellationAck>;

/// Why a request got no answer.
#[derive(Debug, thiserror::Error)]
pub(super) enum QueueError {
    #[error("the queue is full")]
    Full,
    #[error("no answer in time")]
    Unanswered,
}

/// The sending end of a queue.
pub(super) struct RequestQueue<Request, Answer>(mpsc::Sender<QueuedRequest<Request, Answer>>);

impl<Request, Answer> RequestQueue<Request, Answer> {
    /// A queue of at most so many requests, and its receiving end.
    pub(super) fn new(capacity: usize) -> (Self, mpsc::Receiver<QueuedRequest<Request, Answer>>) {
        let (sender, receiver) = mpsc::channel(capacity);
        (RequestQueue(sender), receiver)
    }

    /// Queues a request, at once or not at all, and waits for its answer.
    pub(super) async fn try_request(&self, request: Request) -> Result<Answer, QueueError> {
        let (reply_to, answer) = oneshot::channel();
        self.0.try_send(QueuedRequest { request, reply_to }).map_err(|_| QueueError::Full)?;
        answer_in_time(answer).await
    }

    /// Waits until there is room in the queue, then for the answer.
    pub(super) async fn request(&self, request: Request) -> Result<Answer, QueueError> {
        let (reply_to, answer) = oneshot::channel();
        // Fails only when the main loop has ended.
        self.0.send(QueuedRequest { request, reply_to }).await.map_err(|_| QueueError::Unanswered)?;
        answer_in_time(answer).await
    }
}

async fn answer_in_time<Answer>(answer: oneshot::Receiver<Answer>) -> Result<Answer, QueueError> {
    match timeout(ANSWER_TIMEOUT, answer).await {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(_)) | Err(_) => Err(QueueError::Unanswered),
    }
}
