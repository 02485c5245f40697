//! Reading the store: the first scan, the watch, and fresh reads.
//!
//! A fresh read is one `/changes` call that returns at once; whoever asked before it was sent may
//! rely on the replica afterwards. One is in flight at a time, shared by all who wait. An answer counts only for the
//! call that its ticket names.

use crate::coordination::store_sync::evidence::{Evidence, LogicalTime};
use crate::coordination::{Controller, Effect, ReadKind, ReadOutcome, StoreCall};
use crate::protocol::store::{Changes, Page};
use crate::types::{Micros, Revision};

/// The first reading of all records: pages one after the other, then what changed since the first of them. Only then
/// is the replica what the store held at one moment, and anything decided or told by it.
#[derive(Default)]
pub(crate) struct Sync {
    pub done: bool,
    /// The call on its way.
    in_flight: Option<u64>,
    after: Option<String>,
    first_revision: Option<Revision>,
    /// All pages are read.
    catching_up: bool,
    not_before: Micros,
}

/// A read on its way.
#[derive(Clone, Copy)]
struct InFlight {
    ticket: u64,
    begun: LogicalTime,
}

#[derive(Default)]
pub(crate) struct Reads {
    watch: Option<InFlight>,
    watch_not_before: Micros,
    fresh: Option<InFlight>,
    last_read: Micros,
    not_before: Micros,
    /// Somebody besides users wants the replica brought up to date.
    pub wanted: bool,
}

/// Parts of the store's request limit that all controllers' watches and fresh reads together
/// may take: what is left is for renewals and transactions.
const WATCH_PART: f64 = 0.35;
const FRESH_PART: f64 = 0.08;

const PAUSE_AFTER_FAILURE: Micros = Micros::from_millis(300);

impl Controller {
    pub(crate) fn tick_reads(&mut self) {
        let now = self.now();
        if !self.store.sync.done {
            if self.store.sync.in_flight.is_none() && now >= self.store.sync.not_before {
                self.read_on();
            }
            return;
        }
        self.watch();
    }

    /// The next step of the first reading.
    fn read_on(&mut self) {
        let ticket = self.next_ticket();
        self.store.sync.in_flight = Some(ticket);
        let call = if self.store.sync.catching_up {
            let after = self.store.replica.applied_revision.0;
            StoreCall::Changes { ticket, kind: ReadKind::Fresh, after, wait_ms: 0 }
        } else {
            StoreCall::Page { ticket, after: self.store.sync.after.clone() }
        };
        self.out.push(Effect::Store(call));
    }

    fn begin_read(&mut self, kind: ReadKind, wait_ms: u64) -> InFlight {
        let (ticket, begun) = (self.next_ticket(), self.store.order.tick());
        let after = self.store.replica.applied_revision.0;
        self.out.push(Effect::Store(StoreCall::Changes { ticket, kind, after, wait_ms }));
        InFlight { ticket, begun }
    }

    /// Shortest pause between two reads, so that those of all controllers stay within a part of
    /// the limit.
    fn read_gap(&self, part: f64) -> Micros {
        let limits = &self.platform.deployment;
        let equal = f64::from(limits.controller_count) / (limits.store.rps * part);
        Micros::from_millis(self.policy.read_gap_ms).max(Micros::from_secs_f64(equal))
    }

    fn watch(&mut self) {
        if self.store.sync.done && self.store.reads.watch.is_none() && self.now() >= self.store.reads.watch_not_before {
            let wait_ms = self.policy.watch_ms;
            self.store.reads.watch = Some(self.begin_read(ReadKind::Watch, wait_ms));
        }
    }

    pub(crate) fn page_outcome(&mut self, ticket: u64, outcome: ReadOutcome<Page>) {
        if self.store.sync.in_flight != Some(ticket) {
            return;
        }
        self.store.sync.in_flight = None;
        let ReadOutcome::Got(page) = outcome else {
            self.store.sync.not_before = self.now() + PAUSE_AFTER_FAILURE;
            return;
        };
        let first = *self.store.sync.first_revision.get_or_insert(Revision(page.revision));
        for item in &page.items {
            self.store.replica.apply(&item.key, Some(&item.value), item.version);
        }
        if page.more
            && let Some(last) = page.items.last()
        {
            self.store.sync.after = Some(last.key.clone());
        } else {
            // Later pages may be newer than the first.
            self.store.replica.applied_revision = first;
            self.store.sync.catching_up = true;
        }
        self.read_on();
    }

