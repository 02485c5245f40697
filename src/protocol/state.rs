//! Messages of the state service.

use super::list;
use ciborium::Value;
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Condition {
    #[serde(rename = "k")]
    pub key: String,
    #[serde(rename = "mark")]
    pub version: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Write {
    Put {
        #[serde(rename = "write")]
        key: String,
        #[serde(rename = "v")]
        value: Value,
        #[serde(rename = "tether", skip_serializing_if = "Option::is_none", default)]
        lease: Option<u64>,
    },
    Delete {
        #[serde(rename = "remove")]
        key: String,
    },
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Txn {
    #[serde(rename = "if")]
    pub conditions: Vec<Condition>,
    #[serde(rename = "writes")]
    pub writes: Vec<Write>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Committed {
    #[serde(rename = "ledger")]
    pub revision: u64,
    #[serde(default, deserialize_with = "list")]
    pub failed: Vec<String>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Item {
    #[serde(rename = "k")]
    pub key: String,
    #[serde(rename = "v")]
    pub value: Value,
    #[serde(rename = "mark")]
    pub version: u64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Page {
    #[serde(rename = "rows", default, deserialize_with = "list")]
    pub items: Vec<Item>,
    #[serde(default)]
    pub more: bool,
    #[serde(rename = "ledger")]
    pub revision: u64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Event {
    #[serde(rename = "write", default)]
    pub put: Option<String>,
    #[serde(rename = "remove", default)]
    pub delete: Option<String>,
    #[serde(rename = "v", default)]
    pub value: Option<Value>,
    #[serde(rename = "mark")]
    pub version: u64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Changes {
    #[serde(rename = "ledger")]
    pub revision: u64,
    #[serde(rename = "log", default, deserialize_with = "list")]
    pub events: Vec<Event>,
}

#[derive(Clone, Debug, Serialize)]
pub struct NewLease {
    #[serde(rename = "life_ms")]
    pub ttl_ms: u64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Lease {
    #[serde(rename = "tether")]
    pub lease: u64,
}

pub const TXN_PATH: &str = "/txn";
pub const LEASES_PATH: &str = "/leases";

pub fn touch_path(lease: u64) -> String {
    format!("/leases/{lease}/touch")
}

pub fn page_path(prefix: &str, after: Option<&str>) -> String {
    match after {
        Some(key) => format!("/store?starts={prefix}&after={key}&most=1000"),
        None => format!("/store?starts={prefix}&most=1000"),
    }
}

pub fn changes_path(prefix: &str, after: u64, wait_ms: u64) -> String {
    format!("/changes?starts={prefix}&after={after}&block_ms={wait_ms}")
}
