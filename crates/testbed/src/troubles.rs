//! Plans of troubles, drawn from a seed or read from a file, and how they are brought about.

use crate::cluster::Cluster;
use crate::link::{Gate, Passage};
use crate::worker::WorkerTrouble;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use std::io;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// What goes wrong. A controller is named by its number, modulo their count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Trouble {
    /// A controller's process is killed, and started again at the end.
    ControllerDown(usize),
    /// It stands still.
    ControllerPaused(usize),
    /// The store refuses it alone.
    StateRefusesOne(usize),
    /// Its link to the store holds everything back.
    StateHeld(usize),
    /// It loses store and siblings, not its workers.
    StateAndSiblingsReset(usize),
    /// The same, and workers reach nobody but it, by their heartbeats: whoever takes over can't reach the machines.
    WorkersReachOnly(usize),
    /// Its links to siblings are reset.
    SiblingsReset(usize),
    /// No worker reaches it, and what was sent is held back.
    WorkersHeld(usize),
    /// The store refuses everybody.
    StateDown,
    /// One in four transactions gets no answer and is carried out late.
    LateWrites,
    /// The cloud refuses everybody.
    CloudDown,
    /// One in so many machines, beginning with the first, has this trouble.
    Workers(usize, WorkerTrouble),
}

/// A trouble with its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Planned {
    /// When it begins, counted from the first jobs' start.
    pub at_ms: u64,
    /// How long it lasts.
    pub for_ms: u64,
    /// What it is.
    pub trouble: Trouble,
}

const LATE_ONE_IN: u64 = 4;
/// Most troubles that meet.
const MEET_MOST: usize = 3;
/// A process that is back at once, also in an election.
const BACK_AT_ONCE_MS: u64 = 200;
/// So many changes of the leader in a series.
const SERIES: u64 = 4;

/// Draws a plan: groups of two or three troubles that overlap, some of them a series of controllers that end.
pub fn draw(seed: u64, span: Duration, lease: Duration, cancel: Duration) -> Vec<Planned> {
    let mut rng = StdRng::seed_from_u64(seed);
    let (span, lease, cancel) = (span.as_millis() as u64, lease.as_millis() as u64, cancel.as_millis() as u64);
    let mut plan = Vec::new();
    let mut at = 0;
    while at < span {
        for _ in 0..rng.random_range(2..=MEET_MOST) {
            let begins = at + rng.random_range(0..2000);
            let for_ms = match rng.random_range(0..3) {
                0 => rng.random_range(500..3000),
                1 => rng.random_range(lease / 2..lease * 2),
                _ => rng.random_range(cancel..cancel * 5 / 4),
            };
            plan.push(Planned { at_ms: begins, for_ms, trouble: draw_trouble(&mut rng) });
        }
        if rng.random_range(0..3) == 0 {
            let series = (0..SERIES).map(|n| Planned {
                at_ms: at + n * 1500,
                for_ms: BACK_AT_ONCE_MS + n * 300,
                trouble: Trouble::ControllerDown(n as usize),
            });
            plan.extend(series);
        }
        at += cancel + rng.random_range(0..cancel / 2);
    }
    plan.sort_by_key(|planned| planned.at_ms);
    plan
}

fn draw_trouble(rng: &mut StdRng) -> Trouble {
    let node = rng.random_range(0..5);
    let part = rng.random_range(2..5);
    match rng.random_range(0..16) {
        0 => Trouble::ControllerDown(node),
        1 => Trouble::ControllerPaused(node),
        2 | 3 => Trouble::StateRefusesOne(node),
        4 => Trouble::StateHeld(node),
        5 => Trouble::StateAndSiblingsReset(node),
        6 => Trouble::SiblingsReset(node),
        7 => Trouble::WorkersHeld(node),
        8 | 9 => Trouble::StateDown,
        10 => Trouble::LateWrites,
        11 => Trouble::CloudDown,
        14 | 15 => Trouble::WorkersReachOnly(node),
        12 => Trouble::Workers(part, [WorkerTrouble::Hung, WorkerTrouble::LateCommands][node % 2]),
        _ => Trouble::Workers(part, [WorkerTrouble::Deaf, WorkerTrouble::Mute][node % 2]),
    }
}

/// Begins a trouble, or ends it.
pub fn bring_about(cluster: &mut Cluster, planned: &Planned, begins: bool) -> io::Result<()> {
    let duration = Duration::from_millis(planned.for_ms);
    let labels = cluster.labels();
    let label = |n: usize| labels[n % labels.len()].clone();
    let set = |gate: &Gate, passage| gate.set(if begins { passage } else { Passage::Open });
    match planned.trouble {
        Trouble::ControllerDown(n) if begins => cluster.kill_controller(&label(n)),
        Trouble::ControllerDown(n) => return cluster.revive_controller(&label(n)),
        Trouble::ControllerPaused(n) => cluster.pause_controller(&label(n), begins),
        Trouble::StateRefusesOne(n) => cluster.links(&label(n)).refused.store(begins, Ordering::SeqCst),
        Trouble::StateHeld(n) => set(&cluster.links(&label(n)).state, Passage::Held),
        Trouble::StateAndSiblingsReset(n) => {
            let links = cluster.links(&label(n));
            set(&links.state, Passage::Reset);
            set(&links.siblings, Passage::Reset);
        }
        Trouble::WorkersReachOnly(n) => {
            for other in &labels {
                let links = cluster.links(other);
                if *other == label(n) {
                    set(&links.state, Passage::Held);
                    set(&links.siblings, Passage::Reset);
                } else {
                    set(&links.workers, Passage::Reset);
                }
            }
            if begins {
                cluster.cloud.trouble_one_in(1, WorkerTrouble::Unreachable, duration);
            }
        }
        Trouble::SiblingsReset(n) => set(&cluster.links(&label(n)).siblings, Passage::Reset),
        Trouble::WorkersHeld(n) => set(&cluster.links(&label(n)).workers, Passage::Held),
        Trouble::StateDown => cluster.state.set_down(begins),
        Trouble::LateWrites => cluster.state.set_late(if begins { LATE_ONE_IN } else { 0 }, Duration::from_secs(3)),
        Trouble::CloudDown => cluster.cloud.set_down(begins),
        Trouble::Workers(one_in, trouble) if begins => cluster.cloud.trouble_one_in(one_in, trouble, duration),
        Trouble::Workers(..) => {}
    }
    Ok(())
}
