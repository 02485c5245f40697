//! Jobs that depend on others: whatever fails, no job starts before the jobs it depends on are done, and none is left
//! behind when one of those is cancelled.

use super::world::{CANCEL_S, Endpoint, LARGE, MS, S, SMALL, Size, World};
use super::{assert_no_violations, finish_all_jobs, policy_keeping_idle_machines, seeds, submit_mixed_jobs};
use burlhatch::coordination::UserAnswer;
use burlhatch::protocol::user::{JobKind, JobState, Priority};
use burlhatch::settings::Policy;
use burlhatch::types::JobId;

fn submit_stage(world: &mut World, number: u64, team: &str, tasks: u32, depends_on: &[JobId]) -> JobId {
    let mut spec = World::spec(JobKind::Array, team, tasks, 1.0);
    spec.depends_on = depends_on.to_vec();
    spec.estimated_runtime_s = 4.0;
    world.submit(number, spec)
}

/// Submits a first stage, two or three jobs that depend on it, one that depends on these, and an urgent last one. They
/// belong to several teams and therefore to several shards.
fn submit_dependency_chain(world: &mut World, number: u64) -> Vec<JobId> {
    let teams = ["red", "blue", "green"];
    let first = submit_stage(world, number, teams[world.jobs.len() % 3], 2, &[]);
    let second: Vec<JobId> = (0..2 + number / 10 % 2)
        .map(|n| submit_stage(world, number + 1 + n, teams[n as usize], 3, std::slice::from_ref(&first)))
        .collect();
    let join = submit_stage(world, number + 5, "green", 2, &second);
    let last = submit_stage(world, number + 6, "red", 2, std::slice::from_ref(&join));
    if let Some(job) = world.jobs.get_mut(&last) {
        job.spec.priority = Priority::High;
        job.spec.deadline_s = Some(60.0);
        if (number / 10).is_multiple_of(3) {
            // Some users submit the last job only after the others have ended.
            job.submitted += 40 * S;
        }
    }
    let mut all = vec![first];
    all.extend(second);
    all.extend([join, last]);
    all
}

fn reported_states(world: &World, ids: &[JobId]) -> Vec<Option<JobState>> {
    ids.iter().map(|id| world.jobs[id].reported_outcome).collect()
}

#[test]
fn dependent_jobs_run_one_after_the_other() {
    let mut world = World::new(70);
    let all: Vec<Vec<JobId>> = (0..4).map(|n| submit_dependency_chain(&mut world, 100 + n * 10)).collect();
    world.run_for(3 * S);
    for ids in &all {
        let Some(UserAnswer::Status(status)) = world.query_job_after_read(0, &ids[1]) else { panic!("no answer") };
        assert_eq!((status.state, status.running), (JobState::Queued, Some(0)), "the job waits for its dependency");
    }
    finish_all_jobs(&mut world, "stages");
    for ids in &all {
        assert!(reported_states(&world, ids).iter().all(|s| *s == Some(JobState::Done)));
    }
    // A job may also depend on one that ended long ago.
    world.run_for(60 * S);
    let late = submit_stage(&mut world, 900, "green", 1, &[all[0][0].clone(), all[1][4].clone()]);
    world.run_for(40 * S);
    assert_eq!(world.jobs[&late].reported_outcome, Some(JobState::Done));
}

