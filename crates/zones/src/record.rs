//! What a shard's holder stores about a zone, so that other holders and its successor know.

use crate::condition::Condition;
use burlhatch_types::Micros;
use serde::{Deserialize, Serialize};

/// A shard's view of a zone. One key for each zone and shard, there only while the view is not simply `Up`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneRecord {
    /// The holder's process. The view counts as a vote only while that process holds the shard.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Whether the holder finds most of its machines there unresponsive.
    #[serde(rename = "q")]
    pub is_unresponsive: bool,
    /// The zone's condition as the holder sees it.
    #[serde(rename = "c")]
    pub condition: Condition,
    /// Penalty for past losses as of the time below, in whole units.
    #[serde(rename = "p")]
    pub penalty: u32,
    /// Time of day at which this was written.
    #[serde(rename = "at")]
    pub written_at: Micros,
}

impl ZoneRecord {
    /// Whether another record differs only in what decays by itself, which alone is not worth a write.
    pub fn is_equivalent_to(&self, other: &ZoneRecord) -> bool {
        (self.incarnation, self.is_unresponsive, self.condition)
            == (other.incarnation, other.is_unresponsive, other.condition)
    }
}
