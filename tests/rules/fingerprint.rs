//! A fingerprint of the controllers' behaviour, to compare versions of the source that should behave alike:
//!
//!     cargo test --test rules fingerprint -- --nocapture

use super::world::{Endpoint, MS, S, World};
use super::{finish_all_jobs, seeds, submit_mixed_jobs};

/// Runs a scenario with most kinds of failures and returns the fingerprint of the controllers' effects.
fn run_with_failures(seed: u64) -> String {
    let mut world = World::new(seed);
    submit_mixed_jobs(&mut world, 25);
    world.lag_watches(200 * MS);
    world.follow_up_requests = true;
    world.cancel_on_completion = 6;
    for step in 0..8 {
        world.run_for(5 * S);
        let nth = world.pick(9) as usize;
        let node = world.pick(3) as usize;
        let span = (2 + world.pick(20)) * S;
        match (step + seed) % 8 {
            0 => world.crash(node, span.min(6 * S)),
            1 => world.store_outage(span.min(8 * S)),
            2 => world.refuse_node(node, span),
            3 => world.hang(nth, span),
            4 => world.kill_machine(nth),
            5 => world.late_writes(span, 5),
            6 => world.freeze(node, span.min(4 * S)),
            _ => world.cut(span, true, move |a, b| *a == Endpoint::Node(node) && matches!(b, Endpoint::Agent(_))),
        }
    }
    finish_all_jobs(&mut world, &format!("fingerprint {seed}"));
    world.fingerprint.to_string()
}

#[test]
fn equal_seeds_lead_to_equal_effects() {
    for seed in seeds(99, 4) {
        let fingerprint = run_with_failures(seed);
        println!("fingerprint {seed}: {fingerprint}");
        assert_eq!(run_with_failures(seed), fingerprint, "equal seeds lead to equal effects");
    }
}
