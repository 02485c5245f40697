//! Messages between controllers, encoded with bitcode.
//!
//! The encoding does not describe itself, so fields keep their order and types. A message whose form changes gets a
//! path of its own; a sibling that does not know a path answers 404.

use bitcode::{Decode, Encode};

/// Path of requests that are relayed.
pub const RELAY_PATH: &str = "/relay";
/// Path of cancellation notices.
pub const CANCELLED_PATH: &str = "/cancelled";
/// Path at which a controller says whether it reaches the store; the answer is a `bool`.
pub const STORE_REACHABILITY_PATH: &str = "/standing";

/// A request that reached a controller which can't serve it, passed on unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RelayedRequest {
    /// Path of the request.
    pub path: String,
    /// Whether it is a POST; a GET otherwise.
    pub is_post: bool,
    /// Body of the request.
    pub body: Vec<u8>,
}

/// The response to a relayed request.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RelayedResponse {
    /// Status code.
    pub status: u16,
    /// Value of the `Retry-After` header, if there is one.
    pub retry_after_s: Option<u32>,
    /// Body of the response.
    pub body: Vec<u8>,
}

/// Notifies the holder of a shard that jobs of the shard are durably cancelled.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct CancellationNotice {
    /// Shard that the jobs belong to.
    pub shard: u32,
    /// Fencing token under which the sender saw the shard held.
    pub fencing_token: u64,
    /// The cancelled jobs.
    pub jobs: Vec<CancelledJob>,
}

/// One cancelled job.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct CancelledJob {
    /// Id of the job.
    pub id: String,
    /// Time of day of the cancellation, in microseconds.
    pub cancelled_at: u64,
    /// Revision of the store that holds the cancellation.
    pub revision: u64,
}

/// The response to a cancellation notice.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct CancellationAck {
    /// Whether the receiver holds the shard under that fencing token or a later one, and so makes sure that all tasks
    /// of the jobs end.
    pub holds_shard: bool,
}
