//! Answers to agents, and outcomes of direct messages to them.

use super::CallFailure;
use crate::protocol::agent::{Heartbeat, HeartbeatResponse};

/// The outcome of a direct message to an agent.
#[derive(Clone, Debug)]
pub enum DirectCommandsOutcome {
    /// The commands were executed; contains the agent's heartbeat after the execution.
    Executed(Heartbeat),
    /// No command was executed, as the fencing token or the incarnation did not match; contains the agent's heartbeat.
    Rejected(Heartbeat),
    /// The message got no valid answer.
    Failed(CallFailure),
}

/// The answer to a heartbeat.
#[derive(Clone, Debug)]
pub enum AgentAnswer {
    /// The heartbeat is accepted; the commands renew the agent's lease.
    Response(HeartbeatResponse),
    /// The agent is to send its heartbeats to the named controller, or to any other if none is named.
    Redirect(Option<String>),
    /// The heartbeat can't be accepted now; the agent retries.
    Unavailable,
}
