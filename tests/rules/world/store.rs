//! The store: keys with revisions, transactions, sessions, watches and limits.

use super::{Endpoint, Event as WorldEvent, MS, World};
use burlhatch::coordination::{CallFailure, Input, ReadOutcome, SessionOutcome, StoreCall, TxnOutcome};
use burlhatch::protocol::store::{Changes, Event, Item, Page, Txn, Write};
use burlhatch_testbed::store::StoreSizeLimits;
use ciborium::Value;
use std::collections::{BTreeMap, VecDeque};

fn json_bytes(data: &impl serde::Serialize) -> usize {
    serde_json::to_string(data).expect("plain data").len()
}

/// Limits that replace the stated ones from some time on.
#[derive(Clone, Copy)]
pub struct LoweredLimits {
    pub at: u64,
    pub sizes: StoreSizeLimits,
    pub write_rps: f64,
}

/// Limits of the protocol that only a large deployment reaches; the tests lower them.
#[derive(Clone, Copy)]
pub struct Limits {
    /// Number of changes kept in the log.
    pub history: usize,
    /// Items on a page at most.
    pub page_items: usize,
    /// Bytes of the keys and values on a page at most; a single larger item still gets a page.
    pub page_bytes: usize,
    /// Requests per second; `None` for no limit.
    pub rps: Option<f64>,
}

impl Default for Limits {
    /// Returns limits with pages so small that a complete read takes several.
    fn default() -> Limits {
        Limits { history: 10_000, page_items: 20, page_bytes: 512 * 1024, rps: None }
    }
}

/// Token bucket for a rate per second, which allows bursts of up to one second's amount.
#[derive(Default)]
struct TokenBucket {
    tokens: f64,
    updated_at: u64,
}

impl TokenBucket {
    fn admits(&mut self, now: u64, rate: f64, amount: usize) -> bool {
        let span = (now - self.updated_at) as f64 / 1e6;
        self.updated_at = now;
        self.tokens = (self.tokens + span * rate).min(rate);
        let admitted = self.tokens >= amount as f64;
        if admitted {
            self.tokens -= amount as f64;
        }
        admitted
    }
}

pub struct Watch {
    pub node: usize,
    pub generation: u64,
    pub ticket: u64,
    pub after: u64,
}

pub struct Store {
    pub keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    revision: u64,
    log: VecDeque<(u64, String, Option<Value>)>,
    /// Latest revision of which a change was removed from the log.
    compacted_revision: u64,
    pub limits: Limits,
    request_bucket: TokenBucket,
    leases: BTreeMap<u64, (u64, u64)>,
    next_lease: u64,
    pub watches: BTreeMap<u64, Watch>,
    pub down_until: u64,
    /// Controllers whose requests are refused, with the time until which they are.
    pub refused_until: BTreeMap<usize, u64>,
    /// Writes accepted per second.
    write_rps: f64,
    write_bucket: TokenBucket,
    /// Transactions refused because of the limit of writes per second.
    pub rate_limited_count: u64,
    /// Writes executed by transactions.
    pub write_count: u64,
    /// Requests received, including those above the limit.
    pub request_count: u64,
    stated_sizes: StoreSizeLimits,
    pub lowered_limits: Option<LoweredLimits>,
    /// Whether transactions that are refused for good are part of the test; otherwise each is a violation.
    pub expects_refusals: bool,
    /// Text of the keys whose writes are refused for good.
    pub refused_key_part: Option<String>,
    /// Transactions refused for good.
    pub refused_count: u64,
}

/// Returns the input for a controller whose request failed without an answer.
pub fn failure_input(request: &StoreCall, failure: CallFailure) -> Input {
    match request {
        StoreCall::Txn { ticket, .. } => Input::Txn { ticket: *ticket, outcome: TxnOutcome::Failed(failure) },
        StoreCall::Changes { ticket, .. } => Input::Changes { ticket: *ticket, outcome: ReadOutcome::Failed },
        StoreCall::Page { ticket, .. } => Input::Page { ticket: *ticket, outcome: ReadOutcome::Failed },
        StoreCall::GrantSession { ticket, .. } | StoreCall::KeepAlive { ticket, .. } => {
            Input::Session { ticket: *ticket, outcome: SessionOutcome::Failed }
        }
    }
}

impl Store {
    pub fn new(write_rps: f64, stated_sizes: StoreSizeLimits) -> Store {
        Store {
            keys: BTreeMap::new(),
            revision: 0,
            log: VecDeque::new(),
            compacted_revision: 0,
            limits: Limits::default(),
            request_bucket: TokenBucket::default(),
            leases: BTreeMap::new(),
            next_lease: 0,
            watches: BTreeMap::new(),
            down_until: 0,
            refused_until: BTreeMap::new(),
            write_rps,
            write_bucket: TokenBucket { tokens: write_rps, updated_at: 0 },
            rate_limited_count: 0,
            write_count: 0,
            request_count: 0,
            stated_sizes,
            lowered_limits: None,
            expects_refusals: false,
            refused_key_part: None,
            refused_count: 0,
        }
    }

