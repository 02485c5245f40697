//! Which machines a direct message is to be sent to, and how many such messages are open.

use crate::types::{MachineId, Micros};
use std::collections::BTreeSet;

/// Direct messages to be sent. Whether one is still wanted is for the machine's command channel to say.
pub(super) struct DirectQueue {
    ready: BTreeSet<MachineId>,
    /// Those that can wait until then for the machine's next heartbeat.
    delayed: BTreeSet<(Micros, MachineId)>,
    /// Messages without an outcome, each of which takes a socket.
    open_count: usize,
    max_open_count: usize,
}

impl DirectQueue {
    /// An empty queue, of which so many messages may be open at once.
    pub(super) fn new(max_open_count: usize) -> DirectQueue {
        DirectQueue { ready: BTreeSet::new(), delayed: BTreeSet::new(), open_count: 0, max_open_count }
    }

    /// Adds a machine.
    pub(super) fn push(&mut self, id: &MachineId) {
        self.ready.insert(id.clone());
    }

    /// Adds a machine at a later time.
    pub(super) fn push_delayed(&mut self, id: &MachineId, at: Micros) {
        self.delayed.insert((at, id.clone()));
    }

    /// Takes all machines whose time has come.
    pub(super) fn take_ready(&mut self, now: Micros) -> BTreeSet<MachineId> {
        while self.delayed.first().is_some_and(|(at, _)| *at <= now) {
            self.ready.extend(self.delayed.pop_first().map(|(_, id)| id));
        }
        std::mem::take(&mut self.ready)
    }

    /// Whether no more messages may be open.
    pub(super) fn is_full(&self) -> bool {
        self.open_count >= self.max_open_count
    }

    /// A message was sent.
    pub(super) fn opened(&mut self) {
        self.open_count += 1;
    }

    /// A message has an outcome.
    pub(super) fn closed(&mut self) {
        self.open_count = self.open_count.saturating_sub(1);
    }

    /// Messages that a predecessor in this process sent are still open.
    pub(super) fn adopt_open_messages(&mut self, predecessor: &DirectQueue) {
        self.open_count = predecessor.open_count;
    }
}
