//! Cancellations combined with other failures: after a user was told that a job is cancelled, nothing of it may run
//! beyond the time limit for cancellations.

use super::world::{CANCEL_S, Endpoint, LARGE, MS, S, SHORT_LEASES, SLOW_HEARTBEATS, SMALL, Size, TIMES, Times, World};
use super::{assert_no_violations, finish_all_jobs, policy_keeping_idle_machines, seeds};
use burlhatch::protocol::user::{JobKind, JobState};
use burlhatch::types::JobId;

/// Submits arrays, for all teams, that run much longer than a cancellation may take.
fn submit_long_jobs(world: &mut World, count: u64, tasks: u32) -> Vec<JobId> {
    let teams = ["red", "blue", "green"];
    let ids = (0..count).map(|n| {
        let mut spec = World::spec(JobKind::Array, teams[n as usize % 3], tasks, 1.0);
        spec.estimated_runtime_s = 150.0;
        spec.spot = false;
        world.submit(n + 1, spec)
    });
    ids.collect()
}

/// Returns the agents' intervals of one of three deployments, in turn.
fn agent_times(seed: u64) -> Times {
    [TIMES, SLOW_HEARTBEATS, SHORT_LEASES][seed as usize % 3]
}

fn schedule_cancellation(world: &mut World, ids: &[JobId], delay: u64) {
    let at = world.now + delay;
    for id in ids {
        if let Some(job) = world.jobs.get_mut(id) {
            job.cancel_at = Some(at);
        }
    }
}

/// Returns how many of these cancellations a user was told of.
fn confirmed_count(world: &World, ids: &[JobId]) -> usize {
    ids.iter().filter(|id| world.jobs[*id].cancelled.is_some()).count()
}

/// Returns a small world in which long jobs of every team run, and the holder of the shard that will fail.
fn world_with_running_jobs(seed: u64) -> (World, Vec<JobId>, usize) {
    let mut world = World::with_policy(seed, policy_keeping_idle_machines());
    let ids = submit_long_jobs(&mut world, 6, 3);
    world.run_for(25 * S);
    assert!(ids.iter().all(|id| world.jobs[id].begun.is_some()), "{seed}: some jobs have not begun");
    let holder = world.holder(&format!("share/{}", seed % 3)).expect("the shard has a holder");
    (world, ids, holder)
}

/// What fails besides the store's refusal of the holder and the outage after it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ExtraFailure {
    None,
    /// Messages from the holder's siblings to it and back are delayed, or with `PeerMessagesLost` fail.
    PeerMessagesDelayed,
    PeerMessagesLost,
    /// The holder stalls, or with `HolderCrashes` crashes and restarts, possibly just after it acknowledged the
    /// cancellation.
    HolderStalls,
    HolderCrashes,
    /// Machines hang from before the cancellation until long after its time limit.
    MachinesHang,
    /// Some machines receive nothing.
    MachinesUnreachable,
    /// The refusal lasts until a sibling has taken over the holder's role, and the outage follows immediately.
    RoleTakenOver,
}

