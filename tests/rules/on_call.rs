//! Failures that operators met while on call: controllers cut off from part of the network, stalled controllers,
//! instances that fail to boot, low-priority work that takes all capacity, and jobs that can never succeed.

use super::world::{Endpoint, MS, S, SMALL, Size, World};
use super::{cancel_services, finish_all_jobs, policy_keeping_idle_machines, seeds, submit_mixed_jobs};
use burlhatch::coordination::UserAnswer;
use burlhatch::protocol::user::{JobKind, JobSpec, JobState, Priority};
use burlhatch::settings::Policy;
use burlhatch::types::{JobId, MachineId};

/// The interval at which a shard's holder is observed.
const POLL_INTERVAL: u64 = 20 * MS;

const TEAMS: [&str; 3] = ["red", "blue", "green"];

/// Submits services of two tasks, for each team in turn.
fn submit_services(world: &mut World, from: u64, count: u64) -> Vec<JobId> {
    (0..count).map(|n| world.submit(from + n, World::spec(JobKind::Service, TEAMS[n as usize % 3], 2, 1.0))).collect()
}

/// Returns how many of these machines were deleted.
fn count_deleted(world: &World, machines: &[MachineId]) -> usize {
    machines.iter().filter(|id| !world.agents.contains_key(id)).count()
}

/// Returns how often a shard was released or acquired within `span`.
fn changes_of_holder(world: &mut World, shard: u32, span: u64) -> usize {
    let role = format!("share/{shard}");
    let mut holder = world.holder(&role);
    let mut changes = 0;
    for _ in 0..span / POLL_INTERVAL {
        world.run_for(POLL_INTERVAL);
        let now = world.holder(&role);
        changes += usize::from(now != holder);
        holder = now;
    }
    changes
}

/// All machines of one shard hang together for longer than a controller waits for its machines. As machines of other
/// shards answer, these machines are lost and the controller is not isolated: a sibling would reach them no better, so
/// the shard must not move back and forth. In a recorded incident a shard moved back and forth seven times in forty
/// seconds.
#[test]
fn a_shard_whose_machines_all_hang_keeps_its_holder() {
    for seed in seeds(60, 4) {
        let size = Size { machines: 15, capacity: 18, ..SMALL };
        let mut world = World::sized(seed, policy_keeping_idle_machines(), size);
        submit_mixed_jobs(&mut world, 20);
        world.run_for(20 * S);
        let shard = (seed % 3) as u32;
        for id in world.machines_of_shard(shard) {
            world.hang_machine(&id, 40 * S);
        }
        let changes = changes_of_holder(&mut world, shard, 60 * S);
        assert_eq!(changes, 0, "{seed}: the shard was released or acquired {changes} times");
        cancel_services(&mut world);
        finish_all_jobs(&mut world, &format!("hanging shard {seed}"));
    }
}

/// A controller that reaches no machine releases its shards before their leases expire and deletes no machine, also
/// when that happens repeatedly: each time the services run on, and its shards only move away from it and back.
#[test]
fn a_controller_repeatedly_cut_off_from_its_agents() {
    for seed in seeds(61, 3) {
        let hold = seed % 2 == 0;
        let mut world = World::with_policy(seed, policy_keeping_idle_machines());
        submit_services(&mut world, 1, 6);
        world.run_for(30 * S);
        let (before, started) = (world.stored_machines(), world.started);
        let node = world.holder("share/1").expect("the shard has a holder");
        let mut changes = 0;
        for _ in 0..3 {
            world.cut(16 * S, hold, move |a, b| *a == Endpoint::Node(node) && matches!(b, Endpoint::Agent(_)));
            changes += changes_of_holder(&mut world, 1, 40 * S);
        }
        let lost = count_deleted(&world, &before);
        assert!(lost <= 1, "{seed}: {lost} machines were deleted");
        assert!(world.started <= started + 2, "{seed}: services were started again");
        // For each cut: released, acquired by a sibling, and the same on the way back.
        assert!(changes <= 12, "{seed}: the shard was released or acquired {changes} times in three cuts");
        cancel_services(&mut world);
        finish_all_jobs(&mut world, &format!("cut again {seed}"));
    }
}

