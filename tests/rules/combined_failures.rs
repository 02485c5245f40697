//! Two or more failures at the same time. Most rules that were violated in recorded incidents were violated when two
//! failures coincided; each test here combines such failures. Cancellations combined with outages are in
//! `cancellations.rs`.

use super::world::{Endpoint, MS, S, SMALL, Size, World};
use super::{finish_all_jobs, policy_keeping_idle_machines, seeds, submit_mixed_jobs};
use burlhatch::protocol::user::JobKind;
use burlhatch::settings::Policy;
use burlhatch::types::{JobId, MachineId};
use std::collections::BTreeSet;

/// Cancels unfinished jobs, each with a probability of one in `one_in`.
fn cancel_some(world: &mut World, one_in: u32) {
    let ids: Vec<JobId> = world.jobs.keys().cloned().collect();
    for id in ids {
        if world.chance(one_in) {
            world.cancel_job(&id);
        }
    }
}

/// All controllers are down for longer than a lease: the agents have killed all tasks and begun new incarnations, while
/// the stored records still show starts. Then one controller returns first and the others later, or all return just
/// after the first has crashed again. Starts of earlier incarnations must count as ended, and their late heartbeats
/// must be ignored.
#[test]
fn all_controllers_are_down_for_longer_than_a_lease() {
    for seed in seeds(30, 4) {
        let mut world = World::new(seed);
        world.heartbeat_copies = 8;
        submit_mixed_jobs(&mut world, 30);
        world.run_for(20 * S);
        for node in 0..3 {
            world.crash(node, 23 * S + node as u64 * (seed % 2) * 15 * S);
        }
        world.run_for(25 * S);
        let first = world.holder("leader").unwrap_or(0);
        world.crash(first, 300 * MS);
        world.run_for(5 * S);
        cancel_some(&mut world, 4);
        finish_all_jobs(&mut world, &format!("all controllers down {seed}"));
    }
}

/// A team is at its quota when the leader and the holder of the team's shard change, while some of its machines are
/// unreachable and jobs are cancelled. What an earlier holder started counts until it is proven absent, also on
/// machines that can't be reached.
#[test]
fn a_team_at_its_quota_as_its_shard_changes_holders() {
    for seed in seeds(31, 4) {
        let mut world = World::with_policy(seed, policy_keeping_idle_machines());
        for n in 0..16 {
            let mut spec = World::spec(JobKind::Array, ["red", "blue"][n as usize % 2], 4, 2.0);
            spec.estimated_runtime_s = 25.0;
            world.submit(n + 1, spec);
        }
        world.run_for(22 * S);
        let lost: BTreeSet<MachineId> = (0..3).filter_map(|n| world.nth_agent(n * 2)).collect();
        let hold = seed % 2 == 0;
        world.cut(28 * S, hold, move |a, _| matches!(a, Endpoint::Agent(id) if lost.contains(id)));
        for role in ["leader", "share/0", "share/1"] {
            if let Some(node) = world.holder(role) {
                world.crash(node, 5 * S);
            }
            world.run_for(S);
        }
        cancel_some(&mut world, 2);
        finish_all_jobs(&mut world, &format!("quota {seed}"));
    }
}

/// Jobs bound to one zone, among them arrays, repeatedly lose machines there, and machines of other zones may not
/// replace them. An attempt that is not proven absent still binds its job to the zone.
#[test]
fn jobs_bound_to_a_zone_lose_machines() {
    for seed in seeds(32, 4) {
        let mut world = World::new(seed);
        for n in 0..15 {
            let kind = if n % 3 == 0 { JobKind::Gang } else { JobKind::Array };
            let mut spec = World::spec(kind, ["red", "blue", "green"][n as usize % 3], 4, 1.0);
            spec.estimated_runtime_s = 20.0;
            match n % 4 {
                0 => spec.zone = Some("a".into()),
                3 => spec.spread = kind == JobKind::Array,
                _ => spec.one_zone = true,
            }
            world.submit(n + 1, spec);
        }
        world.run_for(20 * S);
        for _ in 0..5 {
            let nth = world.pick(9) as usize;
            match world.pick(3) {
                0 => world.kill_machine(nth),
                1 => world.hang(nth, 25 * S),
                _ => {
                    let lost = world.nth_agent(nth).expect("a machine");
                    world.cut(15 * S, true, move |a, _| *a == Endpoint::Agent(lost.clone()));
                }
            }
            world.run_for(6 * S);
        }
        finish_all_jobs(&mut world, &format!("zone-bound {seed}"));
    }
}

