//! Images on a machine, as far as its tasks show them.

use crate::types::Micros;

/// Fetches that take less than this say nothing about the rate: heartbeats come too seldom.
const MIN_MEASURED_FETCH_S: f64 = 0.2;
/// Images smaller than this say nothing about the rate.
const MIN_MEASURED_MEGABYTES: f64 = 1.0;

/// An image being fetched, as far as heartbeats show it.
#[derive(Clone, Debug)]
pub(crate) struct ImageFetch {
    /// Its name.
    pub(crate) image: String,
    /// Its size.
    pub(crate) megabytes: f64,
    /// When a task was first seen to wait for it.
    pub(crate) started_at: Micros,
}

#[derive(Clone, Debug)]
struct CachedImage {
    image: String,
    megabytes: f64,
}

/// Images seen to be on a machine, and those that it fetches.
#[derive(Default)]
pub(crate) struct ImageCache {
    /// Most recently used last.
    cached: Vec<CachedImage>,
    fetches: Vec<ImageFetch>,
    fetch_mb_per_s: Option<f64>,
}

impl ImageCache {
    /// Whether an image is there.
    pub(crate) fn contains(&self, image: &str) -> bool {
        self.cached.iter().any(|cached| cached.image == image)
    }

    /// Images being fetched, in the order in which their fetches were first seen.
    pub(crate) fn fetches(&self) -> &[ImageFetch] {
        &self.fetches
    }

    /// Observed rate of fetches, if any was long enough to tell.
    pub(crate) fn fetch_mb_per_s(&self) -> Option<f64> {
        self.fetch_mb_per_s
    }

    /// A task waits for its image.
    pub(crate) fn fetch_seen(&mut self, image: String, megabytes: f64, now: Micros) {
        if !self.fetches.iter().any(|fetch| fetch.image == image) {
            self.fetches.push(ImageFetch { image, megabytes, started_at: now });
        }
    }

    /// The agent has a new incarnation, and fetches nothing yet.
    pub(crate) fn clear_fetches(&mut self) {
        self.fetches.clear();
    }

    /// A task uses an image: its fetch is over, and it is the most recently used one.
    pub(crate) fn image_used(&mut self, image: &str, megabytes: f64, capacity_mb: f64, now: Micros) {
        if let Some(at) = self.fetches.iter().position(|fetch| fetch.image == image) {
            let fetch = self.fetches.remove(at);
            self.measure(&fetch, now);
        }
        self.cached.retain(|cached| cached.image != image);
        self.cached.push(CachedImage { image: image.to_string(), megabytes });
        let mut total: f64 = self.cached.iter().map(|cached| cached.megabytes).sum();
        while total > capacity_mb && self.cached.len() > 1 {
            total -= self.cached.remove(0).megabytes;
        }
    }

    fn measure(&mut self, fetch: &ImageFetch, now: Micros) {
        let seconds = now.since(fetch.started_at).secs();
        if seconds > MIN_MEASURED_FETCH_S && fetch.megabytes > MIN_MEASURED_MEGABYTES {
            let rate = fetch.megabytes / seconds;
            self.fetch_mb_per_s = Some(self.fetch_mb_per_s.map_or(rate, |before| 0.5 * (before + rate)));
        }
    }
}
