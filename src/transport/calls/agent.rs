//! Direct commands to agents.

use super::decode_or_log;
use crate::coordination::{CallFailure, DirectCommandsOutcome, Input};
use crate::protocol::agent::{DIRECT_COMMANDS_PATH, DirectCommands};
use crate::protocol::encode;
use crate::transport::client::Client;
use crate::types::MachineId;
use hyper::{Method, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;

const DIRECT_COMMANDS_TIMEOUT: Duration = Duration::from_millis(2500);

/// Sends direct commands to agents.
pub(in crate::transport) struct AgentClient {
    client: Client,
    probe_timeout: Duration,
}

impl AgentClient {
    /// Creates a client. `probe_timeout` applies to probes, which are direct messages without commands.
    pub(in crate::transport) fn new(client: Client, probe_timeout: Duration) -> AgentClient {
        AgentClient { client, probe_timeout }
    }

    /// Sends commands to an agent, or a probe if there are none.
    pub(in crate::transport) async fn send(
        &self,
        machine: MachineId,
        address: SocketAddr,
        commands: DirectCommands,
    ) -> Input {
        let is_probe = commands.commands.is_empty();
        let timeout = if is_probe { self.probe_timeout } else { DIRECT_COMMANDS_TIMEOUT };
        let response = self.client.call(address, Method::POST, DIRECT_COMMANDS_PATH, encode(&commands), timeout).await;
        let outcome = match response {
            Ok(response) => {
                let heartbeat = || decode_or_log(&response);
                let outcome = match response.status {
                    StatusCode::OK => heartbeat().map(DirectCommandsOutcome::Executed),
                    StatusCode::CONFLICT => heartbeat().map(DirectCommandsOutcome::Rejected),
                    _ => None,
                };
                outcome.unwrap_or(DirectCommandsOutcome::Failed(CallFailure::Indeterminate))
            }
            // A probe contains no commands that could be executed late.
            Err(_) if is_probe => DirectCommandsOutcome::Failed(CallFailure::NotExecuted),
            Err(error) => DirectCommandsOutcome::Failed(error.into()),
        };
        Input::DirectCommands { machine, outcome }
    }
}
