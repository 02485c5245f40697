//! A shard without machines gets one from a shard whose machines all run a few services.

use super::world::{S, SMALL, Size, World};
use super::{finish_all_jobs, policy_keeping_idle_machines, seeds};
use burlhatch::protocol::user::JobKind;
use burlhatch::types::JobId;

/// Machines of the deployment, with four CPUs each; no further instance can be created.
const MACHINES: usize = 6;
/// Services of one task that fill all machines.
const BURST: u64 = 24;
/// One in this many of them stays.
const KEPT_ONE_IN: u64 = 4;
/// Time within which a job starts beside machines with room: "no job is left waiting for 90 s".
const START_LIMIT: u64 = 90 * S;

/// Guards against a team's service that never starts beside machines with room: a burst of another team's services had
/// taken all machines, and each went on running one of them.
#[test]
fn a_service_waits_for_ever_beside_machines_with_few_services_of_another_shard() {
    for seed in seeds(140, 6) {
        let size = Size { machines: MACHINES, capacity: MACHINES, ..SMALL };
        let mut world = World::sized(seed, policy_keeping_idle_machines(), size);
        world.cloud.never_up = 0;
        world.run_for(20 * S);
        let burst: Vec<JobId> =
            (1..=BURST).map(|n| world.submit(n, World::spec(JobKind::Service, "green", 1, 1.0))).collect();
        let running = |world: &World| burst.iter().filter(|id| world.running(id) > 0).count() as u64;
        let full = world.now + START_LIMIT;
        while running(&world) < BURST && world.now < full {
            world.run_for(S);
        }
        assert_eq!(running(&world), BURST, "{seed}: the burst has not taken all machines");
        let (kept, cancelled): (Vec<_>, Vec<_>) =
            burst.iter().enumerate().partition(|(n, _)| (*n as u64).is_multiple_of(KEPT_ONE_IN));
        for (_, id) in cancelled {
            world.cancel_job(id);
        }
        world.run_for(10 * S);
        let waiting = world.submit(100, World::spec(JobKind::Service, "blue", 2, 1.0));
        let limit = world.now + START_LIMIT;
        while world.running(&waiting) < 2 && world.now < limit {
            world.run_for(S);
        }
        assert_eq!(world.running(&waiting), 2, "{seed}: the service of the other team waits");
        world.run_for(10 * S);
        for (_, id) in kept {
            assert_eq!(world.running(id), 1, "{seed}: {id} has not come back");
            world.cancel_job(id);
        }
        world.cancel_job(&waiting);
        finish_all_jobs(&mut world, &format!("starved shard {seed}"));
    }
}