/// The store refuses only the holder of a shard while users cancel through other controllers. Then the store is down
/// for all for longer than a cancellation may take. The holder learns of outcomes through its watch, which is cut off,
/// and goes on answering its agents as in any outage, so that their leases are renewed and the cancelled tasks could
/// run on.
///
/// A direct start or stop without an answer leaves a machine in doubt; only a new fencing token would settle that, and
/// it can't be recorded in an outage.
#[test]
fn cancelled_while_the_store_refuses_the_shard_holder_and_then_is_down() {
    let extra_failures = [
        ExtraFailure::None,
        ExtraFailure::PeerMessagesDelayed,
        ExtraFailure::PeerMessagesLost,
        ExtraFailure::HolderStalls,
        ExtraFailure::HolderCrashes,
        ExtraFailure::MachinesHang,
        ExtraFailure::MachinesUnreachable,
        ExtraFailure::RoleTakenOver,
    ];
    let mut confirmed_before_outage = [0; 8];
    for (seed, (n, extra_failure)) in seeds(20, 24).zip(extra_failures.into_iter().enumerate().cycle()) {
        let (mut world, ids, holder) = world_with_running_jobs(seed);
        // The cancellation comes at the time of the refusal, after it, or before it.
        match seed / 8 % 3 {
            0 => schedule_cancellation(&mut world, &ids, 0),
            1 => schedule_cancellation(&mut world, &ids, 700 * MS),
            _ => {
                schedule_cancellation(&mut world, &ids, 0);
                world.run_for(250 * MS);
            }
        }
        if extra_failure == ExtraFailure::MachinesHang {
            for nth in 0..3 {
                world.hang(nth, (CANCEL_S + 15) * S);
            }
        }
        if extra_failure == ExtraFailure::MachinesUnreachable {
            for nth in 0..2 {
                world.make_unreachable(nth, (CANCEL_S + 15) * S);
            }
        }
        if matches!(extra_failure, ExtraFailure::PeerMessagesDelayed | ExtraFailure::PeerMessagesLost) {
            let peers =
                move |a: &Endpoint, b: &Endpoint| *a == Endpoint::Node(holder) && matches!(b, Endpoint::Node(_));
            world.cut(10 * S, extra_failure == ExtraFailure::PeerMessagesDelayed, peers);
        }
        world.refuse_node(holder, 14 * S);
        let until_outage = if extra_failure == ExtraFailure::RoleTakenOver { 5 * S } else { 2 * S };
        world.run_for(until_outage);
        world.store_outage((CANCEL_S + 20) * S);
        confirmed_before_outage[n] += confirmed_count(&world, &ids);
        match extra_failure {
            ExtraFailure::HolderStalls => world.freeze(holder, 30 * S),
            ExtraFailure::HolderCrashes => world.crash(holder, 300 * MS),
            _ => {}
        }
        world.run_for((CANCEL_S + 25) * S);
        assert_no_violations(&world, &format!("refusal and outage, {extra_failure:?} {seed}"));
        finish_all_jobs(&mut world, &format!("refusal and outage, {extra_failure:?} {seed}"));
    }
    // Without the holder's acknowledgement, cancellations of its jobs are not confirmed; those of other jobs are.
    assert!(
        confirmed_before_outage.iter().all(|count| *count > 0),
        "confirmed before the outage: {confirmed_before_outage:?}"
    );
}

/// If the siblings can't reach the holder but all reach the store, users don't wait for the holder's acknowledgement:
/// the remaining records of a job prove the same.
#[test]
fn without_peer_messages_the_stored_records_confirm_cancellations() {
    for seed in seeds(21, 3) {
        let (mut world, ids, _) = world_with_running_jobs(seed);
        world.cut(80 * S, false, |a, b| matches!((a, b), (Endpoint::Node(_), Endpoint::Node(_))));
        schedule_cancellation(&mut world, &ids, 0);
        world.run_for(20 * S);
        assert_eq!(confirmed_count(&world, &ids), ids.len(), "{seed}: not all cancellations were confirmed");
        finish_all_jobs(&mut world, &format!("no peer messages {seed}"));
    }
}

