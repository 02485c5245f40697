//! Readiness of this controller, and reachability of the store from it and its siblings.

use super::Siblings;
use crate::protocol::peer::STORE_REACHABILITY_PATH;
use crate::transport::client::Client;
use hyper::Method;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

const CHECK_INTERVAL: Duration = Duration::from_millis(500);
const CHECK_TIMEOUT: Duration = Duration::from_millis(700);

/// Health of this controller, which the load balancer, the siblings and the server's routes query. Written by the main
/// loop and by [`monitor_store_reachability`].
#[derive(Default)]
pub(in crate::transport) struct NodeHealth {
    /// Whether the stored records have been read.
    is_ready: AtomicBool,
    /// Whether the store answers this controller.
    reaches_store: AtomicBool,
    /// Whether this controller alone does not reach the store, so that users are better served by its siblings.
    is_isolated: AtomicBool,
    /// Siblings that reach the store while this controller does not.
    siblings_with_store: Mutex<Vec<SocketAddr>>,
}

impl NodeHealth {
    /// Records the state that the controller reports.
    pub(in crate::transport) fn update(&self, is_ready: bool, reaches_store: bool) {
        self.is_ready.store(is_ready, Ordering::Relaxed);
        self.reaches_store.store(reaches_store, Ordering::Relaxed);
    }

    /// Whether the load balancer should send requests here.
    pub(in crate::transport) fn is_healthy(&self) -> bool {
        self.is_ready.load(Ordering::Relaxed) && !self.is_isolated.load(Ordering::Relaxed)
    }

    /// Whether the store answers this controller.
    pub(in crate::transport) fn reaches_store(&self) -> bool {
        self.reaches_store.load(Ordering::Relaxed)
    }

    /// Returns the siblings that reach the store while this controller does not.
    pub(in crate::transport) fn siblings_with_store(&self) -> Vec<SocketAddr> {
        self.siblings_with_store.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn record(&self, reachability: StoreReachability) {
        let is_isolated = reachability.is_isolated;
        if self.is_isolated.swap(is_isolated, Ordering::Relaxed) != is_isolated {
            tracing::info!(is_isolated, "isolation from the store changed");
        }
        *self.siblings_with_store.lock().unwrap_or_else(PoisonError::into_inner) = reachability.siblings_with_store;
    }
}

/// Result of one round of checks.
#[derive(Default)]
struct StoreReachability {
    is_isolated: bool,
    siblings_with_store: Vec<SocketAddr>,
}

/// While this controller does not reach the store, asks the siblings whether they do: either the store has an outage,
/// so that all controllers serve users equally well, or only this controller is isolated from it.
pub(in crate::transport) async fn monitor_store_reachability(health: Arc<NodeHealth>, siblings: Arc<Siblings>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let is_check_needed = !health.reaches_store() && !siblings.peers.is_empty();
        let reachability = if is_check_needed { check_siblings(&siblings).await } else { StoreReachability::default() };
        health.record(reachability);
    }
}

async fn check_siblings(siblings: &Siblings) -> StoreReachability {
    let start_check = |address| (address, tokio::spawn(reaches_store(siblings.client.clone(), address)));
    let checks: Vec<_> = siblings.peers.iter().map(|sibling| start_check(sibling.address)).collect();
    let mut siblings_with_store = Vec::new();
    let mut is_outage = false;
    for (address, check) in checks {
        match check.await {
            Ok(Some(true)) => siblings_with_store.push(address),
            Ok(Some(false)) => is_outage = true,
            // A sibling that does not answer gives no evidence of an outage. If none answers, this controller counts as
            // isolated.
            Ok(None) | Err(_) => {}
        }
    }
    StoreReachability { is_isolated: !is_outage || !siblings_with_store.is_empty(), siblings_with_store }
}

/// Asks a sibling whether it reaches the store. Returns `None` if it does not answer.
async fn reaches_store(client: Client, sibling: SocketAddr) -> Option<bool> {
    let response = client.call(sibling, Method::GET, STORE_REACHABILITY_PATH, Vec::new(), CHECK_TIMEOUT).await.ok()?;
    bitcode::decode(&response.body).ok()
}
