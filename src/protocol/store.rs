//! Messages of the store: a key-value store with conditional transactions, leases, and a log of changes.

use super::list_or_null;
use ciborium::Value;
use serde::{Deserialize, Serialize};

/// Text in the body of a refusal that says that the lease named in a transaction has expired.
pub const NO_SUCH_LEASE: &str = "no such lease";
/// Path of transactions.
pub const TXN_PATH: &str = "/txn";
/// Path of requests for a lease.
pub const LEASES_PATH: &str = "/leases";

/// Returns the path at which a lease is renewed.
pub fn keep_alive_path(lease: u64) -> String {
    format!("{LEASES_PATH}/{lease}/touch")
}

/// Returns the path of one page of the keys with a prefix, which begins after the given key.
pub fn page_path(prefix: &str, after: Option<&str>) -> String {
    match after {
        Some(key) => format!("/store?starts={prefix}&after={key}&most=1000"),
        None => format!("/store?starts={prefix}&most=1000"),
    }
}

/// Returns the path of the changes of keys with a prefix after a revision. If there is no change yet, the store waits
/// for one, at most `wait_ms`.
pub fn changes_path(prefix: &str, after: u64, wait_ms: u64) -> String {
    format!("/changes?starts={prefix}&after={after}&block_ms={wait_ms}")
}

/// A condition that must hold for a transaction to be committed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Precondition {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// Revision that the key's latest change must have; 0 if the key must not exist.
    #[serde(rename = "mark")]
    pub version: u64,
}

/// A write of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Write {
    /// Stores a value.
    Put {
        /// The key.
        #[serde(rename = "write")]
        key: String,
        /// The value.
        #[serde(rename = "v")]
        value: Value,
        /// Lease on whose expiry the store deletes the key, if any.
        #[serde(rename = "tether", skip_serializing_if = "Option::is_none", default)]
        lease: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// The key.
        #[serde(rename = "remove")]
        key: String,
    },
}

/// A transaction: all writes are applied if all preconditions hold, otherwise none.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Txn {
    /// Conditions that must all hold.
    #[serde(rename = "if")]
    pub preconditions: Vec<Precondition>,
    /// Writes to apply.
    #[serde(rename = "writes")]
    pub writes: Vec<Write>,
}

/// The response to a transaction, whether committed or not.
#[derive(Clone, Debug, Deserialize)]
pub struct TxnResponse {
    /// Revision of the commit, or in case of a conflict the store's current revision.
    #[serde(rename = "ledger")]
    pub revision: u64,
    /// Keys whose preconditions did not hold.
    #[serde(default, deserialize_with = "list_or_null")]
    pub failed: Vec<String>,
}

/// A stored key.
#[derive(Clone, Debug, Deserialize)]
pub struct Item {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// Its value.
    #[serde(rename = "v")]
    pub value: Value,
    /// Revision of its latest change.
    #[serde(rename = "mark")]
    pub version: u64,
}

/// A page of stored keys.
#[derive(Clone, Debug, Deserialize)]
pub struct Page {
    /// Items in the order of their keys.
    #[serde(rename = "rows", default, deserialize_with = "list_or_null")]
    pub items: Vec<Item>,
    /// Whether another page follows.
    #[serde(default)]
    pub more: bool,
    /// The store's revision when the page was read.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// One change in the store's log.
#[derive(Clone, Debug, Deserialize)]
pub struct Event {
    /// The key, if a value was stored.
    #[serde(rename = "write", default)]
    pub put: Option<String>,
    /// The key, if it was deleted.
    #[serde(rename = "remove", default)]
    pub delete: Option<String>,
    /// The stored value.
    #[serde(rename = "v", default)]
    pub value: Option<Value>,
    /// Revision of the change.
    #[serde(rename = "mark")]
    pub version: u64,
}

/// Changes after a revision.
#[derive(Clone, Debug, Deserialize)]
pub struct Changes {
    /// Revision up to which the list is complete.
    #[serde(rename = "ledger")]
    pub revision: u64,
    /// Changes in the order of their revisions.
    #[serde(rename = "log", default, deserialize_with = "list_or_null")]
    pub events: Vec<Event>,
}

/// A request for a lease.
#[derive(Clone, Debug, Serialize)]
pub struct GrantLease {
    /// Time after which the lease expires if it is not renewed.
    #[serde(rename = "life_ms")]
    pub ttl_ms: u64,
}

/// A granted lease.
#[derive(Clone, Debug, Deserialize)]
pub struct Lease {
    /// Number of the lease.
    #[serde(rename = "tether")]
    pub lease: u64,
}