/// While a job with hundreds of tasks is cancelled, more machines hang at once than are taken for lost. They resume
/// after the time limit, and nothing can be recorded meanwhile. Machines that are not proven idle are deleted, the
/// others stay.
#[test]
fn hundreds_of_tasks_are_cancelled_as_their_machines_hang() {
    let mut world = World::sized(22_000, policy_keeping_idle_machines(), Size { machines: 60, capacity: 70, ..LARGE });
    let mut spec = World::spec(JobKind::Array, "green", 200, 1.0);
    spec.estimated_runtime_s = 200.0;
    let id = world.submit(1, spec);
    world.run_for(30 * S);
    schedule_cancellation(&mut world, std::slice::from_ref(&id), 0);
    for nth in 0..25 {
        world.hang(nth * 2, (CANCEL_S + 10) * S);
    }
    world.run_for(2 * S);
    assert_eq!(world.jobs[&id].reported_outcome, Some(JobState::Cancelled));
    let machines = world.agents.len();
    world.store_outage((CANCEL_S + 20) * S);
    world.run_for((CANCEL_S + 25) * S);
    assert_no_violations(&world, "hundreds of tasks");
    assert!(world.agents.len() * 2 >= machines, "machines deleted: {} of {machines} left", world.agents.len());
    finish_all_jobs(&mut world, "hundreds of tasks");
}

/// A successor finds cancelled jobs in the stored records whose tasks run on machines that only the former holder can
/// reach. That controller is cut off from everything else and goes on answering its agents. Then the store is down too,
/// so that the deletion of the machines can't be recorded. The time by which they must be deleted follows from the time
/// in the stored records.
#[test]
fn a_successor_that_cannot_reach_the_machines_deletes_them_in_time() {
    for seed in seeds(23, 16) {
        let mut world = World::sized(seed, policy_keeping_idle_machines(), Size { machines: 8, ..SMALL });
        let ids = submit_long_jobs(&mut world, 6, 3);
        world.run_for(25 * S);
        let holder = world.holder(&format!("share/{}", seed % 3)).expect("the shard has a holder");
        isolate_with_agents(&mut world, holder, (CANCEL_S + 30) * S, seed);
        schedule_cancellation(&mut world, &ids, 0);
        world.run_for(3 * S);
        assert!(confirmed_count(&world, &ids) > 0, "{seed}: no cancellation was confirmed");
        if seed % 2 == 1 {
            world.store_outage((CANCEL_S + 20) * S);
        }
        world.run_for((CANCEL_S + 27) * S);
        assert_no_violations(&world, &format!("successor {seed}"));
        finish_all_jobs(&mut world, &format!("successor {seed}"));
    }
}

/// Cuts all controllers except the holder off from the agents, and the holder off from everything but the agents. Its
/// shard is taken over by a sibling.
fn isolate_with_agents(world: &mut World, holder: usize, duration: u64, seed: u64) {
    let is_holder = move |place: &Endpoint| *place == Endpoint::Node(holder);
    world.cut(duration, true, move |a, b| match (a, b) {
        (Endpoint::Agent(_), Endpoint::Node(_)) | (Endpoint::Node(_), Endpoint::Agent(_)) => {
            !is_holder(a) && !is_holder(b)
        }
        _ => is_holder(a) || is_holder(b),
    });
    world.run_for(6 * S);
    let mut waited = 0;
    while world.unheld_shards() > 0 && waited < 2 * S {
        world.run_for(100 * MS);
        waited += 100 * MS;
    }
    assert_eq!(world.unheld_shards(), 0, "{seed}: the shard was not taken over");
}

/// The new holder of a shard can't reach the machines, and the deposed one, which knows nothing of the takeover, goes
/// on renewing their leases. After users cancel, the successors crash in an outage of the store, or the cloud is down,
/// so that no controller can delete the machines. A cancellation may only be confirmed once the machines accept
/// commands under the fencing token of a controller that knows of it.
#[test]
fn a_deposed_holder_renews_leases_and_nobody_can_delete_the_machines() {
    for seed in seeds(24, 12) {
        let times = agent_times(seed);
        let mut world = World::sized(seed, policy_keeping_idle_machines(), Size { machines: 8, times, ..SMALL });
        let ids = submit_long_jobs(&mut world, 6, 3);
        world.run_for(25 * S);
        let holder = world.holder(&format!("share/{}", seed % 3)).expect("the shard has a holder");
        isolate_with_agents(&mut world, holder, times.cancel + 40 * S, seed);
        schedule_cancellation(&mut world, &ids, 0);
        world.run_for(4 * S);
        if seed / 3 % 2 == 0 {
            world.store_outage(times.cancel + 20 * S);
            for node in (0..3).filter(|node| *node != holder) {
                world.crash(node, 4 * S);
            }
        } else {
            world.cloud_outage(times.cancel + 20 * S);
        }
        world.run_for(times.cancel + 27 * S);
        assert_no_violations(&world, &format!("deposed holder {seed}"));
        finish_all_jobs(&mut world, &format!("deposed holder {seed}"));
    }
}

