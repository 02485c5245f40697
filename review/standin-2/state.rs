//! The state service: keys with revisions, transactions, leases, a log of changes, and the limits of the settings.

use crate::wire::{Reply, Request, V, map};
use std::collections::BTreeMap;
use std::sync::{Condvar, Mutex};
use std::time::{Duration, Instant};

struct Stored {
    value: V,
    mark: u64,
    tether: Option<u64>,
}

struct Bucket {
    rate: f64,
    level: f64,
    at: Instant,
}

impl Bucket {
    fn new(rate: f64) -> Bucket {
        Bucket { rate, level: rate, at: Instant::now() }
    }
    fn take(&mut self, n: f64) -> bool {
        let now = Instant::now();
        self.level = (self.level + now.duration_since(self.at).as_secs_f64() * self.rate).min(self.rate);
        self.at = now;
        let ok = self.level >= n;
        if ok {
            self.level -= n;
        }
        ok
    }
}

struct Inner {
    ledger: u64,
    keys: BTreeMap<String, Stored>,
    log: Vec<(u64, String, Option<V>)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
    requests: Bucket,
    writes: Bucket,
    value_bytes: usize,
    ops: usize,
}

pub struct State {
    inner: Mutex<Inner>,
    changed: Condvar,
}

impl State {
    pub fn new(rps: f64, write_rps: f64, value_kb: usize, ops: usize) -> State {
        let inner = Inner {
            ledger: 0,
            keys: BTreeMap::new(),
            log: Vec::new(),
            leases: BTreeMap::new(),
            last_lease: 0,
            requests: Bucket::new(rps),
            writes: Bucket::new(write_rps),
            value_bytes: value_kb * 1024,
            ops,
        };
        State { inner: Mutex::new(inner), changed: Condvar::new() }
    }

    /// Ends leases that were not renewed in time. Called every few milliseconds.
    pub fn tick(&self) {
        let mut inner = self.inner.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> = inner.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(id, _)| *id).collect();
        for id in ended {
            inner.leases.remove(&id);
            inner.drop_tethered(id);
            self.changed.notify_all();
        }
    }

    pub fn handle(&self, request: Request) -> Reply {
        let mut inner = self.inner.lock().unwrap();
        if !inner.requests.take(1.0) {
            return Some((429, map([("error", "too many requests".into())])));
        }
        let body = request.body.clone().unwrap_or(V::Null);
        let path = request.path.as_str();
        match (request.method.as_str(), path) {
            ("POST", "/txn") => {
                let reply = inner.txn(&body);
                self.changed.notify_all();
                Some(reply)
            }
            ("POST", "/leases") => {
                let life = Duration::from_millis(body.get("life_ms").u().unwrap_or(1000));
                inner.last_lease += 1;
                let id = inner.last_lease;
                inner.leases.insert(id, (life, Instant::now() + life));
                Some((200, map([("tether", id.into())])))
            }
            ("POST", _) if path.starts_with("/leases/") => {
                let id = path.trim_start_matches("/leases/").trim_end_matches("/touch").parse().unwrap_or(0);
                match inner.leases.get_mut(&id) {
                    Some((life, end)) => {
                        *end = Instant::now() + *life;
                        Some((200, map([("tether", id.into())])))
                    }
                    None => Some((404, map([("error", "no such lease".into())]))),
                }
            }
            ("DELETE", _) if path.starts_with("/leases/") => {
                let id = path.trim_start_matches("/leases/").parse().unwrap_or(0);
                inner.leases.remove(&id);
                inner.drop_tethered(id);
                self.changed.notify_all();
                Some((200, map([])))
            }
            ("GET", "/changes") => {
                let (after, until) =
                    (request.number("after"), Instant::now() + Duration::from_millis(request.number("block_ms")));
                let prefix = request.text("starts").to_string();
                loop {
                    let first = inner.log.partition_point(|(mark, _, _)| *mark <= after);
                    let log: Vec<V> =
                        inner.log[first..].iter().filter(|(_, key, _)| key.starts_with(&prefix)).map(change).collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !log.is_empty() || left.is_zero() {
                        return Some((200, map([("ledger", inner.ledger.into()), ("log", log.into())])));
                    }
                    inner = self.changed.wait_timeout(inner, left).unwrap().0;
                }
            }
            ("GET", "/store") => {
                let (prefix, after) = (request.text("starts"), request.text("after"));
                let most = (request.number("most") as usize).clamp(1, 1000);
                let (mut rows, mut size, mut more) = (Vec::new(), 0, false);
                for (key, stored) in inner.keys.iter().filter(|(k, _)| k.starts_with(prefix) && k.as_str() > after) {
                    let row =
                        map([("k", key.as_str().into()), ("v", stored.value.clone()), ("mark", stored.mark.into())]);
                    size += row.json().len();
                    if rows.len() == most || size > 512 * 1024 {
                        more = true;
                        break;
                    }
                    rows.push(row);
                }
                Some((200, map([("rows", rows.into()), ("more", more.into()), ("ledger", inner.ledger.into())])))
            }
            ("GET", _) if path.starts_with("/store/") => {
                let key = path.trim_start_matches("/store/");
                Some(match inner.keys.get(key) {
                    Some(stored) => {
                        (200, map([("k", key.into()), ("v", stored.value.clone()), ("mark", stored.mark.into())]))
                    }
                    None => (404, map([("ledger", inner.ledger.into())])),
                })
            }
            _ => Some((400, map([("error", "malformed".into())]))),
        }
    }
}

