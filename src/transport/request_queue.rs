//! Bounded queues between the server, which receives requests, and the main loop, which answers them.

use crate::coordination::{AgentAnswer, UserAnswer, UserRequest};
use crate::protocol::agent::Heartbeat;
use crate::protocol::peer::{CancellationAck, CancellationNotice};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// Timeout of an answer from the main loop. Users give up after 5 s and agents after 4 s.
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

/// Reason why a request was not answered.
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
    /// Creates a queue of at most `capacity` requests, and its receiving end.
    pub(super) fn new(capacity: usize) -> (Self, mpsc::Receiver<QueuedRequest<Request, Answer>>) {
        let (sender, receiver) = mpsc::channel(capacity);
        (RequestQueue(sender), receiver)
    }

    /// Queues a request, or fails if the queue is full, and waits for its answer.
    pub(super) async fn try_request(&self, request: Request) -> Result<Answer, QueueError> {
        let (reply_to, answer) = oneshot::channel();
        self.0.try_send(QueuedRequest { request, reply_to }).map_err(|_| QueueError::Full)?;
        await_answer(answer).await
    }

    /// Queues a request, waiting until there is space in the queue, and waits for its answer.
    pub(super) async fn request(&self, request: Request) -> Result<Answer, QueueError> {
        let (reply_to, answer) = oneshot::channel();
        // Fails only if the main loop has ended.
        self.0.send(QueuedRequest { request, reply_to }).await.map_err(|_| QueueError::Unanswered)?;
        await_answer(answer).await
    }
}

async fn await_answer<Answer>(answer: oneshot::Receiver<Answer>) -> Result<Answer, QueueError> {
    match timeout(ANSWER_TIMEOUT, answer).await {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(_)) | Err(_) => Err(QueueError::Unanswered),
    }
}
