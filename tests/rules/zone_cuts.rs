//! A zone is cut off: all of its replicas have to run in other zones before the expiry of the agents' leases would
//! prove their absence, and nothing else in the zone is affected.

use super::seeds;
use super::world::{MS, S, SMALL, Size, TIMES, World};
use super::zone_scenario::{
    CUT_DURATION, ControllerCrash, FIRST_EXPIRY, Loss, OBSERVED_SPAN, Outcome, Scenario, ZONES, policy_with_zones,
    run_scenario, world_with_services,
};
use burlhatch::protocol::user::JobKind;
use burlhatch::types::{JobId, MachineId};
use std::ops::Range;

/// The part of the sockets that leaves each controller only a few for more than 60 machines in the zone.
const FEW_SOCKETS: f64 = 0.02;

/// Guards against deleting a machine of a zone that is cut off as a single silent one, while the zone is suspected but
/// not lost yet: the other machines of its shard in the zone had not been probed, so they did not count as silent. Seed
/// 119020: suspected 2.8 s after the cut, "machine cordoned ... cause=Silent silence_ms=5071" for m-000007 after 3.5 s,
/// lost after 4.3 s.
#[test]
fn no_machine_is_deleted_individually_while_its_zone_is_suspected() {
    assert_small_zone_keeps_its_machines(seeds(119, 24));
}

/// Known fault, not fixed: the holder of two of the zone's four machines votes against it, the holders of one each do
/// not. That is not more than half, so all four machines are deleted one by one.
#[test]
fn a_small_zone_without_a_majority_against_it_is_left_alone() {
    assert_small_zone_keeps_its_machines(119_059..119_060);
}

/// Asserts that no machine of a small zone is deleted before the first lease can expire. Evacuation is disabled, so
/// replicas are restored only after the leases expire.
fn assert_small_zone_keeps_its_machines(seeds: Range<u64>) {
    for seed in seeds {
        let mut policy = policy_with_zones();
        policy.zones.evacuate = false;
        let size = Size { nodes: 5, machines: 12, capacity: 12, write_rps: 60.0, zones: ZONES, times: TIMES, ..SMALL };
        let spec = World::spec(JobKind::Service, "green", 1, 1.0);
        let (mut world, _) = world_with_services(seed, policy, size, 36, &spec);
        world.run_for(30 * S);
        let in_zone = world.machines_in("a");
        world.cut_zone("a", CUT_DURATION, true);
        world.run_for(FIRST_EXPIRY);
        let staying = world.undeleted_machines();
        let deleted = in_zone.iter().filter(|id| !staying.contains(*id)).count();
        assert_eq!(deleted, 0, "{seed}: {deleted} of {} machines", in_zone.len());
        super::cancel_services(&mut world);
        super::finish_all_jobs(&mut world, &format!("small zone {seed}"));
    }
}

/// A change to the default scenario.
type Variation = fn(&mut Scenario);

fn variations() -> Vec<(&'static str, Variation)> {
    vec![
        ("cut", |_| ()),
        ("cut 37 s on", |scenario| scenario.lost_after = 37 * S),
        ("cut 41.7 s on", |scenario| scenario.lost_after = 41_700 * MS),
        ("cut 55 s on", |scenario| scenario.lost_after = 55 * S),
        ("zone b", |scenario| scenario.zone = "b"),
        ("zone c", |scenario| scenario.zone = "c"),
        ("three controllers", |scenario| scenario.nodes = 3),
        ("dead", |scenario| scenario.loss = Loss::Dead),
        ("leader crashes", |scenario| scenario.crash = ControllerCrash::Leader),
        ("holder crashes", |scenario| scenario.crash = ControllerCrash::Holder),
    ]
}

/// With few sockets for direct messages, some machines of a zone that was cut off were never probed. Only machines that
/// failed a probe are evacuated, so these kept their services until their leases expired, though there was capacity
/// elsewhere. Probes were sent in the order of the machines' last sign of life: those that had already failed one were
/// due again a second later and took all sockets, and those seen last before the cut never had their turn. Seed 118000
/// of `zones::a_zone_with_a_third_of_four_thousand_machines_is_cut_off`: only "evacuation held back ...
/// reason=NotProbed" for six machines from 6.5 s after the cut on, and "probes held back ... due_count=419
/// unprobed_count=414 unprobed_silence_ms=14534" 12 s after it.
#[test]
fn every_machine_of_a_lost_zone_is_probed_and_evacuated_though_sockets_are_few() {
    for seed in seeds(121, 3) {
        for lost_after in [37 * S, 40 * S, 41_700 * MS] {
            let mut scenario = Scenario { lost_after, ..Scenario::new(seed, 600, 3) };
            scenario.policy.direct_part = FEW_SOCKETS;
            let outcome = run_scenario(&scenario);
            assert!(outcome.displaced >= 50, "{seed}: only {} replicas are in the zone", outcome.displaced);
            assert_eq!((outcome.late_replicas, outcome.left_machines), (0, 0), "{seed}, {lost_after}: {outcome:?}");
        }
    }
}

