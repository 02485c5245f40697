//! Whether this controller is ready, and whether it or its siblings reach the store.

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

/// What this controller can do, as the load balancer, the siblings and the server's routes need to know. Written by
/// the main loop and by [`monitor_store_reachability`].
#[derive(Default)]
pub(in crate::transport) struct NodeHealth {
    /// The stored records have been read.
    is_ready: AtomicBool,
    /// The store answers this controller.
    reaches_store: AtomicBool,
    /// Only this controller does not reach the store, so users had better go elsewhere.
    is_isolated: AtomicBool,
    /// Siblings that reach the store while this controller does not.
    siblings_with_store: Mutex<Vec<SocketAddr>>,
}

impl NodeHealth {
    /// Records what the controller says of itself.
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

    /// Siblings that reach the store while this controller does not.
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

/// What one round of checks found.
#[derive(Default)]
struct StoreReachability {
    is_isolated: bool,
    siblings_with_store: Vec<SocketAddr>,
}

/// While this controller does not reach the store, finds out from the siblings whether that is an outage, in which
/// all are as well off as any, or whether only this controller is cut off.
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
            // No answer: cut off from all siblings too, this controller knows nothing of any outage.
            Ok(None) | Err(_) => {}
        }
    }
    StoreReachability { is_isolated: !is_outage || !siblings_with_store.is_empty(), siblings_with_store }
}

/// Whether a sibling reaches the store; nothing if it does not answer.
async fn reaches_store(client: Client, sibling: SocketAddr) -> Option<bool> {
    let response = client.call(sibling, Method::GET, STORE_REACHABILITY_PATH, Vec::new(), CHECK_TIMEOUT).await.ok()?;
    bitcode::decode(&response.body).ok()
}
