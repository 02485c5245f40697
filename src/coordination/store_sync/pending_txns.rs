//! Transactions that have not ended yet, each with its purpose and its stage.

use crate::coordination::api::submissions::SubmittedJob;
use crate::coordination::store_sync::evidence::{Evidence, LogicalTime};
use crate::coordination::store_sync::proposed_txn::ProposedTxn;
use crate::coordination::store_sync::txn_limits::TxnSize;
use crate::protocol::store::Txn;
use crate::types::{JobId, MachineId, Micros, Revision};
use std::collections::BTreeMap;

/// A kind of change to machine records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MachineChange {
    /// Registers new machines.
    Register,
    /// Cordons machines for a move to another shard, moves them, or uncordons them after all.
    Move,
    /// Retires machines that are no longer needed.
    Retire,
    /// Replaces lost machines.
    Replace,
    /// Raises the fencing token of commands to machines.
    FencingToken,
}

/// The purpose of a transaction.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum TxnPurpose {
    /// Accepts jobs.
    Submit(Vec<SubmittedJob>),
    /// Stores parts of the dependency list with this name.
    DependencyListParts(String),
    /// Cancels a job.
    Cancel(JobId),
    /// Writes this controller's own record.
    ControllerRecord,
    /// Acquires, renews or releases a role.
    Role,
    /// Changes the records of machines.
    Machines(MachineChange, Vec<MachineId>),
    /// Records task attempts, progress and outcomes of jobs.
    Jobs(Vec<JobId>),
    /// Records the condition of a zone as evaluated by a shard's holder, by zone and shard.
    ZoneView((String, u32)),
    /// Deletes records that are no longer needed.
    GarbageCollection,
    /// Records the cancellation of jobs that depend on a cancelled job.
    CascadedCancellations,
}

impl TxnPurpose {
    /// Returns the name under which its writes are counted.
    pub(super) fn name(&self) -> &'static str {
        match self {
            TxnPurpose::Submit(_) | TxnPurpose::DependencyListParts(_) => "submissions",
            TxnPurpose::Cancel(_) => "cancellations",
            TxnPurpose::ControllerRecord | TxnPurpose::Role => "role leases",
            TxnPurpose::Machines(MachineChange::Register, _) => "machines registered",
            TxnPurpose::Machines(MachineChange::Move, _) => "machines moved",
            TxnPurpose::Machines(MachineChange::Retire, _) => "machines retired",
            TxnPurpose::Machines(MachineChange::Replace, _) => "machines replaced",
            TxnPurpose::Machines(MachineChange::FencingToken, _) => "machine fencing tokens",
            TxnPurpose::Jobs(_) => "jobs",
            TxnPurpose::ZoneView(_) => "zones",
            TxnPurpose::GarbageCollection => "garbage collection",
            TxnPurpose::CascadedCancellations => "cascaded cancellations",
        }
    }

    /// Returns whether a user waits for it.
    pub(super) fn is_urgent(&self) -> bool {
        match self {
            TxnPurpose::Submit(_) | TxnPurpose::DependencyListParts(_) | TxnPurpose::Cancel(_) => true,
            TxnPurpose::ControllerRecord
            | TxnPurpose::Role
            | TxnPurpose::Machines(..)
            | TxnPurpose::Jobs(_)
            | TxnPurpose::ZoneView(_)
            | TxnPurpose::GarbageCollection
            | TxnPurpose::CascadedCancellations => false,
        }
    }
}

/// The stage of a pending transaction.
#[derive(Clone, Copy)]
pub(super) enum TxnStage {
    /// Waits for the write budget. Transactions are sent in the order of `send_by`.
    Queued { send_by: Micros },
    /// Sent and not answered yet.
    InFlight,
    /// Refused or without an answer; to be sent again at this time.
    RetryAt(Micros),
    /// A precondition did not hold at this revision; waits for the replica to reach it.
    AwaitingReplica(Revision),
    /// Not sent, because the store would refuse it for good; ends at this time.
    Withheld { until: Micros },
}

/// A transaction that has not ended.
pub(super) struct PendingTxn {
    pub(super) txn: Txn,
    pub(super) size: TxnSize,
    pub(super) purpose: TxnPurpose,
    pub(super) stage: TxnStage,
    pub(super) attempt_count: u32,
    /// Logical time at which it was last sent.
    pub(super) sent_at: LogicalTime,
}

impl PendingTxn {
    pub(super) fn new(proposal: ProposedTxn, purpose: TxnPurpose, stage: TxnStage) -> PendingTxn {
        let size = proposal.size();
        let txn = proposal.into_txn();
        PendingTxn { txn, size, purpose, stage, attempt_count: 0, sent_at: LogicalTime::default() }
    }

