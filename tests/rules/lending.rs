//! Waiting tasks use the room on machines of other shards, whatever runs there, and the rules hold while tasks are lent.

use super::world::{Endpoint, S, SMALL, Size, World};
use super::{assert_no_violations, finish_all_jobs, policy_keeping_idle_machines, seeds, submit_mixed_jobs};
use burlhatch::protocol::user::{JobKind, JobSpec, JobState, Priority};
use burlhatch::settings::Policy;
use burlhatch::types::JobId;

/// Machines of the deployment, with four CPUs each; no further instance can be created.
const MACHINES: usize = 6;
/// Tasks that each of two teams runs. Each takes three CPUs, so there is one on each machine.
const TASKS_OF_TEAM: u32 = 3;
/// Run time that outlasts the test, in seconds.
const LONG_S: f64 = 3600.0;
/// Time within which a job starts beside machines with room: "no job is left waiting for 90 s".
const START_LIMIT: u64 = 90 * S;

fn full_world(seed: u64, policy: Policy) -> World {
    let size = Size { machines: MACHINES, capacity: MACHINES, ..SMALL };
    let mut world = World::sized(seed, policy, size);
    world.cloud.never_up = 0;
    world.run_for(20 * S);
    world
}

fn long(kind: JobKind, team: &str, tasks: u32, cpus: f64) -> JobSpec {
    let mut spec = World::spec(kind, team, tasks, cpus);
    if kind != JobKind::Service {
        spec.estimated_runtime_s = LONG_S;
    }
    spec
}

fn run_until_all_run(world: &mut World, id: &JobId, tasks: u32) -> bool {
    let limit = world.now + START_LIMIT;
    while world.running(id) < tasks as usize && world.now < limit {
        world.run_for(S);
    }
    world.running(id) == tasks as usize
}

/// Makes two teams run a task on each machine, with one CPU left there. Returns their jobs.
fn occupy(world: &mut World, kinds: [JobKind; 2], name: &str) -> Vec<JobId> {
    let jobs: Vec<JobId> = ["green", "red"]
        .into_iter()
        .zip(kinds)
        .enumerate()
        .map(|(n, (team, kind))| world.submit(n as u64 + 1, long(kind, team, TASKS_OF_TEAM, 3.0)))
        .collect();
    for id in &jobs {
        assert!(run_until_all_run(world, id, TASKS_OF_TEAM), "{name}: {id} does not take its machines");
    }
    jobs
}

fn cancel_all(world: &mut World) {
    let ids: Vec<JobId> = world.jobs.keys().cloned().collect();
    for id in ids {
        world.cancel_job(&id);
    }
}

/// Guards against review case 8: work of a team without machines waited for ever beside machines with room, as they run
/// services, or long tasks of equal priority. Every task starts, and nothing that ran before is stopped for it.
#[test]
fn a_whole_job_starts_in_the_room_of_two_other_teams() {
    let occupants =
        [[JobKind::Service, JobKind::Service], [JobKind::Array, JobKind::Array], [JobKind::Service, JobKind::Array]];
    let waiting = [
        (JobKind::Array, Priority::Normal, 6),
        (JobKind::Array, Priority::Low, 6),
        (JobKind::Array, Priority::High, 6),
        (JobKind::Gang, Priority::Normal, 3),
        (JobKind::Service, Priority::Production, 3),
    ];
    for seed in seeds(150, 2) {
        for kinds in occupants {
            for (kind, priority, tasks) in waiting {
                let name = format!("{seed}: {kind:?} of {priority:?} beside {kinds:?}");
                let mut world = full_world(seed, policy_keeping_idle_machines());
                let before = occupy(&mut world, kinds, &name);
                let spec = JobSpec { priority, ..long(kind, "blue", tasks, 1.0) };
                let id = world.submit(100, spec);
                assert!(run_until_all_run(&mut world, &id, tasks), "{name}: {} of {tasks} run", world.running(&id));
                for other in before {
                    assert_eq!(world.jobs[&other].starts, TASKS_OF_TEAM, "{name}: {other} was stopped");
                }
                cancel_all(&mut world);
                finish_all_jobs(&mut world, &name);
            }
        }
    }
}

