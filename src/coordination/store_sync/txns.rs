//! Transactions on their way.
//!
//! One without an answer may have been applied or may still be: the identical one is sent again
//! until there is an answer. After a conflict nothing is decided before the replica has reached
//! the revision of the refusal; then everything is derived anew from it.

use crate::coordination::api::submissions::Submitted;
use crate::coordination::store_sync::evidence::{Evidence, LogicalTime};
use crate::coordination::{Controller, Effect, Failure, StoreCall, TxnOutcome};
use crate::protocol::store::{Precondition, Txn, Write};
use crate::storage::Replica;
use crate::storage::schema::Key;
use crate::types::{JobId, MachineId, Micros, Revision};
use ciborium::Value;
use rand::Rng;
use std::collections::{BTreeMap, VecDeque};

/// What is written about machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MachineChange {
    /// They have come up.
    Register,
    /// They go to another shard, or stay after all.
    Move,
    /// Nobody needs them any more.
    Return,
    /// They are lost.
    Replace,
    /// Their orders carry a later fencing token.
    FencingToken,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Purpose {
    Submit(Vec<Submitted>),
    /// Lists of a large submission, under that name.
    DependencyListParts(String),
    Cancel(JobId),
    Node,
    Role,
    Machines(MachineChange, Vec<MachineId>),
    Jobs(Vec<JobId>),
    /// What a shard's holder has to say of a zone, by zone and shard.
    ZoneView((String, u32)),
    /// Clearing away what nothing needs any more.
    Tidy,
    /// Outcomes that follow from others'.
    Cascade,
}

impl Purpose {
    fn name(&self) -> &'static str {
        match self {
            Purpose::Submit(_) | Purpose::DependencyListParts(_) => "submissions",
            Purpose::Cancel(_) => "cancellations",
            Purpose::Node | Purpose::Role => "roles",
            Purpose::Machines(MachineChange::Register, _) => "machines adopted",
            Purpose::Machines(MachineChange::Move, _) => "machines moved",
            Purpose::Machines(MachineChange::Return, _) => "machines returned",
            Purpose::Machines(MachineChange::Replace, _) => "machines replaced",
            Purpose::Machines(MachineChange::FencingToken, _) => "machine fencing tokens",
            Purpose::Jobs(_) => "jobs",
            Purpose::ZoneView(_) => "zones",
            Purpose::Tidy => "tidying",
            Purpose::Cascade => "followers",
        }
    }

    /// A user waits for it.
    fn urgent(&self) -> bool {
        matches!(self, Purpose::Submit(_) | Purpose::DependencyListParts(_) | Purpose::Cancel(_))
    }
}

enum Stage {
    /// Waits for the change budget; the earlier goes first.
    Queued(Micros),
    Sent,
    Again(Micros),
    /// Refused at this revision; waits for the replica to reach it.
    Reading(u64),
}

struct Pending {
    txn: Txn,
    purpose: Purpose,
    stage: Stage,
    tries: u32,
    /// When it last left.
    begun: LogicalTime,
}

impl Pending {
    fn new(txn: Txn, purpose: Purpose, stage: Stage) -> Pending {
        Pending { txn, purpose, stage, tries: 0, begun: LogicalTime::default() }
    }
}

/// How a transaction has ended, and what that proves.
pub(crate) enum TxnEnd {
    /// It was carried out.
    Committed(Evidence),
    /// A condition did not hold, and the replica has reached the revision at which it did not.
    Refused(Evidence),
    /// It was not carried out, or may have been: its answer tells nothing.
    Unknown,
}

impl TxnEnd {
    pub fn is_committed(&self) -> bool {
        matches!(self, TxnEnd::Committed(_))
    }

    pub fn evidence(&self) -> Option<&Evidence> {
        match self {
            TxnEnd::Committed(evidence) | TxnEnd::Refused(evidence) => Some(evidence),
            TxnEnd::Unknown => None,
        }
    }
}

#[derive(Default)]
pub(crate) struct Txns {
    pending: BTreeMap<u64, Pending>,
}

impl Txns {
    pub fn tidying(&self) -> bool {
        self.pending.values().any(|p| p.purpose == Purpose::Tidy)
    }

    pub fn cascading(&self) -> bool {
        self.pending.values().any(|p| p.purpose == Purpose::Cascade)
    }

    /// Of those that wait for the change budget the one that can wait least.
    fn first_queued(&self) -> Option<(Micros, u64)> {
        let queued = self.pending.iter().filter_map(|(ticket, p)| match p.stage {
            Stage::Queued(latest) => Some((latest, *ticket)),
            _ => None,
        });
        queued.min()
    }

    pub fn awaiting_read(&self) -> bool {
        self.pending.values().any(|p| matches!(p.stage, Stage::Reading(_)))
    }
}

/// What the change budget can be spent on next.
enum Next {
    /// A transaction that waits, by its ticket.
    Queued(u64),
    /// Machines that go to other shards.
    Moves,
    /// Jobs whose records lack something.
    Record,
}

