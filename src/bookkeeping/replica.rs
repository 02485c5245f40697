//! A controller's copy of the state service, exact as of `applied`, with the controller's own
//! commits possibly ahead of that. Per key, the higher version wins.

use super::schema::{JobRecord, Key, MachineRecord, NodeRecord, Outcome, RunChunk, Seat, SeatRecord, from_value};
use crate::protocol::state::Event;
use crate::units::{JobId, MachineId, Revision, Term};
use ciborium::Value;
use std::collections::{BTreeMap, HashMap};

#[derive(Clone, Debug)]
pub struct Versioned<T> {
    pub value: T,
    pub version: u64,
}

/// What a change touched; the owner of the replica looks up the rest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    Seat(Seat),
    Node(String),
    Machine(MachineId),
    Job(JobId),
    Run(JobId, u32),
    End(JobId),
    Nothing,
}

#[derive(Default)]
pub struct Replica {
    pub applied: Revision,
    pub term: Option<Versioned<Term>>,
    pub seats: BTreeMap<Seat, Versioned<SeatRecord>>,
    pub nodes: BTreeMap<String, Versioned<NodeRecord>>,
    pub machines: BTreeMap<MachineId, Versioned<MachineRecord>>,
    pub jobs: HashMap<JobId, Versioned<JobRecord>>,
    pub runs: HashMap<JobId, BTreeMap<u32, Versioned<RunChunk>>>,
    pub ends: HashMap<JobId, Versioned<Outcome>>,
    /// Own deletions ahead of `applied`, so that older puts don't bring the keys back.
    removed: HashMap<Key, u64>,
}

fn store<K: Ord, T>(map: &mut BTreeMap<K, Versioned<T>>, key: K, value: Option<T>, version: u64) {
    match value {
        Some(value) => {
            map.insert(key, Versioned { value, version });
        }
        None => {
            map.remove(&key);
        }
    }
}

fn store_hashed<K: Eq + std::hash::Hash, T>(
    map: &mut HashMap<K, Versioned<T>>,
    key: K,
    value: Option<T>,
    version: u64,
) {
    match value {
        Some(value) => {
            map.insert(key, Versioned { value, version });
        }
        None => {
            map.remove(&key);
        }
    }
}

impl Replica {
    /// The version that a transaction's condition on this key must name, 0 for none.
    pub fn version(&self, key: &Key) -> u64 {
        let v = match key {
            Key::Term => self.term.as_ref().map(|v| v.version),
            Key::Seat(seat) => self.seats.get(seat).map(|v| v.version),
            Key::Node(label) => self.nodes.get(label).map(|v| v.version),
            Key::Machine(id) => self.machines.get(id).map(|v| v.version),
            Key::Job(id) => self.jobs.get(id).map(|v| v.version),
            Key::Run(id, chunk) => self.runs.get(id).and_then(|r| r.get(chunk)).map(|v| v.version),
            Key::End(id) => self.ends.get(id).map(|v| v.version),
        };
        v.unwrap_or(0)
    }

    /// Puts or removes one key as of `version`; older news than what is held is ignored.
    pub fn apply(&mut self, key: &str, value: Option<&Value>, version: u64) -> Change {
        let Some(key) = Key::parse(key) else { return Change::Nothing };
        let held = self.version(&key).max(self.removed.get(&key).copied().unwrap_or(0));
        if version <= held {
            return Change::Nothing;
        }
        if value.is_none() && version > self.applied.0 {
            self.removed.insert(key.clone(), version);
        }
        match key {
            Key::Term => {
                self.term = value.and_then(from_value).map(|value| Versioned { value, version });
                Change::Nothing
            }
            Key::Seat(seat) => {
                store(&mut self.seats, seat, value.and_then(from_value), version);
                Change::Seat(seat)
            }
            Key::Node(label) => {
                store(&mut self.nodes, label.clone(), value.and_then(from_value), version);
                Change::Node(label)
            }
            Key::Machine(id) => {
                store(&mut self.machines, id.clone(), value.and_then(from_value), version);
                Change::Machine(id)
            }
            Key::Job(id) => {
                store_hashed(&mut self.jobs, id.clone(), value.and_then(from_value), version);
                Change::Job(id)
            }
            Key::Run(id, chunk) => {
                let run = self.runs.entry(id.clone()).or_default();
                store(run, chunk, value.and_then(from_value), version);
                if run.is_empty() {
                    self.runs.remove(&id);
                }
                Change::Run(id, chunk)
            }
            Key::End(id) => {
                // An outcome is written once and never removed.
                if let Some(outcome) = value.and_then(from_value) {
                    self.ends.insert(id.clone(), Versioned { value: outcome, version });
                }
                Change::End(id)
            }
        }
    }

    /// Applies what the service said happened after some revision at or before `applied`.
    pub fn advance(&mut self, events: &[Event], revision: Revision) -> Vec<Change> {
        let mut changes = Vec::new();
        let applied = self.applied.0;
        for event in events.iter().filter(|e| e.version > applied) {
            let change = match (&event.put, &event.delete) {
                (Some(key), _) => self.apply(key, event.value.as_ref(), event.version),
                (None, Some(key)) => self.apply(key, None, event.version),
                (None, None) => Change::Nothing,
            };
            if change != Change::Nothing {
                changes.push(change);
            }
        }
        if revision > self.applied {
            self.applied = revision;
            let applied = revision.0;
            self.removed.retain(|_, version| *version > applied);
        }
        changes
    }

    pub fn term_now(&self) -> Term {
        self.term.as_ref().map(|t| t.value).unwrap_or_default()
    }
}
