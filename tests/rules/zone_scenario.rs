//! A scenario with many variations: services run in all zones, and one zone is lost. The outcome says when their
//! replicas run in other zones and which machines of the zone are deleted.

use super::world::{MS, S, SMALL, Size, TIMES, World};
use super::{assert_no_violations, policy_keeping_idle_machines};
use burlhatch::protocol::user::{JobKind, JobSpec};
use burlhatch::settings::{Policy, ZoneSettings};
use burlhatch::types::{JobId, MachineId};

pub const ZONES: &[&str] = &["a", "b", "c"];
/// The time after the loss at which the first lease may expire, as a lease counts from the last heartbeat before the
/// loss.
pub const FIRST_EXPIRY: u64 = TIMES.lease - 2 * S;
/// The duration of a zone's cut.
pub const CUT_DURATION: u64 = 60 * S;
/// The interval at which the replicas in other zones are counted.
const POLL_INTERVAL: u64 = 250 * MS;
/// The time after the loss at which the observation ends.
pub const OBSERVED_SPAN: u64 = 40 * S;

/// What happens to the zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// Its machines work on and reach nobody.
    Cut,
    /// Its machines are gone.
    Dead,
}

/// Which controller crashes after the loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControllerCrash {
    None,
    Leader,
    /// The holder of the shard with most replicas in the zone.
    Holder,
}

pub fn policy_with_zones() -> Policy {
    Policy { zones: ZoneSettings { enabled: true, ..ZoneSettings::default() }, ..policy_keeping_idle_machines() }
}

#[derive(Clone, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub machines: usize,
    pub nodes: usize,
    pub services: u64,
    pub replicas: u32,
    pub zone: &'static str,
    /// The time after the services' submission at which the zone is lost.
    pub lost_after: u64,
    pub loss: Loss,
    pub crash: ControllerCrash,
    /// The time after the loss at which the controller crashes.
    pub crash_after: u64,
    /// Late copies of heartbeats: one heartbeat in this many is delivered again later.
    pub heartbeat_copies: u32,
    pub policy: Policy,
}

impl Scenario {
    pub fn new(seed: u64, machines: usize, nodes: usize) -> Scenario {
        Scenario {
            seed,
            machines,
            nodes,
            services: 20,
            replicas: 20,
            zone: "a",
            lost_after: 40 * S,
            loss: Loss::Cut,
            crash: ControllerCrash::None,
            crash_after: 4 * S,
            heartbeat_copies: 30,
            policy: policy_with_zones(),
        }
    }
}

#[derive(Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Replicas in the zone when it was lost.
    pub displaced: usize,
    /// The time after the loss at which all replicas ran in other zones.
    pub restored: Option<u64>,
    /// Replicas not running in other zones when the first leases could expire.
    pub late_replicas: usize,
    /// Machines that had replicas at the loss and were neither deleted nor to be deleted by then.
    pub left_machines: usize,
    /// Machines that had replicas at the loss and were deleted or to be deleted by then.
    pub evacuated_machines: usize,
    /// Machines without replicas at the loss that were deleted or to be deleted by then.
    pub idle_deleted: usize,
}

fn replicas_elsewhere(world: &World, id: &JobId, zone: &str) -> usize {
    let agents = world.agents.values().filter(|agent| agent.zone != zone);
    agents.flat_map(|agent| agent.tasks.keys()).filter(|key| key.0 == *id).count()
}

fn missing_replicas(world: &World, services: &[JobId], zone: &str) -> usize {
    let missing = |id: &JobId| (world.jobs[id].spec.tasks as usize).saturating_sub(replicas_elsewhere(world, id, zone));
    services.iter().map(missing).sum()
}

fn holder_of_most_replicas(world: &World, hosts: &[MachineId]) -> Option<usize> {
    let hosts_in = |shard: u32| world.machines_of_shard(shard).iter().filter(|id| hosts.contains(id)).count();
    let shard = (0..world.size.nodes as u32).max_by_key(|shard| hosts_in(*shard))?;
    world.holder(&format!("share/{shard}"))
}