/// A transaction being put together; preconditions name the versions the replica has.
#[derive(Default)]
pub(crate) struct ProposedTxn {
    pub txn: Txn,
}

impl ProposedTxn {
    /// The key must still be as the replica has it.
    pub fn unchanged(&mut self, replica: &Replica, key: Key) {
        let version = replica.version(&key);
        let key = key.to_string();
        if !self.txn.preconditions.iter().any(|c| c.key == key) {
            self.txn.preconditions.push(Precondition { key, version });
        }
    }

    pub fn put(&mut self, key: Key, value: Value) {
        self.txn.writes.push(Write::Put { key: key.to_string(), value, lease: None });
    }

    pub fn put_bound(&mut self, key: Key, value: Value, lease: u64) {
        self.txn.writes.push(Write::Put { key: key.to_string(), value, lease: Some(lease) });
    }

    pub fn delete(&mut self, key: Key) {
        self.txn.writes.push(Write::Delete { key: key.to_string() });
    }
}

/// Preconditions a transaction may hold for each write the service allows.
pub(crate) const PRECONDITIONS_PER_WRITE: usize = 4;

impl Controller {
    /// Puts a transaction in the queue for the change budget. Roles don't wait: everything else
    /// depends on them.
    pub(crate) fn submit_txn(&mut self, proposal: ProposedTxn, purpose: Purpose) {
        let patience = match purpose {
            Purpose::Node | Purpose::Role => return self.send_txn(proposal, purpose),
            Purpose::Submit(_) | Purpose::DependencyListParts(_) | Purpose::Cancel(_) => self.policy.user_patience_ms,
            Purpose::Machines(..) | Purpose::ZoneView(_) => self.policy.machine_patience_ms,
            Purpose::Jobs(_) => self.policy.batch_patience_ms,
            Purpose::Tidy | Purpose::Cascade => self.policy.tidy_patience_ms,
        };
        let latest = self.now() + Micros::from_millis(patience);
        let ticket = self.next_ticket();
        let pending = Pending::new(proposal.txn, purpose, Stage::Queued(latest));
        self.store.txns.pending.insert(ticket, pending);
    }

    pub(crate) fn send_txn(&mut self, proposal: ProposedTxn, purpose: Purpose) {
        let ticket = self.next_ticket();
        self.store.txns.pending.insert(ticket, Pending::new(proposal.txn, purpose, Stage::Sent));
        self.send_pending(ticket);
    }

    fn send_pending(&mut self, ticket: u64) {
        let now = self.now();
        let Some(pending) = self.store.txns.pending.get_mut(&ticket) else { return };
        pending.stage = Stage::Sent;
        pending.begun = self.store.order.tick();
        pending.tries += 1;
        self.store.budget.spend(now, pending.txn.writes.len());
        self.store.budget.count(pending.purpose.name(), pending.txn.writes.len());
        let (txn, urgent) = (pending.txn.clone(), pending.purpose.urgent());
        self.out.push(Effect::Store(StoreCall::Txn { ticket, txn, urgent }));
    }

    /// Spends the change budget on what can wait least: queued transactions and the stored records of jobs,
    /// which are only now put into words, so that they hold all there is to say. Submissions go
    /// before: one change takes in many.
    pub(crate) fn spend(&mut self) {
        let now = self.now();
        if self.api.submissions.batch_due(now, self.store.budget.batch_gap()) {
            self.send_submissions();
        }
        if !self.store.budget.allows(now) {
            return;
        }
        let mut due: VecDeque<_> = self.due_records().into();
        while self.store.budget.allows(now) {
            let record = due.front().map(|first| (first.latest, Next::Record));
            let queued = self.store.txns.first_queued().map(|(latest, ticket)| (latest, Next::Queued(ticket)));
            let moves = self.fleet.moves_due.map(|latest| (latest, Next::Moves));
            // Of equals the first: what is queued is ready to go.
            match [queued, moves, record].into_iter().flatten().min_by_key(|(latest, _)| *latest) {
                Some((_, Next::Queued(ticket))) => self.send_pending(ticket),
                Some((_, Next::Moves)) => self.send_moves(),
                Some((_, Next::Record)) => self.record(&mut due),
                None => break,
            }
        }
    }

