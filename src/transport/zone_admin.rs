//! The command `burlhatch zones`: shows the recorded condition of zones, and sets or removes operators' holds.
//!
//! It reads and writes the store's records directly, so that it also works while no controller responds.

use super::client::{CallError, Client, HttpResponse};
use crate::protocol::store::{Page, Precondition, TXN_PATH, Txn, TxnResponse, Write, page_path};
use crate::protocol::{WireError, encode};
use crate::settings::Platform;
use crate::storage::Replica;
use crate::storage::schema::{Key, ROOT, ZoneCordonRecord, to_value};
use crate::types::Micros;
use burlhatch_zones::ZoneRecord;
use hyper::{Method, StatusCode};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of one call to the store.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Action that an operator requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ZoneAction {
    /// Shows the condition of all zones.
    List,
    /// Cordons a zone: nothing new starts in it, and its services move to other zones.
    Hold(String),
    /// Removes the hold of a zone, so that new work may start in it again.
    Release(String),
}

/// Error of a zone action.
#[derive(Debug, thiserror::Error)]
pub enum ZoneAdminError {
    /// The deployment has no such zone.
    #[error("zone: unknown zone '{zone}', known are {known}")]
    UnknownZone {
        /// Name given by the operator.
        zone: String,
        /// Zones of the deployment, separated by commas.
        known: String,
    },
    /// A call to the store failed.
    #[error("the state service at {address} {source}")]
    Store {
        /// The store's address.
        address: SocketAddr,
        /// Error of the call.
        source: StoreError,
    },
}

/// Error of a call to the store.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// No response was received.
    #[error("did not answer")]
    NoResponse(#[source] CallError),
    /// The store refused the call.
    #[error("answered {}", .0.as_u16())]
    Refused(StatusCode),
    /// The response to a read can't be decoded.
    #[error("returned an invalid page: {0}")]
    MalformedPage(#[source] WireError),
    /// The response to a transaction can't be decoded.
    #[error("returned an invalid transaction response: {0}")]
    MalformedOutcome(#[source] WireError),
}

impl ZoneAdminError {
    /// Whether the operator's input caused the error.
    pub fn is_bad_input(&self) -> bool {
        matches!(self, ZoneAdminError::UnknownZone { .. })
    }
}

/// Executes an action and returns the text to print.
pub async fn administer(platform: &Platform, action: &ZoneAction, now: Micros) -> Result<String, ZoneAdminError> {
    let admin = ZoneAdmin { platform, client: Client::default() };
    match action {
        ZoneAction::List => admin.list().await,
        ZoneAction::Hold(zone) => admin.hold(zone, now).await,
        ZoneAction::Release(zone) => admin.release(zone).await,
    }
}

struct ZoneAdmin<'a> {
    platform: &'a Platform,
    client: Client,
}

impl ZoneAdmin<'_> {
    async fn list(&self) -> Result<String, ZoneAdminError> {
        let records = self.read_records().await?;
        let mut text = String::new();
        for zone in &self.platform.deployment.zones {
            let hold = if records.zone_cordons.contains_key(zone) { "on hold" } else { "-" };
            let views: Vec<String> = records
                .zone_views
                .iter()
                .filter(|((name, _), _)| name == zone)
                .map(|((_, shard), stored)| describe_view(*shard, stored.value.as_ref()))
                .collect();
            let views = if views.is_empty() { "nothing against it".to_string() } else { views.join("; ") };
            // Writing to a string never fails.
            let _ = writeln!(text, "{zone}\t{hold}\t{views}");
        }
        Ok(text)
    }

    async fn hold(&self, zone: &str, now: Micros) -> Result<String, ZoneAdminError> {
        self.check_zone(zone)?;
        let key = Key::ZoneCordon(zone.to_string()).to_string();
        let record = to_value(&ZoneCordonRecord { at: now });
        let write = Write::Put { key: key.clone(), value: record, lease: None };
        // Version 0 requires that the key does not exist, so that an earlier hold keeps its time.
        let txn = Txn { preconditions: vec![Precondition { key, version: 0 }], writes: vec![write] };
        let done = if self.commit(&txn).await? { "is on hold" } else { "was on hold already" };
        Ok(format!("{zone} {done}\n"))
    }

    async fn release(&self, zone: &str) -> Result<String, ZoneAdminError> {
        self.check_zone(zone)?;
        let key = Key::ZoneCordon(zone.to_string()).to_string();
        let txn = Txn { preconditions: Vec::new(), writes: vec![Write::Delete { key }] };
        self.commit(&txn).await?;
        Ok(format!("{zone} is released\n"))
    }

    fn check_zone(&self, zone: &str) -> Result<(), ZoneAdminError> {
        let known = &self.platform.deployment.zones;
        if known.iter().any(|name| name == zone) {
            return Ok(());
        }
        Err(ZoneAdminError::UnknownZone { zone: zone.to_string(), known: known.join(", ") })
    }

    async fn read_records(&self) -> Result<Replica, ZoneAdminError> {
        let mut records = Replica::default();
        let mut after: Option<String> = None;
        loop {
            let path = page_path(&format!("{ROOT}zone"), after.as_deref());
            let response = self.call(Method::GET, &path, Vec::new()).await?;
            let page: Page = response.decode().map_err(|error| self.error(StoreError::MalformedPage(error)))?;
            for item in &page.items {
                records.apply(&item.key, Some(&item.value), item.version);
            }
            after = page.items.last().map(|item| item.key.clone());
            if !page.more || after.is_none() {
                return Ok(records);
            }
        }
    }

    /// Commits a transaction. Returns false if a precondition failed.
    async fn commit(&self, txn: &Txn) -> Result<bool, ZoneAdminError> {
        let response = self.call(Method::POST, TXN_PATH, encode(txn)).await?;
        response.decode::<TxnResponse>().map_err(|error| self.error(StoreError::MalformedOutcome(error)))?;
        Ok(response.status == StatusCode::OK)
    }

    async fn call(&self, method: Method, path: &str, body: Vec<u8>) -> Result<HttpResponse, ZoneAdminError> {
        let store = self.platform.external.store;
        match self.client.call(store, method, path, body, CALL_TIMEOUT).await {
            Ok(response) if matches!(response.status, StatusCode::OK | StatusCode::CONFLICT) => Ok(response),
            Ok(response) => Err(self.error(StoreError::Refused(response.status))),
            Err(error) => Err(self.error(StoreError::NoResponse(error))),
        }
    }

    fn error(&self, source: StoreError) -> ZoneAdminError {
        ZoneAdminError::Store { address: self.platform.external.store, source }
    }
}

fn describe_view(shard: u32, view: Option<&ZoneRecord>) -> String {
    let Some(view) = view else { return format!("share {shard}: unreadable") };
    let silent = if view.is_unresponsive { ", silent" } else { "" };
    let condition = format!("{:?}", view.condition).to_lowercase();
    format!("share {shard}: {condition}{silent}, penalty {}", view.penalty)
}
