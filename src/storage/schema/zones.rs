//! Records of zones, besides those of the zones crate.

use crate::types::Micros;
use serde::{Deserialize, Serialize};

/// Longest name of a zone in bytes, so that its keys stay within the store's limit.
const MAX_ZONE_NAME_BYTES: usize = 128;

/// Whether a zone's name can be part of a key.
pub fn is_zone_storable(zone: &str) -> bool {
    !zone.is_empty()
        && zone.len() <= MAX_ZONE_NAME_BYTES
        && !zone.contains(|c: char| c.is_whitespace() || c.is_control())
}

/// That operators have cordoned a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneCordonRecord {
    /// Time of day since when.
    #[serde(rename = "at")]
    pub at: Micros,
}
