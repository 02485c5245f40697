//! Whole scenarios: no failures, overload, a short write budget, and all kinds of failures in small and large clusters.

use super::world::{Endpoint, FLEET, LARGE, MS, S, SMALL, Size, World};
use super::{assert_no_violations, finish_all_jobs, policy_keeping_idle_machines, seeds, submit_mixed_jobs};
use burlhatch::protocol::user::{JobKind, JobState};
use burlhatch::settings::Policy;
use burlhatch::types::MachineId;
use std::collections::BTreeSet;

#[test]
fn all_jobs_finish_without_failures() {
    let mut world = World::new(1);
    submit_mixed_jobs(&mut world, 30);
    world.run_for(90 * S);
    finish_all_jobs(&mut world, "no failures");
    let done = world.jobs.values().filter(|j| j.reported_outcome == Some(JobState::Done)).count();
    assert!(done >= 15, "only {done} jobs were done");
    // Only outcomes, machines and roles stay in the stored records.
    world.run_for(30 * S);
    let left: Vec<String> =
        world.stored_keys().into_iter().filter(|k| k.contains("/run/") || k.contains("/batch/")).collect();
    assert!(left.is_empty(), "not deleted from the stored records: {left:?}");
}

#[test]
fn services_start_and_stop_within_seconds_without_load() {
    let mut world = World::new(2);
    world.run_for(5 * S);
    let id = world.submit(1, World::spec(JobKind::Service, "red", 1, 1.0));
    world.run_for(3 * S);
    let running = |world: &World| world.agents.values().filter(|w| w.tasks.keys().any(|k| k.0 == id)).count();
    assert_eq!(running(&world), 1);
    if let Some(job) = world.jobs.get_mut(&id) {
        job.cancel_at = Some(0);
    }
    world.run_for(8 * S);
    assert_eq!(running(&world), 0, "cancelled services are stopped");
    finish_all_jobs(&mut world, "service");
}

#[test]
fn all_kinds_of_failures_at_random() {
    for seed in seeds(5, 10) {
        let mut world = World::new(seed);
        submit_mixed_jobs(&mut world, 35);
        for _ in 0..10 {
            world.run_for(5 * S);
            let nth = world.pick(9) as usize;
            let node = world.pick(3) as usize;
            let span = (1 + world.pick(25)) * S;
            match world.pick(7) {
                0 => world.crash(node, span.min(6 * S)),
                // Consecutive outages may keep a shard's holder uninformed for longer than a cancellation may take;
                // then no controller could meet that limit.
                1 => world.store_outage(span.min(8 * S)),
                2 => world.refuse_node(node, span),
                3 => world.hang(nth, span),
                4 => world.kill_machine(nth),
                5 => world.cut(span, true, move |a, b| *a == Endpoint::Node(node) && *b == Endpoint::Store),
                _ => world.cut(span, true, move |a, b| *a == Endpoint::Node(node) && matches!(b, Endpoint::Agent(_))),
            }
        }
        finish_all_jobs(&mut world, &format!("random failures {seed}"));
    }
}

/// With far more work submitted than can be done, large jobs still begin within four minutes, and at least half of each
/// team's jobs begin.
#[test]
fn under_overload_the_largest_jobs_begin_and_no_team_starves() {
    let mut world = World::new(40);
    world.cloud.capacity = 8;
    world.run_for(5 * S);
    let spec = |team: &str, tasks: u32| {
        let mut spec = World::spec(JobKind::Array, team, tasks, 2.0);
        spec.estimated_runtime_s = 10.0;
        spec
    };
    let mut largest = Vec::new();
    let mut number = 0;
    for _ in 0..50 {
        for team in ["red", "blue", "green"] {
            number += 1;
            world.submit(number, spec(team, 4));
            if number % 60 == 1 {
                number += 1;
                largest.push(world.submit(number, spec(team, 60)));
            }
        }
        world.run_for(5 * S);
    }
    world.run_for(240 * S);
    for id in &largest {
        let job = &world.jobs[id];
        let waited = job.begun.map(|at| (at - job.submitted) / S);
        assert!(waited.is_some_and(|s| s <= 240), "{id} began after {waited:?} s");
    }
    for team in ["red", "blue", "green"] {
        let of_team = || world.jobs.values().filter(|j| j.spec.team.as_deref() == Some(team));
        let begun_count = of_team().filter(|j| j.begun.is_some()).count();
        assert!(begun_count * 2 >= of_team().count(), "{team}: {begun_count} of {}", of_team().count());
    }
    assert_no_violations(&world, "overload");
}