/// Returns a world to which this many services of one specification were submitted.
pub fn world_with_services(
    seed: u64,
    policy: Policy,
    size: Size,
    services: u64,
    spec: &JobSpec,
) -> (World, Vec<JobId>) {
    let mut world = World::sized(seed, policy, size);
    world.cloud.never_up = 0;
    let services = (0..services).map(|n| world.submit(1 + n, spec.clone())).collect();
    (world, services)
}

/// A run of a scenario from the moment at which the zone is lost.
struct ScenarioRun<'a> {
    scenario: &'a Scenario,
    world: World,
    services: Vec<JobId>,
    /// The zone's machines with replicas.
    hosts: Vec<MachineId>,
    /// The zone's machines without replicas.
    idle: Vec<MachineId>,
    displaced: usize,
    lost_at: u64,
}

impl<'a> ScenarioRun<'a> {
    fn start(scenario: &'a Scenario) -> ScenarioRun<'a> {
        let Scenario { seed, machines, nodes, zone, .. } = *scenario;
        let size = Size {
            nodes,
            machines,
            capacity: machines + machines / 10,
            write_rps: 50.0,
            zones: ZONES,
            times: TIMES,
            ..SMALL
        };
        let spec = JobSpec { spread: true, ..World::spec(JobKind::Service, "green", scenario.replicas, 1.0) };
        let (mut world, services) = world_with_services(seed, scenario.policy.clone(), size, scenario.services, &spec);
        world.heartbeat_copies = scenario.heartbeat_copies;
        world.run_for(scenario.lost_after);
        let in_zone = world.machines_in(zone);
        let (hosts, idle): (Vec<_>, Vec<_>) = in_zone.into_iter().partition(|id| !world.agents[id].tasks.is_empty());
        let displaced = hosts.iter().map(|id| world.agents[id].tasks.len()).sum();
        match scenario.loss {
            Loss::Cut => world.cut_zone(zone, CUT_DURATION, true),
            Loss::Dead => world.kill_zone(zone),
        }
        let lost_at = world.now;
        ScenarioRun { scenario, world, services, hosts, idle, displaced, lost_at }
    }

    fn since_loss(&self) -> u64 {
        self.world.now - self.lost_at
    }

    fn missing_replicas(&self) -> usize {
        missing_replicas(&self.world, &self.services, self.scenario.zone)
    }

    fn crash_controller(&mut self) {
        let node = match self.scenario.crash {
            ControllerCrash::None => return,
            ControllerCrash::Leader => self.world.holder("leader"),
            ControllerCrash::Holder => holder_of_most_replicas(&self.world, &self.hosts),
        };
        self.world.crash(node.expect("the role has a holder"), 30 * S);
    }

    /// Runs until `end` after the loss, and sets `restored` if all replicas ran in other zones by then.
    fn run_until(&mut self, end: u64, restored: &mut Option<u64>) {
        while self.since_loss() < end {
            if restored.is_none() && self.missing_replicas() == 0 {
                *restored = Some(self.since_loss());
            }
            self.world.run_for(POLL_INTERVAL);
        }
    }

    /// Returns the outcome at the time at which the first leases can expire.
    fn outcome(&self, restored: Option<u64>) -> Outcome {
        let staying = self.world.undeleted_machines();
        let staying_count = |ids: &[MachineId]| ids.iter().filter(|id| staying.contains(*id)).count();
        let left_machines = staying_count(&self.hosts);
        Outcome {
            displaced: self.displaced,
            restored,
            late_replicas: self.missing_replicas(),
            left_machines,
            evacuated_machines: self.hosts.len() - left_machines,
            idle_deleted: self.idle.len() - staying_count(&self.idle),
        }
    }
}

pub fn run_scenario(scenario: &Scenario) -> Outcome {
    let mut run = ScenarioRun::start(scenario);
    let mut restored = None;
    run.run_until(scenario.crash_after, &mut restored);
    run.crash_controller();
    run.run_until(FIRST_EXPIRY, &mut restored);
    let outcome = run.outcome(restored);
    while restored.is_none() && run.since_loss() < OBSERVED_SPAN {
        run.run_until(run.since_loss() + POLL_INTERVAL, &mut restored);
    }
    assert_no_violations(&run.world, &format!("{scenario:?}"));
    Outcome { restored, ..outcome }
}
