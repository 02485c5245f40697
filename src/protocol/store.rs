//! Messages of the store.

use super::list;
use ciborium::Value;
use serde::{Deserialize, Serialize};

/// What must hold for a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Precondition {
    /// Of this key.
    #[serde(rename = "k")]
    pub key: String,
    /// That its latest change is of this revision; 0 for no such key.
    #[serde(rename = "mark")]
    pub version: u64,
}

/// A change of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Write {
    /// Stores a value.
    Put {
        /// Under this key.
        #[serde(rename = "write")]
        key: String,
        /// The value.
        #[serde(rename = "v")]
        value: Value,
        /// The session that the key ends with, if any.
        #[serde(rename = "tether", skip_serializing_if = "Option::is_none", default)]
        lease: Option<u64>,
    },
    /// Removes a key.
    Delete {
        /// Which one.
        #[serde(rename = "remove")]
        key: String,
    },
}

/// Changes that are made together or not at all.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Txn {
    /// What must hold.
    #[serde(rename = "if")]
    pub preconditions: Vec<Precondition>,
    /// What is changed.
    #[serde(rename = "writes")]
    pub writes: Vec<Write>,
}

/// The answer to a transaction.
#[derive(Clone, Debug, Deserialize)]
pub struct Committed {
    /// As of which revision.
    #[serde(rename = "ledger")]
    pub revision: u64,
    /// Keys whose condition did not hold.
    #[serde(default, deserialize_with = "list")]
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
    /// In order.
    #[serde(rename = "rows", default, deserialize_with = "list")]
    pub items: Vec<Item>,
    /// Whether there are further ones.
    #[serde(default)]
    pub more: bool,
    /// As of which revision.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// One change.
#[derive(Clone, Debug, Deserialize)]
pub struct Event {
    /// The key that was stored.
    #[serde(rename = "write", default)]
    pub put: Option<String>,
    /// The key that was removed.
    #[serde(rename = "remove", default)]
    pub delete: Option<String>,
    /// What was stored.
    #[serde(rename = "v", default)]
    pub value: Option<Value>,
    /// Revision of the change.
    #[serde(rename = "mark")]
    pub version: u64,
}

/// Changes since some revision.
#[derive(Clone, Debug, Deserialize)]
pub struct Changes {
    /// Up to which revision.
    #[serde(rename = "ledger")]
    pub revision: u64,
    /// In order.
    #[serde(rename = "log", default, deserialize_with = "list")]
    pub events: Vec<Event>,
}

/// A request for a session.
#[derive(Clone, Debug, Serialize)]
pub struct GrantLease {
    /// How long it lasts without renewal.
    #[serde(rename = "life_ms")]
    pub ttl_ms: u64,
}

/// A session.
#[derive(Clone, Debug, Deserialize)]
pub struct Lease {
    /// Its number.
    #[serde(rename = "tether")]
    pub lease: u64,
}

/// Text in the body of a refusal because the lease named in a transaction has expired.
pub const NO_SUCH_LEASE: &str = "no such lease";
/// Where transactions go.
pub const TXN_PATH: &str = "/txn";
/// Where sessions begin.
pub const LEASES_PATH: &str = "/leases";

/// Where a session is renewed.
pub fn keep_alive_path(lease: u64) -> String {
    format!("/leases/{lease}/touch")
}

/// Where a page of keys with a prefix is read.
pub fn page_path(prefix: &str, after: Option<&str>) -> String {
    match after {
        Some(key) => format!("/store?starts={prefix}&after={key}&most=1000"),
        None => format!("/store?starts={prefix}&most=1000"),
    }
}

/// Where changes of keys with a prefix are read.
pub fn changes_path(prefix: &str, after: u64, wait_ms: u64) -> String {
    format!("/changes?starts={prefix}&after={after}&block_ms={wait_ms}")
}