    pub(crate) fn txn_outcome(&mut self, ticket: u64, outcome: TxnOutcome) {
        let Some(pending) = self.store.txns.pending.get_mut(&ticket) else { return };
        match outcome {
            TxnOutcome::Committed(revision) => {
                let Some(pending) = self.store.txns.pending.remove(&ticket) else { return };
                self.apply_own(&pending.txn, revision);
                let evidence = Evidence::new(pending.begun, Revision(revision));
                self.txn_over(&pending.purpose, &TxnEnd::Committed(evidence));
            }
            TxnOutcome::Conflict(revision) => {
                self.store.budget.count_conflict(pending.purpose.name(), pending.txn.writes.len());
                pending.stage = Stage::Reading(revision);
                self.store.reads.wanted = true;
                self.txns_read();
            }
            TxnOutcome::NoLease => {
                let Some(pending) = self.store.txns.pending.remove(&ticket) else { return };
                self.session_expired();
                self.txn_over(&pending.purpose, &TxnEnd::Unknown);
            }
            TxnOutcome::Invalid => {
                let Some(pending) = self.store.txns.pending.remove(&ticket) else { return };
                tracing::error!(purpose = ?pending.purpose, "the state service calls a transaction malformed");
                self.txn_over(&pending.purpose, &TxnEnd::Unknown);
            }
            TxnOutcome::Limited => {
                // Refused for the service's limit: it goes again in its turn.
                let again = self.clock.steady + Micros::from_millis(self.rng.random_range(50..=150));
                pending.stage = Stage::Again(again);
                self.store.budget.refused(self.clock.steady);
            }
            TxnOutcome::Failed(failure) => {
                // Whoever submits or cancels asks again; the preconditions make repeats harmless,
                // also if the unanswered one is applied later. Only a refusal is worth one
                // quick try more.
                let user = pending.purpose.urgent();
                if user && (failure == Failure::Unknown || pending.tries >= 2) {
                    let Some(pending) = self.store.txns.pending.remove(&ticket) else { return };
                    self.txn_over(&pending.purpose, &TxnEnd::Unknown);
                    return;
                }
                let step = if user { 40 } else { 50 << pending.tries.min(4) };
                let pause = self.rng.random_range(step / 2..=step);
                pending.stage = Stage::Again(self.clock.steady + Micros::from_millis(pause));
            }
        }
    }

    pub(crate) fn tick_txns(&mut self) {
        let now = self.now();
        let again = |p: &Pending| matches!(p.stage, Stage::Again(at) if at <= now);
        let due: Vec<u64> =
            self.store.txns.pending.iter().filter(|(_, p)| again(p)).map(|(ticket, _)| *ticket).collect();
        for ticket in due {
            // What was refused for the limit waits until the budget allows it.
            let Some(pending) = self.store.txns.pending.get_mut(&ticket) else { continue };
            match pending.purpose {
                Purpose::Node | Purpose::Role => self.send_pending(ticket),
                Purpose::Submit(_) | Purpose::DependencyListParts(_) | Purpose::Cancel(_) => self.send_pending(ticket),
                _ => pending.stage = Stage::Queued(now),
            }
        }
        self.give_up_submissions();
        if self.store.txns.awaiting_read() {
            self.store.reads.wanted = true;
        }
    }

    /// Settles conflicts that the replica has caught up with.
    pub(crate) fn txns_read(&mut self) {
        let applied = self.store.replica.applied_revision.0;
        let reached = |pending: &Pending| match pending.stage {
            Stage::Reading(revision) if revision <= applied => Some(Revision(revision)),
            _ => None,
        };
        let ready: Vec<(u64, Revision)> =
            self.store.txns.pending.iter().filter_map(|(ticket, p)| Some((*ticket, reached(p)?))).collect();
        for (ticket, revision) in ready {
            if let Some(pending) = self.store.txns.pending.remove(&ticket) {
                let evidence = Evidence::new(pending.begun, revision);
                self.txn_over(&pending.purpose, &TxnEnd::Refused(evidence));
            }
        }
    }

    /// Own commits are known before the watch brings them. Roles wait for the watch: holding
    /// one must imply having seen everything before it. So do jobs, unless nothing lies between: of two batches the
    /// earlier counts. A commit that the replica has passed already is in it, with
    /// whatever happened to its keys since.
    fn apply_own(&mut self, txn: &Txn, revision: u64) {
        if revision <= self.store.replica.applied_revision.0 {
            return;
        }
        let is_next = revision == self.store.replica.applied_revision.0 + 1;
        let mut changes = Vec::new();
        for write in &txn.writes {
            let (key, value) = match write {
                Write::Put { key, value, .. } => (key, Some(value)),
                Write::Delete { key } => (key, None),
            };
            match Key::parse(key) {
                Some(Key::Role(_) | Key::FencingToken) | None => {}
                Some(Key::Batch(_)) if !is_next => self.store.reads.wanted = true,
                Some(_) => changes.push(self.store.replica.apply(key, value, revision)),
            }
        }
        self.changed(changes);
    }

    fn txn_over(&mut self, purpose: &Purpose, end: &TxnEnd) {
        match purpose {
            Purpose::Submit(jobs) => jobs.iter().for_each(|job| self.submit_over(job, end)),
            Purpose::DependencyListParts(name) => self.dependency_list_parts_over(name, end.is_committed()),
            Purpose::Cancel(id) => self.cancel_over(id),
            Purpose::Node => self.node_txn_ended(end.is_committed()),
            Purpose::Role => self.role_txn_ended(end.is_committed()),
            Purpose::Machines(_, ids) => self.machines_txn_over(ids),
            Purpose::Tidy | Purpose::Cascade => {}
            Purpose::ZoneView(name) => self.zone_view_txn_over(name),
            Purpose::Jobs(ids) => {
                for id in ids {
                    self.job_txn_over(id);
                }
            }
        }
        self.scheduling.cycle_wanted = true;
    }
}
