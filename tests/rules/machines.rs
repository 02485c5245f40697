//! Machines that hang, die, fail their tasks or receive nothing, and old heartbeats that arrive late.

use super::world::{MS, S, SMALL, Size, World};
use super::{cancel_services, finish_all_jobs, policy_keeping_idle_machines, seeds, submit_mixed_jobs};
use burlhatch::protocol::user::JobKind;
use burlhatch::types::MachineId;

#[test]
fn machines_hang_die_and_fail_tasks() {
    // With seed 4036 a gang, the only job left, was placed on the faulty machine again and again.
    for seed in seeds(4, 6).chain([4036]) {
        let mut world = World::new(seed);
        submit_mixed_jobs(&mut world, 30);
        for round in 0..6 {
            world.run_for(8 * S);
            let nth = world.pick(9) as usize;
            match round % 3 {
                0 => {
                    let span = (2 + world.pick(30)) * S;
                    world.hang(nth, span);
                }
                1 => world.kill_machine(nth),
                _ => world.make_faulty(nth),
            }
        }
        finish_all_jobs(&mut world, &format!("machines {seed}"));
    }
}

/// A machine that can send but receives nothing is never silent. It must still be detected, get no further work and be
/// replaced with proof that its tasks ended; they run elsewhere, once.
#[test]
fn a_machine_that_receives_nothing_is_replaced() {
    for seed in seeds(6, 4) {
        let mut world = World::new(seed);
        submit_mixed_jobs(&mut world, 30);
        world.run_for(10 * S);
        let nth = world.pick(5) as usize;
        let unreachable = world.make_unreachable(nth, 300 * S).expect("a machine");
        world.run_for(25 * S);
        assert!(!world.agents.contains_key(&unreachable), "{seed}: {unreachable} is still there");
        finish_all_jobs(&mut world, &format!("unreachable machine {seed}"));
    }
}

/// When no machine can be reached, the controllers' own network is at fault: deleting all machines would make it worse.
#[test]
fn many_machines_that_receive_nothing_are_kept() {
    let size = Size { machines: 20, capacity: 24, ..SMALL };
    let mut world = World::sized(8, policy_keeping_idle_machines(), size);
    for n in 0..6 {
        let team = ["red", "blue", "green"][n as usize % 3];
        world.submit(n + 1, World::spec(JobKind::Service, team, 2, 1.0));
    }
    world.run_for(30 * S);
    let before: Vec<MachineId> = world.agents.keys().cloned().collect();
    for nth in 0..before.len() {
        world.make_unreachable(nth, 15 * S);
    }
    world.run_for(20 * S);
    let lost = before.iter().filter(|id| !world.agents.contains_key(id)).count();
    assert!(lost <= 1, "{lost} machines were deleted");
    cancel_services(&mut world);
    finish_all_jobs(&mut world, "all machines unreachable");
}

/// Late copies of heartbeats prove nothing: no deleted machine reappears in the stored records, no lease counts as
/// renewed, and no task as absent.
#[test]
fn late_copies_of_heartbeats_prove_nothing() {
    for seed in seeds(7, 6) {
        let mut world = World::new(seed);
        world.heartbeat_copies = 2;
        submit_mixed_jobs(&mut world, 30);
        for round in 0..6 {
            world.run_for(6 * S);
            let (nth, node) = (world.pick(9) as usize, world.pick(3) as usize);
            match round % 3 {
                0 => world.kill_machine(nth),
                1 => world.crash(node, 300 * MS),
                _ => world.hang(nth, 12 * S),
            }
        }
        finish_all_jobs(&mut world, &format!("copies {seed}"));
        world.heartbeat_copies = 0;
        world.run_for(100 * S);
        let recorded_but_deleted: Vec<MachineId> =
            world.stored_machines().into_iter().filter(|id| !world.agents.contains_key(id)).collect();
        assert!(recorded_but_deleted.is_empty(), "{seed}: recorded but deleted: {recorded_but_deleted:?}");
    }
}
