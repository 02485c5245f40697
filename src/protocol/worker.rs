//! Messages of workers.

use super::{list, maybe_number};
use crate::types::{FencingToken, MachineId};
use serde::{Deserialize, Serialize};

/// Path of heartbeats, at a controller.
pub const HEARTBEAT_PATH: &str = "/checkin";
/// Path of direct commands, at an agent.
pub const DIRECT_COMMANDS_PATH: &str = "/orders";

/// How far a task on a machine has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// Waits for its image.
    #[serde(rename = "pulling")]
    Fetching,
    /// Waits for the rest of its gang.
    #[serde(rename = "waiting")]
    Waiting,
    /// At work.
    #[serde(rename = "running")]
    Running,
    /// Was told to stop and saves.
    #[serde(rename = "saving")]
    Saving,
    /// Ended.
    #[serde(rename = "ended")]
    Exited,
}

/// Why a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExitCause {
    /// Completed.
    #[serde(rename = "done")]
    Done,
    /// Stopped by command.
    #[serde(rename = "halted")]
    Stopped,
    /// Another task of its gang is gone.
    #[serde(rename = "peers")]
    Peers,
    /// Its gang was not complete in time.
    #[serde(rename = "alone")]
    Alone,
    /// Failed.
    #[serde(rename = "error")]
    Error,
    /// Refused: not enough room.
    #[serde(rename = "no_room")]
    InsufficientResources,
    /// Refused: the task is there with another attempt.
    #[serde(rename = "busy")]
    Busy,
    /// Refused, or ended for a reason not known here.
    #[serde(rename = "unknown", other)]
    Unknown,
}

/// A task as its worker reports it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// Job and index.
    #[serde(rename = "piece")]
    pub task: String,
    /// Number of the attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// How far it has come.
    #[serde(rename = "status")]
    pub state: TaskState,
    /// Why it ended, if it has.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub why: Option<ExitCause>,
    /// Whether its progress was saved.
    #[serde(rename = "stored", default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// A worker's account of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Its machine.
    #[serde(rename = "host")]
    pub machine: MachineId,
    /// Where it listens.
    #[serde(default)]
    pub addr: Option<String>,
    /// Type of the machine.
    #[serde(rename = "hull")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "berth")]
    pub zone: String,
    /// Whether the machine may be taken back at any moment.
    #[serde(rename = "driftwood", default)]
    pub spot: bool,
    /// Begins anew each time its lease runs out.
    #[serde(rename = "watch")]
    pub incarnation: u64,
    /// Number of the message in its incarnation.
    #[serde(rename = "tally")]
    pub seq: u64,
    /// Highest fencing token it has seen.
    #[serde(rename = "helm", default)]
    pub fencing_token: FencingToken,
    /// Time until the cloud takes the machine.
    #[serde(rename = "warning_s", default, deserialize_with = "maybe_number")]
    pub notice_s: Option<f64>,
    /// All tasks on the machine.
    #[serde(rename = "pieces", default, deserialize_with = "list")]
    pub tasks: Vec<TaskStatus>,
}

/// A command to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb")]
pub enum AgentCommand {
    /// Starts a task.
    #[serde(rename = "launch")]
    Start {
        /// Job and index.
        #[serde(rename = "piece")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stops a task.
    #[serde(rename = "stop")]
    Stop {
        /// Job and index.
        #[serde(rename = "piece")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "try")]
        attempt: u64,
        /// Time it has to save.
        #[serde(rename = "leeway_s")]
        grace_s: f64,
    },
    /// Takes an ended task off the heartbeats.
    #[serde(rename = "reap")]
    Forget {
        /// Job and index.
        #[serde(rename = "piece")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// The answer to a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// Right to give commands.
    #[serde(rename = "helm")]
    pub fencing_token: FencingToken,
    /// In this order.
    #[serde(rename = "orders")]
    pub commands: Vec<AgentCommand>,
}

/// Commands straight to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DirectCommands {
    /// Right to give commands.
    #[serde(rename = "helm")]
    pub fencing_token: FencingToken,
    /// Session that it is meant for.
    #[serde(rename = "watch")]
    pub incarnation: u64,
    /// In this order.
    #[serde(rename = "orders")]
    pub commands: Vec<AgentCommand>,
}

/// Sends the worker to another controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Redirect {
    /// Label of the controller to report to.
    #[serde(rename = "harbour", skip_serializing_if = "Option::is_none")]
    pub controller: Option<String>,
}
