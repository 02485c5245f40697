//! What reaches a controller's core and what it has carried out: commands in, effects out.

use crate::protocol::cloud::{MachineList, MachineNames, MachineTypes, Rental};
use crate::protocol::peer::{CancellationAck, Cancelled};
use crate::protocol::state::{Changes, Page, Txn};
use crate::protocol::user::{JobStatus, Submission};
use crate::protocol::worker::{DirectOrders, Orders, Report};
use crate::units::{JobId, MachineId, Micros};
use std::net::SocketAddr;

/// The time as one process sees it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock {
    /// Steady, since the process began.
    pub steady: Micros,
    /// Time of day.
    pub wall: Micros,
}

/// Names somebody who waits for an answer.
pub type Waiter = u64;

#[derive(Clone, Debug)]
pub enum UserRequest {
    Submit(Box<Submission>),
    Get(JobId),
    Cancel(JobId),
}

/// How a call ended that got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Surely not carried out: refused, or never sent.
    NotDone,
    /// May have been carried out, or may be later.
    Unknown,
}

#[derive(Clone, Debug)]
pub enum TxnOutcome {
    Committed(u64),
    Conflict(u64),
    /// The session named in it has ended.
    NoLease,
    /// The service says the request itself is wrong.
    Invalid,
    /// Refused because the service's limit is reached.
    Limited,
    Failed(Failure),
}

#[derive(Clone, Debug)]
pub enum ReadOutcome<T> {
    Got(T),
    TooOld,
    Failed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadKind {
    /// The long-standing watch.
    Watch,
    /// On behalf of waiting users, or to learn why a transaction failed.
    Fresh,
}

#[derive(Clone, Debug)]
pub enum LeaseOutcome {
    New(u64),
    Touched,
    Gone,
    Failed,
}

#[derive(Clone, Debug)]
pub enum OrdersOutcome {
    Done(Report),
    /// Nothing executed, but this is how the worker stands.
    Rejected(Report),
    Failed(Failure),
}

#[derive(Clone, Debug)]
pub enum CloudOutcome {
    Types(MachineTypes),
    List(MachineList),
    Rented(MachineNames),
    NoCapacity,
    Deleted,
    Failed,
}

#[derive(Clone, Debug)]
pub enum CloudCall {
    Types,
    List { after: Option<MachineId> },
    Rent(Rental),
    Delete(Vec<MachineId>),
}

#[derive(Debug)]
pub enum Command {
    User(Waiter, UserRequest),
    /// `relayed`: it came through a sibling, as the worker could not reach us itself.
    Report {
        waiter: Waiter,
        report: Report,
        relayed: bool,
    },
    Txn {
        ticket: u64,
        outcome: TxnOutcome,
    },
    Changes {
        kind: ReadKind,
        outcome: ReadOutcome<Changes>,
    },
    Page(ReadOutcome<Page>),
    Lease(LeaseOutcome),
    Orders {
        machine: MachineId,
        outcome: OrdersOutcome,
    },
    Cloud {
        call: u64,
        outcome: CloudOutcome,
    },
    /// A sibling tells of cancelled jobs.
    Peer(Waiter, Cancelled),
    /// What a sibling says that we told; nothing if no answer came.
    PeerAnswer {
        call: u64,
        answer: Option<CancellationAck>,
    },
    Tick,
}

impl Command {
    /// An answer of the state service that shows that it serves us.
    pub(super) fn is_word_of_state(&self) -> bool {
        match self {
            Command::Txn { outcome, .. } => !matches!(outcome, TxnOutcome::Failed(_)),
            Command::Changes { outcome, .. } => !matches!(outcome, ReadOutcome::Failed),
            Command::Page(outcome) => !matches!(outcome, ReadOutcome::Failed),
            Command::Lease(outcome) => !matches!(outcome, LeaseOutcome::Failed),
            _ => false,
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum UserAnswer {
    Accepted(JobStatus),
    Status(JobStatus),
    Malformed,
    CanNeverRun(&'static str),
    NotFound,
    /// Not now; the client is told when to come back.
    Unavailable {
        retry_after_s: u32,
    },
}

#[derive(Clone, Debug)]
pub enum WorkerAnswer {
    Orders(Orders),
    Redirect(Option<String>),
    Unavailable,
}

#[derive(Clone, Debug)]
pub enum StateCall {
    /// `urgent`: a user waits for it.
    Txn {
        ticket: u64,
        txn: Txn,
        urgent: bool,
    },
    Changes {
        kind: ReadKind,
        after: u64,
        wait_ms: u64,
    },
    Page {
        after: Option<String>,
    },
    NewLease {
        ttl_ms: u64,
    },
    Touch {
        lease: u64,
    },
}

#[derive(Clone, Debug)]
pub enum Effect {
    AnswerUser(Waiter, UserAnswer),
    AnswerWorker(Waiter, WorkerAnswer),
    State(StateCall),
    Orders {
        machine: MachineId,
        addr: SocketAddr,
        orders: DirectOrders,
    },
    Cloud {
        call: u64,
        request: CloudCall,
    },
    /// To the sibling of that label.
    Peer {
        call: u64,
        to: String,
        message: Cancelled,
    },
    AnswerPeer(Waiter, CancellationAck),
}
