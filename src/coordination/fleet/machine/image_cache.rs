//! Images on a machine, as far as its tasks show that they are there.

use crate::types::Micros;

/// Duration below which a fetch says nothing about the rate, as heartbeats are too infrequent to time it.
const MIN_MEASURED_FETCH_S: f64 = 0.2;
/// Size below which an image says nothing about the rate.
const MIN_MEASURED_MEGABYTES: f64 = 1.0;

/// An image being fetched, as observed through heartbeats.
#[derive(Clone, Debug)]
pub(crate) struct ImageFetch {
    /// Name of the image.
    pub(crate) image: String,
    /// Size of the image.
    pub(crate) megabytes: f64,
    /// When a task was first seen waiting for the image.
    pub(crate) started_at: Micros,
}

#[derive(Clone, Debug)]
struct CachedImage {
    image: String,
    megabytes: f64,
}

/// Images that were seen to be on a machine, and images that it fetches.
#[derive(Default)]
pub(crate) struct ImageCache {
    /// Images in the order of their last use, the most recent one last.
    cached: Vec<CachedImage>,
    fetches: Vec<ImageFetch>,
    fetch_mb_per_s: Option<f64>,
}

impl ImageCache {
    /// Returns whether an image is on the machine.
    pub(crate) fn contains(&self, image: &str) -> bool {
        self.cached.iter().any(|cached| cached.image == image)
    }

    /// Returns the images being fetched, in the order in which their fetches were first seen.
    pub(crate) fn fetches(&self) -> &[ImageFetch] {
        &self.fetches
    }

    /// Returns the observed fetch rate, if a fetch was long enough to measure it.
    pub(crate) fn fetch_mb_per_s(&self) -> Option<f64> {
        self.fetch_mb_per_s
    }

    /// Records that a task waits for its image.
    pub(crate) fn fetch_seen(&mut self, image: String, megabytes: f64, now: Micros) {
        if !self.fetches.iter().any(|fetch| fetch.image == image) {
            self.fetches.push(ImageFetch { image, megabytes, started_at: now });
        }
    }

    /// Removes all fetches when the agent has a new incarnation, which fetches nothing yet.
    pub(crate) fn clear_fetches(&mut self) {
        self.fetches.clear();
    }

    /// Records that a task uses an image: its fetch has finished, and it is the most recently used image.
    pub(crate) fn image_used(&mut self, image: &str, megabytes: f64, capacity_mb: f64, now: Micros) {
        if let Some(at) = self.fetches.iter().position(|fetch| fetch.image == image) {
            let fetch = self.fetches.remove(at);
            self.update_fetch_rate(&fetch, now);
        }
        self.cached.retain(|cached| cached.image != image);
        self.cached.push(CachedImage { image: image.to_string(), megabytes });
        let mut total: f64 = self.cached.iter().map(|cached| cached.megabytes).sum();
        while total > capacity_mb && self.cached.len() > 1 {
            total -= self.cached.remove(0).megabytes;
        }
    }

    fn update_fetch_rate(&mut self, fetch: &ImageFetch, now: Micros) {
        let seconds = now.since(fetch.started_at).secs();
        if seconds > MIN_MEASURED_FETCH_S && fetch.megabytes > MIN_MEASURED_MEGABYTES {
            let rate = fetch.megabytes / seconds;
            self.fetch_mb_per_s = Some(self.fetch_mb_per_s.map_or(rate, |before| 0.5 * (before + rate)));
        }
    }
}
