//! What agents are answered, and how direct messages to them end.

use super::CallFailure;
use crate::protocol::agent::{Heartbeat, HeartbeatResponse};

/// How a direct message to an agent ended.
#[derive(Clone, Debug)]
pub enum DirectCommandsOutcome {
    /// The commands were executed; the agent's heartbeat after them.
    Executed(Heartbeat),
    /// Nothing was executed, as the fencing token or the incarnation did not match; the agent's heartbeat.
    Rejected(Heartbeat),
    /// The message got no answer that counts.
    Failed(CallFailure),
}

/// The answer to a heartbeat.
#[derive(Clone, Debug)]
pub enum AgentAnswer {
    /// The heartbeat is accepted; the commands renew the agent's lease.
    Response(HeartbeatResponse),
    /// To send heartbeats to that controller, or to any other.
    Redirect(Option<String>),
    /// Not now; the agent tries again.
    Unavailable,
}
