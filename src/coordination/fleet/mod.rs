//! Known machines: heartbeats, failure detection, commands to agents, lease renewal, cordon and drain.

pub(crate) mod agent_commands;
pub(crate) mod clearing;
pub(crate) mod draining;
pub(crate) mod failure_detector;
pub(crate) mod heartbeats;
pub(crate) mod lease_renewal;
pub(crate) mod machines;
pub(crate) mod moves;
pub(crate) mod registration;