/// While a zone was cut off and sockets were few, some of its machines were deleted one by one although they worked on.
/// A machine whose last sign of life before the cut was the answer to a probe, and that was not probed since, counted
/// as one that answers while its heartbeats are missing. Seed 122000: "machine cordoned ... cause=MissingHeartbeats"
/// for two machines; one of them was last seen 10.4 s earlier, and its first probe since had just been sent.
#[test]
fn machines_of_a_zone_that_is_cut_off_work_on_though_sockets_are_few() {
    for seed in seeds(122, 3) {
        for lost_after in [37 * S, 40 * S, 41_700 * MS] {
            let mut scenario = Scenario { lost_after, ..Scenario::new(seed, 600, 3) };
            scenario.policy.direct_part = FEW_SOCKETS;
            assert_no_machine_deleted_with_zones_off(scenario);
        }
    }
}

/// Runs a scenario with zone conditions disabled and asserts that no machine of the zone is deleted before the first
/// leases can expire.
fn assert_no_machine_deleted_with_zones_off(mut scenario: Scenario) {
    scenario.policy.zones.enabled = false;
    let outcome = run_scenario(&scenario);
    let deleted = outcome.idle_deleted + outcome.evacuated_machines;
    assert_eq!(deleted, 0, "{}, {}: {outcome:?}", scenario.seed, scenario.lost_after);
}

/// After one heartbeat of a machine that was cut off arrived late, the machine was deleted as one that sends but
/// receives nothing: probes had failed since the cut, and the heartbeat was newer than the first failed one. Seed
/// 123000: "machine cordoned ... cause=Unreachable silence_ms=1568 heartbeat_age_ms=1568" 14.6 s after the cut, without
/// any earlier heartbeat of the machine in these 14.6 s.
#[test]
fn a_late_heartbeat_does_not_make_a_machine_that_is_cut_off_unreachable() {
    for seed in seeds(123, 4) {
        let scenario = Scenario { services: 4, replicas: 8, heartbeat_copies: 2, ..Scenario::new(seed, 150, 3) };
        assert_no_machine_deleted_with_zones_off(scenario);
    }
}

/// Of the machines in a zone that was cut off, the one last seen longest before the cut was deleted as a single lost
/// machine after late heartbeats of others arrived: as the others had been seen since, it was compared with them
/// although they were cut off too. Seed 123010: "machine cordoned ... cause=Silent silence_ms=15613" for m-000085 12.4
/// s after the cut.
#[test]
fn late_heartbeats_of_others_do_not_make_a_machine_look_lost_alone() {
    for seed in seeds(124, 3).chain([123_010]) {
        let scenario = Scenario { services: 4, replicas: 8, heartbeat_copies: 2, ..Scenario::new(seed, 150, 3) };
        assert_no_machine_deleted_with_zones_off(scenario);
    }
}

/// There was capacity elsewhere for some replicas of a lost zone, but little or none of it was used, because the
/// machines ran two services each. Capacity was reserved for each service separately, in the order of their names, and
/// a machine was evacuated only if there was capacity for all of its services. Seed 125004: "evacuation held back ...
/// reason=NoCapacity" for seven machines and nothing evacuated, with capacity for two replicas; seed 125001: capacity
/// for four, two moved.
#[test]
fn room_for_some_replicas_is_used_though_machines_run_several_services() {
    for seed in seeds(125, 6) {
        let size = Size { nodes: 3, machines: 24, capacity: 24, write_rps: 50.0, zones: ZONES, times: TIMES, ..SMALL };
        // Two replicas fill a machine, and two machines remain free.
        let spec = World::spec(JobKind::Service, "green", 1, 2.0);
        let (mut world, services) = world_with_services(seed, policy_with_zones(), size, 44, &spec);
        world.run_for(60 * S);
        assert!(services.iter().all(|id| world.running(id) == 1), "{seed}: not all services run");
        let running_in = |world: &World, is_in: bool| {
            let agents = world.agents.values().filter(|agent| (agent.zone == "a") == is_in);
            agents.map(|agent| agent.tasks.len()).sum::<usize>()
        };
        let (displaced, elsewhere) = (running_in(&world, true), running_in(&world, false));
        let room = (2 * 16 - elsewhere).min(displaced);
        world.cut_zone("a", CUT_DURATION, true);
        world.run_for(FIRST_EXPIRY);
        let moved = running_in(&world, false) - elsewhere;
        assert_eq!(moved, room, "{seed}: {displaced} displaced, room for {room}");
        super::cancel_services(&mut world);
        super::finish_all_jobs(&mut world, &format!("capacity for some {seed}"));
    }
}

