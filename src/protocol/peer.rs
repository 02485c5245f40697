//! Messages between controllers, in bitcode. An encoding does not describe itself, so a message whose form changes
//! gets a path of its own; a sibling that doesn't know a path answers 404.

use bitcode::{Decode, Encode};

/// A request that reached a controller which can't serve it, passed on as it came.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Relay {
    /// Where the request went.
    pub path: String,
    /// Whether it is a POST; a GET otherwise.
    pub post: bool,
    /// As it came.
    pub body: Vec<u8>,
}

/// Path of requests that are relayed.
pub const RELAY_PATH: &str = "/relay";
/// Path of cancellation notices.
pub const CANCELLED_PATH: &str = "/cancelled";
/// Path at which a controller says whether it reaches the store; the answer is a `bool`.
pub const STORE_REACHABILITY_PATH: &str = "/standing";

/// Jobs of one shard that are surely cancelled, to whoever holds the shard.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Cancelled {
    /// Shard that the jobs belong to.
    pub shard: u32,
    /// The fencing token under which the sender saw it held.
    pub fencing_token: u64,
    /// The jobs.
    pub jobs: Vec<CancelledJob>,
}

/// One cancelled job.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct CancelledJob {
    /// Its id.
    pub id: String,
    /// Time of day at which it was cancelled, in microseconds.
    pub at: u64,
    /// Revision of the store that made it so.
    pub revision: u64,
}

/// The answer to that: whether it holds the shard under that fencing token or a later one, and so sees to it that
/// all tasks of the jobs end.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct CancellationAck {
    /// Whether it holds the shard.
    pub holds: bool,
}

/// The answer to a request that was passed on.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Relayed {
    /// Status of the answer.
    pub status: u16,
    /// When the caller should come back.
    pub retry_after_s: Option<u32>,
    /// As it is to be returned.
    pub body: Vec<u8>,
}
