//! Direct commands that a machine has executed and answered reach it once more, while controllers and machines are away
//! for less than a second and tasks move, are preempted or cancelled in between.

use super::world::{MS, S, SHORT_LEASES, SMALL, Size, World};
use super::{finish_all_jobs, seeds, submit_mixed_jobs};
use burlhatch::protocol::user::{JobKind, JobSpec, Priority};
use burlhatch::settings::Policy;

/// Time during which commands are repeated.
const SPAN: u64 = 90 * S;
/// Number of copies of each message, and the time after which one arrives at most.
const COPIES: u32 = 8;
const MAX_DELAY: u64 = 20 * S;

/// Waiting tasks move to other shards at once. With `forgets_soon`, agents get a new fencing token, and are told to
/// forget exited tasks, as soon as there are any.
fn busy_policy(forgets_soon: bool) -> Policy {
    let lending = Policy { lend_after_ms: 500, ..Policy::default() };
    if forgets_soon { Policy { exited_mean: 1.0, exited_every_ms: 0, ..lending } } else { lending }
}

/// Low work that fills the machines, and urgent work that preempts it.
fn submit_preempting_jobs(world: &mut World) {
    for n in 0..12 {
        let team = ["red", "blue", "green"][n % 3];
        let is_urgent = n % 2 == 1;
        let priority = if is_urgent { Priority::High } else { Priority::Low };
        let id = world.submit(500 + n as u64, JobSpec { priority, ..World::spec(JobKind::Array, team, 6, 2.0) });
        let at = world.now + n as u64 * 4 * S;
        if let Some(job) = world.jobs.get_mut(&id) {
            job.submitted = at;
        }
    }
}

/// Guards against a task that runs on two machines, or again after its cancellation, because a start command that was
/// executed and answered before reached its machine once more.
#[test]
fn commands_that_were_executed_and_answered_arrive_again() {
    let (mut accepted, mut starts_of_ended, mut worlds) = (0, 0, 0);
    // On the last seed a team exceeded its limit, as a lent task started again on another machine.
    for seed in seeds(160, 16).chain([160_046]) {
        let size = Size { machines: 6, capacity: 8, times: SHORT_LEASES, ..SMALL };
        let mut world = World::sized(seed, busy_policy(seed % 2 == 0), size);
        world.cancel_on_acceptance = 6;
        world.cancel_on_completion = 6;
        submit_mixed_jobs(&mut world, 30);
        submit_preempting_jobs(&mut world);
        world.repeat_commands(SPAN, COPIES, 10 * MS..MAX_DELAY);
        let end = world.now + SPAN;
        while world.now < end {
            let pause = world.pick(3 * S);
            world.run_for(500 * MS + pause);
            let (node, nth) = (world.pick(3) as usize, world.pick(8) as usize);
            let blink = 50 * MS + world.pick(900 * MS);
            match world.pick(6) {
                0 => world.crash(node, blink),
                1 => (0..3).for_each(|node| world.crash(node, blink)),
                2 => world.freeze(node, blink),
                3 => world.hang(nth, blink),
                4 => world.hang(nth, SHORT_LEASES.lease),
                _ => drop(world.drop_heartbeats(nth, 3 * S)),
            }
        }
        world.run_for(MAX_DELAY);
        finish_all_jobs(&mut world, &format!("repeated commands {seed}"));
        worlds += 1;
        accepted += world.repeated_commands.accepted;
        starts_of_ended += world.repeated_commands.starts_of_ended;
    }
    assert!(accepted > 40 * worlds, "only {accepted} copies were accepted");
    assert!(starts_of_ended > 10 * worlds, "only {starts_of_ended} starts in them were for attempts that had ended");
}
