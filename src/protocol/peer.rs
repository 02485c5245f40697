//! Messages between controllers, in bitcode. An encoding does not describe itself, so a message whose form changes
//! gets a path of its own; a sibling that doesn't know a path answers 404.

use bitcode::{Decode, Encode};

/// A request that reached a controller which can't serve it, passed on as it came.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Relay {
    pub path: String,
    pub post: bool,
    pub body: Vec<u8>,
}

pub const CANCELLED_PATH: &str = "/cancelled";

/// Jobs of one share that are surely cancelled, to whoever holds the share.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Cancelled {
    pub share: u32,
    /// The term under which the sender saw it held.
    pub term: u64,
    pub jobs: Vec<CancelledJob>,
}

#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct CancelledJob {
    pub id: String,
    /// Time of day at which it was cancelled, in microseconds.
    pub at: u64,
    /// Revision of the state service that made it so.
    pub revision: u64,
}

/// The answer to that: whether it holds the share under that term or a later one, and so sees to it that
/// all tasks of the jobs end.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct CancellationAck {
    pub holds: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Relayed {
    pub status: u16,
    pub retry_after_s: Option<u32>,
    pub body: Vec<u8>,
}
