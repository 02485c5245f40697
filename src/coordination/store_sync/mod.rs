//! The replica of the store, and everything that is asked of the store or written to it.
//!
//! Owns `StoreSync`: the replica, the initial sync, the watch and fresh reads, pending transactions, the write budget
//! and garbage collection. Reads the jobs for what is to be recorded of them. Promises that the replica only moves
//! forward, that a transaction in doubt is sent again unchanged until its end is known or nobody waits for it, and that
//! no request is answered by a replica older than what `evidence` allows.

mod dispatcher;
pub(crate) mod evidence;
mod garbage_collection;
mod initial_sync;
mod job_records;
mod pending_txns;
mod proposed_txn;
mod reads;
mod txn_outcomes;
pub mod write_budget;

pub(crate) use pending_txns::{MachineChange, TxnEnd, TxnPurpose};
pub(crate) use proposed_txn::{PRECONDITIONS_PER_WRITE, ProposedTxn};

use crate::settings::{Platform, Policy};
use crate::storage::{Replica, schema};
use crate::types::Micros;
use evidence::{LogicalClock, LogicalTime};

/// What this controller knows of the store, and what it is about to ask or write.
pub(crate) struct StoreSync {
    /// Read by all parts; changed here, and by cancellations that a sibling tells of.
    pub(crate) replica: Replica,
    /// The order in which requests come and calls are sent.
    logical_clock: LogicalClock,
    initial_sync: initial_sync::InitialSync,
    reads: reads::Reads,
    txns: pending_txns::PendingTxns,
    write_budget: write_budget::WriteBudget,
    garbage_collection: garbage_collection::GarbageCollection,
    last_ticket: u64,
    /// Last answer of the store that was no refusal.
    last_answered_at: Micros,
    tasks_per_chunk: u32,
}

impl StoreSync {
    /// Nothing read yet, within the limits of the deployment.
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
        }
    }

    /// Whether the initial sync is done: before, the replica is no state that the store ever had.
    pub(crate) fn is_synced(&self) -> bool {
        self.initial_sync.synced_at().is_some()
    }

    /// How long ago the initial sync was done; nothing if it is not.
    pub(crate) fn time_since_sync(&self, now: Micros) -> Option<Micros> {
        self.initial_sync.synced_at().map(|at| now.since(at))
    }

    /// Has the replica brought up to date as soon as possible.
    pub(crate) fn request_fresh_read(&mut self) {
        self.reads.request_fresh();
    }

    /// A point in the order of requests and calls, later than all before.
    pub(crate) fn next_logical_time(&mut self) -> LogicalTime {
        self.logical_clock.tick()
    }

    /// Names a call, so that its answer is not taken for another's.
    pub(crate) fn next_ticket(&mut self) -> u64 {
        self.last_ticket += 1;
        self.last_ticket
    }

    /// Goes on with the tickets of an earlier state, so that answers to its calls match nothing.
    pub(crate) fn continue_tickets_of(&mut self, earlier: &StoreSync) {
        self.last_ticket = earlier.last_ticket;
    }

    /// The store has answered, and not with a refusal.
    pub(crate) fn record_answer(&mut self, now: Micros) {
        self.last_answered_at = now;
    }

    /// How long ago the store last answered.
    pub(crate) fn time_since_answer(&self, now: Micros) -> Micros {
        now.since(self.last_answered_at)
    }

    /// Number of tasks in each chunk of a job's records.
    pub(crate) fn tasks_per_chunk(&self) -> u32 {
        self.tasks_per_chunk
    }

    /// Whether there is little else to write, here and at the other controllers.
    pub(crate) fn has_spare_write_budget(&mut self, now: Micros) -> bool {
        self.write_budget.is_idle(now)
    }

    /// Logs every so often what writes were for.
    pub(crate) fn log_write_usage(&mut self, now: Micros) {
        self.write_budget.log_usage(now);
    }

    /// Whether cascaded cancellations are just being recorded.
    pub(crate) fn is_cascade_pending(&self) -> bool {
        self.txns.has_purpose(&TxnPurpose::CascadedCancellations)
    }
}
