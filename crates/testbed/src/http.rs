//! A small HTTP server for stand-ins, with one handler for all requests and response bodies in the protocol's encoding.

use crate::listener::{Server, listen};
use burlhatch::protocol::encode;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;

/// A request as passed to a handler.
pub struct ReceivedRequest {
    /// HTTP method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query parameters, not percent-decoded.
    pub query: BTreeMap<String, String>,
    /// Encoded body.
    pub body: Bytes,
}

impl ReceivedRequest {
    /// Returns a numeric query parameter, or 0 if it is missing or not a number.
    pub fn number(&self, name: &str) -> u64 {
        self.query.get(name).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Status code and body of a response. With `None` the connection is closed without a response, as if the server had
/// vanished.
pub type Reply = Option<(u16, Value)>;

/// Serves requests on a free port.
pub(crate) async fn serve<H, F>(handler: H) -> io::Result<Server>
where
    H: Fn(ReceivedRequest) -> F + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let handler = Arc::new(handler);
    listen(move |stream| {
        let handler = handler.clone();
        let service = service_fn(move |request| answer(handler.clone(), request));
        async move {
            // Fails if the client closes the connection early or the handler gives no reply; neither is an error here.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        }
    })
    .await
}

/// Makes the server close the connection without a response.
#[derive(Debug, thiserror::Error)]
#[error("no reply")]
struct NoReply;

async fn answer<H, F>(handler: Arc<H>, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, NoReply>
where
    H: Fn(ReceivedRequest) -> F,
    F: Future<Output = Reply>,
{
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| NoReply)?.to_bytes();
    let pairs = parts.uri.query().unwrap_or("").split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(name, value)| (name.to_string(), value.to_string())).collect();
    let call = ReceivedRequest { method: parts.method, path: parts.uri.path().to_string(), query, body };
    let (status, body) = handler(call).await.ok_or(NoReply)?;
    let body = Full::new(Bytes::from(encode(&body)));
    Response::builder().status(status).body(body).map_err(|_| NoReply)
}
