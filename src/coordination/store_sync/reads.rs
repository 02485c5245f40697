//! Reads after the initial sync: the watch and fresh reads.
//!
//! A fresh read is a `/changes` call that returns at once; requests received before it was sent may be answered from
//! the replica afterwards. At most one fresh read is in flight at a time, and all waiting requests share it. An answer
//! is applied only if its ticket names the call in flight.

use crate::coordination::store_sync::StoreSync;
use crate::coordination::store_sync::evidence::{Evidence, LogicalTime};
use crate::coordination::store_sync::initial_sync::PAUSE_AFTER_FAILURE;
use crate::coordination::{Controller, Effect, ReadKind, ReadOutcome, StoreCall};
use crate::protocol::store::Changes;
use crate::types::{Micros, Revision};

/// Fraction of the store's request limit that the watches of all controllers together may use.
const WATCH_LIMIT_FRACTION: f64 = 0.35;
/// Fraction of the store's request limit that the fresh reads of all controllers together may use. The remainder is for
/// session renewals and transactions.
const FRESH_READ_LIMIT_FRACTION: f64 = 0.08;

/// A read in flight.
#[derive(Clone, Copy)]
struct InFlightRead {
    ticket: u64,
    sent_at: LogicalTime,
}

/// The state of the watch and of fresh reads.
#[derive(Default)]
pub(super) struct Reads {
    watch: Option<InFlightRead>,
    next_watch_at: Micros,
    fresh: Option<InFlightRead>,
    last_fresh_at: Micros,
    fresh_retry_at: Micros,
    /// Whether a fresh read is wanted for a reason other than a waiting user request.
    is_fresh_wanted: bool,
}

impl Reads {
    /// Requests a fresh read as soon as possible.
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

/// Returns whether a read is in flight and has this ticket.
fn has_ticket(read: Option<InFlightRead>, ticket: u64) -> bool {
    read.is_some_and(|read| read.ticket == ticket)
}

impl StoreSync {
    fn start_read(&mut self, kind: ReadKind, wait_ms: u64) -> (InFlightRead, StoreCall) {
        let (ticket, sent_at) = (self.next_ticket(), self.next_logical_time());
        let after = self.replica.applied_revision.0;
        (InFlightRead { ticket, sent_at }, StoreCall::Changes { ticket, kind, after, wait_ms })
    }

    /// Returns the next call of the watch, if it is due.
    fn due_watch_call(&mut self, now: Micros, wait_ms: u64) -> Option<StoreCall> {
        if !self.is_synced() || !self.reads.is_watch_due(now) {
            return None;
        }
        let (read, call) = self.start_read(ReadKind::Watch, wait_ms);
        self.reads.watch = Some(read);
        Some(call)
    }

    /// Returns a fresh read, if one is wanted and may be sent now.
    fn due_fresh_read(&mut self, now: Micros, are_users_waiting: bool, min_interval: Micros) -> Option<StoreCall> {
        let is_wanted = self.reads.is_fresh_wanted || are_users_waiting;
        if !is_wanted || !self.is_synced() || !self.reads.may_send_fresh(now, min_interval) {
            return None;
        }
        self.reads.last_fresh_at = now;
        self.reads.is_fresh_wanted = false;
        let (read, call) = self.start_read(ReadKind::Fresh, 0);
        self.reads.fresh = Some(read);
        Some(call)
    }

    /// Handles the failure of a fresh read: it is retried after a pause if transactions wait for the replica.
    fn fresh_read_failed(&mut self, now: Micros) {
        self.reads.fresh_retry_at = now + PAUSE_AFTER_FAILURE;
        self.reads.is_fresh_wanted |= self.txns.is_any_awaiting_replica();
    }
}

impl Controller {
    /// Continues the initial sync, or the watch once that is done.
    pub(crate) fn tick_reads(&mut self) {
        if self.store.is_synced() {
            self.start_watch_if_due();
        } else {
            let call = self.store.due_sync_call(self.clock.steady);
            self.out.extend(call.map(Effect::Store));
        }
    }

    /// Returns the minimum interval between two reads with which the reads of all controllers together stay within a
    /// fraction of the store's request limit.
    fn min_read_interval(&self, limit_fraction: f64) -> Micros {
        let limits = &self.platform.deployment;
        let interval_s = f64::from(limits.controller_count) / (limits.store.rps * limit_fraction);
        Micros::from_millis(self.policy.read_gap_ms).max(Micros::from_secs_f64(interval_s))
    }

    /// Sends the next call of the watch, if it is due.
    pub(super) fn start_watch_if_due(&mut self) {
        let call = self.store.due_watch_call(self.clock.steady, self.policy.watch_ms);
        self.out.extend(call.map(Effect::Store));
    }

    /// Sends a fresh read if one is wanted and may be sent now.
    pub(crate) fn start_fresh_read(&mut self) {
        let min_interval = self.min_read_interval(FRESH_READ_LIMIT_FRACTION);
        let call = self.store.due_fresh_read(self.clock.steady, self.api.needs_read(), min_interval);
        self.out.extend(call.map(Effect::Store));
    }

    /// Handles the outcome of a read of changes.
    pub(crate) fn changes_outcome(&mut self, ticket: u64, outcome: ReadOutcome<Changes>) {
        if has_ticket(self.store.reads.watch, ticket) {
            self.watch_outcome(outcome);
        } else if has_ticket(self.store.reads.fresh, ticket) {
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
                self.store.reads.next_watch_at = self.now() + self.min_read_interval(WATCH_LIMIT_FRACTION);
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

    /// Applies changes to the replica, then continues whatever waited for its new revision.
    fn apply_changes(&mut self, sent_at: LogicalTime, changes: &Changes) {
        let revision = Revision(changes.revision);
        let changed = self.store.replica.advance(&changes.events, revision);
        self.api.replica_reached(self.store.replica.applied_revision);
        self.apply_replica_changes(changed);
        self.end_reached_conflicts();
        self.api.note_read_evidence(&Evidence::new(sent_at, revision));
        self.answer_pending_requests();
        self.scheduling.request_cycle();
    }
}
