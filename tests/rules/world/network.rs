//! The network: delays, cuts, held packets and late copies of requests.

use super::{Event, MS, S, STORE_TIMEOUT, World};
use burlhatch::coordination::{CallFailure, Input};
use burlhatch::types::MachineId;
use rand::Rng;
use std::ops::Range;

/// End of a connection.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Endpoint {
    Node(usize),
    Store,
    Cloud,
    Agent(MachineId),
}

pub(super) type Between = Box<dyn Fn(&Endpoint, &Endpoint) -> bool>;

/// Interruption of the traffic between the endpoints for which `between` returns true.
pub(super) struct Cut {
    pub(super) between: Between,
    pub(super) until: u64,
    /// Whether about half of the packets are held and arrive when the cut ends; all others are refused.
    pub(super) hold: bool,
    /// Whether the cut affects only packets from the first endpoint to the second.
    pub(super) one_way: bool,
}

/// Delays of direct commands: the sender has given up when they arrive, and the agent executes them if the fencing
/// token and the incarnation still match.
#[derive(Clone)]
pub(super) struct LateCommands {
    pub(super) until: u64,
    /// One in this many requests is delayed.
    pub(super) one_in: u32,
    pub(super) delays: Range<u64>,
}

/// Outcome of sending a packet, with the delay of its arrival.
pub(super) enum Delivery {
    Arrives(u64),
    /// Arrives after the end of a cut, when the sender may have given up.
    Held(u64),
    Refused,
}

impl World {
    pub(super) fn delivery(&mut self, from: &Endpoint, to: &Endpoint) -> Delivery {
        let now = self.now;
        self.cuts.retain(|c| c.until > now);
        let mut delay = self.rng.random_range(MS / 2..5 * MS);
        if now < self.slow.0 {
            delay += self.rng.random_range(0..self.slow.1);
        }
        let cuts = |c: &Cut| (c.between)(from, to) || (!c.one_way && (c.between)(to, from));
        if let Some(cut) = self.cuts.iter().find(|c| cuts(c)) {
            let late = cut.until - now + delay;
            let hold = cut.hold;
            return if hold && self.chance(2) { Delivery::Held(late) } else { Delivery::Refused };
        }
        Delivery::Arrives(delay)
    }

    /// Sends a request. `fail` makes the input that the caller gets if the request is refused or no answer arrives
    /// within `limit`.
    pub(super) fn call(
        &mut self,
        node: usize,
        to: Endpoint,
        limit: u64,
        event: impl Fn(u64) -> Event,
        fail: impl Fn(CallFailure) -> Input,
    ) {
        self.next_call += 1;
        let call = self.next_call;
        self.open_calls.insert(call, ());
        let generation = self.nodes[node].generation;
        match self.delivery(&Endpoint::Node(node), &to) {
            Delivery::Arrives(delay) => {
                self.schedule(delay, event(call));
                self.schedule(
                    limit,
                    Event::Outcome { node, generation, call, input: fail(CallFailure::Indeterminate) },
                );
                if self.copies > 0
                    && matches!(to, Endpoint::Store | Endpoint::Agent(_) | Endpoint::Node(_))
                    && self.chance(self.copies)
                {
                    let late = self.rng.random_range(0..60 * S);
                    self.schedule(late, event(call));
                }
            }
            Delivery::Held(late) => {
                self.schedule(late, event(call));
                self.schedule(
                    limit,
                    Event::Outcome { node, generation, call, input: fail(CallFailure::Indeterminate) },
                );
            }
            Delivery::Refused => {
                self.schedule(
                    limit.min(S),
                    Event::Outcome { node, generation, call, input: fail(CallFailure::NotExecuted) },
                );
            }
        }
    }

    /// Returns the delay of direct commands that are sent now, if they are to be delayed.
    pub(super) fn command_delay(&mut self) -> Option<u64> {
        let late = self.late_commands.clone().filter(|late| self.now < late.until)?;
        self.chance(late.one_in).then(|| self.rng.random_range(late.delays))
    }

    pub(super) fn reply(&mut self, from: Endpoint, node: usize, generation: u64, call: u64, input: Input) {
        self.reply_after(0, from, node, generation, call, input);
    }

    pub(super) fn reply_after(
        &mut self,
        lag: u64,
        from: Endpoint,
        node: usize,
        generation: u64,
        call: u64,
        input: Input,
    ) {
        if let Delivery::Arrives(delay) = self.delivery(&from, &Endpoint::Node(node)) {
            let held = from == Endpoint::Store && self.now < self.late_answers.0 && self.chance(self.late_answers.1);
            let late = if held { self.pick(STORE_TIMEOUT) } else { 0 };
            self.schedule(delay + lag + late, Event::Outcome { node, generation, call, input });
        }
    }
}
