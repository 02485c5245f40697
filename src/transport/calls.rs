//! Carries out the controller's effects and brings back what came of them.

use super::client::{Answer, Client};
use super::limits::{Class, Limiter};
use crate::coordination::{
    CloudCall, CloudOutcome, DirectCommandsOutcome, Failure, Input, LeaseOutcome, ReadKind, ReadOutcome, StoreCall,
    TxnOutcome,
};
use crate::protocol::worker::{DirectCommands, Heartbeat};
use crate::protocol::{cloud, decode, encode, store};
use crate::settings::{Platform, Policy};
use crate::types::MachineId;
use hyper::Method;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const DIRECT_COMMANDS_TIMEOUT: Duration = Duration::from_millis(2500);
const CLOUD_LIMIT: Duration = Duration::from_millis(5000);

/// Where calls go, and how fast.
pub struct Services {
    client: Client,
    store: SocketAddr,
    cloud: SocketAddr,
    store_requests: Limiter,
    cloud_requests: Limiter,
    store_timeout: Duration,
    probe_limit: Duration,
    prefix: &'static str,
}

fn read<T: DeserializeOwned>(answer: &Answer) -> Option<T> {
    decode(&answer.body).map_err(|e| tracing::error!(error = %e, "unreadable answer")).ok()
}

impl Services {
    /// Calls to the services that the settings name.
    pub fn new(platform: &Platform, policy: &Policy, client: Client) -> Services {
        let limits = &platform.deployment;
        let part = limits.part_of_limit(policy.state_limits_together);
        let limiter_of = |rate: f64| Limiter::new(rate, rate);
        Services {
            client,
            store: platform.external.store,
            cloud: platform.external.cloud,
            store_requests: limiter_of(limits.store.least_rps() * part),
            // The leader alone calls it, but for the list of types.
            cloud_requests: limiter_of(limits.cloud.rps * policy.cloud_limit_part),
            store_timeout: Duration::from_millis(policy.state_timeout_ms),
            probe_limit: Duration::from_millis(policy.probe_ms),
            prefix: crate::storage::schema::ROOT,
        }
    }

    async fn store_call(
        &self,
        class: Class,
        method: Method,
        path: &str,
        body: Vec<u8>,
        limit: Duration,
    ) -> Result<Answer, Failure> {
        if !self.store_requests.acquire(1.0, class, self.store_timeout).await {
            return Err(Failure::NotDone);
        }
        self.client.call(self.store, method, path, body, limit).await
    }

    /// Calls the store; what the controller hears of it.
    pub async fn store(&self, call: StoreCall) -> Input {
        match call {
            StoreCall::Txn { ticket, txn, urgent } => {
                // Records can wait a moment for the next free write, users can't.
                let class = if urgent { Class::Renewal } else { Class::Transaction };
                Input::Txn { ticket, outcome: self.txn(&txn, class).await }
            }
            StoreCall::Changes { ticket, kind, after, wait_ms } => {
                let path = store::changes_path(self.prefix, after, wait_ms);
                let limit = match kind {
                    ReadKind::Watch => Duration::from_millis(wait_ms) + self.store_timeout,
                    ReadKind::Fresh => self.store_timeout,
                };
                let answer = self.store_call(Class::Read, Method::GET, &path, Vec::new(), limit).await;
                Input::Changes { ticket, outcome: read_outcome(answer) }
            }
            StoreCall::Page { ticket, after } => {
                let path = store::page_path(self.prefix, after.as_deref());
                let limit = self.store_timeout * 2;
                let answer = self.store_call(Class::Read, Method::GET, &path, Vec::new(), limit).await;
                Input::Page { ticket, outcome: read_outcome(answer) }
            }
            StoreCall::GrantLease { ticket, ttl_ms } => {
                let body = encode(&store::GrantLease { ttl_ms });
                let answer =
                    self.store_call(Class::Renewal, Method::POST, store::LEASES_PATH, body, self.store_timeout).await;
                let outcome = match answer {
                    Ok(a) if a.status == 200 => {
                        read::<store::Lease>(&a).map_or(LeaseOutcome::Failed, |l| LeaseOutcome::New(l.lease))
                    }
                    _ => LeaseOutcome::Failed,
                };
                Input::Lease { ticket, outcome }
            }
            StoreCall::KeepAlive { ticket, lease } => {
                let path = store::keep_alive_path(lease);
                // A renewal that hangs must leave time for another.
                let limit = self.store_timeout.min(Duration::from_millis(700));
                let answer = self.store_call(Class::Renewal, Method::POST, &path, Vec::new(), limit).await;
                let outcome = match answer {
                    Ok(a) if a.status == 200 => LeaseOutcome::KeptAlive,
                    Ok(a) if a.status == 404 => LeaseOutcome::Gone,
                    _ => LeaseOutcome::Failed,
                };
                Input::Lease { ticket, outcome }
            }
        }
    }