/// A transaction without an answer is sent again, and both copies may be committed, the first one seconds later and
/// after newer transactions of the same controller or of its successor. None of its preconditions may hold again by
/// then: not on a batch that was deleted, a chunk that was removed, a role with another holder, or a session that has
/// ended.
#[test]
fn transactions_without_an_answer_are_carried_out_late() {
    for seed in seeds(33, 6) {
        let mut world = World::new(seed);
        submit_mixed_jobs(&mut world, 35);
        world.run_for(8 * S);
        world.late_writes(60 * S, 4);
        for round in 0..6 {
            world.run_for(8 * S);
            let node = world.pick(3) as usize;
            match round % 3 {
                0 => world.crash(node, 300 * MS),
                1 => world.refuse_node(node, 5 * S),
                _ => cancel_some(&mut world, 6),
            }
        }
        finish_all_jobs(&mut world, &format!("late writes {seed}"));
        world.run_for(40 * S);
        let left: Vec<String> = world.stored_keys().into_iter().filter(|k| k.contains("/run/")).collect();
        assert!(left.is_empty(), "{seed}: not deleted from the stored records: {left:?}");
    }
}

/// Heartbeats of earlier times, incarnations and attempts reach the present leader; commands and their answers are
/// delayed by seconds while the machines go on.
#[test]
fn old_heartbeats_and_delayed_commands_reach_a_new_leader() {
    for seed in seeds(34, 4) {
        let mut world = World::new(seed);
        world.heartbeat_copies = 2;
        submit_mixed_jobs(&mut world, 30);
        for round in 0..8 {
            world.run_for(6 * S);
            let (nth, node) = (world.pick(9) as usize, world.pick(3) as usize);
            if let Some(id) = world.nth_agent(nth) {
                // From a few seconds to longer than a lease.
                let span = if round % 3 == 2 { 24 * S } else { 3 * S };
                world.cut(span, true, move |a, b| *a == Endpoint::Agent(id.clone()) && *b == Endpoint::Node(node));
            }
            match round % 3 {
                0 => world.crash(node, 2 * S),
                1 => world.hang(nth, 4 * S),
                _ => {}
            }
        }
        finish_all_jobs(&mut world, &format!("old heartbeats {seed}"));
    }
}

/// A leader cut off from the store and its siblings goes on with its agents while jobs are cancelled through the new
/// leader. It must neither keep cancelled tasks running nor report an older state to a user.
#[test]
fn cancelled_through_the_new_leader_while_the_old_one_still_reaches_its_agents() {
    for seed in seeds(35, 4) {
        let mut world = World::with_policy(seed, policy_keeping_idle_machines());
        for n in 0..9 {
            let mut spec = World::spec(JobKind::Array, ["red", "blue", "green"][n as usize % 3], 3, 1.0);
            spec.estimated_runtime_s = 120.0;
            world.submit(n + 1, spec);
        }
        world.run_for(20 * S);
        let old = world.holder("leader").expect("there is a leader");
        let hold = seed % 2 == 0;
        world.cut(60 * S, hold, move |a, b| {
            *a == Endpoint::Node(old) && matches!(b, Endpoint::Store | Endpoint::Node(_))
        });
        world.run_for(500 * MS);
        cancel_some(&mut world, 3);
        world.run_for(5 * S);
        cancel_some(&mut world, 2);
        world.run_for(50 * S);
        finish_all_jobs(&mut world, &format!("old leader {seed}"));
    }
}

/// There is more work than capacity, some of it urgent, and links are slow, while shards move to other controllers and
/// back: answers arrive after their callers gave up, and commands overtake each other.
#[test]
fn more_work_than_capacity_over_slow_links() {
    for seed in seeds(36, 3) {
        let mut world = World::new(seed);
        world.cloud.capacity = 9;
        submit_mixed_jobs(&mut world, 60);
        world.run_for(10 * S);
        world.slow_links(50 * S, 900 * MS);
        world.run_for(15 * S);
        world.crash(1, 300 * MS);
        world.run_for(15 * S);
        let nth = world.pick(9) as usize;
        world.hang(nth, 12 * S);
        world.crash(0, 4 * S);
        finish_all_jobs(&mut world, &format!("slow links {seed}"));
    }
}