/// A team's limit counts its lent tasks, also those that start again after their machine was lost: blue may use 10 CPUs
/// at a time.
#[test]
fn lent_tasks_stay_within_the_limit_of_their_team() {
    for seed in seeds(151, 16) {
        let mut world = full_world(seed, Policy { lend_after_ms: 500, ..policy_keeping_idle_machines() });
        world.submit(1, long(JobKind::Array, "green", 2 * TASKS_OF_TEAM, 1.0));
        let ids: Vec<JobId> =
            (0..8).map(|n| world.submit(10 + n, World::spec(JobKind::Array, "blue", 9, 1.0))).collect();
        for step in 0..150 {
            if step % 20 == 19 {
                let nth = world.pick(MACHINES as u64) as usize;
                world.kill_machine(nth);
            }
            world.run_for(S);
        }
        assert!(ids.iter().all(|id| world.jobs[id].starts > 0), "{seed}: a job has not begun");
        cancel_all(&mut world);
        finish_all_jobs(&mut world, &format!("limit {seed}"));
    }
}

/// A policy under which tasks are lent whenever they wait at all.
fn lending_eagerly() -> Policy {
    Policy { lend_after_ms: 0, ..Policy::default() }
}

/// Jobs of all kinds whose tasks are lent as soon as they wait, with cancellations, while controllers crash, the store
/// is out or refuses one of them, links are cut and machines hang or die.
#[test]
fn lent_tasks_keep_the_rules_while_anything_fails() {
    let mut loans = 0;
    for seed in seeds(152, 12) {
        let size = Size { machines: MACHINES, capacity: MACHINES + 2, ..SMALL };
        let mut world = World::sized(seed, lending_eagerly(), size);
        submit_mixed_jobs(&mut world, 40);
        for _ in 0..12 {
            let pause = world.pick(5 * S);
            world.run_for(2 * S + pause);
            let node = world.pick(3) as usize;
            let nth = world.pick(8) as usize;
            match world.pick(9) {
                0 => world.crash(node, 500_000),
                1 => (0..3).for_each(|node| world.crash(node, 4 * S)),
                2 => world.store_outage(8 * S),
                3 => world.refuse_node(node, 10 * S),
                4 => world.freeze(node, 3 * S),
                5 => world.hang(nth, 12 * S),
                6 => world.kill_machine(nth),
                7 => world.late_writes(5 * S, 3),
                _ => world.cut(6 * S, true, move |from, _| *from == Endpoint::Node(node)),
            }
        }
        world.run_for(20 * S);
        loans += world.records.loans;
        finish_all_jobs(&mut world, &format!("lending {seed}"));
        let left: Vec<String> = world.stored_keys().into_iter().filter(|key| key.contains("/lent/")).collect();
        world.run_for(60 * S);
        let still: Vec<String> = world.stored_keys().into_iter().filter(|key| key.contains("/lent/")).collect();
        assert!(still.is_empty(), "{seed}: loans of finished jobs are not deleted: {left:?}, then {still:?}");
    }
    assert!(loans > 20, "only {loans} loans");
}

/// Cancels jobs whose tasks run in several shards, through any controller, as a holder of one of these shards ends. Their
/// tasks stop in time, and all controllers say that they are cancelled.
#[test]
fn a_job_that_runs_in_several_shards_is_cancelled_as_a_holder_ends() {
    for seed in seeds(153, 8) {
        let mut world = full_world(seed, Policy { lend_after_ms: 1000, ..policy_keeping_idle_machines() });
        occupy(&mut world, [JobKind::Service, JobKind::Array], &format!("{seed}"));
        let id = world.submit(100, long(JobKind::Array, "blue", 6, 1.0));
        assert!(run_until_all_run(&mut world, &id, 6), "{seed}: not all tasks run");
        let shard = world.pick(3);
        if let Some(holder) = world.holder(&format!("share/{shard}")) {
            match world.pick(3) {
                0 => world.crash(holder, 300_000),
                1 => world.freeze(holder, 6 * S),
                _ => world.refuse_node(holder, 12 * S),
            }
        }
        world.cancel_job(&id);
        world.run_for(60 * S);
        assert_eq!(world.running(&id), 0, "{seed}: tasks of a cancelled job run");
        assert_eq!(world.jobs[&id].reported_outcome, Some(JobState::Cancelled), "{seed}");
        assert_no_violations(&world, &format!("cancelled {seed}"));
    }
}
