//! Compares the zones crate with simple reference models on random sequences, and checks its bounds.

use burlhatch_types::{JobId, MachineId, Micros};
use burlhatch_zones::condition::ZoneState;
use burlhatch_zones::damping::Penalty;
use burlhatch_zones::disruption::DisruptionBudget;
use burlhatch_zones::ramp::Ramp;
use burlhatch_zones::restoration_order::{WaitingJob, WorkKind, restoration_order};
use burlhatch_zones::{
    Condition, Evidence, Liveness, LivenessCounts, MachineCounts, Moment, ZoneSettings, ZoneTracker,
};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

const ZONES: [&str; 3] = ["a", "b", "c"];

fn id(number: u32) -> MachineId {
    MachineId::new(&format!("m-{number}"))
}

#[derive(Clone, Debug)]
enum Change {
    Put(u32, usize, u32),
    Remove(u32),
    Liveness(u32, Liveness),
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        3 => (0..30u32, 0..3usize, 0..4u32).prop_map(|(id, zone, shard)| Change::Put(id, zone, shard)),
        1 => (0..30u32).prop_map(Change::Remove),
        3 => (0..30u32, 0..3usize).prop_map(|(id, liveness)| Change::Liveness(id, [Liveness::Responsive, Liveness::Unknown, Liveness::Unresponsive][liveness])),
    ]
}

