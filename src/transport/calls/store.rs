//! Calls to the store.

use super::decode_or_log;
use crate::coordination::{CallFailure, Input, ReadKind, ReadOutcome, SessionOutcome, StoreCall, TxnOutcome};
use crate::protocol::{encode, store};
use crate::transport::client::{Client, HttpResponse};
use crate::transport::rate_limit::{CallPriority, RateLimiter};
use hyper::{Method, StatusCode};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;

/// Upper bound of the timeout of a lease renewal: a renewal that hangs must leave time for another one.
const MAX_KEEP_ALIVE_TIMEOUT: Duration = Duration::from_millis(700);

/// Calls the store within a rate limit.
pub(in crate::transport) struct StoreClient {
    client: Client,
    address: SocketAddr,
    rate_limiter: RateLimiter,
    timeout: Duration,
    key_prefix: &'static str,
}

impl StoreClient {
    /// Creates a client of the store at an address, limited to `calls_per_second`. `timeout` applies to a call's wait
    /// for the rate limiter and, with adjustments for some calls, to the call itself.
    pub(in crate::transport) fn new(
        client: Client,
        address: SocketAddr,
        calls_per_second: f64,
        timeout: Duration,
    ) -> StoreClient {
        let rate_limiter = RateLimiter::new(calls_per_second, calls_per_second);
        StoreClient { client, address, rate_limiter, timeout, key_prefix: crate::storage::schema::ROOT }
    }

    /// Makes a call and returns its outcome as an input.
    pub(in crate::transport) async fn call(&self, call: StoreCall) -> Input {
        match call {
            StoreCall::Txn { ticket, txn, urgent } => Input::Txn { ticket, outcome: self.commit(&txn, urgent).await },
            StoreCall::Changes { ticket, kind, after, wait_ms } => {
                Input::Changes { ticket, outcome: self.read_changes(kind, after, wait_ms).await }
            }
            StoreCall::Page { ticket, after } => {
                Input::Page { ticket, outcome: self.read_page(after.as_deref()).await }
            }
            StoreCall::GrantSession { ticket, ttl_ms } => {
                Input::Session { ticket, outcome: self.grant_lease(ttl_ms).await }
            }
            StoreCall::KeepAlive { ticket, lease } => Input::Session { ticket, outcome: self.keep_alive(lease).await },
        }
    }

    async fn commit(&self, txn: &store::Txn, is_urgent: bool) -> TxnOutcome {
        // Users wait for urgent transactions; other records can wait until the rate limit allows another write.
        let priority = if is_urgent { CallPriority::Critical } else { CallPriority::Write };
        match self.post(priority, store::TXN_PATH, encode(txn), self.timeout).await {
            Ok(response) => txn_outcome(&response),
            Err(failure) => TxnOutcome::Failed(failure),
        }
    }

    async fn read_changes(&self, kind: ReadKind, after: u64, wait_ms: u64) -> ReadOutcome<store::Changes> {
        let path = store::changes_path(self.key_prefix, after, wait_ms);
        let timeout = match kind {
            ReadKind::Watch => Duration::from_millis(wait_ms) + self.timeout,
            ReadKind::Fresh => self.timeout,
        };
        read_outcome(self.get(&path, timeout).await)
    }

    async fn read_page(&self, after: Option<&str>) -> ReadOutcome<store::Page> {
        let path = store::page_path(self.key_prefix, after);
        read_outcome(self.get(&path, self.timeout * 2).await)
    }

    async fn grant_lease(&self, ttl_ms: u64) -> SessionOutcome {
        let body = encode(&store::GrantLease { ttl_ms });
        match self.post(CallPriority::Critical, store::LEASES_PATH, body, self.timeout).await {
            Ok(response) if response.status == StatusCode::OK => {
                let granted = decode_or_log::<store::Lease>(&response);
                granted.map_or(SessionOutcome::Failed, |granted| SessionOutcome::Granted(granted.lease))
            }
            _ => SessionOutcome::Failed,
        }
    }

    async fn keep_alive(&self, lease: u64) -> SessionOutcome {
        let path = store::keep_alive_path(lease);
        let timeout = self.timeout.min(MAX_KEEP_ALIVE_TIMEOUT);
        match self.post(CallPriority::Critical, &path, Vec::new(), timeout).await {
            Ok(response) if response.status == StatusCode::OK => SessionOutcome::KeptAlive,
            Ok(response) if response.status == StatusCode::NOT_FOUND => SessionOutcome::Expired,
            _ => SessionOutcome::Failed,
        }
    }

    async fn get(&self, path: &str, timeout: Duration) -> Result<HttpResponse, CallFailure> {
        self.send(CallPriority::Read, Method::GET, path, Vec::new(), timeout).await
    }

    async fn post(
        &self,
        priority: CallPriority,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<HttpResponse, CallFailure> {
        self.send(priority, Method::POST, path, body, timeout).await
    }

    async fn send(
        &self,
        priority: CallPriority,
        method: Method,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<HttpResponse, CallFailure> {
        if !self.rate_limiter.acquire(1.0, priority, self.timeout).await {
            return Err(CallFailure::NotExecuted);
        }
        Ok(self.client.call(self.address, method, path, body, timeout).await?)
    }
}

fn txn_outcome(response: &HttpResponse) -> TxnOutcome {
    match response.status {
        StatusCode::OK | StatusCode::CONFLICT => match decode_or_log::<store::TxnResponse>(response) {
            Some(committed) if response.status == StatusCode::OK => TxnOutcome::Committed(committed.revision),
            Some(conflict) => {
                tracing::debug!(failed_keys = ?conflict.failed, "transaction conflict");
                TxnOutcome::Conflict(conflict.revision)
            }
            None => TxnOutcome::Failed(CallFailure::Indeterminate),
        },
        StatusCode::TOO_MANY_REQUESTS => TxnOutcome::RateLimited,
        StatusCode::SERVICE_UNAVAILABLE => TxnOutcome::Failed(CallFailure::NotExecuted),
        StatusCode::BAD_REQUEST if response.body_contains(store::NO_SUCH_LEASE) => TxnOutcome::SessionExpired,
        StatusCode::BAD_REQUEST => {
            let answer = decode_or_log::<ciborium::Value>(response);
            tracing::error!(?answer, "store refused a transaction for good");
            TxnOutcome::Invalid
        }
        _ => TxnOutcome::Failed(CallFailure::Indeterminate),
    }
}

fn read_outcome<T: DeserializeOwned>(response: Result<HttpResponse, CallFailure>) -> ReadOutcome<T> {
    match response {
        Ok(response) if response.status == StatusCode::OK => {
            decode_or_log(&response).map_or(ReadOutcome::Failed, ReadOutcome::Fetched)
        }
        Ok(response) if response.status == StatusCode::GONE => ReadOutcome::Compacted,
        _ => ReadOutcome::Failed,
    }
}