    fn is_retry_due(&self, now: Micros) -> bool {
        matches!(self.stage, TxnStage::RetryAt(at) if at <= now)
    }

    /// Returns the revision at which a precondition did not hold, once the replica has reached it.
    fn reached_conflict(&self, applied: Revision) -> Option<Revision> {
        match self.stage {
            TxnStage::AwaitingReplica(revision) => (revision <= applied).then_some(revision),
            TxnStage::Queued { .. } | TxnStage::InFlight | TxnStage::RetryAt(_) | TxnStage::Withheld { .. } => None,
        }
    }
}

/// The end of a transaction, with the evidence that it provides.
pub(crate) enum TxnEnd {
    /// It was committed.
    Committed(Evidence),
    /// A precondition did not hold, and the replica has reached the revision at which it did not.
    Refused(Evidence),
    /// It may or may not have been committed.
    Unknown,
    /// The store refuses it for good. `may_be_smaller` says whether the limits were reduced, so that the same change can
    /// be proposed in smaller parts.
    Rejected {
        /// Whether the limits were reduced.
        may_be_smaller: bool,
    },
}

impl TxnEnd {
    /// Returns whether it was certainly committed.
    pub(crate) fn is_committed(&self) -> bool {
        matches!(self, TxnEnd::Committed(_))
    }

    /// Returns the evidence that its answer provides about the stored records.
    pub(crate) fn evidence(&self) -> Option<&Evidence> {
        match self {
            TxnEnd::Committed(evidence) | TxnEnd::Refused(evidence) => Some(evidence),
            TxnEnd::Unknown | TxnEnd::Rejected { .. } => None,
        }
    }
}

/// The transactions that have not ended, by ticket.
#[derive(Default)]
pub(super) struct PendingTxns {
    by_ticket: BTreeMap<u64, PendingTxn>,
}

impl PendingTxns {
    pub(super) fn insert(&mut self, ticket: u64, pending: PendingTxn) {
        self.by_ticket.insert(ticket, pending);
    }

    pub(super) fn get(&self, ticket: u64) -> Option<&PendingTxn> {
        self.by_ticket.get(&ticket)
    }

    pub(super) fn get_mut(&mut self, ticket: u64) -> Option<&mut PendingTxn> {
        self.by_ticket.get_mut(&ticket)
    }

    pub(super) fn remove(&mut self, ticket: u64) -> Option<PendingTxn> {
        self.by_ticket.remove(&ticket)
    }

    pub(super) fn has_purpose(&self, purpose: &TxnPurpose) -> bool {
        self.by_ticket.values().any(|pending| pending.purpose == *purpose)
    }

    /// Returns the queued transaction that should be sent first: the time by which to send it, and its ticket.
    pub(super) fn first_queued(&self) -> Option<(Micros, u64)> {
        let queued = self.by_ticket.iter().filter_map(|(ticket, pending)| match pending.stage {
            TxnStage::Queued { send_by } => Some((send_by, *ticket)),
            TxnStage::InFlight | TxnStage::RetryAt(_) | TxnStage::AwaitingReplica(_) | TxnStage::Withheld { .. } => {
                None
            }
        });
        queued.min()
    }

    /// Returns whether any transaction has conflicted with a change that the replica does not contain yet.
    pub(super) fn is_any_awaiting_replica(&self) -> bool {
        self.by_ticket.values().any(|pending| matches!(pending.stage, TxnStage::AwaitingReplica(_)))
    }

    /// Returns the tickets of the transactions that are withheld no longer than `now`.
    pub(super) fn withheld_until(&self, now: Micros) -> Vec<u64> {
        let is_over = |pending: &PendingTxn| matches!(pending.stage, TxnStage::Withheld { until } if until <= now);
        self.by_ticket.iter().filter(|(_, pending)| is_over(pending)).map(|(ticket, _)| *ticket).collect()
    }

    pub(super) fn due_for_retry(&self, now: Micros) -> Vec<u64> {
        let due = self.by_ticket.iter().filter(|(_, pending)| pending.is_retry_due(now));
        due.map(|(ticket, _)| *ticket).collect()
    }

    /// Returns the tickets and revisions of conflicts whose revision the replica has reached.
    pub(super) fn reached_conflicts(&self, applied: Revision) -> Vec<(u64, Revision)> {
        let pending = self.by_ticket.iter();
        pending.filter_map(|(ticket, pending)| Some((*ticket, pending.reached_conflict(applied)?))).collect()
    }
}
