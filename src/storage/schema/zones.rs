//! Records of zones, besides those of the zones crate.

use crate::types::Micros;
use serde::{Deserialize, Serialize};

/// Bytes of a zone's name at most, so that its keys stay within the store's limit.
const ZONE_NAME_MOST: usize = 128;

/// Whether a zone's name can be part of a key.
pub fn is_zone_storable(zone: &str) -> bool {
    !zone.is_empty() && zone.len() <= ZONE_NAME_MOST && !zone.contains(|c: char| c.is_whitespace() || c.is_control())
}

/// That operators hold a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneHoldRecord {
    /// Time of day since when.
    #[serde(rename = "at")]
    pub at: Micros,
}
