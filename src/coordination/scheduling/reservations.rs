//! Reservations: capacity kept free of batch work for services that are expected soon.

use crate::coordination::Controller;
use crate::coordination::scheduling::shard_view::CandidateMachine;
use crate::protocol::user::JobKind;
use crate::types::{Micros, Resources};
use std::collections::BTreeMap;

/// Expected tasks of services with the same image.
#[derive(Default)]
struct ExpectedTasks {
    count: f64,
    resources: Resources,
}

impl Controller {
    /// Reserves capacity for the tasks of services expected within the time of `reserve_ms`, on machines that have
    /// their images. Otherwise batch work would take all free capacity, and a new service would wait for an image
    /// fetch.
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

    /// Returns the expected tasks of services by image: those accepted in the shard within `reserve_window_ms`, scaled
    /// to `reserve_ms`, the time that capacity takes to become free.
    fn expected_services(&self, shard: u32) -> BTreeMap<&str, ExpectedTasks> {
        let window = Micros::from_millis(self.policy.reserve_window_ms);
        let scale = self.policy.reserve_ms as f64 / self.policy.reserve_window_ms as f64;
        let mut by_image: BTreeMap<&str, ExpectedTasks> = BTreeMap::new();
        let services = self.jobs.values().filter(|job| job.shard == shard && job.spec.kind == JobKind::Service);
        for job in services.filter(|job| self.clock.wall.since(job.accepted_at) < window) {
            let expected = by_image.entry(&job.spec.image).or_default();
            expected.count += f64::from(job.spec.tasks) * scale;
            expected.resources = job.resources;
        }
        by_image
    }
}
