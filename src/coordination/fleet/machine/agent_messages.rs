//! Incarnation of an agent, and the order of its messages.

use crate::protocol::agent::Heartbeat;

/// Place of a message among all of an agent's. Messages of a later incarnation are newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct MessagePosition {
    /// Start of the agent's process.
    pub(crate) incarnation: u64,
    /// Number of the message in this incarnation.
    pub(crate) seq: u64,
}

impl From<&Heartbeat> for MessagePosition {
    fn from(heartbeat: &Heartbeat) -> MessagePosition {
        MessagePosition { incarnation: heartbeat.incarnation, seq: heartbeat.seq }
    }
}

/// The newest heartbeat of an agent. Answers to direct messages don't count.
#[derive(Clone, Copy, Default)]
struct LastHeartbeat {
    position: MessagePosition,
    /// It came from the agent itself, not through a sibling.
    is_direct: bool,
}

/// What the number of a heartbeat tells.
pub(crate) struct HeartbeatOrder {
    /// Newer than all heartbeats before.
    pub(crate) is_new: bool,
    /// The agent has received the answer to its last heartbeat: otherwise it would have gone to another controller.
    pub(crate) confirms_last_answer: bool,
    /// A message in between did not arrive.
    pub(crate) has_gap: bool,
    /// Newer than all messages before. An older one may be a late copy, and shows no heartbeat to get through now.
    pub(crate) is_newest_message: bool,
}

/// Messages of one agent.
#[derive(Default)]
pub(crate) struct AgentMessages {
    newest: MessagePosition,
    last_heartbeat: LastHeartbeat,
}

impl AgentMessages {
    /// The newest message whose content was taken in.
    pub(crate) fn newest(&self) -> MessagePosition {
        self.newest
    }

    /// The content of a message is taken in.
    pub(crate) fn advance(&mut self, position: MessagePosition) {
        self.newest = position;
    }

    /// Compares a heartbeat with the messages before, and notes it if it is new.
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