proptest! {
    /// Guards against incremental counts that drift from the machines they count.
    #[test]
    fn incremental_machine_counts_equal_a_full_recount(changes in prop::collection::vec(change(), 1..120)) {
        let mut machine_counts = MachineCounts::default();
        let mut machines: BTreeMap<u32, (usize, u32, Liveness)> = BTreeMap::new();
        for change in changes {
            match change {
                Change::Put(number, zone, shard) => {
                    machine_counts.insert(&id(number), ZONES[zone], shard);
                    let is_unchanged = machines.get(&number).is_some_and(|m| (m.0, m.1) == (zone, shard));
                    if !is_unchanged {
                        machines.insert(number, (zone, shard, Liveness::Responsive));
                    }
                }
                Change::Remove(number) => {
                    machine_counts.remove(&id(number));
                    machines.remove(&number);
                }
                Change::Liveness(number, liveness) => {
                    machine_counts.set_liveness(&id(number), liveness);
                    if let Some(machine) = machines.get_mut(&number) {
                        machine.2 = liveness;
                    }
                }
            }
            for (zone, name) in ZONES.iter().enumerate() {
                let mut expected: BTreeMap<u32, LivenessCounts> = BTreeMap::new();
                for (_, shard, liveness) in machines.values().filter(|m| m.0 == zone) {
                    let count = expected.entry(*shard).or_default();
                    count.total += 1;
                    count.unresponsive += u32::from(*liveness == Liveness::Unresponsive);
                    count.unknown += u32::from(*liveness == Liveness::Unknown);
                }
                prop_assert_eq!(machine_counts.shards(name).collect::<BTreeMap<_, _>>(), expected);
                let actual: BTreeSet<MachineId> = machine_counts.machines(name).cloned().collect();
                let expected: BTreeSet<MachineId> =
                    machines.iter().filter(|(_, m)| m.0 == zone).map(|(n, _)| id(*n)).collect();
                prop_assert_eq!(actual, expected);
            }
        }
    }

    /// Compares the zone's state machine with a model that keeps all observations since the last transition and
    /// searches them. The settings complete the ramp at once, so the condition depends only on evidence and time.
    #[test]
    fn zone_conditions_match_a_model_that_keeps_all_observations(
        steps in prop::collection::vec((50..2500u64, 0..12u32, 0..12u32), 1..150)
    ) {
        let settings = ZoneSettings { ramp_initial: 64, penalty_per_loss: 0.0, ..ZoneSettings::default() };
        let mut state = ZoneState::new(Micros::ZERO, &settings);
        let mut model = ConditionModel { condition: Condition::Up, entered: 0, observations: Vec::new() };
        let mut now = 0;
        for (pause, machines, against_count) in steps {
            now += pause;
            let evidence = Evidence { machine_count: machines, against_count: against_count.min(machines) };
            state.observe(evidence, Micros::from_millis(now), &settings);
            model.observe(now, evidence, &settings);
            prop_assert_eq!(state.condition(), model.condition, "at {} with {:?}", now, evidence);
        }
    }

    /// Guards against overloading a zone that returns: no step makes more starts than its allowance, and the allowance
    /// at most doubles between two steps, doesn't grow within one, and stays within its bounds.
    #[test]
    fn ramp_starts_never_exceed_the_allowance_of_the_step(
        events in prop::collection::vec((0..6u8, 0..1500u64), 1..300)
    ) {
        let settings = ZoneSettings::default();
        let mut ramp = Ramp::new(Micros::ZERO, &settings);
        let (mut now, mut start_count, mut step_started_at, mut step_allowance) = (0, 0, 0, ramp.allowance());
        for (event, pause) in events {
            now += pause;
            let before = ramp.allowance();
            ramp.advance(Micros::from_millis(now), event % 2 == 0, &settings);
            if now - step_started_at >= settings.ramp_step_ms {
                (step_started_at, start_count) = (now, 0);
                prop_assert!(ramp.allowance() <= before * 2);
                step_allowance = ramp.allowance();
            }
            match event {
                0..=2 if ramp.admits(&settings) => {
                    ramp.started();
                    start_count += 1;
                }
                3 => ramp.succeeded(),
                4 => ramp.lost(&settings),
                _ => {}
            }
            prop_assert!(ramp.allowance() <= step_allowance, "the allowance grew within a step");
            prop_assert!((settings.ramp_initial..=settings.ramp_full).contains(&ramp.allowance()));
            prop_assert!(
                start_count <= step_allowance || ramp.is_complete(&settings),
                "{} starts in a step with an allowance of {}", start_count, step_allowance
            );
        }
    }

    /// Guards against stopping too many replicas at once: the moves of every minute stay within the budget, and two
    /// moves of the same job are at least the pause apart.
    #[test]
    fn moves_stay_within_the_disruption_budget(requests in prop::collection::vec((0..8u32, 0..20_000u64), 1..200)) {
        let settings = ZoneSettings { moves_per_minute: 5.0, move_pause_ms: 90_000, ..ZoneSettings::default() };
        let mut budget = DisruptionBudget::default();
        let mut moves: Vec<(u64, u32)> = Vec::new();
        let mut now = 120_000;
        for (job, pause) in requests {
            now += pause;
            let (name, at) = (JobId::new(&format!("wk-{job}")), Micros::from_millis(now));
            if budget.allows(&name, at, &settings) {
                budget.spend(&name, at, &settings);
                moves.push((now, job));
            }
        }
        for (i, (at, job)) in moves.iter().enumerate() {
            let in_minute = moves[..=i].iter().filter(|(other, _)| at - other < 60_000).count();
            // One more than the rate: the bucket may have been full when the minute began.
            prop_assert!(in_minute <= 6, "{} moves in a minute", in_minute);
            let is_within_pause = moves[..i].iter().any(|(other, other_job)| other_job == job && at - other < 90_000);
            prop_assert!(!is_within_pause, "a job was moved twice within its pause");
        }
    }

    /// Every job occurs in the order exactly once, and services are sorted by urgency. A batch job precedes a service
    /// only if it is the oldest starved job of its class, and only after `services_per_starved` services.
    #[test]
    fn restoration_order_puts_only_starved_batch_jobs_before_services(
        jobs in prop::collection::vec((0..3u8, 0..4u8, any::<bool>(), 0..3usize, 0..120u64, any::<bool>()), 0..60)
    ) {
        let settings = ZoneSettings { services_per_starved: 4, ..ZoneSettings::default() };
        let classes = ["x", "y", "z"];
        let waiting: Vec<WaitingJob<usize>> = jobs.iter().enumerate().map(|(key, (kind, priority, within, class, waited, begun))| WaitingJob {
            key,
            kind: [WorkKind::Service, WorkKind::Gang, WorkKind::Array][*kind as usize],
            priority: *priority,
            is_within_guaranteed_quota: *within,
            class: classes[*class],
            waited: Micros::from_millis(waited * 1000),
            has_begun: *begun,
        }).collect();
        let order = restoration_order(waiting.clone(), &settings);
        let mut sorted = order.clone();
        sorted.sort_unstable();
        prop_assert_eq!(sorted, (0..jobs.len()).collect::<Vec<_>>());
        let is_service = |key: &usize| waiting[*key].kind == WorkKind::Service;
        let last_service = order.iter().rposition(is_service).unwrap_or(0);
        let mut services_since = 0;
        let mut classes_served = BTreeSet::new();
        for key in &order[..last_service] {
            if is_service(key) {
                services_since += 1;
                continue;
            }
            let job = &waiting[*key];
            prop_assert!(job.is_starved(&settings), "a batch job that is not starved precedes a service");
            prop_assert!(services_since >= 4, "a batch job follows only {} services", services_since);
            prop_assert!(classes_served.insert(job.class), "two jobs of one class precede the last service");
            let is_older = |other: &WaitingJob<usize>| {
                other.class == job.class && other.is_starved(&settings) && other.waited > job.waited
            };
            prop_assert!(!waiting.iter().any(is_older), "not the oldest starved job of its class");
            services_since = 0;
        }
        let services: Vec<&usize> = order.iter().filter(|key| is_service(key)).collect();
        let urgency = |key: &usize| (std::cmp::Reverse(waiting[*key].priority), !waiting[*key].is_within_guaranteed_quota);
        prop_assert!(services.windows(2).all(|pair| urgency(pair[0]) <= urgency(pair[1])));
    }
}