/// When the store takes few changes, the most urgent ones are written first: services start soon although arrays have
/// enough to record for a long time, and the arrays are not starved either. How soon depends on how many machines the
/// services' shard has by then, so several worlds are checked: the services begin within six seconds in half of them,
/// and within forty seconds in all.
#[test]
fn services_start_soon_though_the_write_budget_is_short() {
    let mut soon = 0;
    for seed in seeds(50, 10) {
        let size = Size { write_rps: 6.0, capacity: 30, machines: 20, ..SMALL };
        let mut world = World::sized(seed, Policy::default(), size);
        world.run_for(10 * S);
        for n in 0..60 {
            let mut spec = World::spec(JobKind::Array, ["red", "blue", "green"][n as usize % 3], 6, 0.5);
            spec.estimated_runtime_s = 3.0;
            world.submit(n + 1, spec);
        }
        world.run_for(2 * S);
        let services: Vec<_> =
            (0..3).map(|n| world.submit(900 + n, World::spec(JobKind::Service, "green", 1, 1.0))).collect();
        let all_begun = |world: &World| services.iter().all(|id| world.jobs[id].begun.is_some());
        world.run_for(6 * S);
        soon += usize::from(all_begun(&world));
        world.run_for(34 * S);
        assert!(all_begun(&world), "{seed}: services have not begun");
        for id in &services {
            world.jobs.get_mut(id).expect("submitted").cancel_at = Some(0);
        }
        finish_all_jobs(&mut world, &format!("short write budget {seed}"));
        assert!(world.rate_limited_txns() < 400, "{seed}: refused {} times", world.rate_limited_txns());
    }
    assert!(soon >= 5, "services began soon in only {soon} of 10 worlds");
}

/// Five controllers and 200 machines: unreachable and hanging machines, a controller without the store, an outage, and
/// a crash of all controllers.
#[test]
fn a_large_cluster_with_all_kinds_of_failures() {
    for seed in seeds(9, 2) {
        let mut world = World::sized(seed, Policy::default(), LARGE);
        world.heartbeat_copies = 10;
        submit_mixed_jobs(&mut world, 120);
        world.run_for(15 * S);
        for nth in [3, 60, 110] {
            world.make_unreachable(nth, 100 * S);
        }
        let without_store = world.pick(5) as usize;
        world.cut(20 * S, true, move |a, b| *a == Endpoint::Node(without_store) && *b == Endpoint::Store);
        world.run_for(6 * S);
        for nth in 0..30 {
            world.hang(nth * 6, 12 * S);
        }
        world.run_for(6 * S);
        world.store_outage(8 * S);
        for node in 0..5 {
            world.crash(node, 300 * MS + node as u64 * S);
        }
        world.run_for(12 * S);
        for nth in 0..10 {
            world.kill_machine(nth * 17);
        }
        finish_all_jobs(&mut world, &format!("large {seed}"));
    }
}

/// A thousand machines in four zones: one zone is cut off together with a controller while the leader stalls. Then
/// follow an outage, a crash of all controllers, and the death or hanging of a third of the machines at once.
#[test]
fn a_thousand_machines_with_mass_failures() {
    let mut world = World::sized(16_000, policy_keeping_idle_machines(), FLEET);
    submit_mixed_jobs(&mut world, 150);
    for n in 0..6 {
        let mut spec = World::spec(if n < 3 { JobKind::Service } else { JobKind::Array }, "green", 16, 1.0);
        if n < 3 {
            spec.spread = true;
        } else {
            spec.tasks = 400;
        }
        let id = world.submit(1000 + n, spec);
        if n < 3 {
            world.jobs.get_mut(&id).expect("submitted").cancel_at = Some(55 * S);
        }
    }
    world.run_for(14 * S);
    let machines_in_zone: BTreeSet<MachineId> =
        world.agents.iter().filter(|(_, w)| w.zone == "d").map(|(id, _)| id.clone()).collect();
    let zone = machines_in_zone.clone();
    let is_in = move |place: &Endpoint| match place {
        Endpoint::Node(node) => *node == 3,
        Endpoint::Agent(id) => zone.contains(id),
        _ => false,
    };
    world.cut(16 * S, true, move |a, b| is_in(a) != is_in(b));
    world.run_for(4 * S);
    let leader = world.holder("leader").expect("there is a leader");
    world.freeze(leader, 5 * S);
    world.run_for(13 * S);
    let left = machines_in_zone.iter().filter(|id| world.agents.contains_key(id)).count();
    assert!(
        left * 10 >= machines_in_zone.len() * 9,
        "{left} of {} machines are left: those of a zone that is cut off were deleted",
        machines_in_zone.len()
    );
    world.store_outage(5 * S);
    for node in 0..5 {
        world.crash(node, 200 * MS + node as u64 * 300 * MS);
    }
    world.run_for(3 * S);
    for nth in 0..180 {
        world.kill_machine(nth * 5);
        world.hang(nth * 4 + 1, 12 * S);
    }
    finish_all_jobs(&mut world, "mass failures");
}
