//! The replica of the store, and all reads from the store and writes to it.
//!
//! Owns `StoreSync`: the replica, the initial sync, the watch and fresh reads, pending transactions, the write budget
//! and garbage collection. Reads from the jobs which changes have to be recorded. Guarantees that the replica only
//! moves forward, that a transaction with an unknown result is sent again unchanged until its result is known or nobody
//! waits for it any more, and that no request is answered from a replica older than `evidence` permits.

mod dispatcher;
pub(crate) mod evidence;
mod garbage_collection;
mod initial_sync;
mod job_records;
mod pending_txns;
mod proposed_txn;
mod reads;
mod rejections;
pub mod txn_limits;
mod txn_outcomes;
pub mod write_budget;

pub(crate) use pending_txns::{MachineChange, TxnEnd, TxnPurpose};
pub(crate) use proposed_txn::ProposedTxn;

use crate::settings::{Platform, Policy};
use crate::storage::{Replica, schema};
use crate::types::Micros;
use evidence::{LogicalClock, LogicalTime};
use txn_limits::TxnLimits;

/// This controller's state about the store: the replica, and pending reads and writes.
pub(crate) struct StoreSync {
    /// Read by all components; changed here and by cancellations of which a sibling notifies this controller.
    pub(crate) replica: Replica,
    /// Orders received requests and sent calls.
    logical_clock: LogicalClock,
    initial_sync: initial_sync::InitialSync,
    reads: reads::Reads,
    txns: pending_txns::PendingTxns,
    write_budget: write_budget::WriteBudget,
    garbage_collection: garbage_collection::GarbageCollection,
    last_ticket: u64,
    /// Time of the store's last answer other than a refusal.
    last_answered_at: Micros,
    tasks_per_chunk: u32,
    txn_limits: TxnLimits,
    rejections: rejections::Rejections,
}

impl StoreSync {
    /// Creates the state before the initial sync, with the limits of the deployment.
    pub(crate) fn new(platform: &Platform, policy: &Policy) -> StoreSync {
        let limits = &platform.deployment.store;
        StoreSync {
            replica: Replica::default(),
            logical_clock: LogicalClock::default(),
            initial_sync: initial_sync::InitialSync::default(),
            reads: reads::Reads::default(),
            txns: pending_txns::PendingTxns::default(),
            write_budget: write_budget::WriteBudget::new(
                limits.write_rps,
                limits.min_write_rps(),
                platform.deployment.controller_count,
                policy.state_limits_together,
            ),
            garbage_collection: garbage_collection::GarbageCollection::default(),
            last_ticket: 0,
            last_answered_at: Micros::ZERO,
            tasks_per_chunk: schema::chunk_tasks(limits.value_kb),
            txn_limits: TxnLimits::of(limits),
            rejections: rejections::Rejections::default(),
        }
    }

    /// Returns whether the initial sync is done. Before that, the replica need not match any revision of the store.
    pub(crate) fn is_synced(&self) -> bool {
        self.initial_sync.synced_at().is_some()
    }

    /// Returns the time since the end of the initial sync, or `None` if it is not done.
    pub(crate) fn time_since_sync(&self, now: Micros) -> Option<Micros> {
        self.initial_sync.synced_at().map(|at| now.since(at))
    }

    /// Requests a fresh read as soon as possible.
    pub(crate) fn request_fresh_read(&mut self) {
        self.reads.request_fresh();
    }

    /// Returns a logical time that is later than those of all earlier requests and calls.
    pub(crate) fn next_logical_time(&mut self) -> LogicalTime {
        self.logical_clock.tick()
    }

    /// Returns a new ticket, which matches a call with its answer.
    pub(crate) fn next_ticket(&mut self) -> u64 {
        self.last_ticket += 1;
        self.last_ticket
    }

    /// Continues the tickets of an earlier state, so that answers to its calls match none of this state's calls.
    pub(crate) fn continue_tickets_of(&mut self, earlier: &StoreSync) {
        self.last_ticket = earlier.last_ticket;
    }

    /// Records the time of an answer of the store that is not a refusal.
    pub(crate) fn record_answer(&mut self, now: Micros) {
        self.last_answered_at = now;
    }

    /// Returns the time since the store's last answer other than a refusal.
    pub(crate) fn time_since_answer(&self, now: Micros) -> Micros {
        now.since(self.last_answered_at)
    }

    /// Returns the number of tasks in each run chunk of a job.
    pub(crate) fn tasks_per_chunk(&self) -> u32 {
        self.tasks_per_chunk
    }

    /// Returns the limits of one transaction.
    pub(crate) fn txn_limits(&self) -> TxnLimits {
        self.txn_limits
    }

    /// Returns whether there is little else to write, on this controller and on its siblings.
    pub(crate) fn has_spare_write_budget(&mut self, now: Micros) -> bool {
        self.write_budget.is_idle(now)
    }

    /// Logs the writes by purpose, at regular intervals.
    pub(crate) fn log_write_usage(&mut self, now: Micros) {
        self.write_budget.log_usage(now);
    }

    /// Returns whether a transaction that records cascaded cancellations is pending.
    pub(crate) fn is_cascade_pending(&self) -> bool {
        self.txns.has_purpose(&TxnPurpose::CascadedCancellations)
    }
}
