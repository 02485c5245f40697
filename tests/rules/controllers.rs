//! Controllers that crash, stall or lose part of the network, and outages of the store.

use super::world::{Endpoint, MS, S, World};
use super::{
    assert_no_violations, cancel_services, finish_all_jobs, policy_keeping_idle_machines, seeds, submit_mixed_jobs,
};
use burlhatch::coordination::UserAnswer;
use burlhatch::protocol::user::JobKind;
use burlhatch::types::MachineId;

#[test]
fn controllers_crash_one_after_the_other_and_all_at_once() {
    for seed in seeds(1, 4) {
        let mut world = World::new(seed);
        submit_mixed_jobs(&mut world, 30);
        for round in 0..8 {
            world.run_for(7 * S);
            let node = world.pick(3) as usize;
            // Sometimes it returns within a fraction of a second, during an election.
            let back = if world.chance(3) { 200 * MS } else { 4 * S };
            world.crash(node, back);
            if round == 5 {
                for node in 0..3 {
                    world.crash(node, 3 * S + node as u64 * S);
                }
            }
        }
        finish_all_jobs(&mut world, &format!("crashes {seed}"));
    }
}

#[test]
fn store_outages_and_refusals() {
    for seed in seeds(2, 3) {
        let mut world = World::new(seed);
        submit_mixed_jobs(&mut world, 25);
        world.run_for(10 * S);
        world.store_outage(15 * S);
        world.run_for(8 * S);
        world.crash(0, 2 * S);
        world.run_for(20 * S);
        world.refuse_node(1, 12 * S);
        world.run_for(15 * S);
        world.store_outage(5 * S);
        for node in 0..3 {
            world.crash(node, S);
        }
        finish_all_jobs(&mut world, &format!("outages {seed}"));
    }
}

#[test]
fn network_partitions_of_every_kind_with_late_delivery() {
    for seed in seeds(3, 8) {
        let mut world = World::new(seed);
        submit_mixed_jobs(&mut world, 30);
        for _ in 0..5 {
            world.run_for(6 * S);
            let node = world.pick(3) as usize;
            let hold = !world.chance(3);
            let span = (2 + world.pick(28)) * S;
            match world.pick(4) {
                0 => world.cut(span, hold, move |a, b| *a == Endpoint::Node(node) && *b == Endpoint::Store),
                1 => world.cut(span, hold, move |a, b| *a == Endpoint::Node(node) && matches!(b, Endpoint::Agent(_))),
                2 => world.cut(span, hold, move |a, b| *a == Endpoint::Node(node) && !matches!(b, Endpoint::Node(_))),
                _ => {
                    let nth = world.pick(9) as usize;
                    if let Some(id) = world.nth_agent(nth) {
                        let cut_off_machine: MachineId = id;
                        world.cut(span, hold, move |a, _| *a == Endpoint::Agent(cut_off_machine.clone()));
                    }
                }
            }
        }
        finish_all_jobs(&mut world, &format!("partitions {seed}"));
    }
}

/// A controller that loses contact with all machines at once must not take them for dead: it releases its shard to a
/// sibling, and the services run on.
#[test]
fn a_controller_cut_off_from_the_machines_deletes_none() {
    for node in 0..3 {
        let mut world = World::new(7);
        for n in 0..6 {
            let team = ["red", "blue", "green"][n as usize % 3];
            world.submit(n + 1, World::spec(JobKind::Service, team, 2, 1.0));
        }
        world.run_for(40 * S);
        let before: Vec<MachineId> = world.agents.keys().cloned().collect();
        let started = world.started;
        world.cut(30 * S, true, move |a, b| *a == Endpoint::Node(node) && matches!(b, Endpoint::Agent(_)));
        world.run_for(35 * S);
        assert!(before.iter().filter(|id| !world.agents.contains_key(id)).count() <= 1, "machines were deleted");
        assert!(world.started <= started + 2, "services were restarted");
        assert_no_violations(&world, "cut off");
    }
}

