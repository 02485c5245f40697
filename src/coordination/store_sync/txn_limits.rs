//! The store's limits on transactions. Whether a transaction is within them is decided only here.
//!
//! All sizes are counted in the JSON form. The limits are those of the settings, with the upcoming ones where these are
//! lower. If the store refuses a transaction for good all the same, the limits are reduced, so that the next ones are
//! smaller.

use crate::coordination::store_sync::ProposedTxn;
use crate::protocol::json_size;
use crate::protocol::store::{Precondition, Txn, Write};
use crate::settings::StoreLimits;

/// Maximum number of preconditions of a transaction, for each write that the store allows in it.
const PRECONDITIONS_PER_WRITE: usize = 4;
/// Maximum length of a key in bytes.
const MAX_KEY_BYTES: usize = 200;
/// Bytes of a transaction besides its preconditions and writes: field names, brackets and braces.
const TXN_OVERHEAD_BYTES: usize = r#"{"if":[],"writes":[]}"#.len();
/// Bytes of a precondition besides its key and version, with a separator.
const PRECONDITION_OVERHEAD_BYTES: usize = r#"{"k":,"mark":},"#.len();
/// Bytes of a write besides its key, value and lease, with a separator.
const PUT_OVERHEAD_BYTES: usize = r#"{"write":,"v":},"#.len();
/// Bytes of the field that names a lease, besides the lease.
const LEASE_OVERHEAD_BYTES: usize = r#","tether":"#.len();
/// Bytes of a deletion besides its key, with a separator.
const DELETE_OVERHEAD_BYTES: usize = r#"{"remove":},"#.len();
/// Bytes reserved for keys and preconditions beside the largest value that a transaction may contain.
const LARGEST_VALUE_RESERVE_BYTES: usize = 2048;
/// Lower bounds of reduced limits: the smallest limits that the settings may state.
const MIN_LIMITS: TxnLimits = TxnLimits { writes: 4, preconditions: 16, bytes: 4096, value_bytes: 1024 };

/// A limit that a transaction exceeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TxnLimit {
    /// Number of writes.
    Writes,
    /// Number of preconditions.
    Preconditions,
    /// Size of the whole transaction.
    TxnBytes,
    /// Size of a value.
    ValueBytes,
    /// Length or characters of a key.
    Key,
}

/// The size of a transaction, or of a part of one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TxnSize {
    /// Number of writes.
    pub writes: usize,
    /// Number of preconditions.
    pub preconditions: usize,
    /// Bytes of all writes and preconditions, each with a separator.
    pub bytes: usize,
    /// Bytes of the largest value.
    pub largest_value_bytes: usize,
    /// Whether a key is too long, empty, or contains a space.
    pub has_invalid_key: bool,
}

/// Limits of one transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TxnLimits {
    /// Maximum number of writes.
    pub writes: usize,
    /// Maximum number of preconditions.
    pub preconditions: usize,
    /// Maximum size in bytes.
    pub bytes: usize,
    /// Maximum size of a value in bytes.
    pub value_bytes: usize,
}

fn is_valid_key(key: &str) -> bool {
    !key.is_empty() && key.len() <= MAX_KEY_BYTES && !key.contains(char::is_whitespace)
}

impl TxnSize {
    /// Returns the size of a transaction.
    pub fn of(txn: &Txn) -> TxnSize {
        let preconditions = txn.preconditions.iter().map(TxnSize::of_precondition);
        let parts = preconditions.chain(txn.writes.iter().map(TxnSize::of_write));
        parts.fold(TxnSize::default(), TxnSize::plus)
    }

    /// Returns the size of a precondition.
    pub fn of_precondition(precondition: &Precondition) -> TxnSize {
        let Precondition { key, version } = precondition;
        TxnSize {
            preconditions: 1,
            bytes: json_size(key) + json_size(version) + PRECONDITION_OVERHEAD_BYTES,
            has_invalid_key: !is_valid_key(key),
            ..TxnSize::default()
        }
    }

    /// Returns the size of a write.
    pub fn of_write(write: &Write) -> TxnSize {
        match write {
            Write::Put { key, value, lease } => {
                let put = TxnSize::of_value(key, json_size(value));
                let lease_bytes = lease.map_or(0, |lease| LEASE_OVERHEAD_BYTES + json_size(&lease));
                TxnSize { bytes: put.bytes + lease_bytes, ..put }
            }
            Write::Delete { key } => TxnSize {
                writes: 1,
                bytes: json_size(key) + DELETE_OVERHEAD_BYTES,
                has_invalid_key: !is_valid_key(key),
                ..TxnSize::default()
            },
        }
    }

