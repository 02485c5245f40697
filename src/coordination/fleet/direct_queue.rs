//! Queue of machines to which a direct message is to be sent, and the number of open messages.

use crate::types::{MachineId, Micros};
use std::collections::BTreeSet;

/// Machines to which a direct message is to be sent. Whether it is still needed is up to the machine's command channel.
pub(super) struct DirectQueue {
    ready: BTreeSet<MachineId>,
    /// Machines whose message can wait until the given time for their next heartbeat.
    delayed: BTreeSet<(Micros, MachineId)>,
    /// Number of messages without an outcome, each of which takes a socket.
    open_count: usize,
    max_open_count: usize,
}

impl DirectQueue {
    /// Creates an empty queue with a limit on the messages that are open at once.
    pub(super) fn new(max_open_count: usize) -> DirectQueue {
        DirectQueue { ready: BTreeSet::new(), delayed: BTreeSet::new(), open_count: 0, max_open_count }
    }

    /// Adds a machine whose message is to be sent as soon as possible.
    pub(super) fn push(&mut self, id: &MachineId) {
        self.ready.insert(id.clone());
    }

    /// Adds a machine whose message is to be sent at a later time.
    pub(super) fn push_delayed(&mut self, id: &MachineId, at: Micros) {
        self.delayed.insert((at, id.clone()));
    }

    /// Removes and returns all machines whose message is due.
    pub(super) fn take_ready(&mut self, now: Micros) -> BTreeSet<MachineId> {
        while self.delayed.first().is_some_and(|(at, _)| *at <= now) {
            self.ready.extend(self.delayed.pop_first().map(|(_, id)| id));
        }
        std::mem::take(&mut self.ready)
    }

    /// Returns whether the limit on open messages is reached.
    pub(super) fn is_full(&self) -> bool {
        self.open_count >= self.max_open_count
    }

    /// Counts a message that was sent as open.
    pub(super) fn opened(&mut self) {
        self.open_count += 1;
    }

    /// Counts a message that has an outcome as closed.
    pub(super) fn closed(&mut self) {
        self.open_count = self.open_count.saturating_sub(1);
    }

    /// Takes over the number of open messages, which a predecessor in this process sent.
    pub(super) fn adopt_open_messages(&mut self, predecessor: &DirectQueue) {
        self.open_count = predecessor.open_count;
    }
}