/// Submits arrays, a gang and a service that fail on every machine after running for `fails_after`.
fn submit_failing_jobs(world: &mut World, from: u64, fails_after: u64) -> Vec<JobId> {
    let shapes =
        [(JobKind::Array, 8), (JobKind::Array, 20), (JobKind::Array, 1), (JobKind::Gang, 3), (JobKind::Service, 2)];
    let mut ids = Vec::new();
    for (n, (kind, tasks)) in shapes.into_iter().enumerate() {
        let id = world.submit(from + n as u64, World::spec(kind, TEAMS[n % 3], tasks, 1.0));
        world.jobs.get_mut(&id).expect("submitted").fails_after = Some(fails_after);
        ids.push(id);
    }
    ids
}

fn cancel_all(world: &mut World, ids: &[JobId]) {
    ids.iter().for_each(|id| world.cancel_job(id));
}

/// Jobs with a mistake fail wherever they run until their users cancel them. They are retried after growing delays and
/// one task at a time; no machine is suspected, drained or requested for them, and other jobs get done as usual.
#[test]
fn jobs_that_fail_everywhere_do_not_affect_other_jobs() {
    for seed in seeds(62, 4) {
        let mut world = World::with_policy(seed, policy_keeping_idle_machines());
        world.run_for(5 * S);
        let services = submit_services(&mut world, 900, 3);
        world.run_for(15 * S);
        let failing = submit_failing_jobs(&mut world, 1, (seed % 4) * S);
        world.run_for(60 * S);
        let starts = |world: &World| failing.iter().map(|id| world.jobs[id].starts).sum::<u32>();
        let (before, rented) = (world.agents.keys().cloned().collect::<Vec<MachineId>>(), world.cloud.machines.len());
        let (failing_starts, all_starts) = (starts(&world), world.started);
        let healthy: Vec<JobId> =
            (0..6).map(|n| world.submit(500 + n, World::spec(JobKind::Array, TEAMS[n as usize % 3], 4, 1.0))).collect();
        world.run_for(60 * S);
        let again = starts(&world) - failing_starts;
        assert!(again <= 5 * 8, "{seed}: tasks of failing jobs were started {again} times in a minute");
        assert!(world.started - all_starts >= u64::from(again) + 24, "{seed}: other jobs did not start");
        let late = healthy.iter().filter(|id| world.jobs[*id].reported_outcome != Some(JobState::Done)).count();
        assert_eq!(late, 0, "{seed}: healthy jobs are not done after a minute");
        let lost = count_deleted(&world, &before);
        assert_eq!(lost, 0, "{seed}: machines were returned or replaced");
        assert!(world.cloud.machines.len() <= rented + 1, "{seed}: instances were requested for failing jobs");
        for id in &services {
            assert_eq!(world.running(id), 2, "{seed}: {id} does not run on");
        }
        cancel_all(&mut world, &failing);
        cancel_services(&mut world);
        finish_all_jobs(&mut world, &format!("failing {seed}"));
    }
}

/// A faulty machine is detected also among jobs that fail everywhere: tasks that fail there succeed elsewhere.
#[test]
fn a_faulty_machine_is_detected_among_failing_jobs() {
    for seed in seeds(63, 4) {
        let mut world = World::with_policy(seed, policy_keeping_idle_machines());
        world.run_for(5 * S);
        let failing = submit_failing_jobs(&mut world, 1, S);
        let nth = world.pick(5) as usize;
        let faulty = world.nth_agent(nth).expect("a machine");
        world.make_faulty(nth);
        let mut number = 100;
        for _ in 0..30 {
            for team in TEAMS {
                number += 1;
                world.submit(number, World::spec(JobKind::Array, team, 3, 1.0));
            }
            world.run_for(4 * S);
        }
        assert!(!world.agents.contains_key(&faulty), "{seed}: {faulty} is still there");
        cancel_all(&mut world, &failing);
        finish_all_jobs(&mut world, &format!("faulty among failing {seed}"));
    }
}

