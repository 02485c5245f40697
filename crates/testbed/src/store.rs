//! A store: a small store with conditional transactions, leases and watches.

use crate::http::{Call, Reply, serve};
use burlhatch::protocol::decode;
use burlhatch::protocol::store::{Txn, Write};
use hyper::Method;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::task::JoinSet;

struct Stored {
    value: Value,
    revision: u64,
    lease: Option<u64>,
}

struct Lease {
    life: Duration,
    ends: Instant,
}

#[derive(Default)]
struct Store {
    revision: u64,
    keys: BTreeMap<String, Stored>,
    log: Vec<(u64, String, Option<Value>)>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    is_down: bool,
    /// Writes carried out.
    writes: u64,
}

impl Store {
    fn expire(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> = self.leases.iter().filter(|(_, lease)| lease.ends <= now).map(|(id, _)| *id).collect();
        for id in over {
            self.leases.remove(&id);
            let bound = self.keys.iter().filter(|(_, stored)| stored.lease == Some(id)).map(|(key, _)| key.clone());
            for key in bound.collect::<Vec<_>>() {
                self.revision += 1;
                self.keys.remove(&key);
                self.log.push((self.revision, key, None));
            }
        }
    }

    fn txn(&mut self, txn: &Txn) -> (u16, Value) {
        let lost = |write: &Write| match write {
            Write::Put { lease: Some(lease), .. } => !self.leases.contains_key(lease),
            _ => false,
        };
        if txn.writes.iter().any(lost) {
            return (400, json!({"error": "no such lease"}));
        }
        let version = |key: &str| self.keys.get(key).map_or(0, |stored| stored.revision);
        let failed: Vec<&str> =
            txn.preconditions.iter().filter(|c| version(&c.key) != c.version).map(|c| c.key.as_str()).collect();
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "ledger": self.revision}));
        }
        if !txn.writes.is_empty() {
            self.revision += 1;
        }
        self.writes += txn.writes.len() as u64;
        for write in &txn.writes {
            self.write(write);
        }
        (200, json!({"ledger": self.revision}))
    }

    fn write(&mut self, write: &Write) {
        match write {
            Write::Put { key, value, lease } => {
                let value: Value = value.deserialized().unwrap_or(Value::Null);
                self.log.push((self.revision, key.clone(), Some(value.clone())));
                self.keys.insert(key.clone(), Stored { value, revision: self.revision, lease: *lease });
            }
            Write::Delete { key } => {
                if self.keys.remove(key).is_some() {
                    self.log.push((self.revision, key.clone(), None));
                }
            }
        }
    }

    fn changes(&self, after: u64) -> Value {
        let from = self.log.partition_point(|(revision, ..)| *revision <= after);
        let log: Vec<Value> = self.log[from..]
            .iter()
            .map(|(revision, key, value)| match value {
                Some(value) => json!({"write": key, "v": value, "mark": revision}),
                None => json!({"remove": key, "mark": revision}),
            })
            .collect();
        json!({"ledger": self.revision, "log": log})
    }

    fn page(&self, prefix: &str, after: &str, most: usize) -> Value {
        let mut rows = self.keys.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let page: Vec<Value> = rows
            .by_ref()
            .take(most)
            .map(|(key, stored)| json!({"k": key, "v": stored.value, "mark": stored.revision}))
            .collect();
        json!({"rows": page, "more": rows.next().is_some(), "ledger": self.revision})
    }
}

/// The service, and a handle on it for scenarios.
#[derive(Clone, Default)]
pub struct KeyValueStore {
    late: Arc<Mutex<(u64, Duration)>>,
    transactions: Arc<AtomicU64>,
    store: Arc<Mutex<Store>>,
    changed: Arc<Notify>,
}

impl KeyValueStore {
    /// Begins to serve one controller; says where. While the flag is set, that one is refused.
    pub async fn start(&self, refused: Arc<AtomicBool>) -> io::Result<(SocketAddr, JoinSet<()>)> {
        let service = self.clone();
        serve(move |call| {
            let (service, refused) = (service.clone(), refused.clone());
            async move {
                if refused.load(Ordering::SeqCst) {
                    return Some((503, json!({"error": "trouble"})));
                }
                service.answer(call).await
            }
        })
        .await
    }