    async fn txn(&self, txn: &store::Txn, class: Class) -> TxnOutcome {
        let answer = self.store_call(class, Method::POST, store::TXN_PATH, encode(txn), self.store_timeout).await;
        match answer {
            Ok(a) if a.status == 200 || a.status == 409 => match read::<store::Committed>(&a) {
                Some(c) if a.status == 200 => TxnOutcome::Committed(c.revision),
                Some(c) => {
                    tracing::debug!(failed = ?c.failed, "conflict");
                    TxnOutcome::Conflict(c.revision)
                }
                None => TxnOutcome::Failed(Failure::Unknown),
            },
            Ok(a) if a.status == 429 => TxnOutcome::Limited,
            Ok(a) if a.status == 503 => TxnOutcome::Failed(Failure::NotDone),
            Ok(a) if a.status == 400 => {
                if a.body.windows(13).any(|w| w == b"no such lease") {
                    TxnOutcome::NoLease
                } else {
                    TxnOutcome::Invalid
                }
            }
            Ok(_) => TxnOutcome::Failed(Failure::Unknown),
            Err(failure) => TxnOutcome::Failed(failure),
        }
    }

    /// Sends a direct message to a worker; what the controller hears of it.
    pub async fn commands(&self, machine: MachineId, addr: SocketAddr, commands: DirectCommands) -> Input {
        let empty = commands.commands.is_empty();
        let limit = if empty { self.probe_limit } else { DIRECT_COMMANDS_TIMEOUT };
        let answer = self.client.call(addr, Method::POST, "/orders", encode(&commands), limit).await;
        let outcome = match answer {
            Ok(a) if a.status == 200 || a.status == 409 => match read::<Heartbeat>(&a) {
                Some(heartbeat) if a.status == 200 => DirectCommandsOutcome::Done(heartbeat),
                Some(heartbeat) => DirectCommandsOutcome::Rejected(heartbeat),
                None => DirectCommandsOutcome::Failed(Failure::Unknown),
            },
            Ok(_) => DirectCommandsOutcome::Failed(Failure::Unknown),
            // Without commands nothing can be carried out late.
            Err(_) if empty => DirectCommandsOutcome::Failed(Failure::NotDone),
            Err(failure) => DirectCommandsOutcome::Failed(failure),
        };
        Input::DirectCommands { machine, outcome }
    }

    /// Calls the cloud; what the controller hears of it.
    pub async fn cloud(&self, call: u64, request: CloudCall) -> Input {
        let outcome = self.cloud_outcome(request).await;
        Input::Cloud { call, outcome }
    }

    async fn cloud_outcome(&self, request: CloudCall) -> CloudOutcome {
        let class = match &request {
            CloudCall::Delete(_) => Class::Renewal,
            CloudCall::Rent(_) => Class::Transaction,
            _ => Class::Read,
        };
        if !self.cloud_requests.acquire(1.0, class, CLOUD_LIMIT).await {
            return CloudOutcome::Failed;
        }
        let (method, path, body) = match &request {
            CloudCall::Types => (Method::GET, cloud::TYPES_PATH.to_string(), Vec::new()),
            CloudCall::List { after } => (Method::GET, cloud::list_path(after.as_ref()), Vec::new()),
            CloudCall::Rent(rental) => (Method::POST, cloud::RENT_PATH.to_string(), encode(rental)),
            CloudCall::Delete(machines) => {
                let names = cloud::MachineNames { machines: machines.clone() };
                (Method::POST, cloud::DELETE_PATH.to_string(), encode(&names))
            }
        };
        let Ok(answer) = self.client.call(self.cloud, method, &path, body, CLOUD_LIMIT).await else {
            return CloudOutcome::Failed;
        };
        let got = match (&request, answer.status) {
            (CloudCall::Types, 200) => read(&answer).map(CloudOutcome::Types),
            (CloudCall::List { .. }, 200) => read(&answer).map(CloudOutcome::List),
            (CloudCall::Rent(_), 200) => read(&answer).map(CloudOutcome::Rented),
            (CloudCall::Rent(_), 503) if answer.body.windows(11).any(|w| w == b"no capacity") => {
                Some(CloudOutcome::NoCapacity)
            }
            (CloudCall::Delete(_), 200) => Some(CloudOutcome::Deleted),
            _ => None,
        };
        got.unwrap_or(CloudOutcome::Failed)
    }
}

fn read_outcome<T: DeserializeOwned>(answer: Result<Answer, Failure>) -> ReadOutcome<T> {
    match answer {
        Ok(a) if a.status == 200 => read(&a).map_or(ReadOutcome::Failed, ReadOutcome::Got),
        Ok(a) if a.status == 410 => ReadOutcome::TooOld,
        _ => ReadOutcome::Failed,
    }
}

/// Runs `call` beside everything else and hands its outcome to `done`.
pub fn spawn<F>(call: F, done: Arc<dyn Fn(Input) + Send + std::marker::Sync>)
where
    F: Future<Output = Input> + Send + 'static,
{
    tokio::spawn(async move { done(call.await) });
}
