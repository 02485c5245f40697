//! What reaches the controller, and what it has carried out: inputs in, effects out.

mod agent;
mod cloud;
mod store;
mod user;

pub use agent::{AgentAnswer, DirectCommandsOutcome};
pub use cloud::{CloudCall, CloudOutcome};
pub use store::{ReadKind, ReadOutcome, SessionOutcome, StoreCall, TxnOutcome};
pub use user::{UserAnswer, UserRequest};

use crate::protocol::agent::{DirectCommands, Heartbeat};
use crate::protocol::peer::{CancellationAck, CancellationNotice};
use crate::protocol::store::{Changes, Page};
use crate::types::{MachineId, Micros};
use std::net::SocketAddr;

/// The time as one process sees it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock {
    /// Steady, since the process began.
    pub steady: Micros,
    /// Time of day.
    pub wall: Micros,
}

/// Names a request of a user, an agent or a sibling until it is answered.
pub type RequestId = u64;

/// How a call ended without an answer that counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// It was certainly not carried out, and never will be: refused, or never sent.
    NotExecuted,
    /// It may have been carried out, or may be later.
    Indeterminate,
}

/// What reaches the controller.
#[derive(Debug)]
pub enum Input {
    /// A user's request.
    User(RequestId, UserRequest),
    /// A heartbeat of an agent.
    Heartbeat {
        /// Names the heartbeat until it is answered.
        request_id: RequestId,
        /// The heartbeat.
        heartbeat: Heartbeat,
        /// Whether a sibling forwarded it, as the agent could not reach this controller.
        relayed: bool,
    },
    /// A transaction has ended.
    Txn {
        /// Which one.
        ticket: u64,
        /// How.
        outcome: TxnOutcome,
    },
    /// A read of changes has ended.
    Changes {
        /// Which one.
        ticket: u64,
        /// How it ended.
        outcome: ReadOutcome<Changes>,
    },
    /// A page of the initial sync has been read, or could not be.
    Page {
        /// Which call it answers.
        ticket: u64,
        /// How it ended.
        outcome: ReadOutcome<Page>,
    },
    /// A call about the session has ended.
    Session {
        /// Which one.
        ticket: u64,
        /// How it ended.
        outcome: SessionOutcome,
    },
    /// A direct message has ended.
    DirectCommands {
        /// To which machine it went.
        machine: MachineId,
        /// How it ended.
        outcome: DirectCommandsOutcome,
    },
    /// A call to the cloud has ended.
    Cloud {
        /// Which one.
        call: u64,
        /// How.
        outcome: CloudOutcome,
    },
    /// A sibling's notice of cancelled jobs.
    Peer(RequestId, CancellationNotice),
    /// A sibling has answered a notice of cancellations, or the call has failed.
    PeerAnswer {
        /// Which notice it answers.
        call: u64,
        /// Its answer, if one came.
        answer: Option<CancellationAck>,
    },
    /// Time has passed.
    Tick,
}

impl Input {
    /// Whether it is an answer of the store that shows that the store serves this controller.
    pub(super) fn is_store_answer(&self) -> bool {
        match self {
            Input::Txn { outcome, .. } => !matches!(outcome, TxnOutcome::Failed(_)),
            Input::Changes { outcome, .. } => !matches!(outcome, ReadOutcome::Failed),
            Input::Page { outcome, .. } => !matches!(outcome, ReadOutcome::Failed),
            Input::Session { outcome, .. } => !matches!(outcome, SessionOutcome::Failed),
            _ => false,
        }
    }
}

/// What the controller has carried out for it; the outcome comes back as an [`Input`].
#[derive(Clone, Debug)]
pub enum Effect {
    /// An answer to a user.
    AnswerUser(RequestId, UserAnswer),
    /// An answer to an agent.
    AnswerAgent(RequestId, AgentAnswer),
    /// A call to the store.
    Store(StoreCall),
    /// A direct message to an agent.
    DirectCommands {
        /// Which machine.
        machine: MachineId,
        /// Where its agent listens.
        addr: SocketAddr,
        /// The commands.
        commands: DirectCommands,
    },
    /// A call to the cloud.
    Cloud {
        /// Names the answer.
        call: u64,
        /// What is asked for.
        request: CloudCall,
    },
    /// To the sibling of that label.
    Peer {
        /// Names the answer.
        call: u64,
        /// The sibling's label.
        to: String,
        /// The notice.
        message: CancellationNotice,
    },
    /// An answer to a sibling.
    AnswerPeer(RequestId, CancellationAck),
}
