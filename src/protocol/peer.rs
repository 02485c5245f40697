//! Messages between controllers, in bitcode.

use bitcode::{Decode, Encode};

/// A request that reached a controller which can't serve it, passed on as it came.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Relay {
    pub path: String,
    pub post: bool,
    pub body: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Relayed {
    pub status: u16,
    pub retry_after_s: Option<u32>,
    pub body: Vec<u8>,
}