fn change((mark, key, value): &(u64, String, Option<V>)) -> V {
    match value {
        Some(value) => map([("write", key.as_str().into()), ("v", value.clone()), ("mark", (*mark).into())]),
        None => map([("remove", key.as_str().into()), ("mark", (*mark).into())]),
    }
}

impl Inner {
    fn drop_tethered(&mut self, id: u64) {
        let keys: Vec<String> =
            self.keys.iter().filter(|(_, s)| s.tether == Some(id)).map(|(k, _)| k.clone()).collect();
        if keys.is_empty() {
            return;
        }
        self.ledger += 1;
        for key in keys {
            self.keys.remove(&key);
            self.log.push((self.ledger, key, None));
        }
    }

    fn txn(&mut self, body: &V) -> (u16, V) {
        let (value_bytes, ops) = (self.value_bytes, self.ops);
        let (conditions, writes) = (body.get("if").list(), body.get("writes").list());
        let refuse = |why: &str| (400, map([("error", why.into())]));
        if writes.len() > ops || conditions.len() > 4 * ops || body.json().len() > 64 * 1024 {
            return refuse("too large");
        }
        let key_of = |w: &V| {
            if w.get("write") == &V::Null { w.get("remove").s().to_string() } else { w.get("write").s().to_string() }
        };
        for write in writes {
            let key = key_of(write);
            if key.is_empty() || key.len() > 200 || key.contains(' ') || write.get("v").json().len() > value_bytes {
                return refuse("too large");
            }
            if write.get("write") != &V::Null
                && write.get("tether").u().is_some_and(|id| !self.leases.contains_key(&id))
            {
                return refuse("no such lease");
            }
        }
        if !self.writes.take(writes.len() as f64) {
            return (429, map([("error", "too many changes".into())]));
        }
        let mark = |key: &str| self.keys.get(key).map_or(0, |stored| stored.mark);
        let failed: Vec<V> = conditions
            .iter()
            .filter(|c| mark(c.get("k").s()) != c.get("mark").u().unwrap_or(0))
            .map(|c| c.get("k").clone())
            .collect();
        if !failed.is_empty() {
            return (409, map([("failed", failed.into()), ("ledger", self.ledger.into())]));
        }
        if !writes.is_empty() {
            self.ledger += 1;
        }
        for write in writes {
            let key = key_of(write);
            if write.get("write") == &V::Null {
                if self.keys.remove(&key).is_some() {
                    self.log.push((self.ledger, key, None));
                }
                continue;
            }
            let value = write.get("v").clone();
            self.log.push((self.ledger, key.clone(), Some(value.clone())));
            self.keys.insert(key, Stored { value, mark: self.ledger, tether: write.get("tether").u() });
        }
        (200, map([("ledger", self.ledger.into())]))
    }
}