    /// Counts a request and returns whether it is within the limit.
    pub fn admits_request(&mut self, now: u64) -> bool {
        self.request_count += 1;
        self.limits.rps.is_none_or(|rate| self.request_bucket.admits(now, rate, 1))
    }

    fn append_to_log(&mut self, key: String, value: Option<Value>) {
        self.log.push_back((self.revision, key, value));
        while self.log.len() > self.limits.history {
            self.compacted_revision = self.log.pop_front().map_or(self.compacted_revision, |(revision, ..)| revision);
        }
    }

    /// Writes or deletes a key without regard to the limits.
    pub fn write(&mut self, key: &str, value: Option<Value>) {
        self.revision += 1;
        match value.clone() {
            Some(value) => drop(self.keys.insert(key.into(), (value, self.revision, None))),
            None => drop(self.keys.remove(key)),
        }
        self.append_to_log(key.into(), value);
    }

    /// Returns whether that many writes are within the limit per second, and uses it if so.
    fn admits(&mut self, now: u64, changes: usize) -> bool {
        if let Some(lowered) = self.lowered_limits.filter(|lowered| now >= lowered.at) {
            self.write_rps = lowered.write_rps;
        }
        let admitted = self.write_bucket.admits(now, self.write_rps, changes);
        self.rate_limited_count += u64::from(!admitted);
        admitted
    }

    /// Gives each session its full duration after the end of an outage.
    pub fn prolong_leases(&mut self, end: u64) {
        for (expires, ttl) in self.leases.values_mut() {
            *expires = end + *ttl;
        }
    }

    pub fn expire(&mut self, now: u64) {
        let expired: Vec<u64> = self.leases.iter().filter(|(_, (at, _))| *at <= now).map(|(id, _)| *id).collect();
        for id in expired {
            self.leases.remove(&id);
            let bound: Vec<String> =
                self.keys.iter().filter(|(_, (_, _, l))| *l == Some(id)).map(|(k, _)| k.clone()).collect();
            for key in bound {
                self.revision += 1;
                self.keys.remove(&key);
                self.append_to_log(key, None);
            }
        }
    }

    pub fn has_changed(&self, after: u64) -> bool {
        self.log.back().is_some_and(|(revision, ..)| *revision > after)
    }

    /// Returns the changes after a revision, or `Compacted` if the log no longer holds all of them.
    pub fn changes(&self, after: u64) -> ReadOutcome<Changes> {
        if after < self.compacted_revision {
            return ReadOutcome::Compacted;
        }
        let from = self.log.partition_point(|(revision, ..)| *revision <= after);
        let events = self
            .log
            .range(from..)
            .map(|(version, key, value)| match value {
                Some(v) => Event { put: Some(key.clone()), delete: None, value: Some(v.clone()), version: *version },
                None => Event { put: None, delete: Some(key.clone()), value: None, version: *version },
            })
            .collect();
        ReadOutcome::Fetched(Changes { revision: self.revision, events })
    }

    fn page(&self, after: Option<&String>) -> Page {
        let mut items = Vec::new();
        let mut bytes = 0;
        let mut rows = self.keys.iter().filter(|(key, _)| after.is_none_or(|after| *key > after)).peekable();
        while let Some((key, (value, version, _))) = rows.peek() {
            bytes += key.len() + json_bytes(value);
            if items.len() == self.limits.page_items || (!items.is_empty() && bytes > self.limits.page_bytes) {
                break;
            }
            items.push(Item { key: (*key).clone(), value: value.clone(), version: *version });
            rows.next();
        }
        Page { items, more: rows.peek().is_some(), revision: self.revision }
    }

    /// Returns the limits of size as of the last transaction.
    fn sizes(&self) -> StoreSizeLimits {
        let lowered = self.lowered_limits.filter(|lowered| self.write_bucket.updated_at >= lowered.at);
        lowered.map_or(self.stated_sizes, |lowered| lowered.sizes)
    }

    fn writes_refused_key(&self, txn: &Txn) -> bool {
        let Some(part) = &self.refused_key_part else { return false };
        txn.writes.iter().any(|write| matches!(write, Write::Put { key, .. } if key.contains(part)))
    }

    fn txn(&mut self, txn: &Txn) -> TxnOutcome {
        if self.sizes().reason_to_refuse(txn).is_some() || self.writes_refused_key(txn) {
            self.refused_count += 1;
            return TxnOutcome::Invalid;
        }
        let lost = txn
            .writes
            .iter()
            .any(|w| matches!(w, Write::Put { lease: Some(lease), .. } if !self.leases.contains_key(lease)));
        if lost {
            return TxnOutcome::SessionExpired;
        }
        let holds = txn.preconditions.iter().all(|c| self.keys.get(&c.key).map_or(0, |(_, v, _)| *v) == c.version);
        if !holds {
            return TxnOutcome::Conflict(self.revision);
        }
        if !txn.writes.is_empty() {
            self.revision += 1;
            self.write_count += txn.writes.len() as u64;
        }
        for write in &txn.writes {
            match write {
                Write::Put { key, value, lease } => {
                    self.keys.insert(key.clone(), (value.clone(), self.revision, *lease));
                    self.append_to_log(key.clone(), Some(value.clone()));
                }
                Write::Delete { key } => {
                    if self.keys.remove(key).is_some() {
                        self.append_to_log(key.clone(), None);
                    }
                }
            }
        }
        TxnOutcome::Committed(self.revision)
    }

