//! Plans of faults, drawn from a seed or read from a file, and the injection of these faults.
//!
//! `serde(rename)` maps the names in this file to those of the JSON form of plans.

use crate::agent::AgentFault;
use crate::cluster::Cluster;
use crate::network_proxy::{ProxyControl, ProxyMode};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use std::io;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// A fault. Controllers are given by their number, modulo the number of controllers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// A controller's process is killed, and started again when the fault ends.
    ControllerDown(usize),
    /// A controller's process is suspended.
    ControllerPaused(usize),
    /// The store refuses all requests of one controller.
    #[serde(rename = "state_refuses_one")]
    StoreRefusesOne(usize),
    /// Traffic between a controller and the store is held back until the fault ends.
    #[serde(rename = "state_held")]
    StoreHeld(usize),
    /// A controller's connections to the store and its siblings are reset; agents still reach it.
    #[serde(rename = "state_and_siblings_reset")]
    StoreAndSiblingsReset(usize),
    /// A controller's connections to its siblings are reset, and its traffic with the store is held back. Agents'
    /// heartbeats reach only this controller, and direct commands are lost, so that a sibling that takes over its roles
    /// can't reach the machines.
    #[serde(rename = "workers_reach_only")]
    AgentsReachOnly(usize),
    /// A controller's connections to its siblings are reset.
    SiblingsReset(usize),
    /// Traffic from agents to a controller is held back until the fault ends.
    #[serde(rename = "workers_held")]
    AgentsHeld(usize),
    /// The store refuses all requests.
    #[serde(rename = "state_down")]
    StoreDown,
    /// Some transactions get no response and are committed late.
    LateWrites,
    /// The cloud refuses all requests.
    CloudDown,
    /// The agents of every nth running machine, beginning with the first, have a fault. Fields: n and the fault.
    #[serde(rename = "workers")]
    Agents(usize, AgentFault),
}

/// A fault with the time and duration of its injection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlannedFault {
    /// Time at which the fault begins, counted from the time when the first task runs.
    #[serde(rename = "at_ms")]
    pub begins_at_ms: u64,
    /// Duration of the fault.
    #[serde(rename = "for_ms")]
    pub duration_ms: u64,
    /// The fault.
    #[serde(rename = "trouble")]
    pub fault: Fault,
}

/// During [`Fault::LateWrites`], one in this many transactions is late.
const LATE_TXN_INTERVAL: u64 = 4;
const LATE_TXN_DELAY: Duration = Duration::from_secs(3);
/// Direct commands are repeated at the agents of one in this many machines.
const REPEATING_AGENTS_INTERVAL: usize = 2;
/// Number of faults in a group, which overlap.
const FAULTS_PER_GROUP: std::ops::RangeInclusive<usize> = 2..=3;
/// Downtime of the first controller in a series of restarts; that of each further one is 300 ms longer. Restarts may
/// fall into an election.
const FAST_RESTART_MS: u64 = 200;
/// Number of controllers that restart one after the other in a series.
const RESTART_SERIES_LENGTH: u64 = 4;
const RESTART_SERIES_STEP_MS: u64 = 1500;

/// Draws a plan: groups of two or three overlapping faults, some of them with a series of controller restarts. Some
/// agents receive their direct commands repeatedly all the time.
pub fn draw_plan(seed: u64, span: Duration, lease: Duration, cancel_limit: Duration) -> Vec<PlannedFault> {
    let mut rng = StdRng::seed_from_u64(seed);
    let [span_ms, lease_ms, cancel_ms] = [span, lease, cancel_limit].map(|duration| duration.as_millis() as u64);
    let mut plan = Vec::new();
    let mut group_at_ms = 0;
    while group_at_ms < span_ms {
        for _ in 0..rng.random_range(FAULTS_PER_GROUP) {
            let begins_at_ms = group_at_ms + rng.random_range(0..2000);
            let duration_ms = draw_duration_ms(&mut rng, lease_ms, cancel_ms);
            plan.push(PlannedFault { begins_at_ms, duration_ms, fault: draw_fault(&mut rng) });
        }
        if rng.random_range(0..3) == 0 {
            plan.extend(restart_series(group_at_ms));
        }
        group_at_ms += cancel_ms + rng.random_range(0..cancel_ms / 2);
    }
    let repeats = Fault::Agents(REPEATING_AGENTS_INTERVAL, AgentFault::RepeatsCommands);
    plan.push(PlannedFault { begins_at_ms: 0, duration_ms: span_ms, fault: repeats });
    plan.sort_by_key(|planned| planned.begins_at_ms);
    plan
}

