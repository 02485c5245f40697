//! Construction of transactions: compare-and-swap on the versions in the replica.

use crate::coordination::store_sync::txn_limits::TxnSize;
use crate::protocol::store::{Precondition, Txn, Write};
use crate::storage::Replica;
use crate::storage::schema::Key;
use ciborium::Value;

/// A transaction under construction, whose preconditions name the versions in the replica.
#[derive(Default)]
pub(crate) struct ProposedTxn {
    txn: Txn,
    preconditions_size: TxnSize,
    writes_size: TxnSize,
}

impl ProposedTxn {
    /// Adds the precondition that the key still has the version in the replica.
    pub(crate) fn unchanged(&mut self, replica: &Replica, key: Key) {
        let version = replica.version(&key);
        self.require(Precondition { key: key.to_string(), version });
    }

    fn require(&mut self, precondition: Precondition) {
        if !self.txn.preconditions.contains(&precondition) {
            self.preconditions_size = self.preconditions_size.plus(TxnSize::of_precondition(&precondition));
            self.txn.preconditions.push(precondition);
        }
    }

    fn write(&mut self, write: Write) {
        self.writes_size = self.writes_size.plus(TxnSize::of_write(&write));
        self.txn.writes.push(write);
    }

    /// Writes a key.
    pub(crate) fn put(&mut self, key: Key, value: Value) {
        self.write(Write::Put { key: key.to_string(), value, lease: None });
    }

    /// Writes a key that the store deletes when the lease expires.
    pub(crate) fn put_bound(&mut self, key: Key, value: Value, lease: u64) {
        self.write(Write::Put { key: key.to_string(), value, lease: Some(lease) });
    }

    /// Deletes a key.
    pub(crate) fn delete(&mut self, key: Key) {
        self.write(Write::Delete { key: key.to_string() });
    }

    /// Returns its size.
    pub(crate) fn size(&self) -> TxnSize {
        self.preconditions_size.plus(self.writes_size)
    }

    /// Returns an upper bound of the size of this and another transaction together.
    pub(crate) fn size_with(&self, other: &ProposedTxn) -> TxnSize {
        self.size().plus(other.size())
    }

    /// Returns the number of writes.
    pub(crate) fn write_count(&self) -> usize {
        self.txn.writes.len()
    }

    /// Adds the writes of another transaction, and those of its preconditions that this one doesn't have yet.
    pub(crate) fn append(&mut self, other: ProposedTxn) {
        for precondition in other.txn.preconditions {
            self.require(precondition);
        }
        self.writes_size = self.writes_size.plus(other.writes_size);
        self.txn.writes.extend(other.txn.writes);
    }

    /// Returns the transaction in the form in which it is sent.
    pub(super) fn into_txn(self) -> Txn {
        self.txn
    }
}