/// All controllers crash and restart while jobs fail everywhere: the new holders learn again that these fail,
/// cancellations hold, and no record is left behind.
#[test]
fn failing_jobs_and_a_restart_of_all_controllers() {
    for seed in seeds(64, 3) {
        let mut world = World::new(seed);
        submit_mixed_jobs(&mut world, 20);
        let failing = submit_failing_jobs(&mut world, 800, S);
        world.run_for(25 * S);
        for node in 0..3 {
            world.crash(node, 2 * S + node as u64 * S);
        }
        world.run_for(15 * S);
        world.store_outage(6 * S);
        cancel_all(&mut world, &failing);
        finish_all_jobs(&mut world, &format!("failing and restart {seed}"));
    }
}

/// Returns batch work that may run on any machine, spot or not, with one task on each.
fn wide_array(team: &str, tasks: u32, run_s: f64) -> JobSpec {
    let mut spec = World::spec(JobKind::Array, team, tasks, 4.0);
    spec.estimated_runtime_s = run_s;
    spec
}

/// Spot instances are the cheapest, and none that is requested ever boots. Ordinary ones are requested soon, and spot
/// instances are not requested again and again.
#[test]
fn ordinary_instances_are_requested_if_spot_instances_never_boot() {
    for seed in seeds(65, 4) {
        let size = Size { machines: 1, capacity: 24, ..SMALL };
        let mut world = World::sized(seed, Policy::default(), size);
        world.cloud.spot_never_boots = true;
        world.cloud.never_up = 0;
        world.run_for(5 * S);
        let ids: Vec<JobId> = (0..3).map(|n| world.submit(n + 1, wide_array("green", 6, 20.0))).collect();
        // Long before the instances that don't boot are abandoned, which is after 30 s.
        world.run_for(25 * S);
        assert!(world.cloud.created_instances[0] > 0, "{seed}: no ordinary instance was requested");
        world.run_for(125 * S);
        let done = ids.iter().filter(|id| world.jobs[*id].reported_outcome == Some(JobState::Done)).count();
        assert_eq!(done, 3, "{seed}: {done} of 3 done after 150 s");
        let [_, spot] = world.cloud.created_instances;
        assert!(spot <= 30, "{seed}: {spot} spot instances were requested in vain");
        finish_all_jobs(&mut world, &format!("spot instances {seed}"));
    }
}

/// Machines that boot in several times the usual time are used or returned, and none is left without a record.
/// Meanwhile others are requested in their place, within bounds. The leader stalls while they boot.
#[test]
fn machines_that_come_up_late_are_used_or_returned() {
    for seed in seeds(66, 4).chain(seeds(66, 9).skip(8)) {
        let size = Size { machines: 2, capacity: 40, ..SMALL };
        let mut world = World::sized(seed, Policy::default(), size);
        world.cloud.boot_percent = 200 + 100 * (seed % 3);
        world.run_for(5 * S);
        for n in 0..6 {
            world.submit(n + 1, wide_array(TEAMS[n as usize % 3], 4, 20.0));
        }
        world.run_for(12 * S);
        let leader = world.holder("leader").expect("there is a leader");
        world.freeze(leader, 6 * S);
        world.run_for(60 * S);
        let rented: usize = world.cloud.created_instances.iter().sum();
        assert!(rented <= 60, "{seed}: {rented} instances were requested for 24 tasks");
        world.cloud.boot_percent = 100;
        finish_all_jobs(&mut world, &format!("late boots {seed}"));
        world.run_for(120 * S);
        let recorded = world.stored_machines();
        let unrecorded: Vec<&MachineId> = world.agents.keys().filter(|id| !recorded.contains(id)).collect();
        assert!(unrecorded.is_empty(), "{seed}: running without a record: {unrecorded:?}");
    }
}