/// Direct commands are late, so that machines are in doubt and their shards get one new fencing token after another. A
/// heartbeat without the current fencing token proves nothing, but its answer renews the lease and therefore has to
/// carry the stops too. The cloud is down, so nothing else ends the tasks.
#[test]
fn frequent_fencing_token_changes_do_not_delay_stops() {
    for seed in seeds(25, 6) {
        let times = agent_times(seed);
        let size = Size { machines: 60, capacity: 70, times, ..LARGE };
        let mut world = World::sized(seed, policy_keeping_idle_machines(), size);
        let mut ids = Vec::new();
        for n in 0..6 {
            let mut spec = World::spec(JobKind::Array, "green", 30, 1.0);
            spec.estimated_runtime_s = 200.0;
            spec.spot = false;
            ids.push(world.submit(n + 1, spec));
        }
        // Services are submitted and cancelled all the time, which takes direct commands.
        for n in 0..120 {
            let id = world.submit(100 + n, World::spec(JobKind::Service, "green", 4, 0.25));
            if let Some(job) = world.jobs.get_mut(&id) {
                job.submitted = world.now + 30 * S + n * 700 * MS;
                job.cancel_at = Some(job.submitted + 8 * S);
            }
        }
        world.run_for(35 * S);
        world.late_commands(times.cancel + 35 * S, 1, 2 * S..16 * S);
        world.run_for(15 * S);
        world.cloud_outage(times.cancel + 20 * S);
        schedule_cancellation(&mut world, &ids, 0);
        world.run_for(times.cancel + 20 * S);
        assert_no_violations(&world, &format!("fencing tokens {seed}"));
        finish_all_jobs(&mut world, &format!("fencing tokens {seed}"));
    }
}

/// A direct start command is delayed for longer than a cancellation may take. The store is down, so that no new fencing
/// token invalidates the command, and the cloud is down, so that its machine can't be deleted. The holder must not
/// renew the lease of the incarnation in which the start is valid.
#[test]
fn a_long_delayed_start_is_void_after_its_incarnation_ends() {
    for seed in seeds(26, 24) {
        let times = agent_times(seed);
        let mut world = World::sized(seed, policy_keeping_idle_machines(), Size { times, ..SMALL });
        // Ensures that something runs in any case.
        world.submit(50, World::spec(JobKind::Array, "green", 2, 1.0));
        world.run_for(20 * S);
        world.late_commands(4 * S, 1, times.cancel + 5 * S..times.cancel + 12 * S);
        let mut ids = Vec::new();
        for n in 0..3 {
            let spec = World::spec(JobKind::Service, ["red", "blue", "green"][n as usize % 3], 2, 1.0);
            ids.push(world.submit(n + 1, spec));
        }
        world.run_for(1500 * MS);
        schedule_cancellation(&mut world, &ids, 0);
        world.run_for(S);
        assert!(confirmed_count(&world, &ids) > 0, "{seed}: no cancellation was confirmed");
        world.store_outage(times.cancel + 20 * S);
        world.cloud_outage(times.cancel + 20 * S);
        world.run_for(times.cancel + 25 * S);
        assert_no_violations(&world, &format!("delayed start {seed}"));
        finish_all_jobs(&mut world, &format!("delayed start {seed}"));
    }
}
