//! The record in which a shard's holder stores its view of a zone for the other holders and for its successor.

use crate::condition::Condition;
use burlhatch_types::Micros;
use serde::{Deserialize, Serialize};

/// A shard's view of a zone, stored under one key per zone and shard. The key exists only while the zone is lost or
/// returning, the holder votes against it, or its penalty has not decayed yet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneRecord {
    /// Incarnation of the holder's process. The view counts as a vote only while that process holds the shard.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Whether the holder votes against the zone because most of its machines there are unresponsive.
    #[serde(rename = "q")]
    pub is_unresponsive: bool,
    /// The zone's condition as the holder sees it.
    #[serde(rename = "c")]
    pub condition: Condition,
    /// Penalty for past losses as of `written_at`, rounded to a whole number.
    #[serde(rename = "p")]
    pub penalty: u32,
    /// Time of day at which this was written.
    #[serde(rename = "at")]
    pub written_at: Micros,
}

impl ZoneRecord {
    /// Whether another record differs at most in its penalty and time of writing, which do not justify a write on their
    /// own.
    pub fn is_equivalent_to(&self, other: &ZoneRecord) -> bool {
        (self.incarnation, self.is_unresponsive, self.condition)
            == (other.incarnation, other.is_unresponsive, other.condition)
    }
}
