//! Limits of the sizes of keys, values and transactions, counted in the JSON form.

use burlhatch::protocol::store::{Txn, Write};
use serde::Serialize;

const MAX_TXN_BYTES: usize = 64 * 1024;
const MAX_KEY_BYTES: usize = 200;
const PRECONDITIONS_PER_WRITE: usize = 4;
const BYTES_PER_KB: usize = 1024;

/// Limits of the sizes of values and transactions. Those of keys are the same everywhere.
#[derive(Clone, Copy, Debug)]
pub struct StoreSizeLimits {
    /// Maximum size of a value in bytes.
    pub value_bytes: usize,
    /// Maximum number of writes in a transaction.
    pub txn_writes: usize,
    /// Maximum size of a transaction in bytes.
    pub txn_bytes: usize,
}

impl Default for StoreSizeLimits {
    fn default() -> StoreSizeLimits {
        StoreSizeLimits::stated(8, 12)
    }
}

impl StoreSizeLimits {
    /// Returns the limits of a deployment whose settings state these for values and writes.
    pub const fn stated(value_kb: usize, txn_writes: usize) -> StoreSizeLimits {
        StoreSizeLimits { value_bytes: value_kb * BYTES_PER_KB, txn_writes, txn_bytes: MAX_TXN_BYTES }
    }

    /// Returns the maximum size of a value in KiB.
    pub fn value_kb(&self) -> f64 {
        self.value_bytes as f64 / BYTES_PER_KB as f64
    }

    /// Returns which limit a transaction exceeds, or `None` if it exceeds none.
    pub fn reason_to_refuse(&self, txn: &Txn) -> Option<String> {
        let size = json_bytes(txn);
        if size > self.txn_bytes {
            return Some(format!("transaction of {size} bytes"));
        }
        if txn.writes.len() > self.txn_writes {
            return Some(format!("transaction with {} writes", txn.writes.len()));
        }
        if txn.preconditions.len() > self.txn_writes * PRECONDITIONS_PER_WRITE {
            return Some(format!("transaction with {} preconditions", txn.preconditions.len()));
        }
        let precondition_keys = txn.preconditions.iter().map(|precondition| &precondition.key);
        let mut keys = txn.writes.iter().map(written_key).chain(precondition_keys);
        if let Some(key) = keys.find(|key| !is_valid_key(key)) {
            return Some(format!("invalid key {key:?}"));
        }
        txn.writes.iter().find_map(|write| self.reason_to_refuse_value(write))
    }

    fn reason_to_refuse_value(&self, write: &Write) -> Option<String> {
        let Write::Put { key, value, .. } = write else { return None };
        let size = json_bytes(value);
        (size > self.value_bytes).then(|| format!("value of {size} bytes under {key}"))
    }
}

fn written_key(write: &Write) -> &String {
    match write {
        Write::Put { key, .. } | Write::Delete { key } => key,
    }
}

fn is_valid_key(key: &str) -> bool {
    !key.is_empty() && key.len() <= MAX_KEY_BYTES && !key.contains(' ')
}

fn json_bytes(data: &impl Serialize) -> usize {
    serde_json::to_string(data).map_or(usize::MAX, |text| text.len())
}