    /// Returns the size of a write of a value of this size.
    pub fn of_value(key: &str, value_bytes: usize) -> TxnSize {
        TxnSize {
            writes: 1,
            bytes: json_size(key) + value_bytes + PUT_OVERHEAD_BYTES,
            largest_value_bytes: value_bytes,
            has_invalid_key: !is_valid_key(key),
            ..TxnSize::default()
        }
    }

    /// Returns the size of two parts together.
    #[must_use]
    pub fn plus(self, other: TxnSize) -> TxnSize {
        TxnSize {
            writes: self.writes + other.writes,
            preconditions: self.preconditions + other.preconditions,
            bytes: self.bytes + other.bytes,
            largest_value_bytes: self.largest_value_bytes.max(other.largest_value_bytes),
            has_invalid_key: self.has_invalid_key || other.has_invalid_key,
        }
    }
}

impl TxnLimits {
    /// Returns the limits that the settings state.
    pub fn of(store: &StoreLimits) -> TxnLimits {
        let writes = store.min_txn_ops();
        let bytes = store.txn_bytes();
        TxnLimits {
            writes,
            preconditions: writes * PRECONDITIONS_PER_WRITE,
            bytes,
            value_bytes: store.value_bytes().min(bytes - LARGEST_VALUE_RESERVE_BYTES),
        }
    }

    /// Returns a limit that a transaction of this size exceeds, or `None` if it is within all limits.
    pub fn exceeded_by(&self, size: &TxnSize) -> Option<TxnLimit> {
        if size.has_invalid_key {
            return Some(TxnLimit::Key);
        }
        if size.largest_value_bytes > self.value_bytes {
            return Some(TxnLimit::ValueBytes);
        }
        if size.writes > self.writes {
            return Some(TxnLimit::Writes);
        }
        if size.preconditions > self.preconditions {
            return Some(TxnLimit::Preconditions);
        }
        (size.bytes + TXN_OVERHEAD_BYTES > self.bytes).then_some(TxnLimit::TxnBytes)
    }

    /// Returns whether a transaction of this size is within all limits.
    pub fn admits(&self, size: &TxnSize) -> bool {
        self.exceeded_by(size).is_none()
    }

    /// Adds a part to a transaction if both are within the limits together. Returns whether it was added.
    pub(crate) fn append_within(&self, txn: &mut ProposedTxn, part: ProposedTxn) -> bool {
        let is_admitted = self.admits(&txn.size_with(&part));
        if is_admitted {
            txn.append(part);
        }
        is_admitted
    }

    /// Combines parts into as few transactions as the limits allow, in order, each with the subjects of its parts. A
    /// part that exceeds the limits by itself becomes a transaction of its own, which is not sent.
    pub(crate) fn pack<T>(&self, parts: impl IntoIterator<Item = (T, ProposedTxn)>) -> Vec<(Vec<T>, ProposedTxn)> {
        let mut txns: Vec<(Vec<T>, ProposedTxn)> = Vec::new();
        for (subject, part) in parts {
            match txns.last_mut() {
                Some((subjects, last)) if self.admits(&last.size_with(&part)) => {
                    last.append(part);
                    subjects.push(subject);
                }
                _ => txns.push((vec![subject], part)),
            }
        }
        txns
    }

    /// Reduces the limits after the store has refused a transaction of this size for good. Returns whether any limit
    /// was reduced; if not, smaller transactions are not possible.
    pub fn reduce(&mut self, refused: &TxnSize) -> bool {
        let before = *self;
        let halved = |limit: usize, size: usize, min: usize| limit.min((size / 2).max(min));
        self.bytes = halved(self.bytes, refused.bytes, MIN_LIMITS.bytes);
        if refused.writes > 1 {
            self.writes = halved(self.writes, refused.writes, MIN_LIMITS.writes);
            self.preconditions = self.writes * PRECONDITIONS_PER_WRITE;
        } else {
            self.value_bytes = halved(self.value_bytes, refused.largest_value_bytes, MIN_LIMITS.value_bytes);
        }
        self.value_bytes = self.value_bytes.min(self.bytes - LARGEST_VALUE_RESERVE_BYTES);
        *self != before
    }
}
