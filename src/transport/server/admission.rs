//! Admission control: how many connections a listener holds, and what is given up as they fill.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// How long a connection may stay open without a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(75);
/// The same while connections are short.
const HEADER_TIMEOUT_WHEN_CROWDED: Duration = Duration::from_secs(2);

/// Open connections of one listener, and how many there may be.
pub(super) struct ConnectionLimit {
    open_count: AtomicUsize,
    max_connections: usize,
}

/// Counts one connection until it is dropped.
pub(super) struct ConnectionPermit(Arc<ConnectionLimit>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.open_count.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ConnectionLimit {
    /// A limit of so many connections.
    pub(super) fn new(max_connections: usize) -> Arc<ConnectionLimit> {
        Arc::new(ConnectionLimit { open_count: AtomicUsize::new(0), max_connections })
    }

    /// A permit for one more connection, unless there are too many.
    pub(super) fn try_acquire(self: &Arc<ConnectionLimit>) -> Option<ConnectionPermit> {
        let open_count = self.open_count.fetch_add(1, Ordering::Relaxed) + 1;
        let permit = ConnectionPermit(self.clone());
        (open_count <= self.max_connections).then_some(permit)
    }

    /// Above half of the limit, agents are asked to connect anew for their next heartbeat, which is seconds away.
    pub(super) fn closes_agents_connections(&self) -> bool {
        self.open_count() * 2 > self.max_connections
    }

    /// Above three quarters of the limit, users are asked to connect anew, too.
    pub(super) fn closes_users_connections(&self) -> bool {
        self.open_count() * 4 > self.max_connections * 3
    }

    /// The last eighth is for agents and the health check: users are told at once to come back.
    pub(super) fn refuses_users(&self) -> bool {
        self.open_count() * 8 > self.max_connections * 7
    }

    /// How long a new connection may stay open without a request.
    pub(super) fn header_timeout(&self) -> Duration {
        if self.closes_users_connections() { HEADER_TIMEOUT_WHEN_CROWDED } else { HEADER_TIMEOUT }
    }

    fn open_count(&self) -> usize {
        self.open_count.load(Ordering::Relaxed)
    }
}