/// A controller without store and siblings goes on answering its agents, as in an outage, until its successor has
/// reached them. Its users are answered at once that it is unavailable, and nothing is lost.
#[test]
fn a_controller_that_reaches_only_its_agents_loses_no_work() {
    for node in 0..3 {
        let mut world = World::with_policy(30 + node as u64, policy_keeping_idle_machines());
        let mut ids = Vec::new();
        for n in 0..9 {
            let team = ["red", "blue", "green"][n as usize % 3];
            let kind = if n < 6 { JobKind::Service } else { JobKind::Array };
            ids.push(world.submit(n + 1, World::spec(kind, team, 2, 1.0)));
        }
        world.run_for(20 * S);
        let machines: Vec<MachineId> = world.agents.keys().cloned().collect();
        let started = world.started;
        world.cut(45 * S, true, move |a, b| *a == Endpoint::Node(node) && *b == Endpoint::Store);
        world.run_for(6 * S);
        assert_eq!(world.unheld_shards(), 0, "its shards are taken over");
        let answer = world.query_job(node, &ids[0]);
        assert!(matches!(answer, Some(UserAnswer::Unavailable { retry_after_s: 1.. })), "{answer:?}");
        world.run_for(42 * S);
        assert!(machines.iter().all(|id| world.agents.contains_key(id)), "machines were deleted");
        assert!(world.started <= started + 6, "running services were started again");
        cancel_services(&mut world);
        finish_all_jobs(&mut world, &format!("alone {node}"));
    }
}

/// Controllers and machines return within a fraction of a second, also during an election: no shard is without a holder
/// for longer than an election takes.
#[test]
fn controllers_and_machines_that_return_within_a_fraction_of_a_second() {
    for seed in seeds(8, 4) {
        let mut world = World::new(seed);
        submit_mixed_jobs(&mut world, 30);
        world.run_for(8 * S);
        let mut longest = 0;
        let mut unowned = 0;
        for step in 0..400 {
            if step % 25 == 0 {
                let (node, nth) = (world.pick(3) as usize, world.pick(9) as usize);
                let back = (50 + world.pick(500)) * MS;
                world.crash(node, back);
                world.hang(nth, 300 * MS);
                // Another controller crashes while the shards of the first may be changing holders.
                world.crash((node + 1) % 3, back / 2);
            }
            if step % 130 == 129 {
                let nth = world.pick(9) as usize;
                world.restart_agent(nth);
            }
            world.run_for(100 * MS);
            unowned = if world.unheld_shards() > 0 { unowned + 100 } else { 0 };
            longest = longest.max(unowned);
        }
        assert!(longest <= 6000, "{seed}: a shard was without a holder for {longest} ms");
        finish_all_jobs(&mut world, &format!("fractions {seed}"));
    }
}

/// A controller that stalls while its clocks run on resumes with a queue of outdated messages, with calls that all look
/// late and machines that all look silent, possibly after its shards were taken over.
#[test]
fn a_stalled_controller_resumes_with_outdated_messages() {
    for (seed, span) in seeds(15, 4).zip([S, 5 * S, 30 * S, 60 * S].into_iter().cycle()) {
        let mut world = World::with_policy(seed, policy_keeping_idle_machines());
        world.heartbeat_copies = 10;
        submit_mixed_jobs(&mut world, 30);
        world.run_for(20 * S);
        let leader = world.holder("leader").expect("there is a leader");
        let machines = world.stored_machines().len();
        world.freeze(leader, span);
        if seed % 2 == 1 {
            // During an outage no shard changes holders, so no controller answers the machines of the stalled one.
            world.store_outage(span + 3 * S);
        }
        world.run_for(span + 4 * S);
        let holder = world.holder("share/1").expect("the shard has a holder");
        world.freeze(holder, span);
        world.run_for(span / 2);
        world.freeze((holder + 1) % 3, span);
        world.run_for(span + 6 * S);
        assert_eq!(world.unheld_shards(), 0, "stall {seed}");
        // Machines that look silent because the controller was stalled must not be deleted.
        assert!(world.stored_machines().len() * 2 > machines, "stall {seed}: machines deleted");
        finish_all_jobs(&mut world, &format!("stall {seed}"));
    }
}
