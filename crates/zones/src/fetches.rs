//! Limits on image fetches while many tasks are restored at once. Without them a burst of starts goes to machines that
//! lack the image, all fetches share the same links, and all of them are slow.

use crate::settings::ZoneSettings;
use std::collections::HashMap;

/// Numbers of images waiting to be fetched in each zone, as one scheduling cycle sees them.
#[derive(Clone, Debug, Default)]
pub struct FetchQueues {
    count_by_zone: HashMap<String, u32>,
}

impl FetchQueues {
    /// Adds images that wait to be fetched on a machine of a zone.
    pub fn add(&mut self, zone: &str, image_count: u32) {
        if image_count == 0 {
            return;
        }
        match self.count_by_zone.get_mut(zone) {
            Some(count) => *count += image_count,
            None => drop(self.count_by_zone.insert(zone.to_string(), image_count)),
        }
    }

    /// Returns the number of images waiting to be fetched in a zone.
    pub fn in_zone(&self, zone: &str) -> u32 {
        self.count_by_zone.get(zone).copied().unwrap_or(0)
    }

    /// Whether a machine on which `pending_on_machine` images wait may be given one more to fetch.
    pub fn admits(&self, zone: &str, pending_on_machine: u32, settings: &ZoneSettings) -> bool {
        is_below_limit(settings.fetches_per_machine, pending_on_machine) && self.zone_admits(zone, settings)
    }

    /// Whether any machine of a zone may be given one more to fetch.
    pub fn zone_admits(&self, zone: &str, settings: &ZoneSettings) -> bool {
        is_below_limit(settings.fetches_per_zone, self.in_zone(zone))
    }
}

fn is_below_limit(limit: u32, count: u32) -> bool {
    limit == 0 || count < limit
}
