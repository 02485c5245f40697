//! State of one machine and its agent as known to this controller, with a separate type for each concern.
//!
//! None of it is stored: it is derived from heartbeats and direct messages, and is empty when the process starts. The
//! stored state of a machine is its `MachineRecord` in the replica.

mod agent_messages;
mod command_channel;
mod contact;
mod image_cache;
mod message_acceptance;
mod ownership;
mod task_failures;
mod unrecorded_tasks;

pub(crate) use agent_messages::{AgentMessages, MessagePosition};
pub(crate) use command_channel::CommandChannel;
pub(crate) use contact::Contact;
pub(crate) use image_cache::ImageCache;
pub(crate) use ownership::{Ownership, TokenEvidence};
pub(crate) use task_failures::{JobFailures, TaskFailures};
pub(crate) use unrecorded_tasks::{UnrecordedTask, UnrecordedTasks};

use crate::types::Micros;
use std::net::SocketAddr;

/// Number of an agent's first incarnation.
const FIRST_INCARNATION: u64 = 1;

/// A write of the machine's stored record that has no outcome yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum RecordWrite {
    #[default]
    None,
    /// Its first record is being written.
    Registration,
    /// Its record is being changed.
    Change,
}

/// State of one machine, as shown by heartbeats and direct messages.
#[derive(Default)]
pub(crate) struct Machine {
    /// Address at which its agent receives direct messages.
    pub(crate) addr: Option<SocketAddr>,
    /// The shard it belongs to, and the fencing tokens that its agent has shown.
    pub(crate) ownership: Ownership,
    /// When it was last seen, and which messages to it were not answered.
    pub(crate) contact: Contact,
    /// Incarnation of its agent, and the positions of the agent's newest messages.
    pub(crate) messages: AgentMessages,
    /// Direct messages to its agent.
    pub(crate) commands: CommandChannel,
    /// Images on it, and those being fetched.
    pub(crate) images: ImageCache,
    /// Jobs with a task that failed on it since the last success.
    pub(crate) task_failures: TaskFailures,
    /// Tasks on it that are not in the stored records.
    pub(crate) unrecorded: UnrecordedTasks,
    /// Whether the cloud has announced that it will reclaim the machine: a spot instance is about to be interrupted.
    pub(crate) has_termination_notice: bool,
    /// Whether its lease is not renewed, because a cancelled task may still be started there.
    pub(crate) is_renewal_withheld: bool,
    /// Since when no task has used resources on it. It has to be idle for a while before it is returned or moved.
    pub(crate) idle_since: Option<Micros>,
    record_write: RecordWrite,
}

impl Machine {
    /// Returns the incarnation of its agent, as of the agent's newest message.
    pub(crate) fn incarnation(&self) -> u64 {
        self.messages.newest().incarnation
    }

    /// Returns the incarnation to which a direct message is addressed. For an agent that has not sent anything yet,
    /// this is the first one.
    pub(crate) fn addressed_incarnation(&self) -> u64 {
        self.incarnation().max(FIRST_INCARNATION)
    }

    /// Returns whether an image is on the machine.
    pub(crate) fn has_image(&self, image: &str) -> bool {
        self.images.contains(image)
    }

    /// Returns whether the machine may be given new work: no command is unacknowledged, and it answers messages.
    pub(crate) fn is_responsive(&self) -> bool {
        !self.commands.has_unacknowledged() && self.contact.is_responsive()
    }

    /// Returns whether a change of its stored record has no outcome yet.
    pub(crate) fn is_record_changing(&self) -> bool {
        self.record_write == RecordWrite::Change
    }

    /// Returns whether its first record is being written.
    pub(crate) fn is_registering(&self) -> bool {
        self.record_write == RecordWrite::Registration
    }

    /// Returns whether a message to the machine or a write of its record has no outcome yet. Its state is then still
    /// needed, even without a stored record.
    pub(crate) fn awaits_outcome(&self) -> bool {
        self.commands.is_in_flight() || self.record_write != RecordWrite::None
    }

    /// Records that a change of its stored record was sent.
    pub(crate) fn record_change_started(&mut self) {
        self.record_write = RecordWrite::Change;
    }

    /// Records that the write of its first record was sent.
    pub(crate) fn registration_started(&mut self) {
        self.record_write = RecordWrite::Registration;
    }

    /// Records that the write of its record has an outcome.
    pub(crate) fn record_write_finished(&mut self) {
        self.record_write = RecordWrite::None;
    }

    /// Resets the state when the machine belongs to another shard or its shard to another holder, as earlier knowledge
    /// proves nothing any more. Until now the former holder may have received heartbeats and renewed the lease.
    pub(crate) fn owner_changed(&mut self, now: Micros) {
        self.ownership.reset();
        self.commands.reset();
        self.contact.reset(now);
        self.task_failures.clear();
        self.unrecorded.clear();
    }
}
