//! The order in which writes are sent: the write budget goes to the write with the earliest time by which it should be
//! sent.

use crate::coordination::store_sync::StoreSync;
use crate::coordination::store_sync::pending_txns::{PendingTxn, TxnPurpose, TxnStage};
use crate::coordination::store_sync::proposed_txn::ProposedTxn;
use crate::coordination::{Controller, Effect, StoreCall};
use crate::types::Micros;
use std::collections::VecDeque;

/// A kind of write on which the write budget can be spent next.
enum NextWrite {
    /// A queued transaction, by its ticket.
    Queued(u64),
    /// Moves of machines to other shards.
    ShardMoves,
    /// Jobs whose stored records are not up to date.
    JobRecords,
}

impl StoreSync {
    /// Adds a pending transaction and returns its ticket.
    fn add_txn(&mut self, proposal: ProposedTxn, purpose: TxnPurpose, stage: TxnStage) -> u64 {
        let ticket = self.next_ticket();
        self.txns.insert(ticket, PendingTxn::new(proposal, purpose, stage));
        ticket
    }

    /// Marks a transaction as in flight, spends its writes from the write budget, and returns the call that sends it.
    /// Returns `None` if the transaction must not be sent.
    fn start_txn(&mut self, ticket: u64, now: Micros) -> Option<StoreCall> {
        if self.withhold_if_refusable(ticket, now) {
            return None;
        }
        let pending = self.txns.get_mut(ticket)?;
        pending.stage = TxnStage::InFlight;
        pending.sent_at = self.logical_clock.tick();
        pending.attempt_count += 1;
        let write_count = pending.txn.writes.len();
        self.write_budget.spend(now, write_count);
        self.write_budget.count_writes(pending.purpose.name(), write_count);
        let (txn, urgent) = (pending.txn.clone(), pending.purpose.is_urgent());
        Some(StoreCall::Txn { ticket, txn, urgent })
    }
}

impl Controller {
    /// Queues a transaction for the write budget. Transactions on roles and controller records are sent at once,
    /// because everything else depends on them.
    pub(crate) fn submit_txn(&mut self, proposal: ProposedTxn, purpose: TxnPurpose) {
        let max_delay_ms = match purpose {
            TxnPurpose::ControllerRecord | TxnPurpose::Role => return self.send_txn(proposal, purpose),
            TxnPurpose::Submit(_) | TxnPurpose::DependencyListParts(_) | TxnPurpose::Cancel(_) => {
                self.policy.user_patience_ms
            }
            TxnPurpose::Machines(..) | TxnPurpose::ZoneView(_) => self.policy.machine_patience_ms,
            TxnPurpose::Jobs(_) => self.policy.batch_patience_ms,
            TxnPurpose::GarbageCollection | TxnPurpose::CascadedCancellations => self.policy.tidy_patience_ms,
        };
        let send_by = self.now() + Micros::from_millis(max_delay_ms);
        self.store.add_txn(proposal, purpose, TxnStage::Queued { send_by });
    }

    /// Sends a new transaction at once.
    pub(crate) fn send_txn(&mut self, proposal: ProposedTxn, purpose: TxnPurpose) {
        let ticket = self.store.add_txn(proposal, purpose, TxnStage::InFlight);
        self.send_pending_txn(ticket);
    }

    /// Sends a pending transaction, for the first time or again.
    pub(super) fn send_pending_txn(&mut self, ticket: u64) {
        let call = self.store.start_txn(ticket, self.clock.steady);
        self.out.extend(call.map(Effect::Store));
    }

    /// Spends the write budget on queued transactions, shard moves and job records, in the order of the times by which
    /// they should be sent. Transactions with job records are built only here, so that they contain everything there is
    /// to record. Due submissions go first, because a single write accepts many of them.
    pub(crate) fn dispatch_writes(&mut self) {
        let now = self.now();
        if self.api.submissions().is_batch_due(now, self.store.write_budget.batch_interval()) {
            self.write_submission_batch();
        }
        if !self.store.write_budget.allows(now) {
            return;
        }
        let mut due: VecDeque<_> = self.due_records().into();
        while self.store.write_budget.allows(now) {
            let queued = self.store.txns.first_queued().map(|(send_by, ticket)| (send_by, NextWrite::Queued(ticket)));
            let moves = self.fleet.shard_moves_due_at().map(|send_by| (send_by, NextWrite::ShardMoves));
            let records = due.front().map(|first| (first.send_by, NextWrite::JobRecords));
            // On a tie the first wins: a queued transaction is ready to be sent.
            match [queued, moves, records].into_iter().flatten().min_by_key(|(send_by, _)| *send_by) {
                Some((_, NextWrite::Queued(ticket))) => self.send_pending_txn(ticket),
                Some((_, NextWrite::ShardMoves)) => self.send_shard_moves(),
                Some((_, NextWrite::JobRecords)) => self.send_job_records(&mut due),
                None => break,
            }
        }
    }
}
