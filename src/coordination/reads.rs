//! Reading the state service: the first scan, the watch, and fresh reads.
//!
//! A fresh read is one `/changes` call that returns at once; whoever asked before it was sent may
//! rely on the replica afterwards. One is in flight at a time, shared by all who wait.

use super::{Core, Effect, ReadKind, ReadOutcome, StateCall};
use crate::protocol::state::{Changes, Page};
use crate::units::{Micros, Revision};

#[derive(Default)]
pub(super) struct Sync {
    pub done: bool,
    in_flight: bool,
    after: Option<String>,
    first_revision: Option<Revision>,
    not_before: Micros,
}

#[derive(Default)]
pub(super) struct Reads {
    watching: bool,
    watch_not_before: Micros,
    /// A fresh read is in flight.
    reading: bool,
    last_read: Micros,
    not_before: Micros,
    /// Somebody besides users wants the replica brought up to date.
    pub wanted: bool,
}

/// Parts of the state service's request limit that all controllers' watches and fresh reads together
/// may take: what is left is for renewals and transactions.
const WATCH_PART: f64 = 0.35;
const FRESH_PART: f64 = 0.08;

const PAUSE_AFTER_FAILURE: Micros = Micros::from_millis(300);

impl Core {
    pub(super) fn tick_reads(&mut self) {
        let now = self.now();
        if !self.sync.done {
            if !self.sync.in_flight && now >= self.sync.not_before {
                self.sync.in_flight = true;
                let after = self.sync.after.clone();
                self.out.push(Effect::State(StateCall::Page { after }));
            }
            return;
        }
        self.watch();
    }

    /// Shortest pause between two reads, so that those of all controllers stay within a part of
    /// the limit.
    fn read_gap(&self, part: f64) -> Micros {
        let limits = &self.platform.deployment;
        let equal = f64::from(limits.nodes) / (limits.state.rps * part);
        Micros::from_millis(self.policy.read_gap_ms).max(Micros::from_secs_f64(equal))
    }

    fn watch(&mut self) {
        if self.sync.done && !self.reads.watching && self.now() >= self.reads.watch_not_before {
            self.reads.watching = true;
            let after = self.replica.applied.0;
            let wait_ms = self.policy.watch_ms;
            self.out.push(Effect::State(StateCall::Changes { kind: ReadKind::Watch, after, wait_ms }));
        }
    }

    pub(super) fn page_outcome(&mut self, outcome: ReadOutcome<Page>) {
        self.sync.in_flight = false;
        if self.sync.done {
            return;
        }
        let ReadOutcome::Got(page) = outcome else {
            self.sync.not_before = self.now() + PAUSE_AFTER_FAILURE;
            return;
        };
        let first = *self.sync.first_revision.get_or_insert(Revision(page.revision));
        for item in &page.items {
            self.replica.apply(&item.key, Some(&item.value), item.version);
        }
        if page.more
            && let Some(last) = page.items.last()
        {
            self.sync.after = Some(last.key.clone());
            self.tick_reads();
            return;
        }
        // Later pages may be newer than the first; the changes since then are applied on top.
        self.replica.applied = first;
        self.sync.done = true;
        self.synced_at = self.now();
        tracing::info!(revision = first.0, jobs = self.replica.jobs.len(), "stored records read");
        let machines: Vec<_> = self.replica.machines.keys().cloned().collect();
        for id in machines {
            self.machine_changed(&id);
        }
        let mut jobs: Vec<_> = self.replica.jobs.keys().chain(self.replica.runs.keys()).cloned().collect();
        jobs.sort_unstable();
        jobs.dedup();
        for id in jobs {
            self.job_changed(&id);
        }
        self.watch();
        self.tick_roles();
    }

    /// Sends a fresh read if anybody waits for one.
    pub(super) fn start_fresh_read(&mut self) {
        let now = self.now();
        let gap = self.read_gap(FRESH_PART);
        let wanted = self.reads.wanted || self.users.wants_read();
        if !wanted || !self.sync.done || self.reads.reading {
            return;
        }
        if now < self.reads.not_before || now.since(self.reads.last_read) < gap {
            return;
        }
        self.reads.reading = true;
        self.reads.last_read = now;
        self.reads.wanted = false;
        self.users.read_started();
        let after = self.replica.applied.0;
        self.out.push(Effect::State(StateCall::Changes { kind: ReadKind::Fresh, after, wait_ms: 0 }));
    }

    pub(super) fn changes_outcome(&mut self, kind: ReadKind, outcome: ReadOutcome<Changes>) {
        let now = self.now();
        match kind {
            ReadKind::Watch => self.reads.watching = false,
            ReadKind::Fresh => self.reads.reading = false,
        }
        if !self.sync.done {
            return;
        }
        match outcome {
            ReadOutcome::Got(changes) => {
                let changed = self.replica.advance(&changes.events, Revision(changes.revision));
                self.changed(changed);
                self.txns_read();
                match kind {
                    ReadKind::Watch => {
                        self.reads.watch_not_before = now + self.read_gap(WATCH_PART);
                        self.watch();
                    }
                    ReadKind::Fresh => self.read_done(true),
                }
                self.pass_wanted = true;
            }
            ReadOutcome::TooOld => self.start_over(),
            ReadOutcome::Failed => match kind {
                ReadKind::Watch => self.reads.watch_not_before = now + PAUSE_AFTER_FAILURE,
                ReadKind::Fresh => {
                    self.reads.not_before = now + PAUSE_AFTER_FAILURE;
                    self.reads.wanted |= self.txns.awaiting_read();
                    self.read_done(false);
                }
            },
        }
    }
}
