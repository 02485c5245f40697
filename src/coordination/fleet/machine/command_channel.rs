//! Direct messages to a machine's agent: the one in flight, commands that were not acknowledged, and requests to send
//! one.

use crate::coordination::fleet::machine::MessagePosition;
use crate::types::{FencingToken, Micros};

/// The last direct message to an agent.
#[derive(Clone, Copy, Default)]
struct DirectMessage {
    fencing_token: FencingToken,
    /// Position of the agent's newest message when this message was sent.
    sent_after: MessagePosition,
}

/// Direct messages to one agent, of which at most one is in flight.
#[derive(Default)]
pub(crate) struct CommandChannel {
    is_in_flight: bool,
    /// Kept after it is answered, as late answers are compared with it.
    last_message: DirectMessage,
    /// Highest fencing token of the direct commands that got no answer and may be executed at any time.
    unacknowledged_token: Option<FencingToken>,
    /// Earliest time at which a message is to be sent, if one is. A heartbeat may come first, whose answer replaces it.
    pending_not_before: Option<Micros>,
    /// Whether the agent is to be probed, as one of its messages is missing or out of order.
    is_probe_wanted: bool,
}

impl CommandChannel {
    /// Returns whether a direct message has no outcome yet.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.is_in_flight
    }

    /// Records that a direct message was sent. `sent_after` is the position of the agent's newest message at that time.
    pub(crate) fn sent(&mut self, fencing_token: FencingToken, sent_after: MessagePosition) {
        self.is_in_flight = true;
        self.last_message = DirectMessage { fencing_token, sent_after };
        self.is_probe_wanted = false;
    }

    /// Records that the direct message in flight has an outcome.
    pub(crate) fn finished(&mut self) {
        self.is_in_flight = false;
    }

    /// Returns whether an answer to the last direct message is not newer than the agent's messages before that message.
    pub(crate) fn precedes_last_message(&self, answer: MessagePosition) -> bool {
        answer <= self.last_message.sent_after
    }

    /// Records that the last direct message may or may not have arrived.
    pub(crate) fn last_message_unacknowledged(&mut self) {
        self.unacknowledged_token = self.unacknowledged_token.max(Some(self.last_message.fencing_token));
    }

    /// Records that commands under this fencing token and older ones may be executed at any time.
    pub(crate) fn set_unacknowledged(&mut self, fencing_token: FencingToken) {
        self.unacknowledged_token = Some(fencing_token);
    }

    /// Returns the highest fencing token of commands that were not acknowledged.
    pub(crate) fn unacknowledged_token(&self) -> Option<FencingToken> {
        self.unacknowledged_token
    }

    /// Returns whether a command that was not acknowledged may be executed at any time.
    pub(crate) fn has_unacknowledged(&self) -> bool {
        self.unacknowledged_token.is_some()
    }

    /// Returns whether a command may be executed at any time even if the agent accepts only commands under
    /// `fencing_token` or a later one.
    pub(crate) fn may_execute_under(&self, fencing_token: FencingToken) -> bool {
        self.unacknowledged_token.is_some_and(|token| token >= fencing_token)
    }

    /// Returns whether none of the commands sent so far can still be executed.
    pub(crate) fn are_settled(&self) -> bool {
        !self.is_in_flight && !self.has_unacknowledged()
    }

    /// Records that the agent accepts commands under this fencing token: commands under older ones are superseded.
    pub(crate) fn token_shown(&mut self, fencing_token: FencingToken) {
        if self.unacknowledged_token.is_some_and(|token| fencing_token > token) {
            self.unacknowledged_token = None;
        }
    }

    /// Returns whether a message is to be sent, now or later.
    pub(crate) fn is_pending(&self) -> bool {
        self.pending_not_before.is_some()
    }

    /// Returns whether a message is to be sent now.
    pub(crate) fn is_due(&self, now: Micros) -> bool {
        self.pending_not_before.is_some_and(|at| at <= now)
    }

    /// Requests a message to be sent as soon as possible.
    pub(crate) fn request(&mut self) {
        self.pending_not_before = Some(Micros::ZERO);
    }

    /// Requests a message to be sent, but not before `at`.
    pub(crate) fn request_after(&mut self, at: Micros) {
        self.pending_not_before = Some(at);
    }

    /// Withdraws the request to send a message.
    pub(crate) fn clear_request(&mut self) {
        self.pending_not_before = None;
    }

    /// Returns whether the agent is to be probed, as one of its messages is missing or out of order.
    pub(crate) fn is_probe_wanted(&self) -> bool {
        self.is_probe_wanted
    }

    /// Requests a probe of the agent.
    pub(crate) fn request_probe(&mut self) {
        self.is_probe_wanted = true;
    }

    /// Resets the channel when the machine's shard has a new holder or the machine has moved to another shard. Requests
    /// a message, which shows the agent our fencing token.
    pub(super) fn reset(&mut self) {
        self.unacknowledged_token = None;
        self.request();
    }
}
