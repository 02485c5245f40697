//! A stand-in for the store: a key-value store with conditional transactions, leases and watches.

mod data;
mod size_limits;

use crate::http::{ReceivedRequest, Reply, serve};
use crate::listener::Server;
use burlhatch::protocol::decode;
use burlhatch::protocol::store::{LEASES_PATH, TXN_PATH, Txn};
use data::{StatusAndBody, StoreData};
use hyper::Method;
use serde_json::{Value, json};
pub use size_limits::StoreSizeLimits;
use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;

const DEFAULT_LEASE_MS: u64 = 1000;

/// Selection of transactions that get no response and are committed late.
#[derive(Clone, Copy, Default)]
struct LateTransactions {
    /// One in this many transactions is selected; none if it is 0.
    one_in: u64,
    delay: Duration,
}

/// The store. Clones share its state; scenarios control it through them.
#[derive(Clone, Default)]
pub struct KeyValueStore {
    size_limits: StoreSizeLimits,
    oversized: Arc<Mutex<Vec<String>>>,
    late_transactions: Arc<Mutex<LateTransactions>>,
    transaction_count: Arc<AtomicU64>,
    data: Arc<Mutex<StoreData>>,
    changed: Arc<Notify>,
}

impl KeyValueStore {
    /// Creates an empty store with limits of size.
    pub fn with_size_limits(size_limits: StoreSizeLimits) -> KeyValueStore {
        KeyValueStore { size_limits, ..KeyValueStore::default() }
    }

    /// Returns why each transaction that exceeded a limit of size was refused.
    pub fn oversized_transactions(&self) -> Vec<String> {
        self.oversized.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Starts an endpoint for one controller. It refuses all requests while `is_refusing` is set.
    pub(crate) async fn start(&self, is_refusing: Arc<AtomicBool>) -> io::Result<Server> {
        let store = self.clone();
        serve(move |request| {
            let (store, is_refusing) = (store.clone(), is_refusing.clone());
            async move { if is_refusing.load(Ordering::SeqCst) { unavailable() } else { store.answer(request).await } }
        })
        .await
    }

    /// Lets one in `one_in` transactions get no response and be committed after a delay from now on; none if it is 0.
    pub fn delay_transactions(&self, one_in: u64, delay: Duration) {
        *self.late_transactions.lock().unwrap_or_else(PoisonError::into_inner) = LateTransactions { one_in, delay };
    }

    /// Counts a transaction and returns its delay if it is to be committed late.
    fn delay_of_next_transaction(&self) -> Option<Duration> {
        let LateTransactions { one_in, delay } = *self.late_transactions.lock().unwrap_or_else(PoisonError::into_inner);
        let count = self.transaction_count.fetch_add(1, Ordering::SeqCst);
        (one_in > 0 && count.is_multiple_of(one_in)).then_some(delay)
    }

    fn locked(&self) -> MutexGuard<'_, StoreData> {
        self.data.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts or stops refusing all requests. Renews all leases, so that each has its full time when the store serves
    /// again.
    pub fn set_unavailable(&self, is_unavailable: bool) {
        let mut data = self.locked();
        data.is_unavailable = is_unavailable;
        data.renew_all_leases();
    }

    /// Returns the value of a key.
    pub fn get(&self, key: &str) -> Option<Value> {
        self.locked().get(key)
    }

    /// Returns all keys with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.locked().keys(prefix)
    }

    /// Returns the number of writes committed so far.
    pub fn write_count(&self) -> u64 {
        self.locked().write_count
    }

    async fn answer(&self, request: ReceivedRequest) -> Reply {
        if !self.expire_leases() {
            return unavailable();
        }
        match (&request.method, request.path.as_str()) {
            (&Method::POST, TXN_PATH) => self.commit(&request),
            (&Method::GET, "/store") => {
                let text = |name: &str| request.query.get(name).map_or("", String::as_str);
                Some((200, self.locked().page(text("starts"), text("after"), request.number("most") as usize)))
            }
            (&Method::GET, "/changes") => {
                let max_wait = Duration::from_millis(request.number("block_ms"));
                Some((200, self.watch(request.number("after"), max_wait).await))
            }
            (&Method::POST, path) if path.starts_with(LEASES_PATH) => Some(self.renew_or_grant_lease(path, &request)),
            _ => Some((404, json!({"ledger": 0}))),
        }
    }

    /// Expires leases and wakes watches. Returns false if the store is unavailable, in which case no lease expires.
    fn expire_leases(&self) -> bool {
        let mut data = self.locked();
        if data.is_unavailable {
            return false;
        }
        let revision_before = data.revision;
        data.expire_leases();
        if data.revision > revision_before {
            self.changed.notify_waiters();
        }
        true
    }

    fn commit(&self, request: &ReceivedRequest) -> Reply {
        let Ok(txn) = decode::<Txn>(&request.body) else { return Some((400, json!({"error": "malformed"}))) };
        if let Some(reason) = self.size_limits.reason_to_refuse(&txn) {
            self.oversized.lock().unwrap_or_else(PoisonError::into_inner).push(reason.clone());
            return Some((400, json!({"error": reason})));
        }
        if let Some(delay) = self.delay_of_next_transaction() {
            let store = self.clone();
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                store.commit_late(&txn);
            });
            return None;
        }
        let reply = self.locked().commit(&txn);
        self.changed.notify_waiters();
        Some(reply)
    }

    /// Commits a delayed transaction, unless the store is unavailable. Its client has got no response.
    fn commit_late(&self, txn: &Txn) {
        let mut data = self.locked();
        if !data.is_unavailable {
            data.expire_leases();
            data.commit(txn);
        }
        self.changed.notify_waiters();
    }

    /// Returns the changes after a revision, waiting up to `max_wait` for the first one.
    async fn watch(&self, after: u64, max_wait: Duration) -> Value {
        let deadline = tokio::time::Instant::now() + max_wait;
        loop {
            // Created before the check, so that a change in between is not missed.
            let changed = self.changed.notified();
            let changes = {
                let data = self.locked();
                (data.revision > after).then(|| data.changes(after))
            };
            if let Some(changes) = changes {
                return changes;
            }
            if tokio::time::timeout_at(deadline, changed).await.is_err() {
                return self.locked().changes(after);
            }
        }
    }

    /// Renews the lease that the path names, or grants a new one.
    fn renew_or_grant_lease(&self, path: &str, request: &ReceivedRequest) -> StatusAndBody {
        let lease = path.trim_start_matches(LEASES_PATH).trim_matches('/').trim_end_matches("/touch").parse::<u64>();
        if let Ok(lease) = lease {
            return self.locked().keep_alive(lease);
        }
        let body: Value = decode(&request.body).unwrap_or(Value::Null);
        let ttl_ms = body["life_ms"].as_u64().unwrap_or(DEFAULT_LEASE_MS);
        self.locked().grant_lease(Duration::from_millis(ttl_ms))
    }
}

fn unavailable() -> Reply {
    Some((503, json!({"error": "trouble"})))
}
