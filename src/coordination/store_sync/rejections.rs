//! Transactions that the store refuses for good. Each is logged and counted, reduces the limits of the next ones, and is
//! never sent again unchanged.

use crate::coordination::Controller;
use crate::coordination::store_sync::StoreSync;
use crate::coordination::store_sync::pending_txns::{PendingTxn, TxnEnd, TxnPurpose, TxnStage};
use crate::coordination::store_sync::txn_limits::TxnLimit;
use crate::protocol::encode;
use crate::protocol::store::Txn;
use crate::types::Micros;
use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Time after which a transaction that is not sent ends, so that it is not proposed again at once.
const WITHHELD_FOR: Micros = Micros::from_millis(10_000);
/// Number of refused transactions that are remembered; the oldest is forgotten first.
const MAX_REMEMBERED: usize = 256;

/// The reason why a transaction is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WithholdReason {
    /// It exceeds a limit.
    Exceeds(TxnLimit),
    /// The store has refused the same transaction for good.
    RefusedBefore,
}

/// The refused transactions.
#[derive(Default)]
pub(super) struct Rejections {
    /// Number of transactions that the store has refused for good.
    refused_count: u64,
    /// Number of transactions that were not sent because the store would refuse them.
    withheld_count: u64,
    /// Fingerprints of refused transactions.
    refused: VecDeque<u64>,
}

fn fingerprint(txn: &Txn) -> u64 {
    let mut hasher = DefaultHasher::new();
    encode(txn).hash(&mut hasher);
    hasher.finish()
}

impl Rejections {
    fn remember(&mut self, txn: &Txn) {
        self.refused_count += 1;
        self.refused.push_back(fingerprint(txn));
        if self.refused.len() > MAX_REMEMBERED {
            self.refused.pop_front();
        }
    }

    fn is_refused(&self, txn: &Txn) -> bool {
        !self.refused.is_empty() && self.refused.contains(&fingerprint(txn))
    }
}

impl StoreSync {
    /// Returns why a transaction must not be sent, or `None` if it may be. A transaction that was sent without an answer
    /// may always be sent again, because it may have been committed.
    fn reason_to_withhold(&self, pending: &PendingTxn) -> Option<WithholdReason> {
        if pending.attempt_count > 0 {
            return None;
        }
        if let Some(limit) = self.txn_limits.exceeded_by(&pending.size) {
            return Some(WithholdReason::Exceeds(limit));
        }
        self.rejections.is_refused(&pending.txn).then_some(WithholdReason::RefusedBefore)
    }

    /// Withholds a transaction that the store would refuse for good. Returns whether it is withheld.
    pub(super) fn withhold_if_refusable(&mut self, ticket: u64, now: Micros) -> bool {
        let Some(reason) = self.txns.get(ticket).and_then(|pending| self.reason_to_withhold(pending)) else {
            return false;
        };
        self.rejections.withheld_count += 1;
        let Some(pending) = self.txns.get_mut(ticket) else { return false };
        pending.stage = TxnStage::Withheld { until: now + WITHHELD_FOR };
        tracing::error!(
            purpose = pending.purpose.name(),
            ?reason,
            size = ?pending.size,
            withheld_count = self.rejections.withheld_count,
            "transaction not sent, as the store would refuse it for good"
        );
        true
    }

    /// Records that the store has refused a transaction for good. Returns whether smaller transactions are possible.
    fn record_rejection(&mut self, pending: &PendingTxn) -> bool {
        self.rejections.remember(&pending.txn);
        let is_reduced = self.txn_limits.reduce(&pending.size);
        tracing::error!(
            purpose = pending.purpose.name(),
            size = ?pending.size,
            limits = ?self.txn_limits,
            is_reduced,
            refused_count = self.rejections.refused_count,
            "transaction refused by the store for good"
        );
        is_reduced
    }
}

impl Controller {
    /// Handles a transaction that the store has refused for good.
    pub(super) fn txn_rejected(&mut self, ticket: u64) {
        let Some(pending) = self.store.txns.remove(ticket) else { return };
        let is_reduced = self.store.record_rejection(&pending);
        if let TxnPurpose::Jobs(ids) = &pending.purpose {
            self.job_records_rejected(ids, is_reduced);
        }
        self.txn_ended(&pending.purpose, &TxnEnd::Rejected { may_be_smaller: is_reduced });
    }

    /// Ends the transactions that have been withheld for long enough.
    pub(super) fn end_withheld_txns(&mut self) {
        for ticket in self.store.txns.withheld_until(self.now()) {
            let Some(pending) = self.store.txns.remove(ticket) else { continue };
            self.txn_ended(&pending.purpose, &TxnEnd::Rejected { may_be_smaller: false });
        }
    }
}
