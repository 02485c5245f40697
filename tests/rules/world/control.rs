//! Controllers: receive inputs, and have their effects executed.

use super::network::Delivery;
use super::{Endpoint, Event, MS, S, STORE_TIMEOUT, World, store};
use burlhatch::coordination::{
    AgentAnswer, CallFailure, Clock, CloudCall, CloudOutcome, DirectCommandsOutcome, Effect, Input, RequestId,
    StoreCall, UserAnswer, UserRequest,
};
use burlhatch::protocol::agent::DirectCommands;
use burlhatch::protocol::peer::{CancellationAck, CancellationNotice};
use burlhatch::types::{JobId, MachineId, Micros};

/// Time after which a controller stops waiting for a sibling's answer.
const PEER_TIMEOUT: u64 = 700 * MS;
/// Time after which a controller stops waiting for the cloud's answer.
const CLOUD_TIMEOUT: u64 = 5 * S;
/// Time after which a controller stops waiting for an agent's answer to direct commands.
const DIRECT_COMMANDS_TIMEOUT: u64 = 2500 * MS;

impl World {
    pub(super) fn clock(&self, node: usize) -> Clock {
        let n = &self.nodes[node];
        Clock {
            steady: Micros(((self.now - n.started_at) as f64 * n.drift) as u64 + 1),
            wall: Micros(1_700_000_000 * S + self.now + node as u64 * 20 * MS),
        }
    }

    pub(super) fn deliver_input(&mut self, node: usize, input: Input) {
        let clock = self.clock(node);
        let _at = tracing::error_span!("at", ms = self.now / MS, node).entered();
        let frozen = self.now < self.nodes[node].frozen_until;
        let Some(controller) = self.nodes[node].controller.as_mut() else { return };
        if frozen {
            if !matches!(input, Input::Tick) {
                self.nodes[node].backlog.push(input);
            }
            return;
        }
        controller.handle(clock, input);
        let mut checks_left = 50;
        let effects = controller.round(clock, &mut || {
            checks_left -= 1;
            checks_left > 0
        });
        for effect in effects {
            self.execute_effect(node, effect);
        }
    }

    pub(super) fn execute_effect(&mut self, node: usize, effect: Effect) {
        self.fingerprint.add(self.now, node, &effect);
        match effect {
            Effect::AnswerUser(request_id, answer) => self.user_answer(node, request_id, answer),
            Effect::AnswerAgent(request_id, answer) => self.answer_agent(node, request_id, answer),
            Effect::AnswerPeer(request_id, answer) => self.answer_peer(node, request_id, answer),
            Effect::Peer { call, to, message } => self.call_peer(node, call, &to, &message),
            Effect::Store(request) => self.call_store(node, request),
            Effect::Cloud { call, request } => self.call_cloud(node, call, &request),
            Effect::DirectCommands { machine, commands, .. } => self.call_agent(node, machine, commands),
        }
    }

    fn answer_agent(&mut self, node: usize, request_id: RequestId, answer: AgentAnswer) {
        let Some((machine, serial)) = self.nodes[node].agents.remove(&request_id) else { return };
        self.check_renewal(node, &machine, serial, &answer);
        match self.delivery(&Endpoint::Node(node), &Endpoint::Agent(machine.clone())) {
            Delivery::Arrives(delay) | Delivery::Held(delay) => {
                self.schedule(delay, Event::HeartbeatAnswer { machine, serial, answer: Some(answer) });
            }
            Delivery::Refused => self.schedule(MS, Event::HeartbeatAnswer { machine, serial, answer: None }),
        }
    }

    fn answer_peer(&mut self, node: usize, request_id: RequestId, answer: CancellationAck) {
        if let Some(caller) = self.nodes[node].peers.remove(&request_id) {
            let input = Input::PeerAnswer { call: caller.number, answer: Some(answer) };
            self.reply(Endpoint::Node(node), caller.node, caller.generation, caller.call, input);
        }
    }

    fn call_peer(&mut self, node: usize, number: u64, to: &str, message: &CancellationNotice) {
        let generation = self.nodes[node].generation;
        let Some(to) = to.strip_prefix("node-").and_then(|n| n.parse().ok()) else { return };
        self.call(
            node,
            Endpoint::Node(to),
            PEER_TIMEOUT,
            |call| Event::Peer { node, generation, call, to, number, message: message.clone() },
            |_| Input::PeerAnswer { call: number, answer: None },
        );
    }

