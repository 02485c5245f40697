//! Controllers: inputs in, effects carried out.

use super::network::Fate;
use super::{Event, MS, Place, S, STORE_TIMEOUT, World, store};
use burlhatch::coordination::{
    Clock, CloudOutcome, DirectCommandsOutcome, Effect, Failure, Input, StoreCall, UserAnswer, UserRequest,
};
use burlhatch::types::{JobId, Micros};

impl World {
    pub(super) fn clock(&self, node: usize) -> Clock {
        let n = &self.nodes[node];
        Clock {
            steady: Micros(((self.now - n.began) as f64 * n.drift) as u64 + 1),
            wall: Micros(1_700_000_000 * S + self.now + node as u64 * 20 * MS),
        }
    }

    pub(super) fn feed(&mut self, node: usize, input: Input) {
        let clock = self.clock(node);
        let _at = tracing::debug_span!("at", ms = self.now / MS, node).entered();
        let frozen = self.now < self.nodes[node].frozen_until;
        let Some(controller) = self.nodes[node].controller.as_mut() else { return };
        if frozen {
            if !matches!(input, Input::Tick) {
                self.nodes[node].backlog.push(input);
            }
            return;
        }
        controller.handle(clock, input);
        let mut looks = 50;
        let effects = controller.round(clock, &mut || {
            looks -= 1;
            looks > 0
        });
        for effect in effects {
            self.carry_out(node, effect);
        }
    }

    pub(super) fn carry_out(&mut self, node: usize, effect: Effect) {
        self.fingerprint.add(self.now, node, &effect);
        let life = self.nodes[node].life;
        match effect {
            Effect::AnswerUser(request_id, answer) => self.user_answer(node, request_id, answer),
            Effect::AnswerWorker(request_id, answer) => {
                if let Some((machine, serial)) = self.nodes[node].workers.remove(&request_id) {
                    self.check_renewal(node, &machine, serial, &answer);
                    let fate = self.fate(&Place::Node(node), &Place::Worker(machine.clone()));
                    match fate {
                        Fate::Arrives(delay) | Fate::Held(delay) => {
                            self.at(delay, Event::HeartbeatAnswer { machine, serial, answer: Some(answer) });
                        }
                        Fate::Refused => self.at(MS, Event::HeartbeatAnswer { machine, serial, answer: None }),
                    }
                }
            }
            Effect::AnswerPeer(request_id, answer) => {
                if let Some((to, life, call, number)) = self.nodes[node].peers.remove(&request_id) {
                    let input = Input::PeerAnswer { call: number, answer: Some(answer) };
                    self.reply(Place::Node(node), to, life, call, input);
                }
            }
            Effect::Peer { call: number, to, message } => {
                let Some(to) = to.strip_prefix("node-").and_then(|n| n.parse().ok()) else { return };
                self.call(
                    node,
                    Place::Node(to),
                    700 * MS,
                    |call| Event::Peer { node, life, call, to, number, message: message.clone() },
                    |_| Input::PeerAnswer { call: number, answer: None },
                );
            }
            Effect::Store(request) => {
                let limit = match &request {
                    StoreCall::Changes { wait_ms, .. } => wait_ms * MS + STORE_TIMEOUT,
                    _ => STORE_TIMEOUT,
                };
                let shape = request.clone();
                let is_txn = matches!(request, StoreCall::Txn { .. });
                let may_be_late = self.now < self.late_writes.0 && self.late_writer.is_none_or(|late| late == node);
                if is_txn && may_be_late && self.chance(self.late_writes.1) {
                    self.next_call += 1;
                    let call = self.next_call;
                    let late = 2 * S + self.pick(10 * S);
                    self.open_calls.insert(call, ());
                    self.at(late, Event::Store { node, life, call, request });
                    let input = store::failed(&shape, Failure::Unknown);
                    return self.at(limit, Event::Outcome { node, life, call, input });
                }
                self.call(
                    node,
                    Place::Store,
                    limit,
                    |call| Event::Store { node, life, call, request: request.clone() },
                    |failure| store::failed(&shape, failure),
                );
            }
            Effect::Cloud { call: number, request } => self.call(
                node,
                Place::Cloud,
                5 * S,
                |call| Event::Cloud { node, life, call, number, request: request.clone() },
                |_| Input::Cloud { call: number, outcome: CloudOutcome::Failed },
            ),
            Effect::DirectCommands { machine, commands, .. } => {
                let id = machine.clone();
                let empty = commands.commands.is_empty();
                if let Some(late) = self.command_delay() {
                    self.next_call += 1;
                    let call = self.next_call;
                    self.open_calls.insert(call, ());
                    self.at(late, Event::DirectCommands { node, life, call, machine, commands });
                    let failure = if empty { Failure::NotDone } else { Failure::Unknown };
                    let input = Input::DirectCommands { machine: id, outcome: DirectCommandsOutcome::Failed(failure) };
                    return self.at(2500 * MS, Event::Outcome { node, life, call, input });
                }
                self.call(
                    node,
                    Place::Worker(machine.clone()),
                    2500 * MS,
                    |call| Event::DirectCommands {
                        node,
                        life,
                        call,
                        machine: machine.clone(),
                        commands: commands.clone(),
                    },
                    |failure| {
                        let failure = if empty { Failure::NotDone } else { failure };
                        Input::DirectCommands { machine: id.clone(), outcome: DirectCommandsOutcome::Failed(failure) }
                    },
                );
            }
        }
    }

    /// One controller's answer to a question about a job, if it comes at once.
    pub fn ask_at(&mut self, node: usize, id: &JobId) -> Option<UserAnswer> {
        let clock = self.clock(node);
        let controller = self.nodes[node].controller.as_mut()?;
        controller.handle(clock, Input::User(u64::MAX, UserRequest::Get(id.clone())));
        let effects = controller.round(clock, &mut || true);
        let mut answer = None;
        for effect in effects {
            match effect {
                Effect::AnswerUser(u64::MAX, given) => answer = Some(given),
                other => self.carry_out(node, other),
            }
        }
        answer
    }

    /// One controller's answer to a question about a job, after the read that it may need.
    pub fn ask_fresh(&mut self, node: usize, id: &JobId) -> Option<UserAnswer> {
        let clock = self.clock(node);
        let controller = self.nodes[node].controller.as_mut()?;
        controller.handle(clock, Input::User(u64::MAX, UserRequest::Get(id.clone())));
        self.overheard = None;
        for _ in 0..60 {
            self.run_for(50 * MS);
            if self.overheard.is_some() {
                break;
            }
        }
        self.overheard.take()
    }
}
