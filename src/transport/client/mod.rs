//! An HTTP/1 client that keeps idle connections for later calls.
//!
//! Owns: the pool of idle connections. Promises: a [`CallError`] for which [`CallError::was_sent`] is false means that
//! the request surely never left this process, so that it can't be carried out late.

mod idle_pool;

use crate::protocol::{CONTENT_TYPE_CBOR, WireError, decode};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::handshake;
use hyper::header::{CONTENT_TYPE, HOST, HeaderMap, RETRY_AFTER};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use idle_pool::{IdlePool, RequestSender};
use serde::de::DeserializeOwned;
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// Idle connections kept in all, unless the deployment's limit of sockets says otherwise.
const DEFAULT_MAX_IDLE_CONNECTIONS: usize = 256;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Larger than any response a well-behaved service gives.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Why a call got no response.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No connection in time.
    #[error("connecting timed out")]
    ConnectTimeout,
    /// No connection.
    #[error("could not connect: {0}")]
    Connect(#[source] io::Error),
    /// The connection failed before a request was sent.
    #[error("HTTP handshake failed: {0}")]
    Handshake(#[source] hyper::Error),
    /// The request can't be expressed in HTTP.
    #[error("invalid request: {0}")]
    InvalidRequest(#[source] hyper::http::Error),
    /// The request was sent, or may have been; no response came.
    #[error("no response: {0}")]
    NoResponse(#[source] hyper::Error),
    /// The body of the response broke off or was too large.
    #[error("unreadable response body: {0}")]
    ResponseBody(#[source] Box<dyn Error + Send + Sync>),
    /// The request may have been sent; the time for the whole call is over.
    #[error("the call timed out")]
    Timeout,
}

impl CallError {
    /// Whether the request may have left this process, and so may have been carried out, or may be later.
    pub fn was_sent(&self) -> bool {
        match self {
            CallError::ConnectTimeout
            | CallError::Connect(_)
            | CallError::Handshake(_)
            | CallError::InvalidRequest(_) => false,
            CallError::NoResponse(_) | CallError::ResponseBody(_) | CallError::Timeout => true,
        }
    }
}

/// A response with its body read in full.
#[derive(Debug)]
pub struct HttpResponse {
    /// Status code.
    pub status: StatusCode,
    /// Value of the `Retry-After` header, if there is one.
    pub retry_after_s: Option<u32>,
    /// Body.
    pub body: Bytes,
}

impl HttpResponse {
    /// Decodes the body, one CBOR item.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, WireError> {
        decode(&self.body)
    }

    /// Whether a text occurs in the body, as in an error message.
    pub fn body_contains(&self, text: &str) -> bool {
        self.body.windows(text.len()).any(|window| window == text.as_bytes())
    }
}

/// An HTTP client that keeps idle connections. Clones share them.
#[derive(Clone)]
pub struct Client {
    idle: Arc<Mutex<IdlePool>>,
}

impl Default for Client {
    fn default() -> Client {
        Client::with_max_idle_connections(DEFAULT_MAX_IDLE_CONNECTIONS)
    }
}

impl Client {
    /// A client that keeps at most so many idle connections.
    pub fn with_max_idle_connections(max_connections: usize) -> Client {
        Client { idle: Arc::new(Mutex::new(IdlePool::new(max_connections))) }
    }

    /// Idle connections that are kept for later calls.
    pub fn idle_connection_count(&self) -> usize {
        self.idle_pool().connection_count()
    }

    fn idle_pool(&self) -> MutexGuard<'_, IdlePool> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends one request and waits for its response, at most `max_duration` in all.
    pub async fn call(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Vec<u8>,
        max_duration: Duration,
    ) -> Result<HttpResponse, CallError> {
        let template = RequestTemplate { address, method, path, body: Bytes::from(body) };
        timeout(max_duration, self.exchange(&template)).await.unwrap_or(Err(CallError::Timeout))
    }

    async fn exchange(&self, template: &RequestTemplate<'_>) -> Result<HttpResponse, CallError> {
        let address = template.address;
        let pooled = self.idle_pool().take(address);
        let mut sender = match pooled {
            Some(sender) => sender,
            None => connect(address).await?,
        };
        let response = match sender.send_request(template.build()?).await {
            Ok(response) => response,
            // The idle connection had been closed; the request was never written.
            Err(error) if error.is_canceled() => {
                sender = connect(address).await?;
                sender.send_request(template.build()?).await.map_err(CallError::NoResponse)?
            }
            Err(error) => return Err(CallError::NoResponse(error)),
        };
        let status = response.status();
        let retry_after_s = retry_after_s(response.headers());
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
        let body = body.collect().await.map_err(CallError::ResponseBody)?.to_bytes();
        self.idle_pool().put_back(address, sender, Instant::now());
        Ok(HttpResponse { status, retry_after_s, body })
    }
}

/// A request that can be built anew, as a connection that fails consumes it.
struct RequestTemplate<'a> {
    address: SocketAddr,
    method: Method,
    path: &'a str,
    body: Bytes,
}

impl RequestTemplate<'_> {
    fn build(&self) -> Result<Request<Full<Bytes>>, CallError> {
        Request::builder()
            .method(self.method.clone())
            .uri(self.path)
            .header(HOST, self.address.to_string())
            .header(CONTENT_TYPE, CONTENT_TYPE_CBOR)
            .body(Full::new(self.body.clone()))
            .map_err(CallError::InvalidRequest)
    }
}

async fn connect(address: SocketAddr) -> Result<RequestSender, CallError> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| CallError::ConnectTimeout)?
        .map_err(CallError::Connect)?;
    // Only a matter of latency: the connection works without it.
    let _ = stream.set_nodelay(true);
    let (sender, connection) = handshake(TokioIo::new(stream)).await.map_err(CallError::Handshake)?;
    tokio::spawn(async move {
        // Its errors reach whoever sends a request over it.
        let _ = connection.await;
    });
    Ok(sender)
}

fn retry_after_s(headers: &HeaderMap) -> Option<u32> {
    headers.get(RETRY_AFTER)?.to_str().ok()?.parse().ok()
}