    fn caught_up(&mut self, outcome: ReadOutcome<Changes>) {
        self.store.sync.in_flight = None;
        match outcome {
            ReadOutcome::Got(changes) => {
                self.store.replica.advance(&changes.events, Revision(changes.revision));
                self.store.replica.complete_dependency_lists();
                self.all_records_read();
            }
            ReadOutcome::TooOld => self.start_over(),
            ReadOutcome::Failed => self.store.sync.not_before = self.now() + PAUSE_AFTER_FAILURE,
        }
    }

    fn all_records_read(&mut self) {
        self.store.sync.done = true;
        self.store.synced_at = self.now();
        tracing::info!(
            revision = self.store.replica.applied_revision.0,
            jobs = self.store.replica.jobs.len(),
            "stored records read"
        );
        let machines: Vec<_> = self.store.replica.machines.keys().cloned().collect();
        for id in machines {
            self.machine_changed(&id);
        }
        let mut jobs: Vec<_> =
            self.store.replica.jobs.keys().chain(self.store.replica.run_chunks.keys()).cloned().collect();
        jobs.sort_unstable();
        jobs.dedup();
        for id in jobs {
            self.job_changed(&id);
        }
        self.zones_read();
        self.watch();
        self.tick_leases();
    }

    /// Sends a fresh read if anybody waits for one.
    pub(crate) fn start_fresh_read(&mut self) {
        let now = self.now();
        let gap = self.read_gap(FRESH_PART);
        let wanted = self.store.reads.wanted || self.api.wants_read();
        if !wanted || !self.store.sync.done || self.store.reads.fresh.is_some() {
            return;
        }
        if now < self.store.reads.not_before || now.since(self.store.reads.last_read) < gap {
            return;
        }
        self.store.reads.last_read = now;
        self.store.reads.wanted = false;
        self.store.reads.fresh = Some(self.begin_read(ReadKind::Fresh, 0));
    }

    pub(crate) fn changes_outcome(&mut self, ticket: u64, outcome: ReadOutcome<Changes>) {
        let names = |call: &Option<InFlight>| call.is_some_and(|call| call.ticket == ticket);
        if names(&self.store.reads.watch) {
            self.watch_outcome(outcome);
        } else if names(&self.store.reads.fresh) {
            self.fresh_outcome(outcome);
        } else if self.store.sync.in_flight == Some(ticket) {
            self.caught_up(outcome);
        }
    }

    fn watch_outcome(&mut self, outcome: ReadOutcome<Changes>) {
        let Some(InFlight { begun, .. }) = self.store.reads.watch.take() else { return };
        match outcome {
            ReadOutcome::Got(changes) => {
                self.take_changes(begun, &changes);
                self.store.reads.watch_not_before = self.now() + self.read_gap(WATCH_PART);
                self.watch();
            }
            ReadOutcome::TooOld => self.start_over(),
            ReadOutcome::Failed => self.store.reads.watch_not_before = self.now() + PAUSE_AFTER_FAILURE,
        }
    }

    fn fresh_outcome(&mut self, outcome: ReadOutcome<Changes>) {
        let Some(InFlight { begun, .. }) = self.store.reads.fresh.take() else { return };
        match outcome {
            ReadOutcome::Got(changes) => self.take_changes(begun, &changes),
            ReadOutcome::TooOld => self.start_over(),
            ReadOutcome::Failed => {
                self.store.reads.not_before = self.now() + PAUSE_AFTER_FAILURE;
                self.store.reads.wanted |= self.store.txns.awaiting_read();
                self.read_failed(begun);
            }
        }
    }

    fn take_changes(&mut self, begun: LogicalTime, changes: &Changes) {
        let revision = Revision(changes.revision);
        let changed = self.store.replica.advance(&changes.events, revision);
        self.api.submissions.reached(self.store.replica.applied_revision);
        self.changed(changed);
        self.txns_read();
        self.read_proves(&Evidence::new(begun, revision));
        self.answer_open_questions();
        self.scheduling.cycle_wanted = true;
    }
}
