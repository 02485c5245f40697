//! Direct messages to a machine's agent: the one in flight, commands not acknowledged, and what is still to be sent.

use crate::coordination::fleet::machine::MessagePosition;
use crate::types::{FencingToken, Micros};

/// The last direct message to an agent.
#[derive(Clone, Copy, Default)]
struct DirectMessage {
    fencing_token: FencingToken,
    /// The agent's newest message when it was sent.
    sent_after: MessagePosition,
}

/// Direct messages to one agent, of which at most one is in flight.
#[derive(Default)]
pub(crate) struct CommandChannel {
    is_in_flight: bool,
    /// Kept when it is answered: a late answer is judged by it.
    last_message: DirectMessage,
    /// A direct command under this fencing token got no answer and may be carried out at any time.
    unacknowledged_token: Option<FencingToken>,
    /// A message is to be sent, not before then: a heartbeat may come first, whose answer takes its place.
    pending_not_before: Option<Micros>,
    /// A message of the agent is missing or out of order: it is to be probed.
    is_probe_wanted: bool,
}

impl CommandChannel {
    /// Whether a direct message has no outcome yet.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.is_in_flight
    }

    /// A direct message is sent, when that was the agent's newest message.
    pub(crate) fn sent(&mut self, fencing_token: FencingToken, sent_after: MessagePosition) {
        self.is_in_flight = true;
        self.last_message = DirectMessage { fencing_token, sent_after };
        self.is_probe_wanted = false;
    }

    /// The direct message in flight has an outcome.
    pub(crate) fn finished(&mut self) {
        self.is_in_flight = false;
    }

    /// Whether an answer to the last direct message is older than what the agent had sent before it.
    pub(crate) fn precedes_last_message(&self, answer: MessagePosition) -> bool {
        answer <= self.last_message.sent_after
    }

    /// The last direct message may or may not have arrived.
    pub(crate) fn last_message_unacknowledged(&mut self) {
        self.unacknowledged_token = self.unacknowledged_token.max(Some(self.last_message.fencing_token));
    }

    /// Commands under that fencing token and older ones may be carried out at any time.
    pub(crate) fn set_unacknowledged(&mut self, fencing_token: FencingToken) {
        self.unacknowledged_token = Some(fencing_token);
    }

    /// The highest fencing token of commands that were not acknowledged.
    pub(crate) fn unacknowledged_token(&self) -> Option<FencingToken> {
        self.unacknowledged_token
    }

    /// Whether a command that was not acknowledged may be carried out at any time.
    pub(crate) fn has_unacknowledged(&self) -> bool {
        self.unacknowledged_token.is_some()
    }

    /// Whether a command may be carried out at any time although the agent is to obey that fencing token.
    pub(crate) fn may_execute_under(&self, fencing_token: FencingToken) -> bool {
        self.unacknowledged_token.is_some_and(|token| token >= fencing_token)
    }

    /// Whether no command can be carried out any more that was sent before now.
    pub(crate) fn is_quiet(&self) -> bool {
        !self.is_in_flight && !self.has_unacknowledged()
    }

    /// The agent obeys that fencing token: commands under older ones are superseded.
    pub(crate) fn token_shown(&mut self, fencing_token: FencingToken) {
        if self.unacknowledged_token.is_some_and(|token| fencing_token > token) {
            self.unacknowledged_token = None;
        }
    }

    /// Whether a message is to be sent, now or later.
    pub(crate) fn is_pending(&self) -> bool {
        self.pending_not_before.is_some()
    }

    /// Whether a message is to be sent now.
    pub(crate) fn is_due(&self, now: Micros) -> bool {
        self.pending_not_before.is_some_and(|at| at <= now)
    }

    /// A message is to be sent as soon as possible.
    pub(crate) fn request(&mut self) {
        self.pending_not_before = Some(Micros::ZERO);
    }

    /// A message is to be sent, not before then.
    pub(crate) fn request_after(&mut self, at: Micros) {
        self.pending_not_before = Some(at);
    }

    /// Nothing is to be sent any more.
    pub(crate) fn clear_request(&mut self) {
        self.pending_not_before = None;
    }

    /// Whether the agent is to be probed, as its messages are not in order.
    pub(crate) fn is_probe_wanted(&self) -> bool {
        self.is_probe_wanted
    }

    /// The agent is to be probed.
    pub(crate) fn want_probe(&mut self) {
        self.is_probe_wanted = true;
    }

    /// The machine's shard has a new holder, or it came into another shard: the agent is to be shown our fencing token.
    pub(super) fn reset(&mut self) {
        self.unacknowledged_token = None;
        self.request();
    }
}
