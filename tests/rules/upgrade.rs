//! Controllers of two record versions at the same time: a leader of the earlier version moves machines between shards
//! itself, one of the later version leaves that to the holders of the shards.

use super::world::{LARGE, MS, S, Size, World};
use super::{finish_all_jobs, policy_keeping_idle_machines, seeds};
use burlhatch::protocol::user::{JobKind, Priority};
use burlhatch::settings::Policy;

/// Returns a world in which machines move back and forth between shards, as the teams submit work in turn and no
/// instances can be requested.
fn world_of_many_moves(seed: u64) -> World {
    let policy = Policy { shift_after_ms: 300, shift_part: 1.0, drain_ms: 1000, ..policy_keeping_idle_machines() };
    let mut world = World::sized(seed, policy, Size { machines: 7, capacity: 7, ..LARGE });
    world.heartbeat_copies = 0;
    world
}

fn submit_work_of_one_team(world: &mut World, round: u64) {
    let team = ["red", "green", "blue", "green"][round as usize % 4];
    for n in 0..4 {
        let mut spec = World::spec(JobKind::Array, team, 4, 2.0);
        spec.estimated_runtime_s = 1.0;
        spec.priority = Priority::High;
        world.submit(1000 + round * 10 + n, spec);
    }
}

#[test]
fn shard_holders_move_their_machines() {
    let mut world = world_of_many_moves(80);
    for round in 0..12 {
        submit_work_of_one_team(&mut world, round);
        world.run_for(4 * S);
    }
    finish_all_jobs(&mut world, "moves");
    assert!(world.records.moves >= 20, "only {} moves", world.records.moves);
}

fn submit_urgent_work(world: &mut World, number: u64, team: &str, tasks: u32, image: &str) {
    let mut spec = World::spec(JobKind::Array, team, tasks, 2.0);
    spec.estimated_runtime_s = 1.0;
    spec.priority = Priority::High;
    spec.image = image.into();
    world.submit(number, spec);
}

/// The only race that a start recorded under a leader of the later version would lose against one of the earlier
/// version: the record of the start is delayed by seconds, while the leader crashes, restarts as the earlier version
/// and moves the machine, on which it sees no attempt. (To make the shard use another machine, its holder doesn't know
/// which one holds the image.)
#[test]
fn an_attempt_recorded_late_under_a_leader_of_the_earlier_version() {
    let mut moves = 0;
    for seed in seeds(82, 10) {
        let mut world = world_of_many_moves(seed);
        world.run_for(6 * S);
        submit_urgent_work(&mut world, 1, "blue", 2, "first");
        world.run_for(500 * MS);
        submit_urgent_work(&mut world, 2, "blue", 2, "second");
        world.run_for(12 * S);
        let leader = world.holder("leader").expect("there is a leader");
        let holder = world.holder("share/1").expect("the shard has a holder");
        assert_ne!(leader, holder);
        world.late_writes_of(holder, 8 * S);
        submit_urgent_work(&mut world, 3, "blue", 1, "second");
        world.run_for(400 * MS);
        world.downgrade(leader, 200 * MS);
        submit_urgent_work(&mut world, 4, "green", 60, "third");
        world.run_for(20 * S);
        moves += world.records.moves;
        finish_all_jobs(&mut world, &format!("late start {seed}"));
    }
    assert!(moves >= 10, "only {moves} moves");
}

/// Each controller in turn runs either version, changing back and forth, while machines move, leaders crash,
/// transactions are committed seconds late and the store is down for a while. A start is never recorded on a machine
/// that has left its shard, and all work gets done.
#[test]
fn the_leaders_version_changes_while_machines_move() {
    let mut moves = 0;
    for seed in seeds(81, 6) {
        let mut world = world_of_many_moves(seed);
        if seed % 2 == 0 {
            world.run_previous_version();
        }
        for round in 0..16 {
            submit_work_of_one_team(&mut world, round);
            world.late_writes(4 * S, 2);
            let span = S + world.pick(2 * S);
            world.run_for(span);
            let node = match world.holder("leader") {
                Some(leader) if round % 2 == 0 => leader,
                _ => world.pick(5) as usize,
            };
            let back_after = if world.chance(2) { 200 * MS } else { 3 * S };
            if world.chance(2) {
                world.downgrade(node, back_after);
            } else {
                world.upgrade(node);
            }
            if round == 9 {
                world.store_outage(6 * S);
            }
            world.run_for(3 * S);
        }
        moves += world.records.moves;
        finish_all_jobs(&mut world, &format!("versions change {seed}"));
    }
    assert!(moves >= 60, "only {moves} moves");
}
