//! HTTP client with kept-alive connections.

use crate::coordination::Failure;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

type Sender = SendRequest<Full<Bytes>>;

/// Idle connections kept for each address.
const IDLE_EACH: usize = 8;
/// Idle connections kept in all, unless the deployment's limit of sockets says otherwise.
const IDLE_MOST: usize = 256;
/// A connection not used for so long is closed.
const IDLE_SPAN: Duration = Duration::from_secs(20);
const CONNECT_LIMIT: Duration = Duration::from_millis(1000);
/// Larger than any answer a well-behaved service gives.
const ANSWER_LIMIT: usize = 64 * 1024 * 1024;

/// An HTTP client that keeps connections.
#[derive(Clone)]
pub struct Client {
    idle: Arc<Mutex<Idle>>,
}

impl Default for Client {
    fn default() -> Client {
        Client::keeping(IDLE_MOST)
    }
}

/// Connections kept for the next call, with when each was last used.
struct Idle {
    kept: HashMap<SocketAddr, Vec<(Sender, Instant)>>,
    count: usize,
    most: usize,
    /// Those kept, the least recently used first, among some that were taken or closed since.
    order: VecDeque<(SocketAddr, Instant)>,
}

impl Idle {
    fn take(&mut self, addr: SocketAddr) -> Option<Sender> {
        let list = self.kept.get_mut(&addr)?;
        while let Some((sender, _)) = list.pop() {
            self.count -= 1;
            if !sender.is_closed() && sender.is_ready() {
                return Some(sender);
            }
        }
        self.kept.remove(&addr);
        None
    }

    fn keep(&mut self, addr: SocketAddr, sender: Sender, now: Instant) {
        let list = self.kept.entry(addr).or_default();
        if list.len() >= IDLE_EACH {
            return;
        }
        list.push((sender, now));
        self.count += 1;
        self.order.push_back((addr, now));
        self.make_way(now);
    }

    /// Closes what nobody has used for long, and the least recently used while there are too many:
    /// there may be many more machines than sockets.
    fn make_way(&mut self, now: Instant) {
        while let Some((addr, used)) = self.order.front().copied() {
            let old = now.duration_since(used) >= IDLE_SPAN;
            if !old && self.count <= self.most && self.order.len() <= self.most * 4 {
                break;
            }
            self.order.pop_front();
            if let Some(list) = self.kept.get_mut(&addr) {
                let before = list.len();
                list.retain(|(_, at)| *at != used);
                self.count -= before - list.len();
                if list.is_empty() {
                    self.kept.remove(&addr);
                }
            }
        }
    }
}

/// An answer as it came.
#[derive(Debug)]
pub struct Answer {
    /// Its status.
    pub status: u16,
    /// When to come back, if that was said.
    pub retry_after_s: Option<u32>,
    /// Its body.
    pub body: Bytes,
}

impl Client {
    /// A client that keeps at most so many idle connections.
    pub fn keeping(most: usize) -> Client {
        let idle = Idle { kept: HashMap::new(), count: 0, most, order: VecDeque::new() };
        Client { idle: Arc::new(Mutex::new(idle)) }
    }

    /// Connections kept open for later calls.
    pub fn idle(&self) -> usize {
        self.locked().count
    }

    fn locked(&self) -> MutexGuard<'_, Idle> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn connect(addr: SocketAddr) -> Result<Sender, Failure> {
        let stream = timeout(CONNECT_LIMIT, TcpStream::connect(addr))
            .await
            .map_err(|_| Failure::NotDone)?
            .map_err(|_| Failure::NotDone)?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = handshake(TokioIo::new(stream)).await.map_err(|_| Failure::NotDone)?;
        tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(sender)
    }

    /// One request and its answer. `Failure::NotDone` only if it surely never left.
    pub async fn call(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        body: Vec<u8>,
        limit: Duration,
    ) -> Result<Answer, Failure> {
        let body = Bytes::from(body);
        match timeout(limit, self.attempt(addr, method, path, body)).await {
            Ok(answer) => answer,
            Err(_) => Err(Failure::Unknown),
        }
    }

    async fn attempt(&self, addr: SocketAddr, method: Method, path: &str, body: Bytes) -> Result<Answer, Failure> {
        let build = || {
            Request::builder()
                .method(method.clone())
                .uri(path)
                .header(HOST, addr.to_string())
                .header(CONTENT_TYPE, "application/cbor")
                .body(Full::new(body.clone()))
                .map_err(|_| Failure::NotDone)
        };
        let kept = self.locked().take(addr);
        let mut sender = match kept {
            Some(sender) => sender,
            None => Client::connect(addr).await?,
        };
        let response = match sender.send_request(build()?).await {
            Ok(response) => response,
            // The idle connection had been closed; the request was never written.
            Err(e) if e.is_canceled() => {
                sender = Client::connect(addr).await?;
                sender.send_request(build()?).await.map_err(|_| Failure::Unknown)?
            }
            Err(_) => return Err(Failure::Unknown),
        };
        let status = response.status().as_u16();
        let retry_after_s =
            response.headers().get("retry-after").and_then(|v| v.to_str().ok()).and_then(|v| v.parse().ok());
        let body = Limited::new(response.into_body(), ANSWER_LIMIT);
        let body = body.collect().await.map_err(|_| Failure::Unknown)?.to_bytes();
        self.locked().keep(addr, sender, Instant::now());
        Ok(Answer { status, retry_after_s, body })
    }
}
