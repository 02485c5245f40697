//! Transactions on their way.
//!
//! One without an answer may have been applied or may still be: the identical one is sent again
//! until there is an answer. After a conflict nothing is decided before the replica has reached
//! the revision of the refusal; then everything is derived anew from it.

use super::{Core, Effect, Failure, StateCall, TxnOutcome};
use crate::bookkeeping::Replica;
use crate::bookkeeping::schema::Key;
use crate::protocol::state::{Condition, Txn, Write};
use crate::units::{JobId, MachineId, Micros};
use ciborium::Value;
use rand::Rng;
use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub(super) enum Purpose {
    Submit(JobId),
    Cancel(JobId),
    Node,
    Seat,
    Machines(Vec<MachineId>),
    Jobs(Vec<JobId>),
}

impl Purpose {
    /// A user waits for it.
    fn urgent(&self) -> bool {
        matches!(self, Purpose::Submit(_) | Purpose::Cancel(_))
    }
}

enum Stage {
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
}

#[derive(Default)]
pub(super) struct Txns {
    pub next_ticket: u64,
    pending: BTreeMap<u64, Pending>,
}

impl Txns {
    pub fn awaiting_read(&self) -> bool {
        self.pending.values().any(|p| matches!(p.stage, Stage::Reading(_)))
    }
}

/// A transaction being put together; conditions name the versions the replica has.
#[derive(Default)]
pub(super) struct Draft {
    pub txn: Txn,
}

impl Draft {
    /// The key must still be as the replica has it.
    pub fn unchanged(&mut self, replica: &Replica, key: Key) {
        let version = replica.version(&key);
        let key = key.to_string();
        if !self.txn.conditions.iter().any(|c| c.key == key) {
            self.txn.conditions.push(Condition { key, version });
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

/// Conditions a transaction may hold for each write the service allows.
pub(super) const CONDITIONS_PER_WRITE: usize = 4;

impl Core {
    pub(super) fn submit_txn(&mut self, draft: Draft, purpose: Purpose) {
        self.txns.next_ticket += 1;
        let ticket = self.txns.next_ticket;
        self.out.push(Effect::State(StateCall::Txn { ticket, txn: draft.txn.clone(), urgent: purpose.urgent() }));
        self.txns.pending.insert(ticket, Pending { txn: draft.txn, purpose, stage: Stage::Sent, tries: 1 });
    }

    pub(super) fn txn_outcome(&mut self, ticket: u64, outcome: TxnOutcome) {
        let Some(pending) = self.txns.pending.get_mut(&ticket) else { return };
        match outcome {
            TxnOutcome::Committed(revision) => {
                let Some(pending) = self.txns.pending.remove(&ticket) else { return };
                self.apply_own(&pending.txn, revision);
                self.txn_over(&pending.purpose, true);
            }
            TxnOutcome::Conflict(revision) => {
                pending.stage = Stage::Reading(revision);
                self.reads.wanted = true;
                self.txns_read();
            }
            TxnOutcome::NoLease => {
                let Some(pending) = self.txns.pending.remove(&ticket) else { return };
                self.session.lease = None;
                self.txn_over(&pending.purpose, false);
            }
            TxnOutcome::Invalid => {
                let Some(pending) = self.txns.pending.remove(&ticket) else { return };
                tracing::error!(purpose = ?pending.purpose, "the state service calls a transaction malformed");
                self.txn_over(&pending.purpose, false);
            }
            TxnOutcome::Failed(failure) => {
                // Whoever submits or cancels asks again; the conditions make repeats harmless,
                // also if the unanswered one is applied later. Only a refusal is worth one
                // quick try more.
                let user = pending.purpose.urgent();
                if user && (failure == Failure::Unknown || pending.tries >= 2) {
                    let Some(pending) = self.txns.pending.remove(&ticket) else { return };
                    self.txn_over(&pending.purpose, false);
                    return;
                }
                let step = if user { 40 } else { 50 << pending.tries.min(4) };
                let pause = self.rng.random_range(step / 2..=step);
                pending.stage = Stage::Again(self.clock.steady + Micros::from_millis(pause));
            }
        }
    }

    pub(super) fn tick_txns(&mut self) {
        let now = self.now();
        for (ticket, pending) in &mut self.txns.pending {
            if matches!(pending.stage, Stage::Again(at) if at <= now) {
                pending.stage = Stage::Sent;
                pending.tries += 1;
                self.out.push(Effect::State(StateCall::Txn {
                    ticket: *ticket,
                    txn: pending.txn.clone(),
                    urgent: pending.purpose.urgent(),
                }));
            }
        }
        if self.txns.awaiting_read() {
            self.reads.wanted = true;
        }
    }

    /// Settles conflicts that the replica has caught up with.
    pub(super) fn txns_read(&mut self) {
        let applied = self.replica.applied.0;
        let ready: Vec<u64> = self
            .txns
            .pending
            .iter()
            .filter(|(_, p)| matches!(p.stage, Stage::Reading(revision) if revision <= applied))
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in ready {
            if let Some(pending) = self.txns.pending.remove(&ticket) {
                self.txn_over(&pending.purpose, false);
            }
        }
    }

    /// Own commits are known before the watch brings them. Seats wait for the watch: holding
    /// one must imply having seen everything before it.
    fn apply_own(&mut self, txn: &Txn, revision: u64) {
        let mut changes = Vec::new();
        for write in &txn.writes {
            let (key, value) = match write {
                Write::Put { key, value, .. } => (key, Some(value)),
                Write::Delete { key } => (key, None),
            };
            if !matches!(Key::parse(key), Some(Key::Seat(_) | Key::Term) | None) {
                changes.push(self.replica.apply(key, value, revision));
            }
        }
        self.changed(changes);
    }

    /// `committed` false: refused, and the replica shows why.
    fn txn_over(&mut self, purpose: &Purpose, committed: bool) {
        match purpose {
            Purpose::Submit(id) => self.submit_over(id, committed),
            Purpose::Cancel(id) => self.cancel_over(id, committed),
            Purpose::Node | Purpose::Seat => self.seat_txn_over(purpose, !committed),
            Purpose::Machines(ids) => self.machines_txn_over(ids),
            Purpose::Jobs(ids) => {
                for id in ids {
                    self.job_txn_over(id);
                }
            }
        }
        self.pass_wanted = true;
    }
}
