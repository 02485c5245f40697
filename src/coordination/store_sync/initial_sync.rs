//! The initial sync: all records, page by page, then what changed since the first page. Only then is the replica what
//! the store held at one moment, and anything decided or answered by it: before, a job may stand there without the list
//! of jobs that it depends on. Test: `nothing_is_known_before_the_changes_since_the_first_page_are_read`.

use crate::coordination::store_sync::StoreSync;
use crate::coordination::{Controller, Effect, ReadKind, ReadOutcome, StoreCall};
use crate::protocol::store::{Changes, Page};
use crate::types::{Micros, Revision};

/// Pause after a read that failed.
pub(super) const PAUSE_AFTER_FAILURE: Micros = Micros::from_millis(300);

/// How far the initial sync has got.
enum SyncStage {
    /// Reads pages.
    Scanning {
        /// The last key read.
        after: Option<String>,
        /// Revision of the first page, once it is read.
        first_revision: Option<Revision>,
    },
    /// All pages are read; reads what changed since the first one, as later pages may be newer.
    CatchingUp,
    /// The replica is complete.
    Synced {
        /// Since when.
        since: Micros,
    },
}

/// The initial sync of the replica.
pub(super) struct InitialSync {
    stage: SyncStage,
    /// Ticket of the call in flight.
    in_flight: Option<u64>,
    retry_at: Micros,
}

impl Default for InitialSync {
    fn default() -> InitialSync {
        let stage = SyncStage::Scanning { after: None, first_revision: None };
        InitialSync { stage, in_flight: None, retry_at: Micros::ZERO }
    }
}

impl InitialSync {
    /// Since when the replica is complete, if it is.
    pub(super) fn synced_at(&self) -> Option<Micros> {
        match self.stage {
            SyncStage::Synced { since } => Some(since),
            SyncStage::Scanning { .. } | SyncStage::CatchingUp => None,
        }
    }

    fn is_call_due(&self, now: Micros) -> bool {
        self.in_flight.is_none() && now >= self.retry_at
    }

    /// Whether the call of that ticket is the one in flight.
    pub(super) fn is_in_flight(&self, ticket: u64) -> bool {
        self.in_flight == Some(ticket)
    }

    /// The next call: a page, or the changes since the first one.
    fn start_call(&mut self, ticket: u64, applied: Revision) -> StoreCall {
        self.in_flight = Some(ticket);
        match &self.stage {
            SyncStage::Scanning { after, .. } => StoreCall::Page { ticket, after: after.clone() },
            SyncStage::CatchingUp | SyncStage::Synced { .. } => {
                StoreCall::Changes { ticket, kind: ReadKind::Fresh, after: applied.0, wait_ms: 0 }
            }
        }
    }

    /// A page has been read. If it was the last one: the revision of the first, from which on changes are missing.
    fn page_read(&mut self, page: &Page) -> Option<Revision> {
        let SyncStage::Scanning { after, first_revision } = &mut self.stage else { return None };
        let first = *first_revision.get_or_insert(Revision(page.revision));
        if let Some(last) = page.items.last().filter(|_| page.more) {
            *after = Some(last.key.clone());
            return None;
        }
        self.stage = SyncStage::CatchingUp;
        Some(first)
    }
}

impl StoreSync {
    /// The next call of the initial sync, if none is in flight.
    pub(super) fn due_sync_call(&mut self, now: Micros) -> Option<StoreCall> {
        self.initial_sync.is_call_due(now).then(|| self.next_sync_call())
    }

    fn next_sync_call(&mut self) -> StoreCall {
        let ticket = self.next_ticket();
        self.initial_sync.start_call(ticket, self.replica.applied_revision)
    }

    fn retry_sync_later(&mut self, now: Micros) {
        self.initial_sync.retry_at = now + PAUSE_AFTER_FAILURE;
    }

    /// Takes up a page; after the last one the replica is as of the first.
    fn apply_page(&mut self, page: &Page) {
        for item in &page.items {
            self.replica.apply(&item.key, Some(&item.value), item.version);
        }
        if let Some(first_revision) = self.initial_sync.page_read(page) {
            self.replica.applied_revision = first_revision;
        }
    }

    /// Takes up what changed since the first page: the replica is complete.
    fn catch_up(&mut self, changes: &Changes, now: Micros) {
        self.replica.advance(&changes.events, Revision(changes.revision));
        self.replica.complete_dependency_lists();
        self.initial_sync.stage = SyncStage::Synced { since: now };
    }
}

impl Controller {
    /// A page of records has been read, or has failed.
    pub(crate) fn page_outcome(&mut self, ticket: u64, outcome: ReadOutcome<Page>) {
        if !self.store.initial_sync.is_in_flight(ticket) {
            return;
        }
        self.store.initial_sync.in_flight = None;
        let ReadOutcome::Fetched(page) = outcome else {
            return self.store.retry_sync_later(self.clock.steady);
        };
        self.store.apply_page(&page);
        let call = self.store.next_sync_call();
        self.out.push(Effect::Store(call));
    }

    /// The changes since the first page have been read, or this has failed.
    pub(super) fn catch_up_outcome(&mut self, outcome: ReadOutcome<Changes>) {
        self.store.initial_sync.in_flight = None;
        match outcome {
            ReadOutcome::Fetched(changes) => {
                self.store.catch_up(&changes, self.clock.steady);
                self.initial_sync_done();
            }
            ReadOutcome::Compacted => self.resync(),
            ReadOutcome::Failed => self.store.retry_sync_later(self.clock.steady),
        }
    }

    /// The replica is complete: each part takes up what it finds there.
    fn initial_sync_done(&mut self) {
        let replica = &self.store.replica;
        tracing::info!(revision = replica.applied_revision.0, job_count = replica.jobs.len(), "initial sync done");
        let machines: Vec<_> = replica.machines.keys().cloned().collect();
        let mut jobs: Vec<_> = replica.jobs.keys().chain(replica.run_chunks.keys()).cloned().collect();
        jobs.sort_unstable();
        jobs.dedup();
        for id in machines {
            self.machine_record_changed(&id);
        }
        for id in jobs {
            self.reconcile_job(&id);
        }
        self.load_zones();
        self.start_watch_if_due();
        self.tick_leases();
    }
}
