//! What an agent's message changes in the record of its machine.

use crate::coordination::fleet::heartbeats::HeartbeatSource;
use crate::coordination::fleet::machine::{Machine, MessagePosition, TokenEvidence};
use crate::protocol::agent::Heartbeat;
use crate::types::{FencingToken, Micros};

impl Machine {
    /// Notes a heartbeat's number, and what it tells of what the agent has received. False for one that is not newer than
    /// all before.
    pub(crate) fn note_heartbeat(&mut self, heartbeat: &Heartbeat, is_relayed: bool, now: Micros) -> bool {
        let order = self.messages.order_heartbeat(MessagePosition::from(heartbeat), is_relayed);
        if !order.is_new {
            // A copy of a heartbeat that we have seen, for which nobody waits any more. Or an agent that lost its state and
            // counts from the start: an answer would renew a lease that we then take for expired. Asked directly it can't
            // show less than it did before, unless it did lose its state.
            self.commands.want_probe();
            return false;
        }
        if order.confirms_last_answer {
            self.contact.last_answer_delivered();
        }
        if order.has_gap {
            // Perhaps the agent did not receive our last answer, and it may be that nothing reaches it. What waits for its
            // next heartbeat would never tell.
            self.commands.want_probe();
        }
        if order.is_newest_message {
            self.contact.heartbeat_received(now);
        }
        true
    }

    /// Its agent has shown a later fencing token than ours. A token of ours above that one has to be shown before anything
    /// counts again.
    pub(crate) fn later_token_shown(&mut self, fencing_token: FencingToken, now: Micros) {
        self.commands.set_unacknowledged(fencing_token);
        self.ownership.later_token_shown();
        self.contact.seen(now);
    }

    /// Takes in what a message says of the machine itself. None if it is not newer than all before.
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
        // A heartbeat without our fencing token may be a copy from before our time: no sign of life.
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
                // Until it showed our fencing token a former holder may have gone on renewing its lease.
                self.contact.lease_renewed(now);
            }
            TokenEvidence::Confirmed => self.commands.token_shown(heartbeat.fencing_token),
        }
        Some(evidence)
    }

    /// Its agent has a new incarnation, which comes with a lease of its own.
    fn incarnation_changed(&mut self, now: Micros) {
        self.contact.lease_renewed(now);
        self.unrecorded.clear();
        self.images.clear_fetches();
    }
}
