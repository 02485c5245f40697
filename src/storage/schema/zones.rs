//! Records of zones other than those of the zones crate.

use crate::types::Micros;
use serde::{Deserialize, Serialize};

/// Maximum length of a zone's name in bytes, so that its keys stay within the store's limit.
const MAX_ZONE_NAME_BYTES: usize = 128;

/// Returns whether a zone's name can be part of a key.
pub fn is_zone_storable(zone: &str) -> bool {
    !zone.is_empty()
        && zone.len() <= MAX_ZONE_NAME_BYTES
        && !zone.contains(|c: char| c.is_whitespace() || c.is_control())
}

/// The record of a zone that operators have cordoned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneCordonRecord {
    /// Time of day at which the zone was cordoned.
    #[serde(rename = "at")]
    pub at: Micros,
}