    pub fn answer(&mut self, now: u64, request: &StoreCall) -> Input {
        match request {
            StoreCall::Txn { ticket, txn, .. } => {
                let outcome = if self.admits(now, txn.writes.len()) { self.txn(txn) } else { TxnOutcome::RateLimited };
                Input::Txn { ticket: *ticket, outcome }
            }
            StoreCall::Changes { ticket, after, .. } => {
                Input::Changes { ticket: *ticket, outcome: self.changes(*after) }
            }
            StoreCall::Page { ticket, after } => {
                Input::Page { ticket: *ticket, outcome: ReadOutcome::Fetched(self.page(after.as_ref())) }
            }
            StoreCall::GrantSession { ticket, ttl_ms } => {
                self.next_lease += 1;
                self.leases.insert(self.next_lease, (now + ttl_ms * 1000, ttl_ms * 1000));
                Input::Session { ticket: *ticket, outcome: SessionOutcome::Granted(self.next_lease) }
            }
            StoreCall::KeepAlive { ticket, lease } => {
                let outcome = match self.leases.get_mut(lease) {
                    Some((expires, ttl)) => {
                        *expires = now + *ttl;
                        SessionOutcome::KeptAlive
                    }
                    None => SessionOutcome::Expired,
                };
                Input::Session { ticket: *ticket, outcome }
            }
        }
    }
}

impl World {
    pub(super) fn store_request(&mut self, node: usize, generation: u64, call: u64, request: StoreCall) {
        let now = self.now;
        let refused = now < self.store.down_until || self.store.refused_until.get(&node).is_some_and(|t| *t > now);
        if refused {
            let input = match &request {
                StoreCall::Txn { ticket, .. } => {
                    Input::Txn { ticket: *ticket, outcome: TxnOutcome::Failed(CallFailure::NotExecuted) }
                }
                other => failure_input(other, CallFailure::NotExecuted),
            };
            return self.reply(Endpoint::Store, node, generation, call, input);
        }
        if !self.store.admits_request(now) {
            let input = match &request {
                StoreCall::Txn { ticket, .. } => Input::Txn { ticket: *ticket, outcome: TxnOutcome::RateLimited },
                other => failure_input(other, CallFailure::NotExecuted),
            };
            return self.reply(Endpoint::Store, node, generation, call, input);
        }
        self.store.expire(now);
        if let StoreCall::Changes { ticket, after, wait_ms, .. } = &request
            && *wait_ms > 0
            && !self.store.has_changed(*after)
        {
            self.store.watches.insert(call, Watch { node, generation, ticket: *ticket, after: *after });
            return self.schedule(wait_ms * MS, WorldEvent::WatchEnds { call });
        }
        if let StoreCall::Txn { txn, .. } = &request
            && !self.open_calls.contains_key(&call)
            && self.store.sizes().reason_to_refuse(txn).is_some()
        {
            // A late copy that exceeds the limits lowered meanwhile; the store refuses it with 400, and no caller waits
            // for the answer.
            return;
        }
        let input = self.store.answer(now, &request);
        if let (StoreCall::Txn { txn, .. }, Input::Txn { outcome: TxnOutcome::Committed(revision), .. }) =
            (&request, &input)
        {
            for violation in self.records.check_transaction(txn, *revision) {
                self.report_violation(violation);
            }
        }
        if let (StoreCall::Txn { txn, .. }, Input::Txn { outcome: TxnOutcome::Invalid, .. }) = (&request, &input)
            && !self.store.expects_refusals
        {
            let reason = self.store.sizes().reason_to_refuse(txn);
            self.report_violation(format!("the store refuses a transaction for good: {reason:?}"));
        }
        self.reply(Endpoint::Store, node, generation, call, input);
        self.wake_watches();
    }

    pub(super) fn wake_watches(&mut self) {
        let due: Vec<u64> =
            self.store.watches.iter().filter(|(_, w)| self.store.has_changed(w.after)).map(|(call, _)| *call).collect();
        for call in due {
            if let Some(watch) = self.store.watches.remove(&call) {
                self.answer_watch(call, &watch);
            }
        }
    }

    /// Answers a watch, with the additional delay of its controller.
    pub(super) fn answer_watch(&mut self, call: u64, watch: &Watch) {
        let input = Input::Changes { ticket: watch.ticket, outcome: self.store.changes(watch.after) };
        let lag = self.watch_lag[watch.node];
        self.reply_after(lag, Endpoint::Store, watch.node, watch.generation, call, input);
    }
}
