//! Changes that an agent's message makes to what is known about its machine.

use crate::coordination::fleet::heartbeats::HeartbeatSource;
use crate::coordination::fleet::machine::{Machine, MessagePosition, TokenEvidence};
use crate::protocol::agent::Heartbeat;
use crate::types::{FencingToken, Micros};

impl Machine {
    /// Records a heartbeat's position, and what it shows about the messages that the agent has received. Returns false
    /// if the heartbeat is not newer than all earlier ones.
    pub(crate) fn note_heartbeat(&mut self, heartbeat: &Heartbeat, is_relayed: bool, now: Micros) -> bool {
        let order = self.messages.order_heartbeat(MessagePosition::from(heartbeat), is_relayed);
        if !order.is_new {
            // Either this is a copy of a heartbeat that we have received, and no agent waits for the answer, or the
            // agent lost its state and its numbers start again: then an answer would renew a lease that we later assume
            // to have expired. A probe distinguishes the two: only an agent that lost its state can answer it with a
            // lower number than before.
            self.commands.request_probe();
            return false;
        }
        if order.confirms_last_answer {
            self.contact.last_answer_delivered();
        }
        if order.has_gap {
            // The agent may not have received our last answer, and perhaps no message reaches it. Commands that wait
            // for its next heartbeat would never reveal that.
            self.commands.request_probe();
        }
        if order.is_newest_message {
            self.contact.heartbeat_received(now);
        }
        true
    }

    /// Records that the agent has shown a later fencing token than ours. Its messages count again only once they show a
    /// token of ours that is above that one.
    pub(crate) fn later_token_shown(&mut self, fencing_token: FencingToken, now: Micros) {
        self.commands.set_unacknowledged(fencing_token);
        self.ownership.later_token_shown();
        self.contact.seen(now);
    }

    /// Processes what a message says about the machine itself. Returns None if the message is not newer than all
    /// earlier ones.
    pub(crate) fn accept_message(
        &mut self,
        heartbeat: &Heartbeat,
        source: HeartbeatSource,
        our_token: FencingToken,
        now: Micros,
    ) -> Option<TokenEvidence> {
        let position = MessagePosition::from(heartbeat);
        if position <= self.messages.newest() {
            return None;
        }
        let evidence = self.ownership.token_shown(heartbeat.fencing_token, our_token);
        // A heartbeat without our fencing token may be a copy from before we held the shard, so it is no sign of life.
        if evidence != TokenEvidence::Outdated || source == HeartbeatSource::DirectAnswer {
            self.contact.proven_alive(now);
        }
        if position.incarnation > self.incarnation() {
            self.incarnation_changed(now);
        }
        self.messages.advance(position);
        self.has_termination_notice = heartbeat.termination_notice_s.is_some();
        if let Some(addr) = heartbeat.addr.as_ref().and_then(|addr| addr.parse().ok()) {
            self.addr = Some(addr);
        }
        match evidence {
            TokenEvidence::Outdated => {}
            TokenEvidence::FirstConfirmation => {
                self.commands.token_shown(heartbeat.fencing_token);
                // Until the agent showed our fencing token, a former holder may have continued to renew its lease.
                self.contact.lease_renewed(now);
            }
            TokenEvidence::Confirmed => self.commands.token_shown(heartbeat.fencing_token),
        }
        Some(evidence)
    }

    /// Resets what belonged to the agent's previous incarnation. The new incarnation has a lease of its own.
    fn incarnation_changed(&mut self, now: Micros) {
        self.contact.lease_renewed(now);
        self.unrecorded.clear();
        self.images.clear_fetches();
    }
}
