//! Construction of transactions: compare-and-swap on the versions in the replica.

use crate::protocol::store::{Precondition, Txn, Write};
use crate::storage::Replica;
use crate::storage::schema::Key;
use ciborium::Value;

/// Maximum number of preconditions of a transaction, for each write that the store allows in it.
pub(crate) const PRECONDITIONS_PER_WRITE: usize = 4;

/// A transaction under construction, whose preconditions name the versions in the replica.
#[derive(Default)]
pub(crate) struct ProposedTxn {
    txn: Txn,
}

impl ProposedTxn {
    /// Adds the precondition that the key still has the version in the replica.
    pub(crate) fn unchanged(&mut self, replica: &Replica, key: Key) {
        let version = replica.version(&key);
        let key = key.to_string();
        if !self.txn.preconditions.iter().any(|precondition| precondition.key == key) {
            self.txn.preconditions.push(Precondition { key, version });
        }
    }

    /// Writes a key.
    pub(crate) fn put(&mut self, key: Key, value: Value) {
        self.txn.writes.push(Write::Put { key: key.to_string(), value, lease: None });
    }

    /// Writes a key that the store deletes when the lease expires.
    pub(crate) fn put_bound(&mut self, key: Key, value: Value, lease: u64) {
        self.txn.writes.push(Write::Put { key: key.to_string(), value, lease: Some(lease) });
    }

    /// Deletes a key.
    pub(crate) fn delete(&mut self, key: Key) {
        self.txn.writes.push(Write::Delete { key: key.to_string() });
    }

    /// Returns the number of writes.
    pub(crate) fn write_count(&self) -> usize {
        self.txn.writes.len()
    }

    /// Returns the number of preconditions.
    pub(crate) fn precondition_count(&self) -> usize {
        self.txn.preconditions.len()
    }

    /// Adds the writes of another transaction, and those of its preconditions that this one doesn't have yet.
    pub(super) fn append(&mut self, other: ProposedTxn) {
        for precondition in other.txn.preconditions {
            if !self.txn.preconditions.contains(&precondition) {
                self.txn.preconditions.push(precondition);
            }
        }
        self.txn.writes.extend(other.txn.writes);
    }

    /// Returns the transaction in the form in which it is sent.
    pub(super) fn into_txn(self) -> Txn {
        self.txn
    }
}