/// A huge array of short tasks is submitted just after larger work of the same low priority that fills all machines. It
/// starts before the part of that work that has not begun.
#[test]
fn a_huge_array_of_short_tasks_starts_before_larger_waiting_work() {
    for seed in seeds(67, 3) {
        let mut world = World::sized(seed, Policy::default(), Size { machines: 8, capacity: 8, ..SMALL });
        world.run_for(5 * S);
        for n in 0..4 {
            world.submit(n + 1, with_low_priority(wide_array("green", 300, 60.0)));
        }
        world.run_for(10 * S);
        let mut spec = with_low_priority(World::spec(JobKind::Array, "green", 1500, 1.0));
        spec.estimated_runtime_s = 1.0;
        let huge = world.submit(100, spec);
        world.run_for(400 * S);
        assert_eq!(world.jobs[&huge].reported_outcome, Some(JobState::Done), "{seed}: not done after 400 s");
        assert!(world.violations.is_empty(), "{seed}: {:?}", world.violations);
    }
}

fn with_low_priority(spec: JobSpec) -> JobSpec {
    JobSpec { priority: Priority::Low, ..spec }
}

/// Long work of the lowest priority holds all available machines: those of its own shard, which other work of its team
/// shares, and those of the other shards, whose idle machines moved to it. Work of normal priority of all teams still
/// gets capacity; the low-priority work loses no more than that takes, and its machines are returned when it has ended.
#[test]
fn teams_get_capacity_though_low_priority_work_holds_all_machines() {
    for seed in seeds(68, 4) {
        let mut world = World::sized(seed, Policy::default(), Size { machines: 8, capacity: 8, ..SMALL });
        world.run_for(5 * S);
        let low_priority_jobs: Vec<JobId> =
            (0..3).map(|n| world.submit(n + 1, with_low_priority(wide_array("green", 12, 200.0)))).collect();
        world.run_for(40 * S);
        let held = world.agents.values().filter(|w| !w.tasks.is_empty()).count();
        assert!(held >= 7, "{seed}: low-priority work holds only {held} machines");
        let normal: Vec<JobId> =
            (0..3).map(|n| world.submit(100 + n, World::spec(JobKind::Array, TEAMS[n as usize], 3, 1.0))).collect();
        world.run_for(45 * S);
        for id in &normal {
            let job = &world.jobs[id];
            let waited = job.begun.map(|at| (at - job.submitted) / S);
            assert!(waited.is_some_and(|s| s <= 30), "{seed}: {id} began after {waited:?} s");
        }
        let left = world.agents.values().filter(|w| w.tasks.keys().any(|k| low_priority_jobs.contains(&k.0))).count();
        assert!(left >= 4, "{seed}: low-priority work is left with {left} machines");
        for id in &low_priority_jobs {
            world.cancel_job(id);
        }
        finish_all_jobs(&mut world, &format!("capacity {seed}"));
        world.run_for(400 * S);
        assert!(world.agents.len() <= 6, "{seed}: {} machines are kept", world.agents.len());
    }
}

/// The same within a shard that holds all machines: normal-priority work beyond its team's guaranteed quota preempts
/// low-priority work after half a minute, and that goes on where there is capacity.
#[test]
fn normal_priority_preempts_low_priority_within_a_shard() {
    for seed in seeds(73, 3) {
        let mut world = World::sized(seed, Policy::default(), Size { machines: 6, capacity: 6, ..SMALL });
        world.run_for(5 * S);
        let low_priority = world.submit(1, with_low_priority(wide_array("green", 20, 300.0)));
        world.run_for(40 * S);
        assert!(world.running(&low_priority) >= 6, "{seed}: {} low-priority tasks run", world.running(&low_priority));
        let normal = world.submit(100, World::spec(JobKind::Array, "green", 3, 1.0));
        world.run_for(40 * S);
        assert!(world.jobs[&normal].begun.is_some(), "{seed}: not begun after 40 s");
        assert!(
            world.running(&low_priority) >= 5,
            "{seed}: {} low-priority tasks are left",
            world.running(&low_priority)
        );
        world.cancel_job(&low_priority);
        finish_all_jobs(&mut world, &format!("preemption {seed}"));
    }
}

