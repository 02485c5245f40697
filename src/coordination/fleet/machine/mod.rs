//! What this controller knows of one machine and of the agent on it, one sub-record a concern.
//!
//! Nothing here is stored: it comes from heartbeats and direct messages, and starts anew with the process. What the store
//! says of a machine is its `MachineRecord` in the replica.

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

/// Agents number their incarnations from here.
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

/// One machine, as far as heartbeats and direct messages show it.
#[derive(Default)]
pub(crate) struct Machine {
    /// Where its agent takes direct messages.
    pub(crate) addr: Option<SocketAddr>,
    /// The shard it belongs to, and the fencing tokens that its agent has shown.
    pub(crate) ownership: Ownership,
    /// When it was seen, and which messages to it were not answered.
    pub(crate) contact: Contact,
    /// Incarnation and newest messages of its agent.
    pub(crate) messages: AgentMessages,
    /// Direct messages to its agent.
    pub(crate) commands: CommandChannel,
    /// Images on it, and those being fetched.
    pub(crate) images: ImageCache,
    /// Jobs with a task that failed on it since the last success.
    pub(crate) task_failures: TaskFailures,
    /// Tasks on it that the stored records don't know.
    pub(crate) unrecorded: UnrecordedTasks,
    /// The cloud has announced to take the machine back: a spot instance is about to be interrupted.
    pub(crate) has_termination_notice: bool,
    /// Its lease is not renewed, on account of a cancelled task.
    pub(crate) is_renewal_withheld: bool,
    /// Since when no task takes resources here. It has to be idle for a while before it is returned or moved.
    pub(crate) idle_since: Option<Micros>,
    record_write: RecordWrite,
}

impl Machine {
    /// Incarnation of its agent, as of its newest message.
    pub(crate) fn incarnation(&self) -> u64 {
        self.messages.newest().incarnation
    }

    /// Incarnation that a direct message is addressed to: of an agent that has not sent anything yet the first one.
    pub(crate) fn addressed_incarnation(&self) -> u64 {
        self.incarnation().max(FIRST_INCARNATION)
    }

    /// Whether an image is on it.
    pub(crate) fn has_image(&self, image: &str) -> bool {
        self.images.contains(image)
    }

    /// Whether new work may be given to it: no command is unacknowledged, and it answers what it is sent.
    pub(crate) fn is_responsive(&self) -> bool {
        !self.commands.has_unacknowledged() && self.contact.is_responsive()
    }

    /// Whether a change of its stored record has no outcome yet.
    pub(crate) fn is_record_changing(&self) -> bool {
        self.record_write == RecordWrite::Change
    }

    /// Whether its first record is being written.
    pub(crate) fn is_registering(&self) -> bool {
        self.record_write == RecordWrite::Registration
    }

    /// Whether this record is needed although the stored records don't name the machine.
    pub(crate) fn awaits_outcome(&self) -> bool {
        self.commands.is_in_flight() || self.record_write != RecordWrite::None
    }

    /// A change of its stored record is sent.
    pub(crate) fn record_change_started(&mut self) {
        self.record_write = RecordWrite::Change;
    }

    /// Its first record is sent.
    pub(crate) fn registration_started(&mut self) {
        self.record_write = RecordWrite::Registration;
    }

    /// The write of its record has an outcome.
    pub(crate) fn record_write_finished(&mut self) {
        self.record_write = RecordWrite::None;
    }

    /// It belongs to another shard, or its shard to another holder: what was known of it proves nothing any more. Until
    /// now the former holder may have received its heartbeats and renewed its lease.
    pub(crate) fn owner_changed(&mut self, now: Micros) {
        self.ownership.reset();
        self.commands.reset();
        self.contact.reset(now);
        self.task_failures.clear();
        self.unrecorded.clear();
    }
}