/// Draws a duration that is short, close to a lease, or at least the time limit of a cancellation.
fn draw_duration_ms(rng: &mut StdRng, lease_ms: u64, cancel_ms: u64) -> u64 {
    match rng.random_range(0..3) {
        0 => rng.random_range(500..3000),
        1 => rng.random_range(lease_ms / 2..lease_ms * 2),
        _ => rng.random_range(cancel_ms..cancel_ms * 5 / 4),
    }
}

fn restart_series(begins_at_ms: u64) -> impl Iterator<Item = PlannedFault> {
    (0..RESTART_SERIES_LENGTH).map(move |n| PlannedFault {
        begins_at_ms: begins_at_ms + n * RESTART_SERIES_STEP_MS,
        duration_ms: FAST_RESTART_MS + n * 300,
        fault: Fault::ControllerDown(n as usize),
    })
}

fn draw_fault(rng: &mut StdRng) -> Fault {
    let controller = rng.random_range(0..5);
    let one_in = rng.random_range(2..5);
    match rng.random_range(0..16) {
        0 => Fault::ControllerDown(controller),
        1 => Fault::ControllerPaused(controller),
        2 | 3 => Fault::StoreRefusesOne(controller),
        4 => Fault::StoreHeld(controller),
        5 => Fault::StoreAndSiblingsReset(controller),
        6 => Fault::SiblingsReset(controller),
        7 => Fault::AgentsHeld(controller),
        8 | 9 => Fault::StoreDown,
        10 => Fault::LateWrites,
        11 => Fault::CloudDown,
        12 => Fault::Agents(one_in, [AgentFault::Stalled, AgentFault::DelaysCommands][controller % 2]),
        14 | 15 => Fault::AgentsReachOnly(controller),
        _ => Fault::Agents(one_in, [AgentFault::ReceivesNothing, AgentFault::LosesHeartbeats][controller % 2]),
    }
}

/// Whether a fault begins or ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultPhase {
    /// The fault begins.
    Begin,
    /// The fault ends.
    End,
}

/// Begins or ends a fault. Faults of agents are injected with their duration, so ending them does nothing.
pub fn apply_fault(cluster: &mut Cluster, planned: &PlannedFault, phase: FaultPhase) -> io::Result<()> {
    let begins = phase == FaultPhase::Begin;
    let duration = Duration::from_millis(planned.duration_ms);
    let labels = cluster.labels();
    let label = |n: usize| labels[n % labels.len()].clone();
    let set = |proxy: &ProxyControl, mode| proxy.set(if begins { mode } else { ProxyMode::Forward });
    match planned.fault {
        Fault::ControllerDown(n) if begins => cluster.kill_controller(&label(n)),
        Fault::ControllerDown(n) => return cluster.restart_controller(&label(n)),
        Fault::ControllerPaused(n) => cluster.pause_controller(&label(n), begins),
        Fault::StoreRefusesOne(n) => cluster.network(&label(n)).is_refused_by_store.store(begins, Ordering::SeqCst),
        Fault::StoreHeld(n) => set(&cluster.network(&label(n)).store, ProxyMode::Hold),
        Fault::StoreAndSiblingsReset(n) => {
            let network = cluster.network(&label(n));
            set(&network.store, ProxyMode::Reset);
            set(&network.siblings, ProxyMode::Reset);
        }
        Fault::AgentsReachOnly(n) => {
            for other in &labels {
                let network = cluster.network(other);
                if *other == label(n) {
                    set(&network.store, ProxyMode::Hold);
                    set(&network.siblings, ProxyMode::Reset);
                } else {
                    set(&network.agents, ProxyMode::Reset);
                }
            }
            if begins {
                cluster.cloud.inject_agent_fault(1, AgentFault::LosesCommands, duration);
            }
        }
        Fault::SiblingsReset(n) => set(&cluster.network(&label(n)).siblings, ProxyMode::Reset),
        Fault::AgentsHeld(n) => set(&cluster.network(&label(n)).agents, ProxyMode::Hold),
        Fault::StoreDown => cluster.store.set_unavailable(begins),
        Fault::LateWrites => {
            cluster.store.delay_transactions(if begins { LATE_TXN_INTERVAL } else { 0 }, LATE_TXN_DELAY);
        }
        Fault::CloudDown => cluster.cloud.set_unavailable(begins),
        Fault::Agents(one_in, fault) if begins => cluster.cloud.inject_agent_fault(one_in, fault, duration),
        Fault::Agents(..) => {}
    }
    Ok(())
}
