//! Reads after the initial sync: the watch and fresh reads.
//!
//! A fresh read is one `/changes` call that returns at once; whoever asked before it was sent may rely on the replica
//! afterwards. One is in flight at a time, shared by all who wait. An answer counts only for the call that its ticket
//! names.

use crate::coordination::store_sync::StoreSync;
use crate::coordination::store_sync::evidence::{Evidence, LogicalTime};
use crate::coordination::store_sync::initial_sync::PAUSE_AFTER_FAILURE;
use crate::coordination::{Controller, Effect, ReadKind, ReadOutcome, StoreCall};
use crate::protocol::store::Changes;
use crate::types::{Micros, Revision};

/// Part of the store's request limit that all controllers' watches together may take.
const WATCH_PART: f64 = 0.35;
/// The same for fresh reads. What is left is for renewals and transactions.
const FRESH_READ_PART: f64 = 0.08;

/// A read in flight.
#[derive(Clone, Copy)]
struct InFlightRead {
    ticket: u64,
    sent_at: LogicalTime,
}

/// The watch and the fresh read.
#[derive(Default)]
pub(super) struct Reads {
    watch: Option<InFlightRead>,
    next_watch_at: Micros,
    fresh: Option<InFlightRead>,
    last_fresh_at: Micros,
    fresh_retry_at: Micros,
    /// Somebody besides users wants the replica brought up to date.
    is_fresh_wanted: bool,
}

impl Reads {
    /// Has a fresh read sent as soon as possible.
    pub(super) fn request_fresh(&mut self) {
        self.is_fresh_wanted = true;
    }

    fn is_watch_due(&self, now: Micros) -> bool {
        self.watch.is_none() && now >= self.next_watch_at
    }

    fn may_send_fresh(&self, now: Micros, min_interval: Micros) -> bool {
        self.fresh.is_none() && now >= self.fresh_retry_at && now.since(self.last_fresh_at) >= min_interval
    }
}

/// Whether a read in flight is the one of that ticket.
fn is_read(read: Option<InFlightRead>, ticket: u64) -> bool {
    read.is_some_and(|read| read.ticket == ticket)
}

impl StoreSync {
    fn start_read(&mut self, kind: ReadKind, wait_ms: u64) -> (InFlightRead, StoreCall) {
        let (ticket, sent_at) = (self.next_ticket(), self.next_logical_time());
        let after = self.replica.applied_revision.0;
        (InFlightRead { ticket, sent_at }, StoreCall::Changes { ticket, kind, after, wait_ms })
    }

    /// The next call of the watch, if it is due.
    fn due_watch_call(&mut self, now: Micros, wait_ms: u64) -> Option<StoreCall> {
        if !self.is_synced() || !self.reads.is_watch_due(now) {
            return None;
        }
        let (read, call) = self.start_read(ReadKind::Watch, wait_ms);
        self.reads.watch = Some(read);
        Some(call)
    }

    /// A fresh read, if anybody waits for one and it may be sent.
    fn due_fresh_read(&mut self, now: Micros, do_users_wait: bool, min_interval: Micros) -> Option<StoreCall> {
        let is_wanted = self.reads.is_fresh_wanted || do_users_wait;
        if !is_wanted || !self.is_synced() || !self.reads.may_send_fresh(now, min_interval) {
            return None;
        }
        self.reads.last_fresh_at = now;
        self.reads.is_fresh_wanted = false;
        let (read, call) = self.start_read(ReadKind::Fresh, 0);
        self.reads.fresh = Some(read);
        Some(call)
    }

    /// A fresh read has failed: what waits for it goes on waiting.
    fn fresh_read_failed(&mut self, now: Micros) {
        self.reads.fresh_retry_at = now + PAUSE_AFTER_FAILURE;
        self.reads.is_fresh_wanted |= self.txns.is_any_awaiting_replica();
    }
}

impl Controller {
    /// Goes on with the initial sync, or else with the watch.
    pub(crate) fn tick_reads(&mut self) {
        if self.store.is_synced() {
            self.start_watch_if_due();
        } else {
            let call = self.store.due_sync_call(self.clock.steady);
            self.out.extend(call.map(Effect::Store));
        }
    }

    /// Shortest pause between two reads, so that those of all controllers stay within a part of the limit.
    fn min_read_interval(&self, part: f64) -> Micros {
        let limits = &self.platform.deployment;
        let equal_share = f64::from(limits.controller_count) / (limits.store.rps * part);
        Micros::from_millis(self.policy.read_gap_ms).max(Micros::from_secs_f64(equal_share))
    }

    /// Sends the next call of the watch.
    pub(super) fn start_watch_if_due(&mut self) {
        let call = self.store.due_watch_call(self.clock.steady, self.policy.watch_ms);
        self.out.extend(call.map(Effect::Store));
    }

    /// Sends a fresh read if anybody waits for one.
    pub(crate) fn start_fresh_read(&mut self) {
        let min_interval = self.min_read_interval(FRESH_READ_PART);
        let call = self.store.due_fresh_read(self.clock.steady, self.api.needs_read(), min_interval);
        self.out.extend(call.map(Effect::Store));
    }

    /// A read of changes has been answered, or has failed.
    pub(crate) fn changes_outcome(&mut self, ticket: u64, outcome: ReadOutcome<Changes>) {
        if is_read(self.store.reads.watch, ticket) {
            self.watch_outcome(outcome);
        } else if is_read(self.store.reads.fresh, ticket) {
            self.fresh_read_outcome(outcome);
        } else if self.store.initial_sync.is_in_flight(ticket) {
            self.catch_up_outcome(outcome);
        }
    }

    fn watch_outcome(&mut self, outcome: ReadOutcome<Changes>) {
        let Some(read) = self.store.reads.watch.take() else { return };
        match outcome {
            ReadOutcome::Fetched(changes) => {
                self.apply_changes(read.sent_at, &changes);
                self.store.reads.next_watch_at = self.now() + self.min_read_interval(WATCH_PART);
                self.start_watch_if_due();
            }
            ReadOutcome::Compacted => self.resync(),
            ReadOutcome::Failed => self.store.reads.next_watch_at = self.now() + PAUSE_AFTER_FAILURE,
        }
    }

    fn fresh_read_outcome(&mut self, outcome: ReadOutcome<Changes>) {
        let Some(read) = self.store.reads.fresh.take() else { return };
        match outcome {
            ReadOutcome::Fetched(changes) => self.apply_changes(read.sent_at, &changes),
            ReadOutcome::Compacted => self.resync(),
            ReadOutcome::Failed => {
                self.store.fresh_read_failed(self.clock.steady);
                self.read_failed(read.sent_at);
            }
        }
    }

    /// Brings the replica up to date, and then all that waits for it.
    fn apply_changes(&mut self, sent_at: LogicalTime, changes: &Changes) {
        let revision = Revision(changes.revision);
        let changed = self.store.replica.advance(&changes.events, revision);
        self.api.replica_reached(self.store.replica.applied_revision);
        self.apply_replica_changes(changed);
        self.settle_conflicts();
        self.api.note_read_evidence(&Evidence::new(sent_at, revision));
        self.answer_pending_requests();
        self.scheduling.request_cycle();
    }
}
