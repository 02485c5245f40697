//! The initial sync: reads all records page by page, then the changes since the first page. Only after that does the
//! replica match a single revision of the store, and only then are decisions and answers based on it: before, it may
//! contain a job without the list of its dependencies. Test:
//! `nothing_is_known_before_the_changes_since_the_first_page_are_read`.

use crate::coordination::store_sync::StoreSync;
use crate::coordination::{Controller, Effect, ReadKind, ReadOutcome, StoreCall};
use crate::protocol::store::{Changes, Page};
use crate::types::{Micros, Revision};

/// Pause after a failed read.
pub(super) const PAUSE_AFTER_FAILURE: Micros = Micros::from_millis(300);

/// The stage of the initial sync.
enum SyncStage {
    /// Pages are being read.
    Scanning {
        /// The last key read.
        after: Option<String>,
        /// Revision of the first page, once it is read.
        first_revision: Option<Revision>,
    },
    /// All pages are read. The changes since the first page are being read, as later pages may be newer than the first.
    CatchingUp,
    /// The replica is complete.
    Synced {
        /// Time at which the sync ended.
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
    /// Returns the time at which the replica became complete, if it is.
    pub(super) fn synced_at(&self) -> Option<Micros> {
        match self.stage {
            SyncStage::Synced { since } => Some(since),
            SyncStage::Scanning { .. } | SyncStage::CatchingUp => None,
        }
    }

    fn is_call_due(&self, now: Micros) -> bool {
        self.in_flight.is_none() && now >= self.retry_at
    }

    /// Returns whether the call with this ticket is the one in flight.
    pub(super) fn is_in_flight(&self, ticket: u64) -> bool {
        self.in_flight == Some(ticket)
    }

    /// Returns the next call and marks it as in flight: a page, or the changes since the first page.
    fn start_call(&mut self, ticket: u64, applied: Revision) -> StoreCall {
        self.in_flight = Some(ticket);
        match &self.stage {
            SyncStage::Scanning { after, .. } => StoreCall::Page { ticket, after: after.clone() },
            SyncStage::CatchingUp | SyncStage::Synced { .. } => {
                StoreCall::Changes { ticket, kind: ReadKind::Fresh, after: applied.0, wait_ms: 0 }
            }
        }
    }

    /// Advances the scan past a page. Returns the revision of the first page if this was the last one: the changes
    /// after that revision are still missing.
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
    /// Returns the next call of the initial sync, if it is due and none is in flight.
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

    /// Applies a page. After the last page, the replica is at the revision of the first.
    fn apply_page(&mut self, page: &Page) {
        for item in &page.items {
            self.replica.apply(&item.key, Some(&item.value), item.version);
        }
        if let Some(first_revision) = self.initial_sync.page_read(page) {
            self.replica.applied_revision = first_revision;
        }
    }

    /// Applies the changes since the first page, which completes the replica.
    fn catch_up(&mut self, changes: &Changes, now: Micros) {
        self.replica.advance(&changes.events, Revision(changes.revision));
        self.replica.complete_dependency_lists();
        self.initial_sync.stage = SyncStage::Synced { since: now };
    }
}

impl Controller {
    /// Handles the outcome of reading a page.
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

    /// Handles the outcome of reading the changes since the first page.
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

    /// Initializes the other components from the complete replica.
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
