//! Limits on image fetches while much is restored at once. Without them the starts of a burst go to machines without
//! the image, all fetches share the same links, and every one of them is late.

use crate::settings::ZoneSettings;
use std::collections::HashMap;

/// Images waiting to be fetched, by machine and by zone, as one pass of placement sees them.
#[derive(Clone, Debug, Default)]
pub struct FetchQueues {
    zones: HashMap<String, u32>,
}

impl FetchQueues {
    /// So many images wait to be fetched on some machine of a zone.
    pub fn add(&mut self, zone: &str, images: u32) {
        if images == 0 {
            return;
        }
        match self.zones.get_mut(zone) {
            Some(count) => *count += images,
            None => drop(self.zones.insert(zone.to_string(), images)),
        }
    }

    /// Images waiting to be fetched in a zone.
    pub fn in_zone(&self, zone: &str) -> u32 {
        self.zones.get(zone).copied().unwrap_or(0)
    }

    /// Whether a machine on which so many images wait may be given one more to fetch.
    pub fn admits(&self, zone: &str, on_machine: u32, settings: &ZoneSettings) -> bool {
        is_below(settings.fetches_per_machine, on_machine) && self.zone_admits(zone, settings)
    }

    /// Whether any machine of a zone may be given one more to fetch.
    pub fn zone_admits(&self, zone: &str, settings: &ZoneSettings) -> bool {
        is_below(settings.fetches_per_zone, self.in_zone(zone))
    }
}

fn is_below(limit: u32, count: u32) -> bool {
    limit == 0 || count < limit
}