/// Low-priority jobs of one task arrive faster than the store takes changes for them, with some seeds also during an
/// outage. Services start in time, all jobs get done, and a job costs at most five changes: its batch and the removal
/// of that (which jobs that arrive together share), its start, its outcome, and the removal of its chunk.
#[test]
fn many_single_task_jobs_leave_write_budget_to_services() {
    for seed in seeds(69, 3) {
        let size = Size { machines: 16, capacity: 20, write_rps: 20.0, ..SMALL };
        let mut world = World::sized(seed, policy_keeping_idle_machines(), size);
        world.run_for(10 * S);
        let changes = world.changes();
        let mut services = Vec::new();
        for n in 0..300 {
            let mut spec = with_low_priority(World::spec(JobKind::Array, "green", 1, 0.25));
            spec.estimated_runtime_s = 4.0;
            world.submit(n + 1, spec);
            if n % 60 == 30 {
                services.push(world.submit(900 + n, World::spec(JobKind::Service, TEAMS[n as usize / 60 % 3], 1, 1.0)));
            }
            if n == 200 && seed % 3 == 1 {
                world.store_outage(6 * S);
            }
            world.run_for(100 * MS);
        }
        world.run_for(20 * S);
        let late: Vec<_> = services.iter().map(|id| &world.jobs[id]).filter(|j| j.begun.is_none()).collect();
        assert!(late.is_empty(), "{seed}: {} services did not start", late.len());
        cancel_services(&mut world);
        finish_all_jobs(&mut world, &format!("single tasks {seed}"));
        let each = (world.changes() - changes) as f64 / 300.0;
        assert!(each <= 5.2, "{seed}: {each} changes for each job");
    }
}

/// A connection that a controller loses.
#[derive(Clone, Copy, Debug)]
enum LostConnection {
    Everything,
    KeyValueStore,
    Agents,
    Siblings,
    /// The store refuses this controller only.
    Refused,
}

const LOST_CONNECTIONS: [LostConnection; 5] = [
    LostConnection::Everything,
    LostConnection::KeyValueStore,
    LostConnection::Agents,
    LostConnection::Siblings,
    LostConnection::Refused,
];

fn cut_connection(world: &mut World, node: usize, lost_connection: LostConnection, span: u64, hold: bool) {
    let controller = Endpoint::Node(node);
    match lost_connection {
        LostConnection::Everything => world.cut(span, hold, move |a, _| *a == controller),
        LostConnection::KeyValueStore => world.cut(span, hold, move |a, b| *a == controller && *b == Endpoint::Store),
        LostConnection::Agents => {
            world.cut(span, hold, move |a, b| *a == controller && matches!(b, Endpoint::Agent(_)));
        }
        LostConnection::Siblings => {
            world.cut(span, hold, move |a, b| *a == controller && matches!(b, Endpoint::Node(_)));
        }
        LostConnection::Refused => world.refuse_node(node, span),
    }
}

