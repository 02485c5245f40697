//! Messages of workers.

use super::{list, maybe_number};
use crate::units::{MachineId, Term};
use serde::{Deserialize, Serialize};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    #[serde(rename = "pulling")]
    Fetching,
    #[serde(rename = "waiting")]
    Waiting,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "saving")]
    Saving,
    #[serde(rename = "ended")]
    Exited,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExitCause {
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "halted")]
    Stopped,
    #[serde(rename = "peers")]
    Peers,
    #[serde(rename = "alone")]
    Alone,
    #[serde(rename = "error")]
    Error,
    #[serde(rename = "no_room")]
    NoRoom,
    #[serde(rename = "busy")]
    Busy,
    #[serde(rename = "unknown", other)]
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportedTask {
    #[serde(rename = "piece")]
    pub task: String,
    #[serde(rename = "try")]
    pub attempt: u64,
    #[serde(rename = "status")]
    pub state: TaskState,
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub why: Option<ExitCause>,
    #[serde(rename = "stored", default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    #[serde(rename = "host")]
    pub machine: MachineId,
    #[serde(default)]
    pub addr: Option<String>,
    #[serde(rename = "hull")]
    pub machine_type: String,
    #[serde(rename = "berth")]
    pub zone: String,
    #[serde(rename = "driftwood", default)]
    pub spot: bool,
    #[serde(rename = "watch")]
    pub session: u64,
    #[serde(rename = "tally")]
    pub seq: u64,
    #[serde(rename = "helm", default)]
    pub token: Term,
    #[serde(rename = "warning_s", default, deserialize_with = "maybe_number")]
    pub notice_s: Option<f64>,
    #[serde(rename = "pieces", default, deserialize_with = "list")]
    pub tasks: Vec<ReportedTask>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb")]
pub enum Order {
    #[serde(rename = "launch")]
    Start {
        #[serde(rename = "piece")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
    #[serde(rename = "stop")]
    Stop {
        #[serde(rename = "piece")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
        #[serde(rename = "leeway_s")]
        grace_s: f64,
    },
    #[serde(rename = "reap")]
    Forget {
        #[serde(rename = "piece")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// The answer to a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Orders {
    #[serde(rename = "helm")]
    pub token: Term,
    pub orders: Vec<Order>,
}

/// Commands straight to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DirectOrders {
    #[serde(rename = "helm")]
    pub token: Term,
    #[serde(rename = "watch")]
    pub session: u64,
    pub orders: Vec<Order>,
}

/// Sends the worker to another controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Redirect {
    #[serde(rename = "harbour", skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
}
