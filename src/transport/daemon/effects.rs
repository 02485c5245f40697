//! Executes the controller's effects: sends answers at once and makes calls in separate tasks.

use super::pending_responses::PendingResponses;
use crate::coordination::{Effect, Input};
use crate::transport::calls::{AgentClient, CloudClient, StoreClient};
use crate::transport::siblings::Siblings;
use std::sync::Arc;
use tokio::sync::mpsc;

/// Clients of the services, agents and siblings that a controller calls.
pub(super) struct ServiceClients {
    pub(super) store: StoreClient,
    pub(super) cloud: CloudClient,
    pub(super) agents: AgentClient,
    pub(super) siblings: Arc<Siblings>,
}

/// Executes effects and queues the outcomes of calls as inputs.
pub(super) struct EffectExecutor {
    services: Arc<ServiceClients>,
    outcomes: mpsc::UnboundedSender<Input>,
}

impl EffectExecutor {
    /// Creates an executor that sends outcomes to a queue.
    pub(super) fn new(services: ServiceClients, outcomes: mpsc::UnboundedSender<Input>) -> EffectExecutor {
        EffectExecutor { services: Arc::new(services), outcomes }
    }

    /// Executes an effect, or starts the task that does.
    pub(super) fn execute(&self, effect: Effect, pending: &mut PendingResponses) {
        let services = self.services.clone();
        match effect {
            Effect::AnswerUser(request_id, answer) => pending.answer_user(request_id, answer),
            Effect::AnswerAgent(request_id, answer) => pending.answer_agent(request_id, answer),
            Effect::AnswerPeer(request_id, answer) => pending.answer_peer(request_id, answer),
            Effect::Peer { call, to, message } => self.spawn(async move {
                Input::PeerAnswer { call, answer: services.siblings.notify_of_cancellations(&to, &message).await }
            }),
            Effect::Store(call) => self.spawn(async move { services.store.call(call).await }),
            Effect::DirectCommands { machine, addr, commands } => {
                self.spawn(async move { services.agents.send(machine, addr, commands).await });
            }
            Effect::Cloud { call, request } => self.spawn(async move { services.cloud.call(call, request).await }),
        }
    }

    /// Makes a call in a separate task and queues its outcome. Each call has a timeout, so the task always ends.
    fn spawn(&self, call: impl Future<Output = Input> + Send + 'static) {
        let outcomes = self.outcomes.clone();
        tokio::spawn(async move {
            // Fails only if the main loop has ended.
            let _ = outcomes.send(call.await);
        });
    }
}