/// The leader changes ten times in two minutes, some of these times during an outage; shards move to other controllers
/// and back. Then all controllers crash, and one returns within a second.
#[test]
fn ten_leader_changes_in_two_minutes() {
    for seed in seeds(37, 3) {
        let mut world = World::new(seed);
        submit_mixed_jobs(&mut world, 35);
        // Jobs of two or three long tasks, some of which end before a change of leader and some after it.
        for n in 0..6 {
            let mut spec = World::spec(JobKind::Array, ["red", "blue", "green"][n as usize % 3], 2 + n as u32 % 2, 1.0);
            spec.estimated_runtime_s = 60.0;
            world.submit(500 + n, spec);
        }
        world.run_for(10 * S);
        for round in 0..10 {
            if let Some(node) = world.holder("leader") {
                let back = if round % 2 == 0 { 400 * MS } else { 9 * S };
                world.crash(node, back);
            }
            if round == 4 || round == 7 {
                world.store_outage(14 * S);
            }
            if round % 3 == 1 {
                cancel_some(&mut world, 12);
            }
            world.run_for(12 * S);
        }
        for node in 0..3 {
            world.crash(node, if node == 1 { 700 * MS } else { 12 * S });
        }
        finish_all_jobs(&mut world, &format!("ten leaders {seed}"));
    }
}

/// Agents can't open connections to any controller, though direct commands reach them and are answered. Their leases
/// expire again and again, with all attempts that were sent to them in between, while a holder that counts answers
/// takes them for alive. They get no work and are replaced, unless many machines are affected.
#[test]
fn machines_that_reach_no_controller_are_replaced() {
    // With seed 38015 late copies of the machine's heartbeats were taken for new ones.
    for seed in seeds(38, 4).chain(seeds(38, 16).skip(15)) {
        let mut world = World::with_policy(seed, policy_keeping_idle_machines());
        let services: Vec<JobId> =
            (0..3).map(|n| world.submit(900 + n, World::spec(JobKind::Service, "green", 2, 1.0))).collect();
        submit_mixed_jobs(&mut world, 25);
        world.run_for(20 * S);
        let serving: Vec<usize> = (0..world.agents.len())
            .filter(|n| world.agents.values().nth(*n).is_some_and(|w| w.tasks.keys().any(|k| services.contains(&k.0))))
            .collect();
        let nth = serving.first().copied().unwrap_or(0);
        let unreported = world.drop_heartbeats(nth, 300 * S).expect("a machine");
        if seed % 2 == 1 {
            let node = world.holder("share/2").expect("the shard has a holder");
            world.crash(node, 4 * S);
        }
        world.run_for(30 * S);
        assert!(!world.agents.contains_key(&unreported), "{seed}: {unreported} is still there");
        for id in &services {
            assert_eq!(world.running(id), 2, "{seed}: {id} is not running again");
            world.cancel_job(id);
        }
        finish_all_jobs(&mut world, &format!("machine without heartbeats {seed}"));
    }
}

/// When no heartbeat of many machines arrives, the fault is not theirs, and they are kept.
#[test]
fn many_machines_that_reach_no_controller_are_kept() {
    let size = Size { machines: 20, capacity: 24, ..SMALL };
    let mut world = World::sized(39_000, policy_keeping_idle_machines(), size);
    submit_mixed_jobs(&mut world, 20);
    world.run_for(30 * S);
    let before: Vec<MachineId> = world.agents.keys().cloned().collect();
    for nth in 0..before.len() {
        world.drop_heartbeats(nth, 25 * S);
    }
    world.run_for(40 * S);
    let lost = before.iter().filter(|id| !world.agents.contains_key(id)).count();
    assert!(lost <= 1, "{lost} machines were deleted");
    finish_all_jobs(&mut world, "no machine with heartbeats");
}

