//! Messages between controllers, encoded with bitcode.
//!
//! The encoding is not self-describing, so fields must keep their order and types. A message whose format changes gets
//! a new path; a sibling that does not know a path answers with status 404.

use bitcode::{Decode, Encode};

/// Path of relayed requests.
pub const RELAY_PATH: &str = "/relay";
/// Path of cancellation notices.
pub const CANCELLED_PATH: &str = "/cancelled";
/// Path at which a controller says whether it reaches the store; the answer is a `bool`.
pub const STORE_REACHABILITY_PATH: &str = "/standing";

/// A request that a controller can't serve and forwards unchanged to a sibling.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RelayedRequest {
    /// Path of the request.
    pub path: String,
    /// Whether the method is POST; otherwise it is GET.
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

/// Notification to the holder of a shard that jobs of the shard are durably cancelled.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct CancellationNotice {
    /// Shard that the jobs belong to.
    pub shard: u32,
    /// Fencing token under which the shard is held, as far as the sender knows.
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
    /// Revision of the store at which the cancellation was recorded.
    pub revision: u64,
}

/// The response to a cancellation notice.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct CancellationAck {
    /// Whether the receiver holds the shard under the notice's fencing token or a later one. If it does, it makes sure
    /// that all tasks of the jobs end.
    pub holds_shard: bool,
}
