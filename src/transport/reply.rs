//! A reply to a request, which is converted to an HTTP response or relayed to a sibling.

use crate::protocol::peer::RelayedResponse;
use crate::protocol::user::ErrorBody;
use crate::protocol::{CONTENT_TYPE_CBOR, encode};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// Text of all replies that ask the client to retry later.
const UNAVAILABLE: &str = "not now";

/// Status, body, and the only header that differs between replies.
pub(super) struct Reply {
    pub(super) status: StatusCode,
    pub(super) retry_after_s: Option<u32>,
    pub(super) body: Vec<u8>,
}

impl Reply {
    /// Creates a reply with an encoded body.
    pub(super) fn new(status: StatusCode, body: Vec<u8>) -> Reply {
        Reply { status, retry_after_s: None, body }
    }

    /// Creates a refusal with its reason.
    pub(super) fn error(status: StatusCode, error: &str) -> Reply {
        Reply::new(status, encode(&ErrorBody { error }))
    }

    /// Creates a refusal of a body that can't be decoded.
    pub(super) fn malformed() -> Reply {
        Reply::error(StatusCode::BAD_REQUEST, "malformed")
    }

    /// Creates a refusal of a method that the path doesn't support.
    pub(super) fn method_not_allowed() -> Reply {
        Reply::error(StatusCode::METHOD_NOT_ALLOWED, "method not allowed")
    }

    /// Creates a refusal of a path that does not exist.
    pub(super) fn no_such_path() -> Reply {
        Reply::error(StatusCode::NOT_FOUND, "no such path")
    }

    /// Creates a refusal that states the time after which the client should retry.
    pub(super) fn unavailable(retry_after_s: u32) -> Reply {
        Reply { retry_after_s: Some(retry_after_s), ..Reply::error(StatusCode::SERVICE_UNAVAILABLE, UNAVAILABLE) }
    }
}

impl From<Reply> for Response<Full<Bytes>> {
    fn from(reply: Reply) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::new(Bytes::from(reply.body)));
        *response.status_mut() = reply.status;
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(CONTENT_TYPE_CBOR));
        if let Some(seconds) = reply.retry_after_s {
            response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}

impl From<Reply> for RelayedResponse {
    fn from(reply: Reply) -> RelayedResponse {
        RelayedResponse { status: reply.status.as_u16(), retry_after_s: reply.retry_after_s, body: reply.body }
    }
}

impl From<RelayedResponse> for Reply {
    fn from(relayed: RelayedResponse) -> Reply {
        let status = StatusCode::from_u16(relayed.status).unwrap_or(StatusCode::BAD_GATEWAY);
        Reply { status, retry_after_s: relayed.retry_after_s, body: relayed.body }
    }
}