/// A shard's holder crashes while machines with long tasks are unreachable for all, or reach the new holder without
/// receiving its answer, or a whole zone is cut off for longer than a lease with a controller in it.
#[test]
fn a_shard_holder_crashes_while_machines_are_unreachable() {
    for seed in seeds(40, 6) {
        let mut world = World::with_policy(seed, policy_keeping_idle_machines());
        for n in 0..9 {
            let mut spec = World::spec(JobKind::Array, ["red", "blue", "green"][n as usize % 3], 4, 1.0);
            spec.estimated_runtime_s = 40.0;
            world.submit(n + 1, spec);
        }
        submit_mixed_jobs(&mut world, 15);
        world.run_for(20 * S);
        let holder = world.holder("share/1").expect("the shard has a holder");
        match seed % 3 {
            0 => {
                let lost: BTreeSet<MachineId> = (0..2).filter_map(|n| world.nth_agent(n * 3)).collect();
                world.cut(26 * S, true, move |a, _| matches!(a, Endpoint::Agent(id) if lost.contains(id)));
            }
            1 => {
                for nth in 0..2 {
                    world.make_unreachable(nth, 30 * S);
                }
            }
            _ => {
                let zone: BTreeSet<MachineId> =
                    world.agents.iter().filter(|(_, w)| w.zone == "b").map(|(id, _)| id.clone()).collect();
                let inside = move |place: &Endpoint| match place {
                    Endpoint::Node(node) => *node == (holder + 1) % 3,
                    Endpoint::Agent(id) => zone.contains(id),
                    _ => false,
                };
                world.cut(32 * S, true, move |a, b| inside(a) != inside(b));
            }
        }
        world.run_for(300 * MS);
        world.crash(holder, 3 * S);
        world.run_for(8 * S);
        cancel_some(&mut world, 4);
        finish_all_jobs(&mut world, &format!("unreachable machines {seed}"));
    }
}

/// A cancellation, a query or a repeated submission arrives as a job's last task ends. Done and cancelled compete to be
/// the only outcome, and the one reported first stays, on every controller. Repeated submissions are answered with the
/// job's state, whatever they contain; a job that can't run or lacks a field is never accepted, also during takeovers.
#[test]
fn requests_as_the_last_task_ends_and_invalid_submissions() {
    for seed in seeds(41, 4) {
        let mut world = World::new(seed);
        world.cancel_on_completion = 2;
        world.invalid_requests = true;
        submit_mixed_jobs(&mut world, 60);
        for round in 0..5 {
            world.run_for(12 * S);
            match round {
                1 => world.late_writes(10 * S, 3),
                2 => world.crash(0, 500 * MS),
                3 => world.refuse_node(1, 6 * S),
                _ => {}
            }
        }
        finish_all_jobs(&mut world, &format!("at the end {seed}"));
        for id in world.jobs.keys().cloned().collect::<Vec<_>>() {
            let told = world.jobs[&id].reported_outcome;
            for node in 0..3 {
                if let Some(burlhatch::coordination::UserAnswer::Status(status)) = world.query_job(node, &id) {
                    assert_eq!(Some(status.state), told, "{seed}: {id} at node {node}");
                }
            }
        }
    }
}

/// Random failures, with late copies of heartbeats, late transactions and invalid submissions.
#[test]
fn random_failures_with_late_heartbeats_and_transactions() {
    for seed in seeds(42, 6) {
        let mut world = World::sized(seed, Policy::default(), Size { machines: 10, capacity: 20, ..SMALL });
        world.heartbeat_copies = 5;
        world.cancel_on_completion = 6;
        world.invalid_requests = true;
        submit_mixed_jobs(&mut world, 45);
        for _ in 0..10 {
            world.run_for(5 * S);
            let (nth, node) = (world.pick(12) as usize, world.pick(3) as usize);
            let span = (1 + world.pick(25)) * S;
            match world.pick(9) {
                0 => world.late_writes(span, 4),
                1 => drop(world.drop_heartbeats(nth, span)),
                2 => drop(world.make_unreachable(nth, span)),
                3 => cancel_some(&mut world, 10),
                4 => world.cut(span, true, move |a, b| {
                    *a == Endpoint::Node(node) && matches!(b, Endpoint::Store | Endpoint::Node(_))
                }),
                5 => world.crash(node, 300 * MS),
                6 => world.store_outage(span),
                7 => world.hang(nth, span),
                _ => world.slow_links(span, 600 * MS),
            }
        }
        finish_all_jobs(&mut world, &format!("combined failures {seed}"));
    }
}