/// Cancels the job of each stage in turn. The jobs that depend on it are cancelled with it, and every controller
/// reports them so; the jobs that it depends on go on. A job that names a cancelled one when it is submitted is
/// cancelled too, also if that one was cancelled with another.
#[test]
fn dependents_of_a_cancelled_job_are_cancelled_with_it() {
    for stage_of in 0..4 {
        let mut world = World::new(71_000 + stage_of as u64);
        submit_stage(&mut world, 1, "green", 2, &[]);
        let ids = submit_dependency_chain(&mut world, 110);
        world.run_for(2 * S);
        world.cancel_job(&ids[stage_of]);
        world.run_for(2 * S);
        let later = submit_stage(&mut world, 800, "blue", 1, &[ids[4].clone()]);
        let unrelated = submit_stage(&mut world, 801, "blue", 1, &[ids[0].clone()]);
        world.run_for(3 * S);
        for node in 0..3 {
            for id in ids[4..].iter().chain([&later]) {
                let Some(UserAnswer::Status(status)) = world.query_job_after_read(node, id) else {
                    panic!("{id}: no answer")
                };
                assert_eq!(status.state, JobState::Cancelled, "{id} at {node}");
            }
        }
        finish_all_jobs(&mut world, &format!("cancelled at {stage_of}"));
        let expected = if stage_of == 0 { JobState::Cancelled } else { JobState::Done };
        assert_eq!(world.jobs[&unrelated].reported_outcome, Some(expected));
        // The outcome follows from that of the dependency, and is recorded later when the write budget allows it.
        world.run_for(60 * S);
        let left: Vec<String> = world.stored_keys().into_iter().filter(|k| k.contains("/batch/")).collect();
        assert!(left.is_empty(), "not deleted from the stored records: {left:?}");
    }
}

/// A cancellation that comes as the job ends is answered with `done`, and the jobs that depend on it go on.
#[test]
fn a_dependency_is_cancelled_as_it_ends() {
    for seed in seeds(72, 4) {
        let mut world = World::new(seed);
        world.cancel_on_completion = 2;
        for n in 0..8 {
            submit_dependency_chain(&mut world, 100 + n * 10);
        }
        finish_all_jobs(&mut world, &format!("at the end {seed}"));
        for (id, job) in &world.jobs {
            let dependencies = job.spec.depends_on.iter().map(|id| world.jobs[id].reported_outcome);
            let has_cancelled_dependency = dependencies.clone().any(|told| told == Some(JobState::Cancelled));
            assert!(
                !has_cancelled_dependency || job.reported_outcome == Some(JobState::Cancelled),
                "{seed}: {id} was not cancelled with its dependency"
            );
        }
    }
}

/// The store refuses only the holder of a shard while jobs that others depend on are cancelled through siblings. Then
/// the store is down for all for longer than a cancellation may take. A controller that can't record the consequences
/// of a cancellation still reports them to users.
#[test]
fn dependents_are_cancelled_while_the_store_refuses_the_shard_holder_and_then_is_down() {
    for seed in seeds(73, 6) {
        let mut world = World::with_policy(seed, policy_keeping_idle_machines());
        let all: Vec<Vec<JobId>> = (0..3).map(|n| submit_dependency_chain(&mut world, 100 + n * 10)).collect();
        for ids in &all {
            for id in &ids[..3] {
                world.jobs.get_mut(id).expect("submitted").spec.estimated_runtime_s = 150.0;
            }
        }
        world.run_for(20 * S);
        let holder = world.holder(&format!("share/{}", seed % 3)).expect("the shard has a holder");
        if seed % 2 == 0 {
            let peers =
                move |a: &Endpoint, b: &Endpoint| *a == Endpoint::Node(holder) && matches!(b, Endpoint::Node(_));
            world.cut(10 * S, true, peers);
        }
        for ids in &all {
            world.cancel_job(&ids[0]);
        }
        world.refuse_node(holder, 14 * S);
        world.run_for(2 * S);
        world.store_outage((CANCEL_S + 20) * S);
        world.run_for((CANCEL_S + 25) * S);
        assert_no_violations(&world, &format!("refusal and outage {seed}"));
        finish_all_jobs(&mut world, &format!("refusal and outage {seed}"));
    }
}