/// A machine of a lost zone whose services were cancelled was deleted although there was nothing to restore, together
/// with the batch work that went on there: the only condition was that its services still took resources, and cancelled
/// ones do. Seed 126000: "machine evacuated from lost zone ... replica_count=0" for three machines of three.
#[test]
fn a_machine_whose_services_are_cancelled_is_not_evacuated() {
    for seed in seeds(126, 3) {
        let size = Size { nodes: 3, machines: 24, capacity: 30, write_rps: 50.0, zones: ZONES, times: TIMES, ..SMALL };
        let spec = World::spec(JobKind::Service, "green", 1, 2.0);
        let (mut world, services) = world_with_services(seed, policy_with_zones(), size, 24, &spec);
        world.run_for(30 * S);
        let mut hosts = world.machines_in("a");
        hosts.retain(|id| !world.agents[id].tasks.is_empty());
        // The services of one machine are not cancelled, so that there is something to restore.
        let kept = hosts.pop().expect("something runs in the zone");
        let goes_on: Vec<JobId> = world.agents[&kept].tasks.keys().map(|(job, _)| job.clone()).collect();
        world.cut_zone("a", CUT_DURATION, true);
        for id in services.iter().filter(|id| !goes_on.contains(id)) {
            world.cancel_job(id);
        }
        world.run_for(FIRST_EXPIRY);
        let staying = world.undeleted_machines();
        let deleted = hosts.iter().filter(|id| !staying.contains(*id)).count();
        assert_eq!(deleted, 0, "{seed}: {deleted} of {} machines", hosts.len());
        super::cancel_services(&mut world);
        super::finish_all_jobs(&mut world, &format!("cancelled services {seed}"));
    }
}

/// While a zone was lost, a single hanging machine in another zone was not replaced, and its services waited for its
/// lease to expire. The idle machines of the lost zone stay and are silent; as they were more than a quarter of the
/// shard, the controller assumed a fault of its own and evaluated no machine as long as the zone was lost. Seeds 127001
/// to 127003: no "machine cordoned" for the machine that hangs.
#[test]
fn a_machine_that_hangs_elsewhere_while_a_zone_is_away_is_replaced() {
    for seed in seeds(127, 4) {
        let size = Size { nodes: 3, machines: 90, capacity: 110, write_rps: 60.0, zones: ZONES, times: TIMES, ..SMALL };
        let spec = World::spec(JobKind::Service, "green", 2, 1.0);
        let (mut world, services) = world_with_services(seed, policy_with_zones(), size, 10, &spec);
        world.run_for(30 * S);
        world.cut_zone("a", CUT_DURATION, true);
        world.run_for(FIRST_EXPIRY);
        let runs_services = |id: &MachineId| !world.agents[id].tasks.is_empty();
        let hung = world.machines_in("b").into_iter().find(runs_services).expect("services run in the other zone");
        world.hang_machine(&hung, CUT_DURATION);
        world.run_for(FIRST_EXPIRY);
        assert!(!world.undeleted_machines().contains(&hung), "{seed}: {hung} is not replaced before its lease ends");
        let missing = services.iter().filter(|id| world.running(id) < 2).count();
        assert_eq!(missing, 0, "{seed}: {missing} services lack a replica");
        super::cancel_services(&mut world);
        super::finish_all_jobs(&mut world, &format!("hung elsewhere {seed}"));
    }
}

/// Prints a table of the outcomes of all variations. It takes long and is not part of the suite:
///
///     BURLHATCH_MACHINES=4000 BURLHATCH_WORLD_SEEDS=20 cargo test --release --test rules measure_zone_cuts -- \
///         --ignored --nocapture
#[test]
#[ignore = "a measurement, takes minutes"]
fn measure_zone_cuts() {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<usize>().ok());
    let machines = number("BURLHATCH_MACHINES").unwrap_or(600);
    let only = number("BURLHATCH_VARIATION");
    for (index, (name, variation)) in variations().into_iter().enumerate() {
        if only.is_some_and(|only| only != index) {
            continue;
        }
        let mut outcomes = Vec::new();
        for seed in seeds(118, 20) {
            let mut scenario = Scenario::new(seed, machines, 5);
            variation(&mut scenario);
            outcomes.push(run_scenario(&scenario));
        }
        let late_runs = outcomes.iter().filter(|outcome| outcome.late_replicas > 0).count();
        let sum = |value: fn(&Outcome) -> usize| outcomes.iter().map(value).sum::<usize>();
        let mut times: Vec<u64> =
            outcomes.iter().map(|outcome| outcome.restored.unwrap_or(OBSERVED_SPAN) / MS).collect();
        times.sort_unstable();
        println!(
            "| {machines} | {name} | {late_runs} of {} | {} of {} | {} | {} | {} | {} |",
            outcomes.len(),
            sum(|outcome| outcome.late_replicas),
            sum(|outcome| outcome.displaced),
            sum(|outcome| outcome.left_machines),
            sum(|outcome| outcome.idle_deleted),
            times[times.len() / 2],
            times[times.len() - 1],
        );
    }
}