/// A controller, first the leader and then a shard's holder, loses each of its connections, for less and for more than
/// a lease, with packets delayed and with resets. Its shards have a holder within seconds, no machine is deleted
/// because of it, running tasks go on, its users are answered at once, and shards only move away from it and back.
#[test]
fn a_controller_loses_each_of_its_connections() {
    for (nth, lost_connection) in LOST_CONNECTIONS.into_iter().enumerate() {
        for (span, hold) in [(12 * S, true), (26 * S, nth % 2 == 0)] {
            let seed = 70_000 + nth as u64 * 10 + u64::from(hold);
            let name = format!("{lost_connection:?} for {} s, held: {hold}", span / S);
            let mut world = World::with_policy(seed, policy_keeping_idle_machines());
            let services = submit_services(&mut world, 1, 6);
            world.run_for(30 * S);
            let (before, started) = (world.stored_machines(), world.started);
            for role in ["leader", "share/1"] {
                let node = world.holder(role).expect("the role has a holder");
                cut_connection(&mut world, node, lost_connection, span, hold);
                world.run_for(6 * S);
                assert_eq!(world.unheld_shards(), 0, "{name}: a shard has no holder");
                if matches!(
                    lost_connection,
                    LostConnection::Everything | LostConnection::KeyValueStore | LostConnection::Refused
                ) {
                    let answer = world.query_job(node, &services[0]);
                    assert!(matches!(answer, Some(UserAnswer::Unavailable { .. })), "{name}: {answer:?}");
                }
                let changes = changes_of_holder(&mut world, 1, span + 14 * S);
                assert!(changes <= 6, "{name}: shard 1 was released or acquired {changes} times");
            }
            let lost = count_deleted(&world, &before);
            assert_eq!(lost, 0, "{name}: machines were deleted");
            assert!(world.started <= started + 2, "{name}: services were started again");
            cancel_services(&mut world);
            finish_all_jobs(&mut world, &name);
        }
    }
}

/// A controller stalls twice in a row, with transactions under way that are committed meanwhile, for less and for more
/// than its session, while boots are slow and jobs are cancelled. What it sends late is harmless, and after it resumes
/// it deletes no machine for outdated silence.
#[test]
fn a_controller_stalls_twice_during_transactions() {
    for (seed, span) in seeds(71, 4).zip([2 * S, 5 * S, 25 * S, 70 * S].into_iter().cycle()) {
        let mut world = World::with_policy(seed, policy_keeping_idle_machines());
        world.cloud.boot_percent = 300;
        submit_mixed_jobs(&mut world, 40);
        world.run_for(15 * S);
        let node = world.holder("leader").expect("there is a leader");
        let before = world.stored_machines();
        for _ in 0..2 {
            world.late_writes_of(node, S);
            world.run_for(400 * MS);
            world.freeze(node, span);
            let ids: Vec<JobId> = world.jobs.keys().take(4).cloned().collect();
            cancel_all(&mut world, &ids);
            world.run_for(span + 1500 * MS);
        }
        world.run_for(8 * S);
        assert_eq!(world.unheld_shards(), 0, "{seed}: a shard has no holder");
        let lost = count_deleted(&world, &before);
        assert!(lost <= 1, "{seed}: {lost} machines were deleted");
        finish_all_jobs(&mut world, &format!("stalls {seed}"));
    }
}

/// Status requests come a hundred times as often, at all controllers, also about ended and unknown jobs. They share
/// reads, so that requests to the store stay within its limit; leases are renewed, and all requests are answered within
/// the time of one read. In the second half one controller has lost its agents.
#[test]
fn bursts_of_status_requests_share_reads_and_cost_no_lease() {
    for seed in seeds(72, 3) {
        let mut world = World::with_policy(seed, policy_keeping_idle_machines());
        submit_mixed_jobs(&mut world, 30);
        world.run_for(20 * S);
        world.longest_response_time = 0;
        world.request_burst_size = 300;
        let requests = world.store_requests();
        world.run_for(15 * S);
        let node = world.holder("share/0").expect("the shard has a holder");
        cut_connection(&mut world, node, LostConnection::Agents, 12 * S, true);
        world.run_for(15 * S);
        let each_second = (world.store_requests() - requests) / 30;
        assert!(each_second <= 100, "{seed}: {each_second} requests a second of 200 allowed");
        assert!(world.longest_response_time <= 3 * S, "{seed}: a user waited {} ms", world.longest_response_time / MS);
        assert_eq!(world.unheld_shards(), 0, "{seed}: a session was lost");
        world.request_burst_size = 0;
        finish_all_jobs(&mut world, &format!("status requests {seed}"));
    }
}
