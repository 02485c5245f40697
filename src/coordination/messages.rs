//! What reaches the controller, and what it has carried out: inputs in, effects out.

use crate::protocol::cloud::{InstanceRequest, MachineList, MachineNames, MachineTypes};
use crate::protocol::peer::{CancellationAck, CancellationNotice};
use crate::protocol::store::{Changes, Page, Txn};
use crate::protocol::user::{JobStatus, Submission};
use crate::protocol::worker::{DirectCommands, Heartbeat, HeartbeatResponse};
use crate::types::{JobId, MachineId, Micros};
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

/// What a user asks for.
#[derive(Clone, Debug)]
pub enum UserRequest {
    /// To accept a job.
    Submit(Box<Submission>),
    /// The status of a job.
    Get(JobId),
    /// To cancel a job.
    Cancel(JobId),
}

/// How a call ended without an answer that counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It was certainly not carried out, and never will be: refused, or never sent.
    NotDone,
    /// It may have been carried out, or may be later.
    Unknown,
}

/// How a transaction ended.
#[derive(Clone, Debug)]
pub enum TxnOutcome {
    /// It was carried out, at this revision.
    Committed(u64),
    /// A precondition did not hold, as of this revision.
    Conflict(u64),
    /// The session named in it has expired.
    NoLease,
    /// The store says that the request itself is malformed.
    Invalid,
    /// It was refused, as the store's rate limit is reached.
    Limited,
    /// The call got no answer that counts.
    Failed(Failure),
}

/// How a read ended.
#[derive(Clone, Debug)]
pub enum ReadOutcome<T> {
    /// With this result.
    Got(T),
    /// The store no longer has the changes since that revision.
    TooOld,
    /// Without an answer, or refused.
    Failed,
}

/// What a read is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadKind {
    /// The long-standing watch.
    Watch,
    /// On behalf of waiting users, or to learn why a transaction failed.
    Fresh,
}

/// How a call about the session ended.
#[derive(Clone, Debug)]
pub enum LeaseOutcome {
    /// A new one, by its number.
    New(u64),
    /// It has its full time again.
    KeptAlive,
    /// It has ended.
    Gone,
    /// Without an answer, or refused.
    Failed,
}

/// How a direct message to a worker ended.
#[derive(Clone, Debug)]
pub enum DirectCommandsOutcome {
    /// Executed; the worker's heartbeat after it.
    Done(Heartbeat),
    /// Nothing executed, but this is how the worker stands.
    Rejected(Heartbeat),
    /// Without an answer that tells.
    Failed(Failure),
}

/// How a call to the cloud ended.
#[derive(Clone, Debug)]
pub enum CloudOutcome {
    /// The types of machines.
    Types(MachineTypes),
    /// A page of the list of machines.
    List(MachineList),
    /// Instances that were created.
    InstancesCreated(MachineNames),
    /// None of this kind is to be had now.
    NoCapacity,
    /// The machines and all on them are gone.
    Deleted,
    /// Without an answer, or refused.
    Failed,
}

/// What the cloud is asked for.
#[derive(Clone, Debug)]
pub enum CloudCall {
    /// The types of machines and their prices.
    Types,
    /// A page of the list of machines.
    List {
        /// Begins after this machine.
        after: Option<MachineId>,
    },
    /// To create instances.
    CreateInstances(InstanceRequest),
    /// To delete machines.
    Delete(Vec<MachineId>),
}

/// What reaches the controller.
#[derive(Debug)]
pub enum Input {
    /// A user's request.
    User(RequestId, UserRequest),
    /// `relayed`: it came through a sibling, as the worker could not reach us itself.
    Heartbeat {
        /// Who waits for the answer.
        request_id: RequestId,
        /// What the worker says.
        heartbeat: Heartbeat,
        /// Whether it came through a sibling.
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
    /// A page of the first reading.
    Page {
        /// Which call it answers.
        ticket: u64,
        /// How it ended.
        outcome: ReadOutcome<Page>,
    },
    /// A call about the session has ended.
    Lease {
        /// Which one.
        ticket: u64,
        /// How it ended.
        outcome: LeaseOutcome,
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
    /// A sibling tells of cancelled jobs.
    Peer(RequestId, CancellationNotice),
    /// What a sibling says that we told; nothing if no answer came.
    PeerAnswer {
        /// Which notice it answers.
        call: u64,
        /// What the sibling says.
        answer: Option<CancellationAck>,
    },
    /// Time has passed.
    Tick,
}

impl Input {
    /// An answer of the store that shows that it serves us.
    pub(super) fn is_store_answer(&self) -> bool {
        match self {
            Input::Txn { outcome, .. } => !matches!(outcome, TxnOutcome::Failed(_)),
            Input::Changes { outcome, .. } => !matches!(outcome, ReadOutcome::Failed),
            Input::Page { outcome, .. } => !matches!(outcome, ReadOutcome::Failed),
            Input::Lease { outcome, .. } => !matches!(outcome, LeaseOutcome::Failed),
            _ => false,
        }
    }
}

/// What a user is told.
#[derive(Clone, Debug, PartialEq)]
pub enum UserAnswer {
    /// The job is taken, and not over.
    Accepted(JobId),
    /// How it stands.
    Status(JobStatus),
    /// The request has no valid form.
    Malformed,
    /// No machine or limit will ever allow it, and why.
    CanNeverRun(&'static str),
    /// Never accepted.
    NotFound,
    /// Not now; the client is told when to come back.
    Unavailable {
        /// When to ask again.
        retry_after_s: u32,
    },
}

/// What a worker is told in answer to its heartbeat.
#[derive(Clone, Debug)]
pub enum WorkerAnswer {
    /// The heartbeat counts, and this is to be done.
    Response(HeartbeatResponse),
    /// To report to that controller, or to any other.
    Redirect(Option<String>),
    /// Not now.
    Unavailable,
}

/// What the store is asked for.
#[derive(Clone, Debug)]
pub enum StoreCall {
    /// `urgent`: a user waits for it.
    Txn {
        /// Names the answer.
        ticket: u64,
        /// What is to be carried out.
        txn: Txn,
        /// Whether a user waits.
        urgent: bool,
    },
    /// What has changed.
    Changes {
        /// Names the answer.
        ticket: u64,
        /// What it is for.
        kind: ReadKind,
        /// Since which revision.
        after: u64,
        /// How long to wait for a change.
        wait_ms: u64,
    },
    /// One page of all keys.
    Page {
        /// Names the answer.
        ticket: u64,
        /// Begins after this key.
        after: Option<String>,
    },
    /// A new session.
    GrantLease {
        /// Names the answer.
        ticket: u64,
        /// How long it lasts without renewal.
        ttl_ms: u64,
    },
    /// The session's full time again.
    KeepAlive {
        /// Names the answer.
        ticket: u64,
        /// Which one.
        lease: u64,
    },
}

/// What the controller has carried out for it.
#[derive(Clone, Debug)]
pub enum Effect {
    /// An answer to a user.
    AnswerUser(RequestId, UserAnswer),
    /// An answer to a worker.
    AnswerWorker(RequestId, WorkerAnswer),
    /// A call to the store.
    Store(StoreCall),
    /// A direct message to a worker.
    DirectCommands {
        /// Which machine.
        machine: MachineId,
        /// Where its worker listens.
        addr: SocketAddr,
        /// What it is told.
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
        /// What it is told.
        message: CancellationNotice,
    },
    /// An answer to a sibling.
    AnswerPeer(RequestId, CancellationAck),
}
