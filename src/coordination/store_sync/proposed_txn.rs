//! Transactions being put together: compare-and-swap on the versions that the replica has.

use crate::protocol::store::{Precondition, Txn, Write};
use crate::storage::Replica;
use crate::storage::schema::Key;
use ciborium::Value;

/// Preconditions a transaction may hold for each write the store allows.
pub(crate) const PRECONDITIONS_PER_WRITE: usize = 4;

/// A transaction being put together; its preconditions name the versions the replica has.
#[derive(Default)]
pub(crate) struct ProposedTxn {
    txn: Txn,
}

impl ProposedTxn {
    /// The key must still be as the replica has it.
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

    /// Number of writes.
    pub(crate) fn write_count(&self) -> usize {
        self.txn.writes.len()
    }

    /// Number of preconditions.
    pub(crate) fn precondition_count(&self) -> usize {
        self.txn.preconditions.len()
    }

    /// Adds another transaction's preconditions, except those that it has already, and its writes.
    pub(super) fn append(&mut self, other: ProposedTxn) {
        for precondition in other.txn.preconditions {
            if !self.txn.preconditions.contains(&precondition) {
                self.txn.preconditions.push(precondition);
            }
        }
        self.txn.writes.extend(other.txn.writes);
    }

    /// The transaction as it is sent.
    pub(super) fn into_txn(self) -> Txn {
        self.txn
    }
}