/// Reference model of a zone's condition: keeps all observations since the last transition.
struct ConditionModel {
    condition: Condition,
    entered: u64,
    observations: Vec<(u64, Evidence)>,
}

impl ConditionModel {
    fn observe(&mut self, now: u64, evidence: Evidence, settings: &ZoneSettings) {
        self.observations.push((now, evidence));
        let against_part = |e: &Evidence| f64::from(e.against_count) / f64::from(e.machine_count.max(1));
        let shows_loss =
            |e: &Evidence| e.machine_count >= settings.least_machines && against_part(e) > settings.agree_part;
        let shows_recovery = |e: &Evidence| e.machine_count == 0 || against_part(e) <= settings.return_part;
        // How long the predicate has held without a break; `None` if it doesn't hold at the last observation.
        let held_for = |holds: &dyn Fn(&Evidence) -> bool| {
            let since = self.observations.iter().rev().take_while(|(_, e)| holds(e)).last();
            since.map(|(at, _)| now - at)
        };
        let next = match self.condition {
            Condition::Up if evidence.against_count > 0 => Some(Condition::Suspected),
            Condition::Suspected if evidence.against_count == 0 => Some(Condition::Up),
            Condition::Suspected | Condition::Returning
                if held_for(&shows_loss).is_some_and(|t| t >= settings.confirm_ms) =>
            {
                Some(Condition::Lost)
            }
            Condition::Lost => {
                let span =
                    if evidence.machine_count == 0 { settings.empty_return_ms } else { settings.return_after_ms };
                held_for(&shows_recovery).is_some_and(|t| t >= span).then_some(Condition::Returning)
            }
            Condition::Returning if evidence.against_count == 0 => Some(Condition::Up),
            _ => None,
        };
        if let Some(next) = next {
            (self.condition, self.entered) = (next, now);
            self.observations.clear();
        }
    }
}

/// Guards against tasks that wait for 90 s although a machine of the zone has room: if no attempt is lost, the ramp
/// completes within 60 s, whether or not the zone is distrusted (`may_double`) and whether or not there is demand.
#[test]
fn ramp_without_losses_completes_within_60_seconds() {
    for (may_double, demand) in [(true, true), (false, true), (true, false), (false, false)] {
        let settings = ZoneSettings::default();
        let mut ramp = Ramp::new(Micros::ZERO, &settings);
        let mut now = 0;
        while !ramp.is_complete(&settings) {
            while demand && ramp.admits(&settings) {
                ramp.started();
                ramp.succeeded();
            }
            now += settings.ramp_step_ms;
            ramp.advance(Micros::from_millis(now), may_double, &settings);
            assert!(now <= 60_000, "not complete after {now} ms, may_double {may_double}, demand {demand}");
        }
    }
}

/// Guards against adding up the penalties that controllers report for the same loss: with five controllers, a single
/// loss made the zone distrusted.
#[test]
fn a_loss_counted_by_five_controllers_is_penalized_once() {
    let settings = ZoneSettings::default();
    let now = Micros::from_millis(1000);
    let mut penalties = [Penalty::default(); 5];
    for i in 0..5 {
        penalties[i].add_loss(now, &settings);
        let remote = penalties[i].value(now, &settings);
        penalties.iter_mut().for_each(|penalty| penalty.merge_remote(remote, now, &settings));
    }
    for penalty in &mut penalties {
        assert_eq!(penalty.value(now, &settings), settings.penalty_per_loss);
        assert!(!penalty.is_distrusted(now, &settings));
        penalty.add_loss(now, &settings);
        assert!(penalty.is_distrusted(now, &settings));
    }
    let half_life = settings.penalty_half_life_ms;
    let later = |half_lives: u64| Micros::from_millis(1000 + half_life * half_lives);
    assert!(penalties[0].is_distrusted(later(1), &settings), "trusted again too early");
    assert!(!penalties[0].is_distrusted(later(2), &settings), "never trusted again");
    assert!(penalties[0].value(later(1), &settings) <= settings.penalty_most);
}

