//! When a machine was last seen, and which messages to it were not answered.

use crate::types::Micros;

/// Number of consecutive direct messages without an answer from which on a machine is suspected to receive none.
const SUSPICIOUS_UNANSWERED_COUNT: u32 = 2;

/// Contact with one machine's agent.
#[derive(Default)]
pub(crate) struct Contact {
    last_seen_at: Micros,
    last_heartbeat_at: Micros,
    /// When a heartbeat was last answered in a way that may have renewed the lease.
    lease_renewed_at: Micros,
    /// Since when the machine has been in its shard under the present holder.
    owned_since: Micros,
    failed_probe_count: u32,
    /// Number of consecutive direct messages without an answer. Unlike `failed_probe_count`, a heartbeat alone does not
    /// reset it: it may come from a machine that can send but not receive.
    unanswered_count: u32,
    /// When the first of these messages failed.
    unanswered_since: Micros,
    /// When the newest message that is known to have arrived was sent.
    last_delivered_at: Micros,
    last_probed_at: Micros,
    next_probe_at: Micros,
}

impl Contact {
    /// Returns when the machine last gave a sign of life.
    pub(crate) fn last_seen_at(&self) -> Micros {
        self.last_seen_at
    }

    /// Returns the time since the last sign of life.
    pub(crate) fn silence(&self, now: Micros) -> Micros {
        now.since(self.last_seen_at)
    }

    /// Returns the time since the last heartbeat.
    pub(crate) fn heartbeat_age(&self, now: Micros) -> Micros {
        now.since(self.last_heartbeat_at)
    }

    /// Returns the number of messages to the machine that failed since its last sign of life.
    pub(crate) fn failed_probe_count(&self) -> u32 {
        self.failed_probe_count
    }

    /// Returns since when direct messages have not been answered. Only valid while the last one was not answered.
    pub(crate) fn unanswered_since(&self) -> Micros {
        self.unanswered_since
    }

    /// Returns when the newest message that is known to have arrived was sent.
    pub(crate) fn last_delivered_at(&self) -> Micros {
        self.last_delivered_at
    }

    /// Returns when a heartbeat was last answered in a way that may have renewed the lease.
    pub(crate) fn lease_renewed_at(&self) -> Micros {
        self.lease_renewed_at
    }

    /// Returns whether the last direct message was not answered.
    pub(crate) fn has_unanswered(&self) -> bool {
        self.unanswered_count > 0
    }

    /// Returns whether enough consecutive direct messages were not answered to suspect that the machine receives none.
    pub(crate) fn is_suspected_unreachable(&self) -> bool {
        self.unanswered_count >= SUSPICIOUS_UNANSWERED_COUNT
    }

    /// Returns whether no probe has failed since the last sign of life and the machine is not suspected to be
    /// unreachable.
    pub(crate) fn is_responsive(&self) -> bool {
        self.failed_probe_count == 0 && !self.is_suspected_unreachable()
    }

    /// Returns whether the machine seems to receive no messages, though its heartbeats arrive. A machine whose
    /// heartbeats don't arrive either is silent, which is evaluated separately.
    pub(crate) fn is_unreachable(&self, now: Micros, min_unanswered_count: u32, min_span: Micros) -> bool {
        let sends_heartbeats = self.last_heartbeat_at > self.unanswered_since;
        let is_unanswered = self.unanswered_count >= min_unanswered_count;
        sends_heartbeats && is_unanswered && now.since(self.unanswered_since) >= min_span
    }

    /// Returns whether the machine's heartbeats don't arrive, though it answers messages. Its lease then expires
    /// repeatedly, and each time all work that it was given in between is lost.
    pub(crate) fn is_missing_heartbeats(&self, now: Micros, min_span: Micros) -> bool {
        let without_heartbeat = now.since(self.last_heartbeat_at.max(self.owned_since));
        without_heartbeat >= min_span && self.unanswered_count == 0 && self.silence(now) < without_heartbeat
    }

    /// Returns whether the machine may be probed again.
    pub(crate) fn may_be_probed(&self, now: Micros) -> bool {
        now >= self.next_probe_at
    }

    /// Returns when the machine was last seen or probed, whichever was later.
    pub(crate) fn last_seen_or_probed_at(&self) -> Micros {
        self.last_seen_at.max(self.last_probed_at)
    }

    /// Records that a probe was sent. The next one may be sent after `min_interval`.
    pub(crate) fn probe_sent(&mut self, now: Micros, min_interval: Micros) {
        self.last_probed_at = now;
        self.next_probe_at = now + min_interval;
    }

    /// Discounts a stall of this process: that the machine was not seen during the stall says nothing about it.
    pub(crate) fn discount_stall(&mut self, now: Micros, stall: Micros) {
        for at in
            [&mut self.last_seen_at, &mut self.unanswered_since, &mut self.owned_since, &mut self.last_heartbeat_at]
        {
            *at = (*at + stall).min(now);
        }
        self.failed_probe_count = 0;
    }

    /// Resets the contact when the machine's shard has a new holder or the machine has moved to another shard.
    pub(super) fn reset(&mut self, now: Micros) {
        self.last_seen_at = now;
        self.owned_since = now;
        self.lease_renewed_at = now;
        self.failed_probe_count = 0;
        self.unanswered_count = 0;
    }

    /// Records a message that does not prove that the machine answers probes.
    pub(crate) fn seen(&mut self, now: Micros) {
        self.last_seen_at = now;
    }

    /// Records a sign of life.
    pub(crate) fn proven_alive(&mut self, now: Micros) {
        self.last_seen_at = now;
        self.failed_probe_count = 0;
    }

    /// Records a heartbeat that is newer than all earlier messages.
    pub(crate) fn heartbeat_received(&mut self, now: Micros) {
        self.last_heartbeat_at = now;
    }

    /// Records that the lease may have been renewed just now.
    pub(crate) fn lease_renewed(&mut self, now: Micros) {
        self.lease_renewed_at = now;
    }

    /// Records that a message sent at `sent_at` is proven to have arrived.
    pub(crate) fn delivered(&mut self, sent_at: Micros) {
        self.last_delivered_at = self.last_delivered_at.max(sent_at);
        if sent_at >= self.unanswered_since {
            self.unanswered_count = 0;
        }
    }

    /// Records that the answer to the last heartbeat is proven to have arrived.
    pub(crate) fn last_answer_delivered(&mut self) {
        self.delivered(self.lease_renewed_at);
    }

    /// Records that a direct message was not answered.
    pub(crate) fn message_failed(&mut self, now: Micros) {
        self.failed_probe_count += 1;
        if self.unanswered_count == 0 {
            self.unanswered_since = now;
        }
        self.unanswered_count += 1;
    }
}
