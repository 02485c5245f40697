//! Incarnations of an agent, and the order of its messages.

use crate::protocol::agent::Heartbeat;

/// Position of a message among all messages of an agent. Messages of a later incarnation are newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct MessagePosition {
    /// Incarnation of the agent: a new one begins each time its lease expires.
    pub(crate) incarnation: u64,
    /// Sequence number of the message within its incarnation.
    pub(crate) seq: u64,
}

impl From<&Heartbeat> for MessagePosition {
    fn from(heartbeat: &Heartbeat) -> MessagePosition {
        MessagePosition { incarnation: heartbeat.incarnation, seq: heartbeat.seq }
    }
}

/// The newest heartbeat of an agent, not counting answers to direct messages.
#[derive(Clone, Copy, Default)]
struct LastHeartbeat {
    position: MessagePosition,
    /// Whether it came from the agent itself, not through a sibling.
    is_direct: bool,
}

/// What the position of a heartbeat shows about it and the messages before it.
pub(crate) struct HeartbeatOrder {
    /// Whether it is newer than all earlier heartbeats.
    pub(crate) is_new: bool,
    /// Whether the agent has received the answer to its last heartbeat: otherwise it would have gone to another
    /// controller.
    pub(crate) confirms_last_answer: bool,
    /// Whether a message between it and the newest earlier message did not arrive.
    pub(crate) has_gap: bool,
    /// Whether it is newer than all earlier messages. Otherwise it may be a late copy, which does not show that
    /// heartbeats arrive now.
    pub(crate) is_newest_message: bool,
}

/// Positions of the newest messages of one agent.
#[derive(Default)]
pub(crate) struct AgentMessages {
    newest: MessagePosition,
    last_heartbeat: LastHeartbeat,
}

impl AgentMessages {
    /// Returns the position of the newest message whose content was processed.
    pub(crate) fn newest(&self) -> MessagePosition {
        self.newest
    }

    /// Records the position of a message whose content is processed.
    pub(crate) fn advance(&mut self, position: MessagePosition) {
        self.newest = position;
    }

    /// Compares a heartbeat with earlier messages, and records its position if it is new.
    pub(crate) fn order_heartbeat(&mut self, position: MessagePosition, is_relayed: bool) -> HeartbeatOrder {
        let last = self.last_heartbeat;
        let is_new = position > last.position;
        let order = HeartbeatOrder {
            is_new,
            confirms_last_answer: is_new
                && last.is_direct
                && !is_relayed
                && last.position.incarnation == position.incarnation
                && position.seq == last.position.seq + 1,
            has_gap: is_new && position.incarnation == self.newest.incarnation && position.seq > self.newest.seq + 1,
            is_newest_message: is_new && position > self.newest,
        };
        if is_new {
            self.last_heartbeat = LastHeartbeat { position, is_direct: !is_relayed };
        }
        order
    }
}
