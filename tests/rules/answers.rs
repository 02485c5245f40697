//! What one controller told is never taken back by another: whoever asks after an acceptance or an outcome was told
//! hears nothing older, at any controller, however late the store answers.

use super::world::{LARGE, Limits, MS, S, SMALL, Size, World};
use super::{assert_no_violations, finish_all_jobs, seeds, submit_mixed_jobs};
use burlhatch::protocol::user::{JobKind, JobState};
use burlhatch::settings::Policy;
use burlhatch::types::JobId;

/// One-task jobs that are soon over, of all teams, over so long a time.
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

/// A world in which users look closely, a third of the jobs are called off as soon as they are accepted, and answers
/// of the store come late, watches at each controller by another lag.
fn world_with_consistency_checks(seed: u64, size: Size) -> World {
    let mut world = World::sized(seed, Policy::default(), size);
    world.close_looks = true;
    world.cancel_at_once = 3;
    world.cancel_at_end = 3;
    world.late_answers(600 * S, 4);
    world.lag_watches(800 * MS);
    world
}

/// No other trouble: late answers and close looks alone.
#[test]
fn answers_stay_consistent_while_the_store_answers_late() {
    for seed in seeds(90, 4) {
        let mut world = world_with_consistency_checks(seed, SMALL);
        submit_short_jobs(&mut world, 1, 60, 40 * S);
        submit_mixed_jobs(&mut world, 10);
        finish_all_jobs(&mut world, &format!("late answers {seed}"));
        assert!(world.jobs.values().any(|job| job.told == Some(JobState::Cancelled)), "{seed}: none was cancelled");
    }
}

/// The same with outages, a controller refused alone, changes of leader and transactions carried out late.
#[test]
fn answers_stay_consistent_amid_failures() {
    for seed in seeds(91, 6) {
        let mut world = world_with_consistency_checks(seed, SMALL);
        world.heartbeat_copies = 10;
        world.odd_requests = true;
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
        finish_all_jobs(&mut world, &format!("looks amid troubles {seed}"));
    }
}

/// Dependencies: that a job fell with one that it needs follows from another job's record, which a controller whose
/// watch lags has not seen while its own transaction is carried out.
#[test]
fn answers_about_dependent_jobs_stay_consistent() {
    for seed in seeds(92, 6) {
        let mut world = world_with_consistency_checks(seed, SMALL);
        let firsts = submit_short_jobs(&mut world, 1, 40, 40 * S);
        for (n, first) in (0..).zip(&firsts) {
            let mut spec = World::spec(JobKind::Array, "green", 1, 1.0);
            spec.depends_on = vec![first.clone()];
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
        finish_all_jobs(&mut world, &format!("looks at pipelines {seed}"));
    }
}

/// A service that remembers few changes: a controller that missed more begins anew while answers to its earlier reads
/// and transactions are still on their way.
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
        finish_all_jobs(&mut world, &format!("all over again {seed}"));
    }
}

/// Five controllers and some hundred machines.
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
