//! Answers of different controllers are consistent: after a user was told of an acceptance or an outcome, no controller
//! answers with an older state, however late the store answers.

use super::world::{LARGE, Limits, MS, S, SMALL, Size, World};
use super::{assert_no_violations, finish_all_jobs, seeds, submit_mixed_jobs};
use burlhatch::protocol::user::{JobKind, JobState};
use burlhatch::settings::Policy;
use burlhatch::types::JobId;

/// Submits jobs of one short task for all teams, at random moments within `span`.
fn submit_short_jobs(world: &mut World, first: u64, count: u64, span: u64) -> Vec<JobId> {
    let jobs = (0..count).map(|n| {
        let mut spec = World::spec(JobKind::Array, ["red", "blue", "green"][n as usize % 3], 1, 1.0);
        spec.estimated_runtime_s = 1.0;
        let id = world.submit(first + n, spec);
        let at = world.now + world.pick(span);
        world.jobs.get_mut(&id).expect("submitted").submitted = at;
        id
    });
    jobs.collect()
}

/// Returns a world in which users ask all controllers right after each change of a job, and cancel a third of the jobs
/// as soon as they are accepted. A quarter of the store's answers come late, and each controller's watch lags by a
/// delay of its own.
fn world_with_consistency_checks(seed: u64, size: Size) -> World {
    let mut world = World::sized(seed, Policy::default(), size);
    world.follow_up_requests = true;
    world.cancel_on_acceptance = 3;
    world.cancel_on_completion = 3;
    world.late_answers(600 * S, 4);
    world.lag_watches(800 * MS);
    world
}

/// There are no other failures.
#[test]
fn answers_stay_consistent_while_the_store_answers_late() {
    for seed in seeds(90, 4) {
        let mut world = world_with_consistency_checks(seed, SMALL);
        submit_short_jobs(&mut world, 1, 60, 40 * S);
        submit_mixed_jobs(&mut world, 10);
        finish_all_jobs(&mut world, &format!("late answers {seed}"));
        assert!(
            world.jobs.values().any(|job| job.reported_outcome == Some(JobState::Cancelled)),
            "{seed}: none was cancelled"
        );
    }
}

/// Adds outages, a single controller that the store refuses, crashes of the leader and transactions that are committed
/// late.
#[test]
fn answers_stay_consistent_amid_failures() {
    for seed in seeds(91, 6) {
        let mut world = world_with_consistency_checks(seed, SMALL);
        world.heartbeat_copies = 10;
        world.invalid_requests = true;
        submit_short_jobs(&mut world, 100, 60, 60 * S);
        submit_mixed_jobs(&mut world, 15);
        for _ in 0..8 {
            world.run_for(6 * S);
            let (node, span) = (world.pick(3) as usize, (1 + world.pick(12)) * S);
            match world.pick(6) {
                0 => world.store_outage(span.min(8 * S)),
                1 => world.refuse_node(node, span),
                2 => world.crash(world.holder("leader").unwrap_or(node), 300 * MS),
                3 => world.late_writes(span, 4),
                4 => world.freeze(node, span.min(4 * S)),
                _ => world.lag_watches(1200 * MS),
            }
        }
        finish_all_jobs(&mut world, &format!("consistency amid failures {seed}"));
    }
}

/// The cancellation of a dependent job follows from the record of the job it depends on. A controller whose watch lags
/// has not seen that record when its own transaction is committed.
#[test]
fn answers_about_dependent_jobs_stay_consistent() {
    for seed in seeds(92, 6) {
        let mut world = world_with_consistency_checks(seed, SMALL);
        let dependencies = submit_short_jobs(&mut world, 1, 40, 40 * S);
        for (n, dependency) in (0..).zip(&dependencies) {
            let mut spec = World::spec(JobKind::Array, "green", 1, 1.0);
            spec.depends_on = vec![dependency.clone()];
            let second = world.submit(200 + n, spec.clone());
            spec.depends_on = vec![second];
            world.submit(400 + n, spec);
        }
        for _ in 0..4 {
            world.run_for(10 * S);
            let (node, span) = (world.pick(3) as usize, (1 + world.pick(8)) * S);
            match world.pick(3) {
                0 => world.refuse_node(node, span),
                1 => world.crash(node, 300 * MS),
                _ => world.lag_watches(1200 * MS),
            }
        }
        finish_all_jobs(&mut world, &format!("dependent jobs {seed}"));
    }
}

/// The store keeps a short history of changes: a controller that missed more reads everything again, while answers to
/// its earlier reads and transactions are still under way.
#[test]
fn answers_stay_consistent_while_controllers_reread_the_store() {
    for seed in seeds(93, 4) {
        let mut world = world_with_consistency_checks(seed, SMALL);
        world.limit_store(Limits { history: 30, page_items: 5, page_bytes: 1500, rps: Some(150.0) });
        submit_short_jobs(&mut world, 1, 50, 40 * S);
        for _ in 0..5 {
            world.run_for(8 * S);
            world.lag_watches(1200 * MS);
        }
        finish_all_jobs(&mut world, &format!("store read again {seed}"));
    }
}

/// Five controllers and 200 machines.
#[test]
fn answers_stay_consistent_in_a_large_cluster() {
    for seed in seeds(94, 1) {
        let mut world = world_with_consistency_checks(seed, LARGE);
        submit_short_jobs(&mut world, 1, 120, 40 * S);
        submit_mixed_jobs(&mut world, 30);
        world.run_for(20 * S);
        world.store_outage(6 * S);
        world.run_for(15 * S);
        assert_no_violations(&world, "large");
        finish_all_jobs(&mut world, &format!("large {seed}"));
    }
}