    /// Transactions, one in so many, get no answer and are carried out so much later; none if it is 0.
    pub fn set_late(&self, one_in: u64, by: Duration) {
        *self.late.lock().unwrap_or_else(PoisonError::into_inner) = (one_in, by);
    }

    /// How late the next transaction is to be carried out, if it is among the late ones.
    fn lateness(&self) -> Option<Duration> {
        let (one_in, by) = *self.late.lock().unwrap_or_else(PoisonError::into_inner);
        let count = self.transactions.fetch_add(1, Ordering::SeqCst);
        (one_in > 0 && count.is_multiple_of(one_in)).then_some(by)
    }

    fn locked(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Refuses everybody, or serves again; then every lease has its full time.
    pub fn set_down(&self, is_down: bool) {
        let mut store = self.locked();
        store.is_down = is_down;
        let now = Instant::now();
        for lease in store.leases.values_mut() {
            lease.ends = now + lease.life;
        }
    }

    /// The stored value of a key.
    pub fn get(&self, key: &str) -> Option<Value> {
        self.locked().keys.get(key).map(|stored| stored.value.clone())
    }

    /// All keys with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.locked().keys.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Writes carried out so far.
    pub fn writes(&self) -> u64 {
        self.locked().writes
    }

    async fn answer(&self, call: Call) -> Reply {
        let refused = {
            let mut store = self.locked();
            let before = store.revision;
            if !store.is_down {
                store.expire();
            }
            if store.revision > before {
                self.changed.notify_waiters();
            }
            store.is_down
        };
        if refused {
            return Some((503, json!({"error": "trouble"})));
        }
        match (&call.method, call.path.as_str()) {
            (&Method::POST, "/txn") => {
                let Ok(txn) = decode::<Txn>(&call.body) else { return Some((400, json!({"error": "malformed"}))) };
                if let Some(late) = self.lateness() {
                    let service = self.clone();
                    tokio::spawn(async move {
                        tokio::time::sleep(late).await;
                        service.carry_out_late(&txn);
                    });
                    return None;
                }
                let reply = self.locked().txn(&txn);
                self.changed.notify_waiters();
                Some(reply)
            }
            (&Method::GET, "/store") => {
                let text = |name: &str| call.query.get(name).map_or("", String::as_str);
                Some((200, self.locked().page(text("starts"), text("after"), call.number("most") as usize)))
            }
            (&Method::GET, "/changes") => {
                Some((200, self.watch(call.number("after"), Duration::from_millis(call.number("block_ms"))).await))
            }
            (&Method::POST, path) if path.starts_with("/leases") => Some(self.lease(path, &call)),
            _ => Some((404, json!({"ledger": 0}))),
        }
    }

    /// Carries a transaction out for which nobody waits any more.
    fn carry_out_late(&self, txn: &Txn) {
        let mut store = self.locked();
        if !store.is_down {
            store.expire();
            store.txn(txn);
        }
        self.changed.notify_waiters();
    }

    async fn watch(&self, after: u64, wait: Duration) -> Value {
        let until = tokio::time::Instant::now() + wait;
        loop {
            // Registered before the look, so that no change in between is missed.
            let changed = self.changed.notified();
            let now = {
                let store = self.locked();
                (store.revision > after).then(|| store.changes(after))
            };
            if let Some(changes) = now {
                return changes;
            }
            if tokio::time::timeout_at(until, changed).await.is_err() {
                return self.locked().changes(after);
            }
        }
    }

    fn lease(&self, path: &str, call: &Call) -> (u16, Value) {
        let mut store = self.locked();
        let number = path.trim_start_matches("/leases").trim_matches('/').trim_end_matches("/touch").parse::<u64>();
        if let Ok(id) = number {
            return match store.leases.get_mut(&id) {
                Some(lease) => {
                    lease.ends = Instant::now() + lease.life;
                    (200, json!({"tether": id}))
                }
                None => (404, json!({})),
            };
        }
        let wanted: Value = decode(&call.body).unwrap_or(Value::Null);
        let life = Duration::from_millis(wanted["life_ms"].as_u64().unwrap_or(1000));
        store.next_lease += 1;
        let id = store.next_lease;
        store.leases.insert(id, Lease { life, ends: Instant::now() + life });
        (200, json!({"tether": id}))
    }
}
