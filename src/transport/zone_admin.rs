//! The operators' view of zones and their holds, read from and written to the store: `burlhatch zones`.

use super::client::{Answer, Client};
use crate::protocol::store::{Committed, Page, Precondition, TXN_PATH, Txn, Write, page_path};
use crate::protocol::{decode, encode};
use crate::settings::Platform;
use crate::storage::Replica;
use crate::storage::schema::{Key, ROOT, ZoneCordonRecord, to_value};
use crate::types::Micros;
use burlhatch_zones::ZoneRecord;
use hyper::Method;
use std::fmt::Write as _;
use std::time::Duration;

/// How long one call to the store may take.
const CALL_LIMIT: Duration = Duration::from_secs(5);

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ZoneAction {
    /// How all zones stand.
    List,
    /// Nothing new goes to a zone, and its services leave it.
    Hold(String),
    /// It takes work again.
    Release(String),
}

/// Why it could not be done.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum ZoneAdminError {
    /// The deployment has no such zone.
    #[error("zone: unknown zone '{zone}', known are {known}")]
    UnknownZone {
        /// As it was named.
        zone: String,
        /// All that there are.
        known: String,
    },
    /// The store did not answer, or refused.
    #[error("the state service at {address} {problem}")]
    Store {
        /// Where it was called.
        address: std::net::SocketAddr,
        /// What it did.
        problem: String,
    },
}

impl ZoneAdminError {
    /// Whether what was asked for is wrong in itself.
    pub fn is_bad_input(&self) -> bool {
        matches!(self, ZoneAdminError::UnknownZone { .. })
    }
}

/// Carries out what an operator asks for; what is to be printed.
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
            // Writing to a text never fails.
            let _ = writeln!(text, "{zone}\t{hold}\t{views}");
        }
        Ok(text)
    }

    async fn hold(&self, zone: &str, now: Micros) -> Result<String, ZoneAdminError> {
        self.check(zone)?;
        let key = Key::ZoneCordon(zone.to_string()).to_string();
        let record = to_value(&ZoneCordonRecord { at: now });
        let write = Write::Put { key: key.clone(), value: record, lease: None };
        let txn = Txn { preconditions: vec![Precondition { key, version: 0 }], writes: vec![write] };
        let done = if self.commit(&txn).await? { "is on hold" } else { "was on hold already" };
        Ok(format!("{zone} {done}\n"))
    }

    async fn release(&self, zone: &str) -> Result<String, ZoneAdminError> {
        self.check(zone)?;
        let key = Key::ZoneCordon(zone.to_string()).to_string();
        let txn = Txn { preconditions: Vec::new(), writes: vec![Write::Delete { key }] };
        self.commit(&txn).await?;
        Ok(format!("{zone} is released\n"))
    }

    fn check(&self, zone: &str) -> Result<(), ZoneAdminError> {
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
            let answer = self.call(Method::GET, &path, Vec::new()).await?;
            let page: Page = decode(&answer.body).map_err(|e| self.problem(format!("gave no page: {e}")))?;
            for item in &page.items {
                records.apply(&item.key, Some(&item.value), item.version);
            }
            after = page.items.last().map(|item| item.key.clone());
            if !page.more || after.is_none() {
                return Ok(records);
            }
        }
    }

    /// Whether the transaction was carried out; not if a condition failed.
    async fn commit(&self, txn: &Txn) -> Result<bool, ZoneAdminError> {
        let answer = self.call(Method::POST, TXN_PATH, encode(txn)).await?;
        decode::<Committed>(&answer.body).map_err(|e| self.problem(format!("gave no answer: {e}")))?;
        Ok(answer.status == 200)
    }

    async fn call(&self, method: Method, path: &str, body: Vec<u8>) -> Result<Answer, ZoneAdminError> {
        let store = self.platform.external.store;
        match self.client.call(store, method, path, body, CALL_LIMIT).await {
            Ok(answer) if matches!(answer.status, 200 | 409) => Ok(answer),
            Ok(answer) => Err(self.problem(format!("answered {}", answer.status))),
            Err(_) => Err(self.problem("did not answer".to_string())),
        }
    }

    fn problem(&self, problem: String) -> ZoneAdminError {
        ZoneAdminError::Store { address: self.platform.external.store, problem }
    }
}

fn describe_view(shard: u32, view: Option<&ZoneRecord>) -> String {
    let Some(view) = view else { return format!("share {shard}: unreadable") };
    let silent = if view.is_unresponsive { ", silent" } else { "" };
    let condition = format!("{:?}", view.condition).to_lowercase();
    format!("share {shard}: {condition}{silent}, penalty {}", view.penalty)
}
