//! Inputs and effects of the controller.

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
    /// Monotonic time since the process started.
    pub steady: Micros,
    /// Time of day.
    pub wall: Micros,
}

/// Identifies a request of a client, an agent or a sibling until it is answered.
pub type RequestId = u64;

/// The failure of a call that got no valid answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// The call was certainly not executed and never will be: it was refused or never sent.
    NotExecuted,
    /// The call may have been executed, or may still be.
    Indeterminate,
}

/// An input of the controller.
#[derive(Debug)]
pub enum Input {
    /// A client's request.
    User(RequestId, UserRequest),
    /// A heartbeat of an agent.
    Heartbeat {
        /// Identifies the heartbeat until it is answered.
        request_id: RequestId,
        /// The heartbeat.
        heartbeat: Heartbeat,
        /// Whether a sibling forwarded it, as the agent could not reach this controller.
        relayed: bool,
    },
    /// The end of a transaction.
    Txn {
        /// The ticket of the call.
        ticket: u64,
        /// The transaction's outcome.
        outcome: TxnOutcome,
    },
    /// The end of a read of changes.
    Changes {
        /// The ticket of the call.
        ticket: u64,
        /// The read's outcome.
        outcome: ReadOutcome<Changes>,
    },
    /// The end of the read of a page during the initial sync.
    Page {
        /// The ticket of the call.
        ticket: u64,
        /// The read's outcome.
        outcome: ReadOutcome<Page>,
    },
    /// The end of a call that begins or renews the session.
    Session {
        /// The ticket of the call.
        ticket: u64,
        /// The call's outcome.
        outcome: SessionOutcome,
    },
    /// The end of a direct message to an agent.
    DirectCommands {
        /// The agent's machine.
        machine: MachineId,
        /// The message's outcome.
        outcome: DirectCommandsOutcome,
    },
    /// The end of a call to the cloud.
    Cloud {
        /// The number of the call.
        call: u64,
        /// The call's outcome.
        outcome: CloudOutcome,
    },
    /// A sibling's notice of cancelled jobs.
    Peer(RequestId, CancellationNotice),
    /// A sibling's answer to a notice of cancelled jobs, or the failure of that call.
    PeerAnswer {
        /// The number of the call.
        call: u64,
        /// The answer; `None` if the call failed.
        answer: Option<CancellationAck>,
    },
    /// A periodic tick of the clock.
    Tick,
}

impl Input {
    /// Whether the input is an answer which shows that the store serves this controller.
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

/// An action that is executed on behalf of the controller; the outcome of a call is returned as an [`Input`].
#[derive(Clone, Debug)]
pub enum Effect {
    /// An answer to a client.
    AnswerUser(RequestId, UserAnswer),
    /// An answer to an agent.
    AnswerAgent(RequestId, AgentAnswer),
    /// A call to the store.
    Store(StoreCall),
    /// A direct message to an agent.
    DirectCommands {
        /// The agent's machine.
        machine: MachineId,
        /// The address on which the agent listens.
        addr: SocketAddr,
        /// The commands.
        commands: DirectCommands,
    },
    /// A call to the cloud.
    Cloud {
        /// The number that identifies the call in its answer.
        call: u64,
        /// The call.
        request: CloudCall,
    },
    /// A notice of cancelled jobs to a sibling.
    Peer {
        /// The number that identifies the call in its answer.
        call: u64,
        /// The sibling's label.
        to: String,
        /// The notice.
        message: CancellationNotice,
    },
    /// An answer to a sibling.
    AnswerPeer(RequestId, CancellationAck),
}
