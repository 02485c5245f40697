//! Capacity kept free of batch work for the services that may come next.

use crate::coordination::Controller;
use crate::coordination::scheduling::shard_view::CandidateMachine;
use crate::protocol::user::JobKind;
use crate::types::{Micros, Resources};
use std::collections::BTreeMap;

/// Tasks of services with one image that are expected to come.
#[derive(Default)]
struct ExpectedTasks {
    count: f64,
    resources: Resources,
}

impl Controller {
    /// Reserves capacity on machines with their images for as many tasks of services as came lately in the time that
    /// capacity takes to fall free. A service that finds none waits for a fetch, and batch work takes whatever is free.
    pub(super) fn reserve_for_services(&self, shard: u32, machines: &mut [CandidateMachine]) {
        for (image, expected) in self.expected_services(shard) {
            let mut left = expected.count.round() as u32;
            for candidate in machines.iter_mut() {
                if left == 0 {
                    break;
                }
                let fits = expected.resources.plus(&candidate.reserved()).fits_in(&candidate.free);
                if fits && self.fleet.machine(&candidate.id).is_some_and(|machine| machine.has_image(image)) {
                    candidate.reserve(&expected.resources);
                    left -= 1;
                }
            }
        }
    }

    /// Services of a shard accepted within the window, scaled to the time that capacity takes to fall free, by image.
    fn expected_services(&self, shard: u32) -> BTreeMap<&str, ExpectedTasks> {
        let window = Micros::from_millis(self.policy.reserve_window_ms);
        let part = self.policy.reserve_ms as f64 / self.policy.reserve_window_ms as f64;
        let mut by_image: BTreeMap<&str, ExpectedTasks> = BTreeMap::new();
        let services = self.jobs.values().filter(|job| job.shard == shard && job.spec.kind == JobKind::Service);
        for job in services.filter(|job| self.clock.wall.since(job.accepted_at) < window) {
            let expected = by_image.entry(&job.spec.image).or_default();
            expected.count += f64::from(job.spec.tasks) * part;
            expected.resources = job.resources;
        }
        by_image
    }
}
