//! The data of the stand-in store: keys, leases and a log of changes. Leases expire by the clock of this process.

use burlhatch::protocol::store::{NO_SUCH_LEASE, Txn, Write};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

struct StoredValue {
    value: Value,
    revision: u64,
    lease: Option<u64>,
}

struct Lease {
    ttl: Duration,
    expires_at: Instant,
}

/// An entry of the change log. Its key was deleted if there is no value.
struct LogEntry {
    revision: u64,
    key: String,
    value: Option<Value>,
}

/// Status code and body of a response.
pub(super) type StatusAndBody = (u16, Value);

#[derive(Default)]
pub(super) struct StoreData {
    pub(super) revision: u64,
    pub(super) is_unavailable: bool,
    /// Number of writes in committed transactions.
    pub(super) write_count: u64,
    keys: BTreeMap<String, StoredValue>,
    log: Vec<LogEntry>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
}

impl StoreData {
    /// Deletes expired leases and the keys attached to them.
    pub(super) fn expire_leases(&mut self) {
        let now = Instant::now();
        let expired = self.leases.iter().filter(|(_, lease)| lease.expires_at <= now);
        let expired: Vec<u64> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            self.leases.remove(&id);
            let attached = self.keys.iter().filter(|(_, stored)| stored.lease == Some(id)).map(|(key, _)| key.clone());
            for key in attached.collect::<Vec<_>>() {
                self.revision += 1;
                self.keys.remove(&key);
                self.log.push(LogEntry { revision: self.revision, key, value: None });
            }
        }
    }

    /// Renews all leases for their full duration.
    pub(super) fn renew_all_leases(&mut self) {
        let now = Instant::now();
        for lease in self.leases.values_mut() {
            lease.expires_at = now + lease.ttl;
        }
    }

    pub(super) fn grant_lease(&mut self, ttl: Duration) -> StatusAndBody {
        self.last_lease += 1;
        self.leases.insert(self.last_lease, Lease { ttl, expires_at: Instant::now() + ttl });
        (200, json!({"tether": self.last_lease}))
    }

    pub(super) fn keep_alive(&mut self, id: u64) -> StatusAndBody {
        let Some(lease) = self.leases.get_mut(&id) else { return (404, json!({})) };
        lease.expires_at = Instant::now() + lease.ttl;
        (200, json!({"tether": id}))
    }

    /// Commits a transaction if the leases of its writes exist and its preconditions hold.
    pub(super) fn commit(&mut self, txn: &Txn) -> StatusAndBody {
        let has_lease = |write: &Write| match write {
            Write::Put { lease: Some(lease), .. } => self.leases.contains_key(lease),
            Write::Put { lease: None, .. } | Write::Delete { .. } => true,
        };
        if !txn.writes.iter().all(has_lease) {
            return (400, json!({"error": NO_SUCH_LEASE}));
        }
        let version = |key: &str| self.keys.get(key).map_or(0, |stored| stored.revision);
        let failed = txn.preconditions.iter().filter(|condition| version(&condition.key) != condition.version);
        let failed: Vec<&str> = failed.map(|condition| condition.key.as_str()).collect();
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "ledger": self.revision}));
        }
        if !txn.writes.is_empty() {
            self.revision += 1;
        }
        self.write_count += txn.writes.len() as u64;
        for write in &txn.writes {
            self.write(write);
        }
        (200, json!({"ledger": self.revision}))
    }

    fn write(&mut self, write: &Write) {
        let revision = self.revision;
        match write {
            Write::Put { key, value, lease } => {
                let value: Value = value.deserialized().unwrap_or(Value::Null);
                self.log.push(LogEntry { revision, key: key.clone(), value: Some(value.clone()) });
                self.keys.insert(key.clone(), StoredValue { value, revision, lease: *lease });
            }
            Write::Delete { key } => {
                if self.keys.remove(key).is_some() {
                    self.log.push(LogEntry { revision, key: key.clone(), value: None });
                }
            }
        }
    }

    /// Returns the changes after a revision.
    pub(super) fn changes(&self, after: u64) -> Value {
        let first = self.log.partition_point(|entry| entry.revision <= after);
        let entry_json = |entry: &LogEntry| match &entry.value {
            Some(value) => json!({"write": entry.key, "v": value, "mark": entry.revision}),
            None => json!({"remove": entry.key, "mark": entry.revision}),
        };
        let log: Vec<Value> = self.log[first..].iter().map(entry_json).collect();
        json!({"ledger": self.revision, "log": log})
    }

    /// Returns up to `max_items` of the keys with a prefix, beginning with the first key greater than `after`.
    pub(super) fn page(&self, prefix: &str, after: &str, max_items: usize) -> Value {
        let mut rows = self.keys.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let row_json =
            |(key, stored): (&String, &StoredValue)| json!({"k": key, "v": stored.value, "mark": stored.revision});
        let page: Vec<Value> = rows.by_ref().take(max_items).map(row_json).collect();
        json!({"rows": page, "more": rows.next().is_some(), "ledger": self.revision})
    }

    pub(super) fn get(&self, key: &str) -> Option<Value> {
        self.keys.get(key).map(|stored| stored.value.clone())
    }

    pub(super) fn keys(&self, prefix: &str) -> Vec<String> {
        self.keys.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }
}