/// Controllers crash, one after the other and all at once, and transactions are late, while stages follow each other
/// and some are cancelled. A job known to be done stays done after a takeover and a restart.
#[test]
fn dependent_jobs_while_controllers_crash_and_restart() {
    for seed in seeds(74, 6) {
        let mut world = World::new(seed);
        world.heartbeat_copies = 10;
        world.invalid_requests = true;
        submit_mixed_jobs(&mut world, 12);
        for n in 0..6 {
            let ids = submit_dependency_chain(&mut world, 100 + n * 10);
            if n % 3 == 2 {
                let victim = ids[world.pick(4) as usize].clone();
                world.jobs.get_mut(&victim).expect("submitted").cancel_at = Some(12 * S);
            }
        }
        for round in 0..7 {
            world.run_for(5 * S);
            let node = world.pick(3) as usize;
            match round {
                1 => world.late_writes(15 * S, 4),
                2 => (0..3).for_each(|node| world.crash(node, (300 + 900 * node as u64) * MS)),
                4 => world.store_outage(8 * S),
                5 => world.refuse_node(node, 9 * S),
                _ => world.crash(node, 400 * MS),
            }
        }
        finish_all_jobs(&mut world, &format!("stages {seed}"));
    }
}

/// A long chain and a wide fan of dependent jobs are cancelled as a whole, in few changes and long before the time
/// limit, although the store takes few changes.
#[test]
fn a_long_chain_and_a_wide_fan_are_cancelled_at_once() {
    let mut world = World::sized(75, Policy::default(), Size { write_rps: 8.0, ..SMALL });
    let root = submit_stage(&mut world, 1, "green", 2, &[]);
    world.jobs.get_mut(&root).expect("submitted").spec.estimated_runtime_s = 100.0;
    let mut ids = vec![root.clone()];
    for n in 0..30 {
        let before = ids[ids.len() - 1].clone();
        ids.push(submit_stage(&mut world, 10 + n, ["red", "blue", "green"][n as usize % 3], 2, &[before]));
    }
    for n in 0..60 {
        ids.push(submit_stage(&mut world, 100 + n, "blue", 2, std::slice::from_ref(&root)));
    }
    world.run_for(50 * S);
    assert!(ids.iter().all(|id| world.jobs[id].accepted), "not all accepted");
    world.cancel_job(&root);
    world.run_for(3 * S);
    for id in &ids {
        let Some(UserAnswer::Status(status)) = world.query_job_after_read(1, id) else { panic!("{id}: no answer") };
        assert_eq!(status.state, JobState::Cancelled, "{id}");
    }
    finish_all_jobs(&mut world, "chain and fan");
}

/// A rolling upgrade: controllers of both versions work on each other's records, and the earlier version writes larger
/// values and transactions. A controller that is not upgraded yet crashes and restarts as the earlier version, or the
/// store is down for a while, or jobs are cancelled while their shard's holder is replaced. After the upgrade, jobs
/// with dependencies are submitted and the store's limits drop. (The byte format of the earlier version is tested in
/// `production.rs`.)
#[test]
fn a_rolling_upgrade_with_a_crash_an_outage_or_cancellations() {
    for (seed, failure) in seeds(78, 6).zip(["crash", "outage", "cancel"].into_iter().cycle()) {
        let mut world =
            World::sized(seed, policy_keeping_idle_machines(), Size { machines: 40, capacity: 60, ..LARGE });
        world.run_previous_version();
        world.lower_limits_at(70 * S, 2048, 4, 18.0);
        submit_mixed_jobs(&mut world, 20);
        let large: Vec<JobId> = (0..3)
            .map(|n| {
                let mut spec = World::spec(JobKind::Array, "green", 250, 0.5);
                spec.estimated_runtime_s = 25.0;
                world.submit(500 + n, spec)
            })
            .collect();
        world.run_for(20 * S);
        for node in 0..5 {
            if failure == "cancel" && node == 2 {
                world.cancel_job(&large[1]);
            }
            world.upgrade(node);
            world.run_for(2 * S);
            if node < 4 && failure == "crash" {
                world.crash(4, if node % 2 == 0 { 300 * MS } else { 4 * S });
            }
            if node == 3 && failure == "outage" {
                world.store_outage(7 * S);
            }
            world.run_for(6 * S);
        }
        world.run_for(4 * S);
        for n in 0..4 {
            submit_dependency_chain(&mut world, 700 + n * 10);
        }
        finish_all_jobs(&mut world, &format!("upgrade, {failure} {seed}"));
    }
}

