//! A small HTTP server for stand-ins: one handler for all requests, bodies in the protocol's encoding.

use burlhatch::protocol::encode;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use tokio::net::TcpListener;
use tokio::task::JoinSet;

/// Ports that no outgoing connection gets from the system: a port that was free a moment ago could be taken as the near
/// end of some connection before a process listens there.
const PORTS_FROM: u32 = 20_000;
const PORTS: u32 = 10_000;
/// Processes begin their search this far from each other.
const PORTS_APART: u32 = 97;

/// An address on loopback at which nobody listens, another one each time.
pub fn free_address() -> io::Result<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let first = std::process::id().wrapping_mul(PORTS_APART);
    for _ in 0..PORTS {
        let offset = first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % PORTS;
        let address = SocketAddr::from(([127, 0, 0, 1], (PORTS_FROM + offset) as u16));
        if std::net::TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::Error::from(io::ErrorKind::AddrInUse))
}

/// A request as a handler sees it.
pub struct Call {
    /// Its method.
    pub method: Method,
    /// Its path, without the query.
    pub path: String,
    /// Its query.
    pub query: BTreeMap<String, String>,
    /// Its body.
    pub body: Bytes,
}

impl Call {
    /// A number of the query, 0 if it is not there.
    pub fn number(&self, name: &str) -> u64 {
        self.query.get(name).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// An answer: status and body. None: the connection is dropped without one, as by a machine that is gone.
pub type Reply = Option<(u16, Value)>;

/// Serves requests at a free port until the returned set is dropped; says where.
pub async fn serve<H, F>(handler: H) -> io::Result<(SocketAddr, JoinSet<()>)>
where
    H: Fn(Call) -> F + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let handler = Arc::new(handler);
    let mut tasks = JoinSet::new();
    tasks.spawn(async move {
        // Connections end with the server.
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else { continue };
                    let handler = handler.clone();
                    let service = service_fn(move |request| answer(handler.clone(), request));
                    let connection = hyper::server::conn::http1::Builder::new();
                    connections.spawn(async move {
                        let _ = connection.serve_connection(TokioIo::new(stream), service).await;
                    });
                }
                Some(_) = connections.join_next(), if !connections.is_empty() => {}
            }
        }
    });
    Ok((address, tasks))
}

/// The caller is gone without an answer.
#[derive(Debug, thiserror::Error)]
#[error("no answer")]
struct NoAnswer;

async fn answer<H, F>(handler: Arc<H>, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, NoAnswer>
where
    H: Fn(Call) -> F,
    F: Future<Output = Reply>,
{
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| NoAnswer)?.to_bytes();
    let pairs = parts.uri.query().unwrap_or("").split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(name, value)| (name.to_string(), value.to_string())).collect();
    let call = Call { method: parts.method, path: parts.uri.path().to_string(), query, body };
    let (status, body) = handler(call).await.ok_or(NoAnswer)?;
    let body = Full::new(Bytes::from(encode(&body)));
    Response::builder().status(status).body(body).map_err(|_| NoAnswer)
}
