//! When a machine was last seen, and which messages to it were not answered.

use crate::types::Micros;

/// Direct messages in a row without an answer from which on a machine is suspected to receive none.
const SUSPICIOUS_UNANSWERED_COUNT: u32 = 2;

/// Contact with one machine's agent.
#[derive(Default)]
pub(crate) struct Contact {
    last_seen_at: Micros,
    last_heartbeat_at: Micros,
    /// Last heartbeat answered in a way that may have renewed the lease.
    lease_renewed_at: Micros,
    /// Since when it is in this shard, under this holder.
    owned_since: Micros,
    failed_probe_count: u32,
    /// Direct messages in a row without an answer, and since when. Unlike `failed_probe_count` a heartbeat alone does
    /// not reset them: it may come from a machine that can send but not receive.
    unanswered_count: u32,
    unanswered_since: Micros,
    /// When the newest message that is known to have arrived was sent.
    last_delivered_at: Micros,
    last_probed_at: Micros,
    next_probe_at: Micros,
}

impl Contact {
    /// When it last gave a sign of life.
    pub(crate) fn last_seen_at(&self) -> Micros {
        self.last_seen_at
    }

    /// For how long it has given no sign of life.
    pub(crate) fn silence(&self, now: Micros) -> Micros {
        now.since(self.last_seen_at)
    }

    /// How long ago its last heartbeat arrived.
    pub(crate) fn heartbeat_age(&self, now: Micros) -> Micros {
        now.since(self.last_heartbeat_at)
    }

    /// Messages to it that failed since it was last seen.
    pub(crate) fn failed_probe_count(&self) -> u32 {
        self.failed_probe_count
    }

    /// Since when direct messages to it are not answered. Means something only while some are not.
    pub(crate) fn unanswered_since(&self) -> Micros {
        self.unanswered_since
    }

    /// When the newest message that is known to have arrived was sent.
    pub(crate) fn last_delivered_at(&self) -> Micros {
        self.last_delivered_at
    }

    /// When a heartbeat of it was last answered in a way that may have renewed its lease.
    pub(crate) fn lease_renewed_at(&self) -> Micros {
        self.lease_renewed_at
    }

    /// Whether the last direct message to it was not answered.
    pub(crate) fn has_unanswered(&self) -> bool {
        self.unanswered_count > 0
    }

    /// Whether it has answered so few direct messages that it may receive none.
    pub(crate) fn is_suspected_unreachable(&self) -> bool {
        self.unanswered_count >= SUSPICIOUS_UNANSWERED_COUNT
    }

    /// Whether no probe failed since it was last seen, and direct messages are answered.
    pub(crate) fn is_responsive(&self) -> bool {
        self.failed_probe_count == 0 && !self.is_suspected_unreachable()
    }

    /// Whether it seems to receive nothing that it is sent, though its heartbeats arrive. One whose heartbeats stay
    /// away as well is silent, which is judged otherwise.
    pub(crate) fn is_unreachable(&self, now: Micros, min_unanswered_count: u32, min_span: Micros) -> bool {
        let sends_heartbeats = self.last_heartbeat_at > self.unanswered_since;
        let is_unanswered = self.unanswered_count >= min_unanswered_count;
        sends_heartbeats && is_unanswered && now.since(self.unanswered_since) >= min_span
    }

    /// Whether its heartbeats don't get through, though it answers what it is sent: its lease expires, and then again
    /// and again, with whatever it was given in between.
    pub(crate) fn is_missing_heartbeats(&self, now: Micros, min_span: Micros) -> bool {
        let without_heartbeat = now.since(self.last_heartbeat_at.max(self.owned_since));
        without_heartbeat >= min_span && self.unanswered_count == 0 && self.silence(now) < without_heartbeat
    }

    /// Whether it may be probed again.
    pub(crate) fn may_be_probed(&self, now: Micros) -> bool {
        now >= self.next_probe_at
    }

    /// When it was last seen or probed, whichever came later.
    pub(crate) fn last_seen_or_probed_at(&self) -> Micros {
        self.last_seen_at.max(self.last_probed_at)
    }

    /// It is being probed, and will not be again within that interval.
    pub(crate) fn probe_sent(&mut self, now: Micros, min_interval: Micros) {
        self.last_probed_at = now;
        self.next_probe_at = now + min_interval;
    }

    /// This process was stalled for so long: that the machine was not seen meanwhile says nothing about it.
    pub(crate) fn discount_stall(&mut self, now: Micros, stall: Micros) {
        for at in
            [&mut self.last_seen_at, &mut self.unanswered_since, &mut self.owned_since, &mut self.last_heartbeat_at]
        {
            *at = (*at + stall).min(now);
        }
        self.failed_probe_count = 0;
    }

    /// Its shard has a new holder, or it came into another shard.
    pub(super) fn reset(&mut self, now: Micros) {
        self.last_seen_at = now;
        self.owned_since = now;
        self.lease_renewed_at = now;
        self.failed_probe_count = 0;
        self.unanswered_count = 0;
    }

    /// A message of it arrived that does not prove it to answer probes.
    pub(crate) fn seen(&mut self, now: Micros) {
        self.last_seen_at = now;
    }

    /// A sign of life arrived.
    pub(crate) fn proven_alive(&mut self, now: Micros) {
        self.last_seen_at = now;
        self.failed_probe_count = 0;
    }

    /// A heartbeat arrived that is newer than all its messages before.
    pub(crate) fn heartbeat_received(&mut self, now: Micros) {
        self.last_heartbeat_at = now;
    }

    /// Its lease may have been renewed just now.
    pub(crate) fn lease_renewed(&mut self, now: Micros) {
        self.lease_renewed_at = now;
    }

    /// What was sent to it at that time is proven to have arrived.
    pub(crate) fn delivered(&mut self, sent_at: Micros) {
        self.last_delivered_at = self.last_delivered_at.max(sent_at);
        if sent_at >= self.unanswered_since {
            self.unanswered_count = 0;
        }
    }

    /// The answer to the last heartbeat is proven to have arrived.
    pub(crate) fn last_answer_delivered(&mut self) {
        self.delivered(self.lease_renewed_at);
    }

    /// A direct message to it was not answered.
    pub(crate) fn message_failed(&mut self, now: Micros) {
        self.failed_probe_count += 1;
        if self.unanswered_count == 0 {
            self.unanswered_since = now;
        }
        self.unanswered_count += 1;
    }
}
