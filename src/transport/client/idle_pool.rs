//! A pool of idle connections for later calls, with limits per address and in total.

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// The sending half of a connection.
pub(super) type RequestSender = SendRequest<Full<Bytes>>;

/// Maximum number of idle connections per address.
const MAX_IDLE_PER_ADDRESS: usize = 8;
/// Time without use after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum length of the eviction queue, as a multiple of the pool's maximum size: the queue may contain entries of
/// connections that have left the pool.
const MAX_QUEUE_FACTOR: usize = 4;

struct IdleConnection {
    sender: RequestSender,
    last_used_at: Instant,
}

/// Idle connections by address.
pub(super) struct IdlePool {
    connections: HashMap<SocketAddr, Vec<IdleConnection>>,
    connection_count: usize,
    max_connections: usize,
    /// Connections in the order of their last use, least recent first. Entries of connections that were taken or closed
    /// meanwhile remain until they reach the front.
    eviction_queue: VecDeque<(SocketAddr, Instant)>,
}

impl IdlePool {
    /// Creates an empty pool of at most `max_connections`.
    pub(super) fn new(max_connections: usize) -> IdlePool {
        let (connections, eviction_queue) = (HashMap::new(), VecDeque::new());
        IdlePool { connections, connection_count: 0, max_connections, eviction_queue }
    }

    /// Returns the number of connections in the pool.
    pub(super) fn connection_count(&self) -> usize {
        self.connection_count
    }

    /// Takes the most recently used open connection to an address.
    pub(super) fn take(&mut self, address: SocketAddr) -> Option<RequestSender> {
        let connections = self.connections.get_mut(&address)?;
        while let Some(IdleConnection { sender, .. }) = connections.pop() {
            self.connection_count -= 1;
            if !sender.is_closed() && sender.is_ready() {
                return Some(sender);
            }
        }
        self.connections.remove(&address);
        None
    }

    /// Keeps a connection for a later call, unless the pool already has the maximum number for its address.
    pub(super) fn put_back(&mut self, address: SocketAddr, sender: RequestSender, now: Instant) {
        let connections = self.connections.entry(address).or_default();
        if connections.len() >= MAX_IDLE_PER_ADDRESS {
            return;
        }
        connections.push(IdleConnection { sender, last_used_at: now });
        self.connection_count += 1;
        self.eviction_queue.push_back((address, now));
        self.evict(now);
    }

    /// Closes connections that were idle for too long, and the least recently used ones while there are too many,
    /// because there may be many more machines than sockets.
    fn evict(&mut self, now: Instant) {
        while let Some((address, last_used_at)) = self.eviction_queue.front().copied() {
            let is_expired = now.duration_since(last_used_at) >= IDLE_TIMEOUT;
            if !is_expired && !self.is_over_bounds() {
                break;
            }
            self.eviction_queue.pop_front();
            self.close(address, last_used_at);
        }
    }

    fn is_over_bounds(&self) -> bool {
        self.connection_count > self.max_connections
            || self.eviction_queue.len() > self.max_connections * MAX_QUEUE_FACTOR
    }

    /// Closes the connection that was last used at the given time, if it is still in the pool.
    fn close(&mut self, address: SocketAddr, last_used_at: Instant) {
        let Some(connections) = self.connections.get_mut(&address) else { return };
        let count_before = connections.len();
        connections.retain(|connection| connection.last_used_at != last_used_at);
        self.connection_count -= count_before - connections.len();
        if connections.is_empty() {
            self.connections.remove(&address);
        }
    }
}