/// A job may depend on more jobs than one value can name. Its list is written before it, in several parts, and deleted
/// after it.
#[test]
fn a_job_depends_on_hundreds_of_others() {
    let mut world = World::new(77);
    let root = submit_stage(&mut world, 1, "green", 2, &[]);
    world.jobs.get_mut(&root).expect("submitted").spec.estimated_runtime_s = 200.0;
    let many: Vec<JobId> =
        (0..700).map(|n| submit_stage(&mut world, 1000 + n, "green", 1, std::slice::from_ref(&root))).collect();
    let last = submit_stage(&mut world, 5000, "red", 1, &many);
    world.run_for(60 * S);
    assert!(world.jobs[&last].accepted, "not accepted");
    assert!(
        world.stored_keys().iter().filter(|k| k.contains("/awaits/")).count() >= 2,
        "the list is not stored in parts"
    );
    world.crash(0, S);
    world.run_for(5 * S);
    // The list of dependencies is complete after the restart: it still contains the last one.
    world.cancel_job(&many[699]);
    world.run_for(5 * S);
    let answer = world.query_job_after_read(0, &last);
    assert!(matches!(&answer, Some(UserAnswer::Status(s)) if s.state == JobState::Cancelled), "{answer:?}");
    world.cancel_job(&root);
    finish_all_jobs(&mut world, "hundreds of dependencies");
    world.run_for(300 * S);
    let left: Vec<String> = world.stored_keys().into_iter().filter(|k| k.contains("/awaits/")).collect();
    assert!(left.is_empty(), "not deleted from the stored records: {left:?}");
}

/// The store's limits drop without notice while arrays with hundreds of tasks run whose records were written under the
/// old limits. From then on nothing larger is written, nothing is lost, and all jobs get done.
#[test]
fn limits_of_the_store_drop_without_notice() {
    for seed in seeds(76, 3) {
        let mut world = World::sized(seed, Policy::default(), Size { machines: 60, capacity: 80, ..LARGE });
        world.lower_limits_at(25 * S, 2048, 4, 18.0);
        submit_mixed_jobs(&mut world, 30);
        for n in 0..3 {
            let mut spec = World::spec(JobKind::Array, "green", 300, 0.5);
            spec.estimated_runtime_s = 12.0;
            world.submit(500 + n, spec);
            submit_dependency_chain(&mut world, 600 + n * 10);
        }
        world.run_for(30 * S);
        world.crash(seed as usize % 5, 3 * S);
        for nth in 0..6 {
            world.kill_machine(nth * 7);
        }
        finish_all_jobs(&mut world, &format!("limits {seed}"));
    }
}

/// Guards against tasks that wait for tens of seconds while machines are free: a chunk can name only as many starts as
/// fit into a small value, and ended ones take space until they are recorded as done. That is recorded before ordinary
/// progress, which may wait much longer.
#[test]
fn ended_attempts_free_space_in_full_chunks_for_waiting_tasks() {
    let policy = Policy { record_delay_ms: 60_000, progress_patience_ms: 120_000, ..Policy::default() };
    let mut world = World::sized(79, policy, Size { machines: 30, capacity: 30, write_rps: 9.0, ..LARGE });
    world.lower_limits_at(2 * S, 2048, 4, 9.0);
    world.run_for(15 * S);
    submit_mixed_jobs(&mut world, 40);
    let mut spec = World::spec(JobKind::Array, "green", 128, 0.1);
    spec.estimated_runtime_s = 6.0;
    let id = world.submit(500, spec);
    let began = world.now;
    while world.jobs[&id].reported_outcome.is_none() && world.now < began + 300 * S {
        world.run_for(S);
    }
    let took = (world.now - began) / S;
    assert!(took < 45, "128 tasks of some 6 s took {took} s beside free machines");
    finish_all_jobs(&mut world, "full chunks");
}