/// Guards against a cost that grows with the fleet: with 4,000 machines, an evaluation takes a number of steps that
/// depends only on zones and shards, and a machine that becomes unresponsive adds a constant number.
#[test]
fn evaluation_cost_does_not_grow_with_unchanged_machines() {
    let settings = ZoneSettings { enabled: true, ..ZoneSettings::default() };
    let mut zones = ZoneTracker::default();
    let shards: BTreeSet<u32> = (0..5).collect();
    zones.set_held_shards(&shards, Micros::ZERO);
    for number in 0..4000 {
        zones.insert_machine(&id(number), ["a", "b", "c", "d"][number as usize % 4], number / 4 % 5);
    }
    let max_evaluation_cost = 4 * (5 + 1);
    let cost = |zones: &mut ZoneTracker, work: &mut dyn FnMut(&mut ZoneTracker)| {
        let before = zones.operation_count();
        work(zones);
        zones.operation_count() - before
    };
    let evaluation_cost = cost(&mut zones, &mut |zones| drop(zones.evaluate(Micros::from_millis(20_000), &settings)));
    assert!(evaluation_cost <= max_evaluation_cost, "{evaluation_cost} steps");
    let update_cost = cost(&mut zones, &mut |zones| {
        (0..4000).step_by(4).for_each(|n| zones.set_liveness(&id(n), Liveness::Unresponsive));
    });
    assert!(update_cost <= 1000, "{update_cost} steps for 1,000 machines");
    let mut transitions = Vec::new();
    for ms in [21_000, 21_500, 22_500] {
        let at = Micros::from_millis(ms);
        let steps = cost(&mut zones, &mut |zones| transitions.extend(zones.evaluate(at, &settings)));
        assert!(steps <= max_evaluation_cost, "{steps} steps");
    }
    assert_eq!(zones.condition("a"), Condition::Lost, "{transitions:?}");
    let moment = Moment { steady: Micros::from_millis(22_500), wall: Micros::from_millis(9_000_000) };
    assert_eq!(zones.outdated_records(7, moment, &settings).len(), 5);
}

/// Guards against a controller that is itself cut off and takes all zones for lost: if no zone responds, it changes no
/// zone's condition.
#[test]
fn a_controller_that_reaches_no_zone_changes_no_condition() {
    let settings = ZoneSettings { enabled: true, ..ZoneSettings::default() };
    let mut zones = ZoneTracker::default();
    zones.set_held_shards(&BTreeSet::from([0]), Micros::ZERO);
    for number in 0..20 {
        zones.insert_machine(&id(number), ["a", "b"][number as usize % 2], 0);
        zones.set_liveness(&id(number), Liveness::Unresponsive);
    }
    for second in 10..20 {
        assert!(zones.evaluate(Micros::from_millis(second * 1000), &settings).is_empty());
    }
    assert_eq!(zones.condition("a"), Condition::Up);
}

#[test]
fn invalid_settings_are_rejected_with_the_field_name() {
    let valid = ZoneSettings::default;
    let cases: [(ZoneSettings, &str); 10] = [
        (ZoneSettings { silent_after_ms: 0, ..valid() }, "silent_after_ms"),
        (ZoneSettings { agree_part: 1.0, ..valid() }, "agree_part"),
        (ZoneSettings { silent_part: f64::NAN, ..valid() }, "silent_part"),
        (ZoneSettings { return_part: 0.6, ..valid() }, "return_part"),
        (ZoneSettings { trust_below: 2000.0, ..valid() }, "trust_below"),
        (ZoneSettings { penalty_most: 100.0, ..valid() }, "penalty_most"),
        (ZoneSettings { ramp_initial: 0, ..valid() }, "ramp_initial"),
        (ZoneSettings { ramp_initial: 65, ..valid() }, "ramp_initial"),
        (ZoneSettings { moves_per_minute: -1.0, ..valid() }, "moves_per_minute"),
        (ZoneSettings { empty_return_ms: 1, ..valid() }, "empty_return_ms"),
    ];
    assert_eq!(valid().check(), Ok(()));
    for (settings, field) in cases {
        assert_eq!(settings.check().expect_err(field).field, field);
    }
}
