//! The state service.

use burlhatch::coordination::{Command, Failure, LeaseOutcome, ReadKind, ReadOutcome, StateCall, TxnOutcome};
use burlhatch::protocol::state::{Changes, Event, Item, Page, Txn, Write};
use ciborium::Value;
use std::collections::BTreeMap;

pub struct Watch {
    pub node: usize,
    pub life: u64,
    pub kind: ReadKind,
    pub after: u64,
}

#[derive(Default)]
pub struct State {
    pub keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    revision: u64,
    log: Vec<(u64, String, Option<Value>)>,
    leases: BTreeMap<u64, (u64, u64)>,
    next_lease: u64,
    pub watches: BTreeMap<u64, Watch>,
    pub down_until: u64,
    pub refused: BTreeMap<usize, u64>,
    /// Changes it takes in a second, how many it would take now, and as of when.
    write_rps: f64,
    allowance: f64,
    allowed_at: u64,
    pub limited: u64,
    /// From when on the largest value, the most changes in a transaction and in a second are so many.
    pub lower: Option<(u64, usize, usize, f64)>,
}

/// What a caller hears that gets no answer.
pub fn failed(request: &StateCall, failure: Failure) -> Command {
    match request {
        StateCall::Txn { ticket, .. } => Command::Txn { ticket: *ticket, outcome: TxnOutcome::Failed(failure) },
        StateCall::Changes { kind, .. } => Command::Changes { kind: *kind, outcome: ReadOutcome::Failed },
        StateCall::Page { .. } => Command::Page(ReadOutcome::Failed),
        StateCall::NewLease { .. } | StateCall::Touch { .. } => Command::Lease(LeaseOutcome::Failed),
    }
}

impl State {
    pub fn new(write_rps: f64) -> State {
        State { write_rps, allowance: write_rps, ..State::default() }
    }

    /// Whether that many changes are within the limit.
    fn admits(&mut self, now: u64, changes: usize) -> bool {
        let span = (now - self.allowed_at) as f64 / 1e6;
        if let Some((at, _, _, rate)) = self.lower
            && now >= at
        {
            self.write_rps = rate;
        }
        self.allowed_at = now;
        self.allowance = (self.allowance + span * self.write_rps).min(self.write_rps);
        if self.allowance < changes as f64 {
            self.limited += 1;
            return false;
        }
        self.allowance -= changes as f64;
        true
    }

    /// After an outage every lease has its full time again.
    pub fn prolong_leases(&mut self, end: u64) {
        for (expires, life) in self.leases.values_mut() {
            *expires = end + *life;
        }
    }

    pub fn expire(&mut self, now: u64) {
        let over: Vec<u64> = self.leases.iter().filter(|(_, (at, _))| *at <= now).map(|(id, _)| *id).collect();
        for id in over {
            self.leases.remove(&id);
            let bound: Vec<String> =
                self.keys.iter().filter(|(_, (_, _, l))| *l == Some(id)).map(|(k, _)| k.clone()).collect();
            for key in bound {
                self.revision += 1;
                self.keys.remove(&key);
                self.log.push((self.revision, key, None));
            }
        }
    }

    pub fn has_changed(&self, after: u64) -> bool {
        self.log.last().is_some_and(|(revision, ..)| *revision > after)
    }

    pub fn changes(&self, after: u64) -> Changes {
        let from = self.log.partition_point(|(revision, ..)| *revision <= after);
        let events = self.log[from..]
            .iter()
            .map(|(version, key, value)| match value {
                Some(v) => Event { put: Some(key.clone()), delete: None, value: Some(v.clone()), version: *version },
                None => Event { put: None, delete: Some(key.clone()), value: None, version: *version },
            })
            .collect();
        Changes { revision: self.revision, events }
    }

    fn txn(&mut self, txn: &Txn) -> TxnOutcome {
        let (ops_max, value_max) = match self.lower {
            Some((at, value, ops, _)) if self.allowed_at >= at => (ops, value),
            _ => (12, 4096),
        };
        assert!(txn.writes.len() <= ops_max, "too many writes in one transaction");
        assert!(txn.conditions.len() <= ops_max * 4, "too many conditions in one transaction");
        let lost = txn
            .writes
            .iter()
            .any(|w| matches!(w, Write::Put { lease: Some(lease), .. } if !self.leases.contains_key(lease)));
        if lost {
            return TxnOutcome::NoLease;
        }
        let holds = txn.conditions.iter().all(|c| self.keys.get(&c.key).map_or(0, |(_, v, _)| *v) == c.version);
        if !holds {
            return TxnOutcome::Conflict(self.revision);
        }
        if !txn.writes.is_empty() {
            self.revision += 1;
        }
        for write in &txn.writes {
            match write {
                Write::Put { key, value, lease } => {
                    let size = serde_json::to_string(value).expect("plain data").len();
                    assert!(size <= value_max, "value of {key} has {size} bytes");
                    self.keys.insert(key.clone(), (value.clone(), self.revision, *lease));
                    self.log.push((self.revision, key.clone(), Some(value.clone())));
                }
                Write::Delete { key } => {
                    if self.keys.remove(key).is_some() {
                        self.log.push((self.revision, key.clone(), None));
                    }
                }
            }
        }
        TxnOutcome::Committed(self.revision)
    }

    pub fn answer(&mut self, now: u64, request: &StateCall) -> Command {
        match request {
            StateCall::Txn { ticket, txn, .. } => {
                let outcome = if self.admits(now, txn.writes.len()) { self.txn(txn) } else { TxnOutcome::Limited };
                Command::Txn { ticket: *ticket, outcome }
            }
            StateCall::Changes { kind, after, .. } => {
                Command::Changes { kind: *kind, outcome: ReadOutcome::Got(self.changes(*after)) }
            }
            StateCall::Page { after } => {
                // Small pages, so that reading takes several.
                let rows: Vec<Item> = self
                    .keys
                    .iter()
                    .filter(|(k, _)| after.as_ref().is_none_or(|a| *k > a))
                    .take(21)
                    .map(|(k, (v, version, _))| Item { key: k.clone(), value: v.clone(), version: *version })
                    .collect();
                let more = rows.len() > 20;
                let items = rows.into_iter().take(20).collect();
                Command::Page(ReadOutcome::Got(Page { items, more, revision: self.revision }))
            }
            StateCall::NewLease { ttl_ms } => {
                self.next_lease += 1;
                self.leases.insert(self.next_lease, (now + ttl_ms * 1000, ttl_ms * 1000));
                Command::Lease(LeaseOutcome::New(self.next_lease))
            }
            StateCall::Touch { lease } => match self.leases.get_mut(lease) {
                Some((expires, life)) => {
                    *expires = now + *life;
                    Command::Lease(LeaseOutcome::Touched)
                }
                None => Command::Lease(LeaseOutcome::Gone),
            },
        }
    }
}
