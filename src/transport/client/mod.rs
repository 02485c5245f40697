//! An HTTP/1 client that keeps idle connections for later calls.
//!
//! Owns: the pool of idle connections. Guarantees: if [`CallError::was_sent`] is false for a [`CallError`], the request
//! has certainly not left this process, so it can't be executed late.

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

/// Maximum number of idle connections of a client that is created without an explicit limit.
const DEFAULT_MAX_IDLE_CONNECTIONS: usize = 256;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Maximum size of a response's body, larger than any response of a well-behaved service.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Error of a call without a complete response.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The connection was not established in time.
    #[error("connecting timed out")]
    ConnectTimeout,
    /// The connection could not be established.
    #[error("could not connect: {0}")]
    Connect(#[source] io::Error),
    /// The connection failed before a request was sent.
    #[error("HTTP handshake failed: {0}")]
    Handshake(#[source] hyper::Error),
    /// The request is not valid in HTTP.
    #[error("invalid request: {0}")]
    InvalidRequest(#[source] hyper::http::Error),
    /// The request was or may have been sent, and no response was received.
    #[error("no response: {0}")]
    NoResponse(#[source] hyper::Error),
    /// The body of the response was incomplete or too large.
    #[error("unreadable response body: {0}")]
    ResponseBody(#[source] Box<dyn Error + Send + Sync>),
    /// The time for the whole call has passed; the request may have been sent.
    #[error("the call timed out")]
    Timeout,
}

impl CallError {
    /// Whether the request may have left this process, so that it may have been executed or may be executed later.
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
    /// Decodes the body, which must consist of one CBOR item.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, WireError> {
        decode(&self.body)
    }

    /// Whether the body, such as an error message, contains a text.
    pub fn body_contains(&self, text: &str) -> bool {
        self.body.windows(text.len()).any(|window| window == text.as_bytes())
    }
}

/// An HTTP client that keeps idle connections, which its clones share.
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
    /// Creates a client that keeps at most `max_connections` idle connections.
    pub fn with_max_idle_connections(max_connections: usize) -> Client {
        Client { idle: Arc::new(Mutex::new(IdlePool::new(max_connections))) }
    }

    /// Returns the number of idle connections that are kept for later calls.
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
            // The idle connection had been closed, so the request was not written.
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

/// The parts of a request, from which it can be built again after a failed connection has consumed it.
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
    // An error is ignored because the option only reduces latency.
    let _ = stream.set_nodelay(true);
    let (sender, connection) = handshake(TokioIo::new(stream)).await.map_err(CallError::Handshake)?;
    tokio::spawn(async move {
        // Errors of the connection are also returned to the sender of a request.
        let _ = connection.await;
    });
    Ok(sender)
}

fn retry_after_s(headers: &HeaderMap) -> Option<u32> {
    headers.get(RETRY_AFTER)?.to_str().ok()?.parse().ok()
}
