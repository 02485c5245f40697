//! Messages between controllers and agents: heartbeats, and commands, which are sent in responses to heartbeats or
//! directly.

use super::{list_or_null, optional_number};
use crate::types::{FencingToken, MachineId};
use serde::{Deserialize, Serialize};

/// Path at which a controller receives heartbeats.
pub const HEARTBEAT_PATH: &str = "/checkin";
/// Path at which an agent receives direct commands.
pub const DIRECT_COMMANDS_PATH: &str = "/orders";

/// State of a task on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// Its image is being fetched.
    #[serde(rename = "pulling")]
    FetchingImage,
    /// It waits for the rest of its gang.
    #[serde(rename = "waiting")]
    Waiting,
    /// It runs.
    #[serde(rename = "running")]
    Running,
    /// It was commanded to stop and writes a checkpoint.
    #[serde(rename = "saving")]
    Checkpointing,
    /// It has ended.
    #[serde(rename = "ended")]
    Exited,
}

/// Reason why a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExitCause {
    /// It ran to completion.
    #[serde(rename = "done")]
    Completed,
    /// It was stopped by a command.
    #[serde(rename = "halted")]
    Stopped,
    /// Another task of its gang is gone.
    #[serde(rename = "peers")]
    GangPeerLost,
    /// Its gang was not complete in time.
    #[serde(rename = "alone")]
    GangIncomplete,
    /// It failed.
    #[serde(rename = "error")]
    Failed,
    /// It was rejected: the machine doesn't have enough free resources.
    #[serde(rename = "no_room")]
    InsufficientResources,
    /// It was rejected: another attempt of the task is on the machine.
    #[serde(rename = "busy")]
    Busy,
    /// It was rejected or ended for a cause that this release doesn't know.
    #[serde(rename = "unknown", other)]
    Unknown,
}

/// Status of a task in a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// Id of the task: job and index.
    #[serde(rename = "piece")]
    pub task: String,
    /// Number of the attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// State of the attempt.
    #[serde(rename = "status")]
    pub state: TaskState,
    /// Reason why it ended, if it has ended.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub exit_cause: Option<ExitCause>,
    /// Whether a checkpoint was written before it ended.
    #[serde(rename = "stored", default, skip_serializing_if = "Option::is_none")]
    pub checkpointed: Option<bool>,
}

/// An agent's heartbeat, with the status of all tasks on its machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the machine.
    #[serde(rename = "host")]
    pub machine: MachineId,
    /// Address at which the agent receives direct commands.
    #[serde(default)]
    pub addr: Option<String>,
    /// Type of the machine.
    #[serde(rename = "hull")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "berth")]
    pub zone: String,
    /// Whether the machine is a spot instance.
    #[serde(rename = "driftwood", default)]
    pub spot: bool,
    /// Incarnation of the agent: a new one begins each time its lease expires.
    #[serde(rename = "watch")]
    pub incarnation: u64,
    /// Sequence number of the message within its incarnation.
    #[serde(rename = "tally")]
    pub seq: u64,
    /// Highest fencing token that the agent has seen.
    #[serde(rename = "helm", default)]
    pub fencing_token: FencingToken,
    /// Time until the cloud interrupts the machine, if it has given a termination notice.
    #[serde(rename = "warning_s", default, deserialize_with = "optional_number")]
    pub termination_notice_s: Option<f64>,
    /// Status of all tasks on the machine.
    #[serde(rename = "pieces", default, deserialize_with = "list_or_null")]
    pub tasks: Vec<TaskStatus>,
}

/// A command to an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb")]
pub enum AgentCommand {
    /// Starts a task.
    #[serde(rename = "launch")]
    Start {
        /// Id of the task: job and index.
        #[serde(rename = "piece")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stops a task.
    #[serde(rename = "stop")]
    Stop {
        /// Id of the task: job and index.
        #[serde(rename = "piece")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "try")]
        attempt: u64,
        /// Grace period, in which the task may write a checkpoint.
        #[serde(rename = "leeway_s")]
        grace_s: f64,
    },
    /// Removes an exited task from the heartbeats.
    #[serde(rename = "reap")]
    Forget {
        /// Id of the task: job and index.
        #[serde(rename = "piece")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// The response to a heartbeat, which renews the agent's lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// Fencing token of the machine's shard. An agent ignores responses with a lower token than it has seen.
    #[serde(rename = "helm")]
    pub fencing_token: FencingToken,
    /// Commands, to be executed in this order.
    #[serde(rename = "orders")]
    pub commands: Vec<AgentCommand>,
}

/// Commands sent directly to an agent, between its heartbeats.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DirectCommands {
    /// Fencing token of the machine's shard. An agent rejects messages with a lower token than it has seen.
    #[serde(rename = "helm")]
    pub fencing_token: FencingToken,
    /// Incarnation that the commands are meant for. An agent in another incarnation rejects them.
    #[serde(rename = "watch")]
    pub incarnation: u64,
    /// Commands, to be executed in this order.
    #[serde(rename = "orders")]
    pub commands: Vec<AgentCommand>,
}

/// Response that redirects an agent to another controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Redirect {
    /// Label of the controller that owns the machine, if it is known.
    #[serde(rename = "harbour", skip_serializing_if = "Option::is_none")]
    pub controller: Option<String>,
}
