//! Admission control: the limit of a listener's connections, and the measures taken as it is approached.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Maximum time that a connection stays open without a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(75);
/// Maximum time that a connection stays open without a request while few further connections are available.
const HEADER_TIMEOUT_UNDER_LOAD: Duration = Duration::from_secs(2);

/// Number of open connections of one listener, and its limit.
pub(super) struct ConnectionLimit {
    open_count: AtomicUsize,
    max_connections: usize,
}

/// A permit for one connection, which counts as open until the permit is dropped.
pub(super) struct ConnectionPermit(Arc<ConnectionLimit>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.open_count.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ConnectionLimit {
    /// Creates a limit of `max_connections`.
    pub(super) fn new(max_connections: usize) -> Arc<ConnectionLimit> {
        Arc::new(ConnectionLimit { open_count: AtomicUsize::new(0), max_connections })
    }

    /// Returns a permit for one more connection, or `None` if the limit is reached.
    pub(super) fn try_acquire(self: &Arc<ConnectionLimit>) -> Option<ConnectionPermit> {
        let open_count = self.open_count.fetch_add(1, Ordering::Relaxed) + 1;
        let permit = ConnectionPermit(self.clone());
        (open_count <= self.max_connections).then_some(permit)
    }

    /// Whether agents' connections are closed after each response. This is so above half of the limit: an agent's next
    /// heartbeat is seconds away, so it can reconnect for it.
    pub(super) fn closes_agents_connections(&self) -> bool {
        self.open_count() * 2 > self.max_connections
    }

    /// Whether users' connections are closed after each response, too. This is so above three quarters of the limit.
    pub(super) fn closes_users_connections(&self) -> bool {
        self.open_count() * 4 > self.max_connections * 3
    }

    /// Whether users' requests are refused at once, with a request to retry. This is so in the last eighth of the
    /// limit, which is reserved for agents and the health check.
    pub(super) fn refuses_users(&self) -> bool {
        self.open_count() * 8 > self.max_connections * 7
    }

    /// Returns the time that a new connection may stay open without a request.
    pub(super) fn header_timeout(&self) -> Duration {
        if self.closes_users_connections() { HEADER_TIMEOUT_UNDER_LOAD } else { HEADER_TIMEOUT }
    }

    fn open_count(&self) -> usize {
        self.open_count.load(Ordering::Relaxed)
    }
}