    fn call_store(&mut self, node: usize, request: StoreCall) {
        let generation = self.nodes[node].generation;
        let timeout = match &request {
            StoreCall::Changes { wait_ms, .. } => wait_ms * MS + STORE_TIMEOUT,
            _ => STORE_TIMEOUT,
        };
        let is_txn = matches!(request, StoreCall::Txn { .. });
        let may_be_late = self.now < self.late_writes.0 && self.late_writer.is_none_or(|late| late == node);
        if is_txn && may_be_late && self.chance(self.late_writes.1) {
            let call = self.open_call();
            let late = 2 * S + self.pick(10 * S);
            let input = store::failure_input(&request, CallFailure::Indeterminate);
            self.schedule(late, Event::Store { node, generation, call, request });
            return self.schedule(timeout, Event::Outcome { node, generation, call, input });
        }
        self.call(
            node,
            Endpoint::Store,
            timeout,
            |call| Event::Store { node, generation, call, request: request.clone() },
            |failure| store::failure_input(&request, failure),
        );
    }

    fn call_cloud(&mut self, node: usize, number: u64, request: &CloudCall) {
        let generation = self.nodes[node].generation;
        self.call(
            node,
            Endpoint::Cloud,
            CLOUD_TIMEOUT,
            |call| Event::Cloud { node, generation, call, number, request: request.clone() },
            |_| Input::Cloud { call: number, outcome: CloudOutcome::Failed },
        );
    }

    fn call_agent(&mut self, node: usize, machine: MachineId, commands: DirectCommands) {
        let generation = self.nodes[node].generation;
        // A request without commands has no effect, even if it arrives late.
        let is_empty = commands.commands.is_empty();
        let failed = |machine: &MachineId, failure: CallFailure| {
            let failure = if is_empty { CallFailure::NotExecuted } else { failure };
            Input::DirectCommands { machine: machine.clone(), outcome: DirectCommandsOutcome::Failed(failure) }
        };
        if let Some(late) = self.command_delay() {
            let call = self.open_call();
            let input = failed(&machine, CallFailure::Indeterminate);
            self.schedule(late, Event::DirectCommands { node, generation, call, machine, commands });
            return self.schedule(DIRECT_COMMANDS_TIMEOUT, Event::Outcome { node, generation, call, input });
        }
        self.call(
            node,
            Endpoint::Agent(machine.clone()),
            DIRECT_COMMANDS_TIMEOUT,
            |call| Event::DirectCommands {
                node,
                generation,
                call,
                machine: machine.clone(),
                commands: commands.clone(),
            },
            |failure| failed(&machine, failure),
        );
    }

    /// Opens a call and returns its number; the answer or the timeout closes it.
    fn open_call(&mut self) -> u64 {
        self.next_call += 1;
        self.open_calls.insert(self.next_call, ());
        self.next_call
    }

    /// Queries a job at one controller and returns the answer, if it comes in the same round.
    pub fn query_job(&mut self, node: usize, id: &JobId) -> Option<UserAnswer> {
        let clock = self.clock(node);
        let controller = self.nodes[node].controller.as_mut()?;
        controller.handle(clock, Input::User(u64::MAX, UserRequest::Get(id.clone())));
        let effects = controller.round(clock, &mut || true);
        let mut answer = None;
        for effect in effects {
            match effect {
                Effect::AnswerUser(u64::MAX, received) => answer = Some(received),
                other => self.execute_effect(node, other),
            }
        }
        answer
    }

    /// Queries a job at one controller and returns the answer, which may follow a read of the store, within 3 s.
    pub fn query_job_after_read(&mut self, node: usize, id: &JobId) -> Option<UserAnswer> {
        let clock = self.clock(node);
        let controller = self.nodes[node].controller.as_mut()?;
        controller.handle(clock, Input::User(u64::MAX, UserRequest::Get(id.clone())));
        self.test_answer = None;
        for _ in 0..60 {
            self.run_for(50 * MS);
            if self.test_answer.is_some() {
                break;
            }
        }
        self.test_answer.take()
    }
}
